"""The member objects of the entry hosts in the platform."""

from __future__ import annotations

import random

import eventlet
import msgspec

from egretdale.coordination.eras import EraConfirmation
from egretdale.coordination.ports import (
    ABSENT,
    Listing,
    Platform,
    Position,
    StoredObject,
    Written,
)
from egretdale.errors import (
    Ambiguous,
    Conflict,
    Invalid,
    Missing,
    Unreachable,
)
from egretdale.state.member_records import StoredMember
from egretdale.state.messages import MemberUpdate
from egretdale.util.clocks import Clock
from egretdale.util.json_text import decode_json
from egretdale.util.logs import get_logger

logger = get_logger(__name__)

MEMBER_KIND = 'members'

_WRITE_PERIOD_S = 30.0
_RETRY_PERIOD_S = 2.0
_JITTER_SHARE = 0.2
#: Seconds between two checks for a restoration of the platform.
_ERA_CHECK_S = 0.5
#: Seconds over which hosts spread their calls after a restoration.
_RESTORATION_SPREAD_S = 2.0


class MemberStore:
    """Keeps this host's member object, and reads those of other hosts.

    :ivar answered_at: monotonic seconds of the last reply of the platform.
    """

    __slots__ = (
        '_clock',
        '_confirmation',
        '_host',
        '_platform',
        '_position',
        '_random',
        'answered_at',
    )

    def __init__(
        self,
        host: str,
        platform: Platform,
        *,
        clock: Clock,
        source: random.Random,
    ) -> None:
        """Create a store of which nothing is known.

        :param host: name of this host.
        :param platform: object API.
        :param clock: monotonic clock.
        :param source: random source.
        """
        self.answered_at = clock()
        self._host = host
        self._platform = platform
        self._clock = clock
        self._random = source
        # Position of the own object.
        self._position: Position = ABSENT
        self._confirmation = EraConfirmation(platform)

    def write(
        self, own: MemberUpdate
    ) -> Written | Conflict | Unreachable | Ambiguous:
        """Write this host's object, unless a restored platform still has it.

        :param own: newest update about this host.
        :return: the position at which it stands, or why that is unknown.
        """
        body = msgspec.json.encode(StoredMember(own))
        era = self._confirmation.read_era()
        outcome = None
        if self._confirmation.is_outdated():
            outcome = self._find_own(body)
        if outcome is None:
            outcome = self._platform.write(
                MEMBER_KIND, self._host, body, self._position
            )
        if isinstance(outcome, Written):
            self._position = outcome.position
            self.answered_at = self._clock()
            self._confirmation.confirm(era)
        return outcome

    def read_all(self) -> list[MemberUpdate]:
        """Read the objects of all other hosts, and the position of the own one.

        :return: their updates.
        """
        listing = self._platform.list_objects(MEMBER_KIND)
        if not isinstance(listing, Listing):
            return []
        self.answered_at = self._clock()
        updates = []
        for entry in listing.entries:
            if entry.name == self._host:
                self._position = (listing.era, entry.version)
                continue
            stored = decode_json(entry.body, StoredMember)
            if isinstance(stored, Invalid):
                logger.warning(
                    'member-malformed', host=entry.name, error=stored.message
                )
                continue
            updates.append(stored.update)
        return updates

    def wait(self, *, is_written: bool) -> bool:
        """Wait until the object has to be written.

        :param is_written: whether the last write was confirmed.
        :return: whether the platform was restored in this time.
        """
        period_s = _WRITE_PERIOD_S if is_written else _RETRY_PERIOD_S
        jitter = self._random.uniform(1 - _JITTER_SHARE, 1 + _JITTER_SHARE)
        due_at = self._clock() + period_s * jitter
        while self._clock() < due_at:
            eventlet.sleep(min(_ERA_CHECK_S, due_at - self._clock()))
            if is_written and self._confirmation.is_outdated():
                eventlet.sleep(self._random.uniform(0, _RESTORATION_SPREAD_S))
                return True
        return False

    def _find_own(self, body: bytes) -> Written | Unreachable | None:
        """Read the position of this host's object after a restoration.

        :param body: what the object has to hold.
        :return: where it stands, ``None`` if it has to be written.
        """
        stored = self._platform.read(MEMBER_KIND, self._host)
        match stored:
            case Unreachable():
                return stored
            case Missing():
                self._position = ABSENT
                return None
            case StoredObject():
                self._position = stored.position
        if stored.body == body:
            return Written(stored.version, stored.era)
        return None
