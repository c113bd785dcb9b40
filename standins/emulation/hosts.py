"""Runs the product's routing code on virtual time, without sockets."""

from __future__ import annotations

import random
from dataclasses import dataclass

import eventlet

from egretdale.coordination.admission import Admission, FreshnessLimits
from egretdale.coordination.budgets import RetryBudgets, RetryBudgetSettings
from egretdale.coordination.exchanges import (
    ForwardClient,
)
from egretdale.coordination.forwarding import Forwarder
from egretdale.coordination.mesh import Mesh
from egretdale.coordination.ports import (
    Delivered,
)
from egretdale.coordination.reachability import ReachabilityMonitor
from egretdale.coordination.selection import (
    BackendSelection,
    EngineKnowledge,
)
from egretdale.coordination.stream_origins import ListKnowledge
from egretdale.errors import Cause, Unreachable
from egretdale.state.freshness import Confirmation
from egretdale.state.gateway_metrics import GatewayMetrics
from egretdale.state.instances import Instance, InstanceTable
from egretdale.state.members import MemberStatus, MemberTable
from egretdale.state.messages import Batch, MemberUpdate
from egretdale.state.queries import OriginAsk, OriginReply
from egretdale.state.routing import (
    CallerLimits,
    RequestKind,
    Route,
    RoutingTable,
    ServiceCapacity,
    WeightedService,
)
from egretdale.util.clocks import Clock
from standins.emulation.loads import PromptClass, Workload
from standins.emulation.policies import KnownSpeedTable, NoPrefillClient, Policy

SERVICE = 'prompts'
HOST_NAME = 'prompts.example'
#: Urgency that engines assume for requests without one.
_DEFAULT_URGENCY = 5
LATENCY_S = 0.001
_BYTES_PER_S = 4096.0
_RETRY_RATIO = 0.2
_RETRY_ALLOWANCE = 40
_RETRY_WINDOW_S = 10.0


@dataclass(slots=True)
class FixedConfiguration:
    """A configuration source whose routing table never changes.

    :ivar table: the routing table, ``None`` when none is known.
    :ivar confirmation: when the table was last confirmed.
    """

    table: RoutingTable | None
    confirmation: Confirmation

    def refresh(self) -> bool:
        """Return false, since there is never a newer configuration."""
        return False


class EmulatedNetwork:
    """Delivers batches between emulated hosts."""

    __slots__ = ('_hosts',)

    def __init__(self, hosts: dict[str, EmulatedHost]) -> None:
        """Create the network.

        :param hosts: hosts by peer address.
        """
        self._hosts = hosts

    def deliver(self, address: str, batch: Batch) -> Delivered | Unreachable:
        """Deliver a batch.

        :param address: address of the peer.
        :param batch: the batch.
        """
        eventlet.sleep(LATENCY_S)
        host = self._hosts.get(address)
        if host is None:
            return Unreachable(Cause.REFUSED)
        answer = host.mesh.handle(batch)
        eventlet.sleep(LATENCY_S)
        return Delivered(answer, 0)

    def find_origin(
        self, address: str, ask: OriginAsk
    ) -> OriginReply | Unreachable:
        """Ask a host where a stream began.

        :param address: address of the host.
        :param ask: the question.
        """
        eventlet.sleep(LATENCY_S)
        host = self._hosts.get(address)
        if host is None:
            return Unreachable(Cause.REFUSED)
        answer = host.find_origin(ask)
        eventlet.sleep(LATENCY_S)
        return answer


