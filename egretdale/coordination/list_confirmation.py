"""Makes sure that the list of backend servers holds the latest changes."""

from __future__ import annotations

from collections.abc import Callable

import eventlet
from eventlet.semaphore import Semaphore

from egretdale.coordination.ports import Platform, Position
from egretdale.errors import Unreachable
from egretdale.state.freshness import Confirmation
from egretdale.util.clocks import Clock
from egretdale.util.logs import get_logger

logger = get_logger(__name__)

#: Shortest time in seconds between two reads.
_READ_INTERVAL_S = 0.2
#: Timeout of a read in seconds.
_READ_TIMEOUT_S = 0.4
#: Longest time in seconds until the list has caught up with a change.
_TIMEOUT_S = 1.0
#: Seconds after a failed read in which the platform is not read again.
_FAILURE_S = 0.5


class ListConfirmer:
    """Confirms a list on demand; concurrent callers share the reads.

    A watch confirms it too, but only up to the moment at which it was sent,
    which may be seconds ago.
    """

    __slots__ = (
        '_clock',
        '_confirmation',
        '_failed_at',
        '_kind',
        '_platform',
        '_read_at',
        '_read_position',
        '_reading',
    )

    def __init__(
        self,
        kind: str,
        platform: Platform,
        confirmation: Confirmation,
        read_position: Callable[[], Position],
        clock: Clock,
    ) -> None:
        """Create a confirmer that has read nothing.

        :param kind: kind of the listed objects.
        :param platform: object API.
        :param confirmation: time up to which the list is known to be the
            newest.
        :param read_position: returns the position of the list.
        :param clock: monotonic clock that includes time in suspension.
        """
        self._kind = kind
        self._platform = platform
        self._confirmation = confirmation
        self._read_position = read_position
        self._clock = clock
        self._read_at = float('-inf')
        self._failed_at = float('-inf')
        self._reading = Semaphore()

    def confirm(self) -> bool:
        """Wait until the list holds all changes before this call.

        :return: whether it does, ``False`` if the platform cannot tell.
        """
        called_at = self._clock()
        while self._clock() < called_at + _TIMEOUT_S:
            with self._reading:
                if self._is_confirmed(called_at):
                    return True
                now = self._clock()
                is_late = now >= called_at + _TIMEOUT_S
                if is_late or now < self._failed_at + _FAILURE_S:
                    return False
                self._read()
        return self._is_confirmed(called_at)

    def _is_confirmed(self, called_at: float) -> bool:
        age_s = self._confirmation.measure_age()
        return age_s <= self._clock() - called_at

    def _read(self) -> None:
        pause_s = self._read_at + _READ_INTERVAL_S - self._clock()
        eventlet.sleep(max(0, pause_s))
        sent_at = self._clock()
        self._read_at = sent_at
        position = self._read_position()
        is_newest = self._platform.is_newest(
            self._kind, position, _READ_TIMEOUT_S
        )
        if isinstance(is_newest, Unreachable):
            self._failed_at = self._clock()
            logger.info('backend-list-unconfirmed', detail=is_newest.detail)
        elif is_newest and position == self._read_position():
            self._confirmation.confirm(sent_at)
