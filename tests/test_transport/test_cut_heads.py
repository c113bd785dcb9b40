"""Tests of cut responses to requests of further kinds and of other clients."""

from __future__ import annotations

import socket
from collections.abc import Callable
from functools import partial
from itertools import cycle

import eventlet

from egretdale.coordination.exchanges import ForwardAttempt
from egretdale.coordination.ports import (
    BackendCall,
    EndOfStream,
    MaybeRun,
    NotRun,
)
from egretdale.state.instances import Instance
from egretdale.transport.backends import HttpBackendClient, HttpBackendStream
from egretdale.transport.forwarding import ForwardedResponse, HttpForwardClient
from tests.backend_sockets import (
    HEAD,
    open_response,
    open_server,
    read_all,
    read_head,
)
from tests.endings import end_by_reset, end_orderly
from tests.forwarding import create_request
from tests.functions import create_loader

load_tests = create_loader(__name__)

_BODY = b'id: 7\ndata: filed\n\n'
_TYPE = b'Content-Type: text/event-stream\r\n'
_LENGTH = b'Content-Length: %d\r\n' % len(_BODY)
_INTERIM = b'HTTP/1.1 102 Processing\r\n\r\n'
_BY_LENGTH = HEAD + _TYPE + _LENGTH + b'\r\n' + _BODY
_IN_CHUNKS = (
    HEAD
    + _TYPE
    + b'Transfer-Encoding: chunked\r\n\r\n'
    + b'%x\r\n%s\r\n0\r\n\r\n' % (len(_BODY), _BODY)
)
_RESPONSES = (_BY_LENGTH, _INTERIM + _BY_LENGTH, _IN_CHUNKS)
_SILENCE_S = 1.2
_ENDS = (end_orderly, end_by_reset)

_End = Callable[[socket.socket], None]


def _end_after_silence(connection: socket.socket) -> None:
    eventlet.sleep(_SILENCE_S)
    connection.close()


def _answer(received: bytes, end: _End, connection: socket.socket) -> None:
    read_head(connection)
    connection.sendall(received)
    end(connection)


def _read_forwarded(
    response: ForwardedResponse | NotRun | MaybeRun,
) -> tuple[bytes, bool]:
    if not isinstance(response, ForwardedResponse):
        assert isinstance(response, MaybeRun)
        return b'', False
    body, last = read_all(response)
    response.close()
    return body, isinstance(last, EndOfStream)


def _resume(client: HttpForwardClient, address: str) -> tuple[bytes, bool]:
    request = create_request('/a', last_event_id='6', resumed_id='r0')
    instance = Instance('b0', 'c', address)
    attempt = ForwardAttempt(request, instance, '', 5.0, 0, last_event_id='6')
    return _read_forwarded(client.open(attempt))


def _read_backend(
    stream: HttpBackendStream | NotRun | MaybeRun,
) -> tuple[bytes, bool]:
    body = b''
    while isinstance(stream, HttpBackendStream):
        chunk = stream.read()
        if not isinstance(chunk, bytes):
            stream.close()
            return body, isinstance(chunk, EndOfStream)
        body += chunk
    return body, False


def _call_backend(
    client: HttpBackendClient, address: str, *, fresh: bool
) -> tuple[bytes, bool]:
    call = BackendCall('s1', 'POST', '/a', (), b'{}', 0, fresh, 5.0)
    return _read_backend(client.open(address, call))


def _continue_stream(
    client: HttpBackendClient, address: str
) -> tuple[bytes, bool]:
    return _read_backend(client.continue_stream(address, 's1', 6))


def test_cut_heads_of_answers_to_head_requests_are_no_answers() -> None:
    """They have no body, so only the head can show that it was cut."""
    head = _BY_LENGTH.removesuffix(_BODY)
    for received in (head, _INTERIM + head):
        for cut in range(len(received) + 1):
            script = partial(_answer, received[:cut], end_orderly)
            with open_server(script) as (client, address):
                response = open_response(client, address, method='HEAD')
                is_complete = _read_forwarded(response)[1]
            assert is_complete == (cut == len(received)), received[:cut]


def test_cut_answers_to_resumed_streams_do_not_look_complete() -> None:
    """The stream would go on as complete before its last event."""
    for received in _RESPONSES:
        for cut in range(len(received) + 1):
            script = partial(_answer, received[:cut], end_orderly)
            with open_server(script) as (client, address):
                body, is_complete = _resume(client, address)
            assert is_complete == (cut == len(received)), received[:cut]
            assert _BODY.startswith(body)


def test_cut_answers_on_kept_connections_do_not_look_complete() -> None:
    """The first answer of the connection was whole."""
    for cut, _ in enumerate(_BY_LENGTH[1:], 1):

        def answer_twice(connection: socket.socket, cut: int = cut) -> None:
            read_head(connection)
            connection.sendall(_BY_LENGTH)
            _answer(_BY_LENGTH[:cut], end_orderly, connection)

        with open_server(answer_twice) as (client, address):
            assert read_all(open_response(client, address))[0] == _BODY
            second = open_response(client, address)
            assert not _read_forwarded(second)[1], cut
            assert client.pool.opened == 1


def test_cut_answers_to_the_own_interface_do_not_look_complete() -> None:
    """Engines, also those that are asked to go on with a stream."""
    ways = (
        partial(_call_backend, fresh=True),
        partial(_call_backend, fresh=False),
        _continue_stream,
    )
    for received in _RESPONSES:
        cuts = range(len(received))
        for cut, end, way in zip(cuts, cycle(_ENDS), cycle(ways)):
            script = partial(_answer, received[:cut], end)
            with open_server(script) as (_, address):
                body, is_complete = way(HttpBackendClient(2.0), address)
            assert not is_complete, (way, received[:cut])
            assert _BODY.startswith(body)
        for way in ways:
            script = partial(_answer, received, end_orderly)
            with open_server(script) as (_, address):
                assert way(HttpBackendClient(2.0), address) == (_BODY, True)


def test_an_end_after_a_silence_does_not_complete_a_head() -> None:
    """The engine stops, and its connection ends seconds later."""
    cuts = range(0, len(_BY_LENGTH) - len(_BODY), 5)

    def read(cut: int) -> tuple[bytes, bool]:
        script = partial(_answer, _BY_LENGTH[:cut], _end_after_silence)
        with open_server(script) as (client, address):
            return _read_forwarded(open_response(client, address))

    threads = [eventlet.spawn(read, cut) for cut in cuts]
    for cut, thread in zip(cuts, threads, strict=True):
        assert not thread.wait()[1], _BY_LENGTH[:cut]