class EmulatedHost:
    """The components of a host that schedule and forward prompts.

    :ivar mesh: message exchange with the other hosts.
    :ivar forwarder: forwards requests.
    """

    __slots__ = (
        '_instances',
        '_reachability',
        '_selection',
        'forwarder',
        'mesh',
    )

    def __init__(
        self,
        name: str,
        workload: Workload,
        policy: Policy,
        client: ForwardClient,
        hosts: dict[str, EmulatedHost],
        clock: Clock,
    ) -> None:
        """Build a host.

        :param name: its name, which is also its peer address.
        :param workload: workload that it serves.
        :param policy: scheduling policy.
        :param client: client of the engines.
        :param hosts: all hosts by name.
        :param clock: monotonic clock.
        """
        members = _create_members(name, workload.hosts, clock)
        self.mesh = Mesh(members, EmulatedNetwork(hosts), clock, _BYTES_PER_S)
        self._instances = InstanceTable(clock, 2)
        speeds = None
        if policy.knows_speed:
            speeds = KnownSpeedTable(clock, workload.profile)
        metrics = GatewayMetrics()
        self._selection = BackendSelection(
            self.mesh,
            self._instances,
            clock,
            metrics.silent_allocators,
            list_knowledge=ListKnowledge(
                _confirm_list, _restore_nothing, float
            ),
            engine_knowledge=EngineKnowledge(
                speeds, lambda service: _measure_capacity(workload)
            ),
            create_chooser=policy.create_chooser,
        )
        if not policy.uses_allocator:
            self._selection.prefill_client = NoPrefillClient()
        self._reachability = ReachabilityMonitor(
            self._selection, client, clock, _ignore_link
        )
        self.forwarder = Forwarder(
            admission=_create_admission(workload, policy, clock),
            selection=self._selection,
            budgets=RetryBudgets(
                RetryBudgetSettings(
                    _RETRY_RATIO,
                    _RETRY_ALLOWANCE,
                    _RETRY_WINDOW_S,
                    workload.hosts,
                ),
                clock,
                members.count_live,
            ),
            metrics=metrics,
            client=client,
            clock=clock,
            source=random.Random(name),
        )

    def start_tasks(self) -> None:
        """Start the background tasks of the host."""
        eventlet.spawn(self._reachability.run)

    def is_cut_off(self) -> bool:
        """Tell whether the host reaches no engine."""
        return self._selection.is_cut_off()

    def list_instances(self) -> dict[str, Instance]:
        """Return the engines that this host knows, by name."""
        ready = self._instances.list_ready(SERVICE)
        return {instance.name: instance for instance in ready}

    def find_origin(self, ask: OriginAsk) -> OriginReply:
        """Answer a peer that looks for where a stream began.

        :param ask: the question.
        :return: what this host knows of it.
        """
        return self._selection.origins.answer(ask)

    def replace_instances(self, instances: dict[str, Instance]) -> None:
        """Apply a newer list of engines.

        :param instances: engines by name.
        """
        removed = self._instances.replace(instances, after_outage=False)
        for instance in removed:
            self._selection.forget(instance)


def _measure_capacity(workload: Workload) -> ServiceCapacity:
    tokens = workload.profile.kv_tokens if workload.tells_memory else 0
    return ServiceCapacity(tokens)


def _confirm_list() -> bool:
    return True


def _restore_nothing() -> bool:
    return False


def _ignore_link(is_cut_off: bool) -> None:
    """Tell no peer, as membership is not emulated."""


def create_hosts(
    workload: Workload, policy: Policy, client: ForwardClient, clock: Clock
) -> list[EmulatedHost]:
    """Build the hosts of a workload.

    :param workload: the workload.
    :param policy: scheduling policy.
    :param client: client of the engines.
    :param clock: monotonic clock.
    :return: the hosts.
    """
    hosts: dict[str, EmulatedHost] = {}
    for index in range(workload.hosts):
        name = f'h{index}'
        hosts[name] = EmulatedHost(name, workload, policy, client, hosts, clock)
    return list(hosts.values())


def _create_members(own: str, count: int, clock: Clock) -> MemberTable:
    members = MemberTable(own)
    for index in range(count):
        name = f'h{index}'
        alive = int(MemberStatus.ALIVE)
        update = MemberUpdate(name, 1, 0, alive, 'dc', name, name)
        members.apply(update, clock())
    return members


def _create_admission(
    workload: Workload, policy: Policy, clock: Clock
) -> Admission:
    routes = tuple(_create_route(entry, policy) for entry in workload.classes)
    table = RoutingTable(
        1, b'', routes, CallerLimits(), (), requires_keys=False
    )
    confirmation = Confirmation(clock)
    confirmation.confirm(clock())
    configuration = FixedConfiguration(table, confirmation)
    return Admission(configuration, FreshnessLimits(), clock)


def _create_route(request_class: PromptClass, policy: Policy) -> Route:
    return Route(
        name=request_class.name,
        host_name=HOST_NAME,
        path_prefix=f'/{request_class.name}/',
        services=(WeightedService(SERVICE, 1),),
        kind=RequestKind.STREAM,
        timeout_s=request_class.patience_s,
        target_s=request_class.target_s,
        pause_target_s=request_class.pause_s,
        maximum_attempts=request_class.attempts,
        priority=(
            request_class.priority if policy.uses_urgency else _DEFAULT_URGENCY
        ),
        resumable=request_class.may_resume(),
    )
