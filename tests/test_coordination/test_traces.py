"""Replay of recorded traces against their stated outcomes."""

from __future__ import annotations

from standins.replay import find_misses, replay
from standins.traces import load_trace
from tests.functions import create_loader

load_tests = create_loader(__name__)


def _assert_stated(name: str) -> None:
    trace = load_trace(name)
    misses = find_misses(trace, replay(trace, 'product'))
    assert not misses, misses


def test_two_faults_at_once() -> None:
    """An engine and the allocator fail together."""
    _assert_stated('two-faults')


def test_engine_slow() -> None:
    """An engine runs at a quarter of its speed."""
    _assert_stated('engine-slow')


def test_allocator_dies() -> None:
    """The allocator is killed in a burst."""
    _assert_stated('allocator-dies')


def test_replay_is_the_same_every_time() -> None:
    """Two replays of a trace give the same report."""
    trace = load_trace('mix-1')
    assert replay(trace, 'product') == replay(trace, 'product')
