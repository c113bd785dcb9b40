"""Tests of allocation across hosts when hosts or network paths fail."""

from __future__ import annotations

from typing import ClassVar

import eventlet

from egretdale.coordination.allocation import GroupAllocator
from egretdale.util.clocks import read_hub_clock
from standins.virtual.world import World
from tests.fixtures import create_model_request, open_world
from tests.functions import create_loader

load_tests = create_loader(__name__)

_GROUP = 'claims/0'


def _start_requests(
    world: World, count: int, prefix: str = 'a'
) -> eventlet.GreenPool:
    pool = eventlet.GreenPool(count)
    for number in range(count):
        pool.spawn_n(world.send, create_model_request(f'{prefix}-{number}'))
        eventlet.sleep(0.05)
    return pool


def _assert_all_complete(world: World) -> None:
    for ending in world.endings:
        assert ending.is_whole(), ending
        assert ending.events == ending.demand.work.output + 1, ending


def test_killed_allocator_is_replaced() -> None:
    """Another host becomes the allocator within 2 s; no request fails."""
    with open_world() as world:
        pool = _start_requests(world, 20)
        victim = world.find_allocator(_GROUP)
        world.kill_host(victim or '')
        pool.spawn_n(world.send, create_model_request('after'))
        eventlet.sleep(2)
        assert world.find_allocator(_GROUP) not in {None, victim}
        pool.waitall()
        assert len(world.endings) == 21
        _assert_all_complete(world)


def test_paused_allocator_is_replaced_and_rejoins() -> None:
    """Another host replaces a paused allocator, which rejoins on resuming."""
    with open_world() as world:
        pool = _start_requests(world, 10)
        victim = world.find_allocator(_GROUP) or ''
        world.pause_host(victim)
        others = [name for name in world.list_alive() if name != victim]
        for number in range(20):
            demand = create_model_request(f'b-{number}')
            pool.spawn_n(world.send, demand, others[number % 2])
            eventlet.sleep(0.2)
        world.resume_host(victim)
        eventlet.sleep(5)
        assert world.count_serving() == 3
        pool.waitall()
        served = [ending for ending in world.endings if ending.host != victim]
        assert len(served) >= 20
        for ending in served:
            assert ending.is_whole(), ending


def test_partitioned_host_serves_from_its_own_share() -> None:
    """A host that reaches no other host still serves some requests."""
    with open_world() as world:
        pool = _start_requests(world, 5)
        allocator = world.find_allocator(_GROUP) or ''
        victim = next(name for name in world.list_alive() if name != allocator)
        for name in world.list_alive():
            if name != victim:
                world.faults.cut.add(frozenset((victim, name)))
        eventlet.sleep(1)
        ending = world.send(create_model_request('cut'), victim)
        assert ending.is_whole(), ending
        pool.waitall()
        world.faults.cut.clear()
        eventlet.sleep(8)
        assert world.count_serving() == 3


def test_host_without_platform_and_peers_refuses_requests() -> None:
    """The refusal says that the host is isolated and that nothing ran."""
    with open_world() as world:
        victim = 'host-0'
        for name in world.list_alive():
            world.faults.cut.add(frozenset((victim, name)))
        world.platform.cut.add(victim)
        eventlet.sleep(10)
        ending = world.send(create_model_request('isolated'), victim)
        assert not ending.is_whole()
        assert ending.outcome.reason == 'host-isolated'
        assert ending.outcome.ran == 'no'
        assert ending.outcome.retry_after_s


def test_platform_outage_does_not_affect_requests() -> None:
    """All hosts keep serving during a long outage of the platform."""
    with open_world() as world:
        world.platform.down = True
        eventlet.sleep(120)
        pool = _start_requests(world, 20)
        pool.waitall()
        assert len(world.endings) == 20
        _assert_all_complete(world)


def test_no_slot_is_held_after_requests_and_faults() -> None:
    """Once all requests have ended, no allocator counts a slot as held."""
    with open_world() as world:
        pool = _start_requests(world, 30)
        world.kill_host('host-1')
        pool.waitall()
        world.start_host('host-1')
        eventlet.sleep(5)
        _start_requests(world, 10, 'c').waitall()
        eventlet.sleep(3)
        for name in world.list_alive():
            for allocator in world.nodes[name].allocators.list_allocators():
                assert not allocator.pool.held, name


class _RecordingAllocator(GroupAllocator):
    """Records the order in which slots are granted and requests expire."""

    __slots__ = ()

    calls: ClassVar[list[tuple[str, float]]] = []

    def dispatch(self) -> None:
        """Record the call and grant slots."""
        self.calls.append(('dispatch', read_hub_clock()))
        super().dispatch()

    def expire(self) -> None:
        """Record the call and expire requests."""
        self.calls.append(('expire', read_hub_clock()))
        super().expire()


def test_free_slots_are_granted_before_requests_expire() -> None:
    """Each tick grants free slots first, then expires requests.

    Otherwise a request whose patience ends in a tick would be refused although
    a slot for it has just become free.
    """
    _RecordingAllocator.calls.clear()
    with open_world() as world:
        for node in world.nodes.values():
            node.allocators.allocator_class = _RecordingAllocator
        world.send(create_model_request('after'))
        eventlet.sleep(3)
    calls = _RecordingAllocator.calls
    expired = [
        index for index, (name, _) in enumerate(calls) if name == 'expire'
    ]
    assert expired
    for index in expired[-10:]:
        assert calls[index - 1] == ('dispatch', calls[index][1])
