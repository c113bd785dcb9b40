"""Retry times for refused callers."""

from __future__ import annotations

import random

_MINIMUM_S = 0.5
_MAXIMUM_S = 3600.0
_JITTER_SHARE = 0.1


class RetryScheduler:
    """Spreads the retries of refused callers over time.

    Within a class, the retries of an organisation are scheduled one expected
    service time apart, so that callers who comply find a free slot.
    """

    __slots__ = ('_last_due', '_random')

    def __init__(self, source: random.Random) -> None:
        """Create a scheduler without scheduled retries.

        :param source: random source for the jitter.
        """
        self._random = source
        self._last_due: dict[tuple[str, str], float] = {}

    def schedule(
        self,
        queue_name: tuple[str, str],
        now: float,
        wait_s: float,
        spacing_s: float,
    ) -> float:
        """Choose when a refused caller should retry.

        :param queue_name: class and organisation of the caller.
        :param now: monotonic seconds.
        :param wait_s: earliest time at which a slot may be free, in seconds
            from now.
        :param spacing_s: seconds between two retries of the organisation.
        :return: seconds from now.
        """
        earliest = now + max(_MINIMUM_S, wait_s)
        last_due = self._last_due.get(queue_name, float(0))
        due = max(earliest, last_due + spacing_s)
        due = min(due, now + _MAXIMUM_S)
        self._last_due[queue_name] = due
        jitter = self._random.uniform(0, _JITTER_SHARE)
        return (due - now) * (1 + jitter)
