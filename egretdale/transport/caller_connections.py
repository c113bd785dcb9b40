"""Connections of callers that wait for a request or for its response."""

from __future__ import annotations

import socket as sockets
from typing import Any

from egretdale.transport.sockets import has_received
from egretdale.util.logs import get_logger

logger = get_logger(__name__)


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
