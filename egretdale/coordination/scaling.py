"""Orders engines for the services that the configuration scales."""

from __future__ import annotations

from collections.abc import Callable, Collection, Mapping
from dataclasses import dataclass

from egretdale.coordination.duty_calls import (
    DutyOutcome,
    DutySender,
    Fence,
    ScaleOrder,
)
from egretdale.coordination.selection import BackendSelection
from egretdale.coordination.service_loads import LoadReporter, ServiceLoadTable
from egretdale.state.gateway_metrics import GatewayMetrics
from egretdale.state.instances import Instance, InstanceTable
from egretdale.state.routing import RoutingTable, Scaling
from egretdale.state.scaling import ScalingPicture, ScalingPolicy
from egretdale.state.scaling_orders import EngineCounts, PlannedOrder
from egretdale.util.clocks import Clock
from egretdale.util.logs import get_logger

logger = get_logger(__name__)

#: Orders that are made in one round at most.
_MAXIMUM_ORDERS = 8


@dataclass(slots=True, frozen=True)
class ScalingSources:
    """What the duty reads.

    :ivar loads: loads of services by host.
    :ivar instances: backend servers.
    :ivar find_routing: returns the configuration in force.
    :ivar list_hosts: lists the hosts that accept requests.
    :ivar is_list_current: tells whether the list of backend servers is.
    """

    loads: ServiceLoadTable
    instances: InstanceTable
    find_routing: Callable[[], RoutingTable | None]
    list_hosts: Callable[[], Collection[str]]
    is_list_current: Callable[[], bool]


class ScalingDuty:
    """Orders engines while this host holds the duty.

    :ivar name: name of the duty, for logs.
    :ivar period_s: seconds between two rounds.
    """

    __slots__ = (
        '_clock',
        '_metrics',
        '_policies',
        '_sender',
        '_sources',
        '_token',
        'name',
        'period_s',
    )

    def __init__(
        self,
        sender: DutySender,
        sources: ScalingSources,
        metrics: GatewayMetrics,
        clock: Clock,
    ) -> None:
        """Create the duty.

        :param sender: sends orders.
        :param sources: what the duty reads.
        :param metrics: metrics.
        :param clock: monotonic clock.
        """
        self.name = 'scaling'
        self.period_s = 1.0
        self._sender = sender
        self._sources = sources
        self._metrics = metrics
        self._clock = clock
        self._policies: dict[str, ScalingPolicy] = {}
        self._token: int | None = None

    def perform(self, fence: Fence) -> None:
        """Decide for all services, and send the orders.

        :param fence: term in which it runs.
        """
        if fence.token != self._token:
            # Another holder may have ordered meanwhile.
            self._policies = {}
            self._token = fence.token
        routing = self._sources.find_routing()
        # Engines that are missing from an old list may run.
        if routing is None or not self._sources.is_list_current():
            return
        left = _MAXIMUM_ORDERS
        for service, scaling in routing.scaling.items():
            left -= self._perform_service(service, scaling, fence, left)

    def _perform_service(
        self, service: str, scaling: Scaling, fence: Fence, limit: int
    ) -> int:
        policy = self._policies.get(service)
        if policy is None:
            policy = ScalingPolicy(self._clock)
            self._policies[service] = policy
        picture = self._take_picture(service)
        if not picture.engines:
            return 0
        due = policy.decide(scaling, picture)[:limit]
        for order in due:
            self._send(service, policy, order, fence)
        self._publish(service, policy)
        return len(due)

    def _take_picture(self, service: str) -> ScalingPicture:
        sources = self._sources
        instances = [
            instance
            for instance in sources.instances.list_all()
            if instance.service == service
        ]
        slots = sum(instance.slots for instance in instances)
        return ScalingPicture(
            sources.loads.sum_demand(service, sources.list_hosts()),
            self._count_engines(instances),
            slots / max(1, len(instances)),
        )

    def _publish(self, service: str, policy: ScalingPolicy) -> None:
        for centre, is_spot, desired, listed in policy.orders.list_numbers():
            labels = (service, centre, 'spot' if is_spot else 'ordinary')
            self._metrics.desired_engines.labels(*labels).set(desired)
            self._metrics.listed_engines.labels(*labels).set(listed)

    def _send(
        self,
        service: str,
        policy: ScalingPolicy,
        planned: PlannedOrder,
        fence: Fence,
    ) -> None:
        order = ScaleOrder(
            service,
            planned.data_centre,
            planned.desired,
            planned.is_spot or None,
        )
        outcome = self._sender.send_scale(order, fence)
        match outcome:
            case DutyOutcome.ACCEPTED:
                policy.orders.note_accepted(planned)
            case DutyOutcome.UNAVAILABLE:
                policy.orders.note_unavailable(planned)
            case _:
                is_unknown = outcome == DutyOutcome.UNKNOWN
                policy.orders.note_failure(planned, is_unknown=is_unknown)
        self._metrics.scale_orders.labels(service, outcome.value).inc()
        logger.info(
            'scale-order',
            service=service,
            data_centre=planned.data_centre,
            spot=planned.is_spot,
            desired=planned.desired,
            listed=planned.listed,
            reason=planned.reason,
            demand=policy.describe(),
            outcome=outcome.value,
        )

    def _count_engines(
        self, instances: list[Instance]
    ) -> Mapping[str, EngineCounts]:
        centres = {instance.data_centre for instance in instances}
        leaving = {
            instance.name
            for instance in instances
            if self._sources.instances.is_leaving(instance)
        }

        def count(centre: str, *, is_spot: bool, leaves: bool) -> int:
            return sum(
                1
                for instance in instances
                if instance.data_centre == centre
                and instance.is_spot == is_spot
                and (instance.name in leaving) == leaves
            )

        return {
            centre: EngineCounts(
                count(centre, is_spot=False, leaves=False),
                count(centre, is_spot=True, leaves=False),
                count(centre, is_spot=True, leaves=True),
            )
            for centre in centres
        }


def create_scaling(
    sender: DutySender,
    selection: BackendSelection,
    metrics: GatewayMetrics,
    clock: Clock,
    *,
    find_routing: Callable[[], RoutingTable | None],
    is_list_current: Callable[[], bool],
) -> tuple[ScalingDuty, LoadReporter]:
    """Create the duty of ordering engines and the reports it is based on.

    :param sender: sends orders.
    :param selection: requests and backend servers of this host.
    :param metrics: metrics.
    :param clock: monotonic clock.
    :param find_routing: returns the configuration in force.
    :param is_list_current: tells whether the list of backend servers is.
    :return: the duty, and the reporter, which listens to the mesh.
    """
    mesh = selection.mesh

    def list_scaled() -> list[str]:
        routing = find_routing()
        return [] if routing is None else list(routing.scaling)

    def list_hosts() -> list[str]:
        return [member.update.host for member in mesh.table.list_serving()]

    reporter = LoadReporter(mesh, selection.activity, list_scaled, clock)
    mesh.add_listener(reporter)
    sources = ScalingSources(
        reporter.table,
        selection.instances,
        find_routing,
        list_hosts,
        is_list_current,
    )
    return ScalingDuty(sender, sources, metrics, clock), reporter
