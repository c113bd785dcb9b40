"""Emulated engines that certain requests crash, and hosts before them."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

import eventlet

from egretdale.coordination.exchanges import (
    ForwardAttempt,
    ForwardRequest,
    RelayAttempt,
)
from egretdale.coordination.ports import EndOfStream, MaybeRun, NotRun
from egretdale.state.backpressure import BackendStatement
from egretdale.state.instances import Instance
from standins.emulation.hosts import SERVICE
from standins.virtual.hub import VirtualHub
from tests.emulated import HostGroup

#: Seconds after a counted crash from which arrivals count.
CONTACT_S = 3.0
#: Part of a prompt that crashes engines.
DEADLY_PART = 66
_PREFILL_S = 0.05
_GAP_S = 0.1
_EVENTS = 8
#: Seconds from the head of a response until its engine crashes.
_CRASH_DELAY_S = 0.08
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
    :ivar deadly_bodies: bodies of the requests that crash it and have arrived
        since its start.
    """

    name: str
    lives: int = 1
    running: bool = True
    deadly_bodies: set[bytes] = field(default_factory=set)


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
    :ivar plain_crash_delay_s: seconds from the arrival of such a request
        without a prompt until its engine crashes.
    :ivar renames: whether an engine has another name after a crash.
    :ivar engines: engines by name.
    :ivar crashed_at: times of the crashes that requests caused.
    :ivar arrivals: times at which requests that crash engines arrived.
    :ivar arrivals_by_body: the same by their bodies.
    :ivar crashes_by_body: times of the crashes while a request with such a
        body was in progress.
    """

    hub: VirtualHub
    deadly: set[int] = field(default_factory=lambda: {DEADLY_PART})
    deadly_bodies: set[bytes] = field(default_factory=set)
    plain_crash_delay_s: float = 0.1
    renames: bool = True
    engines: dict[str, CrashingEngine] = field(default_factory=dict)
    crashed_at: list[float] = field(default_factory=list)
    arrivals: list[float] = field(default_factory=list)
    arrivals_by_body: dict[bytes, list[float]] = field(default_factory=dict)
    crashes_by_body: dict[bytes, list[float]] = field(default_factory=dict)
    _source: random.Random = field(default_factory=lambda: random.Random(0))

    def open(self, attempt: ForwardAttempt) -> EngineStream | NotRun | MaybeRun:
        """Run a request."""
        engine = self.engines.get(attempt.instance.name)
        if engine is None or not engine.running:
            return NotRun('refused')
        is_deadly = self._is_deadly(attempt.request)
        if is_deadly:
            self._note_arrival(attempt.request.body, engine)
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

    def count_late_arrivals(self, crashes: int) -> int:
        """Count the arrivals that the rule limits.

        :param crashes: number of crashes after which it does so.
        """
        if len(self.crashed_at) < crashes:
            return 0
        since = self.crashed_at[crashes - 1] + CONTACT_S
        return sum(at > since for at in self.arrivals)

    def count_late_arrivals_by_body(self, crashes: int) -> dict[bytes, int]:
        """Count the arrivals that the rule limits for each body.

        :param crashes: number of crashes after which it does so.
        """
        return {
            body: sum(
                at > times[crashes - 1] + CONTACT_S
                for at in self.arrivals_by_body[body]
            )
            for body, times in self.crashes_by_body.items()
            if len(times) >= crashes
        }

    def _note_arrival(self, body: bytes, engine: CrashingEngine) -> None:
        self.arrivals.append(self.hub.now)
        self.arrivals_by_body.setdefault(body, []).append(self.hub.now)
        engine.deadly_bodies.add(body)

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
            eventlet.sleep(self.plain_crash_delay_s)
            self._crash(engine, life)
        else:
            eventlet.sleep(self._source.uniform(*_PLAIN_WORK_S))
        if engine.lives != life or not engine.running:
            return MaybeRun('reset by the peer')
        return EngineStream(engine, life, events=1)

    def _crash(self, engine: CrashingEngine, life: int) -> None:
        if engine.lives == life and engine.running:
            self.crashed_at.append(self.hub.now)
            for body in engine.deadly_bodies:
                times = self.crashes_by_body.setdefault(body, [])
                times.append(self.hub.now)
            self.crash(engine)

    def _restart(self, engine: CrashingEngine) -> None:
        engine.lives += 1
        engine.deadly_bodies.clear()
        engine.running = True
        if self.renames:
            self.engines.pop(engine.name)
            engine.name = f'{engine.name.partition("-")[0]}-{engine.lives}'
            self.engines[engine.name] = engine


@dataclass
class EngineScene(HostGroup):
    """Hosts before engines that requests crash.

    :ivar engines: the engines.
    """

    engines: CrashingEngines = field(init=False)
    _instances: dict[str, Instance] = field(default_factory=dict)
    _updated: dict[str, object] = field(default_factory=dict)

    def start(self, engines: CrashingEngines, hosts: int, count: int) -> None:
        """Start hosts and engines, named ``h0``, ``e0`` and so on.

        :param engines: the engines, none of which has started.
        :param hosts: number of hosts.
        :param count: number of engines.
        """
        self.engines = engines
        for number in range(count):
            engine = CrashingEngine(f'e{number}')
            engines.engines[engine.name] = engine
        for index in range(hosts):
            self.add_host(f'h{index}', engines, hosts)
        self.update_lists()
        eventlet.sleep(1)

    def update_lists(self) -> None:
        """Let all hosts read the list of engines."""
        instances = self.engines.list_instances()
        if instances != self._instances:
            self._instances = instances
            self._updated.clear()
        for name, host in self.hosts.items():
            if self._updated.get(name) is not host:
                host.replace_instances(instances)
                self._updated[name] = host
