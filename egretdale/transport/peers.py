"""Thrift connections between daemons."""

from __future__ import annotations

import struct
from collections import defaultdict
from collections.abc import Callable
from typing import Any

import eventlet
from eventlet.green import socket
from thrift.protocol.TProtocol import TProtocolException
from thrift.Thrift import TApplicationException, TException
from thrift.transport.TTransport import TMemoryBuffer, TTransportException

from egretdale.coordination.ports import Delivered
from egretdale.errors import Ambiguous, Cause, Invalid, Unreachable
from egretdale.protocol.gen import Peer
from egretdale.protocol.wire import (
    create_protocol,
    decode_structure,
    encode_structure,
)
from egretdale.state.messages import Batch
from egretdale.state.queries import (
    ChangeAsk,
    Changes,
    ClaimAsk,
    ClaimReply,
    DocumentCopy,
    OriginAsk,
    OriginReply,
)
from egretdale.transport.frames import (
    FrameError,
    receive_frame,
    send_frame,
)
from egretdale.util.addresses import split_address
from egretdale.util.clocks import convert_to_seconds
from egretdale.util.logs import get_logger

logger = get_logger(__name__)

_BACKLOG = 512
_MAXIMUM_IDLE_PER_ADDRESS = 4

#: Errors that a malformed call or answer may raise.
DECODING_ERRORS = (
    TException,
    TProtocolException,
    TTransportException,
    EOFError,
    ValueError,
    TypeError,
    UnicodeDecodeError,
    LookupError,
    OverflowError,
    RecursionError,
    struct.error,
    TApplicationException,
)


class _BufferedCall:
    """A thrift call encoded to and decoded from memory buffers."""

    __slots__ = ('client', 'received', 'sent')

    def __init__(self) -> None:
        self.sent = TMemoryBuffer()
        self.received = TMemoryBuffer()
        self.client = Peer.Client(
            create_protocol(self.received), create_protocol(self.sent)
        )

    def set_response(self, payload: bytes) -> None:
        """Set the response to decode.

        :param payload: encoded response.
        """
        self.received = TMemoryBuffer(payload)
        self.client._iprot = create_protocol(self.received)  # noqa: SLF001


