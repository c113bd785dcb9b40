"""The lease of the host that makes calls which nobody fences.

Safety rests on time alone, so the holder stops before its lease ends, and a
successor waits until it has ended. See ``docs/design/duties.md``.
"""

from __future__ import annotations

import msgspec

from egretdale.coordination.eras import EraConfirmation, create_token
from egretdale.coordination.leases import LEASE_KIND
from egretdale.coordination.ports import (
    ABSENT,
    Platform,
    Position,
    StoredObject,
    Written,
)
from egretdale.errors import Conflict, Invalid, Missing, Unreachable
from egretdale.util.clocks import Clock
from egretdale.util.json_text import decode_json
from egretdale.util.logs import get_logger

logger = get_logger(__name__)

#: Part of the lifetime for which the holder relies on its lease.
_HELD_SHARE = 0.8
#: Former holders that are remembered.
_REMEMBERED = 8
#: Holder of a lease whose object cannot be read.
_UNKNOWN_HOLDER = '?'


class StoredTerm(msgspec.Struct, frozen=True):
    """The lease object in the platform.

    :ivar holder: host that holds the lease, empty when it was released.
    :ivar process: process of the host.
    :ivar writes: number of writes of the process.
    :ivar former: hosts that held it before, the last one first.
    """

    holder: str
    process: str = ''
    writes: int = 0
    former: tuple[str, ...] = ()


class DutyLease:
    """Takes, renews and releases the lease.

    Another holder's lease has ended when its object has not changed for the
    lifetime. The holder counts a shorter time from before its last write. A
    host that held the lease before another one waits for a lifetime, so that
    its calls do not alternate with those of the other one.

    After a restoration the platform may have lost a term. Whoever does not
    hold the lease then waits for a lifetime from when it learns of that.

    :ivar token: fencing token of this process's term, 0 without one.
    """

    __slots__ = (
        '_clock',
        '_confirmation',
        '_era',
        '_era_at',
        '_former',
        '_held_until',
        '_host',
        '_idle_since',
        '_lifetime_s',
        '_platform',
        '_position',
        '_process',
        '_seen_at',
        '_seen_position',
        '_writes',
        'name',
        'token',
    )

    def __init__(
        self,
        name: str,
        host: str,
        process: str,
        platform: Platform,
        *,
        clock: Clock,
        lifetime_s: float,
    ) -> None:
        """Create a lease that is not held.

        :param name: name of the lease.
        :param host: name of this host.
        :param process: unique name of this process.
        :param platform: object API that stores the lease.
        :param clock: monotonic clock that also runs while the host is
            suspended.
        :param lifetime_s: seconds without a write after which it ends.
        """
        self.name = name
        self.token = 0
        self._host = host
        self._process = process
        self._platform = platform
        self._clock = clock
        self._lifetime_s = lifetime_s
        self._confirmation = EraConfirmation(platform)
        self._era = 0
        self._era_at = clock()
        self._idle_since = clock()
        self._held_until = float('-inf')
        self._position: Position = ABSENT
        self._former: tuple[str, ...] = ()
        self._writes = 0
        self._seen_position: Position = ABSENT
        self._seen_at = float('-inf')

    def is_held(self, for_s: float = 0) -> bool:
        """Tell whether this process may act for a while.

        :param for_s: duration of the action in seconds.
        """
        if not self.token or self._confirmation.is_outdated():
            return False
        return self._clock() + for_s < self._held_until

    def renew(self) -> bool:
        """Take the lease or renew it.

        :return: whether this process holds it.
        """
        if self.token and self.is_held():
            return self._extend()
        self.end_term('expired')
        stored = self._platform.read(LEASE_KIND, self.name)
        self._note_era()
        if isinstance(stored, Unreachable):
            return False
        return self._take(stored)

    def release(self) -> None:
        """Release the lease, so that the next holder need not wait."""
        if self.is_held():
            former = (self._host, *self._former)[:_REMEMBERED]
            body = msgspec.json.encode(StoredTerm('', former=former))
            self._platform.write(LEASE_KIND, self.name, body, self._position)
        self.end_term('released')
        self._held_until = float('-inf')

    def end_term(self, cause: str) -> None:
        """Stop to act on the lease, which stays as it is in the platform.

        :param cause: why, for the log.
        """
        if self.token:
            logger.info('duty-lost', token=self.token, cause=cause)
            self.token = 0
            self._idle_since = self._clock()

    def _note_era(self) -> None:
        era = self._confirmation.read_era()
        if era != self._era:
            self._era = era
            self._era_at = self._clock()

    def _extend(self) -> bool:
        outcome = self._write(self._position, self._former)
        if isinstance(outcome, Written | Unreachable):
            return self.is_held()
        # It may have taken effect, or another process has taken the lease.
        stored = self._platform.read(LEASE_KIND, self.name)
        self._note_era()
        if isinstance(stored, Unreachable):
            return self.is_held()
        if isinstance(stored, StoredObject):
            if self._decode(stored).process == self._process:
                # Only this process can have written at its positions.
                self._position = stored.position
                return self.is_held()
        self.end_term('taken')
        return False

    def _take(self, stored: StoredObject | Missing) -> bool:
        now = self._clock()
        is_last_holder = now < self._held_until
        is_restored = self._era > 1 and now < self._era_at + self._lifetime_s
        if is_restored and not is_last_holder:
            # A term that the platform has lost may not have ended.
            return False
        if isinstance(stored, Missing):
            return self._begin_term(ABSENT, ())
        term = self._decode(stored)
        if not is_last_holder:
            if not self._has_ended(stored, term):
                return False
            is_former = self._host in term.former
            if is_former and now < self._idle_since + self._lifetime_s:
                return False
        former = term.former
        if term.holder not in {'', self._host}:
            former = (term.holder, *former)[:_REMEMBERED]
        return self._begin_term(stored.position, former)

    def _has_ended(self, stored: StoredObject, term: StoredTerm) -> bool:
        if not term.holder or term.process == self._process:
            return True
        if stored.position != self._seen_position:
            self._seen_position = stored.position
            self._seen_at = self._clock()
        return self._clock() > self._seen_at + self._lifetime_s

    def _begin_term(self, expected: Position, former: tuple[str, ...]) -> bool:
        outcome = self._write(expected, former)
        if not isinstance(outcome, Written):
            return False
        self.token = create_token(outcome.position)
        self._former = former
        logger.info('duty-taken', token=self.token, former=','.join(former))
        return self.is_held()

    def _write(
        self, expected: Position, former: tuple[str, ...]
    ) -> Written | Conflict | object:
        before = self._clock()
        era = self._confirmation.read_era()
        self._writes += 1
        term = StoredTerm(self._host, self._process, self._writes, former)
        outcome = self._platform.write(
            LEASE_KIND, self.name, msgspec.json.encode(term), expected
        )
        self._note_era()
        if isinstance(outcome, Written):
            self._position = outcome.position
            self._confirmation.confirm(era)
            self._held_until = before + self._lifetime_s * _HELD_SHARE
        return outcome

    def _decode(self, stored: StoredObject) -> StoredTerm:
        term = decode_json(stored.body, StoredTerm)
        if isinstance(term, Invalid):
            logger.warning(
                'lease-malformed', name=self.name, detail=term.message
            )
            # It may be held, so it ends like one that is not renewed.
            return StoredTerm(_UNKNOWN_HOLDER)
        return term
