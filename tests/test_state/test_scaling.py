"""Tests of how many engines are ordered, and of what callers get."""

from __future__ import annotations

import math
from dataclasses import replace

from egretdale.state.routing import EngineBounds
from tests.engine_fleet import CENTRES, SCALING, EngineFleet
from tests.functions import create_loader

load_tests = create_loader(__name__)

_LOAD = 8.0


def _steady(_: float) -> float:
    return _LOAD


def _daily(at: float) -> float:
    return _LOAD + 4 * math.sin(at / 600 * math.tau)


def _bursts(at: float) -> float:
    swing = _LOAD * (1 + 0.27 * math.sin(at / 11 * math.tau))
    factors = (2.3, 2.8)
    is_burst = 20 <= at % 60 < 26
    return swing * factors[int(at / 60) % 2] if is_burst else swing


def _play(load, until, **options):
    fleet = EngineFleet(**options)
    fleet.play(load, until)
    return fleet


def _compare(load, until):
    kept = EngineFleet()
    kept.play(load, until, scales=False)
    share = EngineFleet()
    share.play_share(load, until)
    return _play(load, until), kept, share


def test_a_day_costs_half_and_serves_all():
    scaled, kept, _ = _compare(_daily, 1200)
    assert scaled.share >= kept.share - 0.005
    assert scaled.cost < kept.cost * 0.55


def test_bursts_are_served_where_a_fixed_share_fails():
    scaled, kept, share = _compare(_bursts, 600)
    assert scaled.share >= kept.share - 0.01
    assert scaled.share > share.share + 0.2
    assert scaled.cost < kept.cost * 0.8


def test_orders_are_few():
    fleet = _play(_steady, 1200)
    late = [order for order in fleet.calls if order.reason == 'restated']
    assert not late
    assert len(fleet.calls) < 200


def test_engines_are_kept_until_the_demand_is_known():
    assert not _play(lambda _: 0, 60).calls
    assert not _play(_steady, 25).calls


def test_a_lost_data_centre_leaves_enough():
    fleet = _play(_steady, 300)
    fleet.lost.add('north')
    fleet.demanded = 0
    fleet.served = 0
    fleet.play(_steady, 330)
    assert fleet.share > 0.99


def test_reclaimed_engines_are_ordered_anew():
    for name in CENTRES:
        fleet = _play(_steady, 300)
        before = fleet.count(name, is_spot=True)
        fleet.reclaim(name)
        fleet.demanded = 0
        fleet.served = 0
        fleet.play(_steady, 303)
        assert fleet.calls[-1].data_centre == name
        assert fleet.calls[-1].desired >= before
        fleet.play(_steady, 330)
        assert fleet.share > 0.99


def test_all_spot_engines_are_reclaimed_and_there_are_no_others():
    for at in (80, 300, 500):
        fleet = _play(_steady, at)
        fleet.closed = {(name, True) for name in CENTRES}
        for name in CENTRES:
            fleet.reclaim(name)
        fleet.demanded = 0
        fleet.served = 0
        fleet.play(_steady, at + 60)
        assert fleet.share > 0.99


def test_a_burst_without_spot_engines_orders_none_after_it():
    fleet = _play(_steady, 10)
    fleet.closed = {(name, True) for name in CENTRES}
    fleet.play(lambda _: _LOAD * 2.8, 16)
    fleet.play(_steady, 20)
    fleet.closed = set()
    before = len(fleet.calls)
    fleet.play(_steady, 60)
    assert fleet.count_all() <= 33
    assert all(
        order.desired <= 5 or not order.is_spot
        for order in fleet.calls[before:]
    )


def test_without_spot_engines_ordinary_ones_stay():
    fleet = EngineFleet()
    fleet.closed = {(name, True) for name in CENTRES}
    fleet.play(_bursts, 300)
    assert fleet.count_all() >= 20
    assert fleet.share > 0.95
    refused = [order for order in fleet.calls if order.is_spot]
    assert len(refused) < 60


def test_reclaimed_engines_that_cannot_be_had_become_ordinary_ones():
    fleet = _play(_steady, 300)
    before = fleet.count_all()
    fleet.closed = {('north', True)}
    fleet.reclaim('north')
    fleet.play(_steady, 315)
    assert fleet.count('north', is_spot=True) == 0
    assert fleet.count_all() >= before - 2


def test_no_engines_anywhere():
    fleet = EngineFleet(engines=3)
    fleet.closed = {
        (name, is_spot) for name in CENTRES for is_spot in (True, False)
    }
    fleet.play(_steady, 120)
    assert fleet.count_all() == 9
    assert len(fleet.calls) < 60
    fleet.closed = set()
    fleet.play(_steady, 260)
    assert fleet.count_all() >= 14


def test_a_new_holder_changes_nothing_until_it_knows_the_load():
    fleet = EngineFleet()
    fleet.reports_missing = True
    fleet.play(_steady, 60)
    assert not fleet.calls


def test_missing_reports_allow_no_reduction():
    fleet = _play(_steady, 20)
    fleet.reports_missing = True
    before = fleet.count_all()
    fleet.play(_steady, 200)
    assert fleet.count_all() >= before
    fleet.play(lambda _: _LOAD * 4, 220)
    assert fleet.count_all() > before


def test_an_order_without_an_answer_is_repeated_as_it_is():
    fleet = EngineFleet()
    fleet.answers_lost = True
    fleet.play(lambda _: _LOAD * 2.8, 30)
    by_subject = {
        (order.data_centre, order.is_spot): set() for order in fleet.calls
    }
    for order in fleet.calls:
        by_subject[order.data_centre, order.is_spot].add(order)
    assert all(len(orders) == 1 for orders in by_subject.values())
    # Repetitions at 1, 3, 7, 15 s and so on after the first call.
    assert len(fleet.calls) <= len(by_subject) * 6


def test_an_operator_pins_a_data_centre():
    fleet = EngineFleet()
    pinned = replace(SCALING, own_bounds={'east': EngineBounds(4, 4)})
    for _ in range(120):
        for order in fleet.policy.decide(pinned, fleet.observe(_LOAD)):
            fleet.order(order)
            fleet.policy.orders.note_accepted(order)
        fleet.now += 1
    east = [fleet.count('east', is_spot=is_spot) for is_spot in (True, False)]
    assert sum(east) == 4
