"""Tests of the ingress with real connections on loopback."""

from __future__ import annotations

import socket
from collections.abc import Iterator
from contextlib import contextmanager

import eventlet

from egretdale.coordination.admission import Admitted
from egretdale.coordination.exchanges import (
    IncompleteResponse,
    CallerGone,
    ForwardReply,
    ForwardRequest,
)
from egretdale.protocol.forwarding import HeaderCodec, HeaderNames
from egretdale.state.gateway_figures import GatewayFigures
from egretdale.state.outcomes import Ran, Reason, Refused
from egretdale.state.routing import CallerLimits, RequestKind
from egretdale.transport.ingress import Ingress
from egretdale.util.clocks import read_boot_clock
from tests.forwarding import create_route
from tests.functions import create_loader

load_tests = create_loader(__name__)

_HEAD = 'Host: claims.example\r\nEgret-Request-Id: r1\r\n'


def _answer_ok() -> ForwardReply:
    return ForwardReply(200, [], 2, iter((b'ok',)))


class _Script:
    """Answers requests with a function that a test sets.

    :ivar requests: requests that came in.
    :ivar answer: makes the answer to a request.
    :ivar failures: exceptions that interrupted an answer.
    """

    def __init__(self) -> None:
        self.requests: list[ForwardRequest] = []
        self.failures: list[BaseException] = []
        self.left_s = 5.0
        self.answer = _answer_ok

    def admit(self, request: ForwardRequest) -> Admitted:
        """Admit every request."""
        route = create_route('/', RequestKind.IDEMPOTENT)
        deadline_at = request.arrived_at + self.left_s
        return Admitted(request, route, '', 0, 1, deadline_at, keyed=False)

    def forward(self, admitted: Admitted) -> ForwardReply | Refused:
        """Answer as the test says."""
        self.requests.append(admitted.request)
        try:
            return self.answer()
        except BaseException as failed:
            self.failures.append(failed)
            raise


@contextmanager
def _open_ingress() -> Iterator[tuple[_Script, Ingress, str]]:
    script = _Script()
    limits = CallerLimits(body_bytes=1000, header_s=1.0, idle_s=0.2)
    ingress = Ingress(
        HeaderCodec(HeaderNames()),
        script,
        lambda: limits,
        read_boot_clock,
        maximum_connections=50,
        figures=GatewayFigures(),
    )
    listener = eventlet.listen(('127.0.0.1', 0))
    server = eventlet.spawn(ingress.run, listener)
    yield script, ingress, listener.getsockname()
    server.kill()


def _connect(address: tuple[str, int]) -> socket.socket:
    connection = socket.create_connection(address)
    connection.settimeout(5)
    return connection


def _ask(address: tuple[str, int], text: str) -> bytes:
    with _connect(address) as connection:
        connection.sendall(text.encode())
        return _read_all(connection)


def _read_all(connection: socket.socket) -> bytes:
    received = b''
    while True:
        chunk = connection.recv(65536)
        if not chunk:
            return received
        received += chunk


def test_targets_and_bodies_pass_unchanged() -> None:
    """Escapes, queries and chunked bodies arrive as they were sent."""
    with _open_ingress() as (script, _, address):
        answer = _ask(
            address,
            f'POST /a%2Fb/%7e?q=%20&r HTTP/1.1\r\n{_HEAD}'
            'Connection: close\r\nTransfer-Encoding: chunked\r\n\r\n'
            '3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n',
        )
        assert answer.startswith(b'HTTP/1.1 200')
        assert script.requests[0].target == '/a%2Fb/%7e?q=%20&r'
        assert script.requests[0].body == b'abcde'


def test_ambiguous_framing_is_refused() -> None:
    """A request that two parsers might split differently is not read."""
    with _open_ingress() as (script, _, address):
        answer = _ask(
            address,
            f'POST / HTTP/1.1\r\n{_HEAD}Content-Length: 4\r\n'
            'Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /b HTTP/1.1\r\n',
        )
        assert b' 400 ' in answer.partition(b'\r\n')[0]
        for doubtful in (
            'Content-Length: 1\r\nContent-Length: 30\r\n',
            'Transfer-Encoding: xchunked\r\n',
            'Transfer-Encoding: chunked, identity\r\n',
            'Content-Length: +3\r\n',
        ):
            text = f'POST / HTTP/1.1\r\n{_HEAD}{doubtful}\r\n0\r\n\r\nGET '
            answer = _ask(address, text)
            assert b' 400 ' in answer.partition(b'\r\n')[0], doubtful
        assert not script.requests


