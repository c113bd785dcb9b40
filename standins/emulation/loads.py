"""Loads of prompts in the shape of the users' sheets."""

from __future__ import annotations

import math
import random
from collections.abc import Iterator
from dataclasses import dataclass, replace
from types import MappingProxyType

from egretdale.coordination.exchanges import Prompt, PromptPart

#: Exponent with which parts of the same kind differ in use.
_SKEW = 0.3
#: Seconds of a load, and start and length of its burst.
_LENGTH_S = 18.0
_BURST_AT_S = 5.0
_BURST_S = 8.0
#: Time and length in seconds of the loss of an engine.
_CRASH_AT_S = 8.0
_CRASH_S = 4.0


@dataclass(slots=True, frozen=True)
class Lengths:
    """Lengths with a logarithmic normal distribution.

    :ivar mean: mean length.
    :ivar spread: standard deviation of the logarithm.
    :ivar most: largest length.
    """

    mean: float
    spread: float
    most: float

    def draw(self, source: random.Random) -> int:
        """Draw a length.

        :param source: random source.
        :return: length, at least 1.
        """
        middle = math.log(self.mean) - self.spread**2 / 2
        length = source.lognormvariate(middle, self.spread)
        return max(1, round(min(length, self.most)))


@dataclass(slots=True, frozen=True)
class SharedPart:
    """Parts that prompts of a class share.

    :ivar tokens: their lengths.
    :ivar count: number of different parts.
    """

    tokens: Lengths
    count: int


@dataclass(slots=True, frozen=True)
class PromptClass:
    """Requests of one kind.

    :ivar name: its name.
    :ivar rate: requests a second without a burst.
    :ivar target_s: time to the first event that callers aim for in seconds.
    :ivar pause_s: longest pause between events in seconds.
    :ivar patience_s: how long callers wait in seconds.
    :ivar worth: worth of an answer in time.
    :ivar late_worth: worth of a late one.
    :ivar priority: rank, 0 is the highest.
    :ivar own: tokens of the part that belongs to a request alone.
    :ivar output: events of the answer.
    :ivar common: a part that many requests begin with, ``None`` for none.
    :ivar shared: a part that follows it.
    :ivar attempts: engines that a request may be sent to.
    """

    name: str
    rate: float
    target_s: float
    pause_s: float
    patience_s: float
    worth: float
    late_worth: float
    priority: int
    own: Lengths
    output: Lengths
    common: SharedPart | None
    shared: SharedPart
    attempts: int = 1

    def may_resume(self) -> bool:
        """Tell whether another engine may go on with an answer."""
        return self.attempts > 1


@dataclass(slots=True, frozen=True)
class Load:
    """Requests and faults of a play.

    :ivar name: its name.
    :ivar classes: kinds of requests.
    :ivar engines: number of engines.
    :ivar hosts: number of hosts.
    :ivar burst: factor of the rates during the burst.
    :ivar burst_at_s: seconds to the start of the burst.
    :ivar crash: whether an engine is lost during the burst.
    """

    name: str
    classes: tuple[PromptClass, ...]
    engines: int
    hosts: int
    burst: float
    burst_at_s: float = _BURST_AT_S
    crash: bool = False

    @property
    def length_s(self) -> float:
        """Seconds in which requests arrive."""
        return _LENGTH_S

    def find_rate(self, at: float) -> float:
        """Find the factor of the rates.

        :param at: seconds since the start.
        """
        end_s = self.burst_at_s + _BURST_S
        return self.burst if self.burst_at_s <= at < end_s else 1

    def list_crashes(self) -> list[tuple[float, float]]:
        """List the starts and ends of the losses of engines in seconds."""
        return [(_CRASH_AT_S, _CRASH_AT_S + _CRASH_S)] if self.crash else []


@dataclass(slots=True, frozen=True)
class Arrival:
    """A request that arrives.

    :ivar at: seconds since the start.
    :ivar request_id: its identity.
    :ivar request_class: its class.
    :ivar prompt: its prompt, with the events of its answer as its output.
    """

    at: float
    request_id: str
    request_class: PromptClass
    prompt: Prompt


class PartDrawer:
    """Draws the shared parts of the prompts of a class."""

    __slots__ = ('_commons', '_shared', '_source', '_weights')

    def __init__(
        self, request_class: PromptClass, source: random.Random
    ) -> None:
        """Choose the lengths of the parts.

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

        :return: parts in order.
        """
        index = self._source.choices(
            range(len(self._shared)), weights=self._weights
        )[0]
        parts = [self._shared[index]]
        if self._commons:
            parts.insert(0, self._commons[index % len(self._commons)])
        return parts


def draw_arrivals(load: Load, seed: int) -> list[Arrival]:
    """Draw the requests of a load.

    :param load: the load.
    :param seed: seed of the draw.
    :return: requests in order of time.
    """
    source = random.Random(seed)
    arrivals = [
        arrival
        for request_class in load.classes
        for arrival in _draw_class(load, request_class, source)
    ]
    return sorted(arrivals, key=lambda arrival: arrival.at)


def _draw_class(
    load: Load, request_class: PromptClass, source: random.Random
) -> Iterator[Arrival]:
    drawer = PartDrawer(request_class, source)
    at = float(0)
    number = 0
    while True:
        at += source.expovariate(request_class.rate * load.find_rate(at))
        if at >= load.length_s:
            return
        number += 1
        own = PromptPart(_draw_identity(source), request_class.own.draw(source))
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
    shared: SharedPart, source: random.Random
) -> list[PromptPart]:
    return [
        PromptPart(_draw_identity(source), shared.tokens.draw(source))
        for _ in range(shared.count)
    ]


def _draw_identity(source: random.Random) -> int:
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
    own=Lengths(3700, 1.1, 53000),
    output=Lengths(24, 1.4, 96),
    common=None,
    shared=SharedPart(Lengths(13300, 0.7, 40000), 320),
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
    own=Lengths(2900, 1, 40000),
    output=Lengths(10, 1.4, 42),
    common=SharedPart(Lengths(2500, 0.4, 6300), 4),
    shared=SharedPart(Lengths(3800, 0.7, 11300), 240),
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
    own=Lengths(1100, 1, 3800),
    output=Lengths(34, 0.89, 120),
    common=SharedPart(Lengths(210, 0.4, 520), 20),
    shared=SharedPart(Lengths(140, 0.7, 420), 150),
)


def _list_loads() -> Iterator[Load]:
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
            yield Load(f'{name}-{factor}x', classes, engines, hosts, factor)
        heavy = Load(f'{name}-2x-crash', classes, engines, hosts, 2, crash=True)
        yield heavy
        yield replace(heavy, name=f'{name}-2x-cold', burst_at_s=0, crash=False)


#: Loads by name: calm, a burst with this factor, calm again. ``counter`` is
#: five engines, ``desk`` six where late answers are worth little; ``cold``
#: begins with the burst, when no engine holds any part.
LOADS = MappingProxyType({load.name: load for load in _list_loads()})
