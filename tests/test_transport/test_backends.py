"""Tests of the client of the project's own interface, with real sockets."""

from __future__ import annotations

import socket

import eventlet

from egretdale.coordination.ports import BackendCall, MaybeRun
from egretdale.errors import Unreachable
from egretdale.transport.backends import HttpBackendClient, HttpBackendStream
from tests.backend_sockets import open_server, read_head
from tests.functions import create_loader

load_tests = create_loader(__name__)


def _create_call(stream_id: str) -> BackendCall:
    return BackendCall(
        stream_id, 'GET', '/x', (), b'', 0, fresh=False, first_byte_s=2
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
