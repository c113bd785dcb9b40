"""Tests of finding other responses within a body."""

from __future__ import annotations

import itertools

from hypothesis import given, settings, strategies

from egretdale.protocol.embedded_heads import EmbeddedHeadFinder
from egretdale.util.clocks import read_boot_clock
from tests.functions import create_loader

load_tests = create_loader(__name__)

_IDENTITIES = frozenset(('r1', 'r2'))
_HEADER = 'Egret-Request-Id'
_HEAD = (
    b'HTTP/1.1 200 OK\r\nDate: now\r\negret-request-ID:\tr1 \r\n'
    b'Content-Length: 2\r\n\r\n'
)
#: Parts of sound bodies that look like a response to a known request.
_LURES = (
    b'HTTP/1.1 200 OK\r\n',
    b'HTTP/1.1 503 ',
    b'HTTP/1.',
    b'HTTP/1.1 200 OK\r\nVia: x\r\n',
    b'Egret-Request-Id: r1\r\n',
    b'Egret-Request-Id: r11\r\n',
    b'\r\n',
    b'\r',
    b'\n',
    b'H',
    b'words ',
    b'POST / HTTP/1.1\r\nEgret-Request-Id: r1\r\n\r\n',
)


def _scan(*chunks: bytes) -> tuple[bytes, EmbeddedHeadFinder]:
    finder = EmbeddedHeadFinder(_HEADER, _IDENTITIES)
    passed = b''
    for chunk in chunks:
        passed += finder.scan(chunk)
        if finder.found:
            return passed, finder
    return passed + finder.finish(), finder


def _cut(content: bytes, cuts: list[int]) -> list[bytes]:
    places = [0, *sorted({cut % len(content) for cut in cuts}), len(content)]
    return [content[begin:end] for begin, end in itertools.pairwise(places)]


def test_a_head_is_found_wherever_it_is_cut() -> None:
    """Nothing of it is passed on, and nothing before it is lost."""
    for body in (b'', b'x', b'text\r\n', b'HTTP/1.1 200 OK\r\nA: b', b'HTT'):
        whole = body + _HEAD + b'ok'
        for cut, _ in enumerate(whole):
            passed, finder = _scan(whole[:cut], whole[cut:])
            assert (passed, finder.found) == (body, 'r1'), (body, cut)
        assert _scan(*(bytes((byte,)) for byte in whole))[0] == body


@settings(max_examples=600, derandomize=True, database=None, deadline=None)
@given(
    strategies.lists(strategies.sampled_from(_LURES), min_size=1, max_size=9),
    strategies.lists(strategies.integers(0, 400), max_size=9),
)
def test_sound_bodies_with_parts_of_heads_pass_unchanged(
    parts: list[bytes], cuts: list[int]
) -> None:
    """Only a status line and fields with a known ID are another response."""
    body = b''.join(parts)
    passed, finder = _scan(*_cut(body, cuts))
    if finder.found:
        assert b'\r\nEgret-Request-Id: r1\r\n' in body
        assert body.startswith(passed + b'HTTP/1.1 ')
    else:
        assert passed == body


def test_heads_that_are_no_response_to_a_known_request_pass() -> None:
    """Also those that are malformed or too long."""
    for head in (
        _HEAD.replace(b'r1', b'r3'),
        _HEAD.replace(b'egret-request-ID:\tr1 \r\n', b''),
        _HEAD.replace(b'Date: now\r\n', b'\r\n'),
        _HEAD.replace(b'Date: now\r\n', b'no field\r\n'),
        _HEAD.replace(b'\r\n', b'\n'),
        _HEAD.replace(b'HTTP/1.1 200', b'HTTP/2 200'),
        _HEAD.replace(b'200', b'99'),
        _HEAD.replace(b'now', b'x' * 5000),
        _HEAD.replace(b'Date: now\r\n', b'Date: now\r\n' * 1600),
    ):
        for cut in (0, 5, 20, len(head) - 4):
            passed, finder = _scan(b'a' + head[:cut], head[cut:] + b'b')
            assert not finder.found
            assert passed == b'a' + head + b'b'


def test_only_the_beginning_of_a_head_is_held_back() -> None:
    """The caller gets the bytes before it at once."""
    finder = EmbeddedHeadFinder(_HEADER, _IDENTITIES)
    assert finder.scan(b'data: x\n\n') == b'data: x\n\n'
    assert finder.scan(b'a HTTP/1.1 200') == b'a '
    assert finder.scan(b' OK\r\nDate') == b''
    assert (
        finder.scan(b' is no field') == b'HTTP/1.1 200 OK\r\nDate is no field'
    )
    assert finder.finish() == b''


def test_bodies_full_of_status_lines_do_not_stop_the_host() -> None:
    """Each line is looked at once, not for each head that may begin before."""
    for lure in (
        b'HTTP/1.1 200 OK\r\n',
        b'HTTP/1.1 200 ',
        b'HTTP/1.',
        b'A: HTTP/1.1 200 OK\r\n',
    ):
        chunk = (b'HTTP/1.1 200 OK\r\n' + lure * 10000)[:65536]
        begun_at = read_boot_clock()
        assert _scan(*(chunk for _ in range(8)))[0] == chunk * 8
        assert read_boot_clock() - begun_at < 4, lure
