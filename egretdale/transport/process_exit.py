"""Exit status of the process."""

from __future__ import annotations

from eventlet.event import Event

from egretdale.util.logs import get_logger

logger = get_logger(__name__)

_CRASH_STATUS = 70


class ProcessExit:
    """Keeps the first exit status that is set, and lets a task wait for it."""

    __slots__ = ('_status',)

    def __init__(self) -> None:
        """Create an exit without a status."""
        self._status = Event()

    def wait(self) -> int:
        """Wait until the exit status is set.

        :return: exit status.
        """
        return self._status.wait()

    def finish(self, status: int) -> None:
        """Set the exit status, unless it is already set.

        :param status: exit status.
        """
        if not self._status.ready():
            self._status.send(status)

    def crash(self, error: BaseException) -> None:
        """Set the exit status for a violated invariant.

        :param error: exception that a task raised.
        """
        logger.warning('stopped-by-broken-invariant', error=repr(error))
        self.finish(_CRASH_STATUS)
