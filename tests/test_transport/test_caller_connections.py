"""Tests of the connections of callers at planned stops and of slow callers."""

from __future__ import annotations

import errno
import itertools
import socket
import time
from collections.abc import Iterator

import eventlet

from egretdale.coordination.exchanges import ForwardReply
from tests.functions import create_loader
from tests.ingress import (
    HEAD,
    connect,
    connect_at_once,
    open_ingress,
    read_all,
    send,
)

load_tests = create_loader(__name__)


def test_requests_that_have_just_arrived_at_the_end_are_answered() -> None:
    """Some connections are new, others have been idle."""
    text = f'GET / HTTP/1.1\r\n{HEAD}\r\n'.encode()
    with open_ingress() as (_, ingress, address):
        connections = [connect(address) for _ in range(10)]
        eventlet.sleep(0.05)
        ingress.start_draining()
        # Connecting without a switch to the server's task.
        connections.extend(connect_at_once(address) for _ in range(10))
        for connection in connections:
            connection.sendall(text)
        ingress.close_listener()
        ingress.stop_accepting()
        for connection in connections:
            assert read_all(connection).startswith(b'HTTP/1.1 ')
            connection.close()


def test_a_request_that_is_being_read_at_the_end_is_answered() -> None:
    """The host does not end before."""
    head = f'POST / HTTP/1.1\r\n{HEAD}Content-Length: 4\r\n\r\n'
    with open_ingress() as (_, ingress, address):
        with connect(address) as connection:
            connection.sendall(f'{head}ab'.encode())
            eventlet.sleep(0.05)
            ingress.start_draining()
            ingress.close_listener()
            ingress.stop_accepting()
            assert ingress.connections.is_busy()
            connection.sendall(b'cd')
            assert read_all(connection).startswith(b'HTTP/1.1 503')
        eventlet.sleep(0.05)
        assert not ingress.connections.is_busy()


def test_a_head_that_comes_byte_by_byte_ends_its_connection() -> None:
    """The time for a head is limited as a whole."""
    with open_ingress() as (forwarder, ingress, address):
        with connect(address) as connection:
            ended_s = _send_slowly(connection, b'GET / HTTP/1.1\r\nX-Slow: ')
            assert ended_s < 2
        eventlet.sleep(0.05)
        assert not ingress.connections.is_busy()
        assert not forwarder.requests


def test_a_body_that_comes_byte_by_byte_is_a_request_timeout() -> None:
    """The time for a body is limited by the patience of the caller."""
    head = f'POST / HTTP/1.1\r\n{HEAD}Egret-Deadline-Ms: 600\r\n'
    head = f'{head}Content-Length: 999\r\n\r\n'
    with open_ingress() as (forwarder, _, address):
        with connect(address) as connection:
            ended_s = _send_slowly(connection, head.encode())
            assert ended_s < 2
        assert not forwarder.requests


def _send_slowly(connection: socket.socket, beginning: bytes) -> float:
    """Send the beginning of a request, then single bytes.

    :return: seconds until the connection was closed, 4 if it was not.
    """
    started_at = time.monotonic()
    connection.sendall(beginning)
    for _ in range(40):
        eventlet.sleep(0.1)
        try:
            connection.sendall(b'x')
        except OSError:
            return time.monotonic() - started_at
    return 4


def test_a_response_that_comes_byte_by_byte_ends_at_its_deadline() -> None:
    """Each byte is passed on at once."""

    def drip() -> Iterator[bytes]:
        while True:
            eventlet.sleep(0.1)
            yield b'x'

    with open_ingress() as (forwarder, ingress, address):
        forwarder.left_s = 1.0
        forwarder.respond = lambda: ForwardReply(200, [], None, drip())
        started_at = time.monotonic()
        response = send(address, f'GET / HTTP/1.1\r\n{HEAD}\r\n')
        assert 0.9 < time.monotonic() - started_at < 2
        assert response.count(b'1\r\nx\r\n') >= 7
        assert not response.endswith(b'0\r\n\r\n')
        assert not ingress.active


def test_a_response_that_an_old_caller_does_not_read_is_reset() -> None:
    """An orderly end after its deadline would look like its own end."""
    part = bytes(1 << 16)
    with open_ingress() as (forwarder, ingress, address):
        forwarder.left_s = 0.5
        forwarder.respond = lambda: ForwardReply(
            200, [], None, itertools.repeat(part, 400)
        )
        with connect(address) as connection:
            connection.sendall(f'GET / HTTP/1.0\r\n{HEAD}\r\n'.encode())
            eventlet.sleep(1)
            assert not ingress.active
            # The cooperative socket would report a reset as an end.
            error = connection.fd.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        assert error == errno.ECONNRESET


def test_a_slow_response_is_passed_on_whole() -> None:
    """Pauses do not matter while its deadline has not passed."""

    def pause() -> Iterator[bytes]:
        for _ in range(3):
            eventlet.sleep(0.7)
            yield b'x'

    with open_ingress() as (forwarder, _, address):
        forwarder.respond = lambda: ForwardReply(200, [], None, pause())
        response = send(address, f'GET / HTTP/1.1\r\n{HEAD}\r\n')
        assert response.count(b'1\r\nx\r\n') == 3
        assert response.endswith(b'0\r\n\r\n')
