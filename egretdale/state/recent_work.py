"""What prompts and streams at the same engine do to each other.

An engine prefills prompts between the tokens of its streams, so every prompt
stretches the pauses of the streams beside it.
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
    """What an engine was sent lately, fading with time.

    :ivar prefill_s: seconds of prefill.
    :ivar gap_sensitivity: sum over the streams of one over the square of the
        longest pause that is wanted, in 1/s².
    :ivar noted_at: clock time that both hold for.
    """

    prefill_s: float = 0
    gap_sensitivity: float = 0
    noted_at: float = 0


class RecentWorkTable:
    """Mixtures by name of the engine's incarnation."""

    __slots__ = ('_by_engine', '_clock')

    def __init__(self, clock: Clock) -> None:
        """Create an empty table.

        :param clock: monotonic clock.
        """
        self._clock = clock
        self._by_engine: dict[str, RecentWork] = {}

    def find(self, engine: str) -> RecentWork:
        """Find what an engine was sent lately.

        :param engine: name of the incarnation.
        :return: its recent work as of now.
        """
        now = self._clock()
        recent = self._by_engine.get(engine)
        if recent is None:
            recent = RecentWork(noted_at=now)
            self._by_engine[engine] = recent
        fading = math.exp((recent.noted_at - now) / _MEMORY_S)
        recent.prefill_s *= fading
        recent.gap_sensitivity *= fading
        recent.noted_at = now
        return recent

    def note(self, engine: str, prefill_s: float, pause_s: float) -> None:
        """Note a request that is sent to an engine.

        :param engine: name of the incarnation.
        :param prefill_s: seconds that its prompt takes.
        :param pause_s: longest pause that is wanted, 0 for any.
        """
        recent = self.find(engine)
        recent.prefill_s += prefill_s
        recent.gap_sensitivity += compute_gap_sensitivity(pause_s)

    def forget(self, engine: str) -> None:
        """Drop an engine that has gone.

        :param engine: name of the incarnation.
        """
        self._by_engine.pop(engine, None)


def compute_gap_sensitivity(pause_s: float) -> float:
    """Measure how easily a stream is late by a pause.

    :param pause_s: longest pause that is wanted, 0 for any.
    :return: 1/s².
    """
    return 1 / pause_s**2 if pause_s else 0
