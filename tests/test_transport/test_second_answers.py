"""Tests of second answers to earlier requests, with real sockets."""

from __future__ import annotations

import itertools
from collections.abc import Callable, Iterator
from contextlib import contextmanager

import eventlet
from hypothesis import given, settings, strategies

from egretdale.coordination.exchanges import RelayAttempt
from egretdale.coordination.ports import MaybeRun, NotRun
from egretdale.transport.backend_connections import BackendConnection
from tests.backend_sockets import open_response, open_server, read_all
from tests.forwarding import create_request
from tests.functions import create_loader
from tests.repeating_servers import (
    FRAMINGS,
    METHODS,
    PAUSE_S,
    RepeatingServer,
    ask,
    build_answer,
    build_body,
    cut_at,
)

load_tests = create_loader(__name__)


def test_a_late_second_answer_does_not_cost_the_next_request() -> None:
    """In each framing and method, alone and several in a row."""
    for framing, own, method, copies in itertools.product(
        FRAMINGS[:2], FRAMINGS, METHODS, (1, 3)
    ):
        case = (framing, own, method, copies)
        late = build_answer('r1', framing, method)
        answer = build_answer('r2', own)
        server = RepeatingServer(
            [(late,), (late * copies + answer,)], ends=True
        )
        with open_server(server.serve) as (client, address):
            body, is_complete = ask(client, address, 'r1', method)
            assert is_complete, case
            expected = b'' if method == 'HEAD' else build_body('r1')
            assert body == expected, case
            outcome = ask(client, address, 'r2')
            assert outcome == (build_body('r2'), True), case
            assert server.accepted == 1, case
            assert client.pool.skipped == copies


@settings(max_examples=60, derandomize=True, database=None, deadline=None)
@given(
    strategies.sampled_from(FRAMINGS[:2]),
    strategies.sampled_from(FRAMINGS),
    strategies.lists(strategies.integers(0, 400), max_size=5),
)
def test_a_late_second_answer_in_pieces_is_skipped(
    framing: str, own: str, cuts: list[int]
) -> None:
    """The own answer may begin in any of them."""
    late = build_answer('r1', framing)
    pieces = cut_at(late + build_answer('r2', own), cuts)
    server = RepeatingServer([(late,), pieces], ends=True)
    with open_server(server.serve) as (client, address):
        assert ask(client, address, 'r1')[1]
        assert ask(client, address, 'r2') == (build_body('r2'), True)


def test_a_connection_is_kept_after_a_late_second_answer() -> None:
    """Also if each request of a connection is answered twice."""
    count = 100
    answers = [build_answer(f'r{number}', 'length') for number in range(count)]
    late = (b'', *answers)
    server = RepeatingServer(
        [(before + own,) for before, own in zip(late, answers, strict=False)]
    )
    with open_server(server.serve) as (client, address):
        for number in range(count):
            identity = f'r{number}'
            assert ask(client, address, identity) == (
                build_body(identity),
                True,
            )
        assert server.accepted == 1


def test_a_second_answer_on_an_idle_connection_does_not_cost_it() -> None:
    """It is skipped if it has arrived as a whole, with the first or later."""
    for framing, method, copies in itertools.product(
        FRAMINGS[:2], METHODS, (1, 3)
    ):
        first = build_answer('r1', framing, method)
        second = (build_answer('r2', framing),)
        late = first * copies
        for pieces in (
            (first, late),
            (first + late,),
            (first + late[:9], late[9:]),
        ):
            server = RepeatingServer([pieces, second])
            with open_server(server.serve) as (client, address):
                assert ask(client, address, 'r1', method)[1]
                eventlet.sleep(3 * PAUSE_S)
                assert ask(client, address, 'r2') == (build_body('r2'), True)
                assert server.accepted == 1, pieces
                assert client.pool.skipped == copies


