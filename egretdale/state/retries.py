"""Budget for retries of requests at other backend servers."""

from __future__ import annotations

from egretdale.util.buckets import TokenBucket
from egretdale.util.clocks import Clock

#: Minimum number of retries that can be accumulated. If it were less than 1, a
#: host with a small part of the allowance would lose the retries that its
#: first attempts earn.
_MINIMUM_BURST = 1.25


class RetryBudget:
    """This host's part of the retry budget of a service.

    Every host earns retries by its own first attempts and gets an equal part
    of a fixed allowance. The sum over all hosts thus stays within the budget
    without messages between them.
    """

    __slots__ = ('_bucket', '_ratio', '_window_s')

    def __init__(
        self, *, ratio: float, allowance: float, window_s: float, clock: Clock
    ) -> None:
        """Create a budget with an unspent allowance.

        :param ratio: retries that each first attempt earns.
        :param allowance: this host's part of the additional retries that are
            allowed in each window.
        :param window_s: length of the window in seconds.
        :param clock: monotonic clock.
        """
        self._ratio = ratio
        self._window_s = window_s
        self._bucket = TokenBucket(0, _compute_burst(allowance), clock)
        self.set_allowance(allowance)

    def set_allowance(self, allowance: float) -> None:
        """Change this host's part of the allowance.

        :param allowance: additional retries that are allowed in each window.
        """
        # Within one window, both a full burst and the refill may be spent, so
        # each gets half of the allowance.
        self._bucket.rate = allowance / 2 / self._window_s
        self._bucket.burst = _compute_burst(allowance)

    def earn(self) -> None:
        """Record a first attempt."""
        self._bucket.charge(-self._ratio)

    def spend(self) -> bool:
        """Spend one retry.

        :return: whether the budget allows it.
        """
        return self._bucket.take()

    def has_room(self) -> bool:
        """Return whether the budget allows a retry."""
        return self._bucket.has(1)


def _compute_burst(allowance: float) -> float:
    """Return the burst for an allowance: half of it, or the minimum."""
    return max(_MINIMUM_BURST, allowance / 2)
