"""Tests of the ingress with real connections on loopback."""

from __future__ import annotations

import errno
import socket
from collections.abc import Iterator

import eventlet

from egretdale.coordination.exchanges import (
    CallerGone,
    ForwardReply,
    IncompleteResponse,
)
from egretdale.state.outcomes import Ran, Reason, Refused
from tests.functions import create_loader
from tests.ingress import HEAD, connect, open_ingress, send

load_tests = create_loader(__name__)


def test_targets_and_bodies_are_forwarded_unchanged() -> None:
    """Escapes, queries and chunked bodies are forwarded unchanged."""
    with open_ingress() as (forwarder, _, address):
        response = send(
            address,
            f'POST /a%2Fb/%7e?q=%20&r HTTP/1.1\r\n{HEAD}'
            'Connection: close\r\nTransfer-Encoding: chunked\r\n\r\n'
            '3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n',
        )
        assert response.startswith(b'HTTP/1.1 200')
        assert forwarder.requests[0].target == '/a%2Fb/%7e?q=%20&r'
        assert forwarder.requests[0].body == b'abcde'


def test_ambiguous_framing_is_refused() -> None:
    """A request that two parsers might split differently is refused."""
    with open_ingress() as (forwarder, _, address):
        response = send(
            address,
            f'POST / HTTP/1.1\r\n{HEAD}Content-Length: 4\r\n'
            'Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /b HTTP/1.1\r\n',
        )
        assert b' 400 ' in response.partition(b'\r\n')[0]
        for ambiguous in (
            'Content-Length: 1\r\nContent-Length: 30\r\n',
            'Transfer-Encoding: xchunked\r\n',
            'Transfer-Encoding: chunked, identity\r\n',
            'Content-Length: +3\r\n',
        ):
            text = f'POST / HTTP/1.1\r\n{HEAD}{ambiguous}\r\n0\r\n\r\nGET '
            response = send(address, text)
            assert b' 400 ' in response.partition(b'\r\n')[0], ambiguous
        assert not forwarder.requests


def test_large_bodies_are_refused() -> None:
    """A body above the limit gets status 413 and is not forwarded."""
    with open_ingress() as (forwarder, _, address):
        for framing in (
            'Content-Length: 1001\r\n\r\n',
            f'Transfer-Encoding: chunked\r\n\r\n3e9\r\n{"x" * 1001}\r\n',
        ):
            response = send(address, f'POST / HTTP/1.1\r\n{HEAD}{framing}')
            assert response.startswith(b'HTTP/1.1 413'), response
        assert not forwarder.requests


def test_disconnecting_caller_interrupts_its_request() -> None:
    """When the caller disconnects, its request is interrupted at once."""
    with open_ingress() as (forwarder, ingress, address):
        forwarder.respond = lambda: eventlet.sleep(5)
        connection = connect(address)
        connection.sendall(f'GET / HTTP/1.1\r\n{HEAD}\r\n'.encode())
        while not forwarder.requests:
            eventlet.sleep(0.01)
        connection.close()
        eventlet.sleep(0.1)
        assert isinstance(forwarder.failures[0], CallerGone)
        assert not ingress.active


def test_deadline_without_a_response_is_a_gateway_timeout() -> None:
    """A request without a response gets status 504 at its deadline."""
    with open_ingress() as (forwarder, ingress, address):
        forwarder.left_s = 0.1
        forwarder.respond = lambda: eventlet.sleep(5)
        text = f'GET / HTTP/1.1\r\n{HEAD}Connection: close\r\n\r\n'
        assert send(address, text).startswith(b'HTTP/1.1 504')
        assert not ingress.active


def _interrupt_response() -> Iterator[bytes]:
    yield b'id: 1\n\n'
    raise IncompleteResponse('reset')


def test_interrupted_response_of_an_old_caller_is_reset() -> None:
    """Its end would otherwise be the end of the connection.

    A response that is whole ends in order.
    """
    text = f'GET / HTTP/1.0\r\n{HEAD}\r\n'
    with open_ingress() as (forwarder, _, address):
        forwarder.respond = lambda: ForwardReply(
            200, [], None, iter((b'id: 1\n\n',))
        )
        assert send(address, text).endswith(b'\r\n\r\nid: 1\n\n')
        forwarder.respond = lambda: ForwardReply(
            200, [], None, _interrupt_response()
        )
        with connect(address) as connection:
            connection.sendall(text.encode())
            eventlet.sleep(0.1)
            # The cooperative socket would report a reset as an end.
            error = connection.fd.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        assert error == errno.ECONNRESET


def test_interrupted_response_does_not_look_complete() -> None:
    """A failed chunked response ends without the last chunk."""
    with open_ingress() as (forwarder, ingress, address):
        forwarder.respond = lambda: ForwardReply(
            200, [], None, _interrupt_response()
        )
        response = send(address, f'GET / HTTP/1.1\r\n{HEAD}\r\n')
        assert b'id: 1' in response
        assert not response.endswith(b'0\r\n\r\n')
        assert not ingress.active


def test_refusals_have_request_id_and_retry_time() -> None:
    """A refusal has a Retry-After header in fractions of a second."""
    refused = Refused(Reason.NO_BACKEND_SERVER, Ran.NO, 0.25, 'full')
    with open_ingress() as (forwarder, _, address):
        forwarder.respond = lambda: refused
        text = f'GET / HTTP/1.1\r\n{HEAD}Connection: close\r\n\r\n'
        response = send(address, text)
        assert response.startswith(b'HTTP/1.1 503')
        assert b'Retry-After: 0.25\r\n' in response
        assert b'Egret-Request-Id: r1\r\n' in response


def test_connections_are_reused_until_the_idle_timeout() -> None:
    """A connection serves several requests and is closed when idle."""
    text = f'GET / HTTP/1.1\r\n{HEAD}\r\n'.encode()
    with open_ingress() as (forwarder, _, address):
        with connect(address) as connection:
            for _ in range(3):
                connection.sendall(text)
                assert connection.recv(65536).endswith(b'ok')
                eventlet.sleep(0.1)
            assert not connection.recv(1)
        assert len(forwarder.requests) == 3


def test_draining_host_closes_its_connections() -> None:
    """Responses announce the close, and idle connections are closed."""
    text = f'GET / HTTP/1.1\r\n{HEAD}\r\n'.encode()
    with open_ingress() as (_, ingress, address):
        with connect(address) as idle:
            eventlet.sleep(0.05)
            ingress.start_draining()
            assert b'connection: close' in send(address, text.decode()).lower()
            ingress.stop_accepting()
            assert not idle.recv(1)


def test_host_at_the_end_of_its_shutdown_refuses_requests() -> None:
    """Late requests are refused at once, to be retried at another host."""
    text = f'GET / HTTP/1.1\r\n{HEAD}\r\n'
    with open_ingress() as (forwarder, ingress, address):
        ingress.start_draining()
        ingress.stop_accepting()
        response = send(address, text)
        assert response.startswith(b'HTTP/1.1 503')
        assert b'Retry-After: 0.05\r\n' in response
        assert not forwarder.requests


def test_stalled_body_is_a_request_timeout() -> None:
    """An incomplete body is refused with status 408 and not forwarded."""
    with open_ingress() as (forwarder, _, address):
        text = f'POST / HTTP/1.1\r\n{HEAD}Content-Length: 4\r\n\r\nab'
        assert send(address, text).startswith(b'HTTP/1.1 408')
        assert not forwarder.requests
