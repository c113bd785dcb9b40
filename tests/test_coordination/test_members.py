"""Tests of membership and of the directory of backend servers."""

from __future__ import annotations

import eventlet

from egretdale.state.members import MemberStatus, MemberTable
from egretdale.state.messages import MemberUpdate
from standins.virtual.world import World
from tests.fixtures import create_model_request, open_world
from tests.functions import create_loader

load_tests = create_loader(__name__)


def _read_status(world: World, host: str, about: str) -> str:
    member = world.nodes[host].table.find(about)
    return member.status.name if member else 'UNKNOWN'


def test_newer_incarnations_win() -> None:
    """An update with an older incarnation or counter is ignored."""
    table = MemberTable('own')
    newest = MemberUpdate('a', 5, 2, 0, 'dc', 'x', 'y')
    assert table.apply(newest, 0)
    assert not table.apply(MemberUpdate('a', 4, 9, 4, 'dc', 'x', 'y'), 1)
    assert not table.apply(MemberUpdate('a', 5, 1, 4, 'dc', 'x', 'y'), 1)
    assert table.apply(MemberUpdate('a', 5, 2, 2, 'dc', 'x', 'y'), 1)
    assert table.find('a').status == MemberStatus.SUSPECT


def test_killed_host_is_gone_within_seconds() -> None:
    """Every other host marks a killed host as gone within 3 s."""
    with open_world() as world:
        world.kill_host('host-1')
        eventlet.sleep(3)
        for host in ('host-0', 'host-2'):
            assert _read_status(world, host, 'host-1') == 'GONE'


def test_partition_between_two_hosts_is_refuted() -> None:
    """Two hosts that cannot reach each other stay members."""
    with open_world() as world:
        world.faults.cut.add(frozenset(('host-0', 'host-1')))
        eventlet.sleep(20)
        alive = {'ALIVE', 'SUSPECT'}
        assert _read_status(world, 'host-2', 'host-0') in alive
        assert _read_status(world, 'host-2', 'host-1') in alive


def test_replaced_host_joins_as_a_new_incarnation() -> None:
    """A host that was replaced serves again as a newer incarnation."""
    with open_world() as world:
        before = world.nodes['host-1'].membership.own.incarnation
        world.kill_host('host-1')
        eventlet.sleep(1)
        world.start_host('host-1')
        eventlet.sleep(4)
        assert world.count_serving() == 3
        after = world.nodes['host-0'].table.find('host-1').update.incarnation
        assert after > before


def test_leaving_host_is_not_offered() -> None:
    """A leaving host is not among the hosts that callers are sent to."""
    with open_world() as world:
        world.nodes['host-1'].membership.leave()
        eventlet.sleep(0.5)
        for name in ('host-0', 'host-2'):
            serving = world.nodes[name].table.list_serving()
            hosts = {member.update.host for member in serving}
            assert hosts == {'host-0', 'host-2'}


def test_planned_stop_cuts_off_no_streams() -> None:
    """Long streams are completed during a graceful shutdown of their host."""
    with open_world() as world:
        threads = [
            eventlet.spawn(
                world.send,
                create_model_request(f's-{number}', 'summary', output=600),
                'host-1',
            )
            for number in range(4)
        ]
        eventlet.sleep(1)
        assert world.stop_host('host-1') == 0
        for thread in threads:
            ended = thread.wait()
            assert ended.is_whole()
            assert ended.events == 601


def test_leaving_backend_gets_no_new_work() -> None:
    """A backend server listed as leaving gets no requests after 3 s."""
    with open_world() as world:
        world.list_backend('claims-0', state='leaving')
        eventlet.sleep(3)
        before = sum(world.backends['claims-0'].runs.values())
        for number in range(12):
            world.send(create_model_request(f'd-{number}'))
        assert sum(world.backends['claims-0'].runs.values()) == before


def test_leaving_is_final_for_an_incarnation() -> None:
    """A backend server that left is only used again as a new incarnation."""
    with open_world() as world:
        world.list_backend('claims-0', state='leaving')
        eventlet.sleep(1)
        world.list_backend('claims-0', state='live')
        eventlet.sleep(3)
        for node in world.nodes.values():
            assert node.backends.find('claims-0').leaving
        world.list_backend('claims-0', state='live', incarnation=2)
        eventlet.sleep(3)
        for node in world.nodes.values():
            assert not node.backends.find('claims-0').leaving


def test_leaving_is_announced_to_hosts_with_a_stale_list() -> None:
    """A host with a stale list learns of a leaving server from peers."""
    with open_world() as world:
        world.platform.silent.update(('host-1', 'host-2'))
        eventlet.sleep(1)
        world.list_backend('claims-0', state='leaving')
        eventlet.sleep(3)
        for node in world.nodes.values():
            assert node.backends.find('claims-0').leaving


def test_a_restored_list_of_servers_is_followed() -> None:
    """Its version is lower than that of the list before."""
    with open_world() as world:
        saved = world.platform.store.copy()
        for _ in range(5):
            world.list_backend('claims-0', incarnation=1)
        eventlet.sleep(2)
        world.platform.store.restore(saved)
        eventlet.sleep(1)
        world.list_backend('claims-0', state='leaving')
        eventlet.sleep(2)
        for node in world.nodes.values():
            assert node.backends.find('claims-0').leaving
