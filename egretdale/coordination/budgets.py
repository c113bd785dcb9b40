"""Budgets for repeated requests by service."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from egretdale.state.retries import RetryBudget
from egretdale.util.clocks import Clock


@dataclass(slots=True, frozen=True)
class BudgetTerms:
    """How many requests may be sent to a second backend server.

    :ivar ratio: repeats for each first attempt.
    :ivar allowance: repeats of all hosts in each window besides.
    :ivar window_s: length of the window in seconds.
    :ivar hosts: least number of hosts that share the allowance.
    """

    ratio: float = 0.1
    allowance: float = 20.0
    window_s: float = 10.0
    hosts: int = 8


class BudgetBook:
    """One budget for each service."""

    __slots__ = ('_budgets', '_clock', '_count_hosts', '_terms')

    def __init__(
        self, terms: BudgetTerms, clock: Clock, count_hosts: Callable[[], int]
    ) -> None:
        """Create an empty book.

        :param terms: terms of every budget.
        :param clock: monotonic clock.
        :param count_hosts: counts the hosts that are known.
        """
        self._count_hosts = count_hosts
        self._terms = terms
        self._clock = clock
        self._budgets: dict[str, RetryBudget] = {}

    def earn(self, service: str) -> None:
        """Note a first attempt.

        :param service: service name.
        """
        budget = self._find(service)
        budget.set_allowance(self._share())
        budget.earn()

    def spend(self, service: str) -> bool:
        """Take a repeat out of the budget of a service.

        :param service: service name.
        :return: whether the budget allows it.
        """
        return self._find(service).spend()

    def has_room(self, service: str) -> bool:
        """Tell whether the budget allows a repeat.

        :param service: service name.
        """
        return self._find(service).has_room()

    def _find(self, service: str) -> RetryBudget:
        budget = self._budgets.get(service)
        if budget is None:
            terms = self._terms
            budget = RetryBudget(
                ratio=terms.ratio,
                allowance=self._share(),
                window_s=terms.window_s,
                clock=self._clock,
            )
            self._budgets[service] = budget
        return budget

    def _share(self) -> float:
        hosts = max(self._terms.hosts, self._count_hosts())
        return self._terms.allowance / hosts
