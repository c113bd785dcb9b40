"""One host that forwards requests: its parts and the tasks that drive them."""

from __future__ import annotations

import random
from dataclasses import dataclass, replace

import eventlet

from egretdale.config import GatewaySettings
from egretdale.coordination.admission import Admission, FreshnessLimits
from egretdale.coordination.budgets import RetryBudgets, RetryBudgetSettings
from egretdale.coordination.configuration import (
    ConfigurationFollower,
    RoutingDecoder,
)
from egretdale.coordination.copies import PeerAccess
from egretdale.coordination.counting import CountedPlatform
from egretdale.coordination.exchanges import ForwardClient
from egretdale.coordination.forwarding import Forwarder
from egretdale.coordination.instances import (
    INSTANCE_KIND,
    LAPSE_S,
    InstanceDecoder,
    InstanceFollower,
)
from egretdale.coordination.joining import create_membership
from egretdale.coordination.mesh import Mesh
from egretdale.coordination.backend_choice import BackendChooser
from egretdale.coordination.ports import Network, Platform
from egretdale.coordination.prefill import PrefillAllocator
from egretdale.coordination.prefill_client import PrefillClient
from egretdale.state.gateway_metrics import GatewayMetrics
from egretdale.state.instances import Instance, InstanceTable
from egretdale.state.loads import LoadTable
from egretdale.state.members import MemberStatus, MemberTable
from egretdale.state.messages import (
    ChangeAsk,
    Changes,
    DocumentCopy,
)
from egretdale.state.routing import CallerLimits
from egretdale.util.clocks import Clock, WallClock, convert_to_ms
from egretdale.util.tasks import TaskGroup

_JOINING_CHECK_S = 0.05
#: Statuses of hosts that callers are sent to, the preferred ones first.
_OFFERED = (MemberStatus.ALIVE, MemberStatus.SUSPECT, MemberStatus.LEAVING)


@dataclass(slots=True, frozen=True)
class GatewaySurroundings:
    """The world outside as a forwarding host sees it.

    :ivar platform: object API.
    :ivar network: calls to peers.
    :ivar client: calls to backend servers.
    :ivar clock: monotonic clock that counts suspension.
    :ivar wall_clock: calendar clock.
    :ivar source: random source.
    :ivar decode_routing: decodes the configuration.
    :ivar decode_instance: decodes the entry of a backend server.
    """

    platform: Platform
    network: Network
    client: ForwardClient
    clock: Clock
    wall_clock: WallClock
    source: random.Random
    decode_routing: RoutingDecoder
    decode_instance: InstanceDecoder


