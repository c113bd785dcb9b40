"""Components and background tasks of a host that forwards requests."""

from __future__ import annotations

from dataclasses import replace

import eventlet

from egretdale.config import GatewaySettings
from egretdale.coordination.admission import Admission, FreshnessLimits
from egretdale.coordination.budgets import RetryBudgetSettings, RetryBudgets
from egretdale.coordination.configuration import ConfigurationFollower
from egretdale.coordination.copies import PeerAccess
from egretdale.coordination.counted_platform import CountedPlatform
from egretdale.coordination.duty_factory import create_duties
from egretdale.coordination.forwarding import Forwarder
from egretdale.coordination.gateway_dependencies import GatewayDependencies
from egretdale.coordination.gateway_gauges import watch_gateway
from egretdale.coordination.instances import (
    INSTANCE_KIND,
    LAPSE_S,
    InstanceFollower,
)
from egretdale.coordination.membership_factory import create_membership
from egretdale.coordination.mesh import Mesh
from egretdale.coordination.reachability import ReachabilityMonitor
from egretdale.coordination.selection import BackendSelection, EngineKnowledge
from egretdale.coordination.stream_origins import ListKnowledge
from egretdale.coordination.version_record import VersionRecorder
from egretdale.state.gateway_metrics import GatewayMetrics
from egretdale.state.instances import InstanceTable
from egretdale.state.members import MemberStatus, MemberTable
from egretdale.state.queries import (
    ChangeAsk,
    Changes,
    DocumentCopy,
    OriginAsk,
    OriginReply,
)
from egretdale.state.routing import (
    UNKNOWN_CAPACITY,
    CallerLimits,
    ServiceCapacity,
)
from egretdale.util.clocks import convert_to_ms
from egretdale.util.tasks import TaskGroup

_JOINING_CHECK_S = 0.05
#: Age in seconds up to which the list of backend servers counts as current:
#: the longest watch of the platform and its answer.
_CURRENT_LIST_AGE_S = 3.0
#: Statuses of hosts whose addresses callers get, in order of preference.
_STATUS_PREFERENCE = (
    MemberStatus.ALIVE,
    MemberStatus.SUSPECT,
    MemberStatus.LEAVING,
)


