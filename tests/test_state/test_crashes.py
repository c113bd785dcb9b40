"""Tests of the history of crashes by parts of prompts."""

from __future__ import annotations

from egretdale.state.crash_records import CrashRecord, RunRecord, TrialRecord
from egretdale.state.crashes import CrashHistory
from tests.forwarding import ManualClock
from tests.functions import create_loader

load_tests = create_loader(__name__)

_FIRST = 1
_DEADLY = 2
_OTHER = 3


def _crash(
    history: CrashHistory, clock: ManualClock, *parts: int, every_s: float = 2
) -> None:
    """Let three engines crash."""
    for number in range(3):
        incarnation = (f'e{clock.now}', number)
        history.note_crash(CrashRecord(incarnation, clock.now, parts))
        clock.now += every_s


def test_a_part_in_progress_at_three_crashes_is_quarantined() -> None:
    """Two crashes are not enough, and several reports of one count once."""
    clock = ManualClock()
    history = CrashHistory(clock)
    for number in range(2):
        for _ in range(9):
            crash = CrashRecord((f'e{number}', 0), clock.now, (_DEADLY,))
            history.note_crash(crash)
            clock.now += 0.1
        clock.now += 5
    assert history.find_quarantine((_DEADLY,)) is None
    history.note_crash(CrashRecord(('e2', 0), clock.now, (_DEADLY,)))
    clock.now += 1
    assert history.find_quarantine((_DEADLY,)).crashes == 3
    assert history.count_quarantines() == 1


def test_an_engine_that_crashes_again_counts_again() -> None:
    """Some engines keep their name and do not tell when they started."""
    clock = ManualClock()
    history = CrashHistory(clock)
    for _ in range(3):
        history.note_crash(CrashRecord(('e0', 0), clock.now, (_DEADLY,)))
        clock.now += 4
    assert history.find_quarantine((_DEADLY,)).crashes == 3


def test_a_request_that_was_served_clears_its_part() -> None:
    """One that began before the first crash does not."""
    clock = ManualClock()
    history = CrashHistory(clock)
    began_at = clock.now - 1
    _crash(history, clock, _DEADLY)
    assert not history.note_run(RunRecord(_DEADLY, began_at))
    assert history.find_quarantine((_DEADLY,))
    assert history.note_run(RunRecord(_DEADLY, clock.now)) == 3
    assert history.find_quarantine((_DEADLY,)) is None


def test_late_reports_of_crashes_do_not_blame_a_cleared_part() -> None:
    """A peer may tell of crashes that were before the run."""
    clock = ManualClock()
    history = CrashHistory(clock)
    crashes = [
        CrashRecord((f'e{index}', 0), 100, (_OTHER,)) for index in (1, 2)
    ]
    history.note_crash(crashes[0])
    clock.now += 3
    assert history.note_run(RunRecord(_OTHER, clock.now))
    assert not history.note_crash(crashes[1])
    assert not history.is_suspected(_OTHER)


def test_causes_that_cannot_be_told_apart_are_both_quarantined() -> None:
    """Two requests were in progress at the same crashes.

    The one with fewer crashes may be sound and is tried at once, one request
    at a time.
    """
    clock = ManualClock()
    history = CrashHistory(clock)
    for number in range(3):
        for fingerprint in (_DEADLY, _OTHER):
            crash = CrashRecord((f'e{number}', 0), clock.now, (fingerprint,))
            history.note_crash(crash)
        clock.now += 1
    assert history.find_quarantine((_DEADLY,))
    assert history.find_quarantine((_OTHER,))
    crash = CrashRecord(('e3', 0), clock.now, (_DEADLY,))
    history.note_crash(crash)
    clock.now += 1
    assert history.find_quarantine((_DEADLY,)).ends_at > clock.now
    assert history.find_quarantine((_OTHER,)).ends_at < clock.now


def test_parts_of_several_causes_are_tried_at_once() -> None:
    """Two requests crash engines; both have the part."""
    clock = ManualClock()
    history = CrashHistory(clock)
    _crash(history, clock, _FIRST, _DEADLY)
    _crash(history, clock, _FIRST, _OTHER)
    assert history.find_quarantine((_FIRST, _DEADLY)).ends_at > clock.now
    assert history.find_quarantine((_FIRST, _OTHER)).ends_at > clock.now
    assert history.find_quarantine((_FIRST, 99)).ends_at < clock.now


