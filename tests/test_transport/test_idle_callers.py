"""Tests of connections of callers that are idle while the limits change."""

from __future__ import annotations

import socket
import time
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import replace

import eventlet

from egretdale.state.routing import CallerLimits
from tests.functions import create_loader
from tests.ingress import (
    HEAD,
    LIMITS,
    ScriptedForwarder,
    connect,
    open_ingress,
    read_all,
)

load_tests = create_loader(__name__)

_REQUEST = f'GET / HTTP/1.1\r\n{HEAD}\r\n'.encode()
_LAST_REQUEST = f'GET / HTTP/1.1\r\n{HEAD}Connection: close\r\n\r\n'.encode()
_RAISED_S = 3.0


@contextmanager
def _open(
    limits: list[CallerLimits],
) -> Iterator[tuple[ScriptedForwarder, socket.socket]]:
    """Open a connection.

    :param limits: limits, of which the last ones are in force.
    """
    with open_ingress(lambda: limits[-1]) as (forwarder, _, address):
        with connect(address) as connection:
            yield forwarder, connection


def _ask(connection: socket.socket) -> None:
    connection.sendall(_REQUEST)
    assert connection.recv(65536).startswith(b'HTTP/1.1 200')


def test_a_raised_idle_limit_applies_to_connections_that_wait() -> None:
    """Callers use four fifths of it as soon as it is in force."""
    for has_asked in (False, True):
        limits = [LIMITS]
        with _open(limits) as (_, connection):
            if has_asked:
                _ask(connection)
            eventlet.sleep(0.1)
            limits.append(replace(LIMITS, idle_s=_RAISED_S))
            eventlet.sleep(_RAISED_S * 0.8)
            _ask(connection)


def test_a_lowered_idle_limit_cuts_no_connection_sooner() -> None:
    """A request may be on its way when it comes into force."""
    limits = [replace(LIMITS, idle_s=_RAISED_S)]
    with _open(limits) as (_, connection):
        _ask(connection)
        limits.append(LIMITS)
        eventlet.sleep(_RAISED_S * 0.8)
        _ask(connection)


def test_a_connection_that_is_idle_for_too_long_is_closed() -> None:
    """Nothing precedes its end."""
    with _open([LIMITS]) as (_, connection):
        _ask(connection)
        started_at = time.monotonic()
        assert not read_all(connection)
        assert 1 < time.monotonic() - started_at < 2


def test_the_idle_limit_does_not_cut_a_head_that_has_begun() -> None:
    """It gets the time for heads, whatever is left of the idle time."""
    limits = [replace(LIMITS, header_s=4.0)]
    for begun in (1, len('GET /')):
        with _open(limits) as (_, connection):
            eventlet.sleep(1.0)
            connection.sendall(_LAST_REQUEST[:begun])
            eventlet.sleep(1.6)
            connection.sendall(_LAST_REQUEST[begun:])
            assert read_all(connection).startswith(b'HTTP/1.1 200')


def test_no_limit_for_heads_or_idle_connections_cuts_a_body() -> None:
    """It may take as long as its caller waits."""
    for deadline, pause_s in (('Egret-Deadline-Ms: 3000\r\n', 1.5), ('', 0.6)):
        text = f'POST / HTTP/1.1\r\n{HEAD}{deadline}Connection: close\r\n'
        for framing, parts in (
            ('Content-Length: 4', ('ab', 'cd')),
            ('Transfer-Encoding: chunked', ('4\r\nab', 'cd\r\n0\r\n\r\n')),
        ):
            with _open([LIMITS]) as (forwarder, connection):
                head = f'{text}{framing}\r\n\r\n{parts[0]}'
                connection.sendall(head.encode())
                eventlet.sleep(pause_s)
                connection.sendall(parts[1].encode())
                assert read_all(connection).startswith(b'HTTP/1.1 200')
                assert forwarder.requests[0].body == b'abcd'


def test_a_head_that_begins_and_does_not_go_on_ends_its_connection() -> None:
    """Its time is limited from its first byte on."""
    with _open([LIMITS]) as (forwarder, connection):
        connection.sendall(b'G')
        started_at = time.monotonic()
        assert not read_all(connection)
        assert time.monotonic() - started_at < 2
        assert not forwarder.requests


def test_a_request_that_comes_with_the_one_before_is_served() -> None:
    """The server has read it already when it waits for it."""
    with _open([LIMITS]) as (forwarder, connection):
        connection.sendall(_REQUEST + _REQUEST + _LAST_REQUEST)
        assert read_all(connection).count(b'HTTP/1.1 200') == 3
        assert len(forwarder.requests) == 3


def test_a_connection_is_kept_for_longer_than_it_announces() -> None:
    """A request that is sent at the very end is served."""
    asked = f'GET / HTTP/1.1\r\n{HEAD}Connection: keep-alive\r\n\r\n'
    with _open([replace(LIMITS, idle_s=1.0)]) as (_, connection):
        connection.sendall(asked.encode())
        assert b'Keep-Alive: timeout=1\r\n' in connection.recv(65536)
        eventlet.sleep(1.6)
        _ask(connection)


def test_an_idle_limit_that_passes_in_a_stall_cuts_no_request() -> None:
    """A request that has arrived meanwhile goes before the limit."""
    with _open([LIMITS]) as (_, connection):
        _ask(connection)
        connection.sendall(_LAST_REQUEST)
        # Nothing runs, as in a process that stands still.
        time.sleep(1.5)
        assert read_all(connection).startswith(b'HTTP/1.1 200')
