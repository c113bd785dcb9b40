"""Tests of the pace of requests to limited backend servers."""

from __future__ import annotations

import math

from egretdale.state.backpressure import BackpressureTable, RequestLimit
from egretdale.state.instances import Instance
from egretdale.state.members import MemberTable
from egretdale.state.messages import MemberUpdate
from egretdale.state.request_gates import (
    FallbackRate,
    RequestGates,
    choose_whole_rate,
)
from tests.forwarding import ManualClock
from tests.functions import create_loader

load_tests = create_loader(__name__)

_SERVER = Instance('b0', 'claims', '10.0.0.1:80')


def _state(
    table: BackpressureTable, limit_per_s: float | None, clock: ManualClock
) -> None:
    clock.now += 0.001
    limit = RequestLimit(limit_per_s, clock.now, 'own')
    table.note_limit(_SERVER.incarnation, limit)


def _count_sent(gates: RequestGates, clock: ManualClock, for_s: float) -> int:
    sent = 0
    for _ in range(round(for_s * 100)):
        clock.now += 0.01
        if not gates.measure_wait(_SERVER):
            gates.take(_SERVER)
            sent += 1
    return sent


def test_requests_are_paced_from_the_first_statement() -> None:
    """Nothing is saved up from the time before the limit."""
    clock = ManualClock()
    table = BackpressureTable()
    gates = RequestGates(table, clock, choose_whole_rate)
    assert not gates.measure_wait(_SERVER)
    assert math.isinf(gates.find_rate(_SERVER))
    clock.now += 100
    _state(table, 2, clock)
    assert gates.is_limited(_SERVER)
    assert 7 <= _count_sent(gates, clock, 4) <= 8
    _state(table, 10, clock)
    faster = _count_sent(gates, clock, 4)
    assert 38 <= faster <= 41, faster
    _state(table, None, clock)
    assert not gates.measure_wait(_SERVER)


def test_little_is_saved_up() -> None:
    """After a pause at most the requests of half a second are sent at once."""
    clock = ManualClock()
    table = BackpressureTable()
    gates = RequestGates(table, clock, choose_whole_rate)
    _state(table, 10, clock)
    gates.measure_wait(_SERVER)
    clock.now += 60
    assert _count_sent(gates, clock, 0.1) <= 6


def test_a_quarter_of_a_limit_is_left_to_hosts_alone() -> None:
    """It does not grow with the number of hosts; few of them have a part."""
    for count in (1, 6, 195):
        names = [f'h{number}' for number in range(count)]
        rates = []
        for own in names:
            members = MemberTable(own)
            for name in names:
                members.apply(MemberUpdate(name, 1, 0, 0, 'dc', name, name), 0)
            rates.append(FallbackRate(members)('b0', 8))
        assert sum(rates) <= 2.01, (count, sum(rates))
        assert sum(rate > 0 for rate in rates) <= 3
        assert max(rates) > 0
