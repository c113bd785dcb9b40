"""Tests of groups of engines."""

from __future__ import annotations

from collections import Counter

from egretdale.state.groups import GroupMap
from egretdale.state.instances import Instance, InstanceTable
from tests.forwarding import ManualClock
from tests.functions import create_loader

load_tests = create_loader(__name__)

_KEYS = tuple(f'part-{index}' for index in range(4000))


def _list(count: int) -> dict[str, Instance]:
    return {
        f'e{index}': Instance(f'e{index}', 'claims', '')
        for index in range(count)
    }


def _create(count: int) -> tuple[GroupMap, InstanceTable]:
    table = InstanceTable(ManualClock(), 2)
    table.replace(_list(count), after_outage=False)
    return GroupMap(table), table


def test_few_engines_make_one_group() -> None:
    """A service below the split threshold has a single group."""
    groups, _ = _create(23)
    assert groups.rank('claims', 'any') == ('claims/1/0',)
    assert len(groups.list_engines('claims/1/0')) == 23


def test_many_engines_are_split_without_overlap() -> None:
    """Every engine is in exactly one group."""
    groups, _ = _create(60)
    keys = groups.rank('claims', 'any')
    assert len(keys) == 4
    names = [entry.name for key in keys for entry in groups.list_engines(key)]
    assert sorted(names) == sorted(_list(60))


def test_groups_get_requests_in_proportion_to_their_engines() -> None:
    """Groups with fewer engines are preferred for fewer keys."""
    groups, _ = _create(60)
    counts = Counter(groups.rank('claims', key)[0] for key in _KEYS)
    for key, requests in counts.items():
        expected = len(_KEYS) * len(groups.list_engines(key)) / 60
        assert 0.85 * expected < requests < 1.15 * expected


def test_a_lost_engine_moves_only_its_own_requests() -> None:
    """Other requests keep their group, and with it the cached prefixes."""
    groups, table = _create(60)
    before = {key: groups.rank('claims', key)[0] for key in _KEYS}
    left = _list(60)
    left.pop('e17')
    table.replace(left, after_outage=False)
    after = {key: groups.rank('claims', key)[0] for key in _KEYS}
    moved = sum(before[key] != after[key] for key in _KEYS)
    assert moved < len(_KEYS) / 60 * 1.5


def test_group_keys_are_valid_for_hosts_with_another_list() -> None:
    """A group key contains the number of groups that its sender assumes."""
    older, _ = _create(47)
    newer, _ = _create(60)
    key = older.rank('claims', 'any')[0]
    names = {entry.name for entry in older.list_engines(key)}
    assert names <= {entry.name for entry in newer.list_engines(key)}


def test_a_service_without_engines_has_no_group() -> None:
    """Without engines there is no allocator to ask."""
    groups, _ = _create(0)
    assert groups.rank('claims', 'any') == ()
