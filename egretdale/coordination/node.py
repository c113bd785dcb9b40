"""One entry host: its coordination components and their tasks."""

from __future__ import annotations

import random
from dataclasses import dataclass

import eventlet

from egretdale.config import Settings
from egretdale.coordination.allocators import AllocatorManager
from egretdale.coordination.attempts import AttemptManager, ContinuationBuilder
from egretdale.coordination.backends import BackendDirectory
from egretdale.coordination.claims import ClaimClient
from egretdale.coordination.keys import KeyIssuer
from egretdale.coordination.membership_factory import create_membership
from egretdale.coordination.mesh import Mesh
from egretdale.coordination.placement import PlacementSupervisor
from egretdale.coordination.ports import BackendClient, Network, Platform
from egretdale.coordination.replica import DocumentReplica
from egretdale.coordination.routing import Router
from egretdale.coordination.slot_clients import SlotClients
from egretdale.coordination.submission import DocumentStore
from egretdale.state.metrics import DaemonMetrics
from egretdale.state.identity import RequestIdGenerator
from egretdale.state.members import MemberTable
from egretdale.state.messages import MemberUpdate
from egretdale.state.outcomes import Ran, Reason, Refused
from egretdale.util.clocks import Clock, WallClock, convert_to_ms
from egretdale.util.logs import get_logger
from egretdale.util.tasks import TaskGroup

logger = get_logger(__name__)

#: Longest wait in seconds for a peer to confirm the documents at the start.
_CONFIRMATION_S = 1.5
_WATCHDOG_PERIOD_S = 0.25
#: Duration of a watchdog period in seconds above which the process counts as
#: having been paused.
_PAUSE_LIMIT_S = 1.5
_JOINING_CHECK_S = 0.05
_ISOLATED_RETRY_S = 5.0
_STARTING_RETRY_S = 1.0


@dataclass(slots=True, frozen=True)
class NodeDependencies:
    """Injected objects through which an entry host reaches the outside.

    :ivar platform: object API.
    :ivar network: calls to peers.
    :ivar client: calls to backend servers.
    :ivar clock: monotonic clock.
    :ivar wall_clock: calendar clock.
    :ivar source: random source.
    :ivar continue_body: builds the request body that continues a stream.
    """

    platform: Platform
    network: Network
    client: BackendClient
    clock: Clock
    wall_clock: WallClock
    source: random.Random
    continue_body: ContinuationBuilder


