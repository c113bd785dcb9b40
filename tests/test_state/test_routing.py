"""Tests of routing tables."""

from __future__ import annotations

from egretdale.state.routing import (
    RequestKind,
    WeightedService,
    choose_service,
)
from tests.forwarding import HOST_NAME, create_route, create_table
from tests.functions import create_loader

load_tests = create_loader(__name__)

_IDEMPOTENT = RequestKind.IDEMPOTENT


def test_the_longest_prefix_wins() -> None:
    """The longest matching prefix wins regardless of the order of routes."""
    long_route = create_route('/a/b/', _IDEMPOTENT)
    table = create_table(create_route('/a/', _IDEMPOTENT), long_route)
    assert table.find_route(HOST_NAME, '/a/b/c') is long_route
    assert table.find_route(HOST_NAME, '/a/x').path_prefix == '/a/'


def test_prefixes_end_at_slashes() -> None:
    """A prefix matches whole path segments only."""
    table = create_table(create_route('/a/', _IDEMPOTENT))
    assert table.find_route(HOST_NAME, '/ab/c') is None
    assert table.find_route(HOST_NAME, '/a') is None
    assert table.find_route(HOST_NAME, 'a/') is None
    assert table.find_route('other.example', '/a/b') is None


def test_host_names_ignore_case() -> None:
    """Host names are compared case-insensitively."""
    table = create_table(create_route('/a/', _IDEMPOTENT))
    assert table.find_route(HOST_NAME.upper(), '/a/') is not None


def test_services_get_their_weights() -> None:
    """Services are chosen in proportion to their weights, never at weight 0."""
    split = (
        WeightedService('none', 0),
        WeightedService('most', 9),
        WeightedService('rest', 1),
    )
    chosen = [choose_service(split, point / 100) for point in range(100)]
    assert chosen.count('most') == 90
    assert chosen.count('rest') == 10
    assert choose_service((WeightedService('none', 0),), 0.5) is None


def test_only_resumable_streams_may_run_twice() -> None:
    """A stream is repeatable if another server can continue it."""
    stream = RequestKind.STREAM
    assert not create_route('/a/', stream).is_repeatable()
    assert create_route('/a/', stream, resumable=True).is_repeatable()
    assert create_route('/a/', _IDEMPOTENT).is_repeatable()
    unsafe = RequestKind.NON_IDEMPOTENT
    assert not create_route('/a/', unsafe, resumable=True).is_repeatable()
