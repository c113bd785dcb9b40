"""Synthetic workloads of prompts, modelled on the users' sheets."""

from __future__ import annotations

import math
import random
from collections.abc import Iterator
from dataclasses import dataclass, replace
from types import MappingProxyType

from egretdale.coordination.exchanges import Prompt, PromptPart

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
    """

    name: str
    classes: tuple[PromptClass, ...]
    engines: int
    hosts: int
    burst: float
    burst_at_s: float = _BURST_AT_S
    crash: bool = False

    @property
    def duration_s(self) -> float:
        """Seconds in which requests arrive."""
        return _DURATION_S

    def get_rate_factor(self, at: float) -> float:
        """Return the factor on the rates at a time.

        :param at: seconds since the start.
        """
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
            request_class.rate * workload.get_rate_factor(at)
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


_DRAFTS = PromptClass(
    name='draft',
    rate=15,
    target_s=1,
    pause_s=0.8,
    patience_s=8,
    worth=1.3,
    late_worth=0.66,
    priority=2,
    own=LengthDistribution(3700, 1.1, 53000),
    output=LengthDistribution(24, 1.4, 96),
    common=None,
    shared=SharedParts(LengthDistribution(13300, 0.7, 40000), 320),
)
_SUMMARIES = PromptClass(
    name='summary',
    rate=11,
    target_s=0.4,
    pause_s=0.3,
    patience_s=5,
    worth=2,
    late_worth=0.96,
    priority=1,
    own=LengthDistribution(2900, 1, 40000),
    output=LengthDistribution(10, 1.4, 42),
    common=SharedParts(LengthDistribution(2500, 0.4, 6300), 4),
    shared=SharedParts(LengthDistribution(3800, 0.7, 11300), 240),
    attempts=2,
)
_QUESTIONS = PromptClass(
    name='question',
    rate=16,
    target_s=0.25,
    pause_s=0.2,
    patience_s=10,
    worth=2.3,
    late_worth=0.36,
    priority=0,
    own=LengthDistribution(1100, 1, 3800),
    output=LengthDistribution(34, 0.89, 120),
    common=SharedParts(LengthDistribution(210, 0.4, 520), 20),
    shared=SharedParts(LengthDistribution(140, 0.7, 420), 150),
)


def _list_workloads() -> Iterator[Workload]:
    counter = (_DRAFTS, _SUMMARIES, _QUESTIONS)
    desk = tuple(
        replace(
            entry,
            rate=entry.rate * 4 / 3,
            late_worth=entry.late_worth / 5,
        )
        for entry in counter
    )
    for name, classes, engines, hosts in (
        ('counter', counter, 5, 6),
        ('desk', desk, 6, 8),
    ):
        for factor in (1, 2, 3):
            yield Workload(f'{name}-{factor}x', classes, engines, hosts, factor)
        crashing = Workload(
            f'{name}-2x-crash', classes, engines, hosts, 2, crash=True
        )
        yield crashing
        yield replace(
            crashing, name=f'{name}-2x-cold', burst_at_s=0, crash=False
        )


#: Workloads by name. The rates are usual, multiplied during a burst and usual
#: again. ``counter`` has five engines; ``desk`` has six, and late responses are
#: worth little there; ``cold`` begins with the burst, while all caches are
#: empty.
WORKLOADS = MappingProxyType(
    {workload.name: workload for workload in _list_workloads()}
)
