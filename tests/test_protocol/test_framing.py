"""Tests of the syntax of heads and of framing."""

from __future__ import annotations

import itertools
from collections.abc import Callable
from functools import partial
from re import Pattern

from hypothesis import given, settings, strategies

from egretdale.protocol.embedded_heads import EmbeddedHeadFinder
from egretdale.protocol.framing import (
    BEGUN_FIELD_LINE,
    BEGUN_STATUS_LINE,
    CHUNK_SIZE_LINE,
    FIELD_LINE,
    REQUEST_LINE,
    STATUS_LINE,
    parse_fields,
)
from tests.functions import create_loader
from tests.growth import MAXIMUM_GROWTH, measure_growth

load_tests = create_loader(__name__)

_FORMS = (
    BEGUN_FIELD_LINE,
    BEGUN_STATUS_LINE,
    CHUNK_SIZE_LINE,
    FIELD_LINE,
    REQUEST_LINE,
    STATUS_LINE,
)
_BEGINNINGS = (
    b'Fill:',
    b'Fill: x',
    b'',
    b'HTTP/1.1 200 ',
    b'GET ',
    b'GET /',
    b'1',
    b'1;',
    b'1 ;a=',
)
_FILLINGS = (b' ', b'\t ', b'a', b'a ', b':', b'/', b';', b'\r', b'\xff')


def _match(
    pattern: Pattern[bytes], beginning: bytes, filling: bytes, size: int
) -> None:
    pattern.fullmatch(beginning + filling * size + b'\0\r\n')


def _list_tasks() -> dict[str, Callable[[int], None]]:
    return {
        f'{pattern.pattern!r} {beginning!r} {filling!r}': partial(
            _match, pattern, beginning, filling
        )
        for pattern, beginning, filling in itertools.product(
            _FORMS, _BEGINNINGS, _FILLINGS
        )
    }


def test_lines_that_do_not_match_take_time_for_their_length_only() -> None:
    """A field of blanks that ends with NUL must not hang a host."""
    grown = {
        name: measure_growth(task, 2048) for name, task in _list_tasks().items()
    }
    assert max(grown.values()) < MAXIMUM_GROWTH, grown


def test_lines_within_a_body_take_time_for_their_length_only() -> None:
    """Those that look like the head of a response are matched, too."""

    def scan(size: int) -> None:
        finder = EmbeddedHeadFinder('Attempt-Id', ())
        line = b'HTTP/1.1 200 OK\r\nFill:' + b' ' * size + b'\0\r\n'
        assert finder.scan(line) == line

    # Longer lines are not looked for.
    assert measure_growth(scan, 250) < MAXIMUM_GROWTH


@settings(max_examples=300, derandomize=True, database=None, deadline=None)
@given(strategies.text('\t x:\0\x7f\xff', max_size=8))
def test_a_value_begins_after_the_blanks_before_it(text: str) -> None:
    """Blanks after it are kept, and no other control character is."""
    line = f'Name:{text}\r\n'.encode('latin-1')
    expected = None
    if not {'\0', '\x7f'} & set(text):
        expected = [('Name', text.lstrip('\t '))]
    assert parse_fields([line]) == expected
