"""Server for the thrift connections of other daemons."""

from __future__ import annotations

import contextlib

from eventlet.green import socket
from thrift.transport.TTransport import TMemoryBuffer

from egretdale.protocol.gen import Peer
from egretdale.protocol.wire import create_protocol
from egretdale.state.memory import Holding
from egretdale.transport.connection_limits import (
    ConnectionLimits,
    ConnectionPool,
    MemoryReclaimed,
    receive_for,
)
from egretdale.transport.frames import FrameError, receive_frame, send_frame
from egretdale.transport.peer_calls import BasePeerHandler
from egretdale.transport.peers import DECODING_ERRORS
from egretdale.transport.sockets import wait_until_readable
from egretdale.util.logs import get_logger

logger = get_logger(__name__)

#: Longest pause in seconds within a frame.
_FRAME_TIMEOUT_S = 10.0
_CONNECTION_ERRORS = (OSError, FrameError, MemoryReclaimed, *DECODING_ERRORS)


class PeerServer:
    """Serves connections of other daemons, each in its own task."""

    __slots__ = ('_limits', '_listener', '_pool', '_processor')

    def __init__(
        self,
        listener: socket.socket,
        handler: BasePeerHandler,
        limits: ConnectionLimits,
        maximum_connections: int,
    ) -> None:
        """Create a server.

        :param listener: listening socket.
        :param handler: handles the calls.
        :param limits: limits of the connections.
        :param maximum_connections: maximum number of connections.
        """
        self._limits = limits
        self._listener = listener
        self._processor = Peer.Processor(handler)
        self._pool = ConnectionPool(maximum_connections, limits)

    def run(self) -> None:
        """Accept connections until the listener is closed."""
        while True:
            try:
                connection, place = self._listener.accept()
            except OSError as error:
                logger.info('peer-listener-closed', detail=str(error))
                return
            self._pool.spawn(self._serve, connection, place[0])

    def _serve(self, connection: socket.socket, address: str) -> None:
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        holding = self._limits.open_holding(address)
        with contextlib.closing(connection):
            try:
                self._serve_calls(connection, holding)
            except _CONNECTION_ERRORS as error:
                logger.info('peer-connection-ended', detail=repr(error))
            finally:
                self._limits.note_serving(connection)
                holding.release()

    def _serve_calls(self, connection: socket.socket, holding: Holding) -> None:
        while True:
            payload = self._receive_call(connection, holding)
            if payload is None:
                return
            response = TMemoryBuffer()
            self._processor.process(
                create_protocol(TMemoryBuffer(payload)),
                create_protocol(response),
            )
            connection.settimeout(_FRAME_TIMEOUT_S)
            send_frame(connection, response.getvalue())
            holding.release()

    def _receive_call(
        self, connection: socket.socket, holding: Holding
    ) -> bytes | None:
        self._limits.note_waiting(connection, holding.address)
        connection.settimeout(None)
        wait_until_readable(connection, None)
        connection.settimeout(_FRAME_TIMEOUT_S)
        with receive_for(holding):
            payload = receive_frame(connection, holding.grow)
        self._limits.note_serving(connection)
        return payload
