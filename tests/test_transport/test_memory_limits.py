"""Tests of requests for which there is no memory."""

from __future__ import annotations

import eventlet

from tests.functions import create_loader
from tests.ingress import (
    HEAD,
    connect,
    open_ingress,
    read_all,
    read_fixed_limits,
    send,
)
from tests.limited import create_limits

load_tests = create_loader(__name__)

_MEMORY = 1000
_BODY = 'x' * 200
_TEXT = (
    f'POST / HTTP/1.1\r\n{HEAD}Connection: close\r\n'
    f'Content-Length: {len(_BODY)}\r\n\r\n{_BODY}'
)


def test_a_request_without_memory_is_refused_and_not_run() -> None:
    """It is told when to return, and is served once there is memory."""
    limits = create_limits(_MEMORY)
    other = limits.open_holding('127.0.0.2')
    assert other.grow(_MEMORY - 200)
    with open_ingress(read_fixed_limits, limits) as (
        forwarder,
        _,
        address,
    ):
        refused = send(address, _TEXT)
        assert refused.startswith(b'HTTP/1.1 503 ')
        assert b'Retry-After: ' in refused
        assert not forwarder.requests
        other.release()
        assert send(address, _TEXT).startswith(b'HTTP/1.1 200 ')
        assert not limits.account.held


def test_an_incomplete_body_gives_way_to_a_whole_request() -> None:
    """Its caller is told that it has not run."""
    limits = create_limits(_MEMORY)
    head = f'POST / HTTP/1.1\r\n{HEAD}Content-Length: 800\r\n\r\n'
    with open_ingress(read_fixed_limits, limits) as (forwarder, _, address):
        with connect(address) as slow:
            slow.sendall(f'{head}x'.encode())
            eventlet.sleep(0.05)
            assert limits.account.held == 800
            assert send(address, _TEXT).startswith(b'HTTP/1.1 200 ')
            assert read_all(slow).startswith(b'HTTP/1.1 503 ')
        assert len(forwarder.requests) == 1
        assert not limits.account.held
