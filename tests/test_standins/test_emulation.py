"""Tests of the prompt simulation, with the product's scheduling code."""

from __future__ import annotations

from standins.emulation.loads import WORKLOADS, draw_arrivals
from standins.emulation.replay import simulate_workload
from tests.functions import create_loader

load_tests = create_loader(__name__)

_HEAVY = 'counter-2x'
_SEED = 1


def test_arrivals_depend_only_on_the_seed() -> None:
    """The burst multiplies the arrival rate by its factor."""
    workload = WORKLOADS[_HEAVY]
    arrivals = draw_arrivals(workload, _SEED)
    assert arrivals == draw_arrivals(workload, _SEED)
    assert arrivals != draw_arrivals(workload, _SEED + 1)
    calm = sum(entry.at < 5 for entry in arrivals) / 5
    burst = sum(5 <= entry.at < 13 for entry in arrivals) / 8
    assert 1.6 < burst / calm < 2.4


def test_allocator_beats_the_other_policies_in_a_burst() -> None:
    """At twice the usual rates the product has the highest worth."""
    product = simulate_workload(_HEAVY, 'product', _SEED)
    assert product.worth > 0.9
    for policy in ('alone', 'parts', 'least-connections'):
        assert product.worth > simulate_workload(_HEAVY, policy, _SEED).worth
    # The highest priority is served at least as well as the lowest.
    shares = {
        name: class_report.on_time
        for name, class_report in product.classes.items()
    }
    assert shares['question'] >= shares['draft']


def test_most_callers_are_on_time_in_a_threefold_burst() -> None:
    """The shortest prompts go first, so few are late in each class."""
    report = simulate_workload('desk-3x', 'product', _SEED)
    assert report.worth > 0.8
    assert (
        min(class_report.on_time for class_report in report.classes.values())
        > 0.6
    )


def test_most_callers_are_on_time_after_an_engine_crash() -> None:
    """Resumable streams continue on another engine."""
    report = simulate_workload('counter-2x-crash', 'product', _SEED)
    assert report.worth > 0.7
    served = report.classes['summary']
    assert served.on_time + served.late > 0.95


def test_usual_rates_are_served_on_time() -> None:
    """Nothing is refused, and nearly all responses meet their targets."""
    report = simulate_workload('counter-1x', 'product', _SEED)
    assert report.worth > 0.98
    assert not report.refused
