"""Freshness of a local copy of stored state."""

from __future__ import annotations

from egretdale.util.clocks import Clock


class Confirmation:
    """The latest time at which a copy was confirmed to be current.

    The copy holds every change that was acknowledged before that time. The
    clock must include time during which the process was suspended.
    """

    __slots__ = ('_clock', '_confirmed_at')

    def __init__(self, clock: Clock) -> None:
        """Start without a confirmation.

        :param clock: monotonic clock that includes time in suspension.
        """
        self._clock = clock
        self._confirmed_at = float('-inf')

    def confirm(self, sent_at: float) -> None:
        """Record a read that confirmed that the copy is current.

        :param sent_at: clock time at which the read was sent; later changes
            may be missing from its answer.
        """
        self._confirmed_at = max(self._confirmed_at, sent_at)

    def measure_age(self) -> float:
        """Return the time since the copy was last known to be current.

        :return: seconds, infinite before the first confirmation.
        """
        return self._clock() - self._confirmed_at
