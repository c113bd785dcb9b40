"""Tests of the loads and the reachability of backend servers."""

from __future__ import annotations

from egretdale.state.links import BackendLinks
from egretdale.state.loads import LoadTable
from tests.forwarding import ManualClock
from tests.functions import create_loader

load_tests = create_loader(__name__)

_SERVER = ('b0', 0)


def test_one_request_finds_out_whether_a_server_is_back() -> None:
    """After a suspension the others wait for its outcome."""
    clock = ManualClock()
    loads = LoadTable(clock)
    loads.suspend(_SERVER)
    assert loads.is_suspended(_SERVER)
    clock.now += 1
    assert not loads.is_suspended(_SERVER)
    loads.begin(_SERVER, 0)
    assert loads.is_suspended(_SERVER)
    loads.note_heard(_SERVER)
    assert not loads.is_suspended(_SERVER)


def test_suspensions_grow_until_a_server_is_heard_from() -> None:
    """They double up to three seconds."""
    clock = ManualClock()
    loads = LoadTable(clock)
    for suspended_s in (0.3, 0.6, 1.2, 2.4, 3, 3):
        loads.suspend(_SERVER)
        assert abs(loads.find(_SERVER).suspension_s - suspended_s) < 0.001
        clock.now += suspended_s + 0.1
    loads.note_heard(_SERVER)
    loads.suspend(_SERVER)
    assert loads.find(_SERVER).suspension_s < 0.31


def test_a_server_is_silent_only_while_it_has_requests() -> None:
    """Bytes of any of its responses count."""
    clock = ManualClock()
    loads = LoadTable(clock)
    assert not loads.is_silent(_SERVER, clock.now)
    loads.begin(_SERVER, 0)
    clock.now += 1
    assert loads.is_silent(_SERVER, clock.now - 0.7)
    loads.note_heard(_SERVER)
    assert not loads.is_silent(_SERVER, clock.now - 0.7)
    clock.now += 1
    loads.end(_SERVER)
    assert not loads.is_silent(_SERVER, clock.now - 0.7)
    clock.now += 60
    loads.begin(_SERVER, 0)
    assert not loads.is_silent(_SERVER, clock.now - 0.7)


def test_a_host_is_cut_off_if_several_servers_refuse_connections() -> None:
    """One that answers is enough to be in reach, and one failure too few."""
    clock = ManualClock()
    links = BackendLinks(clock)
    for number in range(3):
        assert not links.is_cut_off(8)
        for _ in range(2):
            links.note_failure((f'b{number}', 0), clock.now, is_hanging=False)
    assert links.is_cut_off(8)
    links.note_heard()
    assert not links.is_cut_off(8)


def test_a_host_is_cut_off_if_several_connections_hang_for_long() -> None:
    """Sound servers may stand still for a second or so."""
    clock = ManualClock()
    links = BackendLinks(clock)
    for number in range(3):
        began_at = clock.now
        clock.now += 0.5
        links.note_failure((f'b{number}', 0), began_at, is_hanging=True)
        assert not links.is_cut_off(8)
    clock.now += 0.3
    assert links.is_cut_off(8)
    links.note_heard()
    assert not links.is_cut_off(8)


def test_a_standstill_begins_after_the_last_byte() -> None:
    """A connection may have begun to hang before."""
    clock = ManualClock()
    links = BackendLinks(clock)
    loads = LoadTable(clock)
    began_at = clock.now
    clock.now += 0.4
    links.note_heard()
    loads.note_heard(_SERVER)
    links.note_failure(_SERVER, began_at, is_hanging=True)
    loads.note_hanging(_SERVER, began_at)
    clock.now += 1.6
    assert not links.is_cut_off(1)
    assert loads.may_stand_still(_SERVER)
    clock.now += 0.2
    assert links.is_cut_off(1)
    assert not loads.may_stand_still(_SERVER)


def test_a_server_that_stands_still_again_is_given_time_again() -> None:
    """Nothing need have been heard from it in between."""
    clock = ManualClock()
    loads = LoadTable(clock)
    assert not loads.may_stand_still(_SERVER)
    for _ in range(2):
        for _ in range(3):
            loads.note_hanging(_SERVER, clock.now - 0.5)
            assert loads.may_stand_still(_SERVER)
            clock.now += 0.5
        assert not loads.may_stand_still(_SERVER)
        clock.now += 10


def test_a_host_before_few_servers_can_be_cut_off() -> None:
    """All of them have to be out of reach."""
    clock = ManualClock()
    links = BackendLinks(clock)
    assert not links.is_cut_off(0)
    links.note_failure(('b0', 0), clock.now, is_hanging=False)
    assert links.is_cut_off(1)
    assert not links.is_cut_off(2)
    links.note_failure(('b1', 0), clock.now, is_hanging=False)
    assert links.is_cut_off(2)
    links.forget(('b1', 0))
    assert not links.is_cut_off(2)
