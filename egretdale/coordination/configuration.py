"""Follows the configuration from the platform, or from peers without it."""

from __future__ import annotations

import random
from collections.abc import Callable

import eventlet
from eventlet.event import Event

from egretdale.coordination.copies import CopyFetcher, PeerAccess
from egretdale.coordination.mesh import MeshListener
from egretdale.coordination.ports import (
    Listing,
    Platform,
    StoredObject,
)
from egretdale.coordination.watches import KindWatch
from egretdale.errors import Invalid, Unreachable
from egretdale.state.freshness import Confirmation
from egretdale.state.messages import Batch, Revision
from egretdale.state.queries import DocumentCopy
from egretdale.state.routing import RoutingTable
from egretdale.util.clocks import (
    Clock,
    convert_to_ms,
    convert_to_seconds,
)
from egretdale.util.logs import get_logger

logger = get_logger(__name__)

#: Kind of the configuration object in the platform, and the name under which
#: peers exchange its revisions.
ROUTING_KIND = 'routing'

#: Longest time that a request waits for a read that confirms the
#: configuration, and shortest time between two such reads, in seconds.
_REFRESH_S = 0.4
_UNKNOWN_AGE_MS = -1
_MAXIMUM_AGE_MS = 1000000

#: Decodes the text of a configuration.
RoutingDecoder = Callable[[bytes], RoutingTable | Invalid]


