"""The budget for sending a request to a second backend server."""

from __future__ import annotations

from egretdale.util.buckets import TokenBucket
from egretdale.util.clocks import Clock


class RetryBudget:
    """This host's part of a service's budget for repeated requests.

    Every host earns repeats from its own first attempts and gets an equal
    part of the fixed allowance, so the sum over all hosts keeps to the
    budget without messages between them.
    """

    __slots__ = ('_bucket', '_ratio')

    def __init__(
        self, *, ratio: float, allowance: float, window_s: float, clock: Clock
    ) -> None:
        """Create a budget with its allowance unspent.

        :param ratio: repeats that each first attempt earns.
        :param allowance: this host's part of the repeats that are allowed in
            each window besides.
        :param window_s: length of the window in seconds.
        :param clock: monotonic clock.
        """
        self._ratio = ratio
        # A window may see the saved-up burst and what is added during it.
        burst = allowance / 2
        self._bucket = TokenBucket(burst / window_s, burst, clock)

    def earn(self) -> None:
        """Note a first attempt."""
        self._bucket.charge(-self._ratio)

    def spend(self) -> bool:
        """Take a repeat out of the budget.

        :return: whether the budget allows it.
        """
        return self._bucket.take()

    def has_room(self) -> bool:
        """Tell whether the budget allows a repeat."""
        return self._bucket.has(1)
