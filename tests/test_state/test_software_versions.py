"""Tests of the software versions that served recently."""

from __future__ import annotations

from egretdale.state.software_versions import VersionHistory
from egretdale.state.stream_origins import (
    ORIGIN_RETENTION_S,
    Origin,
    OriginTable,
)
from tests.forwarding import ManualClock
from tests.functions import create_loader

load_tests = create_loader(__name__)


def test_versions_that_left_count_while_their_streams_may_run() -> None:
    """Each service has versions of its own."""
    clock = ManualClock()
    history = VersionHistory(clock)
    assert not history.is_complete()
    history.update([('a', 'v1'), ('a', 'v2'), ('b', 'v1')])
    assert history.find_only('a') == ''
    assert history.find_only('b') == 'v1'
    history.update([('a', 'v2'), ('b', 'v1')])
    clock.now += ORIGIN_RETENTION_S - 1
    assert history.list_recent('a') == {'v1', 'v2'}
    clock.now += 2
    assert history.find_only('a') == 'v2'
    assert history.is_complete()
    assert history.find_only('unknown') == ''


def test_origins_are_kept_while_streams_may_be_resumed() -> None:
    """The one that is recorded last is listed last."""
    clock = ManualClock()
    table = OriginTable(clock)
    table.note('r1', Origin('a', 'v1'))
    clock.now += ORIGIN_RETENTION_S / 2
    table.note('r2', Origin('b', 'v1'))
    table.note('r1', Origin('a', 'v2'))
    assert table.find('r1') == Origin('a', 'v2')
    listed = [(name, record.origin) for name, record in table.list_records()]
    assert listed == [('r2', Origin('b', 'v1')), ('r1', Origin('a', 'v2'))]
    assert sorted(table.list_services()) == ['a', 'b']
    clock.now += ORIGIN_RETENTION_S + 1
    assert table.list_records() == []
    assert table.list_services() == []
