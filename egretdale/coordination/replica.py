"""The replica of the service documents on each host."""

from __future__ import annotations

import random
from collections.abc import Callable

import eventlet
from eventlet.event import Event

from egretdale.coordination.eras import create_token
from egretdale.coordination.mesh import MeshListener
from egretdale.coordination.ports import (
    Listing,
    Network,
    Platform,
    Position,
    StoredObject,
)
from egretdale.coordination.stored_documents import (
    DOCUMENT_KIND,
    ActiveDocument,
    LostDocuments,
    StoredDocument,
)
from egretdale.errors import Invalid
from egretdale.state.documents import (
    parse_document,
)
from egretdale.state.members import MemberStatus, MemberTable
from egretdale.state.messages import Batch, Revision
from egretdale.state.queries import DocumentCopy
from egretdale.util.clocks import Clock
from egretdale.util.json_text import decode_json
from egretdale.util.logs import get_logger

logger = get_logger(__name__)

_WATCH_S = 20.0
_RESYNC_S = 10.0
_RETRY_S = 0.5
_ANNOUNCEMENT_REPEATS = 8
_FETCH_PEERS = 3
_RESYNC_SPREAD = (0.8, 1.2)


class DocumentReplica(MeshListener):
    """Holds the newest known revision of each document.

    A revision is never replaced by a lower one. The host learns of a higher
    revision by a watch, by a periodic resync and from peers, and fetches its
    text from the platform or from a peer.

    :ivar lost: documents in force that a restored platform lacks.
    :ivar platform_seen_at: monotonic seconds of the last complete listing,
        ``None`` before the first one.
    """

    __slots__ = (
        '_announcements',
        '_clock',
        '_held',
        '_listed',
        '_network',
        '_on_change',
        '_peers_heard',
        '_platform',
        '_random',
        '_rotation',
        '_ready',
        '_started_at',
        '_table',
        '_wanted',
        '_wanted_event',
        'lost',
        'platform_seen_at',
    )

    def __init__(
        self,
        platform: Platform,
        network: Network,
        table: MemberTable,
        *,
        clock: Clock,
        source: random.Random,
        on_change: Callable[[], None],
    ) -> None:
        """Create an empty replica.

        :param platform: object API that stores the documents.
        :param network: calls to peers.
        :param table: member table of the entry hosts.
        :param clock: monotonic clock.
        :param source: random source.
        :param on_change: called after each change.
        """
        self.platform_seen_at: float | None = None
        self._platform = platform
        self._network = network
        self._table = table
        self._clock = clock
        self._random = source
        self._on_change = on_change
        self._held: dict[str, ActiveDocument] = {}
        self.lost = LostDocuments(platform, source)
        self._listed: Position = (0, 0)
        self._announcements: dict[str, int] = {}
        self._rotation = 0
        self._wanted: dict[str, int] = {}
        self._wanted_event = Event()
        self._peers_heard = False
        self._ready = False
        self._started_at = clock()

    def find(self, service: str) -> ActiveDocument | None:
        """Find the document in force for a service.

        :param service: service name.
        :return: the document, or ``None``.
        """
        return self._held.get(service)

    def list_services(self) -> list[str]:
        """List the services with a document."""
        return sorted(self._held)

    def list_revisions(self) -> list[Revision]:
        """List the revisions in force."""
        return [
            Revision(service, held.revision)
            for service, held in self._held.items()
        ]

    def is_ready(self, confirmation_s: float) -> bool:
        """Tell whether the documents are known to be up to date.

        A daemon that has just started waits for a listing or a peer's copy.
        As a listing may be stale, it also waits for the revisions of a peer.

        :param confirmation_s: longest wait for a peer in seconds, after which
            a listing suffices.
        :return: whether this host may serve.
        """
        if not self._ready:
            self._ready = self._check_ready(confirmation_s)
        return self._ready

    def accept(
        self,
        service: str,
        revision: int,
        source: str,
        stored: StoredDocument | None = None,
    ) -> bool:
        """Put a revision in force if it is newer.

        :param service: service name.
        :param revision: revision number.
        :param source: text of the document.
        :param stored: its object in the platform, if it comes from there.
        :return: whether it was newer and valid.
        """
        held = self._held.get(service)
        if held is not None and held.revision >= revision:
            return False
        document = parse_document(source.encode())
        if isinstance(document, Invalid):
            logger.warning(
                'document-unreadable',
                service=service,
                revision=revision,
                path=document.path,
                problem=document.message,
            )
            return False
        self._held[service] = ActiveDocument(
            document, revision, source, document.index_weights(), stored
        )
        self.lost.discard(service)
        self._announcements[service] = _ANNOUNCEMENT_REPEATS
        if self._wanted.get(service, 0) <= revision:
            self._wanted.pop(service, None)
        logger.info('document-in-force', service=service, revision=revision)
        self._on_change()
        return True

    def copy(self, service: str) -> DocumentCopy:
        """Return a copy of a document for a peer.

        :param service: service name.
        :return: the copy; its revision is 0 when none is held.
        """
        held = self._held.get(service)
        if held is None:
            return DocumentCopy(service, 0, '')
        return DocumentCopy(service, held.revision, held.source)

    # Batches

    def fill(self, host: str, batch: Batch) -> None:
        """Add recently changed revisions to a batch, and one of the others.

        The other one rotates from batch to batch. A receiver whose
        status is not ``ALIVE``, such as a joining host, gets all revisions.

        :param host: receiving host.
        :param batch: the batch.
        """
        receiver = self._table.find(host)
        if receiver is None or receiver.status != MemberStatus.ALIVE:
            batch.revisions.extend(self.list_revisions())
            batch.complete = self._ready
            return
        chosen = list(self._announcements)
        for service in chosen:
            self._announcements[service] -= 1
            if self._announcements[service] <= 0:
                self._announcements.pop(service)
        services = list(self._held)
        if services:
            self._rotation = (self._rotation + 1) % len(services)
            if services[self._rotation] not in chosen:
                chosen.append(services[self._rotation])
        for service in chosen:
            revision = self._held[service].revision
            batch.revisions.append(Revision(service, revision))

    def receive(self, batch: Batch) -> None:
        """Record the revisions of a peer that are newer than those here.

        :param batch: a batch from a peer.
        """
        if batch.complete:
            self._peers_heard = True
        for entry in batch.revisions:
            held = self._held.get(entry.service_name)
            known = held.revision if held else 0
            if entry.number > max(
                known, self._wanted.get(entry.service_name, 0)
            ):
                self._wanted[entry.service_name] = entry.number
                if not self._wanted_event.ready():
                    self._wanted_event.send(None)

    # Tasks

    def run_watch(self) -> None:
        """Watch the documents in the platform."""
        while True:
            outcome = self._platform.watch(
                DOCUMENT_KIND, self._listed[1], _WATCH_S
            )
            if isinstance(outcome, Listing):
                self.apply_listing(outcome)
            else:
                eventlet.sleep(_RETRY_S * self._random.uniform(0.5, 2))

    def run_resync(self) -> None:
        """List all documents periodically, as a watch may stall."""
        while True:
            eventlet.sleep(_RESYNC_S * self._random.uniform(*_RESYNC_SPREAD))
            outcome = self._platform.list_objects(DOCUMENT_KIND)
            if isinstance(outcome, Listing):
                self.apply_listing(outcome)

    def run_fetch(self) -> None:
        """Fetch newer revisions that peers have announced."""
        while True:
            self._wanted_event.wait()
            self._wanted_event = Event()
            for service, revision in list(self._wanted.items()):
                self._fetch(service, revision)
            if self._wanted:
                eventlet.sleep(_RETRY_S * self._random.uniform(0.5, 1))
                if not self._wanted_event.ready():
                    self._wanted_event.send(None)

    def apply_listing(self, listing: Listing) -> None:
        """Apply a listing of the documents.

        :param listing: the listing; revisions that are not newer are ignored.
        """
        self.platform_seen_at = self._clock()
        is_restored = self._listed[0] and listing.era > self._listed[0]
        self._listed = max(self._listed, listing.position)
        for entry in listing.entries:
            self._apply_object(entry, listing.era)
        if is_restored:
            listed = {known.name for known in listing.entries}
            for service, held in self._held.items():
                if service not in listed and held.stored is not None:
                    self.lost.add(service, held.stored)

    def _check_ready(self, confirmation_s: float) -> bool:
        if self._wanted:
            return False
        if self._peers_heard:
            return self.platform_seen_at is not None or bool(self._held)
        if self.platform_seen_at is None:
            return False
        return self._clock() - self._started_at >= confirmation_s

    def _apply_object(self, entry: StoredObject, era: int) -> None:
        stored = decode_json(entry.body, StoredDocument)
        if isinstance(stored, Invalid):
            logger.warning(
                'document-malformed', service=entry.name, error=stored.message
            )
            return
        held = self._held.get(entry.name)
        before = None if held is None else held.stored
        if before is not None and before.is_later_than(stored, entry.version):
            # It is of the copy from which the platform was restored, or of a
            # stale listing, whose position is not the newest.
            if held.revision < create_token((era, 0)):
                self.lost.add(entry.name, before)
            return
        revision = create_token((era, entry.version))
        self.accept(entry.name, revision, stored.source, stored)

    def _fetch(self, service: str, revision: int) -> None:
        outcome = self._platform.read(DOCUMENT_KIND, service)
        if isinstance(outcome, StoredObject):
            self._apply_object(outcome, outcome.era)
        if self.lost.is_lost(service):
            # Peers may hold the older one of the restored platform.
            return
        held = self._held.get(service)
        if held is not None and held.revision >= revision:
            return
        peers = self._table.list_reachable()
        self._random.shuffle(peers)
        for peer in peers[:_FETCH_PEERS]:
            copy = self._network.fetch(peer.update.peer_address, service)
            if isinstance(copy, DocumentCopy) and copy.revision:
                self.accept(service, copy.revision, copy.source)
