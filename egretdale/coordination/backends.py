"""Directory of backend servers, from the platform's list and from peers."""

from __future__ import annotations

import random
from collections.abc import Callable

import eventlet
import msgspec

from egretdale.coordination.mesh import MeshListener
from egretdale.coordination.ports import Listing, Platform, Position
from egretdale.errors import Invalid
from egretdale.state.backends import BackendAddress
from egretdale.state.messages import BackendUpdate, Batch
from egretdale.util.clocks import Clock
from egretdale.util.hashing import rank_by_rendezvous
from egretdale.util.json_text import decode_json
from egretdale.util.logs import get_logger

logger = get_logger(__name__)

BACKEND_KIND = 'backend-servers'

_WATCH_S = 20.0
_RESYNC_S = 15.0
_RETRY_S = 1.0
_UPDATE_REPEATS = 8
_RETRY_SPREAD = (0.5, 1.5)
_RESYNC_SPREAD = (0.8, 1.2)


class ListedBackend(msgspec.Struct, frozen=True):
    """An entry of the platform's list of backend servers.

    :ivar service: service that the backend server belongs to.
    :ivar address: ``address:port``.
    :ivar incarnation: number that grows when the backend server is replaced.
    :ivar data_centre: data centre of the backend server.
    :ivar state: ``live`` or ``leaving``.
    """

    service: str
    address: str
    incarnation: int
    data_centre: str = ''
    state: str = 'live'


class BackendDirectory(MeshListener):
    """Knows the backend servers of every service.

    A node uses this directory; a gateway uses
    :class:`egretdale.coordination.instances.InstanceFollower`.

    Once a backend server is known to be leaving, that holds for its whole
    incarnation, also when a stale list says otherwise.

    :ivar platform_seen_at: monotonic seconds of the last list received.
    """

    __slots__ = (
        '_clock',
        '_groups',
        '_known',
        '_leaving',
        '_listed',
        '_on_change',
        '_pending',
        '_platform',
        '_random',
        'platform_seen_at',
    )

    def __init__(
        self,
        platform: Platform,
        *,
        clock: Clock,
        source: random.Random,
        on_change: Callable[[], None],
    ) -> None:
        """Create an empty directory.

        :param platform: object API with the list.
        :param clock: monotonic clock.
        :param source: random source.
        :param on_change: called after each change.
        """
        self._listed: Position = (0, 0)
        self.platform_seen_at = float('-inf')
        self._platform = platform
        self._clock = clock
        self._random = source
        self._on_change = on_change
        self._known: dict[str, BackendAddress] = {}
        self._groups: dict[str, list[list[BackendAddress]]] = {}
        self._leaving: dict[str, BackendUpdate] = {}
        self._pending: dict[str, int] = {}

    def list_backends(self, service: str) -> list[BackendAddress]:
        """List the backend servers of a service, with those that are leaving.

        :param service: service name.
        :return: addresses, with ``leaving`` as known on this host.
        """
        return [
            self._apply_leaving(address)
            for address in self._known.values()
            if address.service == service
        ]

    def list_group(
        self, service: str, index: int, groups: int
    ) -> list[BackendAddress]:
        """List the backend servers of one group.

        :param service: service name.
        :param index: index of the group.
        :param groups: number of groups of the service.
        :return: addresses.
        """
        if groups == 1:
            return self.list_backends(service)
        key = f'{service}/{groups}'
        assigned = self._groups.get(key)
        if assigned is None:
            assigned = self._assign_groups(service, groups)
            self._groups[key] = assigned
        return [self._apply_leaving(address) for address in assigned[index]]

    def _assign_groups(
        self, service: str, groups: int
    ) -> list[list[BackendAddress]]:
        names = [str(number) for number in range(groups)]
        assigned: list[list[BackendAddress]] = [[] for _ in names]
        for address in self._known.values():
            if address.service == service:
                key = f'{service}/{address.name}'
                first = rank_by_rendezvous(key, names)[0]
                assigned[int(first)].append(address)
        return assigned

    def find(self, name: str) -> BackendAddress | None:
        """Find a backend server by name.

        :param name: name of the backend server.
        :return: its address, or ``None``.
        """
        address = self._known.get(name)
        return None if address is None else self._apply_leaving(address)

    def note_leaving(self, name: str) -> None:
        """Mark a backend server as leaving, as reported by itself.

        :param name: name of the backend server.
        """
        address = self._known.get(name)
        if address is None:
            return
        update = BackendUpdate(
            address.service, name, address.incarnation, leaving=True
        )
        self._apply_update(update)

    def fill(self, host: str, batch: Batch) -> None:
        """Add updates about leaving backend servers to a batch.

        :param host: receiving host.
        :param batch: the batch.
        """
        for name in list(self._pending):
            batch.backends.append(self._leaving[name])
            self._pending[name] -= 1
            if self._pending[name] <= 0:
                self._pending.pop(name)

    def receive(self, batch: Batch) -> None:
        """Apply the backend updates of a batch.

        :param batch: a batch from a peer.
        """
        for update in batch.backends:
            self._apply_update(update)

    def run_watch(self) -> None:
        """Watch the platform's list."""
        while True:
            outcome = self._platform.watch(
                BACKEND_KIND, self._listed[1], _WATCH_S
            )
            if isinstance(outcome, Listing):
                self.apply_listing(outcome)
            else:
                eventlet.sleep(_RETRY_S * self._random.uniform(*_RETRY_SPREAD))

    def run_resync(self) -> None:
        """Read the list periodically, as a watch may stall."""
        while True:
            eventlet.sleep(_RESYNC_S * self._random.uniform(*_RESYNC_SPREAD))
            outcome = self._platform.list_objects(BACKEND_KIND)
            if isinstance(outcome, Listing):
                self.apply_listing(outcome)

    def apply_listing(self, listing: Listing) -> None:
        """Apply a list of the platform.

        :param listing: the list; one that is not newer is ignored.
        """
        self.platform_seen_at = self._clock()
        if listing.position <= self._listed:
            return
        self._listed = listing.position
        known = {}
        for entry in listing.entries:
            address = _decode_entry(entry.name, entry.body)
            if address is not None:
                known[entry.name] = address
        if known == self._known:
            return
        self._known = known
        self._groups.clear()
        for address in known.values():
            if address.leaving:
                self.note_leaving(address.name)
        self._on_change()

    def _apply_update(self, update: BackendUpdate) -> None:
        previous = self._leaving.get(update.name)
        if previous and previous.incarnation >= update.incarnation:
            return
        if not update.leaving:
            return
        self._leaving[update.name] = update
        self._pending[update.name] = _UPDATE_REPEATS
        logger.info(
            'backend-leaving',
            backend=update.name,
            service=update.service_name,
            incarnation=update.incarnation,
        )
        self._on_change()

    def _apply_leaving(self, address: BackendAddress) -> BackendAddress:
        update = self._leaving.get(address.name)
        if update is None or update.incarnation < address.incarnation:
            return address
        return BackendAddress(
            address.service,
            address.name,
            address.address,
            address.incarnation,
            address.data_centre,
            leaving=True,
        )


def _decode_entry(name: str, body: bytes) -> BackendAddress | None:
    listed = decode_json(body, ListedBackend)
    if isinstance(listed, Invalid):
        logger.warning('backend-malformed', backend=name, error=listed.message)
        return None
    return BackendAddress(
        listed.service,
        name,
        listed.address,
        listed.incarnation,
        listed.data_centre,
        leaving=listed.state == 'leaving',
    )
