"""How long ago a copy of stored state was known to be the newest."""

from __future__ import annotations

from egretdale.util.clocks import Clock


class Confirmation:
    """The time up to which a copy holds every change that was acknowledged.

    The clock must count time during which the process was suspended.
    """

    __slots__ = ('_clock', '_confirmed_at')

    def __init__(self, clock: Clock) -> None:
        """Start without any confirmation.

        :param clock: monotonic clock that counts suspension.
        """
        self._clock = clock
        self._confirmed_at = float('-inf')

    def confirm(self, sent_at: float) -> None:
        """Note a read that showed that the copy is the newest.

        :param sent_at: when the read was sent, on this clock; changes after
            that may be missing from the answer.
        """
        self._confirmed_at = max(self._confirmed_at, sent_at)

    def measure_age(self) -> float:
        """Measure the age of the copy.

        :return: seconds, infinite before the first confirmation.
        """
        return self._clock() - self._confirmed_at