class Gateway:
    """Coordination components of a host that forwards requests.

    :ivar settings: settings of the host.
    :ivar mesh: links to peers.
    :ivar membership: membership of the hosts.
    :ivar configuration: routing configuration in force.
    :ivar instances: follower of the list of backend servers.
    :ivar forwarder: forwards requests.
    :ivar metrics: metrics.
    :ivar duties: what one host does on behalf of all, ``None`` if the settings
        name nothing.
    """

    __slots__ = (
        '_dependencies',
        '_reachability',
        '_selection',
        '_table',
        '_version_recorder',
        'configuration',
        'duties',
        'forwarder',
        'instances',
        'membership',
        'mesh',
        'metrics',
        'settings',
    )

    def __init__(
        self, settings: GatewaySettings, dependencies: GatewayDependencies
    ) -> None:
        """Create the components of a host.

        :param settings: settings of the host.
        :param dependencies: injected objects.
        """
        self.settings = settings
        self.metrics = GatewayMetrics()
        counted = CountedPlatform(dependencies.platform, self.metrics)
        dependencies = replace(dependencies, platform=counted)
        self._dependencies = dependencies
        self._table = MemberTable(settings.host)
        self.mesh = Mesh(
            self._table,
            dependencies.network,
            dependencies.clock,
            settings.peer_bytes_per_s,
        )
        self.membership = create_membership(
            settings,
            dependencies,
            self.mesh,
            incarnation=convert_to_ms(dependencies.wall_clock()),
            capacity=settings.capacity,
        )
        for seed in settings.seeds:
            self.membership.learn_seed(seed)
        self.configuration = ConfigurationFollower(
            dependencies.platform,
            PeerAccess(dependencies.network, self._table),
            decode=dependencies.decode_routing,
            clock=dependencies.clock,
            source=dependencies.source,
        )
        self.duties = create_duties(
            settings.duties, dependencies, self.mesh, self.metrics
        )
        self._build_forwarder()
        if self.duties is not None:
            self.duties.order_engines(
                self._selection,
                lambda: self.configuration.table,
                self._is_list_current,
            )
        self.mesh.add_listener(self.membership)
        self.mesh.add_listener(self.configuration)
        self.mesh.add_listener(self.instances)
        watch_gateway(
            self.metrics,
            self.configuration,
            self.instances,
            self._selection,
            self.mesh,
        )

    def start(self, tasks: TaskGroup) -> None:
        """Start the background tasks of the host.

        :param tasks: task group to start them in.
        """
        tasks.start(self.configuration.run_watch)
        tasks.start(self.instances.run_watch)
        tasks.start(self.instances.run_expiry)
        tasks.start(self._version_recorder.run)
        tasks.start(self.membership.run_publishing)
        tasks.start(self.membership.run_probes)
        tasks.start(self._reachability.run)
        tasks.start(self._run_joining)
        if self.duties is not None:
            self.duties.start(tasks)

    def is_ready(self) -> bool:
        """Tell whether this host accepts new requests."""
        ready = self.configuration.table is not None
        return ready and not self.membership.is_leaving()

    def limits(self) -> CallerLimits:
        """Return the limits on requests of callers."""
        table = self.configuration.table
        return CallerLimits() if table is None else table.limits

    def list_addresses(self) -> list[str]:
        """List the addresses that callers may connect to.

        :return: addresses of all live hosts; if there are none, of the hosts
            that are suspected to have failed; if there are none either, of the
            hosts that are leaving. Of the others, those that reach no backend
            server are listed only if there are no more.
        """
        by_rank: dict[tuple[bool, bool, int], list[str]] = {}
        for member in self._table.list_members():
            address = member.update.caller_address
            if address and member.status in _STATUS_PREFERENCE:
                is_leaving = member.status == MemberStatus.LEAVING
                rank = _STATUS_PREFERENCE.index(member.status)
                key = (is_leaving, member.update.cut_off, rank)
                by_rank.setdefault(key, []).append(address)
        return by_rank[min(by_rank)] if by_rank else []

    def copy(self, kind: str) -> DocumentCopy:
        """Return this host's copy of the platform's objects, for a peer.

        :param kind: kind of the objects.
        :return: the copy, with revision 0 if there is none.
        """
        if kind == INSTANCE_KIND:
            return self.instances.copy()
        return self.configuration.copy(kind)

    def follow(self, ask: ChangeAsk) -> Changes:
        """Answer a peer that waits for changes of the platform's objects.

        :param ask: request of the peer.
        :return: the changes.
        """
        if ask.kind == INSTANCE_KIND:
            return self.instances.relay.answer(ask)
        return self.configuration.relay.answer(ask)

    def find_origin(self, ask: OriginAsk) -> OriginReply:
        """Answer a peer that looks for where a stream began.

        :param ask: request of the peer.
        :return: what this host knows of it.
        """
        return self._selection.origins.answer(ask)

    def _run_joining(self) -> None:
        while self.configuration.table is None:
            eventlet.sleep(_JOINING_CHECK_S)
        self.membership.join()

    def _announce_link(self, is_cut_off: bool) -> None:
        self.membership.announce_link(cut_off=is_cut_off)

    def _is_list_current(self) -> bool:
        return self._measure_list_age() <= _CURRENT_LIST_AGE_S

    def _measure_list_age(self) -> float:
        return self.instances.confirmation.measure_age()

    def _find_capacity(self, service: str) -> ServiceCapacity:
        table = self.configuration.table
        return (
            UNKNOWN_CAPACITY if table is None else table.find_capacity(service)
        )

    def _build_forwarder(self) -> None:
        settings = self.settings
        dependencies = self._dependencies
        table = InstanceTable(
            dependencies.clock, LAPSE_S, dependencies.wall_clock
        )
        self._version_recorder = VersionRecorder(
            dependencies.platform,
            self._table,
            table.versions,
            self._is_list_current,
            clock=dependencies.clock,
            wall_clock=dependencies.wall_clock,
            source=dependencies.source,
        )
        self._selection = BackendSelection(
            self.mesh,
            table,
            dependencies.clock,
            self.metrics.silent_allocators,
            list_knowledge=ListKnowledge(
                lambda: self.instances.confirmer.confirm(),
                self._version_recorder.restore,
                self._measure_list_age,
            ),
            engine_knowledge=EngineKnowledge(find_capacity=self._find_capacity),
        )
        self._reachability = ReachabilityMonitor(
            self._selection,
            dependencies.client,
            dependencies.clock,
            self._announce_link,
        )
        self.instances = InstanceFollower(
            dependencies.platform,
            PeerAccess(dependencies.network, self._table),
            table,
            decode=dependencies.decode_instance,
            clock=dependencies.clock,
            source=dependencies.source,
            on_gone=self._selection.forget,
        )
        self.forwarder = Forwarder(
            admission=Admission(
                self.configuration,
                FreshnessLimits(settings.denial_age_s, settings.key_age_s),
                dependencies.clock,
            ),
            selection=self._selection,
            budgets=RetryBudgets(
                RetryBudgetSettings(
                    settings.retry_ratio,
                    settings.retry_allowance,
                    settings.retry_window_s,
                    settings.expected_hosts,
                ),
                dependencies.clock,
                lambda: self._table.count_reachable() + 1,
            ),
            metrics=self.metrics,
            client=dependencies.client,
            clock=dependencies.clock,
            source=dependencies.source,
            on_begin=None if self.duties is None else self.duties.note_begin,
        )
