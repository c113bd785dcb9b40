"""Crashes of backend servers, and what the requests in progress had in common.

A request, or each request with a certain part of a prompt, may crash each
backend server that begins to run it. Such a cause is recognised as the
fingerprint that was in progress at several crashes, while no request with it
was served in between.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from egretdale.state.crash_records import CrashRecord, RunRecord, TrialRecord
from egretdale.state.fingerprint_history import (
    BLAMED_CRASHES,
    FingerprintHistory,
    choose_duration,
)
from egretdale.util.clocks import Clock

#: Seconds after the first crash of a fingerprint until other requests with it
#: have had time to show that it does no harm. Several servers may be lost at
#: once.
_FIRST_HEARING_S = 2.5
#: The same after the last of them.
_LAST_HEARING_S = 0.5
#: Seconds between two searches for crashes that no longer count.
_EXPIRY_INTERVAL_S = 10.0
#: Most fingerprints that are kept.
_MAXIMUM_FINGERPRINTS = 512


@dataclass(slots=True, frozen=True)
class Quarantine:
    """The quarantine of a fingerprint.

    :ivar fingerprint: the fingerprint.
    :ivar crashes: number of crashes.
    :ivar ends_at: clock time from which single requests are tried, minus
        infinity if something else may have caused the crashes.
    """

    fingerprint: int
    crashes: int
    ends_at: float


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
        rivals = [
            rival
            for other, rival in self._histories.items()
            if fingerprints and other not in fingerprints
        ]
        suspicious = [
            crash
            for crash in history.crashes
            if not history.has_narrower_cause(crash, fingerprint, rivals)
        ]
        times = sorted(crash.at for crash in suspicious)
        if not self._is_heard(times):
            return None
        unexplained = [
            crash.at
            for crash in suspicious
            if not history.has_likelier_cause(crash, fingerprint, rivals)
        ]
        ends_at = -math.inf
        if len(unexplained) >= BLAMED_CRASHES:
            ends_at = max(unexplained) + choose_duration(unexplained)
        return Quarantine(fingerprint, len(times), ends_at)

    def _is_heard(self, times: list[float]) -> bool:
        """Tell whether there are enough crashes and time has passed since.

        :param times: clock times of the crashes in order.
        """
        if len(times) < BLAMED_CRASHES:
            return False
        return self._clock() >= max(
            times[0] + _FIRST_HEARING_S,
            times[BLAMED_CRASHES - 1] + _LAST_HEARING_S,
        )

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
