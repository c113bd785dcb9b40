"""Tests of servers that answer twice, the second time late.

The daemons are real.
"""

from __future__ import annotations

import itertools
import socket
from collections import Counter

import eventlet
from urllib3 import PoolManager

from soak.daemons import (
    HOST_NAME,
    get_path_prefix,
    put_configuration,
    put_server,
)
from standins.objects import ObjectStoreProgram
from tests.daemons import open_daemons
from tests.functions import create_loader
from tests.raw_engines import RawEngine, RawRequest, ask

load_tests = create_loader(__name__)

_RETRIES = 10000
_WORK_S = 0.01
#: Delays of a second answer: beside the first one, while the connection is
#: idle, and while the server works on the next request.
_DELAYS_S = (0, 0.002, 0.006, 0.01, 0.012, 0.015, 0.02)
_REQUESTS = 210


def _build_answer(
    engine: RawEngine, request: RawRequest, *, in_chunks: bool
) -> bytes:
    body = request.identity.encode()
    framing = f'Content-Length: {len(body)}'
    if in_chunks:
        framing = 'Transfer-Encoding: chunked'
        body = b'%x\r\n%s\r\n0\r\n\r\n' % (len(body), body)
    if request.start.startswith('HEAD'):
        body = b''
    return engine.build_head(request, framing) + body


class _Stutter:
    """Answers each request twice, the second time with a delay."""

    def __init__(self) -> None:
        self._delays_s = itertools.cycle(_DELAYS_S)
        self._in_chunks = itertools.cycle((False, True, True))

    def answer(
        self, engine: RawEngine, request: RawRequest, connection: socket.socket
    ) -> bool:
        eventlet.sleep(_WORK_S)
        engine.runs.append(request.identity)
        answer = _build_answer(engine, request, in_chunks=next(self._in_chunks))
        connection.sendall(answer)
        delay_s = next(self._delays_s)
        eventlet.spawn_after(delay_s, _send_again, connection, answer)
        return True


def _send_again(connection: socket.socket, answer: bytes) -> None:
    try:
        connection.sendall(answer)
    except OSError:
        # The daemon has closed the connection.
        return


def test_late_second_answers_cost_no_request() -> None:
    """Every caller gets its own answer, and nothing runs twice."""
    stutter = _Stutter()
    engines = [RawEngine(stutter.answer) for _ in range(2)]
    store = ObjectStoreProgram()
    put_configuration(store, 1)
    for number, engine in enumerate(engines):
        engine.start()
        put_server(store, f'i-{number}', engine.address)
    kinds = itertools.cycle(
        (
            ('POST', 'non_idempotent'),
            ('GET', 'idempotent'),
            ('HEAD', 'idempotent'),
        )
    )
    with open_daemons(store, retry_budget_slack=_RETRIES) as daemons:
        front = daemons[0].place.addresses['front']
        pool = PoolManager(retries=False, timeout=5)
        for number in range(_REQUESTS):
            method, kind = next(kinds)
            answer = pool.request(
                method,
                f'http://{front}{get_path_prefix(kind)}x',
                headers={'Host': HOST_NAME, 'Attempt-Id': f'r{number}'},
            )
            expected = b'' if method == 'HEAD' else f'r{number}'.encode()
            assert (answer.status, answer.data) == (200, expected), number
        skipped = daemons[0].log.read_bytes().count(b'late-answer-skipped')
    assert skipped
    runs = Counter(itertools.chain(engines[0].runs, engines[1].runs))
    assert runs == {f'r{number}': 1 for number in range(_REQUESTS)}


_PLACES = ('after', 'within', 'within-chunk', 'cut-off')


def _write_second_answer(
    engine: RawEngine, request: RawRequest, connection: socket.socket
) -> bool:
    """Answer a request, and write an answer to it again as its path says."""
    engine.runs.append(request.identity)
    place = request.start.split()[1].rpartition('/')[2]
    body = request.identity.encode() * 3
    unframed = engine.build_head(request) + body
    length = engine.build_head(request, f'Content-Length: {2 * len(body)}')
    chunked = engine.build_head(request, 'Transfer-Encoding: chunked')
    match place:
        case 'after':
            sent = unframed + unframed
        case 'within':
            sent = length + body + unframed + body
        case 'within-chunk':
            chunk = body + unframed
            sent = chunked + b'%x\r\n%s\r\n0\r\n\r\n' % (len(chunk), chunk)
        case _:
            sent = unframed + unframed[:30]
    connection.sendall(sent)
    return False


def test_second_answers_within_bodies_do_not_reach_callers() -> None:
    """What a caller gets is its own answer, or looks incomplete."""
    engine = RawEngine(_write_second_answer)
    store = ObjectStoreProgram()
    put_configuration(store, 1)
    engine.start()
    put_server(store, 'i-0', engine.address)
    with open_daemons(store, retry_budget_slack=_RETRIES) as daemons:
        front = daemons[0].place.addresses['front']
        for place, kind in itertools.product(
            _PLACES, ('non_idempotent', 'idempotent')
        ):
            identity = f'{kind}-{place}'
            sent = (
                f'POST {get_path_prefix(kind)}{place} HTTP/1.1\r\n'
                f'Host: {HOST_NAME}\r\nAttempt-Id: {identity}\r\n'
                'Connection: close\r\nContent-Length: 0\r\n\r\n'
            )
            reply = ask(front, sent.encode())
            assert reply.status == 200
            assert reply.body == identity.encode() * 3, place
            assert reply.is_complete == (place in {'after', 'cut-off'}), place
        found = daemons[0].log.read_bytes().count(b'answer-within-body')
    assert found == len(engine.runs) == 2 * len(_PLACES)
