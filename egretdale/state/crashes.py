"""Crashes of backend servers, and the parts of prompts that they began on.

A part of a prompt may crash each engine that begins to write a response to it.
It is recognised as the one that was in progress at several crashes, while no
request with it was served in between.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import Any

from egretdale.state.instances import Incarnation
from egretdale.util.clocks import Clock

#: Crashes after which a part is quarantined.
BLAMED_CRASHES = 3
#: Seconds after the first of them until other requests with the part have had
#: time to show that it does no harm. Several engines may be lost at once.
_FIRST_HEARING_S = 2.5
#: The same after the last of them.
_LAST_HEARING_S = 0.5
#: Seconds within which crashes may have one cause, such as the loss of a rack.
_SERIES_S = 1.0
#: Seconds for which a part is quarantined after one series of crashes, and the
#: factor for each further series.
_QUARANTINE_S = 2.0
_QUARANTINE_FACTOR = 10
#: Seconds for which a crash counts.
_RETENTION_S = 600.0
#: Seconds between two searches for crashes that no longer count.
_EXPIRY_INTERVAL_S = 10.0
#: Seconds within which two reports of a server are about the same crash.
_SAME_CRASH_S = 2.0
#: Most parts, and most crashes of a part, that are kept.
_MAXIMUM_PARTS = 512
_MAXIMUM_CRASHES = 16


@dataclass(slots=True, frozen=True)
class CrashRecord:
    """A request that was in progress when a backend server crashed.

    :ivar incarnation: the backend server.
    :ivar at: clock time of the crash.
    :ivar parts: parts of its prompt without the last one, which no other
        request has.
    """

    incarnation: Incarnation
    at: float
    parts: tuple[int, ...]

    def is_same_crash(self, other: CrashRecord) -> bool:
        """Tell whether two records are of the same crash.

        :param other: the other record.
        """
        return (
            self.incarnation == other.incarnation
            and abs(self.at - other.at) < _SAME_CRASH_S
        )


@dataclass(slots=True, frozen=True)
class RunRecord:
    """A request with a part that was served.

    :ivar part: the part.
    :ivar began_at: clock time at which the request was sent.
    """

    part: int
    began_at: float


@dataclass(slots=True, frozen=True)
class Quarantine:
    """The quarantine of a part.

    :ivar part: the part.
    :ivar crashes: number of crashes.
    :ivar ends_at: clock time from which single requests are tried.
    """

    part: int
    crashes: int
    ends_at: float


@dataclass(slots=True)
class PartHistory:
    """Crashes while requests with a part were in progress.

    :ivar crashes: one such request for each of the latest crashes, since a
        request with the part was last served.
    :ivar tried_at: clock time at which this host last sent a request with the
        part although it is quarantined.
    """

    crashes: list[CrashRecord] = field(default_factory=list)
    tried_at: float = -math.inf

    def add(self, record: CrashRecord) -> bool:
        """Add a request, unless one is known for that crash.

        :param record: the request.
        :return: whether the crash was not known and is one of the latest.
        """
        if self.includes(record):
            return False
        self.crashes.append(record)
        if len(self.crashes) <= _MAXIMUM_CRASHES:
            return True
        oldest = min(self.crashes, key=_get_time)
        self.crashes.remove(oldest)
        return oldest is not record

    def includes(self, crash: CrashRecord) -> bool:
        """Tell whether a request with the part was in progress at a crash.

        :param crash: a request at the crash.
        """
        return any(entry.is_same_crash(crash) for entry in self.crashes)

    @property
    def expires_at(self) -> float:
        """Clock time until which the crashes are kept."""
        times = [crash.at for crash in self.crashes]
        return max(times) + _RETENTION_S + choose_duration(times)


class CrashHistory:
    """Crashes by the parts of the requests that were in progress."""

    __slots__ = ('_cleared_at', '_clock', '_expired_at', '_parts')

    def __init__(self, clock: Clock) -> None:
        """Create a history without crashes.

        :param clock: monotonic clock.
        """
        self._clock = clock
        self._parts: dict[int, PartHistory] = {}
        self._expired_at = -math.inf
        # Parts that were served, which earlier crashes no longer concern.
        self._cleared_at: dict[int, float] = {}

    def note_crash(self, record: CrashRecord) -> bool:
        """Record a request that was in progress at a crash.

        :param record: the request.
        :return: whether the crash was not known for one of its parts.
        """
        self._expire()
        is_new = False
        for part in record.parts:
            if record.at <= self._cleared_at.get(part, -math.inf):
                continue
            # The parts are kept in the order of their last crash.
            history = self._parts.pop(part, None) or PartHistory()
            self._parts[part] = history
            is_new = history.add(record) or is_new
        _drop_oldest(self._parts)
        return is_new

    def note_run(self, run: RunRecord) -> int:
        """Record that a request with a part was served.

        One that began before the first crash proves nothing.

        :param run: the request.
        :return: number of crashes that no longer count.
        """
        history = self._parts.get(run.part)
        if history is None:
            return 0
        if run.began_at <= min(crash.at for crash in history.crashes):
            return 0
        self._parts.pop(run.part)
        self._cleared_at.pop(run.part, None)
        self._cleared_at[run.part] = self._clock()
        _drop_oldest(self._cleared_at)
        return len(history.crashes)

    def is_suspected(self, part: int) -> bool:
        """Tell whether a part has crashes.

        :param part: the part.
        """
        return part in self._parts

    def find_quarantine(self, parts: tuple[int, ...]) -> Quarantine | None:
        """Find the quarantine of a request.

        :param parts: parts of its prompt without the last one.
        :return: the quarantine of one of them, ``None`` if there is none.
        """
        # Of parts with the same crashes, the last one is the least common.
        for part in reversed(parts):
            if part in self._parts:
                quarantine = self._judge(part, parts)
                if quarantine is not None:
                    return quarantine
        return None

    def count_quarantines(self) -> int:
        """Count the quarantined parts."""
        self._expire()
        return sum(self._judge(part, ()) is not None for part in self._parts)

    def list_crashes(self, part: int) -> list[CrashRecord]:
        """List a request with a part for each crash.

        :param part: the part.
        """
        history = self._parts.get(part)
        return [] if history is None else list(history.crashes)

    def find_expiry(self, part: int) -> float:
        """Find the clock time until which the crashes of a part are kept.

        :param part: a part that has crashes.
        """
        return self._parts[part].expires_at

    def begin_trial(self, part: int, interval_s: float) -> bool:
        """Record that a request is sent to find out about a part.

        :param part: the part.
        :param interval_s: least time between two of them in seconds.
        :return: whether it may be sent.
        """
        history = self._parts[part]
        now = self._clock()
        if now < history.tried_at + interval_s:
            return False
        history.tried_at = now
        return True

    def _judge(self, part: int, parts: tuple[int, ...]) -> Quarantine | None:
        """Decide whether a part is quarantined for a request.

        :param part: the part.
        :param parts: all parts of the request, empty for any request.
        :return: the quarantine, or ``None``.
        """
        history = self._parts[part]
        if len(history.crashes) < BLAMED_CRASHES:
            return None
        others = self._list_explanations(parts, len(history.crashes))
        times = sorted(
            crash.at
            for crash in history.crashes
            if not any(other.includes(crash) for other in others)
        )
        if len(times) < BLAMED_CRASHES:
            return None
        heard_at = max(
            times[0] + _FIRST_HEARING_S,
            times[BLAMED_CRASHES - 1] + _LAST_HEARING_S,
        )
        if self._clock() < heard_at:
            return None
        ends_at = times[-1] + choose_duration(times)
        return Quarantine(part, len(times), ends_at)

    def _list_explanations(
        self, parts: tuple[int, ...], crashes: int
    ) -> list[PartHistory]:
        """List the parts that a request doesn't have and that are as likely.

        Requests with one of them may have caused the crashes.

        :param parts: parts of the request, empty for any request.
        :param crashes: crashes of one of its parts.
        """
        if not parts:
            return []
        return [
            history
            for part, history in self._parts.items()
            if len(history.crashes) >= crashes and part not in parts
        ]

    def _expire(self) -> None:
        now = self._clock()
        if now < self._expired_at + _EXPIRY_INTERVAL_S:
            return
        self._expired_at = now
        for part, history in list(self._parts.items()):
            if now > history.expires_at:
                self._parts.pop(part)


def _get_time(crash: CrashRecord) -> float:
    return crash.at


def choose_duration(times: list[float]) -> float:
    """Choose how long a part is quarantined after its last crash.

    Each series of crashes that is not over at once makes it more likely that
    the part is their cause.

    :param times: clock times of the crashes.
    :return: seconds.
    """
    series = 0
    began_at = -math.inf
    for at in sorted(times):
        if at >= began_at + _SERIES_S:
            series += 1
            began_at = at
    return _QUARANTINE_S * _QUARANTINE_FACTOR ** (series - 1)


def _drop_oldest(entries: dict[int, Any]) -> None:
    while len(entries) > _MAXIMUM_PARTS:
        entries.pop(next(iter(entries)))
