"""Tests of streams that callers resume after the loss of all hosts."""

from __future__ import annotations

import random
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from itertools import product

import eventlet

from egretdale.coordination.mesh import Mesh
from egretdale.coordination.stream_origins import (
    ListKnowledge,
    StreamOrigins,
)
from egretdale.coordination.version_record import VersionRecorder
from egretdale.errors import Cause, Unreachable
from egretdale.state.instances import Instance, InstanceTable
from egretdale.state.members import MemberTable
from egretdale.state.messages import MemberUpdate
from egretdale.state.queries import OriginAsk, OriginReply
from standins.virtual.hub import VirtualHub, use_virtual_time
from tests.functions import create_loader
from tests.version_store import VersionStore

load_tests = create_loader(__name__)

_SERVICE = 'claims'
_SIZES = (6, 195)
_STREAMS = 60


@dataclass
class _Host:
    """What a host knows of versions and of streams."""

    instances: InstanceTable
    origins: StreamOrigins
    recorder: VersionRecorder


@dataclass
class _Fleet:
    """Hosts that share a store and ask each other.

    :ivar hosts: running hosts by name, which is also their address.
    """

    hub: VirtualHub
    count: int
    store: VersionStore = field(default_factory=VersionStore)
    hosts: dict[str, _Host] = field(default_factory=dict)

    def find_origin(
        self, address: str, ask: OriginAsk
    ) -> OriginReply | Unreachable:
        """Ask a host where a stream began."""
        eventlet.sleep(0.001)
        host = self.hosts.get(address)
        if host is None:
            return Unreachable(Cause.REFUSED)
        return host.origins.answer(ask)

    def start(self) -> None:
        """Start all hosts, which know nothing of what was before."""
        names = [f'h{index}' for index in range(self.count)]
        for name in names:
            members = MemberTable(name)
            for other in names:
                update = MemberUpdate(other, 1, 0, 0, 'dc', other, other)
                members.apply(update, self.hub.now)
            self.hosts[name] = self._create_host(members)

    def list_versions(self, *versions: str) -> None:
        """Give all hosts a list with an engine of each version."""
        entries = {
            version: Instance(version, _SERVICE, '', software_version=version)
            for version in versions
        }
        for host in self.hosts.values():
            host.instances.replace(entries, after_outage=False)

    def resume(self) -> set[str]:
        """Resume streams of hosts that were lost, at random hosts.

        :return: versions at which they would go on, empty for a refusal.
        """
        names = random.Random(1).choices(list(self.hosts), k=_STREAMS)
        threads = [
            eventlet.spawn(
                self.hosts[name].origins.find, f'b{number}', 'a', _SERVICE
            )
            for number, name in enumerate(names)
        ]
        found = [thread.wait() for thread in threads]
        return {origin.software_version if origin else '' for origin in found}

    def _create_host(self, members: MemberTable) -> _Host:
        clock = self.hub.read_now
        instances = InstanceTable(clock, 2)
        recorder = VersionRecorder(
            self.store,
            members,
            instances.versions,
            lambda: True,
            clock=clock,
            wall_clock=lambda: 1000 + self.hub.now,
            source=random.Random(members.own_host),
        )
        eventlet.spawn(recorder.run)
        origins = StreamOrigins(
            Mesh(members, self, clock, 4096),
            instances,
            clock,
            ListKnowledge(lambda: True, recorder.restore, float),
        )
        return _Host(instances, origins, recorder)


@contextmanager
def _open_fleet(hosts: int) -> Iterator[_Fleet]:
    with use_virtual_time() as hub:
        fleet = _Fleet(hub, hosts)
        fleet.start()
        fleet.list_versions('v1')
        eventlet.sleep(40)
        yield fleet


def test_streams_of_a_version_that_has_left_are_refused() -> None:
    """It left before, during or after the loss; an upgrade long ago is past."""
    for size in _SIZES:
        for seen in ((), (('v1', 'v2'),), (('v1', 'v2'), ('v2',))):
            with _open_fleet(size) as fleet:
                for versions in seen:
                    fleet.list_versions(*versions)
                    eventlet.sleep(6)
                fleet.start()
                fleet.list_versions('v2')
                assert fleet.resume() == {''}, (size, seen)
                eventlet.sleep(60)
                assert fleet.resume() == {'v2'}, (size, seen)


def test_streams_of_the_only_version_go_on() -> None:
    """One read for each host that is asked, however many streams come."""
    for size in _SIZES:
        with _open_fleet(size) as fleet:
            before = fleet.store.calls
            fleet.start()
            fleet.list_versions('v1')
            assert fleet.resume() == {'v1'}, size
            assert fleet.store.calls - before <= min(size, _STREAMS)


def test_streams_are_refused_while_the_store_is_away() -> None:
    """Nobody knows whether another version has served, until they do."""
    for size in _SIZES:
        with _open_fleet(size) as fleet:
            fleet.store.is_down = True
            fleet.start()
            fleet.list_versions('v1')
            assert fleet.resume() == {''}, size
            fleet.store.is_down = False
            eventlet.sleep(0.5)
            assert fleet.resume() == {'v1'}, size


def test_streams_of_a_version_that_the_store_forgot_are_refused() -> None:
    """Restored from an older copy, it says nothing of who began them.

    The version leaves before or after the restoration, then all hosts are lost.
    """
    scenes = product(_SIZES, (6, 10), (('v1',), ('v1', 'v2')))
    for size, served_s, versions in scenes:
        with _open_fleet(size) as fleet:
            saved = fleet.store.stored
            fleet.list_versions('v1', 'v2')
            eventlet.sleep(served_s)
            fleet.list_versions(*versions)
            fleet.store.restore(saved)
            eventlet.sleep(3)
            fleet.list_versions('v1')
            eventlet.sleep(6)
            fleet.start()
            fleet.list_versions('v1')
            assert fleet.resume() == {''}, (size, served_s)