class ConfigurationFollower(MeshListener):
    """Holds the newest known configuration and tracks its age.

    :ivar table: routing table in force, ``None`` before the first one.
    :ivar confirmation: when the table was last known to be the newest.
    :ivar relay: answers other hosts that wait for changes.
    """

    __slots__ = (
        '_clock',
        '_decode',
        '_fetcher',
        '_name',
        '_platform',
        '_refresh',
        '_refreshed_at',
        '_watch',
        '_watch_failing',
        'confirmation',
        'relay',
        'table',
    )

    def __init__(
        self,
        platform: Platform,
        peers: PeerAccess,
        *,
        decode: RoutingDecoder,
        clock: Clock,
        source: random.Random,
    ) -> None:
        """Start without a configuration.

        :param platform: object API.
        :param peers: access to other hosts.
        :param decode: decodes the text of a configuration.
        :param clock: monotonic clock that counts suspension.
        :param source: random source.
        """
        self.table: RoutingTable | None = None
        self.confirmation = Confirmation(clock)
        self._platform = platform
        self._fetcher = CopyFetcher(ROUTING_KIND, peers, self._apply_copy)
        self._decode = decode
        self._clock = clock
        self._watch = KindWatch(
            ROUTING_KIND, platform, peers, clock=clock, source=source
        )
        self.relay = self._watch.relay
        self._watch_failing = False
        # Name of the configuration object, once it has been seen.
        self._name = ''
        self._refresh: Event | None = None
        self._refreshed_at = float('-inf')

    @property
    def version(self) -> int:
        """Version in force, 0 before the first one."""
        return 0 if self.table is None else self.table.version

    # Platform

    def run_watch(self) -> None:
        """Watch the configuration object."""
        self._watch.run(self)

    def apply_listing(self, listing: Listing, confirmed_at: float) -> None:
        """Put a newer configuration in force; confirm it unless it is older.

        :param listing: objects of the kind.
        :param confirmed_at: clock time up to which it holds all changes.
        """
        if self._watch_failing:
            self._watch_failing = False
            logger.info('configuration-source-regained')
        newest = 0
        for entry in listing.entries:
            version = self._apply(entry.body, 'platform')
            if version > newest:
                # Another writer's object of this kind must not be confirmed.
                self._name = entry.name
                newest = version
        if newest and newest == self.version:
            self.confirmation.confirm(confirmed_at)

    def note_watch_failure(self, failure: Unreachable) -> None:
        """Log the first of several failures in a row.

        :param failure: why the platform could not be read.
        """
        if not self._watch_failing:
            self._watch_failing = True
            logger.warning(
                'configuration-source-lost',
                cause=failure.cause,
                detail=failure.detail,
                version=self.version,
            )

    def refresh(self) -> bool:
        """Read the configuration now, unless a read was tried very recently.

        Concurrent calls share one read.

        :return: whether the configuration was confirmed.
        """
        if self._refresh is not None:
            return bool(self._refresh.wait(_REFRESH_S))
        now = self._clock()
        if not self._name or now - self._refreshed_at < _REFRESH_S:
            return False
        self._refreshed_at = now
        self._refresh = Event()
        confirmed = False
        try:
            with eventlet.Timeout(_REFRESH_S, False):
                confirmed = self._confirm(now)
        finally:
            finished = self._refresh
            self._refresh = None
            finished.send(confirmed)
        return confirmed

    # Peers

    def fill(self, host: str, batch: Batch) -> None:
        """Add the version in force and its age to a batch.

        :param host: receiving host.
        :param batch: the batch.
        """
        batch.revisions.append(
            Revision(ROUTING_KIND, self.version, self._encode_age())
        )

    def receive(self, batch: Batch) -> None:
        """Fetch the configuration from a peer that has a newer one.

        :param batch: a batch from a peer.
        """
        for revision in batch.revisions:
            newer = revision.number > self.version
            if revision.service_name == ROUTING_KIND and newer:
                self._fetcher.start(batch.sender)

    def note_answer(self, answer: Batch, sent_at: float) -> None:
        """Adopt the age of a peer's configuration of the same version.

        :param answer: answer of the peer.
        :param sent_at: when the batch was sent. The peer measured its age
            later than that, so counting from here never makes the
            configuration seem younger than it is.
        """
        for revision in answer.revisions:
            known = revision.age_ms > _UNKNOWN_AGE_MS
            same = revision.number == self.version and self.version
            if revision.service_name == ROUTING_KIND and known and same:
                age_s = convert_to_seconds(revision.age_ms)
                self.confirmation.confirm(sent_at - age_s)

    def copy(self, service: str) -> DocumentCopy:
        """Return a copy of the configuration for a peer.

        :param service: name that the peer asks for, the routing kind.
        :return: the copy, revision 0 when there is none.
        """
        if self.table is None or service != ROUTING_KIND:
            return DocumentCopy(service, 0, '')
        return DocumentCopy(
            service, self.table.version, self.table.source.decode()
        )

    def _confirm(self, sent_at: float) -> bool:
        entry = self._platform.read(ROUTING_KIND, self._name)
        if not isinstance(entry, StoredObject):
            return False
        confirmed = self._apply(entry.body, 'platform') == self.version
        if confirmed:
            self.confirmation.confirm(sent_at)
        return confirmed

    def _apply(self, source: bytes, origin: str) -> int:
        """Put a configuration in force if it is newer.

        :param source: text of the configuration.
        :param origin: where it comes from, for the log.
        :return: its version, 0 when it is malformed.
        """
        if self.table is not None and source == self.table.source:
            return self.table.version
        table = self._decode(source)
        if isinstance(table, Invalid):
            logger.warning(
                'configuration-malformed',
                origin=origin,
                path=table.path,
                detail=table.message,
            )
            return 0
        if table.version > self.version:
            logger.info(
                'configuration-in-force',
                version=table.version,
                before=self.version,
                origin=origin,
                routes=len(table.routes),
            )
            self.table = table
        return table.version

    def _apply_copy(self, copy: DocumentCopy, host: str) -> None:
        self._apply(copy.source.encode(), host)

    def _encode_age(self) -> int:
        age_s = self.confirmation.measure_age()
        if age_s == float('inf'):
            return _UNKNOWN_AGE_MS
        # Rounded up, so that the configuration never seems younger than it is.
        return min(convert_to_ms(age_s) + 1, _MAXIMUM_AGE_MS)
