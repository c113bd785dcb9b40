"""Fixtures for the tests of connections to backend servers."""

from __future__ import annotations

import socket
from collections.abc import Callable, Iterator
from contextlib import contextmanager

import eventlet

from egretdale.coordination.exchanges import ForwardAttempt
from egretdale.coordination.ports import EndOfStream, MaybeRun, NotRun
from egretdale.protocol.forwarding import HeaderCodec, HeaderNames
from egretdale.state.instances import Instance
from egretdale.transport.forwarding import ForwardedResponse, HttpForwardClient
from egretdale.util.clocks import read_boot_clock
from tests.forwarding import create_request

#: Serves one accepted connection.
Script = Callable[[socket.socket], None]

HEAD = b'HTTP/1.1 200 OK\r\nEgret-Request-Id: request-1\r\nEgret-Seal: s\r\n'


@contextmanager
def open_server(script: Script) -> Iterator[tuple[HttpForwardClient, str]]:
    listener = eventlet.listen(('127.0.0.1', 0))

    def accept() -> None:
        while True:
            connection, _ = listener.accept()
            eventlet.spawn(script, connection)

    server = eventlet.spawn(accept)
    client = HttpForwardClient(HeaderCodec(HeaderNames()), read_boot_clock)
    host, port = listener.getsockname()
    yield client, f'{host}:{port}'
    server.kill()
    listener.close()


def open_response(
    client: HttpForwardClient, address: str, body: bytes = b'', **changes: str
) -> ForwardedResponse | NotRun | MaybeRun:
    instance = Instance('b0', 'claims', address)
    request = create_request('/a%2Fb?q', body=body, **changes)
    attempt = ForwardAttempt(request, instance, '', 5.0, urgency=0)
    with eventlet.Timeout(5):
        return client.open(attempt)


def read_all(
    response: ForwardedResponse,
) -> tuple[bytes, EndOfStream | MaybeRun]:
    body = b''
    with eventlet.Timeout(5):
        while True:
            step = response.read()
            if not isinstance(step, bytes):
                return body, step
            body += step


def read_head(connection: socket.socket) -> bytes:
    received = b''
    while b'\r\n\r\n' not in received:
        chunk = connection.recv(65536)
        if not chunk:
            return received
        received += chunk
    return received
