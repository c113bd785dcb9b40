"""Baseline policies of slot allocation, to compare the product with."""

from __future__ import annotations

import random
from types import MappingProxyType
from typing import Self

import eventlet

from egretdale.coordination.allocation import GroupAllocator
from egretdale.coordination.node import Node
from egretdale.coordination.slot_clients import SlotClients
from egretdale.coordination.slot_client import ActiveSlot, SlotClient
from egretdale.errors import Unreachable
from egretdale.state.messages import Ask, Denial
from egretdale.state.order import Choice, WaitingOrder
from egretdale.state.queues import WaitingRequest
from egretdale.state.outcomes import Reason

_POLL_S = 1.0
_QUEUE_POLL_S = 0.02


class ProductClients(SlotClients):
    """Allocates slots as the product does."""

    __slots__ = ()

    @classmethod
    def for_node(cls, node: Node) -> SlotClients:
        """Return the slot clients that the node already has.

        :param node: the node.
        :return: its slot clients.
        """
        return node.slots


class StaticSharesClients(SlotClients):
    """Gives each entry host a fixed share of every backend server."""

    __slots__ = ()

    @classmethod
    def for_node(cls, node: Node) -> SlotClients:
        """Make the node's slot clients use the host's own share only.

        :param node: the node.
        :return: its slot clients.
        """
        return _replace_client_class(node, _OwnShareClient)


class _OwnShareClient(SlotClient):
    """A slot client that never asks another host's allocator."""

    __slots__ = ()

    def _choose_owner(self) -> str:
        return ''


class FifoClients(SlotClients):
    """Serves each group first come, first served and refuses nothing."""

    __slots__ = ()

    @classmethod
    def for_node(cls, node: Node) -> SlotClients:
        """Make the node create first-come, first-served allocators.

        :param node: the node.
        :return: its slot clients.
        """
        node.allocators.allocator_class = FifoAllocator
        return node.slots


class _FifoOrder(WaitingOrder):
    """Orders requests by arrival only."""

    __slots__ = ()

    def list_candidates(self, now: float) -> list[Choice]:
        """List the request that arrived first."""
        waiting = self.list_waiting()
        if not waiting:
            return []
        first = min(waiting, key=_read_arrival)
        return [Choice(first, minimum_share=False)]


class FifoAllocator(GroupAllocator):
    """An allocator that ignores tiers."""

    __slots__ = ()

    def __init__(self, *arguments: object, **named: object) -> None:
        """Create the allocator as the product does."""
        super().__init__(*arguments, **named)
        self._order = _FifoOrder(self.document)

    def estimate_wait(self, waiting: WaitingRequest) -> float:
        """Estimate no wait, so that every request is admitted."""
        return float(0)

    def _pause_for(self, choice: Choice) -> None:
        """Pause no running request."""


def _read_arrival(waiting: WaitingRequest) -> float:
    return waiting.arrival


class _HostView:
    """What one entry host knows of the engines without other hosts.

    :ivar node: the node of the host.
    :ivar service: service name.
    :ivar in_flight: requests that this host has in flight, by backend server.
    :ivar reported: running and waiting requests as last reported, by backend
        server.
    :ivar since: requests that this host sent since that report, by backend
        server.
    """

    __slots__ = ('in_flight', 'node', 'reported', 'service', 'since')

    def __init__(self, node: Node, service: str) -> None:
        self.node = node
        self.service = service
        self.in_flight: dict[str, int] = {}
        self.reported: dict[str, int] = {}
        self.since: dict[str, int] = {}

    def list_names(self) -> list[str]:
        """List the backend servers that accept new requests."""
        return [
            entry.name
            for entry in self.node.backends.list_backends(self.service)
            if not entry.leaving
        ]

    def run_polls(self) -> None:
        """Poll the load reports of all backend servers forever."""
        client = self.node.dependencies.client
        while True:
            for entry in self.node.backends.list_backends(self.service):
                report = client.read_load(entry.address)
                if isinstance(report, Unreachable):
                    self.reported[entry.name] = 10**6
                    continue
                self.reported[entry.name] = report.running + report.waiting
                self.since[entry.name] = 0
            eventlet.sleep(_POLL_S)


