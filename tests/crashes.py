"""Fixtures for the tests of prompt parts that crash engines."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field

import eventlet

from egretdale.coordination.exchanges import (
    ForwardAttempt,
    ForwardReply,
    ForwardRequest,
    IncompleteResponse,
    Prompt,
    PromptPart,
    RelayAttempt,
)
from egretdale.coordination.ports import EndOfStream, MaybeRun, NotRun
from egretdale.state.backpressure import BackendStatement
from egretdale.state.instances import Instance
from egretdale.state.outcomes import Refused
from standins.emulation.hosts import SERVICE, EmulatedHost
from standins.virtual.hub import VirtualHub, use_virtual_time
from tests.emulated import HostGroup

#: Seconds after the fifth crash from which requests with the part count.
CONTACT_S = 3.0
#: Requests with the part that may reach engines after that.
ALLOWED_ARRIVALS = 3
#: Crashes after which the part has to be recognised.
COUNTED_CRASHES = 5
#: Parts of the prompts: the one that crashes engines, and the one before it,
#: which other requests have too.
DEADLY_PART = 66
COMMON_PART = 7
_PREFILL_S = 0.05
_GAP_S = 0.1
_EVENTS = 8
#: Seconds from the head of a response until its engine crashes.
_CRASH_DELAY_S = 0.08
#: The same from the arrival of a request without a prompt.
_PLAIN_CRASH_DELAY_S = 0.1
#: Seconds in which an engine runs a request without a prompt, at least and at
#: most.
_PLAIN_WORK_S = (0.01, 0.15)
_DOWN_S = 3.0


@dataclass
class CrashingEngine:
    """An engine that crashes when it begins to write on a certain part.

    :ivar name: name under which it is listed.
    :ivar lives: number of its starts.
    :ivar running: whether it accepts connections.
    """

    name: str
    lives: int = 1
    running: bool = True


@dataclass
class EngineStream:
    """A response of an engine, which breaks when the engine crashes."""

    engine: CrashingEngine
    life: int
    events: int = _EVENTS
    sent: int = 0
    status: int = 200
    headers: tuple = ()
    length: int | None = None
    sealed: bool = True
    not_run: bool = False
    statement: BackendStatement = BackendStatement()

    def read(self) -> bytes | EndOfStream | MaybeRun:
        """Read the next event."""
        if self.sent == self.events:
            return EndOfStream()
        if self.events > 1:
            eventlet.sleep(_GAP_S)
        if self.engine.lives != self.life or not self.engine.running:
            return MaybeRun('reset by the peer')
        self.sent += 1
        return f'id: {self.sent}\ndata: x\n\n'.encode()

    def close(self) -> None:
        """Close the connection."""


@dataclass
class CrashingEngines:
    """Engines of one service.

    :ivar deadly: parts that crash them.
    :ivar deadly_bodies: bodies of the requests that crash them.
    :ivar renames: whether an engine has another name after a crash.
    :ivar engines: engines by name.
    :ivar crashed_at: times of the crashes that requests caused.
    :ivar arrivals: times at which requests that crash engines arrived.
    """

    hub: VirtualHub
    deadly: set[int] = field(default_factory=lambda: {DEADLY_PART})
    deadly_bodies: set[bytes] = field(default_factory=set)
    renames: bool = True
    engines: dict[str, CrashingEngine] = field(default_factory=dict)
    crashed_at: list[float] = field(default_factory=list)
    arrivals: list[float] = field(default_factory=list)
    _source: random.Random = field(default_factory=lambda: random.Random(0))

    def open(self, attempt: ForwardAttempt) -> EngineStream | NotRun | MaybeRun:
        """Run a request."""
        engine = self.engines.get(attempt.instance.name)
        if engine is None or not engine.running:
            return NotRun('refused')
        is_deadly = self._is_deadly(attempt.request)
        if is_deadly:
            self.arrivals.append(self.hub.now)
        life = engine.lives
        if not attempt.request.prompt.parts:
            return self._run_plain(engine, is_deadly=is_deadly)
        eventlet.sleep(_PREFILL_S)
        if engine.lives != life or not engine.running:
            return MaybeRun('reset by the peer')
        if is_deadly:
            eventlet.spawn_after(_CRASH_DELAY_S, self._crash, engine, life)
        return EngineStream(engine, life)

    def test_connection(self, instance: Instance) -> NotRun | None:
        """Open a connection to an engine."""
        engine = self.engines.get(instance.name)
        if engine is None or not engine.running:
            return NotRun('refused', is_refused=True)
        return None

    def relay(self, attempt: RelayAttempt) -> NotRun:
        """Relay no request."""
        return NotRun('no other host')

    def crash(self, engine: CrashingEngine) -> None:
        """Let an engine crash and start again some seconds later."""
        engine.running = False
        eventlet.spawn_after(_DOWN_S, self._restart, engine)

    def list_instances(self) -> dict[str, Instance]:
        """List the engines as a service directory would."""
        return {
            name: Instance(
                name,
                SERVICE,
                f'10.0.0.1:{number}',
                born_ms=engine.lives * 1000,
                slots=128,
            )
            for number, (name, engine) in enumerate(self.engines.items())
        }

    def count_late_arrivals(self, crashes: int = COUNTED_CRASHES) -> int:
        """Count the arrivals that the rule limits.

        :param crashes: number of crashes after which it does so.
        """
        if len(self.crashed_at) < crashes:
            return 0
        since = self.crashed_at[crashes - 1] + CONTACT_S
        return sum(at > since for at in self.arrivals)

    def _is_deadly(self, request: ForwardRequest) -> bool:
        parts = request.prompt.parts[:-1]
        return request.body in self.deadly_bodies or any(
            part.identity in self.deadly for part in parts
        )

    def _run_plain(
        self, engine: CrashingEngine, *, is_deadly: bool
    ) -> EngineStream | MaybeRun:
        """Run a request without a prompt, whose response comes at its end."""
        life = engine.lives
        if is_deadly:
            eventlet.sleep(_PLAIN_CRASH_DELAY_S)
            self._crash(engine, life)
        else:
            eventlet.sleep(self._source.uniform(*_PLAIN_WORK_S))
        if engine.lives != life or not engine.running:
            return MaybeRun('reset by the peer')
        return EngineStream(engine, life, events=1)

    def _crash(self, engine: CrashingEngine, life: int) -> None:
        if engine.lives == life and engine.running:
            self.crashed_at.append(self.hub.now)
            self.crash(engine)

    def _restart(self, engine: CrashingEngine) -> None:
        engine.lives += 1
        engine.running = True
        if self.renames:
            self.engines.pop(engine.name)
            engine.name = f'{engine.name.partition("-")[0]}-{engine.lives}'
            self.engines[engine.name] = engine


@dataclass
class CrashScene(HostGroup):
    """Hosts before engines that some requests crash.

    :ivar engines: the engines.
    :ivar begun: times and shared parts of the requests that began to be
        answered.
    :ivar refused: refusals with the time and the shared parts.
    :ivar sent: times and shared parts of all requests.
    """

    engines: CrashingEngines = field(init=False)
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

    def update_lists(self) -> None:
        """Let all hosts read the list of engines."""
        instances = self.engines.list_instances()
        for host in self.hosts.values():
            if host.list_instances() != instances:
                host.replace_instances(instances)

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
        scene.engines = CrashingEngines(hub)
        for number in range(engines):
            engine = CrashingEngine(f'e{number}')
            scene.engines.engines[engine.name] = engine
        for index in range(hosts):
            scene.add_host(f'h{index}', scene.engines, hosts)
        scene.update_lists()
        eventlet.sleep(1)
        yield scene


def _choose_sound_parts(
    source: random.Random, common_share: float
) -> tuple[int, ...]:
    """Choose the shared parts of a sound request, most of which are rare."""
    if source.random() < common_share:
        return (COMMON_PART,)
    return (2000 + source.randrange(4), 3000 + source.randrange(400))
