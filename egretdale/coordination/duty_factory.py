"""Creates the parts of a host that perform duties for all hosts."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from egretdale.config import DutySettings
from egretdale.coordination.admission import AdmittedRequest
from egretdale.coordination.duties import DUTIES, DutyHolder
from egretdale.coordination.duty_calls import DutySender
from egretdale.coordination.duty_lease import DutyLease
from egretdale.coordination.mesh import Mesh
from egretdale.coordination.ports import Platform
from egretdale.coordination.scaling import create_scaling
from egretdale.coordination.selection import BackendSelection
from egretdale.coordination.service_loads import LoadReporter
from egretdale.coordination.true_time import TrueTime
from egretdale.coordination.usage import UsageCollector
from egretdale.coordination.usage_reports import UsageReporter, WindowTimes
from egretdale.state.gateway_metrics import GatewayMetrics
from egretdale.state.instances import Instance
from egretdale.state.routing import RoutingTable
from egretdale.util.clocks import Clock, WallClock, convert_to_ms
from egretdale.util.tasks import TaskGroup


class DutyDependencies(Protocol):
    """Injected objects that duties need."""

    platform: Platform
    clock: Clock
    wall_clock: WallClock
    duty_sender: DutySender | None


class HostDuties:
    """The duties of one host and what they need.

    :ivar holder: holds the lease.
    :ivar sender: sends the calls.
    :ivar collector: counts begun requests, ``None`` if nobody reports usage.
    """

    __slots__ = (
        '_clock',
        '_metrics',
        '_orders_engines',
        '_reporter',
        'collector',
        'holder',
        'sender',
    )

    def __init__(
        self,
        settings: DutySettings,
        dependencies: DutyDependencies,
        sender: DutySender,
        mesh: Mesh,
        metrics: GatewayMetrics,
    ) -> None:
        """Create the parts; nothing is sent before they are started.

        :param settings: settings of the duties.
        :param dependencies: injected objects.
        :param sender: sends the calls.
        :param mesh: links to peers.
        :param metrics: metrics.
        """
        self.sender = sender
        self.collector: UsageCollector | None = None
        self._reporter: LoadReporter | None = None
        self._orders_engines = settings.orders_engines
        self._clock = dependencies.clock
        self._metrics = metrics
        started_ms = convert_to_ms(dependencies.wall_clock())
        host = mesh.table.own_host
        lease = DutyLease(
            DUTIES,
            host,
            f'{host}/{started_ms}/{dependencies.clock()}',
            dependencies.platform,
            clock=dependencies.clock,
            lifetime_s=settings.lease_s,
        )
        self.holder = DutyHolder(
            mesh.table,
            lease,
            clock=dependencies.clock,
            lifetime_s=settings.lease_s,
            call_timeout_s=settings.call_timeout_s,
        )
        metrics.add_gauge(
            'duty_token',
            'Fencing token while this host holds the duties, else 0',
            self.holder.read_token,
        )
        if settings.reports_usage:
            self._add_usage(settings, dependencies, mesh)

    def start(self, tasks: TaskGroup) -> None:
        """Start the background tasks.

        :param tasks: task group to start them in.
        """
        self.holder.start(tasks)
        if self.collector is not None:
            tasks.start(self.collector.run)
        if self._reporter is not None:
            tasks.start(self._reporter.run)

    def note_begin(self, admitted: AdmittedRequest, instance: Instance) -> None:
        """Count a request that a backend server has begun.

        :param admitted: the request.
        :param instance: the backend server.
        """
        if self.collector is not None:
            self.collector.note_begin(admitted.organisation)

    def order_engines(
        self,
        selection: BackendSelection,
        find_routing: Callable[[], RoutingTable | None],
        is_list_current: Callable[[], bool],
    ) -> None:
        """Order engines, if the settings say so.

        :param selection: requests and backend servers of this host.
        :param find_routing: returns the configuration in force.
        :param is_list_current: tells whether the list of backend servers is.
        """
        if not self._orders_engines:
            return
        duty, reporter = create_scaling(
            self.sender,
            selection,
            self._metrics,
            self._clock,
            find_routing=find_routing,
            is_list_current=is_list_current,
        )
        self._reporter = reporter
        self.holder.add(duty)

    def count_call(self, duty: str, outcome: str) -> None:
        """Count a call.

        :param duty: name of the duty.
        :param outcome: how it ended.
        """
        self._metrics.duty_calls.labels(duty, outcome).inc()

    def _add_usage(
        self,
        settings: DutySettings,
        dependencies: DutyDependencies,
        mesh: Mesh,
    ) -> None:
        true_time = TrueTime(dependencies.clock, dependencies.wall_clock)
        collector = UsageCollector(
            mesh, true_time, dependencies.clock, settings.window_s
        )
        reporter = UsageReporter(
            collector,
            self.sender,
            dependencies.platform,
            true_time,
            clock=dependencies.clock,
            windows=WindowTimes(settings.window_s, settings.late_s),
            count_call=self.count_call,
        )
        self.collector = collector
        mesh.add_listener(true_time)
        mesh.add_listener(collector)
        self.holder.add(reporter)
        self._metrics.add_gauge(
            'usage_late_counts',
            'Requests that were told after their window was fixed',
            lambda: collector.late,
        )
        self._metrics.add_gauge(
            'usage_reported_windows',
            'Windows that this host has reported',
            lambda: reporter.reported,
        )
        self._metrics.add_gauge(
            'usage_missed_windows',
            'Windows that this host had to leave out',
            lambda: reporter.missed,
        )


def create_duties(
    settings: DutySettings | None,
    dependencies: DutyDependencies,
    mesh: Mesh,
    metrics: GatewayMetrics,
) -> HostDuties | None:
    """Create the duties that the settings name.

    :param settings: settings of the duties, ``None`` for none.
    :param dependencies: injected objects.
    :param mesh: links to peers.
    :param metrics: metrics.
    :return: the duties, ``None`` without settings or a sender of calls.
    """
    if settings is None or dependencies.duty_sender is None:
        return None
    return HostDuties(
        settings, dependencies, dependencies.duty_sender, mesh, metrics
    )
