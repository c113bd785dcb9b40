"""Test of the example in the documentation of the library."""

from __future__ import annotations

import contextlib
import io
from pathlib import Path

from tests.functions import create_loader

load_tests = create_loader(__name__)

_PAGE = Path(__file__).resolve().parents[2] / 'docs' / 'library.md'


def test_documented_example_runs() -> None:
    """The example prints what the page says."""
    text = _PAGE.read_text()
    source = text.partition('```python\n')[2].partition('```')[0]
    expected = text.rpartition('prints `')[2].partition('`')[0]
    output = io.StringIO()
    with contextlib.redirect_stdout(output):
        exec(compile(source, str(_PAGE), 'exec'), {})  # noqa: S102
    assert output.getvalue().strip() == expected
