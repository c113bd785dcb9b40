"""Tests of the plays of prompts, with the product's own decisions."""

from __future__ import annotations

from standins.emulation.loads import WORKLOADS, draw_arrivals
from standins.emulation.replay import simulate_workload
from tests.functions import create_loader

load_tests = create_loader(__name__)

_HEAVY = 'counter-2x'
_SEED = 1


def test_arrivals_depend_on_the_seed_alone() -> None:
    """A burst brings as many requests as its factor says."""
    workload = WORKLOADS[_HEAVY]
    arrivals = draw_arrivals(workload, _SEED)
    assert arrivals == draw_arrivals(workload, _SEED)
    assert arrivals != draw_arrivals(workload, _SEED + 1)
    calm = sum(entry.at < 5 for entry in arrivals) / 5
    burst = sum(5 <= entry.at < 13 for entry in arrivals) / 8
    assert 1.6 < burst / calm < 2.4


def test_callers_of_all_classes_gain_from_one_order_under_a_burst() -> None:
    """Twice the load is served better than by any way that knows less."""
    product = simulate_workload(_HEAVY, 'product', _SEED)
    assert product.worth > 0.9
    for policy in ('alone', 'parts', 'least-connections'):
        assert product.worth > simulate_workload(_HEAVY, policy, _SEED).worth
    # The top tier is served no worse than a lower one.
    shares = {name: one.on_time for name, one in product.classes.items()}
    assert shares['question'] >= shares['draft']


def test_a_threefold_burst_leaves_most_callers_on_time() -> None:
    """Prompts that take least go first, so few are late in each class."""
    report = simulate_workload('desk-3x', 'product', _SEED)
    assert report.worth > 0.8
    assert min(one.on_time for one in report.classes.values()) > 0.6


def test_the_loss_of_an_engine_leaves_most_callers_on_time() -> None:
    """Streams that may be resumed go on elsewhere."""
    report = simulate_workload('counter-2x-crash', 'product', _SEED)
    assert report.worth > 0.7
    served = report.classes['summary']
    assert served.on_time + served.late > 0.95


def test_a_calm_load_is_served_in_time() -> None:
    """Nothing is refused, and nearly all answers come as asked."""
    report = simulate_workload('counter-1x', 'product', _SEED)
    assert report.worth > 0.98
    assert not report.refused