class Gateway:
    """The coordination parts of a host that forwards requests.

    :ivar settings: settings of the host.
    :ivar mesh: links to peers.
    :ivar membership: membership of the hosts.
    :ivar configuration: configuration in force.
    :ivar instances: backend servers.
    :ivar forwarder: forwards requests.
    :ivar metrics: metrics.
    """

    __slots__ = (
        '_allocator',
        '_outside',
        '_chooser',
        '_prompts',
        '_table',
        'configuration',
        'metrics',
        'forwarder',
        'instances',
        'membership',
        'mesh',
        'settings',
    )

    def __init__(
        self, settings: GatewaySettings, outside: GatewaySurroundings
    ) -> None:
        """Build the parts of a host.

        :param settings: settings of the host.
        :param outside: the world outside.
        """
        self.settings = settings
        self.metrics = GatewayMetrics()
        counted = CountedPlatform(outside.platform, self.metrics)
        outside = replace(outside, platform=counted)
        self._outside = outside
        self._table = MemberTable(settings.host)
        self.mesh = Mesh(
            self._table,
            outside.network,
            outside.clock,
            settings.peer_bytes_per_s,
        )
        self.membership = create_membership(
            settings,
            outside,
            self.mesh,
            incarnation=convert_to_ms(outside.wall_clock()),
            capacity=settings.capacity,
        )
        for seed in settings.seeds:
            self.membership.learn_seed(seed)
        self.configuration = ConfigurationFollower(
            outside.platform,
            PeerAccess(outside.network, self._table),
            decode=outside.decode_routing,
            clock=outside.clock,
            source=outside.source,
        )
        self._build_forwarder()
        self.mesh.add_listener(self.membership)
        self.mesh.add_listener(self.configuration)
        self.mesh.add_listener(self.instances)
        self.mesh.add_listener(self._prompts)
        self.mesh.attach_handler(self._allocator.handle)
        self._watch_metrics()

    def start(self, tasks: TaskGroup) -> None:
        """Start the tasks of the host.

        :param tasks: group that they belong to.
        """
        tasks.start(self.configuration.run_watch)
        tasks.start(self.instances.run_watch)
        tasks.start(self.instances.run_expiry)
        tasks.start(self.membership.run_publishing)
        tasks.start(self.membership.run_probes)
        tasks.start(self._run_joining)

    def is_ready(self) -> bool:
        """Tell whether this host takes new requests."""
        ready = self.configuration.table is not None
        return ready and not self.membership.is_leaving()

    def limits(self) -> CallerLimits:
        """Return the limits on what callers may send."""
        table = self.configuration.table
        return CallerLimits() if table is None else table.limits

    def list_addresses(self) -> list[str]:
        """List the addresses that callers may connect to.

        :return: addresses of serving hosts; those that did not answer lately
            only when there are no others, then those that are leaving.
        """
        by_status: dict[MemberStatus, list[str]] = {}
        for member in self._table.list_members():
            address = member.update.caller_address
            if address:
                by_status.setdefault(member.status, []).append(address)
        for status in _OFFERED:
            if status in by_status:
                return by_status[status]
        return []

    def copy(self, kind: str) -> DocumentCopy:
        """Return a copy of stored state for a peer.

        :param kind: kind of the state.
        :return: the copy, revision 0 when there is none.
        """
        if kind == INSTANCE_KIND:
            return self.instances.copy()
        return self.configuration.copy(kind)

    def follow(self, ask: ChangeAsk) -> Changes:
        """Answer a host that waits for changes in the platform.

        :param ask: its question.
        :return: the changes.
        """
        if ask.kind == INSTANCE_KIND:
            return self.instances.relay.answer(ask)
        return self.configuration.relay.answer(ask)

    def _watch_metrics(self) -> None:
        self.metrics.add_gauge(
            'configuration_age_seconds',
            'Seconds since the configuration was known to be the newest',
            self.configuration.confirmation.measure_age,
        )
        self.metrics.add_gauge(
            'configuration_version',
            'Version of the configuration in force',
            lambda: self.configuration.version,
        )
        self.metrics.add_gauge(
            'backend_servers',
            'Backend servers in the list',
            self.instances.table.count,
        )
        self.metrics.add_gauge(
            'peer_bytes',
            'Bytes sent to peers',
            lambda: self.mesh.sent_bytes,
        )

    def _run_joining(self) -> None:
        while self.configuration.table is None:
            eventlet.sleep(_JOINING_CHECK_S)
        self.membership.join()

    def _forget(self, instance: Instance) -> None:
        self._chooser.forget(instance)
        self._allocator.forget(instance)

    def _build_forwarder(self) -> None:
        settings = self.settings
        outside = self._outside
        loads = LoadTable(outside.clock)
        table = InstanceTable(outside.clock, LAPSE_S)
        chooser = BackendChooser(table, loads, outside.clock)
        self._allocator = PrefillAllocator(self.mesh, table, outside.clock)
        self._chooser = chooser
        self._prompts = PrefillClient(
            self.mesh,
            self._allocator,
            table,
            outside.clock,
            self.metrics.silent_allocators,
        )
        self.instances = InstanceFollower(
            outside.platform,
            PeerAccess(outside.network, self._table),
            table,
            decode=outside.decode_instance,
            clock=outside.clock,
            source=outside.source,
            on_gone=self._forget,
        )
        self.forwarder = Forwarder(
            admission=Admission(
                self.configuration,
                FreshnessLimits(settings.denial_age_s, settings.key_age_s),
                outside.clock,
            ),
            chooser=chooser,
            loads=loads,
            budgets=RetryBudgets(
                RetryBudgetSettings(
                    settings.retry_ratio,
                    settings.retry_allowance,
                    settings.retry_window_s,
                    settings.expected_hosts,
                ),
                outside.clock,
                lambda: self._table.count_reachable() + 1,
            ),
            prompts=self._prompts,
            metrics=self.metrics,
            client=outside.client,
            clock=outside.clock,
            source=outside.source,
        )
