"""Prefill speed of model engines, learned from their first tokens.

This serves engines of unknown hardware. The engines of a service share one
estimate, which follows from few samples of any of them. An engine whose own
samples differ from it gets a factor of its own.
"""

from __future__ import annotations

import statistics
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass

from egretdale.state.instances import Instance
from egretdale.util.clocks import Clock

#: Assumed speed before the first samples, in tokens per second.
_INITIAL_TOKENS_PER_S = 80000.0
#: Bounds on the speed that samples can lead to, in tokens per second.
_MINIMUM_TOKENS_PER_S = 5000.0
_MAXIMUM_TOKENS_PER_S = 1000000.0
#: Assumed time to the first token of an empty prompt, in seconds.
_INITIAL_FLOOR_S = 0.05
_MAXIMUM_FLOOR_S = 0.25
#: Prefill in seconds up to which a sample tells more about the floor than
#: about the speed.
_FLOOR_SAMPLE_S = 0.02
#: Earlier tokens behind which a prompt token takes twice as long as the first
#: one. This depends on the shape of a model more than on the hardware.
_DOUBLING_TOKENS = 55000.0
#: Prefill in seconds from which a sum of measured times is used: a prompt and
#: the next one share a step of the engine, so single times are inexact.
_SAMPLE_S = 0.1
_SAMPLES = 48
_MINIMUM_SAMPLES = 3
_ENGINE_SAMPLES = 8
_MINIMUM_ENGINE_SAMPLES = 6
#: Time in seconds after which samples of an engine no longer distinguish it.
_ENGINE_MEMORY_S = 10.0
#: Factors within this range are taken for chance: parts that an engine has
#: evicted make it look slow.
_USUAL_FACTORS = (0.33, 3.0)
#: Bounds on the factor of an engine.
_FACTOR_BOUNDS = (0.2, 20.0)


@dataclass(slots=True, frozen=True)
class PrefillWork:
    """Prompt tokens that have to be prefilled.

    :ivar tokens: number of tokens.
    :ivar pairs: number of pairs of one of these tokens and an earlier token,
        cached or not, to which it attends.
    """

    tokens: int = 0
    pairs: float = 0

    def __add__(self, other: PrefillWork) -> PrefillWork:
        """Add the work of another prompt."""
        return PrefillWork(self.tokens + other.tokens, self.pairs + other.pairs)

    def __sub__(self, other: PrefillWork) -> PrefillWork:
        """Subtract the work of another prompt."""
        return PrefillWork(self.tokens - other.tokens, self.pairs - other.pairs)


@dataclass(slots=True, frozen=True)
class PrefillSample:
    """Measured time of the prefill of one or several prompts.

    :ivar work: the work.
    :ivar took_s: seconds from the start of the prefill to the last first token.
    :ivar queued: whether the prefill began when that of another prompt ended,
        so that the time does not include the floor.
    """

    work: PrefillWork
    took_s: float
    queued: bool

    def extend(self, following: PrefillSample) -> PrefillSample:
        """Add the prefill that followed without a pause.

        :param following: its measured time.
        """
        work = self.work + following.work
        return PrefillSample(work, self.took_s + following.took_s, self.queued)


class ServiceSpeed:
    """Prefill speed of the engines of one service.

    :ivar floor_s: seconds to the first token of an empty prompt.
    """

    __slots__ = (
        '_floors',
        '_samples',
        '_token_s',
        'floor_s',
    )

    def __init__(self) -> None:
        """Start from the assumed values."""
        self.floor_s = _INITIAL_FLOOR_S
        self._token_s = 1 / _INITIAL_TOKENS_PER_S
        self._samples: deque[PrefillSample] = deque(maxlen=_SAMPLES)
        self._floors: deque[float] = deque(maxlen=_SAMPLES)

    @property
    def tokens_per_s(self) -> float:
        """Speed for short prompts in tokens per second."""
        return 1 / self._token_s

    def is_known(self) -> bool:
        """Tell whether there are enough samples to rely on the speed."""
        return len(self._samples) >= _MINIMUM_SAMPLES

    def predict(self, work: PrefillWork) -> float:
        """Predict the time of a prefill.

        :param work: the work.
        :return: seconds, without the floor.
        """
        return self._token_s * _weigh(work)

    def is_short(self, work: PrefillWork) -> bool:
        """Tell whether a prefill says more about the floor than the speed.

        :param work: its work.
        """
        return self.predict(work) <= _FLOOR_SAMPLE_S

    def learn(self, sample: PrefillSample) -> None:
        """Update the speed.

        :param sample: a measured time.
        """
        self._samples.append(sample)
        if self.is_known():
            self._estimate()

    def learn_floor(self, sample: PrefillSample) -> None:
        """Update the floor from the first token of a short prompt.

        :param sample: time of a prompt that an idle engine prefilled alone.
        """
        self._floors.append(sample.took_s - self.predict(sample.work))
        if len(self._floors) >= _MINIMUM_SAMPLES:
            floor_s = statistics.median(self._floors)
            self.floor_s = min(max(0, floor_s), _MAXIMUM_FLOOR_S)

    def measure_net(self, sample: PrefillSample) -> float:
        """Return the measured time without the floor, once that is known.

        :param sample: the measured time.
        :return: seconds.
        """
        if sample.queued or len(self._floors) < _MINIMUM_SAMPLES:
            return sample.took_s
        return max(0, sample.took_s - self.floor_s)

    def _estimate(self) -> None:
        token_s = _find_weighted_median(
            (self.measure_net(sample) / weight, weight)
            for sample in self._samples
            if (weight := _weigh(sample.work))
        )
        slowest_s = 1 / _MINIMUM_TOKENS_PER_S
        self._token_s = min(max(token_s, 1 / _MAXIMUM_TOKENS_PER_S), slowest_s)


