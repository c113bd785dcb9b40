"""Token buckets for rates and budgets."""

from __future__ import annotations

from egretdale.util.clocks import Clock


class TokenBucket:
    """Limits a rate, allowing short bursts.

    :ivar rate: units added each second.
    :ivar burst: units that may be saved up.
    """

    __slots__ = ('_clock', '_filled_at', '_level', 'burst', 'rate')

    def __init__(self, rate: float, burst: float, clock: Clock) -> None:
        """Create a full bucket.

        :param rate: units added each second.
        :param burst: units that may be saved up.
        :param clock: monotonic clock.
        """
        self.rate = rate
        self.burst = burst
        self._clock = clock
        self._level = burst
        self._filled_at = clock()

    def take(self, amount: float = 1) -> bool:
        """Take units if they are there.

        :param amount: units wanted.
        :return: whether they were taken.
        """
        self._fill()
        if self._level < amount:
            return False
        self._level -= amount
        return True

    def has(self, amount: float) -> bool:
        """Return whether units are there.

        :param amount: units wanted.
        """
        self._fill()
        return self._level >= amount

    def charge(self, amount: float) -> None:
        """Take units that have been spent already; the level may go negative.

        :param amount: units spent.
        """
        self._fill()
        self._level -= amount

    def is_overdrawn(self) -> bool:
        """Return whether more was charged than the rate allows."""
        self._fill()
        return self._level < 0

    def _fill(self) -> None:
        now = self._clock()
        gained = (now - self._filled_at) * self.rate
        self._level = min(self.burst, self._level + gained)
        self._filled_at = now
