"""A short soak test of real processes."""

from __future__ import annotations

import tempfile
from pathlib import Path

from soak.__main__ import run_soak
from tests.functions import create_loader

load_tests = create_loader(__name__)

_SEED = 2
_LENGTH_S = 6


def test_a_short_soak_breaks_no_promise() -> None:
    """Daemons violate no guarantee under the faults of one seed."""
    with tempfile.TemporaryDirectory() as folder:
        record, outcome = run_soak(_SEED, _LENGTH_S, 'small', Path(folder))
    assert not outcome.violations, outcome.violations
    assert any(attempt.is_served() for attempt in record.attempts)
