"""Relays listings that one host reads from the platform to other hosts.

If every one of dozens of hosts watched the platform, the calls to it would
grow with each host and each change. Instead, a few hosts watch the platform,
and the other hosts wait for changes through them.
"""

from __future__ import annotations

from collections import deque
from math import floor

import eventlet
from eventlet.event import Event

from egretdale.coordination.ports import Listing, Position, StoredObject
from egretdale.state.queries import ChangeAsk, Changes, ObjectCopy
from egretdale.util.clocks import (
    MILLISECONDS_PER_SECOND,
    Clock,
    convert_to_ms,
    convert_to_seconds,
)

#: Age in seconds up to which a listing is fresh enough for other hosts; they
#: read the platform instead if it is older.
MAXIMUM_LISTING_AGE_S = 1.2
#: Size in bytes above which other hosts read changes from the platform, whose
#: links have more bandwidth.
_MAXIMUM_BYTES = 16384
#: Number of removals that are remembered.
_MAXIMUM_REMOVALS = 256


class ListingRelay:
    """Answers long-polling requests for changes of one kind of objects."""

    __slots__ = (
        '_answered_at',
        '_carried',
        '_changed',
        '_changed_at',
        '_clock',
        '_confirmed_at',
        '_era_base',
        '_kind',
        '_listing',
        '_removals',
        '_removals_since',
    )

    def __init__(self, kind: str, clock: Clock) -> None:
        """Create a relay without objects.

        :param kind: kind of the objects.
        :param clock: monotonic clock.
        """
        self._kind = kind
        self._clock = clock
        self._listing = Listing(0, ())
        self._confirmed_at = float('-inf')
        self._answered_at = float('-inf')
        self._changed = Event()
        # Position of the first listing with the latest change.
        self._changed_at: Position = (0, 0)
        # Names of removed objects with the position of the first listing
        # without them. Removals up to _removals_since may be missing.
        self._removals: deque[tuple[Position, str]] = deque()
        self._removals_since: Position = (0, 0)
        # Last position in the era before, and the objects that the platform
        # still held in the same version when it was restored.
        self._era_base: Position = (0, 0)
        self._carried: dict[str, int] = {}

    def update(
        self,
        listing: Listing,
        confirmed_at: float,
        answered_at: float | None = None,
    ) -> None:
        """Replace the listing.

        :param listing: all objects of the kind.
        :param confirmed_at: clock time up to which it includes all changes.
        :param answered_at: clock time of the platform's answer, ``None`` for
            the same time.
        """
        self._answered_at = confirmed_at if answered_at is None else answered_at
        before = self._listing
        self._listing = listing
        self._confirmed_at = max(self._confirmed_at, confirmed_at)
        if before.version == 0:
            self._removals_since = listing.position
        elif listing.era != before.era:
            self._start_era(before, listing)
        elif listing.entries == before.entries:
            return
        self._record_removals(before, listing)
        self._changed_at = listing.position
        changed = self._changed
        self._changed = Event()
        changed.send(None)

    def answer(self, ask: ChangeAsk) -> Changes:
        """Return the changes after a version, waiting until there are any.

        :param ask: the request for changes.
        :return: the changes; none if the longest wait is over or the listing
            of this host is no longer fresh.
        """
        started_at = self._clock()
        until = started_at + convert_to_seconds(ask.wait_ms)
        while self._locate(ask) >= self._changed_at:
            now = self._clock()
            stale_at = self._confirmed_at + MAXIMUM_LISTING_AGE_S
            left_s = min(until, stale_at) - now
            if left_s <= 0:
                break
            with eventlet.Timeout(left_s, False):
                self._changed.wait()
        changes = self._collect(self._locate(ask))
        changes.waited_ms = floor(
            (self._clock() - started_at) * MILLISECONDS_PER_SECOND
        )
        return changes

    def _locate(self, ask: ChangeAsk) -> Position:
        """Return the position of the listing that the asking host has."""
        # Daemons that know no eras ask without one.
        return ask.era or self._listing.era, ask.known

    def _collect(self, known: Position) -> Changes:
        listing = self._listing
        if not listing.version:
            return Changes(self._kind, 0)
        whole = known < self._removals_since or not self._follows(known)
        entries = [
            entry
            for entry in listing.entries
            if whole or self._find_position(entry) > known
        ]
        changes = Changes(
            self._kind,
            listing.version,
            convert_to_ms(self._clock() - self._confirmed_at) + 1,
            whole=whole,
            era=listing.era,
            count=len(listing.entries),
            answered_ms=convert_to_ms(self._clock() - self._answered_at) + 1,
        )
        if sum(len(entry.body) for entry in entries) > _MAXIMUM_BYTES:
            changes.large = True
            return changes
        changes.entries = [
            ObjectCopy(entry.name, entry.version, entry.read_text())
            for entry in entries
        ]
        changes.gone = [
            name for position, name in self._removals if position > known
        ]
        return changes

    def _follows(self, known: Position) -> bool:
        """Tell whether the listing followed a known one on this host, too."""
        if known[0] >= self._listing.era:
            return True
        return known[0] == self._era_base[0] and known <= self._era_base

    def _find_position(self, entry: StoredObject) -> Position:
        """Return when an object got its present content."""
        if self._carried.get(entry.name) == entry.version:
            return self._era_base[0], entry.version
        return self._listing.era, entry.version

    def _start_era(self, before: Listing, listing: Listing) -> None:
        known = {entry.name: entry for entry in before.entries}
        self._era_base = before.position
        self._carried = {
            entry.name: entry.version
            for entry in listing.entries
            if known.get(entry.name) == entry
        }

    def _record_removals(self, before: Listing, listing: Listing) -> None:
        present = {entry.name for entry in listing.entries}
        # Objects that exist again are sent with the entries.
        self._removals = deque(
            removal for removal in self._removals if removal[1] not in present
        )
        for entry in before.entries:
            if entry.name not in present:
                self._removals.append((listing.position, entry.name))
        while len(self._removals) > _MAXIMUM_REMOVALS:
            self._removals_since = self._removals.popleft()[0]
