"""Runs all tests and closes with their counts."""

from __future__ import annotations

from egretdale.util import greening  # noqa: F401, I001

import sys
import unittest
from pathlib import Path

from absl import logging as absl_logging

_ROOT = Path(__file__).resolve().parent.parent
_KNOWN_RED = _ROOT / 'KNOWN-RED.txt'


def read_known_red() -> frozenset[str]:
    """Read the names of the tests that may fail.

    :return: names that follow ``test:`` in the file.
    """
    if not _KNOWN_RED.exists():
        return frozenset()
    lines = _KNOWN_RED.read_text().splitlines()
    return frozenset(
        line.removeprefix('test:').strip()
        for line in lines
        if line.startswith('test:')
    )


def _describe(case: unittest.TestCase) -> str:
    return case.shortDescription() or case.id()


def main() -> int:
    """Run the tests whose names contain the arguments, or all.

    :return: exit status.
    """
    absl_logging.set_verbosity('error')
    loader = unittest.TestLoader()
    suite = loader.discover('tests', pattern='test_*.py', top_level_dir='.')
    wanted = sys.argv[1:]
    chosen = unittest.TestSuite(
        case
        for case in _flatten(suite)
        if not wanted or any(part in _describe(case) for part in wanted)
    )
    outcome = unittest.TextTestRunner(verbosity=1).run(chosen)
    failed = {
        _describe(case) for case, _ in (*outcome.failures, *outcome.errors)
    }
    known = read_known_red()
    for name in sorted(failed & known):
        print(f'KNOWN RED: {name}')
    passed = outcome.testsRun - len(failed)
    print(f'{passed} passed, {len(failed)} failed')
    if not outcome.testsRun:
        return 1
    return 1 if failed - known else 0


def _flatten(suite: unittest.TestSuite) -> list[unittest.TestCase]:
    cases: list[unittest.TestCase] = []
    for entry in suite:
        if isinstance(entry, unittest.TestSuite):
            cases.extend(_flatten(entry))
        else:
            cases.append(entry)
    return cases


if __name__ == '__main__':
    sys.exit(main())
