"""Tests of the instance table."""

from __future__ import annotations

from egretdale.state.instances import Instance, InstanceTable
from tests.forwarding import ManualClock
from tests.functions import create_loader

load_tests = create_loader(__name__)


def _create(name: str, **changes: object) -> Instance:
    return Instance(name, 'claims', '10.0.0.1:80', **changes)


def test_removed_entries_are_gone_at_once() -> None:
    """Without an outage, a missing entry is removed immediately."""
    table = InstanceTable(ManualClock(), 2)
    table.replace({'a': _create('a')}, after_outage=False)
    gone = table.replace({}, after_outage=False)
    assert [entry.name for entry in gone] == ['a']
    assert not table.list_ready('claims')


def test_entries_that_lapsed_in_an_outage_are_kept_for_a_while() -> None:
    """After an outage, a missing entry is kept until its grace period ends."""
    clock = ManualClock()
    table = InstanceTable(clock, 2)
    table.replace({'a': _create('a')}, after_outage=False)
    assert not table.replace({}, after_outage=True)
    assert len(table.list_ready('claims')) == 1
    clock.now += 1
    # Further changes of the list neither end nor extend the grace period.
    table.replace({'b': _create('b')}, after_outage=True)
    assert len(table.list_ready('claims')) == 2
    assert not table.expire()
    clock.now += 1.1
    assert [entry.name for entry in table.expire()] == ['a']
    assert len(table.list_ready('claims')) == 1


def test_a_lapsed_entry_that_returns_stays() -> None:
    """An entry that is listed again does not expire."""
    clock = ManualClock()
    table = InstanceTable(clock, 2)
    table.replace({'a': _create('a')}, after_outage=False)
    table.replace({}, after_outage=True)
    table.replace({'a': _create('a')}, after_outage=True)
    clock.now += 5
    assert not table.expire()
    assert len(table.list_ready('claims')) == 1


def test_a_restart_under_the_same_name_is_another_instance() -> None:
    """The previous incarnation is reported as gone."""
    table = InstanceTable(ManualClock(), 2)
    table.replace({'a': _create('a', born_ms=1)}, after_outage=False)
    gone = table.replace({'a': _create('a', born_ms=2)}, after_outage=False)
    assert [entry.born_ms for entry in gone] == [1]
    assert table.list_ready('claims')[0].born_ms == 2


def test_leaving_servers_take_no_new_work() -> None:
    """A leaving backend server is listed but not ready."""
    table = InstanceTable(ManualClock(), 2)
    table.replace({'a': _create('a', leaving=True)}, after_outage=False)
    assert not table.list_ready('claims')
    assert table.find('a') is not None


def test_late_news_of_leaving_servers_ends_their_use_sooner() -> None:
    """The list may have said so before the last answer was due."""
    for late_s, usable_s in ((0.1, 0.5), (1.0, 0.5), (1.3, 0.2), (1.7, 0)):
        clock = ManualClock()
        table = InstanceTable(clock, 2)
        ready = {'a': _create('a')}
        table.replace(ready, after_outage=False, changed_after=clock.now)
        leaving = {'a': _create('a', leaving=True)}
        changed_after = clock.now
        clock.now += late_s
        table.replace(leaving, after_outage=False, changed_after=changed_after)
        for waited_s in (0, 0.15, 0.45, 0.55):
            clock.now = changed_after + late_s + waited_s
            is_usable = bool(table.list_last_resorts('claims'))
            assert is_usable == (waited_s < usable_s), (late_s, waited_s)
