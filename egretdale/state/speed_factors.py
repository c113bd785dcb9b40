"""How much longer than usual the engines of a service take, with doubt.

This serves services whose engines differ in hardware, by engine, data centre
or software version. Single times are inexact: parts that an engine has evicted,
streams beside a prompt and slow moments of an engine all lengthen them. So
medians are compared, and a difference counts only as far as it exceeds what
chance explains. An engine with few times is taken to be like the others of its
data centre and software version.
"""

from __future__ import annotations

import math
import statistics
from collections import deque
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, field

from egretdale.state.instances import Instance
from egretdale.util.clocks import Clock

#: Times that are kept of each engine.
_SAMPLES = 16
#: Time in seconds after which the times of an engine no longer distinguish it.
_MEMORY_S = 10.0
#: Times from which an engine is compared with others, and engines from which a
#: data centre is.
_MINIMUM_SAMPLES = 3
_MINIMUM_ENGINES = 3
#: Assumed standard deviation of the logarithm of a time, and the number of
#: times that the assumption is worth.
_ASSUMED_DEVIATION = 0.4
_ASSUMED_SAMPLES = 4
#: Factor from a median absolute deviation to a standard deviation, and from the
#: standard error of a mean to that of a median.
_DEVIATIONS = 1.48
_MEDIAN_ERROR = 1.25
#: Standard errors within which a difference is taken for chance, for a data
#: centre and for an engine of it: parts that one engine has evicted make only
#: that one look slow.
_COHORT_ERRORS = 1.5
_ENGINE_ERRORS = 3.0
#: Bounds on the factor of an engine.
_LEAST_FACTOR = 0.2
_LARGEST_FACTOR = 20.0
#: Seconds, and times noted, after which the factors are computed again.
_REFRESH_S = 0.25
_REFRESH_SAMPLES = 8


@dataclass(slots=True)
class EngineTimes:
    """Recent times of one engine.

    :ivar cohort: data centre and software version of the engine.
    :ivar logs: logarithms of the seconds that a token took.
    :ivar noted_at: clock time of the last one.
    :ivar median: their median.
    :ivar error: standard error of that.
    """

    cohort: tuple[str, str]
    logs: deque[float] = field(default_factory=lambda: deque(maxlen=_SAMPLES))
    noted_at: float = 0
    median: float = 0
    error: float = 0

    def add(self, token_s: float, now: float) -> None:
        """Add a time; older ones are dropped after a pause.

        :param token_s: seconds that a token took.
        :param now: clock time.
        """
        if now - self.noted_at > _MEMORY_S:
            self.logs.clear()
        self.noted_at = now
        self.logs.append(math.log(token_s))
        self.median = statistics.median(self.logs)
        self.error = _estimate_error(self.logs, self.median)

    def is_recent(self, now: float) -> bool:
        """Tell whether the times still distinguish the engine.

        :param now: clock time.
        """
        return now - self.noted_at <= _MEMORY_S


