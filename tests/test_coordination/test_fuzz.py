"""Stateful fuzzing of a complete system against an oracle."""

from __future__ import annotations

import os

from hypothesis import HealthCheck, Phase, seed, settings
from hypothesis.stateful import run_state_machine_as_test

from tests.functions import create_loader
from tests.machine import SystemMachine
from tests.mutants import apply_mutation

load_tests = create_loader(__name__)

_EXAMPLES = int(os.environ.get('EGRETDALE_FUZZ_EXAMPLES', '25'))
_STEPS = int(os.environ.get('EGRETDALE_FUZZ_STEPS', '30'))
_RANDOM = 'EGRETDALE_FUZZ_RANDOM' in os.environ
# Without a fixed seed, Hypothesis derives the seed of reproducible runs from
# the source of the class. Then even a reworded doc comment changes the
# examples, and some mutations are detected with some seeds only.
_SEED = int(
    '1671e6733623e6f2d7922532812df23cf5b8e079596a658c'
    'b928782729d9db48ebf7295a6574cfb68b3a52c96b1c311d',
    16,
)
_MACHINE = SystemMachine if _RANDOM else seed(_SEED)(SystemMachine)


def create_settings(examples: int, steps: int) -> settings:
    """Create settings that make every run reproducible.

    With ``EGRETDALE_FUZZ_RANDOM`` in the environment, runs are random instead.

    :param examples: number of examples.
    :param steps: maximum number of steps of an example.
    :return: the settings.
    """
    return settings(
        max_examples=examples,
        stateful_step_count=steps,
        derandomize=not _RANDOM,
        database=None,
        deadline=None,
        suppress_health_check=list(HealthCheck),
        phases=(Phase.generate,),
        print_blob=_RANDOM,
    )


def test_no_violation_under_faults() -> None:
    """The oracle finds no violation under faults of every kind."""
    run_state_machine_as_test(
        _MACHINE, settings=create_settings(_EXAMPLES, _STEPS)
    )


def _assert_detected(name: str) -> None:
    with apply_mutation(name):
        try:
            run_state_machine_as_test(
                _MACHINE, settings=create_settings(_EXAMPLES * 4, _STEPS)
            )
        except Exception:
            return
    raise AssertionError(f'the fault {name} was not detected')


def test_lower_tier_first_is_detected() -> None:
    """The oracle detects that lower tiers are served first."""
    _assert_detected('1-lower-tier-first')


def test_endless_waiting_is_detected() -> None:
    """The oracle detects requests that wait forever."""
    _assert_detected('2-never-ended')


def test_truncated_response_is_detected() -> None:
    """The oracle detects broken streams that are reported as complete."""
    _assert_detected('3-short-answer')


def test_false_refusal_is_detected() -> None:
    """The oracle detects refusals as not run of requests that ran."""
    _assert_detected('4-untrue-refusal')


def test_second_run_is_detected() -> None:
    """The oracle detects a second run of a non-idempotent request."""
    _assert_detected('5-run-twice')


def test_work_for_leaving_backend_server_is_detected() -> None:
    """The oracle detects new requests to a leaving backend server."""
    _assert_detected('6-leaving-ignored')


def test_planned_stop_with_cut_requests_is_detected() -> None:
    """The oracle detects a graceful shutdown that cuts requests off."""
    _assert_detected('7-stop-cuts')


def test_reverted_document_is_detected() -> None:
    """The oracle detects a return to an older document revision."""
    _assert_detected('8-document-reverts')
