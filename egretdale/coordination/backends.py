"""Directory of backend servers: the platform's list and what hosts saw."""

from __future__ import annotations

import random
from collections.abc import Callable

import eventlet
import msgspec

from egretdale.coordination.mesh import MeshListener
from egretdale.coordination.ports import Listing, Platform
from egretdale.state.backends import BackendAddress
from egretdale.state.messages import BackendUpdate, Batch
from egretdale.util.clocks import Clock
from egretdale.util.hashing import rank_by_rendezvous
from egretdale.util.logs import get_logger

logger = get_logger(__name__)

BACKEND_KIND = 'backend-servers'

_WATCH_S = 20.0
_REREAD_S = 15.0
_RETRY_S = 1.0
_NEWS_REPEATS = 8
_RETRY_SPREAD = (0.5, 1.5)
_REREAD_SPREAD = (0.8, 1.2)


class ListedBackend(msgspec.Struct, frozen=True):
    """An entry of the platform's list of hosts.

    :ivar service: service that the backend server belongs to.
    :ivar address: ``address:port``.
    :ivar incarnation: incarnation, growing when the host is replaced.
    :ivar data_centre: data centre of the host.
    :ivar state: ``live`` or ``leaving``.
    """

    service: str
    address: str
    incarnation: int
    data_centre: str = ''
    state: str = 'live'


class BackendDirectory(MeshListener):
    """Knows the backend servers of every service.

    A backend server that is leaving stays so for its incarnation, however
    old the list is that says otherwise.

    :ivar listed_version: version of the newest list seen.
    """

    __slots__ = (
        '_clock',
        '_groups',
        '_known',
        '_leaving',
        '_news',
        '_on_change',
        '_platform',
        '_random',
        'listed_version',
        'seen_at',
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
        self.listed_version = 0
        self.seen_at = float('-inf')
        self._platform = platform
        self._clock = clock
        self._random = source
        self._on_change = on_change
        self._known: dict[str, BackendAddress] = {}
        self._groups: dict[str, list[list[BackendAddress]]] = {}
        self._leaving: dict[str, BackendUpdate] = {}
        self._news: dict[str, int] = {}

    def list_backends(self, service: str) -> list[BackendAddress]:
        """List the backend servers of a service, leaving ones too.

        :param service: service name.
        :return: addresses with ``leaving`` as far as known here.
        """
        return [
            self._mark(address)
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
        ranked = self._groups.get(key)
        if ranked is None:
            ranked = self._rank_groups(service, groups)
            self._groups[key] = ranked
        return [self._mark(address) for address in ranked[index]]

    def _rank_groups(
        self, service: str, groups: int
    ) -> list[list[BackendAddress]]:
        names = [str(number) for number in range(groups)]
        ranked: list[list[BackendAddress]] = [[] for _ in names]
        for address in self._known.values():
            if address.service == service:
                key = f'{service}/{address.name}'
                first = rank_by_rendezvous(key, names)[0]
                ranked[int(first)].append(address)
        return ranked

    def find(self, name: str) -> BackendAddress | None:
        """Find a backend server by name.

        :param name: name of the backend server.
        :return: its address, or ``None``.
        """
        address = self._known.get(name)
        return None if address is None else self._mark(address)

    def note_leaving(self, name: str) -> None:
        """Note that a backend server itself says that it is leaving.

        :param name: name of the backend server.
        """
        address = self._known.get(name)
        if address is None:
            return
        update = BackendUpdate(
            address.service, name, address.incarnation, leaving=True
        )
        self._learn(update)

    def fill(self, host: str, batch: Batch) -> None:
        """Add news about backend servers to a batch.

        :param host: receiving host.
        :param batch: the batch.
        """
        for name in list(self._news):
            batch.backends.append(self._leaving[name])
            self._news[name] -= 1
            if self._news[name] <= 0:
                self._news.pop(name)

    def receive(self, batch: Batch) -> None:
        """Take in news about backend servers.

        :param batch: a batch from a peer.
        """
        for update in batch.backends:
            self._learn(update)

    def run_watch(self) -> None:
        """Follow the platform's list."""
        while True:
            outcome = self._platform.watch(
                BACKEND_KIND, self.listed_version, _WATCH_S
            )
            if isinstance(outcome, Listing):
                self.apply_listing(outcome)
            else:
                eventlet.sleep(_RETRY_S * self._random.uniform(*_RETRY_SPREAD))

    def run_reread(self) -> None:
        """Read the list at a slow period, as a watch may be silent."""
        while True:
            eventlet.sleep(_REREAD_S * self._random.uniform(*_REREAD_SPREAD))
            outcome = self._platform.list_objects(BACKEND_KIND)
            if isinstance(outcome, Listing):
                self.apply_listing(outcome)

    def apply_listing(self, listing: Listing) -> None:
        """Take in a list of the platform.

        :param listing: the list; an old one changes nothing.
        """
        self.seen_at = self._clock()
        if listing.version <= self.listed_version:
            return
        self.listed_version = listing.version
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

    def _learn(self, update: BackendUpdate) -> None:
        previous = self._leaving.get(update.name)
        if previous and previous.incarnation >= update.incarnation:
            return
        if not update.leaving:
            return
        self._leaving[update.name] = update
        self._news[update.name] = _NEWS_REPEATS
        logger.info(
            'backend-leaving',
            backend=update.name,
            service=update.service_name,
            incarnation=update.incarnation,
        )
        self._on_change()

    def _mark(self, address: BackendAddress) -> BackendAddress:
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
    try:
        listed = msgspec.json.decode(body, type=ListedBackend)
    except msgspec.MsgspecError as malformed:
        logger.warning('backend-malformed', backend=name, error=str(malformed))
        return None
    return BackendAddress(
        listed.service,
        name,
        listed.address,
        listed.incarnation,
        listed.data_centre,
        leaving=listed.state == 'leaving',
    )
