"""Faults of a soak and the timeline that a seed draws."""

from __future__ import annotations

import enum
import random
from dataclasses import dataclass

from soak.proxies import Harm

#: Seconds before the first fault.
_CALM_S = 2.0
#: Shortest and longest fault, and mean pause between two starts, in seconds.
_SHORTEST_S = 0.3
_LONGEST_S = 6.0
_MEAN_PAUSE_S = 1.2
#: Part of the faults that come as a series of the same kind.
_SERIES_SHARE = 0.25
_SERIES_LENGTH = 3


class FaultKind(enum.StrEnum):
    """What a fault does."""

    STOP = 'daemon-stop'
    KILL = 'daemon-kill'
    PAUSE = 'daemon-pause'
    RELOAD = 'daemon-reload'
    CALLER_LINK = 'caller-link'
    SERVER_LINK = 'server-link'
    STORE_LINK = 'store-link'
    STORE_REFUSES = 'store-refuses'
    STORE_FORGETS = 'store-forgets'
    SERVER_LEAVES = 'server-leaves'
    KEY_CHANGE = 'key-change'


@dataclass(slots=True, frozen=True)
class Fault:
    """A fault of the timeline.

    :ivar at_s: seconds from the start.
    :ivar for_s: how long it lasts.
    :ivar kind: what it does.
    :ivar target: index of the daemon or server; taken modulo their number.
    :ivar harm: what a link does.
    """

    at_s: float
    for_s: float
    kind: FaultKind
    target: int
    harm: Harm = Harm.NONE

    @property
    def end_s(self) -> float:
        """Seconds from the start to its end."""
        return self.at_s + self.for_s

    def describe(self) -> str:
        """Describe the fault in one line."""
        harm = '' if self.harm == Harm.NONE else f' {self.harm}'
        return (
            f'{self.at_s:7.2f} s  {self.kind}{harm} of {self.target}'
            f' for {self.for_s:.2f} s'
        )


def draw_timeline(seed: int, length_s: float, targets: int) -> list[Fault]:
    """Draw the faults of a soak.

    :param seed: seed of the drawing.
    :param length_s: seconds in which faults start.
    :param targets: number of daemons or servers, whichever is more.
    :return: the faults by start; they overlap.
    """
    source = random.Random(seed)
    faults: list[Fault] = []
    at_s = _CALM_S
    while at_s < length_s:
        kind = source.choice(tuple(FaultKind))
        series = source.random() < _SERIES_SHARE
        for _ in range(_SERIES_LENGTH if series else 1):
            faults.append(_draw_fault(source, kind, at_s, targets))
            at_s += source.expovariate(1 / _MEAN_PAUSE_S)
    return faults


def _draw_fault(
    source: random.Random, kind: FaultKind, at_s: float, targets: int
) -> Fault:
    harm = Harm.NONE
    if kind in {
        FaultKind.CALLER_LINK,
        FaultKind.SERVER_LINK,
        FaultKind.STORE_LINK,
    }:
        harm = source.choice([entry for entry in Harm if entry != Harm.NONE])
    return Fault(
        round(at_s, 2),
        round(source.uniform(_SHORTEST_S, _LONGEST_S), 2),
        kind,
        source.randrange(targets),
        harm,
    )
