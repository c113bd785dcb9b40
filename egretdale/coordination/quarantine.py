"""Keeps requests from backend servers that would crash them.

This answers a request that crashes each backend server which begins to run it,
and a part of a prompt whose requests do. Callers bring them again at any host,
so the hosts tell each other which requests were in progress at crashes.
"""

from __future__ import annotations

from egretdale.coordination.admission import AdmittedRequest
from egretdale.coordination.mesh import Mesh, MeshListener
from egretdale.coordination.peer_reports import PeerReports
from egretdale.state.crash_records import CrashRecord, RunRecord, TrialRecord
from egretdale.state.crashes import CrashHistory, Quarantine
from egretdale.state.fingerprint_history import BLAMED_CRASHES
from egretdale.state.messages import BackendCrash, Batch, FingerprintRun
from egretdale.state.outcomes import Ran, Reason, Refused
from egretdale.util.clocks import Clock, convert_to_ms, convert_to_seconds
from egretdale.util.logs import get_logger

logger = get_logger(__name__)

#: Seconds after the end of a quarantine within which the hosts begin to try the
#: fingerprint, one after the other, and the longest time between two of them.
_TRIALS_S = 10.0
_MAXIMUM_STAGGER_S = 1.0
#: Least time in seconds between two trials of a fingerprint.
_TRIAL_INTERVAL_S = 5.0
#: Fingerprints of one request that are recorded for a peer.
_MAXIMUM_FINGERPRINTS = 32
#: Shortest retry time in seconds of a quarantined request.
_MINIMUM_RETRY_S = 5.0


