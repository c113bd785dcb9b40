"""Faults of a soak test and the random timeline that a seed determines."""

from __future__ import annotations

import enum
import random
from dataclasses import dataclass

from soak.proxies import Harm

#: Seconds without faults at the start.
_QUIET_START_S = 2.0
#: Minimum and maximum duration of a fault, in seconds.
_MINIMUM_DURATION_S = 0.3
_MAXIMUM_DURATION_S = 6.0
#: Mean interval between the starts of two faults, in seconds.
_MEAN_INTERVAL_S = 1.2
#: Probability that a fault starts a series of faults of the same kind.
_SERIES_PROBABILITY = 0.25
_SERIES_LENGTH = 3


class FaultKind(enum.StrEnum):
    """Kind of a fault."""

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
    """A fault that is injected at a fixed time.

    :ivar at_s: seconds from the start of the soak test to the fault.
    :ivar for_s: duration in seconds.
    :ivar kind: kind of the fault.
    :ivar target: index of the affected daemon or backend server, modulo their
        number.
    :ivar harm: effect on connections, for faults of a link.
    """

    at_s: float
    for_s: float
    kind: FaultKind
    target: int
    harm: Harm = Harm.NONE

    @property
    def end_s(self) -> float:
        """Seconds from the start of the soak test to the end of the fault."""
        return self.at_s + self.for_s

    def describe(self) -> str:
        """Describe the fault in one line."""
        harm = '' if self.harm == Harm.NONE else f' {self.harm}'
        return (
            f'{self.at_s:7.2f} s  {self.kind}{harm} of {self.target}'
            f' for {self.for_s:.2f} s'
        )


def draw_timeline(seed: int, length_s: float, targets: int) -> list[Fault]:
    """Draw the faults of a soak test at random.

    :param seed: seed of the random numbers.
    :param length_s: length of the phase in which faults start, in seconds.
    :param targets: number of daemons or backend servers, whichever is larger.
    :return: the faults in order of their start; they may overlap.
    """
    source = random.Random(seed)
    faults: list[Fault] = []
    at_s = _QUIET_START_S
    while at_s < length_s:
        kind = source.choice(tuple(FaultKind))
        series = source.random() < _SERIES_PROBABILITY
        for _ in range(_SERIES_LENGTH if series else 1):
            faults.append(_draw_fault(source, kind, at_s, targets))
            at_s += source.expovariate(1 / _MEAN_INTERVAL_S)
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
        round(source.uniform(_MINIMUM_DURATION_S, _MAXIMUM_DURATION_S), 2),
        kind,
        source.randrange(targets),
        harm,
    )