class Node:
    """The coordination components of one entry host.

    :ivar settings: settings of the host.
    :ivar dependencies: injected objects.
    :ivar metrics: metrics of the daemon.
    :ivar table: member table of the entry hosts.
    :ivar mesh: links to peers.
    :ivar membership: membership protocol of the entry hosts.
    :ivar replica: documents in force.
    :ivar documents: store that documents are submitted to.
    :ivar backends: directory of backend servers.
    :ivar allocators: allocators on this host.
    :ivar slots: slot clients of this host.
    :ivar issuer: issuer of idempotency keys.
    :ivar claims: claims on idempotency keys.
    :ivar router: routing of requests.
    :ivar request_ids: generator of request identifiers.
    :ivar placement: placement of models on engines.
    """

    __slots__ = (
        'allocators',
        'backends',
        'claims',
        'dependencies',
        'documents',
        'issuer',
        'membership',
        'mesh',
        'metrics',
        'placement',
        'replica',
        'request_ids',
        'router',
        'settings',
        'slots',
        'table',
    )

    def __init__(
        self, settings: Settings, dependencies: NodeDependencies
    ) -> None:
        """Create the components of a host.

        :param settings: settings of the host.
        :param dependencies: injected objects.
        """
        self.settings = settings
        self.dependencies = dependencies
        self.metrics = DaemonMetrics()
        incarnation = convert_to_ms(dependencies.wall_clock())
        self.request_ids = RequestIdGenerator(settings.host, incarnation)
        self.table = MemberTable(settings.host)
        self._build_membership(incarnation)
        self._build_replicas()
        self._build_slots(incarnation)
        self._build_router(incarnation)

    def start(self, tasks: TaskGroup) -> None:
        """Start the tasks of the host.

        :param tasks: group that runs them.
        """
        tasks.start(self.membership.run_publishing)
        tasks.start(self.membership.run_probes)
        tasks.start(self.replica.run_watch)
        tasks.start(self.replica.run_resync)
        tasks.start(self.replica.run_fetch)
        tasks.start(self.replica.lost.run)
        tasks.start(self.backends.run_watch)
        tasks.start(self.backends.run_resync)
        tasks.start(self.allocators.run_ticks)
        tasks.start(self.allocators.run_polls)
        tasks.start(self.slots.run_sync)
        tasks.start(self.claims.run_settling)
        tasks.start(self.placement.run)
        tasks.start(self._run_watchdog)
        tasks.start(self._run_joining)

    def find_obstacle(self, service: str) -> Refused | None:
        """Check whether this host may accept new requests.

        :param service: service name.
        :return: the refusal to give, or ``None`` when it may.
        """
        if not self.replica.is_ready(_CONFIRMATION_S):
            return Refused(
                Reason.NO_DOCUMENT,
                Ran.NO,
                _STARTING_RETRY_S,
                'this host has not confirmed its documents yet',
            )
        if self.is_isolated():
            return Refused(
                Reason.HOST_ISOLATED,
                Ran.NO,
                _ISOLATED_RETRY_S,
                'this host reaches neither the platform nor other hosts',
            )
        return None

    def is_isolated(self) -> bool:
        """Tell whether contact with the platform and all peers is lost."""
        heard_at = self.membership.table.find_last_contact()
        if heard_at is None:
            return False
        last_contact_at = max(
            heard_at,
            self.backends.platform_seen_at,
            self.membership.platform_seen_at,
            self.replica.platform_seen_at or float(0),
        )
        silent_s = self.dependencies.clock() - last_contact_at
        return silent_s > self.settings.isolation_s

    def resume_after_pause(self) -> None:
        """Discard state that may be stale after this process was paused."""
        wall_ms = convert_to_ms(self.dependencies.wall_clock())
        incarnation = max(self.membership.own.incarnation + 1, wall_ms)
        logger.warning('resumed-after-pause', incarnation=incarnation)
        self.allocators.reset()
        self.membership.rejoin(incarnation)

    def _run_joining(self) -> None:
        while not self.replica.is_ready(_CONFIRMATION_S):
            eventlet.sleep(_JOINING_CHECK_S)
        self.membership.join()

    def _run_watchdog(self) -> None:
        clock = self.dependencies.clock
        while True:
            before = clock()
            eventlet.sleep(_WATCHDOG_PERIOD_S)
            if clock() - before > _PAUSE_LIMIT_S:
                self.resume_after_pause()

    def _build_membership(self, incarnation: int) -> None:
        settings = self.settings
        dependencies = self.dependencies
        self.mesh = Mesh(
            self.table,
            dependencies.network,
            dependencies.clock,
            settings.peer_bytes_per_s,
        )
        self.membership = create_membership(
            settings, dependencies, self.mesh, incarnation=incarnation
        )
        for seed in settings.seeds:
            if seed.host != settings.host:
                self.membership.learn(
                    MemberUpdate(seed.host, 0, 0, 0, '', '', seed.peer_address)
                )

    def _build_replicas(self) -> None:
        dependencies = self.dependencies
        self.replica = DocumentReplica(
            dependencies.platform,
            dependencies.network,
            self.table,
            clock=dependencies.clock,
            source=dependencies.source,
            on_change=self._refresh,
        )
        self.documents = DocumentStore(
            dependencies.platform, dependencies.wall_clock
        )
        self.backends = BackendDirectory(
            dependencies.platform,
            clock=dependencies.clock,
            source=dependencies.source,
            on_change=self._refresh,
        )

    def _build_slots(self, incarnation: int) -> None:
        dependencies = self.dependencies
        self.allocators = AllocatorManager(
            self.mesh,
            self.replica,
            self.backends,
            dependencies.client,
            clock=dependencies.clock,
            source=dependencies.source,
            term=incarnation,
        )
        self.slots = SlotClients(
            self.mesh,
            self.allocators,
            dependencies.client,
            clock=dependencies.clock,
            source=dependencies.source,
        )
        self.placement = PlacementSupervisor(
            f'{self.settings.host}.{incarnation:x}',
            self.table,
            dependencies.platform,
            self.replica,
            self.backends,
            dependencies.client,
            clock=dependencies.clock,
        )
        self.mesh.attach_handler(self.allocators.handle)
        for listener in (
            self.membership,
            self.replica,
            self.backends,
            self.slots,
        ):
            self.mesh.add_listener(listener)

    def _build_router(self, incarnation: int) -> None:
        dependencies = self.dependencies
        self.issuer = KeyIssuer(
            self.settings.host, incarnation, dependencies.clock
        )
        self.claims = ClaimClient(
            self.issuer,
            self.table,
            dependencies.network,
            dependencies.platform,
            dependencies.clock,
        )
        attempts = AttemptManager(
            backends=self.backends,
            slots=self.slots,
            claims=self.claims,
            client=dependencies.client,
            metrics=self.metrics,
            clock=dependencies.clock,
            continue_body=dependencies.continue_body,
            first_byte_limit_s=self.settings.first_byte_timeout_s,
        )
        self.router = Router(
            replica=self.replica,
            attempts=attempts,
            claims=self.claims,
            table=self.table,
            metrics=self.metrics,
            guard=self.find_obstacle,
        )

    def _refresh(self) -> None:
        # The first documents may arrive before the allocators exist.
        allocators: AllocatorManager | None = getattr(self, 'allocators', None)
        if allocators is not None:
            allocators.refresh()
