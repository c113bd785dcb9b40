"""Crashes of backend servers, and what the requests in progress had in common.

A request, or each request with a certain part of a prompt, may crash each
backend server that begins to run it. Such a cause is recognised as the
fingerprint that was in progress at several crashes, while no request with it
was served in between.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from egretdale.state.crash_records import CrashRecord, RunRecord, TrialRecord
from egretdale.util.clocks import Clock

#: Crashes after which a fingerprint is quarantined.
BLAMED_CRASHES = 3
#: Seconds after the first of them until other requests with the fingerprint
#: have had time to show that it does no harm. Several servers may be lost at
#: once.
_FIRST_HEARING_S = 2.5
#: The same after the last of them.
_LAST_HEARING_S = 0.5
#: Seconds within which crashes may have one cause, such as the loss of a rack.
_SERIES_S = 1.0
#: Seconds for which a fingerprint is quarantined after one series of crashes,
#: and the factor for each further series.
_QUARANTINE_S = 2.0
_QUARANTINE_FACTOR = 10
#: Seconds for which a crash counts.
_RETENTION_S = 600.0
#: Seconds between two searches for crashes that no longer count.
_EXPIRY_INTERVAL_S = 10.0
#: Most fingerprints, and most crashes of a fingerprint, that are kept.
_MAXIMUM_FINGERPRINTS = 512
_MAXIMUM_CRASHES = 16


@dataclass(slots=True, frozen=True)
class Quarantine:
    """The quarantine of a fingerprint.

    :ivar fingerprint: the fingerprint.
    :ivar crashes: number of crashes.
    :ivar ends_at: clock time from which single requests are tried.
    """

    fingerprint: int
    crashes: int
    ends_at: float


@dataclass(slots=True)
class FingerprintHistory:
    """Crashes while requests with a fingerprint were in progress.

    :ivar crashes: one such request for each of the latest crashes, since a
        request with the fingerprint was last served.
    :ivar tried_at: clock time at which a host last sent a request with the
        fingerprint although it is quarantined.
    :ivar tried_by: ID of that request, empty if another host sent it.
    """

    crashes: list[CrashRecord] = field(default_factory=list)
    tried_at: float = -math.inf
    tried_by: str = ''

    def add(self, record: CrashRecord) -> bool:
        """Add a request, unless one is known for that crash.

        :param record: the request.
        :return: whether the crash was not known and is one of the latest.
        """
        if self.find(record) is not None:
            return False
        self.crashes.append(record)
        if len(self.crashes) <= _MAXIMUM_CRASHES:
            return True
        oldest = min(self.crashes, key=_get_time)
        self.crashes.remove(oldest)
        return oldest is not record

    def find(self, crash: CrashRecord) -> CrashRecord | None:
        """Find the request that was in progress at a crash.

        :param crash: any request at the crash.
        :return: a request with the fingerprint, ``None`` if there was none.
        """
        for entry in self.crashes:
            if entry.is_same_crash(crash):
                return entry
        return None

    @property
    def expires_at(self) -> float:
        """Clock time until which the crashes are kept."""
        times = [crash.at for crash in self.crashes]
        return max(times) + _RETENTION_S + choose_duration(times)


class CrashHistory:
    """Crashes by the fingerprints of the requests that were in progress."""

    __slots__ = ('_cleared_at', '_clock', '_expired_at', '_histories')

    def __init__(self, clock: Clock) -> None:
        """Create a history without crashes.

        :param clock: monotonic clock.
        """
        self._clock = clock
        self._histories: dict[int, FingerprintHistory] = {}
        self._expired_at = -math.inf
        # Times at which fingerprints were served; earlier crashes do not count.
        self._cleared_at: dict[int, float] = {}

    def note_crash(self, record: CrashRecord) -> bool:
        """Record a request that was in progress at a crash.

        :param record: the request.
        :return: whether the crash was not known for one of its fingerprints.
        """
        self._expire()
        is_new = False
        for fingerprint in record.fingerprints:
            cleared_at = self._cleared_at.get(fingerprint, -math.inf)
            if record.at <= cleared_at:
                continue
            # The fingerprints are kept in the order of their last crash.
            known = self._histories.pop(fingerprint, None)
            history = known or FingerprintHistory()
            self._histories[fingerprint] = history
            is_new = history.add(record) or is_new
        self._drop_surplus()
        return is_new

    def note_run(self, run: RunRecord) -> int:
        """Record that a request with a fingerprint was served.

        One that began before the first crash proves nothing.

        :param run: the request.
        :return: number of crashes that no longer count.
        """
        history = self._histories.get(run.fingerprint)
        if history is None:
            return 0
        if run.began_at <= min(crash.at for crash in history.crashes):
            return 0
        self._histories.pop(run.fingerprint)
        self._cleared_at.pop(run.fingerprint, None)
        self._cleared_at[run.fingerprint] = self._clock()
        if len(self._cleared_at) > _MAXIMUM_FINGERPRINTS:
            self._cleared_at.pop(next(iter(self._cleared_at)))
        return len(history.crashes)

    def note_trial(self, trial: TrialRecord, request_id: str = '') -> None:
        """Record that a request with a quarantined fingerprint was sent.

        :param trial: the request.
        :param request_id: its ID if this host sent it.
        """
        history = self._histories.get(trial.fingerprint)
        if history is not None and trial.began_at >= history.tried_at:
            history.tried_at = trial.began_at
            history.tried_by = request_id

    def withdraw_trial(self, fingerprint: int, request_id: str) -> None:
        """Record that a request of this host did not run.

        :param fingerprint: one of its fingerprints.
        :param request_id: its ID.
        """
        history = self._histories.get(fingerprint)
        if history is not None and history.tried_by == request_id:
            history.tried_at = -math.inf

    def is_suspected(self, fingerprint: int) -> bool:
        """Tell whether a fingerprint has crashes.

        :param fingerprint: the fingerprint.
        """
        return fingerprint in self._histories

    def find_quarantine(
        self, fingerprints: tuple[int, ...]
    ) -> Quarantine | None:
        """Find the quarantine of a request.

        :param fingerprints: fingerprints of the request.
        :return: the quarantine of one of them, ``None`` if there is none.
        """
        # Of those with the same crashes, the last one is the least common.
        for fingerprint in reversed(fingerprints):
            if fingerprint in self._histories:
                quarantine = self._judge(fingerprint, fingerprints)
                if quarantine is not None:
                    return quarantine
        return None

    def count_quarantines(self) -> int:
        """Count the quarantined fingerprints."""
        self._expire()
        return sum(
            self._judge(fingerprint, ()) is not None
            for fingerprint in self._histories
        )

    def list_crashes(self, fingerprint: int) -> list[CrashRecord]:
        """List a request with a fingerprint for each crash.

        :param fingerprint: the fingerprint.
        """
        history = self._histories.get(fingerprint)
        return [] if history is None else list(history.crashes)

    def find_expiry(self, fingerprint: int) -> float:
        """Find the clock time until which the crashes are kept.

        :param fingerprint: a fingerprint that has crashes.
        """
        return self._histories[fingerprint].expires_at

    def find_trial(self, fingerprint: int) -> float:
        """Find the clock time of the last trial, minus infinity for none.

        :param fingerprint: a fingerprint that has crashes.
        """
        return self._histories[fingerprint].tried_at

    def _judge(
        self, fingerprint: int, fingerprints: tuple[int, ...]
    ) -> Quarantine | None:
        """Decide whether a fingerprint is quarantined for a request.

        :param fingerprint: the fingerprint.
        :param fingerprints: all fingerprints of the request, empty for any.
        :return: the quarantine, or ``None``.
        """
        history = self._histories[fingerprint]
        if len(history.crashes) < BLAMED_CRASHES:
            return None
        times = sorted(
            crash.at
            for crash in history.crashes
            if not self._is_explained(crash, fingerprint, fingerprints)
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
        return Quarantine(fingerprint, len(times), ends_at)

    def _is_explained(
        self,
        crash: CrashRecord,
        fingerprint: int,
        fingerprints: tuple[int, ...],
    ) -> bool:
        """Tell whether a request without a fingerprint caused a crash.

        A likelier cause is a fingerprint with more crashes, or one with as
        many that only requests with the judged fingerprint have.

        :param crash: a crash of the judged fingerprint.
        :param fingerprint: the judged fingerprint.
        :param fingerprints: fingerprints of the request, empty for any.
        """
        if not fingerprints:
            return False
        judged = self._histories[fingerprint]
        return any(
            self._is_likelier(history, judged, fingerprint, crash)
            for other, history in self._histories.items()
            if other not in fingerprints
        )

    def _is_likelier(
        self,
        history: FingerprintHistory,
        judged: FingerprintHistory,
        fingerprint: int,
        crash: CrashRecord,
    ) -> bool:
        surplus = len(history.crashes) - len(judged.crashes)
        if surplus < 0:
            return False
        found = history.find(crash)
        if found is None:
            return False
        return surplus > 0 or fingerprint in found.fingerprints

    def _expire(self) -> None:
        now = self._clock()
        if now < self._expired_at + _EXPIRY_INTERVAL_S:
            return
        self._expired_at = now
        for fingerprint, history in list(self._histories.items()):
            if now > history.expires_at:
                self._histories.pop(fingerprint)

    def _drop_surplus(self) -> None:
        """Drop the oldest of the fingerprints with the fewest crashes."""
        while len(self._histories) > _MAXIMUM_FINGERPRINTS:
            self._histories.pop(min(self._histories, key=self._count_crashes))

    def _count_crashes(self, fingerprint: int) -> int:
        return len(self._histories[fingerprint].crashes)


def _get_time(crash: CrashRecord) -> float:
    return crash.at


def choose_duration(times: list[float]) -> float:
    """Choose how long a fingerprint is quarantined after its last crash.

    Each series of crashes that is not over at once makes it more likely that
    the fingerprint is their cause.

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
