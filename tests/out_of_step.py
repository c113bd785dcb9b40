"""Fixtures for the tests of hosts that are out of step with the others."""

from __future__ import annotations

import enum
import random
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field

import eventlet

from egretdale.coordination.copies import PeerAccess
from egretdale.coordination.instances import INSTANCE_KIND, InstanceFollower
from egretdale.coordination.mesh import Mesh
from egretdale.coordination.ports import Delivered, Position
from egretdale.coordination.stream_origins import (
    ListKnowledge,
    StreamOrigins,
)
from egretdale.coordination.version_record import VersionRecorder
from egretdale.errors import Ambiguous, Cause, Unreachable
from egretdale.state.instances import Instance, InstanceTable
from egretdale.state.members import MemberStatus, MemberTable
from egretdale.state.messages import Batch, MemberUpdate
from egretdale.state.queries import (
    ChangeAsk,
    Changes,
    DocumentCopy,
    OriginAsk,
    OriginReply,
)
from standins.virtual.hub import VirtualHub, use_virtual_time
from standins.virtual.network import HostFaults
from standins.virtual.platform import PlatformState, VirtualPlatform


SERVICE = 'claims'
#: Seconds after the loss of a host until others suspect it and drop it.
_SUSPECT_S = 0.4
_GONE_S = 1.4
_LATENCY_S = 0.001
_TIMEOUT_S = 0.15
#: Seconds until all hosts have the list and one has recorded the versions.
_SETTLE_S = 3.07


class Fault(enum.Enum):
    """What keeps a host out of step."""

    NO_STORE = 'no-store'
    NO_PEERS = 'no-peers'
    ISOLATED = 'isolated'
    NO_REPLIES = 'no-replies'
    FROZEN = 'frozen'
    LATE_WATCH = 'late-watch'


class _Platform(VirtualPlatform):
    """Counts how often a host makes sure that its list is the newest."""

    confirmations = 0

    def is_newest(
        self, kind: str, position: Position, timeout_s: float
    ) -> bool | Unreachable:
        self.confirmations += 1
        return super().is_newest(kind, position, timeout_s)


@dataclass
class Host:
    """What a host knows of versions and of streams."""

    members: MemberTable
    platform: _Platform
    follower: InstanceFollower
    origins: StreamOrigins
    tasks: list[eventlet.greenthread.GreenThread]

    def stop(self) -> None:
        """End the tasks of the host."""
        for task in self.tasks:
            task.kill()

    def begin(self, request_id: str, version: str) -> None:
        """Record that a stream has begun at an engine."""
        instance = Instance(version, SERVICE, '', software_version=version)
        self.origins.note_start(instance, request_id, is_split=False)

    def resume(self, request_id: str) -> str:
        """Resume a stream.

        :param request_id: ID of the request that began it.
        :return: the version at which it would go on, empty for a refusal.
        """
        origin = self.origins.find('again', request_id, SERVICE)
        return '' if origin is None else origin.software_version


@dataclass
class Fleet:
    """Hosts that follow the same store and ask each other.

    :ivar unheard: hosts that get no replies of other hosts, which they reach.
    """

    hub: VirtualHub
    names: tuple[str, ...]
    state: PlatformState = field(default_factory=PlatformState)
    faults: HostFaults = field(default_factory=HostFaults)
    unheard: set[str] = field(default_factory=set)
    hosts: dict[str, Host] = field(default_factory=dict)

    def list_engine(self, version: str) -> None:
        """List an engine of a version."""
        self.state.store.put(INSTANCE_KIND, version, version)

    def remove_engine(self, version: str) -> None:
        """Remove the engine of a version."""
        self.state.store.delete(INSTANCE_KIND, version, 0)

    def start_host(self, name: str) -> None:
        """Start a host that knows nothing of what was before."""
        self.hosts[name] = _create_host(self, name)

    def begin_fault(self, name: str, fault: Fault) -> None:
        """Put a host out of step."""
        others = set(self.names) - {name}
        match fault:
            case Fault.NO_STORE:
                self.state.cut.add(name)
            case Fault.LATE_WATCH:
                self.state.silent.add(name)
            case Fault.FROZEN:
                self.faults.frozen.add(name)
            case Fault.NO_REPLIES:
                self.state.cut.add(name)
                self.unheard.add(name)
            case Fault.NO_PEERS | Fault.ISOLATED:
                if fault is Fault.ISOLATED:
                    self.state.cut.add(name)
                self.faults.cut |= {
                    frozenset((name, other)) for other in others
                }
                self._note_loss(name, others)
                for other in others:
                    self._note_loss(other, {name})

    def end_fault(self, name: str) -> None:
        """Let a host come back into step."""
        self.state.cut.discard(name)
        self.state.silent.discard(name)
        self.faults.frozen.discard(name)
        self.faults.cut.clear()
        self.unheard.discard(name)

    def lose_host(self, name: str) -> None:
        """Lose a host."""
        self.faults.dead.add(name)
        self.hosts[name].stop()
        for other in set(self.names) - {name}:
            self._note_loss(other, {name})

    def _note_loss(self, host: str, lost: set[str]) -> None:
        members = self.hosts[host].members
        for delay_s, status in (
            (_SUSPECT_S, MemberStatus.SUSPECT),
            (_GONE_S, MemberStatus.GONE),
        ):
            eventlet.spawn_after(
                delay_s, _set_status, members, lost, status, self.hub
            )


