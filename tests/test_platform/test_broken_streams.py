"""Tests of streams that break off, with real daemons and raw servers.

The next server's answer must go on with the stream, or the stream breaks off.
"""

from __future__ import annotations

import socket
from collections.abc import Callable, Iterator
from contextlib import contextmanager

import eventlet

from soak.daemons import HOST_NAME, Daemon, put_configuration, put_server
from standins.objects import ObjectStoreProgram
from tests.daemons import open_daemons
from tests.endings import end_by_reset
from tests.functions import create_loader
from tests.raw_engines import RawEngine, RawReply, RawRequest, ask

load_tests = create_loader(__name__)

_EVENTS = tuple(
    b'id: %d\ndata: months paid: 2\n\n' % number for number in range(1, 7)
)
_BEGUN = 3
#: Retries that are more than a test makes.
_RETRIES = 10000
_TYPE = 'Content-Type: text/event-stream'
_ERROR = b'<html>\n\nno engine id: 9\n\nTry again.\n\n</html>\n\n'
_JSON = b'{"error": "overloaded"}\n\n'

#: Begins an answer after the events that were passed on.
Part = Callable[[RawEngine, RawRequest, socket.socket], None]


def _send_chunks(connection: socket.socket, *chunks: bytes) -> None:
    for chunk in chunks:
        connection.sendall(b'%x\r\n%s\r\n' % (len(chunk), chunk))


def _begin_in_chunks(
    engine: RawEngine, request: RawRequest, connection: socket.socket
) -> None:
    head = engine.build_head(request, _TYPE, 'Transfer-Encoding: chunked')
    connection.sendall(head)
    _send_chunks(connection, *_EVENTS[:_BEGUN], _EVENTS[_BEGUN][:7])


def _begin_by_length(
    engine: RawEngine, request: RawRequest, connection: socket.socket
) -> None:
    length = len(b''.join(_EVENTS)) + 100
    head = engine.build_head(request, _TYPE, f'Content-Length: {length}')
    connection.sendall(head + b''.join(_EVENTS[:_BEGUN]))


def _begin_without_framing(
    engine: RawEngine, request: RawRequest, connection: socket.socket
) -> None:
    head = engine.build_head(request, _TYPE)
    connection.sendall(head + b''.join(_EVENTS[:_BEGUN]) + b'id: 4')


_BEGINNINGS = (_begin_in_chunks, _begin_by_length, _begin_without_framing)


def _respond(status: str, body: bytes, *fields: str) -> Part:
    """Create an answer with a length, bearing the ID and the seal."""

    def send(
        engine: RawEngine, request: RawRequest, connection: socket.socket
    ) -> None:
        head = engine.build_head(
            request, f'Content-Length: {len(body)}', *fields
        )
        connection.sendall(head.replace(b'200 OK', status.encode()) + body)

    return send


def _respond_in_chunks(*chunks: bytes) -> Part:
    def send(
        engine: RawEngine, request: RawRequest, connection: socket.socket
    ) -> None:
        framing = 'Transfer-Encoding: chunked'
        connection.sendall(engine.build_head(request, _TYPE, framing))
        _send_chunks(connection, *chunks)
        connection.sendall(b'0\r\n\r\n')

    return send


def _respond_without_framing(body: bytes, content_type: str = _TYPE) -> Part:
    def send(
        engine: RawEngine, request: RawRequest, connection: socket.socket
    ) -> None:
        connection.sendall(engine.build_head(request, content_type) + body)

    return send


def _send_bytes(received: bytes) -> Part:
    def send(
        engine: RawEngine, request: RawRequest, connection: socket.socket
    ) -> None:
        connection.sendall(received)

    return send


