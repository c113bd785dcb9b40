"""Tests of how hosts follow the configuration, also during outages."""

from __future__ import annotations

import random
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass

import eventlet

from egretdale.coordination.configuration import (
    ROUTING_KIND,
    ConfigurationFollower,
)
from egretdale.coordination.copies import PeerAccess
from egretdale.coordination.mesh import Mesh
from egretdale.coordination.ports import Delivered
from egretdale.errors import Cause, Invalid, Unreachable
from egretdale.state.members import MemberTable
from egretdale.state.messages import Batch, MemberUpdate
from egretdale.state.routing import RoutingTable
from standins.virtual.hub import VirtualHub, use_virtual_time
from standins.virtual.network import HostFaults
from standins.virtual.platform import PlatformState, VirtualPlatform
from tests.forwarding import create_table
from tests.functions import create_loader

load_tests = create_loader(__name__)

_REQUEST_S = 0.001


def _decode(source: bytes) -> RoutingTable | Invalid:
    if not source.isdigit():
        return Invalid('$', 'is not a number')
    return create_table(version=int(source))


class _Network:
    """Calls between two hosts, with a delay.

    :ivar delay_s: delay of each answer in seconds.
    :ivar hosts: hosts by address.
    """

    def __init__(self) -> None:
        self.delay_s = _REQUEST_S
        self.hosts: dict[str, _Host] = {}

    def deliver(self, address: str, batch: Batch) -> Delivered | Unreachable:
        host = self.hosts.get(address)
        if host is None:
            return Unreachable(Cause.REFUSED)
        answer = host.mesh.handle(batch)
        eventlet.sleep(self.delay_s)
        return Delivered(answer, 100)

    def fetch(self, address: str, service: str):
        eventlet.sleep(self.delay_s)
        return self.hosts[address].follower.copy(service)


@dataclass
class _Host:
    mesh: Mesh
    follower: ConfigurationFollower
    tasks: list


@dataclass
class _Pair:
    """Two hosts and the platform."""

    hub: VirtualHub
    state: PlatformState
    network: _Network
    first: _Host
    second: _Host

    def publish(self, version: int) -> None:
        """Write a configuration as the operator does."""
        store = self.state.store
        known = store.read(ROUTING_KIND, 'main')
        expected = 0 if known is None else known.version
        store.write(ROUTING_KIND, 'main', str(version), expected)

    def measure_ages(self) -> tuple[float, float]:
        """Return the age of the configuration on each host."""
        return (
            self.first.follower.confirmation.measure_age(),
            self.second.follower.confirmation.measure_age(),
        )


def _create_host(
    name: str, state: PlatformState, network: _Network, hub: VirtualHub
) -> _Host:
    table = MemberTable(name)
    mesh = Mesh(table, network, hub.read_now, 4096)
    follower = ConfigurationFollower(
        VirtualPlatform(name, state, HostFaults()),
        PeerAccess(network, table),
        decode=_decode,
        clock=hub.read_now,
        source=random.Random(1),
    )
    mesh.add_listener(follower)
    for other in ('first', 'second'):
        update = MemberUpdate(other, 1, 0, 0, 'dc', '', other)
        table.apply(update, 0)
    host = _Host(mesh, follower, [])
    network.hosts[name] = host
    host.tasks.append(eventlet.spawn(follower.run_watch))
    return host


@contextmanager
def _open_pair() -> Iterator[_Pair]:
    with use_virtual_time() as hub:
        state = PlatformState()
        network = _Network()
        pair = _Pair(
            hub,
            state,
            network,
            _create_host('first', state, network, hub),
            _create_host('second', state, network, hub),
        )
        yield pair
        for host in (pair.first, pair.second):
            for task in host.tasks:
                task.kill()


def test_a_new_version_is_in_force_at_once() -> None:
    """A watch delivers a new version to every host."""
    with _open_pair() as pair:
        pair.publish(3)
        eventlet.sleep(0.5)
        pair.publish(7)
        eventlet.sleep(0.5)
        assert pair.first.follower.version == 7
        assert pair.second.follower.version == 7
        assert max(pair.measure_ages()) < 2.5


def test_the_age_grows_while_the_platform_is_down() -> None:
    """Without a successful read the version is not confirmed."""
    with _open_pair() as pair:
        pair.publish(3)
        eventlet.sleep(1)
        pair.state.down = True
        eventlet.sleep(6)
        assert min(pair.measure_ages()) > 5
        assert pair.first.follower.version == 3
        pair.state.down = False
        eventlet.sleep(2)
        assert max(pair.measure_ages()) < 2.5


def test_a_host_without_the_platform_adopts_the_age_of_a_peer() -> None:
    """The age of the same version is adopted and never understated."""
    with _open_pair() as pair:
        pair.publish(3)
        eventlet.sleep(1)
        pair.state.cut.add('second')
        eventlet.sleep(6)
        pair.second.mesh.probe('first')
        eventlet.sleep(0.1)
        first_s, second_s = pair.measure_ages()
        assert first_s <= second_s < 3


def test_a_slow_answer_counts_from_the_request() -> None:
    """A delayed answer confirms nothing later than the time of the request."""
    with _open_pair() as pair:
        pair.publish(3)
        eventlet.sleep(1)
        pair.state.cut.add('second')
        eventlet.sleep(6)
        pair.network.delay_s = 4.0
        pair.second.mesh.probe('first')
        eventlet.sleep(4.5)
        assert pair.second.follower.confirmation.measure_age() >= 4


def test_a_newer_version_is_fetched_from_a_peer() -> None:
    """A host cut off from the platform gets the version from its peer."""
    with _open_pair() as pair:
        pair.publish(3)
        eventlet.sleep(1)
        pair.state.cut.add('second')
        pair.publish(9)
        eventlet.sleep(1)
        pair.second.mesh.probe('first')
        eventlet.sleep(0.1)
        assert pair.second.follower.version == 9


def test_versions_never_go_back() -> None:
    """An older copy in the platform is neither used nor confirmed."""
    with _open_pair() as pair:
        pair.publish(9)
        eventlet.sleep(1)
        pair.publish(3)
        eventlet.sleep(6)
        assert pair.first.follower.version == 9
        assert pair.first.follower.confirmation.measure_age() > 5


def test_a_malformed_configuration_changes_nothing() -> None:
    """The version in force is kept and not confirmed."""
    with _open_pair() as pair:
        pair.publish(3)
        eventlet.sleep(1)
        known = pair.state.store.read(ROUTING_KIND, 'main')
        pair.state.store.write(ROUTING_KIND, 'main', 'text', known.version)
        eventlet.sleep(6)
        assert pair.first.follower.version == 3
        assert pair.first.follower.confirmation.measure_age() > 5


def test_concurrent_refreshes_share_a_read() -> None:
    """One read confirms the configuration for all callers that wait."""
    with _open_pair() as pair:
        pair.publish(3)
        eventlet.sleep(2.5)
        follower = pair.first.follower
        assert follower.confirmation.measure_age() > 1
        waiting = [eventlet.spawn(follower.refresh) for _ in range(5)]
        assert all(task.wait() for task in waiting)
        assert follower.confirmation.measure_age() < 0.1


def test_an_outage_does_not_delay_refreshes() -> None:
    """A failed read is not repeated for each request."""
    with _open_pair() as pair:
        pair.publish(3)
        eventlet.sleep(1)
        pair.state.down = True
        eventlet.sleep(3)
        started_at = pair.hub.now
        follower = pair.first.follower
        assert not any(follower.refresh() for _ in range(20))
        assert pair.hub.now - started_at < 0.5
