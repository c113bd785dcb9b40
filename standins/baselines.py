"""Other ways to allocate slots, to compare with."""

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


class ProductDesk(SlotClients):
    """The product's own desk."""

    __slots__ = ()

    @classmethod
    def for_node(cls, node: Node) -> SlotClients:
        """Return the desk that the node has.

        :param node: the node.
        :return: its desk.
        """
        return node.slots


class StaticSharesDesk(SlotClients):
    """Gives each entry host a fixed share of every backend server."""

    __slots__ = ()

    @classmethod
    def for_node(cls, node: Node) -> SlotClients:
        """Create a desk that always uses the host's own share.

        :param node: the node.
        :return: its desk.
        """
        return _create_desk(node, _OwnShareClient)


class _OwnShareClient(SlotClient):
    """A client that never asks another host."""

    __slots__ = ()

    def _choose_owner(self) -> str:
        return ''


class FifoDesk(SlotClients):
    """One order for the group, first come first served, nothing refused."""

    __slots__ = ()

    @classmethod
    def for_node(cls, node: Node) -> SlotClients:
        """Return the desk that the node has, with other allocators.

        :param node: the node.
        :return: its desk.
        """
        node.allocators.allocator_class = FifoAllocator
        return node.slots


class _FifoOrder(WaitingOrder):
    """Orders by arrival alone."""

    __slots__ = ()

    def list_candidates(self, now: float) -> list[Choice]:
        """List the request that came first."""
        waiting = self.list_waiting()
        if not waiting:
            return []
        first = min(waiting, key=_read_arrival)
        return [Choice(first, minimum_share=False)]


class FifoAllocator(GroupAllocator):
    """An allocator without tiers."""

    __slots__ = ()

    def __init__(self, *arguments: object, **named: object) -> None:
        """Create the allocator as the product does."""
        super().__init__(*arguments, **named)
        self._order = _FifoOrder(self.document)

    def estimate_wait(self, waiting: WaitingRequest) -> float:
        """Admit everything."""
        return float(0)

    def _pause_for(self, choice: Choice) -> None:
        """Pause nothing."""


def _read_arrival(waiting: WaitingRequest) -> float:
    return waiting.arrival


class _OwnView:
    """What one entry host knows of the engines by itself."""

    __slots__ = ('in_flight', 'node', 'reported', 'service', 'since')

    def __init__(self, node: Node, service: str) -> None:
        self.node = node
        self.service = service
        self.in_flight: dict[str, int] = {}
        self.reported: dict[str, int] = {}
        self.since: dict[str, int] = {}

    def list_names(self) -> list[str]:
        """List the backend servers that take new work."""
        return [
            address.name
            for address in self.node.backends.list_backends(self.service)
            if not address.leaving
        ]

    def run_polls(self) -> None:
        """Read load reports."""
        client = self.node.dependencies.client
        while True:
            for address in self.node.backends.list_backends(self.service):
                report = client.read_load(address.address)
                if isinstance(report, Unreachable):
                    self.reported[address.name] = 10**6
                    continue
                self.reported[address.name] = report.running + report.waiting
                self.since[address.name] = 0
            eventlet.sleep(_POLL_S)


class AloneClient:
    """Chooses by lagged reports and what this host sent since.

    :ivar load_permille: unused.
    """

    __slots__ = ('_limit', '_view', 'load_permille')

    capped = True

    def __init__(self, view: _OwnView, limit: int) -> None:
        """Create a client.

        :param view: what the host knows.
        :param limit: requests that a backend server may run.
        """
        self._view = view
        self._limit = limit
        self.load_permille = 0

    def acquire(
        self, ask: Ask, arrival: float, patience_s: float
    ) -> ActiveSlot | Denial:
        """Wait until some backend server seems to have room."""
        clock = self._view.node.dependencies.clock
        while clock() - arrival < patience_s:
            name = self._choose(ask)
            if name is not None:
                self._view.in_flight[name] = self._own(name) + 1
                self._view.since[name] = self._view.since.get(name, 0) + 1
                return ActiveSlot(ask, arrival, name, clock())
            eventlet.sleep(_QUEUE_POLL_S)
        return Denial(ask.request_id, Reason.PATIENCE_EXCEEDED, 2000)

    def adopt(self, ask: Ask, backend: str) -> ActiveSlot:
        """Take over a slot whose holder has gone."""
        now = self._view.node.dependencies.clock()
        self._view.in_flight[backend] = self._own(backend) + 1
        return ActiveSlot(ask, now, backend, now)

    def release(self, active: ActiveSlot, *, whole: bool, failed: bool) -> None:
        """Give a slot back."""
        self._view.in_flight[active.backend] -= 1

    def _own(self, name: str) -> int:
        return self._view.in_flight.get(name, 0)

    def _estimate(self, name: str) -> int:
        reported = self._view.reported.get(name, 0)
        return reported + self._view.since.get(name, 0)

    def _choose(self, ask: Ask) -> str | None:
        names = [
            name for name in self._view.list_names() if name not in ask.avoided
        ]
        best = min(names, key=self._estimate, default=None)
        if best is None:
            return None
        if self.capped and self._estimate(best) >= self._limit:
            return None
        return best


class LeastConnectionsClient(AloneClient):
    """Chooses by this host's own requests in flight, without a limit."""

    __slots__ = ()

    capped = False

    def _estimate(self, name: str) -> int:
        return self._own(name)


class AloneDesk(SlotClients):
    """Each entry host alone on lagged load reports."""

    __slots__ = ('_node', '_own_clients')

    alone_class: type[AloneClient] = AloneClient

    @classmethod
    def for_node(cls, node: Node) -> Self:
        """Create a desk that asks no other host.

        :param node: the node.
        :return: its desk.
        """
        desk = cls(
            node.mesh,
            node.allocators,
            node.dependencies.client,
            clock=node.dependencies.clock,
            source=random.Random(1),
        )
        desk._node = node  # noqa: SLF001
        desk._own_clients = {}  # noqa: SLF001
        return desk

    def choose(self, service: str, groups: int) -> AloneClient:
        """Return the client of a service."""
        client = self._own_clients.get(service)
        if client is None:
            view = _OwnView(self._node, service)
            in_force = self._node.replica.find(service)
            limit = in_force.document.backend_concurrency if in_force else 1
            client = self.alone_class(view, limit)
            self._own_clients[service] = client
            eventlet.spawn(view.run_polls)
        return client


class LeastConnectionsDesk(AloneDesk):
    """Each entry host alone by its own connections."""

    __slots__ = ()

    alone_class = LeastConnectionsClient


def _create_desk(node: Node, client_class: type[SlotClient]) -> SlotClients:
    desk = node.slots
    desk.client_class = client_class
    return desk


#: Ways to allocate slots by name; the first is the product's.
POLICIES = MappingProxyType(
    {
        'product': ProductDesk,
        'alone': AloneDesk,
        'least-connections': LeastConnectionsDesk,
        'static-shares': StaticSharesDesk,
        'fifo': FifoDesk,
    }
)