def test_large_bodies_are_refused() -> None:
    """A body above the limit gets 413 and is not read."""
    with _open_ingress() as (script, _, address):
        for framing in (
            'Content-Length: 1001\r\n\r\n',
            f'Transfer-Encoding: chunked\r\n\r\n3e9\r\n{"x" * 1001}\r\n',
        ):
            answer = _ask(address, f'POST / HTTP/1.1\r\n{_HEAD}{framing}')
            assert answer.startswith(b'HTTP/1.1 413'), answer
        assert not script.requests


def test_a_caller_that_leaves_interrupts_its_request() -> None:
    """Closing the connection ends the work for it at once."""
    with _open_ingress() as (script, ingress, address):
        script.answer = lambda: eventlet.sleep(5)
        connection = _connect(address)
        connection.sendall(f'GET / HTTP/1.1\r\n{_HEAD}\r\n'.encode())
        while not script.requests:
            eventlet.sleep(0.01)
        connection.close()
        eventlet.sleep(0.1)
        assert isinstance(script.failures[0], CallerGone)
        assert not ingress.active


def test_a_deadline_without_an_answer_is_a_gateway_timeout() -> None:
    """The final answer comes when the time is over."""
    with _open_ingress() as (script, ingress, address):
        script.left_s = 0.1
        script.answer = lambda: eventlet.sleep(5)
        text = f'GET / HTTP/1.1\r\n{_HEAD}Connection: close\r\n\r\n'
        assert _ask(address, text).startswith(b'HTTP/1.1 504')
        assert not ingress.active


def _break_off() -> Iterator[bytes]:
    yield b'id: 1\n\n'
    raise IncompleteResponse('reset')


def test_an_answer_that_breaks_off_does_not_look_complete() -> None:
    """A body without its length ends without the last chunk."""
    with _open_ingress() as (script, ingress, address):
        script.answer = lambda: ForwardReply(200, [], None, _break_off())
        answer = _ask(address, f'GET / HTTP/1.1\r\n{_HEAD}\r\n')
        assert b'id: 1' in answer
        assert not answer.endswith(b'0\r\n\r\n')
        assert not ingress.active


def test_refusals_carry_identity_and_time_to_come_back() -> None:
    """A refusal says when to come back, in fractions of a second."""
    refused = Refused(Reason.NO_BACKEND_SERVER, Ran.NO, 0.25, 'full')
    with _open_ingress() as (script, _, address):
        script.answer = lambda: refused
        text = f'GET / HTTP/1.1\r\n{_HEAD}Connection: close\r\n\r\n'
        answer = _ask(address, text)
        assert answer.startswith(b'HTTP/1.1 503')
        assert b'Retry-After: 0.25\r\n' in answer
        assert b'Egret-Request-Id: r1\r\n' in answer


def test_kept_connections_serve_until_the_idle_time_is_over() -> None:
    """A connection takes several requests and is closed when idle."""
    text = f'GET / HTTP/1.1\r\n{_HEAD}\r\n'.encode()
    with _open_ingress() as (script, _, address):
        with _connect(address) as connection:
            for _ in range(3):
                connection.sendall(text)
                assert connection.recv(65536).endswith(b'ok')
                eventlet.sleep(0.1)
            assert not connection.recv(1)
        assert len(script.requests) == 3


def test_a_closing_host_tells_its_callers() -> None:
    """Answers end their connection, and idle connections are closed."""
    text = f'GET / HTTP/1.1\r\n{_HEAD}\r\n'.encode()
    with _open_ingress() as (_, ingress, address):
        with _connect(address) as idle:
            eventlet.sleep(0.05)
            ingress.start_closing()
            assert b'connection: close' in _ask(address, text.decode()).lower()
            ingress.stop_taking()
            assert not idle.recv(1)


def test_a_host_at_the_end_of_its_stop_takes_no_requests() -> None:
    """What could be cut off is refused at once, to go elsewhere."""
    text = f'GET / HTTP/1.1\r\n{_HEAD}\r\n'
    with _open_ingress() as (script, ingress, address):
        ingress.start_closing()
        ingress.stop_taking()
        answer = _ask(address, text)
        assert answer.startswith(b'HTTP/1.1 503')
        assert b'Retry-After: 0.05\r\n' in answer
        assert not script.requests


def test_a_body_that_stalls_is_a_timeout_of_the_request() -> None:
    """The caller may come back, as nothing was run."""
    with _open_ingress() as (script, _, address):
        text = f'POST / HTTP/1.1\r\n{_HEAD}Content-Length: 4\r\n\r\nab'
        assert _ask(address, text).startswith(b'HTTP/1.1 408')
        assert not script.requests
