"""Crashes of backend servers by one fingerprint of the requests in progress."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from egretdale.state.crash_records import CrashRecord

#: Crashes after which a fingerprint is quarantined.
BLAMED_CRASHES = 3
#: Seconds within which crashes may have one cause, such as the loss of a rack.
_SERIES_S = 1.0
#: Seconds for which a fingerprint is quarantined after one series of crashes,
#: and the factor for each further series.
_QUARANTINE_S = 2.0
_QUARANTINE_FACTOR = 10
#: Seconds for which a crash counts.
_RETENTION_S = 600.0
#: Most crashes of a fingerprint that are kept.
_MAXIMUM_CRASHES = 16


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

    def has_narrower_cause(
        self,
        crash: CrashRecord,
        fingerprint: int,
        rivals: list[FingerprintHistory],
    ) -> bool:
        """Tell whether only some requests with the fingerprint cause a crash.

        They have another fingerprint too, with as many crashes.

        :param crash: one of the crashes.
        :param fingerprint: the fingerprint.
        :param rivals: crashes of fingerprints that a request does not have.
        """
        return any(
            fingerprint in found.fingerprints
            for rival in rivals
            if len(rival.crashes) >= len(self.crashes)
            and (found := rival.find(crash)) is not None
        )

    def has_likelier_cause(
        self,
        crash: CrashRecord,
        fingerprint: int,
        rivals: list[FingerprintHistory],
    ) -> bool:
        """Tell whether something else was there that may have caused a crash.

        That is a fingerprint with more crashes, or one with enough of its own
        that the request had beside this one.

        :param crash: one of the crashes.
        :param fingerprint: the fingerprint.
        :param rivals: crashes of fingerprints that a request does not have.
        """
        return any(
            len(rival.crashes) > len(self.crashes)
            or (
                len(rival.crashes) >= BLAMED_CRASHES
                and fingerprint in found.fingerprints
            )
            for rival in rivals
            if (found := rival.find(crash)) is not None
        )

    @property
    def expires_at(self) -> float:
        """Clock time until which the crashes are kept."""
        times = [crash.at for crash in self.crashes]
        return max(times) + _RETENTION_S + choose_duration(times)


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


def _get_time(crash: CrashRecord) -> float:
    return crash.at
