"""Tests of requests of callers that are cut off or malformed."""

from __future__ import annotations

import socket
from collections.abc import Callable

import eventlet
from hypothesis import given, settings, strategies

from tests.endings import ENDINGS, end_by_halves
from tests.functions import create_loader
from tests.ingress import ScriptedForwarder, connect, open_ingress, read_all

load_tests = create_loader(__name__)

_BODY = b'{"claim": "HB-20391"}'
_FIELDS = (
    b'Host: claims.example\r\nX-A: b\r\nEgret-Request-Id: r1\r\n'
    b'Egret-Deadline-Ms: 3000\r\n'
)
_START = b'POST /puxa403/2f?q=%2F HTTP/1.1\r\n'
_LENGTH = b'Content-Length: %d\r\n' % len(_BODY)
_CHUNKED = b'Transfer-Encoding: chunked\r\n'
_REQUESTS = {
    'length': _START + _FIELDS + _LENGTH + b'\r\n' + _BODY,
    'length-first': _START + _LENGTH + _FIELDS + b'\r\n' + _BODY,
    'chunks': _START
    + _FIELDS
    + _CHUNKED
    + b'\r\n0a;x=y\r\n%s\r\n%x\r\n%s\r\n000\r\n\r\n'
    % (_BODY[:10], len(_BODY) - 10, _BODY[10:]),
    'trailers': _START
    + _CHUNKED
    + _FIELDS
    + b'\r\n%x\r\n%s\r\n0\r\nX-A: b\r\nX-C: d\r\n\r\n' % (len(_BODY), _BODY),
    'no-body': b'GET /a HTTP/1.1\r\n' + _FIELDS + b'\r\n',
}
_HIDDEN = (
    b'POST /hidden HTTP/1.1\r\nHost: claims.example\r\n'
    b'Egret-Request-Id: h1\r\nContent-Length: 0\r\n\r\n'
)
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
    b'Content-Length: +5\r\n',
    b'Content-Length: \xb2\r\n',
    b'Content-Length: 5, 5\r\n',
    b'Transfer-Encoding: gzip, chunked\r\n',
    b'Transfer-Encoding: identity\r\n',
    b'Host: other.example\r\n',
    b'Egret-Request-Id: r2\r\n',
    b'egret-request-id: r1\r\n',
    b'Egret-Deadline-Ms: 9\r\n',
)
_ODD_STARTS = (
    b'POST /a\r\n',
    b'GET /a\r\n',
    b'POST  /a HTTP/1.1\r\n',
    b'POST\t/a HTTP/1.1\r\n',
    b'POST /a b HTTP/1.1\r\n',
    b'POST /a\rb HTTP/1.1\r\n',
    b'POST /\xc3\xa4 HTTP/1.1\r\n',
    b'POST /a HTTP/1.1\n',
    b'POST /a HTTP/x\r\n',
    b'PO ST /a HTTP/1.1\r\n',
    b'P(ST /a HTTP/1.1\r\n',
    b'\x00\r\n',
)


def _send(
    address: tuple[str, int],
    sent: bytes,
    end: Callable[[socket.socket], None],
) -> None:
    connection = connect(address)
    connection.sendall(sent)
    end(connection)
    # The server reads what has arrived.
    eventlet.sleep(0.002)


def _exchange(address: tuple[str, int], sent: bytes) -> bytes:
    with connect(address) as connection:
        connection.sendall(sent)
        connection.shutdown(socket.SHUT_WR)
        return read_all(connection)


def _describe(forwarder: ScriptedForwarder) -> list[tuple[str, str, bytes]]:
    return [
        (request.request_id, request.target, request.body)
        for request in forwarder.requests
    ]


def test_whole_requests_are_run_in_each_framing() -> None:
    """The sound traffic beside the faults is served, also on one connection."""
    with open_ingress() as (forwarder, _, address), eventlet.Timeout(20):
        for label, sent in _REQUESTS.items():
            forwarder.requests.clear()
            with connect(address) as connection:
                for _ in range(2):
                    connection.sendall(sent)
                    assert b'200' in connection.recv(65536), label
            target, body = '/puxa403/2f?q=%2F', _BODY
            if label == 'no-body':
                target, body = '/a', b''
            received = ('r1', target, body)
            assert _describe(forwarder) == [received, received], label


