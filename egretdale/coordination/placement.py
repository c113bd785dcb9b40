"""Placement of models: orders to engines to load a model and adapter."""

from __future__ import annotations

import eventlet

from egretdale.coordination.backends import BackendDirectory
from egretdale.coordination.leases import Lease
from egretdale.coordination.ports import EngineOrder, OrderSender, Platform
from egretdale.state.members import find_owner
from egretdale.state.members import MemberTable
from egretdale.coordination.replica import DocumentReplica
from egretdale.state.backends import BackendAddress
from egretdale.state.documents import Placement, ServiceDocument
from egretdale.util.buckets import TokenBucket
from egretdale.util.clocks import Clock
from egretdale.util.hashing import rank_by_rendezvous
from egretdale.util.logs import get_logger

logger = get_logger(__name__)

_PERIOD_S = 2.0
#: Rate and burst of the orders of one service.
_LOADS_PER_S = 0.5
_LOADS_BURST = 2.0
_LEASE_S = 10.0
#: Wait in seconds of a new lease holder before it sends orders to engines that
#: do not check fencing tokens: the assumed longest pause of an old holder.
_SETTLING_S = 30.0


class PlacementManager:
    """Places the models of one service while it holds the service's lease.

    Engines that do not check fencing tokens get an order only right after
    the lease has been read back, and from a new holder only when an old one
    must have noticed that it lost the lease.
    """

    __slots__ = (
        '_backends',
        '_client',
        '_clock',
        '_held_since',
        '_lease',
        '_loads',
        '_placed',
        '_replica',
        '_settling_s',
        'service',
    )

    def __init__(
        self,
        service: str,
        lease: Lease,
        replica: DocumentReplica,
        backends: BackendDirectory,
        client: OrderSender,
        *,
        clock: Clock,
        settling_s: float,
    ) -> None:
        """Create a manager that has sent no orders.

        :param service: service name.
        :param lease: lease of the service's placement.
        :param replica: documents in force.
        :param backends: directory of backend servers.
        :param client: sender of orders.
        :param clock: monotonic clock.
        :param settling_s: seconds that a new holder waits before it sends
            orders to engines that do not check fencing tokens; an old holder
            must not be paused for longer.
        """
        self.service = service
        self._lease = lease
        self._replica = replica
        self._backends = backends
        self._client = client
        self._clock = clock
        self._settling_s = settling_s
        self._held_since: float | None = None
        self._placed: dict[str, EngineOrder] = {}
        self._loads = TokenBucket(_LOADS_PER_S, _LOADS_BURST, clock)

    def step(self) -> None:
        """Renew the lease and send the orders that are missing."""
        if not self._lease.renew():
            self._held_since = None
            self._placed.clear()
            return
        if self._held_since is None:
            self._held_since = self._clock()
        in_force = self._replica.find(self.service)
        if in_force is None:
            return
        document = in_force.document
        for entry, placement in self._plan(document):
            self._place(document, entry, placement)

    def stop(self) -> None:
        """Release the lease."""
        self._lease.release()

    def _plan(
        self, document: ServiceDocument
    ) -> list[tuple[BackendAddress, Placement]]:
        free = {
            entry.name: entry
            for entry in self._backends.list_backends(self.service)
            if not entry.leaving
        }
        plan = []
        for placement in document.placement:
            # The version is not hashed, so a new one stays on its engines.
            ranked = rank_by_rendezvous(
                f'{placement.model}/{placement.adapter}', free
            )
            for name in ranked[: placement.engines]:
                plan.append((free.pop(name), placement))
        return plan

    def _place(
        self,
        document: ServiceDocument,
        entry: BackendAddress,
        placement: Placement,
    ) -> None:
        order = EngineOrder(
            placement.model,
            placement.adapter,
            placement.version,
            self._lease.fencing,
        )
        key = f'{entry.name}/{entry.incarnation}'
        if self._placed.get(key) == order:
            return
        if not self._may_order(document, entry):
            return
        taken = self._client.send_order(entry.address, order)
        logger.info(
            'placement-order',
            service=self.service,
            backend=entry.name,
            model=order.model,
            version=order.version,
            fencing=order.fencing,
            taken=taken,
        )
        if taken:
            self._placed[key] = order

    def _may_order(
        self, document: ServiceDocument, entry: BackendAddress
    ) -> bool:
        if entry.name in document.ignores_fencing:
            held_s = self._clock() - (self._held_since or self._clock())
            if held_s < self._settling_s or not self._lease.confirm():
                return False
        return self._lease.is_held() and self._loads.take()


class PlacementSupervisor:
    """Runs a placement manager for each service that this host owns.

    The membership names one owner for each service, so that other hosts need
    not ask the platform; the lease decides between hosts that disagree.
    """

    __slots__ = (
        '_backends',
        '_client',
        '_clock',
        '_managers',
        '_platform',
        '_process',
        '_replica',
        '_table',
    )

    def __init__(
        self,
        process: str,
        table: MemberTable,
        platform: Platform,
        replica: DocumentReplica,
        backends: BackendDirectory,
        client: OrderSender,
        *,
        clock: Clock,
    ) -> None:
        """Create a supervisor without managers.

        :param process: identity of this process.
        :param table: view of the entry hosts.
        :param platform: object API that stores the leases.
        :param replica: documents in force.
        :param backends: directory of backend servers.
        :param client: sender of orders.
        :param clock: monotonic clock.
        """
        self._process = process
        self._table = table
        self._platform = platform
        self._replica = replica
        self._backends = backends
        self._client = client
        self._clock = clock
        self._managers: dict[str, PlacementManager] = {}

    def run(self) -> None:
        """Place the models of this host's services in a loop."""
        while True:
            eventlet.sleep(_PERIOD_S)
            for service in self._replica.list_services():
                in_force = self._replica.find(service)
                if in_force is not None and in_force.document.placement:
                    self._step(service)

    def _step(self, service: str) -> None:
        owner = find_owner(self._table, f'placement/{service}')
        if owner == self._table.own_host:
            self._find_or_create(service).step()
            return
        manager = self._managers.pop(service, None)
        if manager is not None:
            manager.stop()

    def _find_or_create(self, service: str) -> PlacementManager:
        manager = self._managers.get(service)
        if manager is None:
            lease = Lease(
                f'placement-{service}',
                self._process,
                self._platform,
                clock=self._clock,
                lifetime_s=_LEASE_S,
            )
            manager = PlacementManager(
                service,
                lease,
                self._replica,
                self._backends,
                self._client,
                clock=self._clock,
                settling_s=_SETTLING_S,
            )
            self._managers[service] = manager
        return manager