class EngineSpeed:
    """Prefill speed of one engine.

    :ivar shared: speed of the engines of its service.
    """

    __slots__ = (
        '_clock',
        '_factor',
        '_pending',
        '_ratios',
        '_valid_until',
        'shared',
    )

    def __init__(self, shared: ServiceSpeed, clock: Clock) -> None:
        """Start from the speed of the service.

        :param shared: speed of the engines of the service.
        :param clock: monotonic clock.
        """
        self.shared = shared
        self._clock = clock
        self._ratios: deque[float] = deque(maxlen=_ENGINE_SAMPLES)
        self._factor = float(1)
        self._pending: PrefillSample | None = None
        self._valid_until = float('-inf')

    @property
    def factor(self) -> float:
        """Time that a prefill takes, as a multiple of the usual time."""
        return self._factor if self._clock() < self._valid_until else 1

    def predict(self, work: PrefillWork) -> float:
        """Predict the time of a prefill.

        :param work: the work.
        :return: seconds, without the floor.
        """
        return self.shared.predict(work) * self.factor

    def learn(self, sample: PrefillSample, *, is_alone: bool) -> None:
        """Update the estimate from a first token.

        :param sample: the time since the first token before it.
        :param is_alone: whether no other prompt was outstanding.
        """
        if is_alone and not sample.queued and self.shared.is_short(sample.work):
            self.shared.learn_floor(sample)
            return
        if sample.queued and self._pending is not None:
            sample = self._pending.extend(sample)
        self._pending = sample
        if self.shared.predict(sample.work) >= _SAMPLE_S:
            self._pending = None
            self._learn_sum(sample)

    def _learn_sum(self, sample: PrefillSample) -> None:
        usual_s = self.shared.predict(sample.work)
        self.shared.learn(sample)
        if self._clock() >= self._valid_until:
            self._ratios.clear()
        self._valid_until = self._clock() + _ENGINE_MEMORY_S
        self._ratios.append(self.shared.measure_net(sample) / usual_s)
        self._factor = _estimate_factor(self._ratios)


class SpeedTable:
    """Prefill speeds of engines, by the name of their incarnation."""

    __slots__ = ('_by_engine', '_by_service', '_clock')

    def __init__(self, clock: Clock) -> None:
        """Create an empty table.

        :param clock: monotonic clock.
        """
        self._clock = clock
        self._by_service: dict[str, ServiceSpeed] = {}
        self._by_engine: dict[str, EngineSpeed] = {}

    def find(self, instance: Instance) -> EngineSpeed:
        """Return the speed of an engine.

        :param instance: the engine.
        :return: its speed, that of the service for an unknown engine.
        """
        speed = self._by_engine.get(instance.incarnation_name)
        if speed is None:
            speed = EngineSpeed(
                self.find_service(instance.service), self._clock
            )
            self._by_engine[instance.incarnation_name] = speed
        return speed

    def find_service(self, service: str) -> ServiceSpeed:
        """Return the speed that the engines of a service share.

        :param service: service name.
        """
        return self._by_service.setdefault(service, ServiceSpeed())

    def list_known_rates(self) -> dict[str, float]:
        """Return the learned speeds in tokens per second by service name."""
        return {
            service: speed.tokens_per_s
            for service, speed in self._by_service.items()
            if speed.is_known()
        }

    def forget(self, engine: str) -> None:
        """Remove an engine that has stopped.

        :param engine: name of its incarnation.
        """
        self._by_engine.pop(engine, None)


def measure_work(tokens: int, prompt_tokens: int) -> PrefillWork:
    """Measure the work of prefilling the end of a prompt.

    :param tokens: tokens at its end that are not cached.
    :param prompt_tokens: length of the prompt in tokens.
    :return: the work.
    """
    cached = prompt_tokens - tokens
    return PrefillWork(tokens, tokens * (cached + tokens / 2))


def _estimate_factor(ratios: deque[float]) -> float:
    if len(ratios) < _MINIMUM_ENGINE_SAMPLES:
        return 1
    factor = statistics.median(ratios)
    least, most = _USUAL_FACTORS
    if least <= factor <= most:
        return 1
    least, most = _FACTOR_BOUNDS
    return min(max(factor, least), most)


def _weigh(work: PrefillWork) -> float:
    """Return the number of tokens without context that take the same time."""
    return work.tokens + work.pairs / _DOUBLING_TOKENS


def _find_weighted_median(weighted: Iterable[tuple[float, float]]) -> float:
    ordered = sorted(weighted)
    half = sum(weight for _, weight in ordered) / 2
    passed = float(0)
    for point, weight in ordered:
        passed += weight
        if passed >= half:
            return point
    return ordered[-1][0]
