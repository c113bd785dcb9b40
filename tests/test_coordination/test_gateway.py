"""Tests of the gateway: host addresses, seeds, readiness, publishing."""

from __future__ import annotations

import random
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import replace

import eventlet
import msgspec

from egretdale.config import GatewaySettings
from egretdale.coordination.gateway import Gateway, GatewayDependencies
from egretdale.coordination.ports import (
    Listing,
    Position,
    StoredObject,
    Written,
)
from egretdale.errors import Cause, Conflict, Invalid, Unreachable
from egretdale.state.member_records import StoredMember
from egretdale.state.members import MemberStatus
from egretdale.state.messages import MemberUpdate
from standins.virtual.hub import use_virtual_time
from standins.virtual.network import HostFaults
from standins.virtual.platform import PlatformState, VirtualPlatform
from tests.forwarding import ScriptedClient
from tests.functions import create_loader

load_tests = create_loader(__name__)


def _decode_invalid(*parts: object) -> Invalid:
    return Invalid('$', 'not used')


@contextmanager
def open_gateway(platform: object = None) -> Iterator[Gateway]:
    settings = GatewaySettings(
        host='own',
        data_centre='dc',
        caller_address='10.0.0.1:1',
        peer_address='10.0.0.1:2',
        readiness_address='10.0.0.1:3',
        directory_address='10.0.0.1:4',
        metrics_address='10.0.0.1:5',
        seeds=('10.0.0.2:2',),
    )
    with use_virtual_time() as hub:
        dependencies = GatewayDependencies(
            platform or VirtualPlatform('own', PlatformState(), HostFaults()),
            None,
            ScriptedClient(),
            hub.read_now,
            hub.read_now,
            random.Random(1),
            _decode_invalid,
            _decode_invalid,
        )
        yield Gateway(settings, dependencies)


def _create_update(host: str, status: MemberStatus) -> MemberUpdate:
    address = f'{host}:1'
    return MemberUpdate(host, 1, 1, int(status), 'dc', address, f'{host}:2')


def test_live_hosts_are_listed_before_others() -> None:
    """Suspect hosts, then leaving ones, are listed if there are no others."""
    with open_gateway() as gateway:
        assert gateway.list_addresses() == []
        gateway.membership.learn(_create_update('c', MemberStatus.LEAVING))
        assert gateway.list_addresses() == ['c:1']
        gateway.membership.learn(_create_update('b', MemberStatus.SUSPECT))
        assert gateway.list_addresses() == ['b:1']
        gateway.membership.learn(_create_update('a', MemberStatus.ALIVE))
        assert gateway.list_addresses() == ['a:1']


def test_hosts_without_a_way_to_the_servers_are_listed_last() -> None:
    """Callers that ask go to hosts that need not relay their requests."""
    with open_gateway() as gateway:
        leaving = _create_update('c', MemberStatus.LEAVING)
        cut_off = replace(_create_update('a', MemberStatus.ALIVE), cut_off=True)
        gateway.membership.learn(leaving)
        gateway.membership.learn(cut_off)
        assert gateway.list_addresses() == ['a:1']
        gateway.membership.learn(_create_update('b', MemberStatus.ALIVE))
        assert gateway.list_addresses() == ['b:1']
        back = replace(cut_off, counter=2, cut_off=False)
        gateway.membership.learn(back)
        assert sorted(gateway.list_addresses()) == ['a:1', 'b:1']


def test_a_host_announces_that_it_reaches_no_server() -> None:
    """Peers learn it with its next update."""
    with open_gateway() as gateway:
        before = gateway.membership.own.counter
        gateway.membership.announce_link(cut_off=True)
        assert gateway.membership.own.cut_off
        assert gateway.membership.own.counter > before


def test_a_seed_is_replaced_by_its_host() -> None:
    """The entry of a seed is removed once the name of its host is known."""
    with open_gateway() as gateway:
        table = gateway.mesh.table
        assert table.find('10.0.0.2:2') is not None
        named = replace(
            _create_update('a', MemberStatus.ALIVE), peer_address='10.0.0.2:2'
        )
        gateway.membership.learn(named)
        assert table.find('10.0.0.2:2') is None
        assert table.find('a') is not None


def test_seeds_of_other_hosts_do_not_become_members() -> None:
    """An update about a seed that its sender cannot name is ignored."""
    with open_gateway() as gateway:
        seed = replace(
            _create_update('10.0.0.9:2', MemberStatus.SUSPECT),
            peer_address='10.0.0.9:2',
        )
        gateway.membership.learn(seed)
        assert gateway.mesh.table.find('10.0.0.9:2') is None


def test_a_host_without_configuration_is_not_ready() -> None:
    """A host is ready only after its first configuration."""
    with open_gateway() as gateway:
        assert not gateway.is_ready()
        assert gateway.limits().idle_s > 0


class _ScriptedPlatform:
    """Answers writes with scripted outcomes and records the calls."""

    era = 0

    def __init__(self, *writes: Written | Conflict | Unreachable) -> None:
        self.calls: list[str] = []
        self._writes = list(writes)

    def write(self, kind: str, name: str, body: bytes, expected: Position):
        self.calls.append(f'write after {expected[1]}')
        return self._writes.pop(0)

    def list_objects(self, kind: str) -> Listing:
        self.calls.append('list')
        body = msgspec.json.encode(
            StoredMember(_create_update('a', MemberStatus(0)))
        )
        stored = StoredObject('a', 3, body)
        return Listing(9, (stored, StoredObject('own', 7, b'{}')))


def _publish(*writes: Written | Conflict | Unreachable) -> list[str]:
    platform = _ScriptedPlatform(*writes)
    with open_gateway(platform) as gateway:
        task = eventlet.spawn(gateway.membership.run_publishing)
        eventlet.sleep(3)
        task.kill()
        return platform.calls


def test_an_unreachable_platform_gets_one_call_per_try() -> None:
    """Nothing is read after a write that cannot have reached the platform."""
    refused = Unreachable(Cause.THROTTLED, '503')
    calls = _publish(refused, refused, Written(2))
    assert calls == ['write after 0', 'write after 0']


def test_the_object_of_an_earlier_start_is_replaced() -> None:
    """The stored version is looked up, then the object is overwritten."""
    calls = _publish(Conflict(7), Written(10))
    assert calls == ['write after 0', 'list', 'write after 7', 'list']
