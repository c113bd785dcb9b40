"""Passes what one host reads from the platform on to other hosts.

At dozens of hosts, watches of all of them would make calls to the platform
grow with every host and with every change. A few hosts watch it instead, and
the others wait at these for changes.
"""

from __future__ import annotations

from collections import deque
from math import floor

import eventlet
from eventlet.event import Event

from egretdale.coordination.ports import Listing
from egretdale.state.messages import ChangeAsk, Changes, ObjectCopy
from egretdale.util.clocks import (
    MILLISECONDS_PER_SECOND,
    Clock,
    convert_to_ms,
    convert_to_seconds,
)

#: Age in seconds up to which a listing is good enough for other hosts; one
#: that is older is read from the platform instead.
MAXIMUM_LISTING_AGE_S = 1.2
#: Size in bytes above which changes are read from the platform, which has the
#: wider links.
_MAXIMUM_BYTES = 16384
#: Removals that are remembered.
_REMOVALS = 256


class ListingRelay:
    """Answers questions for the changes of one kind."""

    __slots__ = (
        '_changed',
        '_changed_version',
        '_clock',
        '_confirmed_at',
        '_kind',
        '_listing',
        '_removals',
        '_removals_since',
    )

    def __init__(self, kind: str, clock: Clock) -> None:
        """Create a relay that knows no objects.

        :param kind: kind of the objects.
        :param clock: monotonic clock.
        """
        self._kind = kind
        self._clock = clock
        self._listing = Listing(0, ())
        self._confirmed_at = float('-inf')
        self._changed = Event()
        # Version of the listing that showed the newest change.
        self._changed_version = 0
        # Versions that showed removals, with the names; older ones may be
        # missing before the version of the second field.
        self._removals: deque[tuple[int, str]] = deque()
        self._removals_since = 0

    def update(self, listing: Listing, confirmed_at: float) -> None:
        """Take in a listing that was read.

        :param listing: all objects of the kind.
        :param confirmed_at: clock time up to which it holds all changes.
        """
        before = self._listing
        self._listing = listing
        self._confirmed_at = max(self._confirmed_at, confirmed_at)
        if before.version == 0:
            self._removals_since = listing.version
        elif listing.entries == before.entries:
            return
        self._note_removals(before, listing)
        self._changed_version = listing.version
        done = self._changed
        self._changed = Event()
        done.send(None)

    def answer(self, ask: ChangeAsk) -> Changes:
        """Answer a question, at once or when there is a change.

        :param ask: the question.
        :return: the changes; none when the wait is over or this host's
            listing has become old.
        """
        started_at = self._clock()
        until = started_at + convert_to_seconds(ask.wait_ms)
        while ask.known >= self._changed_version:
            now = self._clock()
            stale_at = self._confirmed_at + MAXIMUM_LISTING_AGE_S
            left_s = min(until, stale_at) - now
            if left_s <= 0:
                break
            with eventlet.Timeout(left_s, False):
                self._changed.wait()
        changes = self._collect(ask.known)
        changes.waited_ms = floor(
            (self._clock() - started_at) * MILLISECONDS_PER_SECOND
        )
        return changes

    def _collect(self, known: int) -> Changes:
        listing = self._listing
        if not listing.version:
            return Changes(self._kind, 0)
        whole = known < self._removals_since
        entries = [
            entry for entry in listing.entries if whole or entry.version > known
        ]
        changes = Changes(
            self._kind,
            listing.version,
            convert_to_ms(self._clock() - self._confirmed_at) + 1,
            whole=whole,
        )
        if sum(len(entry.body) for entry in entries) > _MAXIMUM_BYTES:
            changes.large = True
            return changes
        changes.entries = [
            ObjectCopy(
                entry.name, entry.version, entry.body.decode(errors='replace')
            )
            for entry in entries
        ]
        changes.gone = [
            name for version, name in self._removals if version > known
        ]
        return changes

    def _note_removals(self, before: Listing, listing: Listing) -> None:
        present = {entry.name for entry in listing.entries}
        # Names that are back are sent with the entries.
        self._removals = deque(
            removal for removal in self._removals if removal[1] not in present
        )
        for entry in before.entries:
            if entry.name not in present:
                self._removals.append((listing.version, entry.name))
        while len(self._removals) > _REMOVALS:
            self._removals_since = self._removals.popleft()[0]
