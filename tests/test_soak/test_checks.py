"""Tests of the soak test's checks: each violation is detected."""

from __future__ import annotations

from collections import Counter
from itertools import pairwise

from soak.checks import Record, find_violations
from soak.clients import Attempt
from soak.departures import DepartureLog, draw_departures
from soak.evidence import Absence, Evidence, Stop
from soak.faults import Fault, FaultKind, draw_timeline
from soak.incidents import CrashLog, Incident, draw_incidents
from soak.proxies import Harm
from soak.reports import Outcome, describe, measure_attainment
from soak.silences import Silence
from soak.stutters import Stutter
from soak.timelines import Timeline, draw_lapses
from tests.functions import create_loader

load_tests = create_loader(__name__)

_IDENTITY = 'c0-1'


def _create_attempt(kind: str = 'non_idempotent', **changes: object) -> Attempt:
    attempt = Attempt(_IDENTITY, kind, 'key-0', 0, 110, 111)
    attempt.status = 200
    attempt.sealed = True
    attempt.complete = True
    attempt.body = attempt.create_expected_body()
    for name, changed in changes.items():
        setattr(attempt, name, changed)
    return attempt


def _find(
    attempt: Attempt,
    runs: int = 1,
    *,
    faults: tuple[Fault, ...] = (),
    steady_at: float = 200,
    calm_at: float = 200,
    **observed: object,
) -> list[str]:
    record = Record(
        100,
        Timeline(list(faults)),
        [attempt],
        Counter({_IDENTITY: runs}),
        Evidence(**observed),
        steady_at,
        calm_at,
    )
    return [violation.promise for violation in find_violations(record)]


def test_correct_responses_violate_nothing() -> None:
    """Correct responses of all kinds pass."""
    for kind in ('non_idempotent', 'idempotent', 'streaming'):
        assert not _find(_create_attempt(kind))


def test_a_second_run_is_found() -> None:
    """Only idempotent requests may run twice."""
    assert _find(_create_attempt(), runs=2) == ['twice']
    assert not _find(_create_attempt('idempotent'), runs=2)


def test_a_refusal_after_a_run_is_found() -> None:
    """Refused requests must not have run."""
    for status in (408, 421, 429, 503):
        refused = _create_attempt(status=status, body=b'', sealed=False)
        assert _find(refused) == ['refused']
        assert not _find(refused, runs=0)


def test_wrong_answers_are_found() -> None:
    """Unsealed, truncated and foreign responses do not pass.

    A truncated response passes if its framing shows the truncation.
    """
    assert _find(_create_attempt(sealed=False)) == ['mixed']
    assert 'mixed' in _find(_create_attempt(body=b'answer'))
    other = Attempt('c0-2', 'non_idempotent', '', 0, 0).create_expected_body()
    assert 'mixed' in _find(_create_attempt(body=other))
    assert not _find(_create_attempt(body=b'answer', complete=False))


def test_streams_out_of_order_are_found() -> None:
    """A broken stream may end early but must not skip events."""
    whole = _create_attempt('streaming').body
    assert not _find(
        _create_attempt('streaming', body=whole[:100], complete=False)
    )
    skipped = whole[:20] + whole[60:]
    assert 'order' in _find(
        _create_attempt('streaming', body=skipped, complete=False)
    )


def test_a_run_with_a_revoked_key_is_found() -> None:
    """Requests sent over 5 s after an acknowledged revocation must not run."""
    assert _find(_create_attempt(), revoked_at={'key-0': 104.0}) == ['revoked']
    assert not _find(_create_attempt(), revoked_at={'key-0': 106.0})


def test_runs_that_nobody_asked_for_are_found() -> None:
    """Backend servers must only run requests that clients sent."""
    assert 'unasked' in _find(_create_attempt(identity='c0-9'))


def test_unexpected_exits_are_found() -> None:
    """A daemon must not exit unless it is stopped or killed."""
    assert _find(_create_attempt(), unexpected_exits=['front-0']) == ['own-end']


def test_a_shutdown_that_aborts_requests_is_found() -> None:
    """A shutdown must abort no response and end in time with status 0.

    A fault shortly before or during the shutdown excuses it, but a reload
    does not.
    """
    cut = _create_attempt(complete=False, body=b'')
    stops = [Stop(0, 110.5, 112, 1)]
    assert _find(cut, stops=stops) == ['stop', 'lost']
    assert _find(_create_attempt(), stops=[Stop(0, 110, 119, 0)]) == ['stop']
    fault = Fault(9, 1, FaultKind.SERVER_LINK, 0, Harm.RESET)
    assert not _find(cut, stops=stops, faults=(fault,))
    reload = Fault(9, 1, FaultKind.RELOAD, 0)
    assert _find(cut, stops=stops, faults=(reload,)) == ['stop', 'lost']


def test_an_abort_by_a_crashed_server_is_excused() -> None:
    """The shutdown did not cause it."""
    cut = _create_attempt(complete=False, body=b'')
    stops = [Stop(0, 110.5, 112, 0)]
    assert _find(cut, stops=stops) == ['lost']
    crashes = {'deadly-1': CrashLog(crashed_at=[110.9])}
    assert not _find(cut, stops=stops, crashes=crashes)


