"""Tests of the history of removed backend servers."""

from __future__ import annotations

from egretdale.state.instances import Instance
from egretdale.state.removals import RemovalHistory
from tests.forwarding import ManualClock
from tests.functions import create_loader

load_tests = create_loader(__name__)

_HOLD_S = 10


def _create(born_ms: int) -> Instance:
    return Instance('a', 'claims', '10.0.0.1:80', born_ms=born_ms)


def test_only_entries_of_the_copy_are_outdated() -> None:
    """Those of later lives, or written later, count again."""
    for born_ms, version, is_outdated in (
        (5, 80, True),
        (4, 90, True),
        (5, 91, False),
        (6, 80, False),
    ):
        history = RemovalHistory(ManualClock())
        history.note_removed(_create(5), 1)
        history.note_restoration([], 1, 90)
        entry = _create(born_ms)
        assert history.is_outdated(entry, 2, version) == is_outdated, born_ms


def test_a_server_that_registers_again_is_not_outdated_later() -> None:
    """It had come back before the platform was restored."""
    history = RemovalHistory(ManualClock())
    history.note_removed(_create(5), 1)
    assert not history.is_outdated(_create(5), 1, 70)
    history.note_restoration([_create(5)], 1, 90)
    assert not history.is_outdated(_create(5), 2, 70)
    assert history.is_outdated(_create(4), 2, 60)


def test_outdated_entries_are_held_back_for_a_time() -> None:
    """The end of that time is told once."""
    clock = ManualClock()
    history = RemovalHistory(clock)
    assert not history.end_hold()
    history.note_removed(_create(5), 1)
    history.note_restoration([], 1, 90)
    assert not history.end_hold()
    clock.now += _HOLD_S
    assert history.end_hold()
    assert not history.end_hold()
    assert not history.is_outdated(_create(5), 2, 80)
