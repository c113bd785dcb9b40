"""Loads of services over all hosts, for the host that orders engines."""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass, field

import eventlet

from egretdale.coordination.duties import DUTIES
from egretdale.coordination.mesh import Mesh, MeshListener
from egretdale.state.duty_messages import ServiceLoad
from egretdale.state.members import find_owner
from egretdale.state.messages import Batch
from egretdale.state.service_activity import ServiceActivity
from egretdale.state.service_demand import ServiceDemand
from egretdale.util.clocks import Clock

#: Seconds between two reports of a host, longest such time, and what each host
#: adds, as all report to the same one.
_REPORT_PERIOD_S = 1.0
_LONGEST_PERIOD_S = 2.0
_PERIOD_PER_HOST_S = 0.005
#: Part of the period after which another message may carry the report.
_EARLY = 0.9
#: Age in seconds up to which the report of a host counts.
_MAXIMUM_AGE_S = 4.0
#: Weight of the latest report in the averages of a host.
_SMOOTHING = 0.2


@dataclass(slots=True)
class HostReport:
    """What a host has reported.

    :ivar at: clock time of the last report.
    :ivar loads: loads by service and data centre.
    :ivar rates: smoothed numbers of requests that began, were refused, and
        their prompt tokens, per second, by service.
    """

    at: float
    loads: dict[tuple[str, str], ServiceLoad] = field(default_factory=dict)
    rates: dict[str, tuple[float, ...]] = field(default_factory=dict)


class ServiceLoadTable:
    """Latest loads of services by host."""

    __slots__ = ('_clock', '_reports')

    def __init__(self, clock: Clock) -> None:
        """Create an empty table.

        :param clock: monotonic clock.
        """
        self._clock = clock
        self._reports: dict[str, HostReport] = {}

    def note(self, host: str, loads: Iterable[ServiceLoad]) -> None:
        """Record the report of a host.

        :param host: name of the host.
        :param loads: its loads; services without requests are left out.
        """
        now = self._clock()
        known = self._reports.get(host)
        report = HostReport(now)
        for load in loads:
            report.loads[load.service_name, load.data_centre] = load
        if known is not None and now > known.at:
            report.rates = _update_rates(known, report)
        elif known is not None:
            report.rates = known.rates
        self._reports[host] = report

    def sum_demand(self, service: str, hosts: Collection[str]) -> ServiceDemand:
        """Sum the loads of a service.

        :param service: service name.
        :param hosts: hosts that accept requests.
        :return: the demand, complete if all hosts have reported lately.
        """
        oldest = self._clock() - _MAXIMUM_AGE_S
        self._reports = {
            host: report
            for host, report in self._reports.items()
            if report.at >= oldest
        }
        loads = [
            load
            for report in self._reports.values()
            for load in report.loads.values()
            if load.service_name == service
        ]
        rates = [
            report.rates[service]
            for report in self._reports.values()
            if service in report.rates
        ]
        begun_per_s = sum(rate[0] for rate in rates)
        tokens_per_s = sum(rate[2] for rate in rates)
        return ServiceDemand(
            sum(max(0, load.running) for load in loads),
            sum(max(0, load.waiting) for load in loads if load.data_centre),
            sum(max(0, load.waiting) for load in loads if not load.data_centre),
            sum(rate[1] for rate in rates),
            tokens_per_s / begun_per_s if begun_per_s else 0,
            bool(hosts) and self._reports.keys() >= set(hosts),
        )


class LoadReporter(MeshListener):
    """Reports the loads of this host to the one that orders engines.

    :ivar table: reports of all hosts, on the host that gets them.
    """

    __slots__ = (
        '_activity',
        '_clock',
        '_list_scaled',
        '_mesh',
        '_sent_at',
        'table',
    )

    def __init__(
        self,
        mesh: Mesh,
        activity: ServiceActivity,
        list_scaled: Callable[[], Collection[str]],
        clock: Clock,
    ) -> None:
        """Create a reporter that has sent nothing.

        :param mesh: links to peers.
        :param activity: requests of this host.
        :param list_scaled: lists the services that are scaled.
        :param clock: monotonic clock.
        """
        self.table = ServiceLoadTable(clock)
        self._mesh = mesh
        self._activity = activity
        self._list_scaled = list_scaled
        self._clock = clock
        self._sent_at = float('-inf')

    def run(self) -> None:
        """Report without end."""
        while True:
            eventlet.sleep(self._find_period())
            self.step()

    def step(self) -> None:
        """Report once, unless another message has carried it."""
        if not self._list_scaled():
            return
        owner = find_owner(self._mesh.table, DUTIES)
        if owner == self._mesh.table.own_host:
            self.table.note(owner, self._list_loads())
        elif self._is_due():
            self._mesh.probe(owner)

    def fill(self, host: str, batch: Batch) -> None:
        """Add the loads for the host that orders engines.

        :param host: receiving host.
        :param batch: the batch.
        """
        if not self._is_due() or not self._list_scaled():
            return
        if host == find_owner(self._mesh.table, DUTIES):
            batch.loads = self._list_loads()
            self._sent_at = self._clock()

    def receive(self, batch: Batch) -> None:
        """Take over the loads of another host.

        :param batch: the batch.
        """
        if batch.loads:
            self.table.note(batch.sender, batch.loads)

    def _find_period(self) -> float:
        hosts_s = _PERIOD_PER_HOST_S * self._mesh.table.count_reachable()
        return min(max(_REPORT_PERIOD_S, hosts_s), _LONGEST_PERIOD_S)

    def _is_due(self) -> bool:
        return self._clock() >= self._sent_at + self._find_period() * _EARLY

    def _list_loads(self) -> list[ServiceLoad]:
        services = self._list_scaled()
        # A host without requests reports that it has none.
        return self._activity.list_loads(services) or [
            ServiceLoad(service) for service in services
        ]


def _update_rates(
    known: HostReport, report: HostReport
) -> dict[str, tuple[float, ...]]:
    elapsed_s = report.at - known.at
    sums: dict[str, list[float]] = {}
    for key, load in report.loads.items():
        before = known.loads.get(key, ServiceLoad(*key))
        if load.begun < before.begun or load.refused < before.refused:
            # The host has restarted.
            before = ServiceLoad(*key)
        added = sums.setdefault(key[0], [0, 0, 0])
        added[0] += load.begun - before.begun
        added[1] += load.refused - before.refused
        added[2] += load.prompt_tokens - before.prompt_tokens
    return {
        service: tuple(
            old + (amount / elapsed_s - old) * _SMOOTHING
            for old, amount in zip(
                known.rates.get(service, (0, 0, 0)), added, strict=True
            )
        )
        for service, added in sums.items()
    }
