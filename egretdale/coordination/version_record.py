"""Keeps the software versions that served in the platform.

A host that starts knows only the versions of its list. If all hosts were lost,
none knows which other versions began streams that callers resume now. What they
recorded before tells.
"""

from __future__ import annotations

import random
from collections.abc import Callable

import eventlet
import msgspec
from eventlet.semaphore import Semaphore

from egretdale.coordination.eras import EraConfirmation
from egretdale.coordination.ports import (
    ABSENT,
    Platform,
    StoredObject,
    Written,
)
from egretdale.errors import Invalid, Missing, Unreachable
from egretdale.state.members import MemberTable, list_owners
from egretdale.state.software_versions import (
    RecordedVersion,
    VersionHistory,
    add_unrecorded,
    update_record,
)
from egretdale.util.clocks import Clock, WallClock, convert_to_ms
from egretdale.util.json_text import decode_json
from egretdale.util.logs import get_logger

logger = get_logger(__name__)

#: Kind and name of the record in the platform.
RECORD_KIND = 'software-versions'
RECORD_NAME = 'main'

#: Hosts that keep the record; all but the first only check it.
_KEEPERS = 3
#: Seconds for which each keeper leaves a change to the one before it.
_STAGGER_S = 2.0
#: Seconds between two looks at the versions.
_PERIOD_S = 0.5
#: Longest pause in seconds after failed calls.
_MAXIMUM_PAUSE_S = 8.0
_JITTER_SHARE = 0.3
#: Seconds for which the record is not read again after a failed read.
_READ_INTERVAL_S = 0.3


class VersionRecorder:
    """Writes the record when versions change, and reads it after a start."""

    __slots__ = (
        '_changed_at',
        '_clock',
        '_confirmation',
        '_history',
        '_is_list_current',
        '_members',
        '_platform',
        '_random',
        '_read_at',
        '_reading',
        '_recorded',
        '_seen',
        '_wall_clock',
    )

    def __init__(
        self,
        platform: Platform,
        members: MemberTable,
        history: VersionHistory,
        is_list_current: Callable[[], bool],
        *,
        clock: Clock,
        wall_clock: WallClock,
        source: random.Random,
    ) -> None:
        """Create a recorder that has read nothing.

        :param platform: object API.
        :param members: table of the hosts.
        :param history: versions that this host has seen.
        :param is_list_current: tells whether the list of backend servers holds
            the latest changes.
        :param clock: monotonic clock.
        :param wall_clock: wall clock.
        :param source: random source.
        """
        self._platform = platform
        self._confirmation = EraConfirmation(platform)
        self._members = members
        self._history = history
        self._is_list_current = is_list_current
        self._clock = clock
        self._wall_clock = wall_clock
        self._random = source
        # Versions and era that were seen last.
        self._seen: tuple[frozenset[tuple[str, str]], int] = (frozenset(), 0)
        self._recorded: frozenset[tuple[str, str]] | None = None
        self._changed_at = clock()
        self._read_at = float('-inf')
        self._reading = Semaphore()

    def run(self) -> None:
        """Record the versions without end."""
        pause_s = _PERIOD_S
        while True:
            spread = self._random.uniform(1 - _JITTER_SHARE, 1 + _JITTER_SHARE)
            eventlet.sleep(pause_s * spread)
            failed = self._is_due() and not self.record()
            pause_s = (
                min(pause_s * 2, _MAXIMUM_PAUSE_S) if failed else _PERIOD_S
            )

    def record(self) -> bool:
        """Write the record unless it is up to date.

        After a restoration of the platform it also gets the versions that this
        host knows of and the restored record lacks.

        :return: whether the platform holds the versions that are listed.
        """
        current = self._history.list_current()
        era = self._confirmation.read_era()
        stored = self._platform.read(RECORD_KIND, RECORD_NAME)
        if isinstance(stored, Unreachable):
            return False
        recorded = _decode(stored)
        expected = ABSENT if isinstance(stored, Missing) else stored.position
        now_ms = convert_to_ms(self._wall_clock())
        known = recorded or ()
        if self._confirmation.is_outdated():
            # The copy may lack versions that began streams and left since.
            known = add_unrecorded(known, self._history.list_left(now_ms))
        updated = update_record(known, current, now_ms)
        if recorded is None or updated != list(recorded):
            outcome = self._platform.write(
                RECORD_KIND,
                RECORD_NAME,
                msgspec.json.encode(updated),
                expected,
            )
            if not isinstance(outcome, Written):
                return False
            logger.info('versions-recorded', versions=_format(updated))
        self._recorded = current
        self._confirmation.confirm(era)
        return True

    def restore(self) -> bool:
        """Read which versions served before this host started.

        :return: whether that is known now.
        """
        with self._reading:
            if self._history.is_complete():
                return True
            if self._clock() < self._read_at + _READ_INTERVAL_S:
                return False
            is_restored = self._read()
            self._read_at = self._clock()
            return is_restored

    def _read(self) -> bool:
        stored = self._platform.read(RECORD_KIND, RECORD_NAME)
        recorded = None
        if not isinstance(stored, Unreachable):
            recorded = _decode(stored)
        logger.info(
            'versions-restored',
            found=recorded is not None,
            versions=_format(recorded or ()),
        )
        if recorded is None:
            return False
        now_ms = convert_to_ms(self._wall_clock())
        self._history.restore(recorded, now_ms)
        return True

    def _is_due(self) -> bool:
        """Tell whether this host has to look at the record."""
        now = self._clock()
        current = self._history.list_current()
        seen = (current, self._confirmation.read_era())
        if seen != self._seen:
            self._seen = seen
            self._changed_at = now
        is_recorded = current == self._recorded
        if is_recorded and not self._confirmation.is_outdated():
            return False
        if not current:
            return False
        own = self._members.own_host
        keepers = list_owners(self._members, RECORD_KIND, _KEEPERS)
        if own not in keepers or not self._is_list_current():
            return False
        # Another host may not know of this one yet, or have recorded it.
        rank = keepers.index(own) + (self._recorded is None)
        return now >= self._changed_at + rank * _STAGGER_S


def _decode(
    stored: StoredObject | Missing,
) -> tuple[RecordedVersion, ...] | None:
    """Decode the record.

    :param stored: the stored object.
    :return: the record, ``None`` if there is none that can be read.
    """
    if isinstance(stored, Missing):
        return None
    recorded = decode_json(stored.body, tuple[RecordedVersion, ...])
    if isinstance(recorded, Invalid):
        logger.warning('versions-malformed', detail=recorded.message)
        return None
    return recorded


def _format(
    versions: tuple[RecordedVersion, ...] | list[RecordedVersion],
) -> str:
    return ','.join(
        f'{entry.service}/{entry.software_version}' for entry in versions
    )
