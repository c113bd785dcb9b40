"""Follows all objects of a kind in the platform."""

from __future__ import annotations

import random
from typing import Protocol

import eventlet

from egretdale.coordination.copies import PeerAccess
from egretdale.coordination.listing_relay import ListingRelay
from egretdale.coordination.ports import Listing, Platform
from egretdale.coordination.readers import PeerReaders, Reading
from egretdale.errors import Unreachable
from egretdale.util.clocks import Clock

#: First pause after a failed call, in seconds.
_RETRY_START_S = 0.1
_JITTER_SHARE = 0.3


class WatchReceiver(Protocol):
    """Takes in what a watch brings."""

    def take_listing(self, listing: Listing, confirmed_at: float) -> None:
        """Take in the objects, also when they have not changed.

        :param listing: all objects of the kind.
        :param confirmed_at: clock time up to which the listing holds all
            changes.
        """

    def note_lost(self, failure: Unreachable) -> None:
        """Note that a call failed.

        :param failure: why.
        """


class KindWatch:
    """Watches a kind, with plain reads after failures.

    :ivar relay: answers other hosts that ask for changes.
    """

    __slots__ = ('_clock', '_kind', '_platform', '_readers', '_source', 'relay')

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
        :param peers: hosts that may watch the platform for this one.
        :param clock: monotonic clock.
        :param source: random source.
        """
        self.relay = ListingRelay(kind, clock)
        self._kind = kind
        self._platform = platform
        self._readers = PeerReaders(peers.members, peers.network, clock)
        self._clock = clock
        self._source = source

    def run(self, receiver: WatchReceiver) -> None:
        """Follow the kind for ever.

        :param receiver: takes in what comes.
        """
        listing = Listing(0, ())
        pause_s = float(0)
        while True:
            reading = self._readers.read(self._kind, listing)
            if reading is None:
                # A plain read after an outage tells sooner than a watch.
                version = 0 if pause_s else listing.version
                reading = self._ask_platform(version)
            if isinstance(reading, Reading):
                pause_s = 0
                listing = reading.listing
                self.relay.update(listing, reading.confirmed_at)
                receiver.take_listing(listing, reading.confirmed_at)
                continue
            receiver.note_lost(reading)
            longest_s = self._readers.pause_s()
            pause_s = min(max(_RETRY_START_S, pause_s * 2), longest_s)
            spread = self._source.uniform(1 - _JITTER_SHARE, 1 + _JITTER_SHARE)
            eventlet.sleep(pause_s * spread)

    def _ask_platform(self, version: int) -> Reading | Unreachable:
        sent_at = self._clock()
        if version:
            listing = self._platform.watch(
                self._kind, version, self._readers.watch_s()
            )
        else:
            listing = self._platform.list_objects(self._kind)
        if isinstance(listing, Unreachable):
            return listing
        return Reading(listing, sent_at)
