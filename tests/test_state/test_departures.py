"""Tests of the table of backend servers that leave."""

from __future__ import annotations

from egretdale.state.departures import Departure, DepartureTable
from egretdale.state.instances import Instance, InstanceTable
from tests.forwarding import ManualClock
from tests.functions import create_loader

load_tests = create_loader(__name__)

_FIRST = ('a', 1)
_SECOND = ('a', 2)


def _create_entry(born_ms: int, **changes: object) -> Instance:
    return Instance('a', 'claims', '10.0.0.1:80', born_ms=born_ms, **changes)


def _create_departure(clock: ManualClock, use_s: float = 1) -> Departure:
    return Departure('claims', _FIRST, clock.now, clock.now + use_s)


def test_a_departure_holds_for_one_incarnation() -> None:
    """A later life is ready; a late report on the former changes nothing."""
    clock = ManualClock()
    table = InstanceTable(clock, 2)
    table.replace({'a': _create_entry(1)}, after_outage=False)
    assert table.note_leaving(_create_departure(clock))
    assert not table.list_ready('claims')
    table.replace({'a': _create_entry(2)}, after_outage=False)
    assert not table.note_leaving(_create_departure(clock))
    assert [entry.born_ms for entry in table.list_ready('claims')] == [2]


def test_a_departure_may_be_known_before_the_entry() -> None:
    """A peer has a newer list, or the list comes back after an outage."""
    clock = ManualClock()
    table = InstanceTable(clock, 2)
    table.note_leaving(_create_departure(clock))
    for _ in range(3):
        table.replace({'a': _create_entry(1)}, after_outage=True)
        assert not table.list_ready('claims')
        table.replace({}, after_outage=True)
        clock.now += 30


def test_a_leaving_server_is_a_last_resort_for_a_while() -> None:
    """The list ends that time sooner, as it says so late."""
    clock = ManualClock()
    table = InstanceTable(clock, 2)
    table.replace({'a': _create_entry(1)}, after_outage=False)
    table.note_leaving(_create_departure(clock, use_s=1.5))
    assert len(table.list_last_resorts('claims')) == 1
    leaving = _create_entry(1, leaving=True)
    table.replace({'a': leaving}, after_outage=False)
    clock.now += 0.4
    assert len(table.list_last_resorts('claims')) == 1
    clock.now += 0.2
    assert not table.list_last_resorts('claims')
    # A list that is read again does not prolong it.
    table.replace({'a': leaving}, after_outage=False)
    assert not table.list_last_resorts('claims')
    assert table.count_leaving() == 1


def test_a_response_of_a_life_that_was_not_listed_yet_counts_for_it() -> None:
    """The list was old when the server said that it leaves."""
    for stated_ms, is_leaving in ((4999, False), (5000, True), (0, False)):
        clock = ManualClock()
        table = InstanceTable(clock, 2)
        table.replace({'a': _create_entry(1)}, after_outage=False)
        table.note_leaving(
            Departure('claims', _FIRST, clock.now, clock.now, stated_ms)
        )
        restarted = {'a': _create_entry(5000)}
        table.replace(restarted, after_outage=False)
        assert bool(table.list_leaving('claims')) is is_leaving, stated_ms
        # Clocks may differ, so it is not held for long without a response.
        clock.now += 31
        table.expire()
        assert not table.list_leaving('claims')
        table.replace(restarted, after_outage=False)
        assert not table.list_leaving('claims')


def test_an_assumed_departure_that_a_response_confirms_stays() -> None:
    """It does not end with the assumption."""
    clock = ManualClock()
    table = DepartureTable(clock)
    table.add(Departure('claims', _FIRST, 100, 100, expires_at=130))
    table.add(Departure('claims', _FIRST, 101, 101, 101000))
    clock.now += 60
    assert not table.expire()
    assert table.find(_FIRST) is not None


def test_departures_are_forgotten_long_after_the_entry() -> None:
    """Those of listed backend servers are kept."""
    clock = ManualClock()
    table = DepartureTable(clock)
    for incarnation in (_FIRST, _SECOND):
        table.add(Departure('claims', incarnation, clock.now, clock.now))
    for _ in range(20):
        clock.now += 60
        table.refresh({_FIRST})
    assert table.find(_FIRST) is not None
    assert table.find(_SECOND) is None


def test_departures_take_a_bounded_amount_of_memory() -> None:
    """The oldest are dropped first."""
    clock = ManualClock()
    table = DepartureTable(clock)
    for number in range(20000):
        table.add(Departure('claims', ('a', number), clock.now, clock.now))
    assert table.find(('a', 0)) is None
    assert table.find(('a', 19999)) is not None
