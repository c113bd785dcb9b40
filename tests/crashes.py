"""Fixtures for the tests of prompt parts that crash engines."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field

import eventlet

from egretdale.coordination.exchanges import (
    ForwardReply,
    IncompleteResponse,
    Prompt,
    PromptPart,
)
from egretdale.state.outcomes import Refused
from standins.emulation.hosts import EmulatedHost
from standins.virtual.hub import use_virtual_time
from tests.crashing_engines import (
    DEADLY_PART,
    CrashingEngines,
    EngineScene,
)

#: Requests with the part that may reach engines after that.
ALLOWED_ARRIVALS = 3
#: Crashes after which the part has to be recognised.
COUNTED_CRASHES = 5
#: Part before the one that crashes engines, which other requests have too.
COMMON_PART = 7


@dataclass
class CrashScene(EngineScene):
    """Hosts before engines that requests with a certain part crash.

    :ivar begun: times and shared parts of the requests that began to be
        answered.
    :ivar refused: refusals with the time and the shared parts.
    :ivar sent: times and shared parts of all requests.
    """

    begun: list[tuple[float, tuple[int, ...]]] = field(default_factory=list)
    refused: list[tuple[float, tuple[int, ...], Refused]] = field(
        default_factory=list
    )
    sent: list[tuple[float, tuple[int, ...]]] = field(default_factory=list)
    _number: int = 0

    def send(
        self,
        for_s: float,
        *,
        rate: float = 40,
        deadly_rate: float = 1.0,
        common_share: float = 0.1,
        seed: int = 1,
    ) -> None:
        """Send requests to random hosts.

        :param for_s: seconds in which they are sent.
        :param rate: sound requests per second.
        :param deadly_rate: requests with the deadly part per second.
        :param common_share: share of the sound requests that have the first
            part of the deadly ones.
        :param seed: seed of the hosts, parts and times.
        """
        source = random.Random(seed)
        end = self.hub.now + for_s
        while self.hub.now < end:
            self.update_lists()
            if source.random() < deadly_rate / (rate + deadly_rate):
                shared = (COMMON_PART, DEADLY_PART)
            else:
                shared = _choose_sound_parts(source, common_share)
            host = source.choice(list(self.hosts.values()))
            eventlet.spawn_n(self.call, host, shared)
            eventlet.sleep(source.expovariate(rate + deadly_rate))

    def call(self, host: EmulatedHost, shared: tuple[int, ...]) -> None:
        """Send a request and read its response.

        :param host: host that it is sent to.
        :param shared: parts of its prompt but the last.
        """
        self._number += 1
        started_at = self.hub.now
        self.sent.append((started_at, shared))
        parts = [PromptPart(identity, 400) for identity in shared]
        parts.append(PromptPart(1000000 + self._number, 100))
        prompt = Prompt(400 * len(shared) + 100, 40, tuple(parts))
        request = self.create_request(f'request-{self._number}', prompt=prompt)
        reply = host.forwarder.forward(host.forwarder.admit(request))
        match reply:
            case Refused():
                self.refused.append((started_at, shared, reply))
            case ForwardReply():
                self._read(reply, started_at, shared)

    def measure_begun(
        self, since: float, until: float, shared: tuple[int, ...] = ()
    ) -> float:
        """Measure the share of sound requests that began to be answered.

        :param since: time of the first one.
        :param until: time of the last one.
        :param shared: shared parts, empty for any.
        """
        counts = Counter(
            entry in self.begun
            for entry in self.sent
            if since <= entry[0] < until
            and DEADLY_PART not in entry[1]
            and (not shared or entry[1] == shared)
        )
        return counts[True] / max(1, counts.total())

    def _read(
        self, reply: ForwardReply, started_at: float, shared: tuple[int, ...]
    ) -> None:
        try:
            for number, _ in enumerate(reply.chunks):
                if not number:
                    self.begun.append((started_at, shared))
        except IncompleteResponse:
            return


@contextmanager
def open_crash_scene(hosts: int = 6, engines: int = 5) -> Iterator[CrashScene]:
    """Run hosts before engines on virtual time.

    :param hosts: number of hosts.
    :param engines: number of engines, named ``e0``, ``e1`` and so on.
    """
    with use_virtual_time() as hub:
        scene = CrashScene(hub)
        scene.start(CrashingEngines(hub), hosts, engines)
        yield scene


def _choose_sound_parts(
    source: random.Random, common_share: float
) -> tuple[int, ...]:
    """Choose the shared parts of a sound request, most of which are rare."""
    if source.random() < common_share:
        return (COMMON_PART,)
    return (2000 + source.randrange(4), 3000 + source.randrange(400))
