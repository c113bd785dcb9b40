"""Connections of callers that wait for a request or for its response."""

from __future__ import annotations

import socket as sockets
import struct
from typing import Any

import eventlet
from eventlet import wsgi

from egretdale.transport.sockets import (
    has_received,
    is_readable,
    wait_until_readable,
)
from egretdale.transport.strict_server import StrictProtocol
from egretdale.util.clocks import read_hub_clock
from egretdale.util.logs import get_logger

logger = get_logger(__name__)

#: Connections are kept open this much longer than announced, in seconds.
_IDLE_GRACE_S = 1.0
_OLD_VERSION = 'HTTP/1.0'
#: Heads may be this many times longer than the limit for callers.
_HEAD_FACTOR = 2
#: Requests that were sent ahead after which other tasks run.
_REQUESTS_PER_YIELD = 8


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
    #: Requests in a row that had arrived before they were waited for.
    _sent_ahead = 0

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
        # Announced to callers that ask for it.
        self.server.keepalive = self.server.app.limits().idle_s
        environ = super().get_environ()
        environ['egretdale.target'] = self.read_target()
        return environ

    def _read_request_line(self) -> bytes:
        self._end_head()
        if self._sent_ahead >= _REQUESTS_PER_YIELD:
            self._sent_ahead = 0
            eventlet.sleep(0)
        # The server itself would shut down idle connections when the listener
        # is closed, also those that have just sent a request.
        self.conn_state[2] = wsgi.STATE_REQUEST
        ingress = self.server.app
        ingress.connections.note_idle(self.connection)
        self.note_waiting()
        has_begun = self._wait_for_request()
        ingress.connections.note_read(self.connection, is_request=has_begun)
        if not has_begun:
            return b''
        self.connection.settimeout(None)
        # Unlike that of the socket, it does not start anew with each byte.
        self._head_timer = eventlet.Timeout(
            ingress.limits().header_s, TimeoutError()
        )
        try:
            return self._read_line()
        except ConnectionError as gone:
            logger.info('caller-gone', detail=str(gone))
        return b''

    def _read_line(self) -> bytes:
        self._reader.start_message()
        return self._reader.readline(self.server.url_length_limit)

    def _wait_for_request(self) -> bool:
        """Wait until a request begins to arrive.

        The idle timeout may be raised meanwhile.

        :return: whether it did, or the connection has ended, in time.
        """
        if self._has_buffered():
            self._sent_ahead += 1
            return True
        self._sent_ahead = 0
        ingress = self.server.app
        since = read_hub_clock()
        while not is_readable(self.connection):
            limit_s = ingress.limits().idle_s + _IDLE_GRACE_S
            left_s = since + limit_s - read_hub_clock()
            if left_s <= 0:
                return False
            wait_until_readable(self.connection, left_s)
        return True

    def _has_buffered(self) -> bool:
        """Tell whether the next request came with the one before."""
        self.connection.setblocking(False)
        try:
            return bool(self._received.peek(1))
        except OSError as gone:
            logger.info('caller-gone', detail=str(gone))
        return False

    def _get_maximum_head(self) -> int:
        # Hosts that relay requests add fields.
        return self.server.app.limits().header_bytes * _HEAD_FACTOR

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