class PeerClient:
    """Calls to other daemons over pooled connections.

    :ivar timeout_s: timeout of a call in seconds.
    """

    __slots__ = ('_idle', '_on_sent', 'timeout_s')

    def __init__(
        self, timeout_s: float, on_sent: Callable[[int], None]
    ) -> None:
        """Create a client without connections.

        :param timeout_s: timeout of a call in seconds.
        :param on_sent: called with the size of each call in bytes.
        """
        self.timeout_s = timeout_s
        self._on_sent = on_sent
        self._idle: dict[str, list[socket.socket]] = defaultdict(list)

    def deliver(
        self, address: str, batch: Batch
    ) -> Delivered | Unreachable | Ambiguous:
        """Deliver a batch.

        :param address: ``address:port`` of the peer.
        :param batch: the batch.
        :return: the answer, or the reason for the failure.
        """
        call = _BufferedCall()
        call.client.send_deliver(encode_structure(batch))
        size = len(call.sent.getvalue())
        outcome = self._query(address, call, call.client.recv_deliver)
        if isinstance(outcome, Unreachable | Ambiguous):
            return outcome
        return Delivered(outcome, size)

    def claim(
        self, address: str, question: ClaimAsk
    ) -> ClaimReply | Unreachable | Ambiguous:
        """Ask the issuer of a key whether a request may run.

        :param address: ``address:port`` of the peer.
        :param question: the question.
        :return: the decision, or the reason for the failure.
        """
        call = _BufferedCall()
        call.client.send_claim(encode_structure(question))
        return self._query(address, call, call.client.recv_claim)

    def settle(
        self, address: str, key: str, *, ran: bool
    ) -> bool | Unreachable | Ambiguous:
        """Tell the issuer of a key how its request ended.

        :param address: ``address:port`` of the peer.
        :param key: the key.
        :param ran: whether a backend server may have run the request.
        :return: true, or the reason for the failure.
        """
        call = _BufferedCall()
        call.client.send_settle(key, ran)
        return self._exchange(address, call, call.client.recv_settle)

    def fetch(
        self, address: str, service: str
    ) -> DocumentCopy | Unreachable | Ambiguous:
        """Fetch a peer's copy of a document.

        :param address: ``address:port`` of the peer.
        :param service: service name.
        :return: the copy, or the reason for the failure.
        """
        call = _BufferedCall()
        call.client.send_fetch(service)
        return self._query(address, call, call.client.recv_fetch)

    def follow(
        self, address: str, ask: ChangeAsk
    ) -> Changes | Unreachable | Ambiguous:
        """Wait for a peer to report changes to platform objects of a kind.

        :param address: ``address:port`` of the peer.
        :param ask: the question.
        :return: the changes, or the reason for the failure.
        """
        call = _BufferedCall()
        call.client.send_follow(encode_structure(ask))
        return self._query(
            address,
            call,
            call.client.recv_follow,
            wait_s=convert_to_seconds(ask.wait_ms),
        )

    def find_origin(
        self, address: str, ask: OriginAsk
    ) -> OriginReply | Unreachable | Ambiguous:
        """Ask a peer where a stream began.

        :param address: ``address:port`` of the peer.
        :param ask: the question.
        :return: the origin, or the reason for the failure.
        """
        call = _BufferedCall()
        call.client.send_find_origin(encode_structure(ask))
        return self._query(address, call, call.client.recv_find_origin)

    def _query(
        self,
        address: str,
        call: _BufferedCall,
        receive: Callable[[], Any],
        wait_s: float = 0,
    ) -> Any:
        """Exchange a call whose answer is a structure, and decode it."""
        outcome = self._exchange(address, call, receive, wait_s)
        if isinstance(outcome, Unreachable | Ambiguous):
            return outcome
        try:
            return decode_structure(outcome)
        except ValueError as error:
            return Ambiguous(Cause.MALFORMED, str(error))

    def _exchange(
        self,
        address: str,
        call: _BufferedCall,
        receive: Callable[[], Any],
        wait_s: float = 0,
    ) -> Any:
        connection = self._connect(address)
        if isinstance(connection, Unreachable):
            return connection
        payload = self._transfer(
            connection, call.sent.getvalue(), self.timeout_s + wait_s
        )
        if isinstance(payload, Ambiguous):
            connection.close()
            # Other connections to the peer have probably failed as well.
            self._close_idle(address)
            return payload
        self._release(address, connection)
        call.set_response(payload)
        try:
            return receive()
        except DECODING_ERRORS as error:
            return Ambiguous(Cause.MALFORMED, str(error))

    def _connect(self, address: str) -> socket.socket | Unreachable:
        idle = self._idle[address]
        if idle:
            return idle.pop()
        place = split_address(address)
        if isinstance(place, Invalid):
            return Unreachable(Cause.MALFORMED, place.message)
        try:
            connection = socket.create_connection(place, self.timeout_s)
        except TimeoutError as slow:
            return Unreachable(Cause.SILENT, str(slow))
        except OSError as refused:
            return Unreachable(Cause.REFUSED, str(refused))
        # Each transfer sets its own timeout.
        connection.settimeout(None)
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return connection

    def _transfer(
        self, connection: socket.socket, payload: bytes, timeout_s: float
    ) -> bytes | Ambiguous:
        try:
            with eventlet.Timeout(timeout_s):
                self._on_sent(send_frame(connection, payload))
                response = receive_frame(connection)
        except (TimeoutError, eventlet.Timeout):
            return Ambiguous(Cause.SILENT)
        except (OSError, FrameError) as error:
            return Ambiguous(Cause.BROKEN, str(error))
        if response is None:
            return Ambiguous(Cause.BROKEN, 'closed by the peer')
        return response

    def _release(self, address: str, connection: socket.socket) -> None:
        idle = self._idle[address]
        if len(idle) < _MAXIMUM_IDLE_PER_ADDRESS:
            idle.append(connection)
        else:
            connection.close()

    def _close_idle(self, address: str) -> None:
        for connection in self._idle.pop(address, []):
            connection.close()


def listen(address: str) -> socket.socket:
    """Open a listening socket that sends small packets without delay.

    :param address: ``address:port``.
    :return: listening socket.
    """
    host, _, port = address.rpartition(':')
    listener = eventlet.listen((host, int(port)), backlog=_BACKLOG)
    listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return listener