class RequestQuarantine(MeshListener):
    """Recognises requests that crash backend servers, on all hosts.

    :ivar history: crashes by fingerprint.
    """

    __slots__ = ('_clock', '_mesh', '_reports', 'history')

    def __init__(self, mesh: Mesh, clock: Clock) -> None:
        """Create a quarantine without requests.

        :param mesh: links to peers.
        :param clock: monotonic clock.
        """
        self.history = CrashHistory(clock)
        self._reports = PeerReports(mesh, clock, self._write)
        self._mesh = mesh
        self._clock = clock

    def check(
        self, admitted: AdmittedRequest, *, is_sending: bool
    ) -> Refused | None:
        """Check that no fingerprint of a request is quarantined.

        After the quarantine single requests are tried. The hosts begin one
        after the other, and each waits for the outcome of the last trial.

        :param admitted: the request.
        :param is_sending: whether it is sent next, which counts as a trial.
        :return: a refusal if it must not be sent.
        """
        found = self.history.find_quarantine(admitted.fingerprints)
        if found is None:
            return None
        wait_s = self._find_trial_time(found) - self._clock()
        if wait_s > 0:
            return _refuse(admitted, found, wait_s)
        if is_sending:
            self._begin_trial(admitted, found)
        return None

    def withdraw_trial(self, admitted: AdmittedRequest) -> None:
        """Record that a request could not be sent, in case it was a trial.

        :param admitted: the request.
        """
        request_id = admitted.request.request_id
        for fingerprint in admitted.fingerprints:
            self.history.withdraw_trial(fingerprint, request_id)

    def report_crash(self, record: CrashRecord, request_id: str) -> None:
        """Record a request that was in progress at a crash, and tell peers.

        :param record: the request.
        :param request_id: its ID.
        """
        own = self._mesh.table.own_host
        if self._note_crash(record, own, request_id):
            self._reports.announce(record)
            self._keep_blamed(record, own)

    def report_run(
        self, fingerprints: tuple[int, ...], began_at: float
    ) -> None:
        """Record that a request was served, and tell peers if it matters.

        :param fingerprints: its fingerprints.
        :param began_at: clock time at which it was sent.
        """
        for fingerprint in fingerprints:
            if self.history.is_suspected(fingerprint):
                record = RunRecord(fingerprint, began_at)
                if self._note_run(record, self._mesh.table.own_host):
                    self._reports.announce(record)

    # Peers

    def fill(self, host: str, batch: Batch) -> None:
        """Add the reports that a peer may not know to a batch.

        :param host: receiving host.
        :param batch: the batch.
        """
        self._reports.fill(host, batch)

    def receive(self, batch: Batch) -> None:
        """Record the reports of a peer.

        :param batch: a batch from a peer.
        """
        now = self._clock()
        for crash in batch.crashes:
            record = CrashRecord(
                (crash.name, crash.born_ms),
                now - convert_to_seconds(crash.age_ms),
                tuple(crash.fingerprints[:_MAXIMUM_FINGERPRINTS]),
            )
            if self._note_crash(record, batch.sender, ''):
                self._keep_blamed(record, batch.sender)
        for run in batch.runs:
            began_at = now - convert_to_seconds(run.age_ms)
            self._note_run(RunRecord(run.fingerprint, began_at), batch.sender)
        for trial in batch.trials:
            began_at = now - convert_to_seconds(trial.age_ms)
            self.history.note_trial(TrialRecord(trial.fingerprint, began_at))

    def note_failure(self, host: str) -> None:
        """Tell a host everything again that could not be reached.

        :param host: name of the host.
        """
        self._reports.note_failure(host)

    def _write(
        self,
        batch: Batch,
        record: CrashRecord | RunRecord | TrialRecord,
        now: float,
    ) -> None:
        match record:
            case CrashRecord(incarnation=(name, born_ms)):
                suspected = list(
                    filter(self.history.is_suspected, record.fingerprints)
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

    def _note_crash(
        self, record: CrashRecord, source: str, request_id: str
    ) -> bool:
        if not self.history.note_crash(record):
            return False
        name, born_ms = record.incarnation
        logger.info(
            'backend-crashed',
            backend=name,
            born_ms=born_ms,
            fingerprints=_format_all(record.fingerprints),
            age_ms=convert_to_ms(self._clock() - record.at),
            source=source,
            request_id=request_id,
        )
        return True

    def _note_run(self, record: RunRecord, source: str) -> bool:
        crashes = self.history.note_run(record)
        if not crashes:
            return False
        logger.info(
            'fingerprint-cleared',
            fingerprint=f'{record.fingerprint:x}',
            crashes=crashes,
            source=source,
        )
        return True

    def _keep_blamed(self, record: CrashRecord, source: str) -> None:
        """Keep telling peers about the crashes of a quarantined fingerprint.

        Hosts that start later learn it although those that saw the crashes
        may be lost by then.

        :param record: a request that was in progress at a crash.
        :param source: the host that has reported it.
        """
        for fingerprint in record.fingerprints:
            crashes = self.history.list_crashes(fingerprint)
            if len(crashes) < BLAMED_CRASHES:
                continue
            expires_at = self.history.find_expiry(fingerprint)
            for crash in crashes:
                known_to = source if crash.is_same_crash(record) else ''
                self._reports.keep(crash, expires_at, known_to)

    def _begin_trial(
        self, admitted: AdmittedRequest, quarantine: Quarantine
    ) -> None:
        request_id = admitted.request.request_id
        trial = TrialRecord(quarantine.fingerprint, self._clock())
        self.history.note_trial(trial, request_id)
        # Other hosts may be about to send such a request too.
        self._reports.announce(trial, delay_s=0)
        logger.info(
            'fingerprint-tried',
            request_id=request_id,
            fingerprint=f'{quarantine.fingerprint:x}',
            crashes=quarantine.crashes,
        )

    def _find_trial_time(self, quarantine: Quarantine) -> float:
        """Find the clock time from which this host may try a fingerprint."""
        fingerprint = quarantine.fingerprint
        ranked = self._mesh.table.rank_live(f'fingerprint/{fingerprint}')
        own = self._mesh.table.own_host
        rank = ranked.index(own) if own in ranked else len(ranked)
        stagger_s = min(_MAXIMUM_STAGGER_S, _TRIALS_S / max(1, len(ranked)))
        return max(
            quarantine.ends_at + rank * stagger_s,
            self.history.find_trial(fingerprint) + _TRIAL_INTERVAL_S,
        )


def _refuse(
    admitted: AdmittedRequest, quarantine: Quarantine, wait_s: float
) -> Refused:
    reason = Reason.PART_QUARANTINED
    cause = f'requests with the part {quarantine.fingerprint:x} of the prompt'
    if quarantine.fingerprint == admitted.fingerprint:
        reason = Reason.REQUEST_QUARANTINED
        cause = 'requests with this path, caller and body'
    return Refused(
        reason,
        Ran.NO,
        max(_MINIMUM_RETRY_S, wait_s),
        f'{quarantine.crashes} backend servers have crashed while {cause} '
        'began to be answered',
    )


def _create_run(record: RunRecord | TrialRecord, now: float) -> FingerprintRun:
    age_ms = convert_to_ms(now - record.began_at)
    return FingerprintRun(record.fingerprint, age_ms)


def _format_all(fingerprints: tuple[int, ...]) -> str:
    return ','.join(f'{fingerprint:x}' for fingerprint in fingerprints)
