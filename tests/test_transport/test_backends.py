"""Tests of the client of the project's own interface, with real sockets."""

from __future__ import annotations

import socket
from contextlib import suppress

import eventlet

from egretdale.coordination.ports import BackendCall, EndOfStream, MaybeRun
from egretdale.errors import Unreachable
from egretdale.transport.backends import HttpBackendClient, HttpBackendStream
from tests.backend_sockets import open_server, read_all, read_head
from tests.endings import end_by_reset
from tests.functions import create_loader

load_tests = create_loader(__name__)


_UNFRAMED_HEAD = b'HTTP/1.1 200 OK\r\nEgret-Stream-Id: s1\r\n\r\n'


def _create_call(stream_id: str, body: bytes = b'') -> BackendCall:
    method = 'POST' if body else 'GET'
    return BackendCall(
        stream_id, method, '/x', (), body, 0, fresh=False, first_byte_s=2
    )


def _build_answer(stream_id: str) -> bytes:
    return (
        f'HTTP/1.1 200 OK\r\nEgret-Stream-Id: {stream_id}\r\n'
        f'Content-Length: {len(stream_id)}\r\n\r\n{stream_id}'
    ).encode()


def test_a_late_second_answer_is_not_taken_for_the_next_stream() -> None:
    """A server that names the stream in its response is known by that."""

    def script(connection: socket.socket) -> None:
        sent = b''
        for stream_id in ('s1', 's2'):
            if not read_head(connection):
                return
            sent += _build_answer(stream_id)
            connection.sendall(sent)

    with open_server(script) as (_, address), eventlet.Timeout(5):
        client = HttpBackendClient(2)
        first = client.open(address, _create_call('s1'))
        assert isinstance(first, HttpBackendStream)
        assert first.read() == b's1'
        first.finish()
        second = client.open(address, _create_call('s2'))
        assert isinstance(second, MaybeRun), second.read()
        third = client.open(address, _create_call('s1'))
        assert third.read() == b's1'


def test_a_late_second_report_is_not_taken_for_a_stream() -> None:
    """Reports and confirmations do not name a stream."""
    load = b'{"running":0,"waiting":0,"kv_tokens":0,"kv_limit":9}'
    report = b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n' % len(load) + load

    def script(connection: socket.socket) -> None:
        late = b''
        head = read_head(connection)
        while head:
            answer = report if b'/load' in head else _build_answer('s1')
            connection.sendall(late + answer)
            late = answer
            head = read_head(connection)

    with open_server(script) as (_, address), eventlet.Timeout(5):
        client = HttpBackendClient(2)
        client.read_load(address)
        stream = client.open(address, _create_call('s1'))
        assert stream.read() == b's1'
        stream.finish()
        assert not isinstance(client.read_load(address), Unreachable)


def test_a_reset_does_not_end_a_response_without_length() -> None:
    """The part that has arrived must not look like the whole answer."""

    def script(connection: socket.socket) -> None:
        read_head(connection)
        connection.sendall(_UNFRAMED_HEAD + b'part')
        eventlet.sleep(0.05)
        end_by_reset(connection)

    with open_server(script) as (_, address), eventlet.Timeout(5):
        response = HttpBackendClient(2).open(address, _create_call('s1'))
        assert read_all(response)[1] != EndOfStream()


def test_an_early_answer_to_an_upload_that_is_reset_is_not_complete() -> None:
    """A server answers a long upload at once, and resets its connection."""
    for delay_s in (0, 0.05):
        for size in (100_000, 30_000_000):
            assert not _is_complete_after_reset(delay_s, size), (delay_s, size)


def _is_complete_after_reset(delay_s: float, size: int) -> bool:
    def script(connection: socket.socket) -> None:
        connection.recv(64)
        connection.sendall(_UNFRAMED_HEAD + b'part')
        eventlet.sleep(delay_s)
        end_by_reset(connection)

    with open_server(script) as (_, address), eventlet.Timeout(5):
        call = _create_call('s1', bytes(size))
        response = HttpBackendClient(2).open(address, call)
        if isinstance(response, MaybeRun):
            return False
        return read_all(response)[1] == EndOfStream()


def test_a_report_without_end_is_not_kept() -> None:
    """A faulty engine must not use up the memory of a host."""
    piece = b'1\r\n{\r\n' * 10000
    sent: list[int] = []

    def script(connection: socket.socket) -> None:
        read_head(connection)
        connection.sendall(
            b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
        )
        with suppress(OSError):
            while len(sent) < 1000:
                connection.sendall(piece)
                sent.append(len(piece))

    with open_server(script) as (_, address), eventlet.Timeout(5):
        report = HttpBackendClient(2).read_load(address)
        assert isinstance(report, Unreachable)
        eventlet.sleep(0.1)
    assert sum(sent) < 10_000_000
