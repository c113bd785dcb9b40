"""Connections of callers that wait for a request or for its response."""

from __future__ import annotations

import socket as sockets
import struct
from typing import Any

import eventlet
from eventlet import wsgi

from egretdale.transport.sockets import has_received
from egretdale.transport.strict_server import StrictProtocol
from egretdale.util.logs import get_logger

logger = get_logger(__name__)

#: Connections are kept open this much longer than announced, in seconds.
_IDLE_GRACE_S = 1.0
_OLD_VERSION = 'HTTP/1.0'


class CallerConnections:
    """The open connections of callers, by what they wait for."""

    __slots__ = ('_busy', '_idle')

    def __init__(self) -> None:
        """Create a set without connections."""
        self._idle: set[Any] = set()
        self._busy: set[Any] = set()

    def note_idle(self, connection: Any) -> None:
        """Record that a connection is waiting for a request.

        :param connection: socket of the caller.
        """
        self._busy.discard(connection)
        self._idle.add(connection)

    def note_read(self, connection: Any, *, is_request: bool) -> None:
        """Record that a connection is no longer waiting for a request.

        :param connection: socket of the caller.
        :param is_request: whether it has sent one, otherwise it has ended.
        """
        self._idle.discard(connection)
        if is_request:
            self._busy.add(connection)

    def note_closed(self, connection: Any) -> None:
        """Record that a connection is closed.

        :param connection: socket of the caller.
        """
        self._idle.discard(connection)
        self._busy.discard(connection)

    def is_busy(self) -> bool:
        """Tell whether a request is being read or answered."""
        return bool(self._busy)

    def close_idle(self) -> None:
        """Close the connections that have sent no request."""
        for connection in list(self._idle):
            if has_received(connection):
                continue
            try:
                connection.shutdown(sockets.SHUT_RDWR)
            except OSError as error:
                logger.info('idle-connection-gone', detail=str(error))


class CallerProtocol(StrictProtocol):
    """A connection of a caller, with limits that may change at runtime."""

    _head_timer: eventlet.Timeout | None = None

    def close_after_response(self) -> None:
        """Announce in the response that the connection closes, and close it."""
        self.close_connection = 1

    def abort_response(self) -> None:
        """Make a response that has failed look incomplete to the caller.

        Callers of HTTP/1.0 take an orderly close for the end of a response.
        """
        if self.request_version == _OLD_VERSION:
            linger = struct.pack('ii', 1, 0)
            self.connection.setsockopt(
                sockets.SOL_SOCKET, sockets.SO_LINGER, linger
            )
            # The server would shut the connection down in order.
            self.connection.fd.close()

    def get_environ(self) -> dict[str, Any]:
        """Return the WSGI environment with the request target as sent.

        :return: the environment.
        """
        self._end_head()
        self.connection.settimeout(self.server.app.limits().header_s)
        environ = super().get_environ()
        environ['egretdale.target'] = self.read_target()
        environ['egretdale.connection'] = self
        return environ

    def _read_request_line(self) -> bytes:
        self._end_head()
        ingress = self.server.app
        self.server.keepalive = ingress.limits().idle_s + _IDLE_GRACE_S
        # The server itself would shut down idle connections when the listener
        # is closed, also those that have just sent a request.
        self.conn_state[2] = wsgi.STATE_REQUEST
        ingress.connections.note_idle(self.connection)
        line = b''
        try:
            line = super()._read_request_line()
        finally:
            ingress.connections.note_read(
                self.connection, is_request=bool(line)
            )
        header_s = ingress.limits().header_s
        self.connection.settimeout(header_s)
        if line:
            # The timeout of the socket starts anew with each byte.
            self._head_timer = eventlet.Timeout(header_s, TimeoutError())
        return line

    def _end_head(self) -> None:
        if self._head_timer is not None:
            self._head_timer.cancel()

    def note_malformed(self, detail: str) -> None:
        """Log and count a malformed request.

        :param detail: what is malformed.
        """
        self._end_head()
        self.server.app.note_malformed(detail)

    def finish(self) -> None:
        """Close the connection."""
        self._end_head()
        self.server.app.connections.note_closed(self.connection)
        super().finish()