def test_a_request_that_ends_anywhere_is_not_run() -> None:
    """Its caller has left: in the head, in sizes of chunks or in trailers."""
    with open_ingress() as (forwarder, ingress, address):
        for label, sent in _REQUESTS.items():
            for cut, _ in enumerate(sent):
                begun = sent[:cut]
                _send(address, begun, end_by_halves)
                assert not forwarder.requests, (label, begun)
        eventlet.sleep(0.1)
        assert not forwarder.requests
        assert not ingress.connections.is_busy()


@settings(max_examples=200, derandomize=True, database=None, deadline=None)
@given(
    strategies.sampled_from(sorted(_REQUESTS)),
    strategies.integers(0, 400),
    strategies.sampled_from(ENDINGS),
)
def test_requests_cut_by_any_end_are_not_run(
    label: str, cut: int, end: Callable[[socket.socket], None]
) -> None:
    """Orderly ends, half-closed connections and resets count alike."""
    sent = _REQUESTS[label]
    with open_ingress() as (forwarder, _, address):
        _send(address, sent[: cut % len(sent)], end)
        eventlet.sleep(0.01)
        assert not forwarder.requests


def test_no_request_is_hidden_behind_a_malformed_line() -> None:
    """A line that is no field gets status 400, and the connection closes.

    The parser would drop it with all lines after it, the length among them, and
    read the body as the next request.
    """
    lines = (_START + _FIELDS).splitlines(keepends=True)
    with open_ingress() as (forwarder, _, address), eventlet.Timeout(30):
        for odd in _ODD_LINES:
            for place in range(1, len(lines) + 1):
                head = b''.join((*lines[:place], odd, *lines[place:]))
                length = b'Content-Length: %d\r\n\r\n' % len(_HIDDEN)
                answer = _exchange(address, head + length + _HIDDEN)
                assert answer.startswith(b'HTTP/1.1 400 '), (odd, place)
                assert answer.count(b'HTTP/1.1') == 1, (odd, place)
        assert not forwarder.requests


def test_odd_request_lines_are_refused() -> None:
    """Nothing is run that only one reader takes for a request."""
    with open_ingress() as (forwarder, _, address), eventlet.Timeout(10):
        for odd in _ODD_STARTS:
            answer = _exchange(address, odd + _FIELDS + b'\r\n' + _HIDDEN)
            assert answer.count(b'HTTP/1.1') == 1, odd
            assert b' 400 ' in answer, odd
        assert not forwarder.requests


def test_chunks_are_read_as_they_are_framed() -> None:
    """Sizes and ends of chunks that parsers read differently are refused."""
    head = _START + _FIELDS + _CHUNKED + b'\r\n'
    bodies = [
        size + b'\r\nabcde\r\n0\r\n\r\n'
        for size in (b'-5', b'+5', b'0x5', b'1_0', b' 5', b'g', b'')
    ]
    bodies.extend(
        b'5\r\nabcde' + ending + b'0\r\n\r\n'
        for ending in (b'', b'\n', b'xx', b'xx\r\n')
    )
    bodies.extend(
        b'5\r\nabcde\r\n0\r\n' + trailer + b'\r\n'
        for trailer in (b'no colon\r\n', b'X : a\r\n', b'X: a\n')
    )
    with open_ingress() as (forwarder, _, address), eventlet.Timeout(10):
        for body in bodies:
            answer = _exchange(address, head + body + _HIDDEN)
            assert answer.startswith(b'HTTP/1.1 400 '), body
            assert answer.count(b'HTTP/1.1') == 1, body
        assert not forwarder.requests


def test_targets_are_passed_on_as_sent() -> None:
    """Also those that begin with two slashes."""
    with open_ingress() as (forwarder, _, address), eventlet.Timeout(10):
        for target in (b'//puxa403/b', b'///a//b', b'/a%2f?x=//y', b'/a;b,c'):
            start = b'GET %s HTTP/1.1\r\n' % target
            _exchange(address, start + _FIELDS + b'\r\n')
            assert forwarder.requests[-1].target == target.decode()
