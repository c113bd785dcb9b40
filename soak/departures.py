"""Departures in a soak test: servers that say that they leave."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

#: Seconds from the start of the soak test to the first departure.
_MINIMUM_START_S = 2.0
_MAXIMUM_START_S = 8.0
#: Mean interval between the starts of two departures, in seconds.
_MEAN_INTERVAL_S = 12.0
#: Seconds from the first such response of a server to its next life.
_MINIMUM_DURATION_S = 4.0
_MAXIMUM_DURATION_S = 8.0
#: Probability that the list says that the server is ready throughout.
_UNLISTED_PROBABILITY = 0.5


@dataclass(slots=True, frozen=True)
class Departure:
    """A server that leaves and starts again under its name.

    :ivar at_s: seconds from the start of the soak test to its first response
        that says so.
    :ivar for_s: seconds until its next life.
    :ivar target: index of the server, modulo their number.
    :ivar is_listed: whether the list says so, too.
    """

    at_s: float
    for_s: float
    target: int
    is_listed: bool

    def describe(self) -> str:
        """Describe the departure in one line."""
        listed = 'listed' if self.is_listed else 'not listed'
        return (
            f'{self.at_s:7.2f} s  server {self.target} leaves, {listed},'
            f' for {self.for_s:.2f} s'
        )


@dataclass(slots=True)
class DepartureLog:
    """What a server saw of its departure.

    :ivar began_at: clock time of the first response that may say so.
    :ivar arrivals: IDs of the requests that it ran since.
    """

    began_at: float
    arrivals: list[str] = field(default_factory=list)


def draw_departures(
    seed: int, length_s: float, servers: int
) -> list[Departure]:
    """Draw the departures of a soak test at random, at least one.

    :param seed: seed of the random numbers.
    :param length_s: length of the phase in which they start, in seconds.
    :param servers: number of servers.
    :return: the departures in order of their start; they do not overlap.
    """
    source = random.Random(f'departures.{seed}')
    departures: list[Departure] = []
    at_s = source.uniform(_MINIMUM_START_S, _MAXIMUM_START_S)
    while not departures or at_s < length_s:
        for_s = source.uniform(_MINIMUM_DURATION_S, _MAXIMUM_DURATION_S)
        departures.append(
            Departure(
                round(at_s, 2),
                round(for_s, 2),
                source.randrange(servers),
                source.random() > _UNLISTED_PROBABILITY,
            )
        )
        at_s += for_s + source.expovariate(1 / _MEAN_INTERVAL_S)
    return departures
