"""Tells peers about crashes of backend servers and about requests since."""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass, field

import eventlet
from eventlet.greenthread import GreenThread

from egretdale.coordination.mesh import Mesh
from egretdale.state.crash_records import CrashRecord, RunRecord, TrialRecord
from egretdale.state.messages import BackendCrash, Batch, FingerprintRun
from egretdale.util.clocks import Clock, convert_to_ms

#: Delay in seconds within which reports are sent together.
_FLUSH_S = 0.05
#: Batches in a second that a host sends at most to tell all others.
_BATCHES_PER_S = 200
#: Seconds until hosts that were not reached are told again.
_RETRY_S = 1.0
#: Seconds for which a host tells the others what it has seen.
_ANNOUNCED_S = 30.0
#: Reports in one batch.
_REPORTS_PER_BATCH = 24
#: Reports that are told at a time.
_MAXIMUM_REPORTS = 256

#: What peers are told.
Record = CrashRecord | RunRecord | TrialRecord


@dataclass(slots=True)
class CrashReport:
    """A record that peers are told.

    :ivar record: the record.
    :ivar expires_at: clock time until which they are told.
    :ivar urgent_until: clock time until which they are told at once, 0 for
        hosts that start later only.
    :ivar told: incarnations of the hosts that know it, by name.
    """

    record: Record
    expires_at: float
    urgent_until: float = 0
    told: dict[str, int] = field(default_factory=dict)

    def is_known_to(self, host: str, incarnation: int) -> bool:
        """Tell whether a host knows the record.

        :param host: name of the host.
        :param incarnation: its incarnation.
        """
        return self.told.get(host) == incarnation


class CrashReports:
    """Records that peers are told, each one once."""

    __slots__ = (
        '_clock',
        '_flush_at',
        '_is_suspected',
        '_mesh',
        '_next_flush_at',
        '_reports',
        '_timer',
    )

    def __init__(
        self, mesh: Mesh, clock: Clock, is_suspected: Callable[[int], bool]
    ) -> None:
        """Create reports without records.

        :param mesh: links to peers.
        :param clock: monotonic clock.
        :param is_suspected: tells whether a fingerprint still has crashes.
        """
        self._mesh = mesh
        self._clock = clock
        self._is_suspected = is_suspected
        self._reports: dict[Record, CrashReport] = {}
        self._timer: GreenThread | None = None
        self._flush_at = math.inf
        self._next_flush_at = -math.inf

    def announce(self, record: Record) -> None:
        """Tell all peers about a record of this host at once.

        :param record: the record.
        """
        until = self._clock() + _ANNOUNCED_S
        self._add(record, until).urgent_until = until
        # Other hosts may be about to send such a request too.
        is_trial = isinstance(record, TrialRecord)
        self._schedule_flush(0 if is_trial else _FLUSH_S)

    def keep(self, record: Record, expires_at: float, known_to: str) -> None:
        """Tell hosts that start later about a record.

        :param record: the record.
        :param expires_at: clock time until which they are told.
        :param known_to: a host that need not be told, empty for none.
        """
        report = self._add(record, expires_at)
        if known_to:
            report.told[known_to] = self._find_incarnation(known_to)

    def fill(self, host: str, batch: Batch) -> None:
        """Add the records that a peer may not know to a batch.

        :param host: receiving host.
        :param batch: the batch.
        """
        if not self._reports:
            return
        now = self._clock()
        incarnation = self._find_incarnation(host)
        unknown = [
            report
            for report in self._reports.values()
            if report.expires_at > now
            and not report.is_known_to(host, incarnation)
        ]
        unknown.sort(key=_rank_report)
        for report in unknown[-_REPORTS_PER_BATCH:]:
            report.told[host] = incarnation
            self._add_to_batch(batch, report.record, now)

    def note_failure(self, host: str) -> None:
        """Tell a host everything again that could not be reached.

        :param host: name of the host.
        """
        for report in self._reports.values():
            report.told.pop(host, None)

    def _add(self, record: Record, expires_at: float) -> CrashReport:
        now = self._clock()
        for known in list(self._reports.values()):
            if known.expires_at <= now:
                self._reports.pop(known.record)
        report = self._reports.get(record)
        if report is None:
            report = CrashReport(record, expires_at)
            self._reports[record] = report
        report.expires_at = max(report.expires_at, expires_at)
        if len(self._reports) > _MAXIMUM_REPORTS:
            first = min(self._reports.values(), key=_get_expiry)
            self._reports.pop(first.record)
        return report

    def _add_to_batch(self, batch: Batch, record: Record, now: float) -> None:
        match record:
            case CrashRecord(incarnation=(name, born_ms)):
                suspected = list(
                    filter(self._is_suspected, record.fingerprints)
                )
                age_ms = convert_to_ms(now - record.at)
                if suspected:
                    batch.crashes.append(
                        BackendCrash(name, born_ms, age_ms, suspected)
                    )
            case RunRecord():
                batch.runs.append(_create_run(record, now))
            case TrialRecord():
                batch.trials.append(_create_run(record, now))

    def _schedule_flush(self, delay_s: float) -> None:
        flush_at = max(self._clock() + delay_s, self._next_flush_at)
        if self._flush_at <= flush_at:
            return
        self._flush_at = flush_at
        if self._timer is not None:
            self._timer.cancel()
        self._timer = eventlet.spawn_after(
            flush_at - self._clock(), self._flush
        )

    def _flush(self) -> None:
        self._timer = None
        self._flush_at = math.inf
        now = self._clock()
        urgent = [
            report
            for report in self._reports.values()
            if report.urgent_until > now
        ]
        probes = 0
        for member in self._mesh.table.list_reachable():
            host = member.update.host
            incarnation = member.update.incarnation
            if not all(
                report.is_known_to(host, incarnation) for report in urgent
            ):
                self._mesh.probe(host)
                probes += 1
        # Bounds the number of batches while many servers crash.
        self._next_flush_at = now + probes / _BATCHES_PER_S
        if urgent:
            self._schedule_flush(_RETRY_S)

    def _find_incarnation(self, host: str) -> int:
        member = self._mesh.table.find(host)
        return 0 if member is None else member.update.incarnation


def _create_run(record: RunRecord | TrialRecord, now: float) -> FingerprintRun:
    age_ms = convert_to_ms(now - record.began_at)
    return FingerprintRun(record.fingerprint, age_ms)


def _get_expiry(report: CrashReport) -> float:
    return report.expires_at


def _rank_report(report: CrashReport) -> tuple[bool, float]:
    """Rank reports for a batch, the most important one last.

    Those of quarantined fingerprints are kept the longest.

    :param report: a report.
    :return: sort key.
    """
    return (report.urgent_until > 0, report.expires_at)
