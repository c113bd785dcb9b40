"""Estimate of how many engines the requests of a service keep busy.

The estimate answers requests that arrive in bursts and whose prompts are
prefilled one after the other. It needs no speeds: by Little's law, engines on
which n requests wait for their first token are busy for n / (1 + n) of the
time.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass

from egretdale.util.clocks import Clock

#: Time constants in seconds of the averages that follow a rise and the mean.
_FAST_S = 1.5
_SLOW_S = 10.0
#: Seconds of history that the highest demand is taken from, and that a
#: reduction needs at least.
_PEAK_WINDOW_S = 120.0
_LEAST_WINDOW_S = 30.0
#: Part of the requests that wait while they are assigned to engines.
_PASSING_SHARE = 0.1
#: Greatest rise that is predicted, as a part of the present demand.
_MAXIMUM_RISE = 0.5
#: Part of the slots of an engine beyond which streams slow each other down.
_USABLE_SLOTS = 0.7


@dataclass(slots=True, frozen=True)
class ServiceDemand:
    """Requests of all hosts for a service.

    :ivar running: requests at engines.
    :ivar starting: those of them that wait for their first token.
    :ivar waiting: requests that wait for an engine.
    :ivar refused_per_s: requests refused per second for lack of engines.
    :ivar prefill_tokens: prompt tokens that a request has to prefill on
        average, 0 if unknown.
    :ivar is_complete: whether the reports of all hosts are included.
    """

    running: int = 0
    starting: int = 0
    waiting: int = 0
    refused_per_s: float = 0
    prefill_tokens: float = 0
    is_complete: bool = False

    def lacks_engines(self) -> bool:
        """Tell whether more requests wait or are refused than in passing."""
        queued = self.waiting + self.refused_per_s
        return queued > max(1, self.running * _PASSING_SHARE)


class DemandEstimate:
    """Engines that the demand keeps busy, on average and at its highest.

    :ivar mean: busy engines on average.
    :ivar recent: busy engines at present.
    """

    __slots__ = ('_at', '_clock', '_history', '_since', 'mean', 'recent')

    def __init__(self, clock: Clock) -> None:
        """Start without demand.

        :param clock: monotonic clock.
        """
        self._clock = clock
        self._at = clock()
        self._since: float | None = None
        self._history: deque[tuple[float, float]] = deque()
        self.mean = float(0)
        self.recent = float(0)

    def update(self, demand: ServiceDemand, engines: int, slots: float) -> None:
        """Add a sample.

        :param demand: present demand.
        :param engines: engines that serve it.
        :param slots: slots of an engine, 0 if unknown.
        """
        now = self._clock()
        busy = count_busy(demand, engines, slots)
        elapsed_s = now - self._at
        self._at = now
        if self._since is None and busy:
            self._since = now
            self.mean = busy
            self.recent = busy
        self.recent += (busy - self.recent) * _weigh(elapsed_s, _FAST_S)
        # An estimate from missing reports is too low.
        if demand.is_complete or busy > self.mean:
            self.mean += (busy - self.mean) * _weigh(elapsed_s, _SLOW_S)
        self._history.append((now, self.recent))
        while self._history[0][0] < now - _PEAK_WINDOW_S:
            self._history.popleft()

    def find_peak(self) -> float:
        """Return the highest number of busy engines in the window."""
        return max((busy for _, busy in self._history), default=float(0))

    def predict(self, ahead_s: float) -> float:
        """Predict the number of busy engines if the trend goes on.

        :param ahead_s: seconds ahead.
        :return: the number, not less than at present.
        """
        earlier = self.recent
        for at, busy in self._history:
            if at >= self._at - ahead_s:
                earlier = busy
                break
        rise = min(self.recent - earlier, self.recent * _MAXIMUM_RISE)
        return self.recent + max(float(0), rise)

    def covers_demand(self) -> bool:
        """Tell whether there has been demand for long enough to know it."""
        if self._since is None:
            return False
        return self._at - self._since >= _LEAST_WINDOW_S


def count_busy(demand: ServiceDemand, engines: int, slots: float) -> float:
    """Count the engines that a demand keeps busy.

    :param demand: the demand.
    :param engines: engines that serve it.
    :param slots: slots of an engine, 0 if unknown.
    :return: number of engines.
    """
    count = max(1, engines)
    queued = demand.waiting + demand.refused_per_s
    starting = (demand.starting + queued) / count
    busy = starting / (1 + starting) * count
    if slots:
        busy = max(busy, (demand.running + queued) / (slots * _USABLE_SLOTS))
    return busy


def _weigh(elapsed_s: float, constant_s: float) -> float:
    return 1 - math.exp(-max(float(0), elapsed_s) / constant_s)
