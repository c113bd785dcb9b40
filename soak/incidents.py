"""Incidents of a soak test: requests that crash the servers that run them."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

import eventlet

from egretdale.util.clocks import read_hub_clock
from soak.clients import Client
from soak.proxies import FaultProxy
from soak.servers import DEADLY_PREFIX, SealedServer

#: Seconds from the start of the soak test to the first incident.
_MINIMUM_START_S = 2.0
_MAXIMUM_START_S = 5.0
#: Mean interval between the starts of two incidents, in seconds.
_MEAN_INTERVAL_S = 20.0
#: Seconds for which a request is repeated.
_MINIMUM_DURATION_S = 8.0
_MAXIMUM_DURATION_S = 14.0
#: Interval between two repetitions in seconds.
_REPEAT_INTERVAL_S = 0.15
#: Seconds from the arrival of the request to the crash of the server.
_CRASH_DELAY_S = 0.05
#: Seconds from the crash of a server until it is back.
_DOWN_S = 1.5


@dataclass(slots=True, frozen=True)
class Incident:
    """A request that is repeated and crashes the servers that run it.

    :ivar number: number of the incident.
    :ivar at_s: seconds from the start of the soak test to its start.
    :ivar for_s: duration in seconds.
    """

    number: int
    at_s: float
    for_s: float

    @property
    def path(self) -> str:
        """Last part of the path of the request."""
        return f'{DEADLY_PREFIX}{self.number}'

    def describe(self) -> str:
        """Describe the incident in one line."""
        return f'{self.at_s:7.2f} s  {self.path} for {self.for_s:.2f} s'


@dataclass(slots=True)
class CrashLog:
    """What the servers saw of a request that crashes them.

    :ivar arrivals: clock times of its arrivals, by request ID.
    :ivar crashed_at: clock times of the crashes.
    """

    arrivals: dict[str, float] = field(default_factory=dict)
    crashed_at: list[float] = field(default_factory=list)


def draw_incidents(seed: int, length_s: float) -> list[Incident]:
    """Draw the incidents of a soak test at random, at least one.

    :param seed: seed of the random numbers.
    :param length_s: length of the phase in which they start, in seconds.
    """
    source = random.Random(f'incidents.{seed}')
    incidents: list[Incident] = []
    at_s = source.uniform(_MINIMUM_START_S, _MAXIMUM_START_S)
    while not incidents or at_s < length_s:
        for_s = source.uniform(_MINIMUM_DURATION_S, _MAXIMUM_DURATION_S)
        incidents.append(
            Incident(len(incidents), round(at_s, 2), round(for_s, 2))
        )
        at_s += source.expovariate(1 / _MEAN_INTERVAL_S)
    return incidents


class CrashingServers:
    """Crashes servers that run certain requests and starts them anew.

    :ivar logs: what the servers saw, by the last part of the path.
    """

    def __init__(
        self,
        servers: list[SealedServer],
        links: list[FaultProxy],
        on_restart: Callable[[int], None],
    ) -> None:
        """Watch the servers.

        :param servers: the servers.
        :param links: the proxies before them.
        :param on_restart: called with the number of a server that is back.
        """
        self.logs: dict[str, CrashLog] = {}
        self._links = links
        self._on_restart = on_restart
        self._down: set[int] = set()
        for number, server in enumerate(servers):
            server.run_deadly = partial(self._run, number)

    def _run(self, number: int, path: str, identity: str) -> None:
        log = self.logs.setdefault(path, CrashLog())
        log.arrivals[identity] = read_hub_clock()
        eventlet.sleep(_CRASH_DELAY_S)
        if number in self._down:
            return
        self._down.add(number)
        log.crashed_at.append(read_hub_clock())
        self._links[number].crash()
        eventlet.spawn_after(_DOWN_S, self._restart, number)

    def _restart(self, number: int) -> None:
        self._links[number].restart()
        self._down.discard(number)
        self._on_restart(number)


def repeat_request(client: Client, incident: Incident) -> None:
    """Send the request of an incident again and again.

    :param client: the client.
    :param incident: the incident.
    """
    until = read_hub_clock() + incident.for_s
    while read_hub_clock() < until:
        eventlet.spawn_n(client.repeat, incident.path)
        eventlet.sleep(_REPEAT_INTERVAL_S)
