"""Follows the list of backend servers in the platform."""

from __future__ import annotations

import random
from collections.abc import Callable

import eventlet
import msgspec

from egretdale.coordination.copies import CopyFetcher, PeerAccess
from egretdale.coordination.list_confirmation import ListConfirmer
from egretdale.coordination.mesh import MeshListener
from egretdale.coordination.ports import (
    Listing,
    Platform,
    StoredObject,
)
from egretdale.coordination.watches import KindWatch
from egretdale.errors import Invalid, Unreachable
from egretdale.state.freshness import Confirmation, OutageRecord
from egretdale.state.instances import Instance, InstanceTable
from egretdale.state.messages import Batch, Revision
from egretdale.state.queries import DocumentCopy
from egretdale.state.removals import RemovalHistory
from egretdale.util.clocks import (
    Clock,
    convert_to_ms,
    convert_to_seconds,
)
from egretdale.util.json_text import decode_json
from egretdale.util.logs import get_logger

logger = get_logger(__name__)

#: Kind of the entries of backend servers in the platform.
INSTANCE_KIND = 'instances'

#: Seconds after an outage within which running backend servers have to
#: register again.
LAPSE_S = 2.0
#: Seconds without an answer of the platform above which peers are told nothing.
_MAXIMUM_SILENCE_S = 3600.0

#: Age in seconds of the list from which on a software version may have served
#: and left unseen; several watches in a row have failed by then.
_UNSEEN_S = 5.0

_EXPIRY_CHECK_S = 0.25
#: Backend servers that one line of the log names at most.
_MAXIMUM_LOGGED = 20

#: Decodes an entry; the arguments are its name and its body.
InstanceDecoder = Callable[[str, bytes], Instance | Invalid]