def _find_late_arrivals(*absences: Absence) -> list[str]:
    attempts = [
        Attempt(f'd{number}', 'idempotent', '', number % 2, number, number)
        for number in range(101, 121)
    ]
    arrivals = {entry.identity: entry.sent_at for entry in attempts}
    log = CrashLog(arrivals, [101, 102, 103])
    incident = Incident(1, 1, 20)
    evidence = Evidence(absences=list(absences), crashes={incident.path: log})
    runs = Counter(arrivals.keys())
    timeline = Timeline(incidents=[incident])
    record = Record(100, timeline, attempts, runs, evidence, 200)
    return [violation.promise for violation in find_violations(record)]


def test_a_request_that_goes_on_crashing_servers_is_found() -> None:
    """Daemons that were just started or paused are excused.

    So are all, if none is left that has known it.
    """
    assert _find_late_arrivals() == ['budget']
    assert _find_late_arrivals(Absence(0, 104, 118, False)) == ['budget']
    paused = [Absence(host, 104, 118, False) for host in (0, 1)]
    assert not _find_late_arrivals(*paused)
    assert _find_late_arrivals(Absence(0, 104, 105, True)) == ['budget']
    lost = [Absence(host, 104, 105, True) for host in (0, 1)]
    assert not _find_late_arrivals(*lost)


def test_a_request_to_a_server_that_leaves_is_found() -> None:
    """Unless its daemon was lost or paused since it passed that on."""
    log = DepartureLog(100, ['c0-0', _IDENTITY])
    attempt = _create_attempt('idempotent')
    told = Attempt('c0-0', 'idempotent', 'key-0', 0, 107, told_at=107.9)
    for sent_at, absences, found in (
        (110, [], ['drain']),
        (109.8, [], []),
        (110, [Absence(0, 108, 108.5, False)], []),
        (110, [Absence(1, 108, 108.5, True)], ['drain']),
    ):
        attempt.sent_at = sent_at
        evidence = Evidence(departures=[log], absences=absences)
        record = Record(
            100,
            Timeline(),
            [told, attempt],
            Counter({_IDENTITY: 1, 'c0-0': 1}),
            evidence,
            200,
        )
        promises = [entry.promise for entry in find_violations(record)]
        assert promises.count('drain') == len(found), (sent_at, promises)


def test_a_system_that_does_not_recover_is_found() -> None:
    """At least a quarter of the requests must be served after the faults."""
    refused = _create_attempt(status=503, body=b'', sealed=False)
    assert _find(refused, runs=0, steady_at=105) == ['recovery']
    assert not _find(_create_attempt(), steady_at=105)


def test_a_request_that_is_not_served_in_calm_is_found() -> None:
    """Stutters and silences of servers excuse neither refusals nor cuts.

    Requests with a revoked key are refused at any time.
    """
    refused = _create_attempt(status=503, body=b'', sealed=False)
    cut = _create_attempt(status=0, complete=False, body=b'', sealed=False)
    for attempt in (refused, cut):
        assert _find(attempt, runs=0, calm_at=105) == ['calm']
        assert not _find(attempt, runs=0, calm_at=115)
        assert not _find(
            attempt, runs=0, calm_at=105, revoked_at={'key-0': 104.0}
        )
    assert not _find(_create_attempt(), calm_at=105)


def test_a_seed_draws_one_timeline() -> None:
    """Faults overlap, come in series, and depend only on the seed."""
    faults = draw_timeline(4, 60, 3)
    assert faults == draw_timeline(4, 60, 3)
    assert faults != draw_timeline(5, 60, 3)
    assert {fault.kind for fault in draw_timeline(4, 600, 3)} == set(FaultKind)
    pairs = zip(faults, faults[1:], strict=False)
    assert any(first.end_s > second.at_s for first, second in pairs)


def test_reports_tell_what_was_broken() -> None:
    """The text names the violated guarantee and the request."""
    runs = Counter({_IDENTITY: 2})
    record = Record(100, Timeline(), [_create_attempt()], runs, Evidence(), 200)
    violations = find_violations(record)
    lines = describe(record, Outcome(4, 'small', 0.5, violations))
    assert lines[-1] == f'BROKEN twice: {_IDENTITY} ran 2 times'
    assert measure_attainment(record)[10] == 1


def test_a_seed_draws_its_departures() -> None:
    """Each run has one or more, and they do not overlap."""
    assert len(draw_departures(4, 1, 3)) == 1
    drawn = draw_departures(4, 120, 3)
    assert drawn == draw_departures(4, 120, 3)
    assert len(drawn) > 2
    for first, second in pairwise(drawn):
        assert first.at_s + first.for_s <= second.at_s


def test_a_seed_draws_its_incidents() -> None:
    """Each soak test has one, a long one several."""
    assert len(draw_incidents(4, 1)) == 1
    assert draw_incidents(4, 120) == draw_incidents(4, 120)
    assert len(draw_incidents(4, 120)) > 2


def test_a_seed_draws_its_lapses() -> None:
    """Each phase has stutters and silences, which reach one server up to all.

    Those of a kind do not overlap, and each silence comes with a change.
    """
    assert draw_lapses('4', 60, 3) == draw_lapses('4', 60, 3)
    assert {type(entry) for entry in draw_lapses('4', 1, 3)} == {
        Stutter,
        Silence,
    }
    lapses = draw_lapses('4', 600, 3)
    assert {len(entry.targets) for entry in lapses} == {1, 2, 3}
    stutters = [entry for entry in lapses if isinstance(entry, Stutter)]
    for stutter, later in pairwise(stutters):
        assert stutter.at_s + stutter.for_s <= later.at_s
    silences = [entry for entry in lapses if isinstance(entry, Silence)]
    for silence, later in pairwise(silences):
        assert silence.at_s + silence.lead_s + silence.for_s <= later.at_s
        assert silence.terms != later.terms
