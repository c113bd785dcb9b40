"""Tests of servers that answer a request twice, the second time late."""

from __future__ import annotations

import contextlib
import itertools
import socket
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field

import eventlet
from hypothesis import given, settings, strategies

from egretdale.coordination.ports import EndOfStream, MaybeRun, NotRun
from egretdale.transport.backend_connections import BackendConnection
from egretdale.transport.forwarding import ForwardedResponse, HttpForwardClient
from tests.backend_sockets import (
    open_response,
    open_server,
    read_all,
    read_head,
)
from tests.functions import create_loader

load_tests = create_loader(__name__)

_FRAMINGS = ('length', 'chunks', 'none')
_METHODS = ('GET', 'POST', 'HEAD')
_PAUSE_S = 0.01


def _build_head(identity: str, *fields: str) -> bytes:
    lines = (
        'HTTP/1.1 200 OK',
        f'Egret-Request-Id: {identity}',
        'Egret-Seal: s',
        *fields,
        '',
        '',
    )
    return '\r\n'.join(lines).encode()


def _build_body(identity: str) -> bytes:
    return f'answer to {identity}, '.encode() * 3


def _build_answer(identity: str, framing: str, method: str = 'POST') -> bytes:
    """Build a whole answer."""
    body = _build_body(identity)
    match framing:
        case 'length':
            head = _build_head(identity, f'Content-Length: {len(body)}')
        case 'chunks':
            head = _build_head(identity, 'Transfer-Encoding: chunked')
            body = b'8\r\n%s\r\n%x\r\n%s\r\n0\r\nX-A: b\r\n\r\n' % (
                body[:8],
                len(body) - 8,
                body[8:],
            )
        case _:
            head = _build_head(identity)
    return head if method == 'HEAD' else head + body


@dataclass
class _Server:
    """Answers requests with scripted pieces of bytes, in order.

    :ivar answers: pieces that it sends after each request.
    :ivar ends: whether it closes a connection after the last answer.
    :ivar accepted: number of its connections.
    """

    answers: list[tuple[bytes, ...]]
    ends: bool = False
    accepted: int = 0
    connections: list[socket.socket] = field(default_factory=list)

    def serve(self, connection: socket.socket) -> None:
        """Serve a connection."""
        self.accepted += 1
        self.connections.append(connection)
        with contextlib.suppress(OSError):
            while self.answers and read_head(connection):
                self._send(connection, self.answers.pop(0))
        if self.ends:
            connection.close()
        else:
            eventlet.sleep(60)

    def _send(
        self, connection: socket.socket, pieces: tuple[bytes, ...]
    ) -> None:
        for piece in pieces:
            connection.sendall(piece)
            eventlet.sleep(_PAUSE_S)


def _ask(
    client: HttpForwardClient, address: str, identity: str, method: str = 'POST'
) -> tuple[bytes, bool]:
    """Return the body of a response and whether it seems complete."""
    response = open_response(
        client, address, request_id=identity, method=method
    )
    if not isinstance(response, ForwardedResponse):
        return b'', False
    body, end = read_all(response)
    is_complete = isinstance(end, EndOfStream)
    if not is_complete:
        response.close()
    return body, is_complete


def _cut(content: bytes, cuts: list[int]) -> tuple[bytes, ...]:
    """Cut bytes into pieces at some places."""
    places = [0, *sorted({cut % len(content) for cut in cuts}), len(content)]
    return tuple(
        content[begin:end] for begin, end in itertools.pairwise(places)
    )


def test_a_late_second_answer_does_not_cost_the_next_request() -> None:
    """In each framing and method, alone and several in a row."""
    for framing, own, method, copies in itertools.product(
        _FRAMINGS[:2], _FRAMINGS, _METHODS, (1, 3)
    ):
        case = (framing, own, method, copies)
        late = _build_answer('r1', framing, method)
        answer = _build_answer('r2', own)
        server = _Server([(late,), (late * copies + answer,)], ends=True)
        with open_server(server.serve) as (client, address):
            body, is_complete = _ask(client, address, 'r1', method)
            assert is_complete, case
            expected = b'' if method == 'HEAD' else _build_body('r1')
            assert body == expected, case
            outcome = _ask(client, address, 'r2')
            assert outcome == (_build_body('r2'), True), case
            assert server.accepted == 1, case
            assert client.pool.skipped == copies


