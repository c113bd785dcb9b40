"""Checks of what callers and backend servers have seen."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass

from soak.clients import Attempt
from soak.faults import Fault, FaultKind
from soak.world import Evidence, Stop

#: Statuses that promise that a request has not run and never will.
_PROMISES = frozenset((408, 421, 429, 503))
_OK = 200
#: Seconds after which a key that was taken away must not run anything.
_REVOKE_S = 5.0
#: Longest planned stop in seconds.
_GRACE_S = 8.0
#: Least part of the requests that is served after the faults.
_RECOVERED_SHARE = 0.25
#: Seconds around a fault in which it may excuse what happens.
_CONTACT_S = 3.0
#: Faults that excuse nothing at a planned stop.
_HARMLESS = frozenset(
    (
        FaultKind.STOP,
        FaultKind.RELOAD,
        FaultKind.STORE_FORGETS,
        FaultKind.KEY_CHANGE,
    )
)


@dataclass(slots=True, frozen=True)
class Violation:
    """A promise that was broken.

    :ivar promise: which promise.
    :ivar detail: what was seen.
    """

    promise: str
    detail: str


@dataclass(slots=True, frozen=True)
class Record:
    """Everything that was seen in a soak.

    :ivar began_at: clock time of its start.
    :ivar faults: the timeline.
    :ivar attempts: requests of all clients.
    :ivar runs: runs at backend servers by identity.
    :ivar evidence: what was seen of the processes.
    :ivar steady_at: clock time from which on requests must be served.
    """

    began_at: float
    faults: list[Fault]
    attempts: list[Attempt]
    runs: Counter[str]
    evidence: Evidence
    steady_at: float


def find_violations(record: Record) -> list[Violation]:
    """Find the promises that were broken.

    :param record: what was seen.
    :return: the violations.
    """
    found = [
        Violation('own-end', detail)
        for detail in record.evidence.unexpected_exits
    ]
    sent = {attempt.identity for attempt in record.attempts}
    found.extend(
        Violation('unasked', f'{identity} was never sent')
        for identity in record.runs
        if identity not in sent
    )
    for attempt in record.attempts:
        found.extend(_check_attempt(record, attempt))
    for stop in record.evidence.stops:
        found.extend(_check_stop(record, stop))
    found.extend(_check_recovery(record))
    return found


def _check_attempt(record: Record, attempt: Attempt) -> list[Violation]:
    found = []
    runs = record.runs[attempt.identity]
    once = attempt.kind == 'non_idempotent'
    if once and runs > 1:
        found.append(Violation('twice', f'{attempt.identity} ran {runs} times'))
    if once and attempt.status in _PROMISES and runs:
        found.append(
            Violation('refused', f'{attempt.identity} got {attempt.status}')
        )
    if attempt.status == _OK and not attempt.sealed:
        found.append(Violation('mixed', f'{attempt.identity} has no seal'))
    if attempt.status == _OK and attempt.complete and not attempt.is_correct():
        found.append(Violation('mixed', f'{attempt.identity} has another body'))
    if attempt.status == _OK and not _is_prefix(attempt):
        found.append(Violation('order', f'{attempt.identity} is out of order'))
    revoked_at = record.evidence.revoked_at.get(attempt.key, float('inf'))
    if runs and attempt.sent_at > revoked_at + _REVOKE_S:
        found.append(Violation('revoked', f'{attempt.identity} ran'))
    return found


def _is_prefix(attempt: Attempt) -> bool:
    whole = Attempt(attempt.identity, attempt.kind, '', 0, 0)
    return whole.create_expected_body().startswith(attempt.body)


def _check_stop(record: Record, stop: Stop) -> list[Violation]:
    if _is_excused(record, stop.began_at, stop.ended_at):
        return []
    found = []
    name = f'stop of {stop.daemon}'
    if stop.status:
        found.append(Violation('stop', f'{name} ended with {stop.status}'))
    if stop.ended_at - stop.began_at > _GRACE_S:
        found.append(Violation('stop', f'{name} took too long'))
    for attempt in record.attempts:
        at_stop = attempt.host == stop.daemon and (
            stop.began_at <= attempt.ended_at <= stop.ended_at
        )
        ran = record.runs[attempt.identity]
        if at_stop and ran and not attempt.complete:
            found.append(Violation('lost', f'{attempt.identity} at {name}'))
    return found


def _check_recovery(record: Record) -> list[Violation]:
    steady = [
        attempt.is_served()
        for attempt in record.attempts
        if attempt.sent_at >= record.steady_at
    ]
    if sum(steady) >= len(steady) * _RECOVERED_SHARE:
        return []
    detail = f'{sum(steady)} of {len(steady)} served after the faults'
    return [Violation('recovery', detail)]


def _is_excused(record: Record, start: float, end: float) -> bool:
    return any(
        fault.kind not in _HARMLESS
        and record.began_at + fault.at_s < end
        and record.began_at + fault.end_s + _CONTACT_S > start
        for fault in record.faults
    )
