"""Tests of what hosts know of the demands of backend servers."""

from __future__ import annotations

from egretdale.coordination.backpressure import BackpressureTracker
from egretdale.errors import Invalid
from egretdale.state.backpressure import BackendStatement
from egretdale.state.instances import Instance
from tests.forwarding import ManualClock
from tests.functions import create_loader

load_tests = create_loader(__name__)

_SERVER = Instance('b0', 'claims', '10.0.0.1:80')
_RESTARTED = Instance('b0', 'claims', '10.0.0.1:80', born_ms=7)


def _note(
    tracker: BackpressureTracker, limit_per_s: float | Invalid | None
) -> None:
    tracker.note_statement(_SERVER, BackendStatement(limit_per_s), 'r1')


def test_the_latest_limit_is_in_force() -> None:
    """A limit changes with each response, and ends when none is stated."""
    clock = ManualClock()
    tracker = BackpressureTracker('own', clock)
    for limit_per_s in (None, 1.9, 4, None):
        clock.now += 1
        _note(tracker, limit_per_s)
        assert tracker.describe_limit(_SERVER) == limit_per_s
        assert tracker.table.count_limited() == (limit_per_s is not None)


def test_a_malformed_limit_changes_nothing() -> None:
    """The limit that was stated before stays in force."""
    clock = ManualClock()
    tracker = BackpressureTracker('own', clock)
    _note(tracker, 1.9)
    clock.now += 1
    _note(tracker, Invalid('Egret-Request-Limit', 'is not a decimal number'))
    assert tracker.describe_limit(_SERVER) == 1.9


def test_a_restarted_backend_server_has_no_limit() -> None:
    """A limit belongs to one incarnation."""
    tracker = BackpressureTracker('own', ManualClock())
    _note(tracker, 1.9)
    assert tracker.describe_limit(_RESTARTED) is None
