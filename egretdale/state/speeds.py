"""Prefill speed of model engines, learned from their first tokens.

This serves engines of unknown hardware. The engines of a service share one
estimate, which follows from few samples of any of them. Engines that differ
from it get factors of their own.
"""

from __future__ import annotations

import statistics
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass

from egretdale.state.instances import Instance
from egretdale.state.speed_factors import EngineFactors
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
#: Mean prefill in seconds of the prompts of such a sum from which it tells how
#: fast an engine is: with short ones, most of it is the fixed time of steps.
_DISTINCT_PROMPT_S = 0.015
_SAMPLES = 48
_MINIMUM_SAMPLES = 3


@dataclass(slots=True, frozen=True)
class PrefillWork:
    """Prompt tokens that have to be prefilled.

    :ivar tokens: number of tokens.
    :ivar pairs: number of pairs of one of these tokens and an earlier token,
        cached or not, to which it attends.
    """

    tokens: float = 0
    pairs: float = 0

    def __add__(self, other: PrefillWork) -> PrefillWork:
        """Add the work of another prompt."""
        return PrefillWork(self.tokens + other.tokens, self.pairs + other.pairs)

    def scale(self, factor: float) -> PrefillWork:
        """Return work that takes a multiple of the time.

        :param factor: the multiple.
        """
        return PrefillWork(self.tokens * factor, self.pairs * factor)

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
    :ivar prompts: number of prompts.
    """

    work: PrefillWork
    took_s: float
    queued: bool
    prompts: int = 1

    def extend(self, following: PrefillSample) -> PrefillSample:
        """Add the prefill that followed without a pause.

        :param following: its measured time.
        """
        work = self.work + following.work
        return PrefillSample(
            work,
            self.took_s + following.took_s,
            self.queued,
            self.prompts + following.prompts,
        )


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

    __slots__ = ('_factors', '_instance', '_pending', 'shared')

    def __init__(
        self, shared: ServiceSpeed, factors: EngineFactors, instance: Instance
    ) -> None:
        """Start from the speed of the service.

        :param shared: speed of the engines of the service.
        :param factors: how the engines of the service differ.
        :param instance: the engine.
        """
        self.shared = shared
        self._factors = factors
        self._instance = instance
        self._pending: PrefillSample | None = None

    @property
    def factor(self) -> float:
        """Time that a prefill takes, as a multiple of the usual time."""
        return self._factors.find(self._instance)

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
        weight = _weigh(sample.work)
        # The service learns what an engine without a factor would take.
        usual = sample.work.scale(self.factor)
        self.shared.learn(PrefillSample(usual, sample.took_s, sample.queued))
        net_s = self.shared.measure_net(sample)
        mean_s = self.shared.predict(sample.work) / sample.prompts
        is_distinct = net_s > 0 and mean_s >= _DISTINCT_PROMPT_S
        if is_distinct and self.shared.is_known():
            usual_s = 1 / self.shared.tokens_per_s
            self._factors.note(self._instance, net_s / weight, usual_s)


class SpeedTable:
    """Prefill speeds of engines, by the name of their incarnation."""

    __slots__ = ('_by_engine', '_by_service', '_clock', '_factors')

    def __init__(self, clock: Clock) -> None:
        """Create an empty table.

        :param clock: monotonic clock.
        """
        self._clock = clock
        self._by_service: dict[str, ServiceSpeed] = {}
        self._by_engine: dict[str, EngineSpeed] = {}
        self._factors: dict[str, EngineFactors] = {}

    def find(self, instance: Instance) -> EngineSpeed:
        """Return the speed of an engine.

        :param instance: the engine.
        :return: its speed, that of the service for an unknown engine.
        """
        speed = self._by_engine.get(instance.incarnation_name)
        if speed is None:
            speed = EngineSpeed(
                self.find_service(instance.service),
                self.find_factors(instance.service),
                instance,
            )
            self._by_engine[instance.incarnation_name] = speed
        return speed

    def find_service(self, service: str) -> ServiceSpeed:
        """Return the speed that the engines of a service share.

        :param service: service name.
        """
        return self._by_service.setdefault(service, ServiceSpeed())

    def find_factors(self, service: str) -> EngineFactors:
        """Return how the engines of a service differ.

        :param service: service name.
        """
        factors = self._factors.get(service)
        if factors is None:
            factors = EngineFactors(self._clock)
            self._factors[service] = factors
        return factors

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
        for factors in self._factors.values():
            factors.forget(engine)


def measure_work(tokens: int, prompt_tokens: int) -> PrefillWork:
    """Measure the work of prefilling the end of a prompt.

    :param tokens: tokens at its end that are not cached.
    :param prompt_tokens: length of the prompt in tokens.
    :return: the work.
    """
    cached = prompt_tokens - tokens
    return PrefillWork(tokens, tokens * (cached + tokens / 2))


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
