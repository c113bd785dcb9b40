"""Random scenes of hosts that share duties, and a check of their calls."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field

import eventlet
import greenlet

from egretdale.coordination.duties import DUTIES, DutyHolder
from egretdale.coordination.duty_calls import (
    DutyOutcome,
    Fence,
    ScaleOrder,
    UsageReport,
)
from egretdale.coordination.duty_lease import DutyLease
from egretdale.coordination.mesh import Mesh
from egretdale.coordination.ports import Delivered
from egretdale.coordination.true_time import TrueTime
from egretdale.coordination.usage import UsageCollector
from egretdale.coordination.usage_reports import UsageReporter, WindowTimes
from egretdale.errors import Ambiguous, Cause, Unreachable
from egretdale.state.members import MemberStatus, MemberTable
from egretdale.state.messages import Batch, MemberUpdate
from egretdale.util.tasks import TaskGroup
from standins.virtual.hub import VirtualHub
from standins.virtual.network import HostFaults
from standins.virtual.platform import PlatformState, VirtualPlatform

EPOCH_S = 1_700_000_000.0
LEASE_S = 3.0
WINDOW_S = 5.0
_CALL_TIMEOUT_S = 0.6
_LATE_S = 10.0
_ORGANISATIONS = ('a', 'b', 'c')


@dataclass(slots=True, frozen=True)
class Arrival:
    """A call that has arrived at the interface."""

    at: float
    host: str
    token: int
    subject: str
    content: object


class Interface:
    """Records the calls in the order of their arrival."""

    def __init__(self, hub: VirtualHub, source: random.Random) -> None:
        self.arrivals: list[Arrival] = []
        self.down = False
        self.lose_answers = False
        self.transit_s = 0.02
        self._hub = hub
        self._source = source

    def send(
        self, host: str, subject: str, content: object, fence: Fence
    ) -> DutyOutcome:
        """Send a call whose first byte leaves now."""
        if self.down:
            eventlet.sleep(_CALL_TIMEOUT_S)
            return DutyOutcome.UNKNOWN
        transit_s = self._source.uniform(0, self.transit_s)
        call = (host, fence.token, subject, content)
        eventlet.spawn_after(transit_s, self._record, *call)
        if self.lose_answers and self._source.random() < 0.5:
            eventlet.sleep(_CALL_TIMEOUT_S)
            return DutyOutcome.UNKNOWN
        eventlet.sleep(transit_s)
        return DutyOutcome.ACCEPTED

    def _record(self, *call: object) -> None:
        self.arrivals.append(Arrival(self._hub.now, *call))


class HostSender:
    """Sends the calls of one host, which may freeze at any step."""

    def __init__(
        self, host: str, interface: Interface, faults: HostFaults
    ) -> None:
        self._host = host
        self._interface = interface
        self._faults = faults

    def send_usage(self, report: UsageReport, fence: Fence) -> DutyOutcome:
        """Report usage."""
        content = (report.window, tuple(sorted(report.counts.items())))
        return self._send('usage', content, fence)

    def send_scale(self, order: ScaleOrder, fence: Fence) -> DutyOutcome:
        """Order engines."""
        return self._send(f'scale/{order.data_centre}', order, fence)

    def _send(self, subject: str, content: object, fence: Fence) -> DutyOutcome:
        self._faults.pause_or_exit(self._host)
        eventlet.sleep(0.01)
        self._faults.pause_or_exit(self._host)
        if not fence.may_call():
            return DutyOutcome.NOT_SENT
        outcome = self._interface.send(self._host, subject, content, fence)
        self._faults.pause_or_exit(self._host)
        return outcome


class Orders:
    """A duty with a call in each round."""

    name = 'scale'
    period_s = 0.3

    def __init__(self, sender: HostSender) -> None:
        self._sender = sender

    def perform(self, fence: Fence) -> None:
        """Order engines in two places."""
        for place in 'xy':
            self._sender.send_scale(ScaleOrder('s', place, 3), fence)


class SceneNetwork:
    """Calls of one host to its peers."""

    def __init__(self, host: str, scene: Scene) -> None:
        self._host = host
        self._scene = scene

    def deliver(
        self, address: str, batch: Batch
    ) -> Delivered | Unreachable | Ambiguous:
        """Deliver a batch."""
        faults = self._scene.faults
        faults.pause_or_exit(self._host)
        eventlet.sleep(0.002)
        peer = self._scene.hosts.get(address)
        one_way = (self._host, address) in self._scene.deaf
        if peer is None or address in faults.frozen or one_way:
            eventlet.sleep(0.3)
            return Unreachable(Cause.SILENT)
        answer = peer.mesh.handle(batch)
        faults.pause_or_exit(self._host)
        if (address, self._host) in self._scene.deaf:
            return Ambiguous(Cause.SLOW)
        return Delivered(answer, 100)


@dataclass(slots=True)
class SceneHost:
    """One process of a host."""

    mesh: Mesh
    holder: DutyHolder
    lease: DutyLease
    collector: UsageCollector
    reporter: UsageReporter
    tasks: TaskGroup


@dataclass
class Scene:
    """Hosts with duties on virtual time."""

    hub: VirtualHub
    seed: int
    count: int
    create_lease: Callable[..., DutyLease] = DutyLease
    by_wall_clock: bool = False
    hosts: dict[str, SceneHost] = field(default_factory=dict)
    faults: HostFaults = field(default_factory=HostFaults)
    platform: PlatformState = field(default_factory=PlatformState)
    deaf: set[tuple[str, str]] = field(default_factory=set)
    offsets: dict[str, float] = field(default_factory=dict)
    truth: dict[int, dict[str, int]] = field(default_factory=dict)

    def __post_init__(self) -> None:
        """Start all hosts."""
        self.source = random.Random(self.seed)
        self.interface = Interface(self.hub, self.source)
        self.names = [f'h{index}' for index in range(self.count)]
        for name in self.names:
            self.start_host(name)
        for name in self.names:
            for host in self.hosts.values():
                self._tell(host, self._create_update(name, MemberStatus.ALIVE))

    def start_host(self, name: str) -> None:
        """Start a process; the others learn so soon."""
        if name in self.hosts:
            # Another trouble has started it already.
            return
        self.faults.dead.discard(name)
        self.offsets.setdefault(name, 0)
        clock = self.hub.read_now

        def read_wall() -> float:
            return EPOCH_S + self.hub.now + self.offsets[name]

        known = next(iter(self.hosts.values()), None)
        lease_clock = read_wall if self.by_wall_clock else clock
        table_source = Mesh(
            MemberTable(name), SceneNetwork(name, self), clock, 1e6
        )
        table = table_source.table
        if known is not None:
            for member in known.mesh.table.list_members():
                table.apply(member.update, clock())
        table.apply(self._create_update(name, MemberStatus.ALIVE), clock())
        platform = VirtualPlatform(name, self.platform, self.faults)
        lease = self.create_lease(
            DUTIES,
            name,
            f'{name}/{self.hub.now}',
            platform,
            clock=lease_clock,
            lifetime_s=LEASE_S,
        )
        holder = DutyHolder(
            table,
            lease,
            clock=lease_clock,
            lifetime_s=LEASE_S,
            call_timeout_s=_CALL_TIMEOUT_S,
        )
        true_time = TrueTime(clock, read_wall)
        collector = UsageCollector(table_source, true_time, clock, WINDOW_S)
        sender = HostSender(name, self.interface, self.faults)
        reporter = UsageReporter(
            collector,
            sender,
            platform,
            true_time,
            clock=clock,
            windows=WindowTimes(WINDOW_S, _LATE_S),
            count_call=lambda duty, outcome: None,
        )
        table_source.add_listener(true_time)
        table_source.add_listener(collector)
        holder.add(reporter)
        holder.add(Orders(sender))
        host = SceneHost(
            table_source, holder, lease, collector, reporter, TaskGroup(_raise)
        )
        self.hosts[name] = host
        holder.start(host.tasks)
        host.tasks.start(collector.run)
        host.tasks.start(self._gossip, name)
        self.announce(name, MemberStatus.ALIVE)

    def kill_host(self, name: str) -> None:
        """Kill a process at once; the others learn so later."""
        host = self.hosts.pop(name, None)
        if host is None:
            return
        self.faults.dead.add(name)
        self.faults.frozen.discard(name)
        host.tasks.stop()
        self.announce(name, MemberStatus.GONE)

    def restart_host(self, name: str) -> None:
        """Stop a process as planned, and start it again."""
        host = self.hosts.get(name)
        if host is None:
            return
        leaving = self._create_update(name, MemberStatus.LEAVING)
        host.mesh.table.apply(leaving, self.hub.now)
        self.announce(name, MemberStatus.LEAVING)
        eventlet.sleep(1.5)
        self.kill_host(name)
        eventlet.sleep(self.source.uniform(0, 0.4))
        self.start_host(name)

    def announce(self, name: str, status: MemberStatus) -> None:
        """Let all other hosts learn the status of a host, each in its time."""
        for host in list(self.hosts.values()):
            delay_s = self.source.uniform(0, 1.5)
            update = self._create_update(name, status)
            eventlet.spawn_after(delay_s, self._tell, host, update)

    def send_requests(self, rate: float, for_s: float) -> None:
        """Let hosts begin requests, and count them."""
        end_at = self.hub.now + for_s
        while self.hub.now < end_at:
            running = [
                name for name in self.hosts if name not in self.faults.frozen
            ]
            if running:
                organisation = self.source.choice(_ORGANISATIONS)
                window = int((EPOCH_S + self.hub.now) // WINDOW_S)
                counts = self.truth.setdefault(window, {})
                counts[organisation] = counts.get(organisation, 0) + 1
                host = self.hosts[self.source.choice(running)]
                host.collector.note_begin(organisation)
            eventlet.sleep(1 / rate)

    def find_holder(self) -> str:
        """Return the host that holds the lease, or any other."""
        for name, host in self.hosts.items():
            if host.lease.token:
                return name
        return self.source.choice(self.names)

    def _gossip(self, name: str) -> None:
        """Send batches to random hosts, as the membership's probes do."""
        while True:
            eventlet.sleep(self.source.uniform(0.4, 0.6))
            self.faults.pause_or_exit(name)
            peer = self.source.choice(self.names)
            if peer != name and self.hosts[name].mesh.knows(peer):
                self.hosts[name].mesh.probe(peer)

    def _tell(self, host: SceneHost, update: MemberUpdate) -> None:
        if host.mesh.table.own_host != update.host:
            host.mesh.table.apply(update, self.hub.now)

    def _create_update(self, name: str, status: MemberStatus) -> MemberUpdate:
        incarnation = round(self.hub.now * 1000)
        return MemberUpdate(name, incarnation, 0, int(status), 'dc', name, name)


