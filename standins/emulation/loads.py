"""Arrivals of prompts drawn at random."""

from __future__ import annotations

import math
import random
from collections.abc import Iterator
from dataclasses import dataclass

from egretdale.coordination.exchanges import Prompt, PromptPart
from standins.models.batches import BatchProfile

#: Zipf exponent of the popularity of shared parts.
_SKEW = 0.3
#: Seconds in which the requests of a workload arrive.
_DURATION_S = 18.0
#: Start and duration of its burst in seconds.
_BURST_AT_S = 5.0
_BURST_DURATION_S = 8.0
#: Time of the crash of an engine and seconds until it restarts.
_CRASH_AT_S = 8.0
_DOWNTIME_S = 4.0


@dataclass(slots=True, frozen=True)
class LengthDistribution:
    """A log-normal distribution of lengths, cut off at a maximum.

    :ivar mean: mean length before the cut-off.
    :ivar spread: standard deviation of the logarithm.
    :ivar maximum: largest length that is drawn.
    """

    mean: float
    spread: float
    maximum: float

    def draw(self, source: random.Random) -> int:
        """Draw a length.

        :param source: random source.
        :return: length, at least 1.
        """
        log_mean = math.log(self.mean) - self.spread**2 / 2
        length = source.lognormvariate(log_mean, self.spread)
        return max(1, round(min(length, self.maximum)))


@dataclass(slots=True, frozen=True)
class SharedParts:
    """A set of prompt parts, each shared by many prompts of a class.

    :ivar tokens: distribution of their lengths.
    :ivar count: number of parts.
    """

    tokens: LengthDistribution
    count: int


@dataclass(slots=True, frozen=True)
class PromptClass:
    """A class of requests with the same distributions and targets.

    :ivar name: its name.
    :ivar rate: requests a second outside a burst.
    :ivar target_s: target of the time to the first event in seconds.
    :ivar pause_s: longest acceptable pause between events in seconds.
    :ivar patience_s: seconds after which callers give up.
    :ivar worth: value of a response that meets its targets.
    :ivar late_worth: value of a complete response that misses a target.
    :ivar priority: priority, 0 is the highest.
    :ivar own: tokens of the last part, which is unique to a request.
    :ivar output: number of events of a response.
    :ivar common: parts that prompts begin with, ``None`` for none.
    :ivar shared: parts that follow them.
    :ivar attempts: number of engines that a request may be sent to.
    """

    name: str
    rate: float
    target_s: float
    pause_s: float
    patience_s: float
    worth: float
    late_worth: float
    priority: int
    own: LengthDistribution
    output: LengthDistribution
    common: SharedParts | None
    shared: SharedParts
    attempts: int = 1

    def may_resume(self) -> bool:
        """Tell whether another engine may resume a broken response."""
        return self.attempts > 1


@dataclass(slots=True, frozen=True)
class Workload:
    """A synthetic workload: request classes, a burst and faults.

    :ivar name: its name.
    :ivar classes: request classes.
    :ivar engines: number of engines.
    :ivar hosts: number of hosts.
    :ivar burst: factor on the rates during the burst.
    :ivar burst_at_s: start of the burst in seconds.
    :ivar crash: whether an engine crashes during the burst.
    :ivar bursting: name of the only class that bursts, empty for all.
    :ivar profile: speed and limits of the engines.
    :ivar slowness: time that engines take, as multiples of that time, for one
        data centre after the other.
    :ivar tells_memory: whether the configuration states their memory.
    """

    name: str
    classes: tuple[PromptClass, ...]
    engines: int
    hosts: int
    burst: float
    burst_at_s: float = _BURST_AT_S
    crash: bool = False
    bursting: str = ''
    profile: BatchProfile = BatchProfile()
    slowness: tuple[float, ...] = (1,)
    tells_memory: bool = True

    @property
    def duration_s(self) -> float:
        """Seconds in which requests arrive."""
        return _DURATION_S

    def get_rate_factor(self, name: str, at: float) -> float:
        """Return the factor on the rate of a class at a time.

        :param name: name of the class.
        :param at: seconds since the start.
        """
        if self.bursting and name != self.bursting:
            return 1
        end_s = self.burst_at_s + _BURST_DURATION_S
        return self.burst if self.burst_at_s <= at < end_s else 1

    def list_crashes(self) -> list[tuple[float, float]]:
        """List the times of crashes and of the restarts after them."""
        return [(_CRASH_AT_S, _CRASH_AT_S + _DOWNTIME_S)] if self.crash else []


@dataclass(slots=True, frozen=True)
class Arrival:
    """The arrival of a request.

    :ivar at: seconds since the start.
    :ivar request_id: its identity.
    :ivar request_class: its class.
    :ivar prompt: its prompt; ``maximum_output`` is its number of events.
    """

    at: float
    request_id: str
    request_class: PromptClass
    prompt: Prompt


class PartSampler:
    """Draws the common and shared parts of the prompts of a class."""

    __slots__ = ('_commons', '_shared', '_source', '_weights')

    def __init__(
        self, request_class: PromptClass, source: random.Random
    ) -> None:
        """Draw the set of parts.

        :param request_class: the class.
        :param source: random source.
        """
        self._source = source
        common = request_class.common
        self._commons = _create_parts(common, source) if common else []
        self._shared = _create_parts(request_class.shared, source)
        self._weights = [
            (rank + 1) ** -_SKEW for rank in range(len(self._shared))
        ]

    def draw(self) -> list[PromptPart]:
        """Draw the shared parts of a prompt.

        :return: parts in prompt order.
        """
        index = self._source.choices(
            range(len(self._shared)), weights=self._weights
        )[0]
        parts = [self._shared[index]]
        if self._commons:
            parts.insert(0, self._commons[index % len(self._commons)])
        return parts


def draw_arrivals(workload: Workload, seed: int) -> list[Arrival]:
    """Draw the arrivals of a workload.

    :param workload: the workload.
    :param seed: random seed.
    :return: arrivals in order of time.
    """
    source = random.Random(seed)
    arrivals = [
        arrival
        for request_class in workload.classes
        for arrival in _draw_class_arrivals(workload, request_class, source)
    ]
    return sorted(arrivals, key=lambda arrival: arrival.at)


def _draw_class_arrivals(
    workload: Workload, request_class: PromptClass, source: random.Random
) -> Iterator[Arrival]:
    drawer = PartSampler(request_class, source)
    at = float(0)
    number = 0
    while True:
        at += source.expovariate(
            request_class.rate
            * workload.get_rate_factor(request_class.name, at)
        )
        if at >= workload.duration_s:
            return
        number += 1
        own = PromptPart(
            _draw_part_identity(source), request_class.own.draw(source)
        )
        parts = (*drawer.draw(), own)
        events = request_class.output.draw(source)
        tokens = sum(part.tokens for part in parts)
        yield Arrival(
            at,
            f'{request_class.name}-{number}',
            request_class,
            Prompt(tokens, events, parts),
        )


def _create_parts(
    shared: SharedParts, source: random.Random
) -> list[PromptPart]:
    return [
        PromptPart(_draw_part_identity(source), shared.tokens.draw(source))
        for _ in range(shared.count)
    ]


def _draw_part_identity(source: random.Random) -> int:
    return source.getrandbits(62)
