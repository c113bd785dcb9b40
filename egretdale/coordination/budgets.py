"""Retry budgets of services."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from egretdale.state.retries import RetryBudget
from egretdale.util.clocks import Clock


@dataclass(slots=True, frozen=True)
class RetryBudgetSettings:
    """How many requests may be retried at another backend server.

    :ivar ratio: retries for each first attempt.
    :ivar allowance: additional retries of all hosts in each window.
    :ivar window_s: length of the window in seconds.
    :ivar minimum_hosts: minimum number of hosts among which the allowance is
        split.
    """

    ratio: float = 0.1
    allowance: float = 20.0
    window_s: float = 10.0
    minimum_hosts: int = 8


class RetryBudgets:
    """Keeps this host's retry budget of each service."""

    __slots__ = ('_budgets', '_clock', '_count_hosts', '_settings')

    def __init__(
        self,
        settings: RetryBudgetSettings,
        clock: Clock,
        count_hosts: Callable[[], int],
    ) -> None:
        """Create an empty set of budgets.

        :param settings: settings of each budget.
        :param clock: monotonic clock.
        :param count_hosts: counts the hosts that are known.
        """
        self._count_hosts = count_hosts
        self._settings = settings
        self._clock = clock
        self._budgets: dict[str, RetryBudget] = {}

    def earn(self, service: str) -> None:
        """Record a first attempt, which earns a part of a retry.

        :param service: service name.
        """
        budget = self._find(service)
        budget.set_allowance(self._compute_share())
        budget.earn()

    def spend(self, service: str) -> bool:
        """Take a retry out of the budget of a service.

        :param service: service name.
        :return: whether the budget allows it.
        """
        return self._find(service).spend()

    def has_room(self, service: str) -> bool:
        """Tell whether the budget allows a retry.

        :param service: service name.
        """
        return self._find(service).has_room()

    def _find(self, service: str) -> RetryBudget:
        budget = self._budgets.get(service)
        if budget is None:
            settings = self._settings
            budget = RetryBudget(
                ratio=settings.ratio,
                allowance=self._compute_share(),
                window_s=settings.window_s,
                clock=self._clock,
            )
            self._budgets[service] = budget
        return budget

    def _compute_share(self) -> float:
        hosts = max(self._settings.minimum_hosts, self._count_hosts())
        return self._settings.allowance / hosts
