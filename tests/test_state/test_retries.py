"""Tests of retry budgets."""

from __future__ import annotations

from egretdale.state.retries import RetryBudget
from tests.forwarding import ManualClock
from tests.functions import create_loader

load_tests = create_loader(__name__)

_WINDOW_S = 10
_HOSTS = 4
_ALLOWANCE = 40.0


def test_all_hosts_together_keep_to_the_budget() -> None:
    """No window sees more repeats than the terms allow."""
    clock = ManualClock()
    budgets = [
        RetryBudget(
            ratio=0.2,
            allowance=_ALLOWANCE / _HOSTS,
            window_s=_WINDOW_S,
            clock=clock,
        )
        for _ in range(_HOSTS)
    ]
    spent: list[float] = []
    firsts: list[float] = []
    for step in range(6000):
        clock.now += 0.01
        budget = budgets[step % _HOSTS]
        if step % 10 == 0:
            budget.earn()
            firsts.append(clock.now)
        if budget.spend():
            spent.append(clock.now)
    for start in spent:
        window = [at for at in spent if start <= at < start + _WINDOW_S]
        earned = [at for at in firsts if start <= at < start + _WINDOW_S]
        assert len(window) <= 0.2 * len(earned) + _ALLOWANCE + 1


def test_a_spent_budget_is_refilled() -> None:
    """First attempts and time both give new repeats."""
    clock = ManualClock()
    budget = RetryBudget(ratio=0.5, allowance=2, window_s=10, clock=clock)
    assert budget.spend()
    assert not budget.spend()
    budget.earn()
    assert not budget.has_room()
    budget.earn()
    assert budget.has_room()
    assert budget.spend()
    clock.now += 10
    assert budget.spend()
