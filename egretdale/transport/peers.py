"""Thrift connections between daemons."""

from __future__ import annotations

import contextlib
from collections import defaultdict
from collections.abc import Callable
from typing import Any

import eventlet
from eventlet.green import socket
from eventlet.greenpool import GreenPool
from thrift.protocol.TProtocol import TProtocolException
from thrift.Thrift import TApplicationException, TException
from thrift.transport.TTransport import TMemoryBuffer, TTransportException

from egretdale.coordination.ports import Delivered
from egretdale.errors import Ambiguous, Cause, Unreachable
from egretdale.protocol.gen import Peer
from egretdale.protocol.wire import (
    create_protocol,
    decode_structure,
    encode_structure,
)
from egretdale.state.messages import (
    Batch,
    ChangeAsk,
    Changes,
    ClaimAsk,
    ClaimReply,
    DocumentCopy,
)
from egretdale.transport.frames import (
    FrameError,
    receive_frame,
    send_frame,
)
from egretdale.transport.peer_calls import NewsHandler
from egretdale.util.clocks import convert_to_seconds
from egretdale.util.logs import get_logger

logger = get_logger(__name__)

_BACKLOG = 512
_MAXIMUM_PEERS = 1024
_IDLE_PER_ADDRESS = 4

_MALFORMED = (
    TException,
    TProtocolException,
    TTransportException,
    EOFError,
    ValueError,
    TypeError,
    UnicodeDecodeError,
    OverflowError,
    TApplicationException,
)
_ENDING = (OSError, FrameError, *_MALFORMED)


class _BufferedCall:
    """A call that is encoded into memory and answered from memory."""

    __slots__ = ('client', 'received', 'sent')

    def __init__(self) -> None:
        self.sent = TMemoryBuffer()
        self.received = TMemoryBuffer()
        self.client = Peer.Client(
            create_protocol(self.received), create_protocol(self.sent)
        )

    def load(self, payload: bytes) -> None:
        """Make a payload the answer.

        :param payload: bytes of the answer.
        """
        self.received = TMemoryBuffer(payload)
        self.client._iprot = create_protocol(self.received)  # noqa: SLF001


