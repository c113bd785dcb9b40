"""Tests of retry budgets."""

from __future__ import annotations

from egretdale.coordination.budgets import RetryBudgets, RetryBudgetSettings
from egretdale.state.retries import RetryBudget
from tests.forwarding import ManualClock
from tests.functions import create_loader

load_tests = create_loader(__name__)

_WINDOW_S = 10
_HOSTS = 4
_ALLOWANCE = 40.0


def test_all_hosts_together_stay_within_the_budget() -> None:
    """In no window are there more retries than the settings allow."""
    for hosts, allowance in ((_HOSTS, _ALLOWANCE), (81, 202.0)):
        _check_all_hosts(hosts, allowance)


def _check_all_hosts(hosts: int, allowance: float) -> None:
    clock = ManualClock()
    budgets = [
        RetryBudget(
            ratio=0.2,
            allowance=allowance / hosts,
            window_s=_WINDOW_S,
            clock=clock,
        )
        for _ in range(hosts)
    ]
    spent: list[float] = []
    firsts: list[float] = []
    for step in range(6000):
        clock.now += 0.01
        budget = budgets[step % hosts]
        if step % 10 == 0:
            budget.earn()
            firsts.append(clock.now)
        if budget.spend():
            spent.append(clock.now)
    for start in spent:
        window = [at for at in spent if start <= at < start + _WINDOW_S]
        earned = [at for at in firsts if start <= at < start + _WINDOW_S]
        assert len(window) <= 0.2 * len(earned) + allowance + 1


def test_a_spent_budget_is_refilled() -> None:
    """Both first attempts and passing time allow new retries."""
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


def test_a_small_allowance_does_not_lose_earned_retries() -> None:
    """One host of hundreds accumulates fractions up to a whole retry."""
    clock = ManualClock()
    budget = RetryBudget(ratio=0.2, allowance=0.1, window_s=10, clock=clock)
    assert budget.spend()
    for _ in range(6):
        clock.now += 1
        budget.earn()
    assert budget.spend()


def test_the_allowance_is_divided_by_the_number_of_hosts() -> None:
    """More hosts than expected reduce the allowance of each."""
    clock = ManualClock()
    hosts = [8]
    terms = RetryBudgetSettings(0.2, 160, 10, 8)
    book = RetryBudgets(terms, clock, lambda: hosts[0])
    hosts[0] = 80
    book.earn('claims')
    assert [book.spend('claims') for _ in range(3)] == [True, False, False]
