"""Tests of the reports that hosts send each other."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field

import eventlet

from egretdale.coordination.peer_reports import PeerReports
from egretdale.coordination.quarantine import RequestQuarantine
from egretdale.state.crash_records import CrashRecord, RunRecord, TrialRecord
from egretdale.state.members import MemberStatus, MemberTable
from egretdale.state.messages import (
    BackendCrash,
    Batch,
    FingerprintRun,
    MemberUpdate,
)
from standins.virtual.hub import VirtualHub, use_virtual_time
from tests.functions import create_loader

load_tests = create_loader(__name__)

_HOSTS = 195
_REPORTS_PER_BATCH = 24
_MAXIMUM_REPORTS = 256


@dataclass
class _RecordingMesh:
    """A mesh that delivers at once.

    :ivar batches: received batches with their times, by host.
    """

    hub: VirtualHub
    table: MemberTable
    reports: PeerReports = field(init=False)
    batches: dict[str, list[tuple[float, Batch]]] = field(default_factory=dict)

    def probe(self, host: str) -> None:
        """Send a batch."""
        batch = Batch('h0', 1)
        self.reports.fill(host, batch)
        self.batches.setdefault(host, []).append((self.hub.now, batch))


def _write(
    batch: Batch, record: CrashRecord | RunRecord | TrialRecord, now: float
) -> None:
    match record:
        case CrashRecord(incarnation=(name, born_ms)):
            crash = BackendCrash(name, born_ms, 0, list(record.fingerprints))
            batch.crashes.append(crash)
        case RunRecord(fingerprint=fingerprint):
            batch.runs.append(FingerprintRun(fingerprint))
        case TrialRecord(fingerprint=fingerprint):
            batch.trials.append(FingerprintRun(fingerprint))


@contextmanager
def _open_mesh(hosts: int = _HOSTS) -> Iterator[_RecordingMesh]:
    with use_virtual_time() as hub:
        table = MemberTable('h0')
        for index in range(hosts):
            name = f'h{index}'
            alive = int(MemberStatus.ALIVE)
            table.apply(
                MemberUpdate(name, 1, 0, alive, 'dc', name, name), hub.now
            )
        mesh = _RecordingMesh(hub, table)
        mesh.reports = PeerReports(mesh, hub.read_now, _write)
        yield mesh


def _crash(mesh: _RecordingMesh, number: int) -> CrashRecord:
    return CrashRecord((f'e{number}', 0), mesh.hub.now, (number,))


def test_a_report_does_not_wait_for_those_that_are_told_again() -> None:
    """Hosts are told again each second for half a minute."""
    with _open_mesh(6) as mesh:
        mesh.reports.announce(_crash(mesh, 0))
        eventlet.sleep(0.5)
        mesh.reports.announce(_crash(mesh, 1))
        eventlet.sleep(0.1)
        told = [batch for _, batch in mesh.batches['h3'] if batch.crashes]
        assert [batch.crashes[0].name for batch in told] == ['e0', 'e1']


def test_trials_are_told_at_once() -> None:
    """Other hosts may be about to send such a request too."""
    with _open_mesh() as mesh:
        mesh.reports.announce(TrialRecord(7, mesh.hub.now), delay_s=0)
        sent_at = mesh.hub.now
        eventlet.sleep(0.01)
        at, batch = mesh.batches['h194'][0]
        assert at == sent_at
        assert batch.trials[0].fingerprint == 7


def test_many_reports_cost_a_bounded_number_of_batches() -> None:
    """Reports of engines that crash one after the other share batches."""
    with _open_mesh() as mesh:
        for number in range(100):
            mesh.reports.announce(_crash(mesh, number))
            eventlet.sleep(0.05)
        assert sum(map(len, mesh.batches.values())) < 6 * 200 + _HOSTS


def test_new_reports_come_before_those_for_hosts_that_start_later() -> None:
    """A batch has room for some reports only."""
    with _open_mesh(2) as mesh:
        until = mesh.hub.now + 600
        for number in range(_REPORTS_PER_BATCH):
            mesh.reports.keep(_crash(mesh, number), until, 'h0')
        mesh.reports.announce(RunRecord(7, mesh.hub.now))
        eventlet.sleep(0.1)
        _, batch = mesh.batches['h1'][0]
        assert batch.runs


def test_reports_for_hosts_that_start_later_are_not_displaced() -> None:
    """A loss of many engines brings many reports that expire soon."""
    with _open_mesh(2) as mesh:
        until = mesh.hub.now + 600
        mesh.reports.keep(_crash(mesh, 0), until, 'h0')
        for number in range(1, _MAXIMUM_REPORTS + 50):
            mesh.reports.announce(_crash(mesh, number))
        eventlet.sleep(60)
        mesh.probe('h1')
        names = [
            crash.name
            for _, batch in mesh.batches['h1']
            for crash in batch.crashes
        ]
        assert 'e0' in names


def test_a_host_that_has_reported_one_crash_is_told_the_others() -> None:
    """It has started after them and was told by no other host."""
    with _open_mesh(3) as mesh:
        quarantine = RequestQuarantine(mesh, mesh.hub.read_now)
        for number, sender in enumerate(('h1', 'h1', 'h2')):
            batch = Batch(sender, 1)
            batch.crashes.append(BackendCrash(f'e{number}', 0, 0, [7]))
            quarantine.receive(batch)
        answer = Batch('h0', 1)
        quarantine.fill('h2', answer)
        assert {crash.name for crash in answer.crashes} == {'e0', 'e1'}
