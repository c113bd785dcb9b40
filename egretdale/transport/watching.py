"""Notices that a caller has closed its connection."""

from __future__ import annotations

import socket as sockets
from typing import Any

import eventlet
from eventlet import hubs
from eventlet.green import socket

from egretdale.coordination.exchanges import CallerGone


class CallerWatch:
    """Interrupts a task when its caller closes the connection.

    While a request is served, nothing else reads from the connection.
    """

    __slots__ = ('_hub', '_listener', '_socket', '_stopped', '_target')

    def __init__(self, connection: socket.socket) -> None:
        """Watch on behalf of the current task.

        :param connection: connection of the caller.
        """
        self._socket = connection
        self._stopped = False
        self._target = eventlet.getcurrent()
        self._hub = hubs.get_hub()
        self._listener: Any = self._hub.add(
            self._hub.READ,
            connection.fileno(),
            self._note_readable,
            self._interrupt,
            self._ignore_close,
        )

    def stop(self) -> None:
        """Stop watching; the task is not interrupted any more."""
        self._stopped = True
        self._remove()

    def _remove(self) -> None:
        if self._listener is not None:
            self._hub.remove(self._listener)
            self._listener = None

    def _note_readable(self, descriptor: int) -> None:
        self._remove()
        try:
            # A further request on the same connection is not an end.
            gone = not self._socket.fd.recv(1, sockets.MSG_PEEK)
        except BlockingIOError:
            gone = False
        except OSError:
            # A reset is as much an end as an orderly close.
            gone = True
        if gone:
            self._interrupt()

    def _interrupt(self, *reason: object) -> None:
        self._hub.schedule_call_global(0, self._throw)

    def _throw(self) -> None:
        if not self._stopped:
            self._target.throw(CallerGone('the caller has left'))

    def _ignore_close(self) -> None:
        """Leave the listener to :meth:`stop` when the socket is closed."""
