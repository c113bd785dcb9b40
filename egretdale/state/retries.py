"""The budget for sending a request to a second backend server."""

from __future__ import annotations

from egretdale.util.buckets import TokenBucket
from egretdale.util.clocks import Clock

#: Repeats that can always be saved up; with less than one, what the first
#: attempts of a small part earn would be lost.
_MINIMUM_BURST = 1.25


class RetryBudget:
    """This host's part of a service's budget for repeated requests.

    Every host earns repeats from its own first attempts and gets an equal
    part of the fixed allowance, so the sum over all hosts keeps to the
    budget without messages between them.
    """

    __slots__ = ('_bucket', '_ratio', '_window_s')

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
        self._window_s = window_s
        self._bucket = TokenBucket(0, _split(allowance), clock)
        self.set_allowance(allowance)

    def set_allowance(self, allowance: float) -> None:
        """Change this host's part of the allowance.

        :param allowance: repeats that are allowed in each window.
        """
        # A window may see the saved-up burst and what is added during it.
        self._bucket.rate = allowance / 2 / self._window_s
        self._bucket.burst = _split(allowance)

    def earn(self) -> None:
        """Note a first attempt."""
        self._bucket.charge(-self._ratio)

    def spend(self) -> bool:
        """Take a repeat out of the budget.

        :return: whether the budget allows it.
        """
        return self._bucket.take()

    def has_room(self) -> bool:
        """Return whether the budget allows a repeat."""
        return self._bucket.has(1)


def _split(allowance: float) -> float:
    """Return the part of an allowance that may be saved up."""
    return max(_MINIMUM_BURST, allowance / 2)
