"""Tests of streams that are resumed at a host that is out of step."""

from __future__ import annotations

from itertools import product

import eventlet

from egretdale.state.messages import Batch
from tests.functions import create_loader
from tests.out_of_step import Fault, Fleet, open_fleet

load_tests = create_loader(__name__)

_SIZES = (3, 6, 81, 195)
#: Seconds for which a host is out of step, by the number of hosts.
_DURATIONS_S = {
    3: (0.6, 1.5, 2.6, 6),
    6: (1.5, 2.6),
    81: (0.6, 2.6),
    195: (0.6,),
}
#: Seconds before its end at which another version joins.
_JOINED_S = 0.5
#: Seconds from then on until streams begin at that version.
_BEGIN_S = 0.3
#: Seconds after the end at which streams are resumed.
_RESUMED_S = (0, 0.02, 0.2, 1)
_STREAMS = tuple(f's{number}' for number in range(4))


def _choose_hosts(fleet: Fleet) -> tuple[str, str]:
    """Choose a host that begins streams and one that is out of step."""
    return fleet.names[0], fleet.names[-1]


def _begin(fleet: Fleet, name: str) -> None:
    for stream in _STREAMS:
        fleet.hosts[name].begin(stream, 'v2')


def _resume(fleet: Fleet, name: str) -> set[str]:
    threads = [
        eventlet.spawn(fleet.hosts[name].resume, stream) for stream in _STREAMS
    ]
    return {thread.wait() for thread in threads}


def _play(
    fleet: Fleet, fault: Fault, duration_s: float, *, is_lost: bool
) -> set[str]:
    """Resume streams of a new version at a host that may not know it.

    :return: versions at which they would go on, empty for refusals.
    """
    first, behind = _choose_hosts(fleet)
    fleet.begin_fault(behind, fault)
    eventlet.sleep(duration_s - _JOINED_S)
    fleet.list_engine('v2')
    eventlet.sleep(_BEGIN_S)
    _begin(fleet, first)
    if is_lost:
        fleet.lose_host(first)
    eventlet.sleep(_JOINED_S - _BEGIN_S)
    resumed = set()
    if fault is not Fault.FROZEN:
        resumed |= _resume(fleet, behind)
    fleet.end_fault(behind)
    for pause_s in _RESUMED_S:
        eventlet.sleep(pause_s)
        resumed |= _resume(fleet, behind)
    return resumed


def test_streams_are_not_joined_at_a_host_that_is_out_of_step() -> None:
    """It has not seen the version that began them."""
    cases = product(_SIZES, Fault, (False, True))
    joined = [
        (size, fault, duration_s, is_lost)
        for size, fault, is_lost in cases
        for duration_s in _DURATIONS_S[size]
        if 'v1' in _play_alone(size, fault, duration_s, is_lost=is_lost)
    ]
    assert not joined, joined


def _play_alone(
    size: int, fault: Fault, duration_s: float, *, is_lost: bool
) -> set[str]:
    with open_fleet(size, 'v1') as fleet:
        return _play(fleet, fault, duration_s, is_lost=is_lost)


def test_a_version_that_served_unseen_is_not_forgotten() -> None:
    """It joined and left while the host was out of step."""
    faults = (Fault.NO_STORE, Fault.ISOLATED, Fault.FROZEN)
    for size, fault in product((3, 81), faults):
        with open_fleet(size, 'v1') as fleet:
            first, behind = _choose_hosts(fleet)
            fleet.begin_fault(behind, fault)
            eventlet.sleep(2)
            fleet.list_engine('v2')
            eventlet.sleep(_BEGIN_S)
            _begin(fleet, first)
            eventlet.sleep(5)
            fleet.remove_engine('v2')
            fleet.lose_host(first)
            eventlet.sleep(3)
            fleet.end_fault(behind)
            eventlet.sleep(1)
            assert 'v1' not in _resume(fleet, behind), (size, fault)


def _fetch_copy(fleet: Fleet, name: str, peer: str) -> None:
    """Let a host without the store hear of a peer's list."""
    batch = Batch(peer, 1)
    fleet.hosts[peer].follower.fill(name, batch)
    fleet.hosts[name].follower.receive(batch)
    eventlet.sleep(0.1)


def test_a_copy_of_the_list_does_not_hide_that_a_version_served_unseen() -> (
    None
):
    """The copy is as new as the list that the store has in the end."""
    for size in (3, 81):
        with open_fleet(size, 'v1') as fleet:
            first, behind = _choose_hosts(fleet)
            fleet.begin_fault(behind, Fault.ISOLATED)
            eventlet.sleep(2)
            fleet.list_engine('v2')
            eventlet.sleep(_BEGIN_S)
            _begin(fleet, first)
            eventlet.sleep(5)
            fleet.remove_engine('v2')
            fleet.lose_host(first)
            eventlet.sleep(3)
            fleet.faults.cut.clear()
            _fetch_copy(fleet, behind, fleet.names[1])
            fleet.end_fault(behind)
            eventlet.sleep(2)
            assert 'v1' not in _resume(fleet, behind), size


def test_streams_are_not_joined_when_several_hosts_are_out_of_step() -> None:
    """They ask each other, and none of them has seen the version."""
    for size in _SIZES:
        for duration_s in _DURATIONS_S[size]:
            with open_fleet(size, 'v1') as fleet:
                first, *others = fleet.names
                for name in others:
                    fleet.begin_fault(name, Fault.NO_STORE)
                    fleet.faults.cut.add(frozenset((first, name)))
                fleet.lose_host(first)
                eventlet.sleep(duration_s - _JOINED_S)
                fleet.list_engine('v2')
                eventlet.sleep(_JOINED_S)
                resumed = set()
                for name in others[-3:]:
                    resumed |= _resume(fleet, name)
                assert resumed == {''}, (size, duration_s)


def test_streams_go_on_at_a_host_that_is_cut_off_from_the_others() -> None:
    """Its own list and the record in the store show one version."""
    for size, is_new in product(_SIZES, (False, True)):
        with open_fleet(size, 'v1') as fleet:
            behind = fleet.names[-1]
            if is_new:
                fleet.hosts[behind].stop()
                fleet.start_host(behind)
            fleet.begin_fault(behind, Fault.NO_PEERS)
            eventlet.sleep(4)
            assert _resume(fleet, behind) == {'v1'}, (size, is_new)


def test_streams_go_on_while_the_store_is_away() -> None:
    """All hosts are in reach of each other and know one version."""
    for size in _SIZES:
        for away_s in (1, 10):
            with open_fleet(size, 'v1') as fleet:
                fleet.state.down = True
                eventlet.sleep(away_s)
                resumed = _resume(fleet, fleet.names[-1])
                assert resumed == {'v1'}, (size, away_s)


def test_a_burst_of_resumed_streams_reads_the_store_a_few_times() -> None:
    """Streams that are resumed at the same time share a read."""
    with open_fleet(3, 'v1') as fleet:
        host = fleet.hosts['h2']
        before = host.platform.confirmations
        threads = []
        for number in range(100):
            threads.append(eventlet.spawn(host.resume, f'n{number}'))
            eventlet.sleep(0.01)
        assert {thread.wait() for thread in threads} == {'v1'}
        assert host.platform.confirmations - before <= 7
