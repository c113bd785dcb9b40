"""Synthetic workloads of prompts, modelled on the users' sheets."""

from __future__ import annotations

import math
import random
from collections.abc import Iterator
from dataclasses import dataclass, replace
from types import MappingProxyType

from egretdale.coordination.exchanges import Prompt, PromptPart
from standins.models.batches import BatchProfile

#: Zipf exponent of the popularity of shared parts.
_SKEW = 0.3
#: Seconds in which the requests of a workload arrive.
_DURATION_S = 18.0
#: Start and duration of its burst in seconds.
_BURST_AT_S = 5.0
_BURST_DURATION_S = 8.0
#: Prefill speed for which the rates of the counter are meant.
_COUNTER_TOKENS_PER_MS = 157
#: Time that attention takes for a million pairs of tokens, as a multiple of the
#: time to prefill a token.
_ATTENTION_MS_PER_MILLION = 18.0
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


_DIGESTS = PromptClass(
    name='digest',
    rate=26,
    target_s=2.045,
    pause_s=1,
    patience_s=12.3,
    worth=2.2,
    late_worth=0.64,
    priority=2,
    own=LengthDistribution(6610, 1.4, 54600),
    output=LengthDistribution(48, 0.44, 140),
    common=SharedParts(LengthDistribution(512, 0.4, 1280), 3),
    shared=SharedParts(LengthDistribution(4870, 0.7, 14600), 320),
)
_REPLIES = PromptClass(
    name='reply',
    rate=10,
    target_s=0.319,
    pause_s=0.25,
    patience_s=12.7,
    worth=2.5,
    late_worth=0.22,
    priority=0,
    own=LengthDistribution(628, 1, 3310),
    output=LengthDistribution(36, 0.69, 119),
    common=SharedParts(LengthDistribution(119, 0.4, 298), 10),
    shared=SharedParts(LengthDistribution(79, 0.7, 238), 130),
    attempts=2,
)
_TAGS = PromptClass(
    name='tag',
    rate=28,
    target_s=0.422,
    pause_s=0.4,
    patience_s=3.2,
    worth=1.1,
    late_worth=0.33,
    priority=1,
    own=LengthDistribution(1800, 1.3, 6870),
    output=LengthDistribution(3, 0.7, 11),
    common=SharedParts(LengthDistribution(341, 0.4, 851), 4),
    shared=SharedParts(LengthDistribution(227, 0.7, 681), 250),
)
_SHELTER_PROFILE = BatchProfile(
    slots=12,
    kv_tokens=452357,
    step_s=0.00388,
    running_s=0.0000276,
    context_s=0.00000365,
    prefill_rate=66200,
    attention_s=0.000276,
    chunk=2048,
    stride=8,
    queue=25,
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
    yield from _list_shelter_workloads()
    yield from _list_speed_workloads()


def _list_speed_workloads() -> Iterator[Workload]:
    """List workloads in proportion to engines of very different speeds."""
    engines = 3
    for tokens_per_ms, slots, kv_tokens in (
        (20, 6, 150000),
        (66, 12, 450000),
        (300, 64, 1300000),
    ):
        share = tokens_per_ms / _COUNTER_TOKENS_PER_MS * engines / 5
        yield Workload(
            f'speed-{tokens_per_ms}',
            tuple(
                replace(entry, rate=entry.rate * share)
                for entry in (_DRAFTS, _SUMMARIES, _QUESTIONS)
            ),
            engines=engines,
            hosts=4,
            burst=2,
            profile=BatchProfile(
                slots=slots,
                kv_tokens=kv_tokens,
                prefill_rate=tokens_per_ms * 1000,
                attention_s=_ATTENTION_MS_PER_MILLION / tokens_per_ms / 1000,
                queue=2 * slots,
            ),
        )


def _list_shelter_workloads() -> Iterator[Workload]:
    grown = Workload(
        'shelter-grown',
        (_DIGESTS, _REPLIES, _TAGS),
        engines=14,
        hosts=8,
        burst=1,
        burst_at_s=0.5,
        bursting='digest',
        profile=_SHELTER_PROFILE,
    )
    small = replace(
        grown,
        name='shelter',
        classes=(
            replace(
                _DIGESTS,
                rate=11.4,
                patience_s=15,
                output=LengthDistribution(76, 0.44, 200),
            ),
            replace(
                _REPLIES,
                rate=14.8,
                patience_s=15,
                output=LengthDistribution(58, 0.69, 191),
            ),
            replace(_TAGS, rate=16, output=LengthDistribution(4.5, 1.4, 18)),
        ),
        engines=5,
        hosts=6,
        profile=replace(
            _SHELTER_PROFILE, slots=64, kv_tokens=705524, stride=5, queue=134
        ),
    )
    for workload, factors in ((grown, (1, 3.3)), (small, (1, 2.2))):
        for factor in factors:
            loaded = replace(
                workload, name=f'{workload.name}-{factor:g}x', burst=factor
            )
            yield loaded
            yield replace(loaded, name=f'{loaded.name}-crash', crash=True)


#: Workloads by name. The rates are usual, multiplied during a burst and usual
#: again. ``counter`` has five engines; ``desk`` has six, and late responses are
#: worth little there; ``cold`` begins with the burst, while all caches are
#: empty. In ``shelter`` only the longest prompts burst, on slower engines and
#: with long responses; ``shelter-grown`` has more engines with few slots. The
#: engines of ``speed`` prefill 20 to 300 tokens a millisecond.
WORKLOADS = MappingProxyType(
    {workload.name: workload for workload in _list_workloads()}
)
