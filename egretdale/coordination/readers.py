"""Reads the platform through a few hosts that watch it for the others."""

from __future__ import annotations

from dataclasses import dataclass

from egretdale.coordination.listing_relay import MAXIMUM_LISTING_AGE_S
from egretdale.coordination.ports import Listing, Network, StoredObject
from egretdale.errors import Ambiguous, Unreachable
from egretdale.state.members import MemberTable, list_owners
from egretdale.state.queries import ChangeAsk, Changes
from egretdale.util.clocks import (
    Clock,
    convert_to_ms,
    convert_to_seconds,
)
from egretdale.util.hashing import rank_by_rendezvous
from egretdale.util.logs import get_logger

logger = get_logger(__name__)

#: Number of hosts that watch the platform for the others.
_READER_COUNT = 2
#: Number of live hosts from which on readers are used; with fewer, every host
#: watches the platform itself.
_MINIMUM_SHARING_HOSTS = 12
#: Longest time in seconds that a reader holds a request for changes.
_WAIT_S = 1.0
#: Time in seconds for which a reader without a fresh answer is not asked.
_AVOID_S = 2.0
#: Longest wait of a watch of the platform in seconds, for a reader and for a
#: host that serves no other hosts.
_READER_WATCH_S = 0.5
_DIRECT_WATCH_S = 1.0
#: Longest pause after failed calls in seconds, for a host that polls the
#: platform directly and for one that learns of its recovery from readers.
_DIRECT_PAUSE_S = 0.8
_VIA_READERS_PAUSE_S = 1.6


@dataclass(slots=True, frozen=True)
class ConfirmedListing:
    """A listing and the time up to which it holds all changes.

    :ivar listing: all objects of a kind.
    :ivar confirmed_at: monotonic seconds of that time.
    :ivar answered_at: monotonic seconds at which the platform had answered, to
        this host or to the reader.
    """

    listing: Listing
    confirmed_at: float
    answered_at: float


class PeerReaders:
    """Chooses readers and asks them for changes."""

    __slots__ = ('_avoided_until', '_clock', '_members', '_network')

    def __init__(
        self, members: MemberTable, network: Network, clock: Clock
    ) -> None:
        """Create a client of readers.

        :param members: member table.
        :param network: calls to peers.
        :param clock: monotonic clock.
        """
        self._members = members
        self._network = network
        self._clock = clock
        self._avoided_until: dict[str, float] = {}

    def choose_watch_timeout(self) -> float:
        """Return how long a watch of the platform waits, in seconds.

        Readers use a shorter wait: their listings are older by the time that
        they reach other hosts, so they have to be confirmed more often.
        """
        is_reader = self._members.own_host in self._list_readers()
        return _READER_WATCH_S if is_reader else _DIRECT_WATCH_S

    def choose_longest_pause(self) -> float:
        """Return the longest pause after failed calls, in seconds."""
        readers = self._list_readers()
        via_readers = readers and self._members.own_host not in readers
        return _VIA_READERS_PAUSE_S if via_readers else _DIRECT_PAUSE_S

    def read(self, kind: str, listing: Listing) -> ConfirmedListing | None:
        """Ask a reader for changes, and wait there for one.

        :param kind: kind of the objects.
        :param listing: the listing that this host has.
        :return: the new listing; ``None`` when this host has to read the
            platform itself.
        """
        reader = self._choose_reader()
        member = self._members.find(reader)
        if member is None or not listing.version:
            return None
        sent_at = self._clock()
        ask = ChangeAsk(
            kind, listing.version, convert_to_ms(_WAIT_S), listing.era
        )
        outcome = self._network.follow(member.update.peer_address, ask)
        if isinstance(outcome, Unreachable | Ambiguous):
            return self._avoid(reader, kind, outcome.cause, 0)
        cause = _find_fault(listing, outcome)
        if cause:
            return self._avoid(reader, kind, cause, outcome.age_ms)
        if outcome.large:
            return None
        updated = apply_changes(listing, outcome)
        if updated is None:
            return self._avoid(reader, kind, 'incomplete', outcome.age_ms)
        return _confirm(updated, outcome, sent_at)

    def _choose_reader(self) -> str:
        """Choose the reader of this host.

        :return: its name, empty when this host reads the platform itself.
        """
        own = self._members.own_host
        readers = self._list_readers()
        if own in readers:
            return ''
        now = self._clock()
        usable = [
            reader
            for reader in readers
            if self._avoided_until.get(reader, 0) <= now
        ]
        return rank_by_rendezvous(own, usable)[0] if usable else ''

    def _list_readers(self) -> list[str]:
        if self._members.count_live() < _MINIMUM_SHARING_HOSTS:
            return []
        return list_owners(self._members, 'reader', _READER_COUNT)

    def _avoid(self, reader: str, kind: str, cause: str, age_ms: int) -> None:
        logger.info(
            'reader-avoided',
            reader=reader,
            kind=kind,
            cause=cause,
            age_ms=age_ms,
        )
        self._avoided_until[reader] = self._clock() + _AVOID_S


def _find_fault(listing: Listing, changes: Changes) -> str:
    """Return why an answer of a reader cannot be used, empty if it can."""
    if not changes.revision:
        return 'empty'
    if bool(listing.era) != bool(changes.era):
        # Versions of unknown eras cannot be compared.
        return 'no-era'
    age_s = convert_to_seconds(changes.age_ms)
    return 'stale' if age_s > MAXIMUM_LISTING_AGE_S else ''


def _confirm(
    listing: Listing, changes: Changes, sent_at: float
) -> ConfirmedListing:
    measured_at = sent_at + convert_to_seconds(changes.waited_ms)
    age_s = convert_to_seconds(changes.age_ms)
    answered_s = age_s
    if changes.answered_ms >= 0:
        answered_s = convert_to_seconds(changes.answered_ms)
    return ConfirmedListing(
        listing, measured_at - age_s, measured_at - answered_s
    )


def apply_changes(listing: Listing, changes: Changes) -> Listing | None:
    """Apply the changes that a reader sent to a listing.

    :param listing: listing of this host.
    :param changes: answer of the reader; ignored when its listing is not
        newer.
    :return: the updated listing, ``None`` if it still holds objects of which
        the reader never knew, and cannot report that they are gone.
    """
    if (changes.era, changes.revision) <= listing.position:
        return listing
    objects: dict[str, StoredObject] = {}
    if not changes.whole:
        objects.update((entry.name, entry) for entry in listing.entries)
    for name in changes.gone:
        objects.pop(name, None)
    for entry in changes.entries:
        objects[entry.name] = StoredObject(
            entry.name, entry.version, entry.body.encode()
        )
    if changes.count >= 0 and len(objects) != changes.count:
        return None
    return Listing(changes.revision, tuple(objects.values()), changes.era)
