"""Checks of what clients and backend servers observed in a soak test."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass

from soak.clients import Attempt
from soak.departures import DepartureLog
from soak.evidence import Evidence, Stop
from soak.faults import FaultKind
from soak.incidents import CrashLog, Incident
from soak.timelines import Timeline

#: Statuses that guarantee that a request did not run and will not.
_NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
_OK = 200
#: Seconds after which requests with a revoked key must not run.
_REVOCATION_S = 5.0
#: Maximum duration of a graceful shutdown in seconds.
_MAXIMUM_SHUTDOWN_S = 8.0
#: Minimum fraction of the requests that must be served after the faults.
_MINIMUM_SERVED_SHARE = 0.25
#: Seconds after a fault in which it still excuses violations at a shutdown.
_AFTERMATH_S = 3.0
#: Crashes by a request after which it must be recognised, seconds until then,
#: and how often it may reach servers later.
_COUNTED_CRASHES = 3
_RECOGNITION_S = 3.0
_ALLOWED_ARRIVALS = 3
#: Seconds in which a daemon that was started anew gets in touch.
_START_S = 3.0
#: Seconds after a daemon has passed on that a server leaves until requests that
#: clients send to that daemon must not reach the server.
_DRAIN_S = 2.0
#: Bytes of a response in the report of a request that was not served.
_REPORTED_BYTES = 80
#: Faults that excuse nothing during a graceful shutdown.
_NOT_EXCUSING = frozenset(
    (
        FaultKind.STOP,
        FaultKind.RELOAD,
        FaultKind.STORE_FORGETS,
        FaultKind.KEY_CHANGE,
    )
)


@dataclass(slots=True, frozen=True)
class Violation:
    """A violated guarantee.

    :ivar promise: name of the guarantee.
    :ivar detail: what was observed.
    """

    promise: str
    detail: str


@dataclass(slots=True, frozen=True)
class Record:
    """The observations of a soak test.

    Times are on the clock of this process.

    :ivar began_at: start time.
    :ivar timeline: the disturbances.
    :ivar attempts: requests of all clients.
    :ivar runs: number of runs at backend servers, by request ID.
    :ivar evidence: observations of the daemons and the keys.
    :ivar steady_at: time from which requests must be served.
    :ivar calm_at: time from which servers only stuttered and fell silent.
    """

    began_at: float
    timeline: Timeline
    attempts: list[Attempt]
    runs: Counter[str]
    evidence: Evidence
    steady_at: float
    calm_at: float = float('inf')


def find_violations(record: Record) -> list[Violation]:
    """Find the guarantees that were violated.

    :param record: the observations.
    :return: the violations.
    """
    violations = [
        Violation('own-end', detail)
        for detail in record.evidence.unexpected_exits
    ]
    sent = {attempt.identity for attempt in record.attempts}
    violations.extend(
        Violation('unasked', f'{identity} ran but was never sent')
        for identity in record.runs
        if identity not in sent
    )
    for attempt in record.attempts:
        violations.extend(_check_attempt(record, attempt))
    for stop in record.evidence.stops:
        violations.extend(_check_stop(record, stop))
    for incident in record.timeline.incidents:
        violations.extend(_check_incident(record, incident))
    for log in record.evidence.departures:
        violations.extend(_check_departure(record, log))
    violations.extend(_check_recovery(record))
    violations.extend(_check_calm(record))
    return violations


def _check_attempt(record: Record, attempt: Attempt) -> list[Violation]:
    violations = []
    runs = record.runs[attempt.identity]
    at_most_once = attempt.kind == 'non_idempotent'
    if at_most_once and runs > 1:
        violations.append(
            Violation('twice', f'{attempt.identity} ran {runs} times')
        )
    if at_most_once and attempt.status in _NOT_RUN_STATUSES and runs:
        violations.append(
            Violation(
                'refused',
                f'{attempt.identity} ran but got status {attempt.status}',
            )
        )
    if attempt.status == _OK and not attempt.sealed:
        violations.append(Violation('mixed', f'{attempt.identity} has no seal'))
    if attempt.status == _OK and attempt.complete and not attempt.is_correct():
        violations.append(
            Violation('mixed', f'{attempt.identity} has a wrong body')
        )
    if attempt.status == _OK and not _is_prefix(attempt):
        violations.append(
            Violation(
                'order', f'{attempt.identity} has missing or reordered data'
            )
        )
    revoked_at = record.evidence.revoked_at.get(attempt.key, float('inf'))
    if runs and attempt.sent_at > revoked_at + _REVOCATION_S:
        violations.append(
            Violation('revoked', f'{attempt.identity} ran with a revoked key')
        )
    return violations


def _is_prefix(attempt: Attempt) -> bool:
    whole = Attempt(attempt.identity, attempt.kind, '', 0, 0)
    return whole.create_expected_body().startswith(attempt.body)


def _check_stop(record: Record, stop: Stop) -> list[Violation]:
    if _is_excused(record, stop.began_at, stop.ended_at):
        return []
    violations = []
    name = f'shutdown of daemon {stop.daemon}'
    if stop.status:
        violations.append(
            Violation('stop', f'{name} ended with exit status {stop.status}')
        )
    if stop.ended_at - stop.began_at > _MAXIMUM_SHUTDOWN_S:
        violations.append(Violation('stop', f'{name} took too long'))
    for attempt in record.attempts:
        at_stop = attempt.host == stop.daemon and (
            stop.began_at <= attempt.ended_at <= stop.ended_at
        )
        ran = record.runs[attempt.identity]
        crashed = _has_met_crash(record, attempt)
        if at_stop and ran and not attempt.complete and not crashed:
            violations.append(
                Violation(
                    'lost', f'{attempt.identity} was aborted during the {name}'
                )
            )
    return violations


def _has_met_crash(record: Record, attempt: Attempt) -> bool:
    """Tell whether a server crashed while a request was in progress."""
    return any(
        attempt.sent_at < at < attempt.ended_at
        for log in record.evidence.crashes.values()
        for at in log.crashed_at
    )


def _check_incident(record: Record, incident: Incident) -> list[Violation]:
    log = record.evidence.crashes.get(incident.path)
    if log is None or len(log.crashed_at) < _COUNTED_CRASHES:
        return []
    bound = log.crashed_at[_COUNTED_CRASHES - 1] + _RECOGNITION_S
    hosts = {attempt.identity: attempt.host for attempt in record.attempts}
    late = sum(
        at > bound and _is_in_touch(record, hosts[identity], at)
        for identity, at in log.arrivals.items()
    )
    if late <= _ALLOWED_ARRIVALS or _have_all_forgotten(record, log):
        return []
    detail = f'{incident.path} reached servers {late} times more'
    return [Violation('budget', detail)]


def _check_departure(record: Record, log: DepartureLog) -> list[Violation]:
    reached = set(log.arrivals)
    attempts = [
        attempt for attempt in record.attempts if attempt.identity in reached
    ]
    told = [attempt for attempt in attempts if attempt.told_at]
    told.sort(key=_get_told_at, reverse=True)
    # The first response of each daemon comes last.
    told_at = {attempt.host: attempt.told_at for attempt in told}
    return [
        Violation('drain', f'{attempt.identity} reached a server that left')
        for attempt in attempts
        if _is_late(record, attempt, told_at.get(attempt.host, float('inf')))
    ]


def _is_late(record: Record, attempt: Attempt, told_at: float) -> bool:
    if attempt.sent_at <= told_at + _DRAIN_S:
        return False
    # A daemon that was lost or paused since is excused.
    return not any(
        absence.daemon == attempt.host
        and absence.began_at < attempt.sent_at
        and absence.ended_at > told_at
        for absence in record.evidence.absences
    )


def _get_told_at(attempt: Attempt) -> float:
    return attempt.told_at


def _is_in_touch(record: Record, host: int, at: float) -> bool:
    return not any(
        absence.daemon == host
        and absence.began_at < at
        and at < absence.ended_at + _START_S + _RECOGNITION_S
        for absence in record.evidence.absences
    )


def _have_all_forgotten(record: Record, log: CrashLog) -> bool:
    """Tell whether each daemon was lost after the first crash."""
    lost = {
        absence.daemon
        for absence in record.evidence.absences
        if absence.is_lost
        and absence.ended_at > log.crashed_at[0]
        and absence.began_at < max(log.arrivals.values())
    }
    return lost == {attempt.host for attempt in record.attempts}


def _check_recovery(record: Record) -> list[Violation]:
    steady = [
        attempt.is_served()
        for attempt in record.attempts
        if attempt.sent_at >= record.steady_at
    ]
    if sum(steady) >= len(steady) * _MINIMUM_SERVED_SHARE:
        return []
    detail = f'{sum(steady)} of {len(steady)} served after the faults'
    return [Violation('recovery', detail)]


def _check_calm(record: Record) -> list[Violation]:
    return [
        Violation(
            'calm',
            f'{attempt.identity} ({attempt.kind}) sent at'
            f' {attempt.sent_at - record.calm_at:.2f} s got status'
            f' {attempt.status} after'
            f' {attempt.ended_at - attempt.sent_at:.2f} s'
            f' {attempt.body[:_REPORTED_BYTES]!r}',
        )
        for attempt in record.attempts
        if attempt.sent_at > record.calm_at
        and attempt.key not in record.evidence.revoked_at
        and not attempt.is_served()
    ]


def _is_excused(record: Record, start: float, end: float) -> bool:
    return any(
        fault.kind not in _NOT_EXCUSING
        and record.began_at + fault.at_s < end
        and record.began_at + fault.end_s + _AFTERMATH_S > start
        for fault in record.timeline.faults
    )
