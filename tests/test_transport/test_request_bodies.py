"""Tests of the reading of request bodies."""

from __future__ import annotations

import io
from types import SimpleNamespace

from egretdale.protocol.framing import REQUEST_LINE
from egretdale.state.memory import MemoryAccount, Source
from egretdale.transport.message_reader import MessageReader
from egretdale.transport.request_bodies import BodyFault, BodyReader
from egretdale.util.clocks import read_boot_clock
from tests.functions import create_loader

load_tests = create_loader(__name__)

_LIMIT = 1000
_REQUEST_LINE = b'POST / HTTP/1.1\r\n'


def _read(
    body: bytes, length: int | None = None, *, others: int = 0
) -> bytes | BodyFault:
    """Read a body of a given length, or in chunks."""
    account = MemoryAccount(10000, read_boot_clock)
    account.open(Source.CALLER, '127.0.0.2').grow(others)
    framing = (
        b'Transfer-Encoding: chunked'
        if length is None
        else b'Content-Length: %d' % length
    )
    source = MessageReader(
        io.BufferedReader(io.BytesIO(framing + b'\r\n\r\n' + body))
    )
    source.read_head(_REQUEST_LINE, REQUEST_LINE)
    for _ in range(2):
        source.readline()
    body_input = SimpleNamespace(
        content_length=length,
        chunked_input=length is None,
        should_send_hundred_continue=False,
        position=0,
    )
    holding = account.open(Source.CALLER, '127.0.0.1')
    return BodyReader(source, body_input, holding).read(_LIMIT)


def test_bodies_are_read_whole() -> None:
    """They have a length or come in chunks, or there is none."""
    assert _read(b'abcdef', 4) == b'abcd'
    assert _read(b'', 0) == b''
    assert _read(b'3\r\nabc\r\n1\r\nd\r\n0\r\nA: b\r\n\r\n') == b'abcd'


def test_bodies_that_cannot_be_read_are_refused() -> None:
    """They are too long, incomplete, or there is no memory for them."""
    assert _read(b'', _LIMIT + 1) is BodyFault.TOO_LARGE
    assert _read(b'%x\r\n' % (_LIMIT + 1)) is BodyFault.TOO_LARGE
    assert _read(b'abc', 4) is BodyFault.INCOMPLETE
    assert _read(b'3\r\nab') is BodyFault.INCOMPLETE
    assert _read(b'a' * 900, 900, others=8000) is BodyFault.NO_MEMORY
    assert _read(b'3\r\nabc\r\n', others=8000) is BodyFault.NO_MEMORY


def test_framing_far_beyond_the_content_is_refused() -> None:
    """Extensions of chunks are not counted by the limit for bodies."""
    chunk = b'1;%b\r\nx\r\n' % (b'e' * 5000)
    assert _read(chunk * 20) is BodyFault.TOO_LARGE
    assert _read(b'1\r\nx\r\n' * _LIMIT + b'0\r\n\r\n') == b'x' * _LIMIT
