"""Detection of callers that disconnect."""

from __future__ import annotations

import socket as sockets
from typing import Any

import eventlet
from eventlet import hubs
from eventlet.green import socket

from egretdale.coordination.exchanges import CallerGone


class CallerWatch:
    """Interrupts a task when its caller disconnects.

    While a request is served, nothing else reads from the connection.
    """

    __slots__ = ('_hub', '_listener', '_socket', '_stopped', '_target')

    def __init__(self, connection: socket.socket) -> None:
        """Start watching on behalf of the current task.

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
        """Stop watching; the task is no longer interrupted."""
        self._stopped = True
        self._remove()

    def _remove(self) -> None:
        if self._listener is not None:
            self._hub.remove(self._listener)
            self._listener = None

    def _note_readable(self, descriptor: int) -> None:
        self._remove()
        try:
            # A pipelined request is not a disconnect.
            disconnected = not self._socket.fd.recv(1, sockets.MSG_PEEK)
        except BlockingIOError:
            disconnected = False
        except OSError:
            # A reset is a disconnect just like an orderly close.
            disconnected = True
        if disconnected:
            self._interrupt()

    def _interrupt(self, *reason: object) -> None:
        self._hub.schedule_call_global(0, self._raise_caller_gone)

    def _raise_caller_gone(self) -> None:
        if not self._stopped:
            self._target.throw(CallerGone('the caller disconnected'))

    def _ignore_close(self) -> None:
        """Ignore a closed socket; :meth:`stop` removes the listener."""
