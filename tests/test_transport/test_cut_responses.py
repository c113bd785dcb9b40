"""Tests of responses of backend servers that are cut off or malformed."""

from __future__ import annotations

import socket
from collections.abc import Callable, Iterator
from contextlib import contextmanager

import eventlet
import urllib3
from hypothesis import given, settings, strategies

from egretdale.coordination.exchanges import RelayAttempt
from egretdale.coordination.ports import EndOfStream, MaybeRun, NotRun
from egretdale.transport.forwarding import ForwardedResponse, HttpForwardClient
from egretdale.transport.strict_client import StrictPoolManager
from tests.backend_sockets import (
    HEAD,
    open_response,
    open_server,
    read_all,
    read_head,
)
from tests.forwarding import create_request
from tests.endings import ENDINGS, end_orderly
from tests.functions import create_loader

load_tests = create_loader(__name__)

_BODY = b'{"reference": "HB-20391", "state": "filed"}'
_LENGTH = b'Content-Length: %d\r\n' % len(_BODY)
_TYPE = b'Content-Type: application/json\r\n'
_CHUNKS = b'00010;a=b\r\n%s\r\n%x\r\n%s\r\n' % (
    _BODY[:16],
    len(_BODY) - 16,
    _BODY[16:],
)
_CHUNKED = b'Transfer-Encoding: chunked\r\n'
#: Whole responses, by framing.
_RESPONSES = {
    'length': HEAD + _TYPE + _LENGTH + b'\r\n' + _BODY,
    'length-first': HEAD.replace(b'OK\r\n', b'OK\r\n' + _LENGTH)
    + b'\r\n'
    + _BODY,
    'chunks': HEAD + _CHUNKED + b'\r\n' + _CHUNKS + b'000\r\n\r\n',
    'trailers': HEAD
    + _CHUNKED
    + b'\r\n'
    + _CHUNKS
    + b'0\r\nX-A: b\r\nX-C: d\r\n\r\n',
    'interim': b'HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n'
    b'Link: x\r\n\r\n' + HEAD + _LENGTH + b'\r\n' + _BODY,
}
_UNFRAMED = HEAD + _TYPE + b'\r\n' + _BODY
_ODD_LINES = (
    b'Content-Length : 5\r\n',
    b'Content Length: 5\r\n',
    b'no colon\r\n',
    b': no name\r\n',
    b' folded: x\r\n',
    b'\tfolded\r\n',
    b'N\xc3\xa4me: x\r\n',
    b'X: a\rb\r\n',
    b'X: a\x00b\r\n',
    b'X: a\n',
    b'X: a\r\r\n',
    b'Content-Length: -5\r\n',
    b'Content-Length: 5x\r\n',
    b'Content-Length: +5\r\n',
    b'Content-Length: 5, 6\r\n',
    b'Content-Length: \xb2\r\n',
    b'Content-Length: ' + b'9' * 400 + b'\r\n',
    b'Content-Length: 5\r\n',
    b'Transfer-Encoding: gzip, chunked\r\n',
    b'Transfer-Encoding: identity\r\n',
    b'Transfer-Encoding: chunked\r\n',
)
_ODD_SIZES = (b'-5', b'+5', b'0x5', b'1_0', b' 5', b'5 x', b'', b'g', b'5' * 40)
_ODD_CHUNK_ENDS = (b'', b'\n', b'xx', b'\r\r', b'HTTP/1.1 200 OK\r\n\r\n')


@contextmanager
def _serve(
    received: bytes, end: Callable[[socket.socket], None] = end_orderly
) -> Iterator[tuple[HttpForwardClient, str]]:
    def respond(connection: socket.socket) -> None:
        read_head(connection)
        connection.sendall(received)
        end(connection)

    with open_server(respond) as served:
        yield served


def _relay(
    client: HttpForwardClient, address: str
) -> ForwardedResponse | NotRun | MaybeRun:
    attempt = RelayAttempt(
        create_request('/a'), 'h2', address, 5.0, 0, is_repeatable=True
    )
    return client.relay(attempt)


def _read(
    received: bytes,
    end: Callable[[socket.socket], None] = end_orderly,
    send: Callable[..., ForwardedResponse | NotRun | MaybeRun] = open_response,
) -> tuple[bytes, bool]:
    """Return the body of a response and whether it seems complete."""
    with _serve(received, end) as (client, address):
        response = send(client, address)
        if isinstance(response, MaybeRun):
            return b'', False
        body, last = read_all(response)
        response.close()
        return body, isinstance(last, EndOfStream)


