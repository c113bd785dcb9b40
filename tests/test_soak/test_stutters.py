"""Tests of servers that send responses twice."""

from __future__ import annotations

import random
from collections.abc import Iterator

import eventlet
import urllib3
from eventlet.green import socket

from soak.stutters import StutteringServer
from soak.world import serve_program
from standins.web import Environ, StartResponse
from tests.functions import create_loader

load_tests = create_loader(__name__)

_REQUEST = b'GET /%s HTTP/1.1\r\nHost: a\r\nX-Number: %d\r\n\r\n'
#: Longest time until a copy, in seconds.
_COPY_S = 0.4


def _respond(
    environ: Environ, start_response: StartResponse
) -> list[bytes] | Iterator[bytes]:
    headers = [('X-Number', environ['HTTP_X_NUMBER'])]
    if environ['PATH_INFO'] == '/stream':
        start_response('200 OK', headers)
        return _stream()
    start_response('200 OK', [*headers, ('Content-Length', '4')])
    return [b'body']


def _stream() -> Iterator[bytes]:
    for _ in range(6):
        eventlet.sleep(0.1)
        yield b'event'


def _exchange(server: StutteringServer, *paths: bytes) -> bytes:
    host, _, port = serve_program(server).rpartition(':')
    caller = socket.create_connection((host, int(port)), 5)
    for number, path in enumerate(paths):
        caller.sendall(_REQUEST % (path, number))
    caller.settimeout(2 * _COPY_S)
    received = b''
    while True:
        try:
            received += caller.recv(4096)
        except TimeoutError:
            return received


def test_a_response_comes_twice_and_late() -> None:
    """The copy is a whole response of its own."""
    server = StutteringServer(_respond, random.Random(1))
    server.share = 1
    received = _exchange(server, b'whole')
    assert received.count(b'HTTP/1.1 200 OK') == 2
    assert received.count(b'X-Number: 0') == 2
    assert received.count(b'\r\n\r\nbody') == 2
    assert server.copies == 1


def test_a_copy_is_sent_between_two_responses() -> None:
    """A stream that has begun is not interrupted."""
    server = StutteringServer(_respond, random.Random(1))
    server.share = 1
    received = _exchange(server, b'whole', b'stream', b'stream')
    whole = b'5\r\nevent\r\n' * 6 + b'0\r\n\r\n'
    assert received.count(whole) >= 3
    assert received.count(b'event') == received.count(whole) * 6


def test_no_response_comes_twice_without_a_stutter() -> None:
    """Each is passed on as it is."""
    server = StutteringServer(_respond, random.Random(1))
    address = serve_program(server)
    response = urllib3.PoolManager().request(
        'GET', f'http://{address}/stream', headers={'X-Number': '7'}
    )
    assert response.data == b'event' * 6
    assert not server.copies
