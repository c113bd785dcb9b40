"""The slot clients of an entry host, one for each group."""

from __future__ import annotations

import random

import eventlet

from egretdale.coordination.allocators import AllocatorManager
from egretdale.coordination.mesh import Mesh, MeshListener
from egretdale.coordination.ports import BackendClient
from egretdale.coordination.slot_client import SlotClient
from egretdale.state.messages import Batch
from egretdale.util.clocks import Clock

_SYNC_S = 1.0


class SlotClients(MeshListener):
    """The slot clients of all groups on this host.

    :ivar client_class: class of the clients.
    """

    __slots__ = (
        '_allocators',
        '_backend_client',
        '_clients',
        '_clock',
        '_mesh',
        '_random',
        'client_class',
    )

    def __init__(
        self,
        mesh: Mesh,
        allocators: AllocatorManager,
        backend_client: BackendClient,
        *,
        clock: Clock,
        source: random.Random,
    ) -> None:
        """Create an empty set of clients.

        :param mesh: links to peers.
        :param allocators: allocators on this host, for the fallback.
        :param backend_client: client of the backend servers, for pausing.
        :param clock: monotonic clock.
        :param source: random source.
        """
        self._mesh = mesh
        self._allocators = allocators
        self._backend_client = backend_client
        self._clock = clock
        self._random = source
        self._clients: dict[str, SlotClient] = {}
        self.client_class: type[SlotClient] = SlotClient

    def choose(self, service: str, groups: int) -> SlotClient:
        """Choose the less loaded of two random groups of a service.

        :param service: service name.
        :param groups: number of groups.
        :return: its client.
        """
        indexes = range(groups)
        if groups > 2:
            indexes = self._random.sample(indexes, 2)
        clients = [self.open(f'{service}/{index}') for index in indexes]
        return min(clients, key=_read_load)

    def open(self, group: str) -> SlotClient:
        """Return the client of a group, created when it is new.

        :param group: group key.
        :return: the client.
        """
        client = self._clients.get(group)
        if client is None:
            client = self.client_class(
                group,
                self._mesh,
                self._allocators,
                self._backend_client,
                self._clock,
            )
            self._clients[group] = client
        return client

    def receive(self, batch: Batch) -> None:
        """Pass the decisions of allocators to the clients of their groups.

        :param batch: a batch from a peer.
        """
        for reply in batch.replies:
            self.open(reply.group).handle_reply(reply)

    def count(self) -> int:
        """Count the requests that wait or hold a slot."""
        return sum(client.count() for client in self._clients.values())

    def clear(self) -> None:
        """Drop all slots, after this process was paused."""
        for client in self._clients.values():
            client.clear()

    def run_sync(self) -> None:
        """Report the state at regular intervals, as messages may be lost."""
        owner_checks = 10
        while True:
            for _ in range(owner_checks):
                eventlet.sleep(_SYNC_S / owner_checks)
                for client in list(self._clients.values()):
                    client.check_owner()
            for client in list(self._clients.values()):
                client.resume_overdue_streams()
                client.report_state_if_due()


def _read_load(client: SlotClient) -> int:
    return client.load_permille