class IndependentClient:
    """Chooses by load reports, which lag, and by the requests sent since.

    :ivar load_permille: always 0, as this baseline has no groups.
    """

    __slots__ = ('_limit', '_view', 'load_permille')

    capped = True

    def __init__(self, view: _HostView, limit: int) -> None:
        """Create a client.

        :param view: what the host knows of the engines.
        :param limit: requests that a backend server may run at once.
        """
        self._view = view
        self._limit = limit
        self.load_permille = 0

    def acquire(
        self, ask: Ask, arrival: float, patience_s: float
    ) -> ActiveSlot | Denial:
        """Wait until some backend server appears to have a free slot."""
        clock = self._view.node.dependencies.clock
        while clock() - arrival < patience_s:
            name = self._choose(ask)
            if name is not None:
                self._view.in_flight[name] = self._count_in_flight(name) + 1
                self._view.since[name] = self._view.since.get(name, 0) + 1
                return ActiveSlot(ask, arrival, name, clock())
            eventlet.sleep(_QUEUE_POLL_S)
        return Denial(ask.request_id, Reason.PATIENCE_EXCEEDED, 2000)

    def adopt(self, ask: Ask, backend: str) -> ActiveSlot:
        """Take over the slot of a stream whose entry host is gone."""
        now = self._view.node.dependencies.clock()
        self._view.in_flight[backend] = self._count_in_flight(backend) + 1
        return ActiveSlot(ask, now, backend, now)

    def release(self, active: ActiveSlot, *, whole: bool, failed: bool) -> None:
        """Release a slot."""
        self._view.in_flight[active.backend] -= 1

    def _count_in_flight(self, name: str) -> int:
        return self._view.in_flight.get(name, 0)

    def _estimate_load(self, name: str) -> int:
        reported = self._view.reported.get(name, 0)
        return reported + self._view.since.get(name, 0)

    def _choose(self, ask: Ask) -> str | None:
        names = [
            name for name in self._view.list_names() if name not in ask.avoided
        ]
        best = min(names, key=self._estimate_load, default=None)
        if best is None:
            return None
        if self.capped and self._estimate_load(best) >= self._limit:
            return None
        return best


class LeastConnectionsClient(IndependentClient):
    """Chooses the fewest requests in flight from this host, without limit."""

    __slots__ = ()

    capped = False

    def _estimate_load(self, name: str) -> int:
        return self._count_in_flight(name)


class IndependentClients(SlotClients):
    """Lets each entry host decide by itself on lagging load reports."""

    __slots__ = ('_node', '_own_clients')

    own_client_class: type[IndependentClient] = IndependentClient

    @classmethod
    def for_node(cls, node: Node) -> Self:
        """Create slot clients that ask no other host.

        :param node: the node.
        :return: the slot clients.
        """
        clients = cls(
            node.mesh,
            node.allocators,
            node.dependencies.client,
            clock=node.dependencies.clock,
            source=random.Random(1),
        )
        clients._node = node  # noqa: SLF001
        clients._own_clients = {}  # noqa: SLF001
        return clients

    def choose(self, service: str, groups: int) -> IndependentClient:
        """Return the client of a service."""
        client = self._own_clients.get(service)
        if client is None:
            view = _HostView(self._node, service)
            in_force = self._node.replica.find(service)
            limit = in_force.document.backend_concurrency if in_force else 1
            client = self.own_client_class(view, limit)
            self._own_clients[service] = client
            eventlet.spawn(view.run_polls)
        return client


class LeastConnectionsClients(IndependentClients):
    """Lets each entry host decide by its own requests in flight."""

    __slots__ = ()

    own_client_class = LeastConnectionsClient


def _replace_client_class(
    node: Node, client_class: type[SlotClient]
) -> SlotClients:
    clients = node.slots
    clients.client_class = client_class
    return clients


#: Policies of slot allocation by name; the first is the product's.
POLICIES = MappingProxyType(
    {
        'product': ProductClients,
        'alone': IndependentClients,
        'least-connections': LeastConnectionsClients,
        'static-shares': StaticSharesClients,
        'fifo': FifoClients,
    }
)