def test_a_request_is_blamed_rather_than_the_parts_of_its_prompt() -> None:
    """Other requests with the same parts are let through."""
    clock = ManualClock()
    history = CrashHistory(clock)
    _crash(history, clock, _FIRST, _OTHER, _DEADLY)
    assert history.find_quarantine((_FIRST, _OTHER, _DEADLY))
    assert history.find_quarantine((_FIRST, _OTHER, 99)) is None


def test_a_trial_that_did_not_run_does_not_count() -> None:
    """Only the request that was tried can be withdrawn."""
    clock = ManualClock()
    history = CrashHistory(clock)
    _crash(history, clock, _DEADLY)
    history.note_trial(TrialRecord(_DEADLY, clock.now), 'r1')
    history.withdraw_trial(_DEADLY, 'r2')
    assert history.find_trial(_DEADLY) == clock.now
    history.withdraw_trial(_DEADLY, 'r1')
    assert history.find_trial(_DEADLY) < 0


def test_only_the_latest_crashes_are_kept() -> None:
    """Peers go on to report older ones."""
    clock = ManualClock()
    history = CrashHistory(clock)
    records = [
        CrashRecord((f'e{number}', 0), clock.now + number, (_DEADLY,))
        for number in range(20)
    ]
    for record in records:
        history.note_crash(record)
    kept = history.list_crashes(_DEADLY)
    assert kept == records[-len(kept) :]
    assert not history.note_crash(records[0])
    assert history.list_crashes(_DEADLY) == kept


def test_a_loss_of_many_servers_does_not_displace_a_quarantine() -> None:
    """Most fingerprints have one crash."""
    clock = ManualClock()
    history = CrashHistory(clock)
    _crash(history, clock, _DEADLY)
    for number in range(3000):
        crash = CrashRecord((f'e{number}', 0), clock.now, (1000 + number,))
        history.note_crash(crash)
    assert history.find_quarantine((_DEADLY,))


def test_parts_beside_the_cause_are_not_blamed() -> None:
    """Requests that have only the common first part are let through."""
    clock = ManualClock()
    history = CrashHistory(clock)
    _crash(history, clock, _FIRST, _DEADLY)
    assert history.find_quarantine((_FIRST, _DEADLY))
    assert history.find_quarantine((_FIRST,)) is None
    assert history.find_quarantine((_FIRST, _OTHER)) is None


def test_the_first_part_may_be_the_cause() -> None:
    """It is blamed once it has more crashes than the others."""
    clock = ManualClock()
    history = CrashHistory(clock)
    _crash(history, clock, _FIRST, _OTHER)
    _crash(history, clock, _FIRST)
    assert history.find_quarantine((_FIRST,))
    assert history.find_quarantine((_OTHER,)) is None


def test_engines_lost_at_once_give_others_time_to_clear_a_part() -> None:
    """One series of crashes leads to a short quarantine only."""
    clock = ManualClock()
    history = CrashHistory(clock)
    _crash(history, clock, _OTHER, every_s=0.1)
    clock.now += 1
    assert history.find_quarantine((_OTHER,)) is None
    clock.now += 2
    found = history.find_quarantine((_OTHER,))
    assert found.ends_at < clock.now + 1


def test_a_quarantine_grows_with_each_series_of_crashes() -> None:
    """A part that goes on to crash engines is tried less and less often."""
    clock = ManualClock()
    history = CrashHistory(clock)
    _crash(history, clock, _DEADLY)
    waits = []
    for number in range(3):
        found = history.find_quarantine((_DEADLY,))
        waits.append(found.ends_at - clock.now)
        clock.now = found.ends_at
        crash = CrashRecord((f'x{number}', 0), clock.now, (_DEADLY,))
        history.note_crash(crash)
        clock.now += 1
    assert waits[0] > 100
    assert waits[1] > 9 * waits[0]
    assert waits[2] > 9 * waits[1]


def test_old_crashes_are_forgotten_and_the_memory_is_bounded() -> None:
    """Crashes a day apart have no common cause."""
    clock = ManualClock()
    history = CrashHistory(clock)
    for number in range(3000):
        crash = CrashRecord((f'e{number}', 0), clock.now, (number,))
        history.note_crash(crash)
    suspected = sum(map(history.is_suspected, range(3000)))
    assert suspected <= 512
    clock.now += 86400
    history.note_crash(CrashRecord(('e', 0), clock.now, (0,)))
    assert sum(map(history.is_suspected, range(3000))) == 1
