"""Tests of the counts of usage, and of the time by which they are stamped."""

from __future__ import annotations

from egretdale.coordination.mesh import Mesh
from egretdale.coordination.true_time import TrueTime
from egretdale.coordination.usage import UsageCollector
from egretdale.state.members import MemberStatus, MemberTable
from egretdale.state.messages import Batch, MemberUpdate, UsageCount
from tests.forwarding import ManualClock
from tests.functions import create_loader
from tests.test_coordination.test_gateway import open_gateway

load_tests = create_loader(__name__)

_EPOCH_S = 1000.0


def _create(own: str) -> tuple[UsageCollector, ManualClock, list[str]]:
    """Create the collector of a host, and list who should hold the duties."""
    clock = ManualClock()
    table = MemberTable(own)
    for name in 'abc':
        table.apply(
            MemberUpdate(name, 1, 0, int(MemberStatus.ALIVE), '', name, name),
            clock(),
        )
    true_time = TrueTime(clock, lambda: _EPOCH_S + clock())
    collector = UsageCollector(
        Mesh(table, None, clock, 1e6), true_time, clock, 5
    )
    return collector, clock, table.rank_live('duties')


def test_the_time_is_that_of_most_hosts() -> None:
    """A clock that is off or steps changes nothing, also the own one."""
    clock = ManualClock()
    offs = {'own': 0}
    true_time = TrueTime(clock, lambda: _EPOCH_S + clock() + offs['own'])
    for sender, off in (('a', 0), ('b', 0), ('c', 3600)):
        told_ms = round((_EPOCH_S + clock() + off) * 1000)
        true_time.receive(Batch(sender, 1, clock_ms=told_ms))
    for off in (0, -50, 90):
        offs['own'] = off
        assert abs(true_time.read() - _EPOCH_S - clock()) < 0.01, off


def test_counts_are_totals_so_that_repeats_do_no_harm() -> None:
    """Late ones are dropped and counted."""
    ranked = _create('a')[2]
    collector, _, _ = _create(ranked[0])
    window = collector.find_window()
    collector.note_begin('x')
    collector.note_begin('')
    for count in (3, 5, 4, 5):
        usage = [UsageCount(window, 'x', count)]
        collector.receive(Batch(ranked[1], 1, usage=usage))
    collector.receive(Batch(ranked[1], 2, usage=[UsageCount(window, 'x', 2)]))
    assert collector.sum_window(window) == {'x': 8}
    collector.note_fixed(window)
    collector.receive(Batch(ranked[2], 1, usage=[UsageCount(window, 'x', 2)]))
    assert collector.late == 2


def test_counts_go_to_the_keepers_only_when_they_change() -> None:
    """All go again to a keeper that was not reached or has restarted."""
    ranked = _create('a')[2]
    collector, clock, _ = _create(ranked[2])

    def fill(host: str) -> list[UsageCount]:
        clock.now += 1
        batch = Batch(ranked[2], 1)
        collector.fill(host, batch)
        return batch.usage

    collector.note_begin('x')
    assert [len(fill(host)) for host in ranked] == [1, 1, 0]
    assert [len(fill(host)) for host in ranked] == [0, 0, 0]
    collector.note_failure(ranked[0])
    assert [len(fill(host)) for host in ranked] == [1, 0, 0]


def test_a_host_without_duties_sends_and_calls_nothing_more() -> None:
    """Neither its batches nor its tasks know of duties."""
    with open_gateway() as gateway:
        assert gateway.duties is None
        batch = gateway.mesh.create_batch('peer')
        assert not batch.usage
        assert not batch.loads
        assert not batch.clock_ms
