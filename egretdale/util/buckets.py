"""Token bucket for rate limits and budgets."""

from __future__ import annotations

import math

from egretdale.util.clocks import Clock


class TokenBucket:
    """Limits a rate while allowing short bursts.

    :ivar rate: units added per second.
    :ivar burst: capacity of the bucket in units.
    """

    __slots__ = ('_clock', '_refilled_at', '_level', 'burst', 'rate')

    def __init__(self, rate: float, burst: float, clock: Clock) -> None:
        """Create a full bucket.

        :param rate: units added per second.
        :param burst: capacity of the bucket in units.
        :param clock: monotonic clock.
        """
        self.rate = rate
        self.burst = burst
        self._clock = clock
        self._level = burst
        self._refilled_at = clock()

    def take(self, amount: float = 1) -> bool:
        """Take units if enough are available.

        :param amount: number of units.
        :return: whether they were taken.
        """
        self._refill()
        if self._level < amount:
            return False
        self._level -= amount
        return True

    def has(self, amount: float) -> bool:
        """Return whether enough units are available.

        :param amount: number of units.
        """
        self._refill()
        return self._level >= amount

    def measure_wait(self, amount: float = 1) -> float:
        """Return the time until enough units are available.

        :param amount: number of units.
        :return: seconds, infinite if no units are added.
        """
        self._refill()
        missing = amount - self._level
        if missing <= 0:
            return 0
        return missing / self.rate if self.rate else math.inf

    def change_rate(self, rate: float, burst: float) -> None:
        """Change the limits; units that were added so far remain.

        :param rate: units added per second.
        :param burst: capacity of the bucket in units.
        """
        self._refill()
        self.rate = rate
        self.burst = burst

    def charge(self, amount: float) -> None:
        """Deduct units that have already been spent.

        The level may become negative.

        :param amount: number of units; a negative number adds units.
        """
        self._refill()
        self._level -= amount

    def is_overdrawn(self) -> bool:
        """Return whether more units were spent than were available."""
        self._refill()
        return self._level < 0

    def _refill(self) -> None:
        now = self._clock()
        added = (now - self._refilled_at) * self.rate
        self._level = min(self.burst, self._level + added)
        self._refilled_at = now
