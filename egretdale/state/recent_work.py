"""Interference between prompts and streams at the same engine.

An engine prefills prompts between the tokens of its streams, so every prompt
lengthens the gaps between the tokens of the streams beside it.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from egretdale.util.clocks import Clock

#: Time in seconds in which what was sent to an engine loses most of its
#: weight: about as long as a stream lasts.
_MEMORY_S = 2.0


@dataclass(slots=True)
class RecentWork:
    """Work that was recently sent to an engine, decaying exponentially.

    :ivar prefill_s: seconds of prefill.
    :ivar gap_sensitivity: sum of the gap sensitivities of the streams, in
        1/s²; see :func:`compute_gap_sensitivity`.
    :ivar noted_at: clock time to which both values have decayed.
    """

    prefill_s: float = 0
    gap_sensitivity: float = 0
    noted_at: float = 0

    @property
    def load(self) -> float:
        """Part of the recent time that the prefill took."""
        return self.prefill_s / _MEMORY_S


class RecentWorkTable:
    """Recent work by name of the engine's incarnation."""

    __slots__ = ('_by_engine', '_clock')

    def __init__(self, clock: Clock) -> None:
        """Create an empty table.

        :param clock: monotonic clock.
        """
        self._clock = clock
        self._by_engine: dict[str, RecentWork] = {}

    def find(self, engine: str) -> RecentWork:
        """Return the recent work of an engine.

        :param engine: name of the incarnation.
        :return: its recent work, decayed to the present.
        """
        now = self._clock()
        recent = self._by_engine.get(engine)
        if recent is None:
            recent = RecentWork(noted_at=now)
            self._by_engine[engine] = recent
        decay = math.exp((recent.noted_at - now) / _MEMORY_S)
        recent.prefill_s *= decay
        recent.gap_sensitivity *= decay
        recent.noted_at = now
        return recent

    def note(self, engine: str, prefill_s: float, pause_s: float) -> None:
        """Record a request that is sent to an engine.

        :param engine: name of the incarnation.
        :param prefill_s: seconds to prefill its prompt.
        :param pause_s: longest pause that is wanted, 0 for any.
        """
        recent = self.find(engine)
        recent.prefill_s += prefill_s
        recent.gap_sensitivity += compute_gap_sensitivity(pause_s)

    def forget(self, engine: str) -> None:
        """Remove an engine that has stopped.

        :param engine: name of the incarnation.
        """
        self._by_engine.pop(engine, None)


def compute_gap_sensitivity(pause_s: float) -> float:
    """Compute how sensitive a stream is to longer gaps between its events.

    :param pause_s: longest pause that is wanted, 0 for any.
    :return: one over the square of that pause, in 1/s²; 0 for any.
    """
    return 1 / pause_s**2 if pause_s else 0
