"""The end of a process."""

from __future__ import annotations

from eventlet.event import Event

from egretdale.util.logs import get_logger

logger = get_logger(__name__)

_CRASH_STATUS = 70


class ProcessEnd:
    """Waits for the first reason to end and keeps its exit status."""

    __slots__ = ('_ended',)

    def __init__(self) -> None:
        """Create an end that has not come."""
        self._ended = Event()

    def wait(self) -> int:
        """Wait for the end.

        :return: exit status.
        """
        return self._ended.wait()

    def finish(self, status: int) -> None:
        """End the process, unless it ends already.

        :param status: exit status.
        """
        if not self._ended.ready():
            self._ended.send(status)

    def crash(self, error: BaseException) -> None:
        """End the process because an invariant is broken.

        :param error: what a task has raised.
        """
        logger.warning('stopped-by-broken-invariant', error=repr(error))
        self.finish(_CRASH_STATUS)
