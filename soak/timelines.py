"""Everything that happens in a soak test, as its seed determines."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from soak.departures import Departure, draw_departures
from soak.faults import Fault, draw_timeline
from soak.incidents import Incident, draw_incidents
from soak.silences import Silence, draw_silences
from soak.stutters import Stutter, draw_stutters

#: What a sound server may do at any time.
Lapse = Stutter | Silence

#: What happens at a time of a soak test.
Disturbance = Fault | Incident | Departure | Lapse

#: Length of the phase in which servers only stutter and fall silent, in
#: seconds.
_CALM_PHASE_S = 8.0


@dataclass(slots=True)
class Timeline:
    """What happens in a soak test; each kind is drawn apart.

    :ivar faults: the injected faults.
    :ivar incidents: the incidents.
    :ivar departures: the departures of servers.
    :ivar lapses: stutters and silences beside them.
    :ivar calm_lapses: stutters and silences in the calm phase.
    """

    faults: list[Fault] = field(default_factory=list)
    incidents: list[Incident] = field(default_factory=list)
    departures: list[Departure] = field(default_factory=list)
    lapses: list[Lapse] = field(default_factory=list)
    calm_lapses: list[Lapse] = field(default_factory=list)

    def describe(self) -> list[str]:
        """Describe the disturbances in lines of text."""
        disturbances: tuple[Disturbance, ...] = (
            *self.faults,
            *self.incidents,
            *self.departures,
            *self.lapses,
        )
        return [
            *(entry.describe() for entry in disturbances),
            'calm phase:',
            *(entry.describe() for entry in self.calm_lapses),
        ]


def draw_disturbances(
    seed: int, length_s: float, daemons: int, servers: int
) -> Timeline:
    """Draw the timeline of a soak test at random.

    :param seed: seed of the random numbers.
    :param length_s: length of the phase in which faults start, in seconds.
    :param daemons: number of daemons.
    :param servers: number of backend servers.
    """
    return Timeline(
        draw_timeline(seed, length_s, daemons),
        draw_incidents(seed, length_s),
        draw_departures(seed, length_s, servers),
        draw_lapses(f'lapses.{seed}', length_s, servers),
        draw_lapses(f'calm.{seed}', _CALM_PHASE_S, servers),
    )


def draw_lapses(seed: str, length_s: float, servers: int) -> list[Lapse]:
    """Draw stutters and silences, at least one of each.

    :param seed: seed of the random numbers.
    :param length_s: length of the phase in which they start, in seconds.
    :param servers: number of backend servers.
    """
    source = random.Random(seed)
    return [
        *draw_stutters(source, length_s, servers),
        *draw_silences(source, length_s, servers),
    ]
