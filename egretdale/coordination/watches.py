"""Keeps a listing of all objects of one kind up to date."""

from __future__ import annotations

import random
from typing import Protocol

import eventlet

from egretdale.coordination.copies import PeerAccess
from egretdale.coordination.listing_relay import ListingRelay
from egretdale.coordination.ports import Listing, Platform
from egretdale.coordination.readers import ConfirmedListing, PeerReaders
from egretdale.errors import Cause, Unreachable
from egretdale.util.clocks import Clock

#: First pause after a failed call, in seconds.
_RETRY_START_S = 0.1
_JITTER_SHARE = 0.3


class WatchReceiver(Protocol):
    """Receives the listings and the failures of a watch."""

    def apply_listing(self, listing: Listing, confirmed_at: float) -> None:
        """Process a listing, also when it has not changed.

        :param listing: all objects of the kind.
        :param confirmed_at: clock time up to which the listing holds all
            changes.
        """

    def note_watch_failure(self, failure: Unreachable) -> None:
        """Process a failed call.

        :param failure: why it failed.
        """


class KindWatch:
    """Watches a kind, and lists it again after failures.

    :ivar relay: answers other hosts that ask this one for changes.
    :ivar answered_at: clock time at which the platform last answered this host
        or its reader.
    """

    __slots__ = (
        '_clock',
        '_kind',
        '_platform',
        '_random',
        '_readers',
        'answered_at',
        'relay',
    )

    def __init__(
        self,
        kind: str,
        platform: Platform,
        peers: PeerAccess,
        *,
        clock: Clock,
        source: random.Random,
    ) -> None:
        """Create a watch.

        :param kind: kind of the objects.
        :param platform: object API.
        :param peers: access to hosts that may watch the platform for this one.
        :param clock: monotonic clock.
        :param source: random source.
        """
        self.relay = ListingRelay(kind, clock)
        self.answered_at = float('-inf')
        self._kind = kind
        self._platform = platform
        self._readers = PeerReaders(peers.members, peers.network, clock)
        self._clock = clock
        self._random = source

    def run(self, receiver: WatchReceiver) -> None:
        """Watch the kind without end.

        :param receiver: receives listings and failures.
        """
        listing = Listing(0, ())
        pause_s = float(0)
        while True:
            outcome = self._readers.read(self._kind, listing)
            if outcome is None:
                # After an outage a list call returns sooner than a watch.
                version = 0 if pause_s else listing.version
                outcome = self._read_platform(version)
            if isinstance(outcome, ConfirmedListing) and (
                outcome.listing.position < listing.position
            ):
                outcome = Unreachable(Cause.MALFORMED, 'older than known')
            if isinstance(outcome, ConfirmedListing):
                pause_s = 0
                listing = outcome.listing
                # A reader may have answered for the platform.
                self._platform.hear_era(listing.era)
                self.answered_at = outcome.answered_at
                self.relay.update(
                    listing, outcome.confirmed_at, outcome.answered_at
                )
                receiver.apply_listing(listing, outcome.confirmed_at)
                continue
            receiver.note_watch_failure(outcome)
            longest_s = self._readers.choose_longest_pause()
            pause_s = min(max(_RETRY_START_S, pause_s * 2), longest_s)
            spread = self._random.uniform(1 - _JITTER_SHARE, 1 + _JITTER_SHARE)
            eventlet.sleep(pause_s * spread)

    def _read_platform(self, version: int) -> ConfirmedListing | Unreachable:
        sent_at = self._clock()
        if version:
            listing = self._platform.watch(
                self._kind, version, self._readers.choose_watch_timeout()
            )
        else:
            listing = self._platform.list_objects(self._kind)
        if isinstance(listing, Unreachable):
            return listing
        return ConfirmedListing(listing, sent_at, self._clock())
