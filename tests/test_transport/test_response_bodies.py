"""Tests of second answers within a body or after it, with real sockets."""

from __future__ import annotations

import itertools

import eventlet
from hypothesis import given, settings, strategies

from egretdale.state.instances import Instance
from egretdale.state.routing import RequestKind
from tests.backend_sockets import open_server
from tests.forwarding import (
    create_request,
    create_route,
    create_table,
    open_scene,
)
from tests.functions import create_loader
from tests.repeating_servers import (
    FRAMINGS,
    PAUSE_S,
    RepeatingServer,
    ask,
    build_answer,
    build_body,
    build_head,
    cut_at,
)

load_tests = create_loader(__name__)


def _insert(answer: bytes, place: int, copy: bytes) -> bytes:
    place = min(place, len(answer))
    return answer[:place] + copy + answer[place:]


@settings(max_examples=300, derandomize=True, database=None, deadline=None)
@given(
    strategies.sampled_from(FRAMINGS),
    strategies.sampled_from(FRAMINGS),
    strategies.sampled_from(('r1', 'r2')),
    strategies.integers(0, 170),
    strategies.lists(strategies.integers(0, 600), max_size=3),
    strategies.integers(1, 200),
)
def test_a_second_answer_within_an_answer_is_no_part_of_it(
    own: str,
    framing: str,
    copied: str,
    place: int,
    cuts: list[int],
    kept: int,
) -> None:
    """Wherever it begins, in whatever pieces it arrives and where it ends."""
    expected = build_body('r2')
    copy = build_answer(copied, framing)
    # A beginning of a copy is shown to be one by the ID in its head.
    shown = copy.index(b'\r\n', copy.index(b'Id: ')) + 2
    copy = copy[: max(shown, kept)]
    answer = build_answer('r2', own)
    if copied == 'r2':
        # Its first answer has begun before.
        place = max(place, answer.index(b'\r\n\r\n') + 4)
    sent = _insert(answer, place, copy)
    first = build_answer('r1', 'length')
    server = RepeatingServer([(first,), cut_at(sent, cuts)], ends=True)
    with open_server(server.serve) as (client, address):
        assert ask(client, address, 'r1')[1]
        body, is_complete = ask(client, address, 'r2')
        assert expected.startswith(body)
        assert not is_complete or body == expected
        # What the connection carries afterwards is of no concern.
        server.answers.append((build_answer('r3', 'length'),))
        assert ask(client, address, 'r3') == (build_body('r3'), True)


def test_an_unframed_answer_ends_where_its_copies_begin() -> None:
    """They end with the connection; the answer before them is whole."""
    own = build_answer('r1', 'none')
    for copies in (own, own * 3, own[:-5], own.partition(b'\r\n\r\n')[0]):
        for pieces in (
            (own + copies,),
            (own, copies),
            (own[:-3], own[-3:], copies),
        ):
            server = RepeatingServer([pieces], ends=True)
            with open_server(server.serve) as (client, address):
                outcome = ask(client, address, 'r1')
                assert outcome == (build_body('r1'), True), copies


def test_an_unframed_answer_before_other_bytes_is_not_whole() -> None:
    """What follows is not the same answer again."""
    own = build_answer('r1', 'none')
    for second in (
        own.replace(b'answer', b'other.'),
        own.replace(b'\r\n\r\n', b'\r\n')[:-8],
        build_answer('r1', 'length')[:-8] + b'!',
    ):
        server = RepeatingServer([(own, second)], ends=True)
        with open_server(server.serve) as (client, address):
            assert ask(client, address, 'r1') == (build_body('r1'), False)


def test_an_unframed_answer_that_begins_again_is_not_whole() -> None:
    """Its second run is longer, so the first one was cut off."""
    own = build_answer('r1', 'none')
    for cut in range(1, len(build_body('r1')) + 1, 6):
        server = RepeatingServer([(own[:-cut] + own,)], ends=True)
        with open_server(server.serve) as (client, address):
            body, is_complete = ask(client, address, 'r1')
            assert not is_complete
            assert build_body('r1').startswith(body)


def test_bytes_after_a_whole_answer_do_not_cost_it() -> None:
    """It is delivered, and they do not reach the next request."""
    for framing, surplus in itertools.product(
        FRAMINGS[:2],
        (
            build_answer('r1', 'length'),
            build_answer('r1', 'chunks')[:-9],
            build_answer('r0', 'length'),
            b'HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\n\r\n',
            b'nonsense',
        ),
    ):
        first = build_answer('r1', framing)
        second = build_answer('r2', framing)
        for pieces in ((first + surplus,), (first, surplus)):
            server = RepeatingServer([pieces, (second,)])
            with open_server(server.serve) as (client, address):
                outcome = ask(client, address, 'r1')
                assert outcome == (build_body('r1'), True), pieces
                eventlet.sleep(3 * PAUSE_S)
                outcome = ask(client, address, 'r2')
                assert outcome == (build_body('r2'), True), pieces


def test_bodies_that_contain_a_head_are_delivered() -> None:
    """It has no ID of a request of the connection."""
    for identity in ('other', 'r11', 'x'):
        inner = build_answer(identity, 'length').replace(
            b'Egret-Request-Id: x\r\n', b''
        )
        body = b'GET / HTTP/1.1\r\n\r\n' + inner + b'HTTP/1.1 200 OK\r\nA'
        for sent in (
            build_head('r1', f'Content-Length: {len(body)}') + body,
            build_head('r1') + body,
        ):
            for cut in (0, 200, len(sent) - 4):
                pieces = (sent[:cut], sent[cut:])
                server = RepeatingServer([pieces], ends=True)
                with open_server(server.serve) as (client, address):
                    assert ask(client, address, 'r1') == (body, True)


_STREAM_TYPE = 'Content-Type: text/event-stream'
_EVENTS = tuple(b'id: %d\ndata: x\n\n' % number for number in range(1, 5))
_BEGUN = b''.join(_EVENTS[:2])


def _build_streams(identity: str) -> tuple[bytes, ...]:
    """Build streams within which an answer to a request begins."""
    copy = build_head(identity, _STREAM_TYPE) + b''.join(_EVENTS)
    begun = _BEGUN + copy
    chunk = b'%x\r\n%s\r\n' % (len(begun), begun)
    chunks = build_head('request-1', _STREAM_TYPE, 'Transfer-Encoding: chunked')
    longer = f'Content-Length: {len(begun) + 9}'
    return (
        chunks + chunk,
        chunks + chunk + b'0\r\n\r\n',
        build_head('request-1', _STREAM_TYPE, longer) + begun,
        build_head('request-1', _STREAM_TYPE) + begun,
    )


def test_a_stream_with_a_second_answer_within_it_goes_on_elsewhere() -> None:
    """After its last event of its own."""
    rest = build_head('request-1', _STREAM_TYPE) + b''.join(_EVENTS[2:])
    route = create_route('/stream/', RequestKind.STREAM, resumable=True)
    for stream in _build_streams('request-1'):
        server = RepeatingServer([(stream,), (rest,)], ends=True)
        with open_server(server.serve) as (client, address):
            with open_scene(create_table(route), client) as scene:
                scene.instances.replace(
                    {
                        name: Instance(name, 'claims', address)
                        for name in ('b0', 'b1')
                    },
                    after_outage=False,
                )
                reply = scene.forward(create_request('/stream/'))
                assert b''.join(reply.chunks) == b''.join(_EVENTS), stream