_HTML = 'Content-Type: text/html'
_PLAIN_ERROR = b'HTTP/1.1 502 Bad Gateway\r\nContent-Length: 9\r\n\r\nno engine'
#: What the next server answers, by what is wrong with it.
_ERRORS: dict[str, Part] = {
    '500': _respond('500 Internal Server Error', _ERROR, _HTML),
    '500-as-stream': _respond('500 Internal Server Error', _ERROR, _TYPE),
    '404': _respond('404 Not Found', _ERROR, _HTML),
    '400-as-stream': _respond('400 Bad Request', _EVENTS[3], _TYPE),
    '503': _respond('503 Busy', _JSON, _TYPE),
    '503-not-run': _respond('503 Busy', _JSON, 'Not-Executed: 1'),
    '302': _respond('302 Found', _JSON, 'Location: /x', _TYPE),
    '206': _respond('206 Partial Content', _EVENTS[3], _TYPE),
    '204': _respond('204 No Content', b'', _TYPE),
    'unsealed': _send_bytes(_PLAIN_ERROR),
    '200-html': _respond('200 OK', _ERROR, _HTML),
    '200-json': _respond('200 OK', _JSON, 'Content-Type: application/json'),
    '200-without-type': _respond('200 OK', _ERROR),
    '200-error-as-stream': _respond('200 OK', _ERROR, _TYPE),
    '200-json-as-stream': _respond('200 OK', _JSON, _TYPE),
    '200-error-event': _respond(
        '200 OK', b'event: error\ndata: id: 9\n\n', _TYPE
    ),
    '200-error-in-chunks': _respond_in_chunks(_JSON, _ERROR),
    '200-from-the-start': _respond_in_chunks(*_EVENTS),
    '200-error-without-framing': _respond_without_framing(_ERROR),
    '200-html-without-framing': _respond_without_framing(_ERROR, _HTML),
    '200-empty-without-framing': _respond_without_framing(b''),
    'cut-head': _send_bytes(b'HTTP/1.1 200 OK\r\nServer-Seal: s\r\nConte'),
    'no-http': _send_bytes(_ERROR),
    'nothing': _send_bytes(b''),
    'other-request': _send_bytes(
        b'HTTP/1.1 200 OK\r\nAttempt-Id: other\r\nServer-Seal: s\r\n'
        b'Content-Type: text/event-stream\r\nContent-Length: %d\r\n\r\n%s'
        % (len(_EVENTS[3]), _EVENTS[3])
    ),
}


class _Script:
    """Breaks a stream off, answers its resumption wrongly, then goes on."""

    def __init__(self, begin: Part, error: Part) -> None:
        self.begin = begin
        self.error = error
        self.sent = 0

    def answer(
        self, engine: RawEngine, request: RawRequest, connection: socket.socket
    ) -> bool:
        self.sent += 1
        if self.sent == 1:
            self.begin(engine, request, connection)
            # A reset discards what the daemon has not read yet.
            eventlet.sleep(0.02)
            if self.begin is _begin_in_chunks:
                end_by_reset(connection)
            return False
        if self.sent == 2:
            self.error(engine, request, connection)
            return False
        after = int(request.headers.get('last-event-id', '0'))
        _respond_in_chunks(*_EVENTS[after:])(engine, request, connection)
        return True


@contextmanager
def _open_engines(
    attempts: int,
) -> Iterator[tuple[list[Daemon], Callable[[Part, Part, str], RawReply]]]:
    scripts: list[_Script] = []
    # A kept connection shows what follows an incomplete body.
    connection = 'keep-alive' if attempts == 2 else 'close'

    def answer(
        engine: RawEngine, request: RawRequest, accepted: socket.socket
    ) -> bool:
        return scripts[-1].answer(engine, request, accepted)

    engines = [RawEngine(answer) for _ in range(4)]
    store = ObjectStoreProgram()
    put_configuration(store, 1, attempts=attempts)
    for number, engine in enumerate(engines):
        engine.start()
        put_server(store, f'i-{number}', engine.address)
    with open_daemons(store, retry_budget_slack=_RETRIES) as daemons:

        def play(begin: Part, error: Part, identity: str) -> RawReply:
            scripts.append(_Script(begin, error))
            number = len(scripts)
            sent = (
                f'POST /stream/x HTTP/1.1\r\nHost: {HOST_NAME}\r\n'
                f'Attempt-Id: {identity}\r\nContent-Length: 0\r\n'
                f'Connection: {connection}\r\n\r\n'
            ).encode()
            address = daemons[number % 3].place.addresses['front']
            return ask(address, sent, timeout_s=0.4)

        yield daemons, play


def test_no_error_reaches_a_stream_that_has_begun() -> None:
    """The caller gets whole events in order, and an end that looks broken."""
    with _open_engines(attempts=2) as (daemons, play):
        for number, begin in enumerate(_BEGINNINGS):
            for label, error in _ERRORS.items():
                reply = play(begin, error, f'{number}-{label}')
                case = (number, label, reply.received)
                assert reply.status == 200, case
                assert reply.body == b''.join(_EVENTS[:_BEGUN]), case
                assert not reply.is_complete, case
                assert reply.received.count(b'HTTP/1.1') == 1, case
        assert all(daemon.is_running() for daemon in daemons)


def test_a_stream_goes_on_at_a_sound_server_after_an_error() -> None:
    """With an attempt left, the caller gets the whole stream."""
    with _open_engines(attempts=3) as (_, play):
        for number, begin in enumerate(_BEGINNINGS):
            for label, error in _ERRORS.items():
                reply = play(begin, error, f'{number}-{label}')
                case = (number, label, reply.received)
                assert reply.status == 200, case
                assert reply.body == b''.join(_EVENTS), case
                assert reply.is_complete, case
