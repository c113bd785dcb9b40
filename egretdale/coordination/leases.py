"""A lease in the platform with fencing tokens."""

from __future__ import annotations

import msgspec

from egretdale.coordination.eras import EraConfirmation, create_token
from egretdale.coordination.ports import (
    ABSENT,
    Platform,
    Position,
    StoredObject,
    Written,
)
from egretdale.errors import Invalid, Missing, Unreachable
from egretdale.util.clocks import Clock
from egretdale.util.json_text import decode_json
from egretdale.util.logs import get_logger

logger = get_logger(__name__)

LEASE_KIND = 'leases'

_SAFETY_SHARE = 0.5
#: Holder of a lease whose object cannot be read.
_UNKNOWN_HOLDER = '?'


class StoredLease(msgspec.Struct, frozen=True):
    """A lease object in the platform.

    :ivar holder: process that holds the lease, empty when it was released.
    :ivar renewals: number of writes, which shows that the holder is alive.
    :ivar lifetime_s: seconds without a renewal after which it expires.
    """

    holder: str
    renewals: int
    lifetime_s: float


class Lease:
    """Acquires and renews one lease.

    Another holder's lease has expired when its object has not changed for
    its lifetime, measured on this host's clock, so clocks need not be
    synchronized. This host relies on its own lease only for a part of the
    lifetime, counted from before its last write.

    After a restoration of the platform no lease is held until it has been
    written again. Only the last holder does so at once; others wait for a
    lifetime, as the platform may have lost its lease.

    :ivar name: name of the lease.
    :ivar fencing: fencing token while held, 0 otherwise.
    """

    __slots__ = (
        '_clock',
        '_confirmation',
        '_free_at',
        '_held_until',
        '_lifetime_s',
        '_platform',
        '_position',
        '_process',
        '_renewals',
        '_restored_era',
        '_seen_at',
        '_seen_position',
        'fencing',
        'name',
    )

    def __init__(
        self,
        name: str,
        process: str,
        platform: Platform,
        *,
        clock: Clock,
        lifetime_s: float,
    ) -> None:
        """Create a lease that is not held.

        :param name: name of the lease.
        :param process: unique name of this process.
        :param platform: object API that stores the lease.
        :param clock: monotonic clock.
        :param lifetime_s: seconds without a renewal after which it expires.
        """
        self.name = name
        self.fencing = 0
        self._process = process
        self._platform = platform
        self._clock = clock
        self._lifetime_s = lifetime_s
        self._renewals = 0
        self._confirmation = EraConfirmation(platform)
        # When no lease can be held any more that the platform has lost.
        self._free_at = float('-inf')
        self._restored_era = 0
        self._position: Position = ABSENT
        self._held_until = float('-inf')
        self._seen_position: Position = ABSENT
        self._seen_at = float('-inf')

    def is_held(self) -> bool:
        """Tell whether this process may act now."""
        if self._confirmation.is_outdated():
            return False
        return self.fencing > 0 and self._clock() < self._held_until

    def confirm(self) -> bool:
        """Read the lease back before an action that cannot be fenced.

        :return: whether this process still holds it.
        """
        if not self.is_held():
            return False
        stored = self._platform.read(LEASE_KIND, self.name)
        same = (
            isinstance(stored, StoredObject)
            and stored.position == self._position
        )
        return same and self.is_held()

    def renew(self) -> bool:
        """Acquire the lease or renew it.

        :return: whether this process holds it.
        """
        if self.fencing and self._write(self._position):
            return True
        self.fencing = 0
        era = self._confirmation.read_era()
        stored = self._platform.read(LEASE_KIND, self.name)
        if isinstance(stored, Unreachable):
            return False
        self._note_restoration()
        self._confirmation.confirm(era)
        return self._take(stored)

    def release(self) -> None:
        """Release the lease, so that another process need not wait."""
        if self.fencing:
            body = msgspec.json.encode(StoredLease('', self._renewals, 0))
            self._platform.write(LEASE_KIND, self.name, body, self._position)
        self.fencing = 0
        self._held_until = float('-inf')

    def _note_restoration(self) -> None:
        era = self._confirmation.read_era()
        if self._confirmation.is_outdated() and era != self._restored_era:
            self._restored_era = era
            self._free_at = self._clock() + self._lifetime_s

    def _take(self, stored: StoredObject | Missing) -> bool:
        expected = ABSENT
        if isinstance(stored, StoredObject):
            if not self._has_expired(stored):
                return False
            expected = stored.position
        now = self._clock()
        if self._held_until <= now < self._free_at:
            # A restored platform may have lost the lease of another process.
            return False
        return self._write(expected)

    def _write(self, expected: Position) -> bool:
        before = self._clock()
        era = self._confirmation.read_era()
        self._renewals += 1
        lease = StoredLease(self._process, self._renewals, self._lifetime_s)
        outcome = self._platform.write(
            LEASE_KIND, self.name, msgspec.json.encode(lease), expected
        )
        if not isinstance(outcome, Written):
            # The write may have taken effect, but that is not relied upon.
            return False
        if not self.fencing:
            self.fencing = create_token(outcome.position)
            logger.info('lease-taken', name=self.name, fencing=self.fencing)
        self._position = outcome.position
        self._confirmation.confirm(era)
        self._held_until = before + self._lifetime_s * _SAFETY_SHARE
        return True

    def _has_expired(self, stored: StoredObject) -> bool:
        now = self._clock()
        lease = decode_json(stored.body, StoredLease)
        if isinstance(lease, Invalid):
            logger.warning(
                'lease-malformed', name=self.name, detail=lease.message
            )
            # It may be held, so it expires like one that is not renewed.
            lease = StoredLease(_UNKNOWN_HOLDER, 0, self._lifetime_s)
        if lease.holder in {'', self._process}:
            return True
        if stored.position != self._seen_position:
            self._seen_position = stored.position
            self._seen_at = now
            return False
        return now - self._seen_at > lease.lifetime_s