@settings(max_examples=60, derandomize=True, database=None, deadline=None)
@given(
    strategies.sampled_from(_FRAMINGS[:2]),
    strategies.sampled_from(_FRAMINGS),
    strategies.lists(strategies.integers(0, 400), max_size=5),
)
def test_a_late_second_answer_in_pieces_is_skipped(
    framing: str, own: str, cuts: list[int]
) -> None:
    """The own answer may begin in any of them."""
    late = _build_answer('r1', framing)
    pieces = _cut(late + _build_answer('r2', own), cuts)
    server = _Server([(late,), pieces], ends=True)
    with open_server(server.serve) as (client, address):
        assert _ask(client, address, 'r1')[1]
        assert _ask(client, address, 'r2') == (_build_body('r2'), True)


def test_a_connection_is_kept_after_a_late_second_answer() -> None:
    """Also if each request of a connection is answered twice."""
    count = 100
    answers = [_build_answer(f'r{number}', 'length') for number in range(count)]
    late = (b'', *answers)
    server = _Server(
        [(before + own,) for before, own in zip(late, answers, strict=False)]
    )
    with open_server(server.serve) as (client, address):
        for number in range(count):
            identity = f'r{number}'
            assert _ask(client, address, identity) == (
                _build_body(identity),
                True,
            )
        assert server.accepted == 1


def test_a_second_answer_between_the_check_and_the_request_is_skipped() -> None:
    """The connection seems idle when it is taken from the pool."""
    late = _build_answer('r1', 'length')
    server = _Server([(late,), (_build_answer('r2', 'length'),)])

    def take(address: str) -> BackendConnection | None:
        taken = pool.take(address)
        if taken is not None:
            server.connections[0].sendall(late)
            eventlet.sleep(_PAUSE_S)
        return taken

    with open_server(server.serve) as (client, address):
        pool = client.pool
        client.pool = _Pool(pool, take)
        assert _ask(client, address, 'r1')[1]
        assert _ask(client, address, 'r2') == (_build_body('r2'), True)
        assert server.accepted == 1


class _Pool:
    """A pool with another way to take connections."""

    def __init__(self, pool: object, take: Callable) -> None:
        self._pool = pool
        self.take = take

    def __getattr__(self, name: str) -> object:
        return getattr(self._pool, name)


@contextmanager
def _serve_second(second: bytes, *, ends: bool) -> Iterator[object]:
    """Read a first answer and open the second one."""
    server = _Server([(_build_answer('r1', 'length'),), (second,)], ends=ends)
    with open_server(server.serve) as (client, address):
        assert _ask(client, address, 'r1')[1]
        yield open_response(client, address, request_id='r2')


def test_a_second_answer_that_cannot_be_skipped_is_a_failure() -> None:
    """Neither a part of it nor what follows is passed on."""
    own = _build_answer('r2', 'length')
    length = _build_answer('r1', 'length')
    chunks = _build_answer('r1', 'chunks')
    for second in (
        _build_answer('r1', 'none') + own,
        chunks.replace(b'\r\n8\r\n', b'\r\n9\r\n') + own,
        length.replace(b'Egret-Seal:', b'Egret Seal') + own,
        _build_answer('r0', 'length') + own,
        length.replace(b'Egret-Request-Id: r1\r\n', b'') + own,
        length.replace(b'r1\r\n', b'r1\r\nEgret-Request-Id: r2\r\n') + own,
        *(length[:cut] for cut in range(0, len(length) + 1, 7)),
        *(chunks[:cut] for cut in range(0, len(chunks) + 1, 7)),
    ):
        with _serve_second(second, ends=True) as response:
            assert isinstance(response, MaybeRun), second


def test_a_second_answer_that_does_not_end_is_given_up() -> None:
    """A request that may be repeated is then tried elsewhere."""
    for second in (
        _build_answer('r1', 'length')[:-5],
        _build_answer('r1', 'chunks')[:-5],
    ):
        with _serve_second(second, ends=False) as response:
            assert isinstance(response, MaybeRun)


def test_the_record_of_carried_requests_is_bounded() -> None:
    """A second answer to a request of long ago is a failure, as before."""
    count = 70
    answers = [
        (_build_answer(f'r{number}', 'length'),) for number in range(count)
    ]
    answers.append((answers[0][0] + _build_answer('last', 'length'),))
    server = _Server(answers)
    with open_server(server.serve) as (client, address):
        for number in range(count):
            assert _ask(client, address, f'r{number}')[1]
        response = open_response(client, address, request_id='last')
        assert isinstance(response, MaybeRun | NotRun)
        assert server.accepted == 1
