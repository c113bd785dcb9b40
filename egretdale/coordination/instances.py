"""Follows the platform's list of backend servers."""

from __future__ import annotations

import random
from collections.abc import Callable

import eventlet

from egretdale.coordination.ports import Listing, Platform
from egretdale.errors import Invalid
from egretdale.state.instances import Instance, InstanceTable
from egretdale.util.clocks import Clock
from egretdale.util.logs import get_logger

logger = get_logger(__name__)

#: Kind of the entries of backend servers in the platform.
INSTANCE_KIND = 'instances'

#: Seconds after an outage within which live backend servers register again.
LAPSE_S = 2.0

_WATCH_S = 2.0
_RETRY_START_S = 0.1
_RETRY_MAXIMUM_S = 0.8
_JITTER_SHARE = 0.3
_EXPIRY_CHECK_S = 0.25

#: Decodes the entry with a name.
InstanceDecoder = Callable[[str, bytes], Instance | Invalid]


class InstanceFollower:
    """Keeps the table of backend servers up to date."""

    __slots__ = (
        '_clock',
        '_decode',
        '_lost_at',
        '_on_gone',
        '_platform',
        '_regained_at',
        '_source',
        'table',
    )

    def __init__(
        self,
        platform: Platform,
        table: InstanceTable,
        *,
        decode: InstanceDecoder,
        clock: Clock,
        source: random.Random,
        on_gone: Callable[[Instance], None],
    ) -> None:
        """Start with an empty table.

        :param platform: object API.
        :param table: table to keep up to date.
        :param decode: decodes an entry.
        :param clock: monotonic clock.
        :param source: random source.
        :param on_gone: called with each backend server that has gone.
        """
        self.table = table
        self._platform = platform
        self._decode = decode
        self._clock = clock
        self._source = source
        self._on_gone = on_gone
        self._lost_at: float | None = None
        self._regained_at = float('-inf')

    def run_watch(self) -> None:
        """Follow the entries."""
        version = 0
        pause_s = float(0)
        while True:
            listing = self._read(version)
            if isinstance(listing, Listing):
                self._note_regained()
                pause_s = 0
                if listing.version != version:
                    self._take(listing)
                version = listing.version
                continue
            self._note_lost(listing.detail)
            # A plain read after the outage tells sooner than a watch.
            version = 0
            pause_s = min(max(_RETRY_START_S, pause_s * 2), _RETRY_MAXIMUM_S)
            spread = self._source.uniform(1 - _JITTER_SHARE, 1 + _JITTER_SHARE)
            eventlet.sleep(pause_s * spread)

    def run_expiry(self) -> None:
        """Drop entries that did not come back after an outage."""
        while True:
            eventlet.sleep(_EXPIRY_CHECK_S)
            for instance in self.table.expire():
                self._report_gone(instance)

    def _read(self, version: int):
        if version:
            return self._platform.watch(INSTANCE_KIND, version, _WATCH_S)
        return self._platform.list_objects(INSTANCE_KIND)

    def _take(self, listing: Listing) -> None:
        instances = {}
        for entry in listing.entries:
            decoded = self._decode(entry.name, entry.body)
            if isinstance(decoded, Invalid):
                logger.warning(
                    'backend-malformed',
                    backend=entry.name,
                    path=decoded.path,
                    detail=decoded.message,
                )
            else:
                instances[entry.name] = decoded
        self._log_changes(instances)
        since_outage = self._clock() - self._regained_at
        gone = self.table.replace(
            instances, after_outage=since_outage < LAPSE_S
        )
        for instance in gone:
            self._report_gone(instance)

    def _log_changes(self, instances: dict[str, Instance]) -> None:
        for name, instance in instances.items():
            if self.table.find(name) != instance:
                logger.info(
                    'backend-listed',
                    backend=name,
                    service=instance.service,
                    address=instance.address,
                    born_ms=instance.born_ms,
                    leaving=instance.leaving,
                )

    def _report_gone(self, instance: Instance) -> None:
        logger.info(
            'backend-gone', backend=instance.name, service=instance.service
        )
        self._on_gone(instance)

    def _note_lost(self, detail: str) -> None:
        if self._lost_at is None:
            self._lost_at = self._clock()
            logger.warning('backend-list-lost', detail=detail)

    def _note_regained(self) -> None:
        if self._lost_at is not None:
            now = self._clock()
            logger.info('backend-list-regained', lost_s=now - self._lost_at)
            self._lost_at = None
            self._regained_at = now
