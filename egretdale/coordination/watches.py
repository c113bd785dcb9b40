"""Follows all objects of a kind in the platform."""

from __future__ import annotations

import random
from typing import Protocol

import eventlet

from egretdale.coordination.ports import Listing, Platform
from egretdale.errors import Unreachable
from egretdale.util.clocks import Clock

#: Longest wait of a watch, which bounds the age of what is known.
_WATCH_S = 2.0
#: First and longest pause after a failed call, in seconds.
_RETRY_START_S = 0.1
_RETRY_MAXIMUM_S = 0.8
_JITTER_SHARE = 0.3


class WatchReceiver(Protocol):
    """Takes in what a watch brings."""

    def take_listing(self, listing: Listing, sent_at: float) -> None:
        """Take in the objects, also when they have not changed.

        :param listing: all objects of the kind.
        :param sent_at: when the call was sent; the listing holds all changes
            up to then.
        """

    def note_lost(self, failure: Unreachable) -> None:
        """Note that a call failed.

        :param failure: why.
        """


class KindWatch:
    """Watches a kind, with plain reads after failures."""

    __slots__ = ('_clock', '_kind', '_platform', '_source')

    def __init__(
        self,
        kind: str,
        platform: Platform,
        clock: Clock,
        source: random.Random,
    ) -> None:
        """Create a watch.

        :param kind: kind of the objects.
        :param platform: object API.
        :param clock: monotonic clock.
        :param source: random source.
        """
        self._kind = kind
        self._platform = platform
        self._clock = clock
        self._source = source

    def run(self, receiver: WatchReceiver) -> None:
        """Follow the kind for ever.

        :param receiver: takes in what comes.
        """
        version = 0
        pause_s = float(0)
        while True:
            sent_at = self._clock()
            listing = self._read(version)
            if isinstance(listing, Listing):
                pause_s = 0
                version = listing.version
                receiver.take_listing(listing, sent_at)
                continue
            receiver.note_lost(listing)
            # A plain read after the outage tells sooner than a watch.
            version = 0
            pause_s = min(max(_RETRY_START_S, pause_s * 2), _RETRY_MAXIMUM_S)
            spread = self._source.uniform(1 - _JITTER_SHARE, 1 + _JITTER_SHARE)
            eventlet.sleep(pause_s * spread)

    def _read(self, version: int) -> Listing | Unreachable:
        if version:
            return self._platform.watch(self._kind, version, _WATCH_S)
        return self._platform.list_objects(self._kind)