class EngineFactors:
    """Factors on the time that engines of one service take.

    The mean speed of the engines with a factor is the usual one.
    """

    __slots__ = (
        '_clock',
        '_cohorts',
        '_engines',
        '_factors',
        '_noted',
        '_refreshed_at',
    )

    def __init__(self, clock: Clock) -> None:
        """Start with engines that do not differ.

        :param clock: monotonic clock.
        """
        self._clock = clock
        self._engines: dict[str, EngineTimes] = {}
        self._factors: dict[str, float] = {}
        self._cohorts: dict[tuple[str, str], float] = {}
        self._noted = 0
        self._refreshed_at = clock()

    def find(self, instance: Instance) -> float:
        """Return the factor on the usual time that an engine takes.

        :param instance: the engine.
        """
        times = self._engines.get(instance.incarnation_name)
        if times is not None and self._clock() - times.noted_at <= _MEMORY_S:
            known = self._factors.get(instance.incarnation_name)
            if known is not None:
                return known
        elif self._clock() - self._refreshed_at > _MEMORY_S:
            return 1
        return self._cohorts.get(_find_cohort(instance), float(1))

    def note(self, instance: Instance, token_s: float, usual_s: float) -> None:
        """Record a time.

        :param instance: the engine.
        :param token_s: seconds that a token took there.
        :param usual_s: seconds that it takes usually.
        """
        now = self._clock()
        name = instance.incarnation_name
        if name not in self._engines:
            self._engines[name] = EngineTimes(_find_cohort(instance))
        self._engines[name].add(token_s, now)
        self._noted += 1
        is_due = now - self._refreshed_at >= _REFRESH_S
        if is_due or self._noted >= _REFRESH_SAMPLES:
            self._noted = 0
            self._refreshed_at = now
            self._refresh(math.log(usual_s), now)

    def forget(self, engine: str) -> None:
        """Remove an engine that has stopped.

        :param engine: name of its incarnation.
        """
        self._engines.pop(engine, None)
        self._factors.pop(engine, None)

    def _refresh(self, usual: float, now: float) -> None:
        recent = {
            name: entry
            for name, entry in self._engines.items()
            if entry.is_recent(now)
        }
        cohorts = _compare_cohorts(list(recent.values()), usual)
        factors = {
            engine: _estimate_factor(recent[engine], usual, cohorts)
            for engine in recent
            if len(recent[engine].logs) >= _MINIMUM_SAMPLES
        }
        if not factors:
            return
        mean = statistics.harmonic_mean(list(factors.values()))
        self._factors = {engine: factors[engine] / mean for engine in factors}
        self._cohorts = {
            cohort: math.exp(cohorts[cohort]) / mean for cohort in cohorts
        }


def _estimate_factor(
    times: EngineTimes, usual: float, cohorts: Mapping[tuple[str, str], float]
) -> float:
    center = cohorts.get(times.cohort, float(0))
    difference = times.median - usual - center
    factor = math.exp(
        center + _discount(difference, _ENGINE_ERRORS * times.error)
    )
    return min(max(factor, _LEAST_FACTOR), _LARGEST_FACTOR)


def _compare_cohorts(
    engines: list[EngineTimes], usual: float
) -> dict[tuple[str, str], float]:
    """Compare the data centres and software versions of a service.

    :param engines: times of its engines.
    :param usual: logarithm of the usual time.
    :return: logarithms of factors, only for those with enough engines.
    """
    by_cohort: dict[tuple[str, str], list[EngineTimes]] = {}
    for times in engines:
        by_cohort.setdefault(times.cohort, []).append(times)
    return {
        cohort: _compare_members(members, usual)
        for cohort, members in by_cohort.items()
        if len(members) >= _MINIMUM_ENGINES
    }


def _compare_members(members: list[EngineTimes], usual: float) -> float:
    medians = [entry.median - usual for entry in members]
    center = statistics.median(medians)
    return _discount(center, _COHORT_ERRORS * _estimate_error(medians, center))


def _estimate_error(logs: Collection[float], median: float) -> float:
    """Estimate the standard error of a median of few and inexact values."""
    count = len(logs)
    deviation = _measure_deviation(logs, median)
    variance = (
        count * deviation**2 + _ASSUMED_SAMPLES * _ASSUMED_DEVIATION**2
    ) / (count + _ASSUMED_SAMPLES)
    return _MEDIAN_ERROR * math.sqrt(variance / count)


def _measure_deviation(logs: Iterable[float], median: float) -> float:
    return _DEVIATIONS * statistics.median(abs(log - median) for log in logs)


def _discount(difference: float, chance: float) -> float:
    """Discount a difference by what chance explains."""
    if abs(difference) <= chance:
        return float(0)
    return difference * (1 - (chance / difference) ** 2)


def _find_cohort(instance: Instance) -> tuple[str, str]:
    return instance.data_centre, instance.software_version
