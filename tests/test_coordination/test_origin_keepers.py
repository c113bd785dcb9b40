"""Tests of streams that callers resume after the loss of some hosts."""

from __future__ import annotations

import random
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from itertools import repeat

import eventlet

from egretdale.coordination.mesh import Mesh
from egretdale.coordination.ports import Delivered
from egretdale.coordination.stream_origins import (
    ListKnowledge,
    StreamOrigins,
)
from egretdale.errors import Cause, Unreachable
from egretdale.state.instances import Instance, InstanceTable
from egretdale.state.members import MemberStatus, MemberTable
from egretdale.state.messages import Batch, MemberUpdate
from egretdale.state.queries import OriginAsk, OriginReply
from standins.virtual.hub import VirtualHub, use_virtual_time
from tests.functions import create_loader

load_tests = create_loader(__name__)

_SERVICE = 'claims'
_VERSIONS = ('v1', 'v2')
#: Time in seconds after which hosts know each other and the versions.
_JOIN_S = 40.0
#: Hosts that start anew while the streams are kept.
_RESTARTS = 24
#: Time in seconds in which origins are told, and a loss is noticed.
_SETTLE_S = 0.5


@dataclass
class _Host:
    """A host that begins streams."""

    members: MemberTable
    origins: StreamOrigins


@dataclass
class _Fleet:
    """Hosts that tell each other where streams began.

    :ivar hosts: running hosts by name, which is also their address.
    :ivar begun: names of the hosts that began the streams, by request ID.
    :ivar sent: number of origins that were sent.
    """

    hub: VirtualHub
    names: list[str]
    hosts: dict[str, _Host] = field(default_factory=dict)
    begun: dict[str, str] = field(default_factory=dict)
    sent: int = 0
    updates: dict[str, MemberUpdate] = field(default_factory=dict)

    def find_origin(
        self, address: str, ask: OriginAsk
    ) -> OriginReply | Unreachable:
        """Ask a host where a stream began."""
        eventlet.sleep(0.001)
        host = self.hosts.get(address)
        if host is None:
            return Unreachable(Cause.REFUSED)
        return host.origins.answer(ask)

    def deliver(self, address: str, batch: Batch) -> Delivered | Unreachable:
        """Deliver a batch to a host."""
        eventlet.sleep(0.001)
        host = self.hosts.get(address)
        if host is None:
            return Unreachable(Cause.REFUSED)
        self.sent += len(batch.origins)
        host.origins.receive(batch)
        return Delivered(Batch(address, self.updates[address].incarnation), 0)

    def start(self, *names: str) -> None:
        """Start hosts that know nothing of what was before."""
        for name in names:
            self._note(name, MemberStatus.ALIVE, is_new=True)
            self.hosts[name] = self._create_host(name)
        self.settle()

    def lose(self, *names: str) -> None:
        """Lose hosts at the same moment."""
        for name in names:
            self.hosts.pop(name)
        for name in names:
            self._note(name, MemberStatus.GONE)
        self.settle()

    def begin(self, *names: str) -> None:
        """Begin a stream at each of some hosts."""
        for name in names:
            request_id = f'r{len(self.begun)}'
            self.begun[request_id] = name
            instance = Instance('e', _SERVICE, '', software_version='v1')
            self.hosts[name].origins.note_start(
                instance, request_id, is_split=False
            )

    def resume(self) -> float:
        """Resume the streams of lost hosts, each at a host that runs.

        :return: share of them that goes on where it began.
        """
        lost = [
            key for key, name in self.begun.items() if name not in self.hosts
        ]
        source = random.Random(1)
        found = 0
        for request_id in lost:
            host = self.hosts[source.choice(sorted(self.hosts))]
            origin = host.origins.find('again', request_id, _SERVICE)
            found += origin is not None and origin.software_version == 'v1'
        return found / len(lost)

    def settle(self) -> None:
        """Let hosts exchange batches, which they do all the time."""
        eventlet.sleep(_SETTLE_S / 2)
        for name, host in self.hosts.items():
            host.origins.fill(name, Batch(name, 0))
        eventlet.sleep(_SETTLE_S / 2)

    def _note(
        self, name: str, status: MemberStatus, *, is_new: bool = False
    ) -> None:
        known = self.updates.get(name)
        incarnation = known.incarnation if known else 0
        incarnation += int(is_new)
        self.updates[name] = MemberUpdate(
            name, incarnation, 0, int(status), 'dc', name, name
        )
        for host in self.hosts.values():
            host.members.apply(self.updates[name], self.hub.now)

    def _create_host(self, name: str) -> _Host:
        members = MemberTable(name)
        for update in self.updates.values():
            members.apply(update, self.hub.now)
        clock = self.hub.read_now
        instances = InstanceTable(clock, 2)
        mesh = Mesh(members, self, clock, 4096)
        knowledge = ListKnowledge(lambda: True, lambda: True, float)
        origins = StreamOrigins(mesh, instances, clock, knowledge)
        mesh.add_listener(origins)
        entries = {
            version: Instance(version, _SERVICE, '', software_version=version)
            for version in _VERSIONS
        }
        instances.replace(entries, after_outage=False)
        return _Host(members, origins)