class InstanceFollower(MeshListener):
    """Keeps the table of backend servers of a gateway up to date.

    While the platform does not answer, newer lists are fetched from peers.

    :ivar table: backend servers.
    :ivar confirmation: time up to which the list is known to be the newest.
    :ivar confirmer: makes sure that the list holds the latest changes.
    :ivar relay: answers other hosts that wait for changes.
    """

    __slots__ = (
        '_changed_after',
        '_clock',
        '_decode',
        '_fetcher',
        '_is_older',
        '_listing',
        '_lost_at',
        '_malformed',
        '_on_gone',
        '_outages',
        '_outdated',
        '_removals',
        '_watch',
        'confirmation',
        'confirmer',
        'relay',
        'table',
    )

    def __init__(
        self,
        platform: Platform,
        peers: PeerAccess,
        table: InstanceTable,
        *,
        decode: InstanceDecoder,
        clock: Clock,
        source: random.Random,
        on_gone: Callable[[Instance], None],
    ) -> None:
        """Start with an empty table.

        :param platform: object API.
        :param peers: access to other hosts.
        :param table: table to keep up to date.
        :param decode: decodes an entry.
        :param clock: monotonic clock.
        :param source: random source.
        :param on_gone: called with each backend server that is no longer
            listed or has restarted.
        """
        self.table = table
        self._decode = decode
        self._clock = clock
        self.confirmation = Confirmation(clock)
        self.confirmer = ListConfirmer(
            INSTANCE_KIND,
            platform,
            self.confirmation,
            lambda: self._listing.position,
            clock,
        )
        self._watch = KindWatch(
            INSTANCE_KIND, platform, peers, clock=clock, source=source
        )
        self.relay = self._watch.relay
        self._on_gone = on_gone
        self._listing = Listing(0, ())
        self._fetcher = CopyFetcher(INSTANCE_KIND, peers, self._apply_copy)
        self._is_older = False
        self._lost_at: float | None = None
        self._outdated: set[str] = set()
        # Bodies of the entries that were left out, by name.
        self._malformed: dict[str, bytes] = {}
        # Clock time of the answer that confirmed the list before.
        self._changed_after: float | None = None
        self._outages = OutageRecord()
        self._removals = RemovalHistory(clock)

    def run_watch(self) -> None:
        """Watch the list."""
        self._watch.run(self)

    def apply_listing(self, listing: Listing, confirmed_at: float) -> None:
        """Apply a list that is newer than the present one.

        :param listing: all entries.
        :param confirmed_at: clock time up to which it holds all changes.
        """
        if self._lost_at is not None:
            lost_s = self._clock() - self._lost_at
            logger.info('backend-list-regained', lost_s=lost_s)
            self._lost_at = None
        answered_at = self._watch.answered_at
        self._outages.note_answer(answered_at)
        self._note_order(listing)
        # The list of a reader may be older than a copy from another peer.
        if listing.position > self._listing.position:
            self._apply(listing, 'platform')
        self.confirmation.confirm(confirmed_at)
        self._changed_after = answered_at

    def note_watch_failure(self, failure: Unreachable) -> None:
        """Log the first of several failures in a row.

        :param failure: why the platform could not be read.
        """
        if self._lost_at is None:
            self._lost_at = self._clock()
            logger.warning('backend-list-lost', detail=failure.detail)

    def run_expiry(self) -> None:
        """Drop entries that were not registered again after an outage."""
        while True:
            eventlet.sleep(_EXPIRY_CHECK_S)
            for instance in self.table.expire():
                self._report_gone(instance)
            if self._removals.end_hold():
                self._apply(self._listing, 'platform')

    # Peers

    def fill(self, host: str, batch: Batch) -> None:
        """Add the version of the list on this host to a batch.

        :param host: receiving host.
        :param batch: the batch.
        """
        batch.revisions.append(
            Revision(
                INSTANCE_KIND,
                self._listing.version,
                self._encode_silence(),
                self._listing.era,
            )
        )

    def receive(self, batch: Batch) -> None:
        """Fetch a newer list from a peer while the platform does not answer.

        :param batch: a batch from a peer.
        """
        for revision in batch.revisions:
            if revision.service_name != INSTANCE_KIND:
                continue
            if revision.age_ms >= 0:
                silent_s = convert_to_seconds(revision.age_ms)
                self._outages.note_answer(self._clock() - silent_s)
            newer = self._is_newer(revision.era, revision.number)
            if newer and self._lost_at is not None:
                self._fetcher.start(batch.sender)

    def copy(self) -> DocumentCopy:
        """Return a copy of the list for a peer."""
        entries = [
            (entry.name, entry.read_text()) for entry in self._listing.entries
        ]
        source = msgspec.json.encode(entries).decode()
        return DocumentCopy(
            INSTANCE_KIND, self._listing.version, source, self._listing.era
        )

    def _encode_silence(self) -> int:
        silent_s = self._outages.measure_silence(self._clock())
        if silent_s > _MAXIMUM_SILENCE_S:
            return -1
        return convert_to_ms(silent_s) + 1

    def _note_order(self, listing: Listing) -> None:
        """Log the first of several lists in a row that are older."""
        is_older = listing.position < self._listing.position
        if is_older and not self._is_older:
            logger.info(
                'backend-list-older',
                revision=listing.version,
                era=listing.era,
                known=self._listing.version,
                known_era=self._listing.era,
            )
        self._is_older = is_older

    def _is_newer(self, era: int, version: int) -> bool:
        # Versions without an era cannot be compared with those that have one.
        return (era, version) > self._listing.position

    def _apply_copy(self, copy: DocumentCopy, host: str) -> None:
        newer = self._is_newer(copy.era, copy.revision)
        if self._lost_at is None or not newer:
            return
        entries = decode_json(copy.source, list[tuple[str, str]])
        if isinstance(entries, Invalid):
            logger.warning(
                'backend-list-malformed', origin=host, error=entries.message
            )
            return
        objects = tuple(
            StoredObject(name, 0, body.encode()) for name, body in entries
        )
        self._apply(Listing(copy.revision, objects, copy.era), host)

    def _apply(self, listing: Listing, origin: str) -> None:
        unseen_s = self.confirmation.measure_age()
        if unseen_s > _UNSEEN_S and listing.position != self._listing.position:
            self.table.versions.note_gap()
        if self._listing.era and listing.era > self._listing.era:
            self._outages.note_restoration(self._clock(), LAPSE_S)
            self._removals.note_restoration(
                self.table.list_all(), self._listing.era, listing.version
            )
        self._listing = listing
        instances = {}
        for entry in listing.entries:
            decoded = self._decode(entry.name, entry.body)
            if isinstance(decoded, Invalid):
                self._report_malformed(entry, decoded)
            else:
                instances[entry.name] = decoded
        self._malformed = {
            malformed.name: malformed.body
            for malformed in listing.entries
            if malformed.name not in instances
        }
        instances = self._drop_outdated(instances)
        self._log_changes(instances, origin)
        lapsed_at = self._outages.returned_at + LAPSE_S
        gone = self.table.replace(
            instances,
            after_outage=self._clock() < lapsed_at,
            lapsed_at=lapsed_at,
            changed_after=self._changed_after,
        )
        for instance in gone:
            self._report_gone(instance)

    def _drop_outdated(
        self, instances: dict[str, Instance]
    ) -> dict[str, Instance]:
        """Drop entries of a restored copy that had been removed before."""
        era = self._listing.era
        outdated = {
            entry.name
            for entry in self._listing.entries
            if entry.name in instances
            and self._removals.is_outdated(
                instances[entry.name], era, entry.version
            )
        }
        if outdated - self._outdated:
            logger.info(
                'backends-outdated',
                count=len(outdated),
                backends=sorted(outdated)[:_MAXIMUM_LOGGED],
                era=era,
            )
        self._outdated = outdated
        return {
            name: instance
            for name, instance in instances.items()
            if name not in outdated
        }

    def _log_changes(self, instances: dict[str, Instance], origin: str) -> None:
        for name, instance in instances.items():
            if self.table.find(name) != instance:
                logger.info(
                    'backend-listed',
                    backend=name,
                    service=instance.service,
                    address=instance.address,
                    born_ms=instance.born_ms,
                    leaving=instance.leaving,
                    software_version=instance.software_version,
                    origin=origin,
                    revision=self._listing.version,
                )

    def _report_malformed(self, entry: StoredObject, invalid: Invalid) -> None:
        if self._malformed.get(entry.name) == entry.body:
            return
        logger.warning(
            'backend-malformed',
            backend=entry.name,
            path=invalid.path,
            detail=invalid.message,
        )

    def _report_gone(self, instance: Instance) -> None:
        logger.info(
            'backend-gone', backend=instance.name, service=instance.service
        )
        self._removals.note_removed(instance, self._listing.era)
        self._on_gone(instance)
