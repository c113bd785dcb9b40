"""Tests of bytes without end from backend servers."""

from __future__ import annotations

import io
import socket
from collections.abc import Iterator
from contextlib import contextmanager, suppress

import eventlet

from egretdale.coordination.ports import EndOfStream, MaybeRun
from egretdale.protocol.framing import STATUS_LINE
from egretdale.transport.message_reader import MessageReader
from tests.backend_sockets import (
    HEAD,
    open_response,
    open_server,
    read_all,
    read_head,
)
from tests.functions import create_loader

load_tests = create_loader(__name__)

_CHUNKED_HEAD = HEAD + b'Transfer-Encoding: chunked\r\n\r\n'
_INTERIM = b'HTTP/1.1 102 Processing\r\n\r\n'
_TINY_CHUNKS = 4096
#: Reads after which other tasks must have had a turn.
_READS_PER_TURN = 128


@contextmanager
def _count_turns() -> Iterator[list[None]]:
    """Record the turns that another task gets."""
    turns: list[None] = []

    def run() -> None:
        while True:
            eventlet.sleep(0)
            turns.append(None)

    task = eventlet.spawn(run)
    yield turns
    task.kill()


def test_other_tasks_run_while_tiny_chunks_arrive() -> None:
    """A body of one byte a chunk must not hold up other requests."""
    received = _CHUNKED_HEAD + b'1\r\n.\r\n' * _TINY_CHUNKS + b'0\r\n\r\n'
    reader = MessageReader(io.BytesIO(received))
    with _count_turns() as turns:
        reader.read_head(reader.readline(), STATUS_LINE)
        reader.skip_body(None)
    assert len(turns) >= _TINY_CHUNKS * 3 // _READS_PER_TURN


def test_other_tasks_run_while_the_lines_of_a_section_arrive() -> None:
    """Short fields in heads and trailers must not hold up other requests."""
    fields = b'a:\r\n' * 8192
    body = b'Transfer-Encoding: chunked\r\n\r\n0\r\n'
    received = b'HTTP/1.1 200 OK\r\n' + fields + body + fields + b'\r\n'
    reader = MessageReader(io.BytesIO(received))
    with _count_turns() as turns:
        reader.read_head(reader.readline(), STATUS_LINE)
        heads = len(turns)
        reader.skip_body(None)
    assert heads >= 8192 // _READS_PER_TURN
    assert len(turns) - heads >= 8192 // _READS_PER_TURN


def test_other_tasks_run_while_a_long_body_arrives() -> None:
    """Its bytes count, and not only the reads."""
    size = 4194304
    head = HEAD + b'Content-Length: %d\r\n\r\n' % size
    reader = MessageReader(io.BytesIO(head + bytes(size)))
    with _count_turns() as turns:
        reader.read_head(reader.readline(), STATUS_LINE)
        reader.skip_body(size)
    assert len(turns) >= size // 131072


def test_tiny_chunks_that_arrive_together_are_read_at_once() -> None:
    """Each piece that is passed on to a caller has a cost of its own."""
    content = bytes(range(256)) * 4
    chunks = b''.join(b'1\r\n%c\r\n' % byte for byte in content)

    def answer(connection: socket.socket) -> None:
        read_head(connection)
        connection.sendall(_CHUNKED_HEAD + chunks + b'0\r\n\r\n')

    with open_server(answer) as (client, address):
        response = open_response(client, address)
        eventlet.sleep(0.05)
        with eventlet.Timeout(5):
            pieces = list(iter(response.read, EndOfStream()))
    assert b''.join(pieces) == content
    assert len(pieces) <= 8


def test_a_chunk_is_passed_on_before_the_next_one_is_whole() -> None:
    """Nothing waits for bytes that have not arrived."""
    for rest in (b'\r', b'\r\n2', b'\r\n2\r\n', b'\r\n2\r\nb', b'\r\n2\r\nbc'):
        _check_parts(rest, b'\r\n2\r\nbc\r\n0\r\n\r\n'.removeprefix(rest))


def _check_parts(first: bytes, second: bytes) -> None:
    waiting = eventlet.Event()

    def answer(connection: socket.socket) -> None:
        read_head(connection)
        connection.sendall(_CHUNKED_HEAD + b'1\r\na' + first)
        waiting.wait()
        connection.sendall(second)

    with open_server(answer) as (client, address):
        response = open_response(client, address)
        with eventlet.Timeout(5):
            begun = response.read()
        waiting.send()
        rest, end = read_all(response)
    assert begun + rest == b'abc'
    assert begun in {b'a', b'abc'}
    assert end == EndOfStream()


def test_interim_responses_without_end_are_given_up() -> None:
    """They are no answer, however many arrive."""
    sent: list[bytes] = []

    def answer(connection: socket.socket) -> None:
        read_head(connection)
        with suppress(OSError):
            while len(sent) < 1000:
                connection.sendall(_INTERIM * 1000)
                sent.append(_INTERIM)

    with open_server(answer) as (client, address):
        assert isinstance(open_response(client, address), MaybeRun)
        eventlet.sleep(0.1)
    assert len(sent) < 1000
