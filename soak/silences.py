"""Silences in a soak test: sound servers that stand still for a moment."""

from __future__ import annotations

import random
from dataclasses import dataclass, replace

from soak.daemons import Terms
from soak.stutters import draw_servers

#: Idle timeouts that the servers state in turn, in seconds.
KEEP_ALIVES_S = (2, 3)
#: Seconds from the start to the first silence.
_MAXIMUM_START_S = 2.0
#: Mean interval between two silences in seconds.
_MEAN_INTERVAL_S = 2.0
_MINIMUM_DURATION_S = 1.0
_MAXIMUM_DURATION_S = 1.4
#: Maximum seconds from a change of the configuration to the silence.
_MAXIMUM_LEAD_S = 0.8
#: Probability that the clients send nothing until then, and the bounds of that
#: time in seconds.
_LULL_PROBABILITY = 0.5
_MINIMUM_LULL_S = 0.6
_MAXIMUM_LULL_S = 2.4
#: Numbers of connections that may wait to be accepted by a silent server.
_BACKLOGS = (1, 512)
_IDLE_TIMEOUTS_S = (2.0, 5.0, 60.0)
_TIMEOUTS_S = (4.0, 8.0, 20.0)


@dataclass(slots=True, frozen=True)
class Silence:
    """Servers that stand still while the configuration changes.

    :ivar at_s: seconds from the start of the phase to the change.
    :ivar lead_s: seconds from the change to the silence.
    :ivar for_s: duration of the silence in seconds.
    :ivar targets: indices of the servers.
    :ivar backlog: number of connections that may wait to be accepted.
    :ivar terms: what the configuration holds from then on.
    :ivar is_lull: whether the clients send nothing until the silence.
    """

    at_s: float
    lead_s: float
    for_s: float
    targets: tuple[int, ...]
    backlog: int
    terms: Terms
    is_lull: bool

    def describe(self) -> str:
        """Describe the silence in one line."""
        lull = ' without requests' if self.is_lull else ''
        return (
            f'{self.at_s:7.2f} s  {self.terms}, then after {self.lead_s:.2f} s'
            f'{lull} servers {self.targets} stand still for {self.for_s:.2f} s,'
            f' backlog {self.backlog}'
        )


def draw_silences(
    source: random.Random, length_s: float, servers: int
) -> list[Silence]:
    """Draw the silences of a phase of a soak test, at least one.

    :param source: random number generator.
    :param length_s: length of the phase in which they start, in seconds.
    :param servers: number of servers.
    :return: the silences in order of their start; they do not overlap.
    """
    silences: list[Silence] = []
    terms = Terms()
    at_s = source.uniform(0, _MAXIMUM_START_S)
    while not silences or at_s < length_s:
        terms = _draw_change(source, terms)
        is_lull = source.random() < _LULL_PROBABILITY
        bounds = (0, _MAXIMUM_LEAD_S)
        if is_lull:
            bounds = (_MINIMUM_LULL_S, _MAXIMUM_LULL_S)
        silence = Silence(
            round(at_s, 2),
            round(source.uniform(*bounds), 2),
            round(source.uniform(_MINIMUM_DURATION_S, _MAXIMUM_DURATION_S), 2),
            draw_servers(source, servers),
            source.choice(_BACKLOGS),
            terms,
            is_lull,
        )
        silences.append(silence)
        at_s += silence.lead_s + silence.for_s
        at_s += source.expovariate(1 / _MEAN_INTERVAL_S)
    return silences


def _draw_change(source: random.Random, terms: Terms) -> Terms:
    change = source.choice(('idle', 'timeout', 'route'))
    if change == 'idle':
        others = set(_IDLE_TIMEOUTS_S) - {terms.idle_timeout_s}
        return replace(terms, idle_timeout_s=source.choice(sorted(others)))
    if change == 'timeout':
        others = set(_TIMEOUTS_S) - {terms.timeout_s}
        return replace(terms, timeout_s=source.choice(sorted(others)))
    return replace(terms, is_split=not terms.is_split)
