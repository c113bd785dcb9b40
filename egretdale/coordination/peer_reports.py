"""Tells each peer once what this host has seen."""

from __future__ import annotations

import math
from collections.abc import Callable, Hashable
from dataclasses import dataclass, field

import eventlet
from eventlet.greenthread import GreenThread

from egretdale.coordination.mesh import Mesh
from egretdale.state.messages import Batch
from egretdale.util.clocks import Clock

#: Delay in seconds within which reports are sent together.
FLUSH_S = 0.05
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

#: Adds a record to a batch, given the clock time.
RecordWriter = Callable[[Batch, Hashable, float], None]


@dataclass(slots=True)
class PeerReport:
    """A record that peers are told.

    :ivar record: the record.
    :ivar expires_at: clock time until which they are told.
    :ivar urgent_until: clock time until which they are told at once, 0 for
        hosts that start later only.
    :ivar told: incarnations of the hosts that know it, by name.
    """

    record: Hashable
    expires_at: float
    urgent_until: float = 0
    told: dict[str, int] = field(default_factory=dict)

    def is_known_to(self, host: str, incarnation: int) -> bool:
        """Tell whether a host knows the record.

        :param host: name of the host.
        :param incarnation: its incarnation.
        """
        return self.told.get(host) == incarnation


class PeerReports:
    """Records that peers are told, each one once."""

    __slots__ = (
        '_clock',
        '_flush_at',
        '_mesh',
        '_next_flush_at',
        '_reports',
        '_timer',
        '_write',
    )

    def __init__(self, mesh: Mesh, clock: Clock, write: RecordWriter) -> None:
        """Create reports without records.

        :param mesh: links to peers.
        :param clock: monotonic clock.
        :param write: adds a record to a batch.
        """
        self._mesh = mesh
        self._clock = clock
        self._write = write
        self._reports: dict[Hashable, PeerReport] = {}
        self._timer: GreenThread | None = None
        self._flush_at = math.inf
        self._next_flush_at = -math.inf

    def announce(self, record: Hashable, delay_s: float = FLUSH_S) -> None:
        """Tell all peers about a record of this host at once.

        :param record: the record.
        :param delay_s: delay in seconds within which records are sent together.
        """
        until = self._clock() + _ANNOUNCED_S
        self._add(record, until).urgent_until = until
        self._schedule_flush(delay_s)

    def keep(self, record: Hashable, expires_at: float, known_to: str) -> None:
        """Tell hosts that start later about a record.

        :param record: the record.
        :param expires_at: clock time until which they are told.
        :param known_to: a host that need not be told, empty for none.
        """
        report = self._add(record, expires_at)
        if known_to:
            report.told[known_to] = self._find_incarnation(known_to)

    def fill(
        self,
        host: str,
        batch: Batch,
        is_wanted: Callable[[Hashable], bool] | None = None,
    ) -> None:
        """Add the records that a peer may not know to a batch.

        :param host: receiving host.
        :param batch: the batch.
        :param is_wanted: tells whether a record is for that host, ``None`` if
            all are.
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
            and (is_wanted is None or is_wanted(report.record))
        ]
        unknown.sort(key=_rank_report)
        for report in unknown[-_REPORTS_PER_BATCH:]:
            report.told[host] = incarnation
            self._write(batch, report.record, now)

    def note_failure(self, host: str) -> None:
        """Tell a host everything again that could not be reached.

        :param host: name of the host.
        """
        for report in self._reports.values():
            report.told.pop(host, None)

    def _add(self, record: Hashable, expires_at: float) -> PeerReport:
        now = self._clock()
        for known in list(self._reports.values()):
            if known.expires_at <= now:
                self._reports.pop(known.record)
        report = self._reports.get(record)
        if report is None:
            report = PeerReport(record, expires_at)
            self._reports[record] = report
        report.expires_at = max(report.expires_at, expires_at)
        if len(self._reports) > _MAXIMUM_REPORTS:
            first = min(self._reports.values(), key=_get_expiry)
            self._reports.pop(first.record)
        return report

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


def _get_expiry(report: PeerReport) -> float:
    return report.expires_at


def _rank_report(report: PeerReport) -> tuple[bool, float]:
    """Rank reports for a batch, the most important one last.

    Those of quarantined fingerprints are kept the longest.

    :param report: a report.
    :return: sort key.
    """
    return (report.urgent_until > 0, report.expires_at)