def find_breaches(arrivals: list[Arrival]) -> list[str]:
    """Find calls that break the rule on holders.

    :param arrivals: calls in the order of their arrival.
    :return: what was found.
    """
    breaches = []
    reports: dict[int, object] = {}
    highest: dict[str, int] = {}
    owners: dict[tuple[str, int], str] = {}
    last_at: dict[tuple[str, str], float] = {}
    last_other: dict[str, str] = {}
    for call in arrivals:
        subject = call.subject
        if subject == 'usage':
            window, counts = call.content
            if reports.setdefault(window, counts) != counts:
                breaches.append(f'two reports of {window} at {call.at:.2f}')
        if owners.setdefault((subject, call.token), call.host) != call.host:
            breaches.append(f'token of two at {call.at:.2f}')
        if call.token < highest.get(subject, 0):
            breaches.append(f'lower token at {call.at:.2f}')
        highest[subject] = max(call.token, highest.get(subject, 0))
        before = last_at.get((subject, call.host))
        if last_other.get(subject, call.host) != call.host:
            if before is not None and call.at < before + LEASE_S:
                breaches.append(f'alternating at {call.at:.2f}')
        last_other[subject] = call.host
        last_at[(subject, call.host)] = call.at
    return breaches


def _raise(error: BaseException) -> None:
    if not isinstance(error, greenlet.GreenletExit):
        raise error