class PeerClient:
    """Calls to other daemons over pooled connections.

    :ivar timeout_s: longest wait for an answer in seconds.
    """

    __slots__ = ('_idle', '_on_sent', 'timeout_s')

    def __init__(
        self, timeout_s: float, on_sent: Callable[[int], None]
    ) -> None:
        """Create a client without connections.

        :param timeout_s: longest wait for an answer in seconds.
        :param on_sent: called with the bytes of each call.
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
        :return: the answer, or why there is none.
        """
        call = _BufferedCall()
        call.client.send_deliver(encode_structure(batch))
        size = len(call.sent.getvalue())
        outcome = self._exchange(address, call, call.client.recv_deliver)
        if isinstance(outcome, Unreachable | Ambiguous):
            return outcome
        return Delivered(decode_structure(outcome), size)

    def claim(
        self, address: str, question: ClaimAsk
    ) -> ClaimReply | Unreachable | Ambiguous:
        """Ask the issuer of a key for its decision.

        :param address: ``address:port`` of the peer.
        :param question: the question.
        :return: the decision, or why there is none.
        """
        call = _BufferedCall()
        call.client.send_claim(encode_structure(question))
        outcome = self._exchange(address, call, call.client.recv_claim)
        if isinstance(outcome, Unreachable | Ambiguous):
            return outcome
        return decode_structure(outcome)

    def settle(
        self, address: str, key: str, *, ran: bool
    ) -> bool | Unreachable | Ambiguous:
        """Tell the issuer of a key how its request ended.

        :param address: ``address:port`` of the peer.
        :param key: the key.
        :param ran: whether a backend server may have run the request.
        :return: true, or why the issuer could not be told.
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
        :return: the copy, or why there is none.
        """
        call = _BufferedCall()
        call.client.send_fetch(service)
        outcome = self._exchange(address, call, call.client.recv_fetch)
        if isinstance(outcome, Unreachable | Ambiguous):
            return outcome
        return decode_structure(outcome)

    def follow(
        self, address: str, ask: ChangeAsk
    ) -> Changes | Unreachable | Ambiguous:
        """Wait at a peer for changes of a kind of the platform.

        :param address: ``address:port`` of the peer.
        :param ask: the question.
        :return: the changes, or why there is no answer.
        """
        call = _BufferedCall()
        call.client.send_follow(encode_structure(ask))
        outcome = self._exchange(
            address,
            call,
            call.client.recv_follow,
            wait_s=convert_to_seconds(ask.wait_ms),
        )
        if isinstance(outcome, Unreachable | Ambiguous):
            return outcome
        return decode_structure(outcome)

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
            # Other connections to a silent peer are suspect as well.
            self._drop_idle(address)
            return payload
        self._keep(address, connection)
        call.load(payload)
        try:
            return receive()
        except _MALFORMED as malformed:
            return Ambiguous(Cause.MALFORMED, str(malformed))

    def _connect(self, address: str) -> socket.socket | Unreachable:
        idle = self._idle[address]
        if idle:
            return idle.pop()
        host, _, port = address.rpartition(':')
        try:
            connection = socket.create_connection(
                (host, int(port)), self.timeout_s
            )
        except TimeoutError as slow:
            return Unreachable(Cause.SILENT, str(slow))
        except OSError as refused:
            return Unreachable(Cause.REFUSED, str(refused))
        # Each transfer has a timer of its own.
        connection.settimeout(None)
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return connection

    def _transfer(
        self, connection: socket.socket, payload: bytes, timeout_s: float
    ) -> bytes | Ambiguous:
        try:
            with eventlet.Timeout(timeout_s):
                self._on_sent(send_frame(connection, payload))
                answer = receive_frame(connection)
        except (TimeoutError, eventlet.Timeout):
            return Ambiguous(Cause.SILENT)
        except (OSError, FrameError) as broken:
            return Ambiguous(Cause.BROKEN, str(broken))
        if answer is None:
            return Ambiguous(Cause.BROKEN, 'closed by the peer')
        return answer

    def _keep(self, address: str, connection: socket.socket) -> None:
        idle = self._idle[address]
        if len(idle) < _IDLE_PER_ADDRESS:
            idle.append(connection)
        else:
            connection.close()

    def _drop_idle(self, address: str) -> None:
        for connection in self._idle.pop(address, []):
            connection.close()


class PeerServer:
    """Accepts connections of other daemons, one task for each."""

    __slots__ = ('_listener', '_pool', '_processor')

    def __init__(self, listener: socket.socket, handler: NewsHandler) -> None:
        """Create a server.

        :param listener: listening socket.
        :param handler: answers the calls.
        """
        self._listener = listener
        self._processor = Peer.Processor(handler)
        self._pool = GreenPool(_MAXIMUM_PEERS)

    def run(self) -> None:
        """Accept connections until the listener is closed."""
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError as closed:
                logger.info('peer-listener-closed', detail=str(closed))
                return
            self._pool.spawn_n(self._serve, connection)

    def _serve(self, connection: socket.socket) -> None:
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        with contextlib.closing(connection):
            try:
                self._answer_all(connection)
            except _ENDING as broken:
                logger.info('peer-connection-ended', detail=repr(broken))

    def _answer_all(self, connection: socket.socket) -> None:
        while True:
            payload = receive_frame(connection)
            if payload is None:
                return
            answer = TMemoryBuffer()
            self._processor.process(
                create_protocol(TMemoryBuffer(payload)),
                create_protocol(answer),
            )
            send_frame(connection, answer.getvalue())


def listen(address: str) -> socket.socket:
    """Listen on an address, with small packets sent at once.

    :param address: ``address:port``.
    :return: listening socket.
    """
    host, _, port = address.rpartition(':')
    listener = eventlet.listen((host, int(port)), backlog=_BACKLOG)
    listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return listener
