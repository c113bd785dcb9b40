"""Tests of leases and of orders to engines."""

from __future__ import annotations

import json
from dataclasses import asdict

import eventlet

from egretdale.coordination.leases import Lease
from egretdale.coordination.placement import PlacementManager
from egretdale.coordination.ports import EngineOrder
from standins.models.orders import OrderLog
from standins.virtual.platform import VirtualPlatform
from standins.virtual.world import World
from tests.fixtures import DOCUMENT_SOURCE, open_world
from tests.functions import create_loader

load_tests = create_loader(__name__)

_SOURCE = (
    DOCUMENT_SOURCE
    + """
ignores_fencing: [claims-1]
placement:
  - {model: writer, version: '7', engines: 2}
"""
)


class _Engines:
    """Engines that take orders; one of them does not check fencing tokens.

    :ivar books: orders by engine.
    """

    def __init__(self) -> None:
        self.books = {
            f'claims-{number}': OrderLog(checks_fencing=number != 1)
            for number in range(3)
        }

    def send_order(self, address: str, order: EngineOrder) -> bool:
        """Give an order to an engine."""
        return self.books[address].take(asdict(order))


def _create_lease(world: World, host: str) -> Lease:
    platform = VirtualPlatform(host, world.platform, world.faults)
    return Lease('p', host, platform, clock=world.clock, lifetime_s=10)


def _create_manager(
    world: World, host: str, engines: _Engines
) -> PlacementManager:
    node = world.nodes[host]
    return PlacementManager(
        'claims',
        _create_lease(world, host),
        node.replica,
        node.backends,
        engines,
        clock=world.clock,
        settling_s=20,
    )


def test_lease_has_one_holder() -> None:
    """A second process gets the lease only after it has expired."""
    with open_world() as world:
        first = _create_lease(world, 'host-0')
        second = _create_lease(world, 'host-1')
        assert first.renew()
        assert not second.renew()
        for _ in range(10):
            eventlet.sleep(3)
            assert first.renew()
            assert not second.renew()
        eventlet.sleep(11)
        assert not first.is_held()
        assert second.renew()
        assert second.fencing > first.fencing
        assert not first.renew()


def test_paused_holder_notices_that_it_lost_the_lease() -> None:
    """After a pause beyond the lifetime the holder may not act."""
    with open_world() as world:
        first = _create_lease(world, 'host-0')
        second = _create_lease(world, 'host-1')
        first.renew()
        second.renew()
        eventlet.sleep(11)
        assert second.renew()
        assert not first.is_held()
        assert not first.confirm()


def test_lost_reply_of_a_renewal_is_not_relied_upon() -> None:
    """A holder whose renewals get no reply stops acting in time."""
    with open_world() as world:
        lease = _create_lease(world, 'host-0')
        assert lease.renew()
        world.platform.lose_replies = True
        eventlet.sleep(6)
        assert not lease.renew()
        assert not lease.is_held()


def test_released_lease_is_free_at_once() -> None:
    """A released lease is taken without waiting for its expiry."""
    with open_world() as world:
        first = _create_lease(world, 'host-0')
        second = _create_lease(world, 'host-1')
        first.renew()
        first.release()
        assert second.renew()


def test_orders_reach_the_planned_engines_once() -> None:
    """Each planned engine gets the order exactly once."""
    with open_world() as world:
        world.store_document('claims', _SOURCE)
        eventlet.sleep(2)
        engines = _Engines()
        manager = _create_manager(world, 'host-0', engines)
        for _ in range(15):
            manager.step()
            eventlet.sleep(2)
        taken = [len(book.taken) for book in engines.books.values()]
        assert sorted(taken) == [0, 1, 1]


def test_old_holder_sends_nothing_after_its_pause() -> None:
    """A paused holder's orders reach no engine once another has the lease."""
    with open_world() as world:
        world.store_document('claims', _SOURCE)
        eventlet.sleep(2)
        engines = _Engines()
        old = _create_manager(world, 'host-0', engines)
        old.step()
        new = _create_manager(world, 'host-1', engines)
        new.step()
        # The old holder is paused here until its lease has expired.
        eventlet.sleep(11)
        new.step()
        changed = _SOURCE.replace("'7'", "'8'")
        world.store_document('claims', changed)
        eventlet.sleep(2)
        for _ in range(15):
            new.step()
            eventlet.sleep(2)
        orders = json.dumps([book.taken for book in engines.books.values()])
        old.step()
        after = json.dumps([book.taken for book in engines.books.values()])
        assert orders == after
        for book in engines.books.values():
            numbers = [order['fencing'] for order in book.taken]
            assert numbers == sorted(numbers)


def test_a_restored_platform_gives_a_lease_to_one_holder() -> None:
    """The lost lease stays with its holder, with a higher fencing token.

    The copy has no lease, a released one, or one of the holder before, which
    must expire as it may be new.
    """
    for writes in range(3):
        with open_world() as world:
            leases = [
                _create_lease(world, f'host-{number}') for number in range(3)
            ]
            first, second, other = leases
            if writes:
                assert other.renew()
                assert not second.renew()
            if writes == 1:
                other.release()
            saved = world.platform.store.copy()
            if writes == 2:
                assert not first.renew()
                eventlet.sleep(11)
            assert first.renew()
            assert not second.renew()
            assert not other.renew()
            token = first.fencing
            world.platform.store.restore(saved)
            for step in range(10):
                held = [lease for lease in reversed(leases) if lease.renew()]
                must_wait = writes == 2 and step < 4
                assert len(held) == int(not must_wait)
                assert not held or held[0].fencing > token
                assert writes == 2 or held == [first]
                eventlet.sleep(3)


def test_a_lease_is_not_held_after_a_restoration_until_it_is_written() -> None:
    """Another process may have taken it from the restored platform."""
    with open_world() as world:
        lease = _create_lease(world, 'host-0')
        world.platform.store.put('leases', 'other', '')
        saved = world.platform.store.copy()
        assert lease.renew()
        world.platform.store.restore(saved)
        assert not lease.confirm()
        assert not lease.is_held()
        assert lease.renew()
        assert lease.confirm()


def test_a_renewal_does_not_match_a_version_that_is_given_out_again() -> None:
    """Another process has taken the lease from the restored platform."""
    with open_world() as world:
        old = _create_lease(world, 'host-0')
        assert old.renew()
        old.release()
        saved = world.platform.store.copy()
        assert old.renew()
        eventlet.sleep(11)
        world.platform.store.restore(saved)
        new = _create_lease(world, 'host-1')
        assert new.renew()
        assert not old.renew()
        assert not old.is_held()
        eventlet.sleep(11)
        assert [new.renew(), old.renew()].count(True) == 1


def test_tokens_do_not_fall_when_the_platform_is_restored() -> None:
    """Engines refuse orders with lower tokens than before."""
    with open_world() as world:
        lease = _create_lease(world, 'host-0')
        saved = world.platform.store.copy()
        token = 0
        for _ in range(4):
            world.platform.store.put('leases', 'other', str(token))
            assert lease.renew()
            assert lease.fencing > token
            token = lease.fencing
            lease.release()
            world.platform.store.restore(saved)
            eventlet.sleep(11)
            lease.renew()
            lease.release()
            eventlet.sleep(11)