def test_whole_responses_are_read_in_each_framing() -> None:
    """The sound traffic beside the faults is served as before."""
    for label, received in (*_RESPONSES.items(), ('unframed', _UNFRAMED)):
        for send in (open_response, _relay):
            assert _read(received, send=send) == (_BODY, True), label
    assert _read(HEAD.replace(b'OK', b'') + _LENGTH + b'\r\n' + _BODY)[1]


def test_a_response_that_ends_anywhere_does_not_look_complete() -> None:
    """Orderly ends in the head, in sizes of chunks and in trailers count."""
    for label, received in _RESPONSES.items():
        for cut, _ in enumerate(received):
            begun = received[:cut]
            body, is_complete = _read(begun)
            assert not is_complete, (label, begun)
            assert _BODY.startswith(body)


def test_an_unframed_response_needs_a_whole_head() -> None:
    """Only an orderly end after the head may be the end of its body."""
    head_bytes = len(_UNFRAMED) - len(_BODY)
    for cut in range(head_bytes):
        begun = _UNFRAMED[:cut]
        assert not _read(begun)[1], begun


@settings(max_examples=150, derandomize=True, database=None, deadline=None)
@given(
    strategies.sampled_from(sorted(_RESPONSES)),
    strategies.integers(0, 400),
    strategies.sampled_from(ENDINGS),
    strategies.sampled_from((open_response, _relay)),
)
def test_cuts_of_any_kind_do_not_look_complete(
    label: str,
    cut: int,
    end: Callable[[socket.socket], None],
    send: Callable[..., ForwardedResponse | NotRun | MaybeRun],
) -> None:
    """Also at another host that relays, by half-close and by reset."""
    received = _RESPONSES[label]
    body, is_complete = _read(received[: cut % len(received)], end, send)
    assert not is_complete
    assert _BODY.startswith(body)


def test_lines_that_are_no_fields_make_a_response_invalid() -> None:
    """The parser would drop them and all lines after them."""
    lines = HEAD.splitlines(keepends=True)
    for odd in _ODD_LINES:
        for place in range(1, len(lines) + 1):
            head = b''.join((*lines[:place], odd, *lines[place:]))
            received = head + _LENGTH + b'\r\n' + _BODY
            assert _read(received) == (b'', False), (odd, place)


def test_statuses_without_a_class_make_a_response_invalid() -> None:
    """An engine in trouble may send any digits, which are no answer."""
    for status in (b'000', b'099', b'1000', b'20', b'abc', b'101'):
        assert not _read(_UNFRAMED.replace(b'200', status))[1], status
    for status in (b'600', b'666', b'999'):
        for received in (_UNFRAMED, *_RESPONSES.values()):
            answer = received.replace(b'200', status)
            for send in (open_response, _relay):
                assert not _read(answer, send=send)[1], answer
    assert _read(_UNFRAMED.replace(b'200', b'599'))[1]


def test_chunks_are_read_as_they_are_framed() -> None:
    """Sizes and ends of chunks that parsers read differently are refused."""
    head = HEAD + _CHUNKED + b'\r\n'
    for size in _ODD_SIZES:
        received = head + size + b'\r\nabcde\r\n0\r\n\r\n'
        assert not _read(received)[1], size
    for ending in _ODD_CHUNK_ENDS:
        received = head + b'5\r\nabcde' + ending + b'0\r\n\r\n'
        assert not _read(received)[1], ending
    for trailer in (b'no colon\r\n', b'X : a\r\n', b' x: a\r\n', b'X: a\n'):
        received = head + b'5\r\nabcde\r\n0\r\n' + trailer + b'\r\n'
        assert not _read(received)[1], trailer


def test_surplus_bytes_do_not_reach_the_next_request() -> None:
    """A connection with bytes after a response is closed, however they come.

    The parser reads ahead, so that some of them may be in its buffer.
    """
    surplus = (
        b'HTTP/1.1 503 Busy\r\nEgret-Not-Run: 1\r\nContent-Length: 0\r\n\r\n'
    )
    whole = HEAD + _LENGTH + b'\r\n' + _BODY

    def respond(connection: socket.socket) -> None:
        while read_head(connection):
            connection.sendall(whole + surplus)

    with open_server(respond) as (client, address):
        for _ in range(3):
            response = open_response(client, address)
            assert isinstance(response, ForwardedResponse)
            assert isinstance(read_all(response)[1], EndOfStream)
        assert client.pool.opened == 3


def test_pools_of_other_clients_refuse_cut_heads() -> None:
    """The clients of the platform and of the project's interface share it."""
    cut = b'HTTP/1.1 404 Not Found\r\nContent-Le'
    with _serve(cut) as (_, address), eventlet.Timeout(5):
        pool = StrictPoolManager(retries=False, timeout=2)
        try:
            status = pool.request('GET', f'http://{address}/a').status
        except urllib3.exceptions.ProtocolError:
            status = 0
        assert status == 0