@contextmanager
def _open_fleet(count: int) -> Iterator[_Fleet]:
    with use_virtual_time() as hub:
        fleet = _Fleet(hub, [f'h{index}' for index in range(count)])
        fleet.start(*fleet.names)
        eventlet.sleep(_JOIN_S)
        yield fleet


def test_streams_of_a_small_fleet_outlive_any_number_of_hosts() -> None:
    """Whichever hosts are killed at once, the streams are not lost."""
    for count in (6, 8, 13):
        for seed in range(8):
            with _open_fleet(count) as fleet:
                fleet.begin(*fleet.names * 2)
                fleet.settle()
                source = random.Random(seed)
                left = source.randrange(1, count)
                fleet.lose(*source.sample(fleet.names, count - left))
                assert fleet.resume() == 1, (count, seed)


def test_most_streams_of_a_large_fleet_outlive_half_of_the_hosts() -> None:
    """No few hosts are the only ones that know a large part of them."""
    for count in (14, 62, 195):
        for seed in range(3):
            with _open_fleet(count) as fleet:
                fleet.begin(*fleet.names * (390 // count))
                fleet.settle()
                lost = round(count * 0.55)
                fleet.lose(*random.Random(seed).sample(fleet.names, lost))
                assert fleet.resume() > 0.6, (count, seed)


def test_keepers_that_start_anew_are_told_again() -> None:
    """Hosts are killed one after the other, each back before the next."""
    for count in (6, 14, 62):
        with _open_fleet(count) as fleet:
            own, *others = fleet.names
            fleet.begin(*repeat(own, 40))
            fleet.settle()
            for name in others[:_RESTARTS]:
                fleet.lose(name)
                fleet.start(name)
            fleet.lose(own)
            assert fleet.resume() == 1, count


def test_keepers_of_a_lost_host_tell_those_that_start_anew() -> None:
    """The host at which the streams began is killed first."""
    for count in (6, 14, 62):
        with _open_fleet(count) as fleet:
            own, *others = fleet.names
            fleet.begin(*repeat(own, 40))
            fleet.settle()
            fleet.lose(own)
            for name in others[:_RESTARTS]:
                fleet.lose(name)
                fleet.start(name)
            assert fleet.resume() == 1, count


def test_hosts_that_stay_are_told_once() -> None:
    """A host that starts anew costs the streams that it keeps only."""
    with _open_fleet(62) as fleet:
        fleet.begin(*fleet.names * 2)
        fleet.settle()
        assert fleet.sent == 62 * 2 * 3
        fleet.lose('h3')
        fleet.start('h3')
        assert fleet.sent < 62 * 2 * 4
        sent = fleet.sent
        eventlet.sleep(5)
        assert fleet.sent == sent