class _Network:
    """Calls of one host to its peers."""

    def __init__(self, fleet: Fleet, own: str) -> None:
        self._fleet = fleet
        self._own = own

    def find_origin(
        self, address: str, ask: OriginAsk
    ) -> OriginReply | Unreachable | Ambiguous:
        return self._reach(address) or self._finish(
            self._fleet.hosts[address].origins.answer(ask)
        )

    def follow(
        self, address: str, ask: ChangeAsk
    ) -> Changes | Unreachable | Ambiguous:
        return self._reach(address) or self._finish(
            self._fleet.hosts[address].follower.relay.answer(ask)
        )

    def fetch(
        self, address: str, service: str
    ) -> DocumentCopy | Unreachable | Ambiguous:
        return self._reach(address) or self._finish(
            self._fleet.hosts[address].follower.copy()
        )

    def deliver(
        self, address: str, batch: Batch
    ) -> Delivered | Unreachable | Ambiguous:
        lost = self._reach(address)
        if lost is not None:
            return lost
        self._fleet.hosts[address].origins.receive(batch)
        return self._finish(Delivered(Batch(address, 0), 0))

    def _reach(self, address: str) -> Unreachable | Ambiguous | None:
        faults = self._fleet.faults
        faults.pause_or_exit(self._own)
        eventlet.sleep(_LATENCY_S)
        if address in faults.dead:
            return Unreachable(Cause.REFUSED)
        if address in faults.frozen or not faults.reaches(self._own, address):
            eventlet.sleep(_TIMEOUT_S)
            return Ambiguous(Cause.SILENT)
        return None

    def _finish(self, reply: object) -> object:
        eventlet.sleep(_LATENCY_S)
        self._fleet.faults.pause_or_exit(self._own)
        if self._own in self._fleet.unheard:
            eventlet.sleep(_TIMEOUT_S)
            return Ambiguous(Cause.SILENT)
        return reply


def _set_status(
    members: MemberTable,
    names: set[str],
    status: MemberStatus,
    hub: VirtualHub,
) -> None:
    for name in names:
        update = MemberUpdate(name, 1, 0, int(status), 'dc', name, name)
        members.apply(update, hub.now)


def _decode(name: str, source: bytes) -> Instance:
    return Instance(name, SERVICE, '', software_version=source.decode())


def _create_host(fleet: Fleet, name: str) -> Host:
    clock = fleet.hub.read_now
    members = MemberTable(name)
    _set_status(members, set(fleet.names), MemberStatus.ALIVE, fleet.hub)
    network = _Network(fleet, name)
    platform = _Platform(name, fleet.state, fleet.faults)
    table = InstanceTable(clock, 2)
    follower = InstanceFollower(
        platform,
        PeerAccess(network, members),
        table,
        decode=_decode,
        clock=clock,
        source=random.Random(name),
        on_gone=lambda instance: None,
    )
    recorder = VersionRecorder(
        platform,
        members,
        table.versions,
        lambda: follower.confirmation.measure_age() <= 3,
        clock=clock,
        wall_clock=lambda: 1000 + fleet.hub.now,
        source=random.Random(name),
    )
    mesh = Mesh(members, network, clock, 4096)
    origins = StreamOrigins(
        mesh,
        table,
        clock,
        ListKnowledge(
            follower.confirmer.confirm,
            recorder.restore,
            follower.confirmation.measure_age,
        ),
    )
    mesh.add_listener(origins)
    tasks = [
        eventlet.spawn(step) for step in (follower.run_watch, recorder.run)
    ]
    return Host(members, platform, follower, origins, tasks)


@contextmanager
def open_fleet(count: int, *versions: str) -> Iterator[Fleet]:
    """Run hosts on virtual time that know which versions have served.

    :param count: number of hosts.
    :param versions: versions of the engines.
    """
    with use_virtual_time() as hub:
        fleet = Fleet(hub, tuple(f'h{index}' for index in range(count)))
        for version in versions:
            fleet.list_engine(version)
        for name in fleet.names:
            fleet.start_host(name)
        eventlet.sleep(_SETTLE_S)
        for host in fleet.hosts.values():
            host.follower.table.versions.restore((), 0)
        yield fleet