def test_a_second_answer_of_a_relaying_host_is_skipped() -> None:
    """Its connections are used again for what may be repeated."""
    answers = [build_answer(f'r{number}', 'chunks') for number in range(3)]
    late = (b'', *answers)
    server = RepeatingServer(
        [(before + own,) for before, own in zip(late, answers, strict=False)]
    )
    with open_server(server.serve) as (client, address):
        for number in range(3):
            request = create_request('/a', request_id=f'r{number}')
            attempt = RelayAttempt(
                request, 'h2', address, 5.0, 0, is_repeatable=True
            )
            body, _ = read_all(client.relay(attempt))
            assert body == build_body(f'r{number}')
        assert server.accepted == 1


def test_other_bytes_on_an_idle_connection_close_it() -> None:
    """No request is sent before what may be the end of the connection."""
    first = build_answer('r1', 'length')
    second = (build_answer('r2', 'length'),)
    timeout = b'HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\n\r\n'
    for late in (
        first[:-1],
        first[:20],
        build_answer('r1', 'chunks')[:-1],
        build_answer('r1', 'none'),
        build_answer('r0', 'length'),
        first + timeout,
        timeout,
        b'HTTP/1.1 100 Continue\r\n\r\n',
        first.replace(b'Egret-Seal: s', b'connection: Close'),
        first.replace(b'HTTP/1.1', b'HTTP/1.0'),
    ):
        server = RepeatingServer([(first, late), second])
        with open_server(server.serve) as (client, address):
            assert ask(client, address, 'r1')[1]
            eventlet.sleep(3 * PAUSE_S)
            assert ask(client, address, 'r2') == (build_body('r2'), True)
            assert client.pool.opened == 2, late


def test_an_idle_connection_that_ends_after_a_second_answer_is_dropped() -> (
    None
):
    """Its end is seen after the answer."""
    first = build_answer('r1', 'length')
    server = RepeatingServer([(first, first)], ends=True)
    with open_server(server.serve) as (client, address):
        assert ask(client, address, 'r1')[1]
        eventlet.sleep(5 * PAUSE_S)
        assert client.pool.take(address) is None


def test_a_second_answer_between_the_check_and_the_request_is_skipped() -> None:
    """The connection seems idle when it is taken from the pool."""
    late = build_answer('r1', 'length')
    server = RepeatingServer([(late,), (build_answer('r2', 'length'),)])

    def take(address: str, **options: bool) -> BackendConnection | None:
        taken = pool.take(address, **options)
        if taken is not None:
            server.connections[0].sendall(late)
            eventlet.sleep(PAUSE_S)
        return taken

    with open_server(server.serve) as (client, address):
        pool = client.pool
        client.pool = _Pool(pool, take)
        assert ask(client, address, 'r1')[1]
        assert ask(client, address, 'r2') == (build_body('r2'), True)
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
    server = RepeatingServer(
        [(build_answer('r1', 'length'),), (second,)], ends=ends
    )
    with open_server(server.serve) as (client, address):
        assert ask(client, address, 'r1')[1]
        yield open_response(client, address, request_id='r2')


def test_a_second_answer_that_cannot_be_skipped_is_a_failure() -> None:
    """Neither a part of it nor what follows is passed on."""
    own = build_answer('r2', 'length')
    length = build_answer('r1', 'length')
    chunks = build_answer('r1', 'chunks')
    for second in (
        build_answer('r1', 'none') + own,
        chunks.replace(b'\r\n8\r\n', b'\r\n9\r\n') + own,
        length.replace(b'Egret-Seal:', b'Egret Seal') + own,
        build_answer('r0', 'length') + own,
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
        build_answer('r1', 'length')[:-5],
        build_answer('r1', 'chunks')[:-5],
    ):
        with _serve_second(second, ends=False) as response:
            assert isinstance(response, MaybeRun)


def test_the_record_of_carried_requests_is_bounded() -> None:
    """A second answer to a request of long ago is a failure, as before."""
    count = 70
    answers = [
        (build_answer(f'r{number}', 'length'),) for number in range(count)
    ]
    answers.append((answers[0][0] + build_answer('last', 'length'),))
    server = RepeatingServer(answers)
    with open_server(server.serve) as (client, address):
        for number in range(count):
            assert ask(client, address, f'r{number}')[1]
        response = open_response(client, address, request_id='last')
        assert isinstance(response, MaybeRun | NotRun)
        assert server.accepted == 1
