"""Tests of pooled connections to backend servers, with real sockets."""

from __future__ import annotations

import socket

import eventlet

from egretdale.transport.connection_pool import ConnectionPool
from tests.backend_sockets import open_server
from tests.forwarding import ManualClock
from tests.functions import create_loader

load_tests = create_loader(__name__)

_IDLE_S = 20.0


def _wait(connection: socket.socket) -> None:
    connection.recv(1)


def test_connections_to_servers_that_have_left_are_closed() -> None:
    """They are never taken again, and would use up all descriptors."""
    clock = ManualClock()
    pool = ConnectionPool(clock)
    with open_server(_wait) as (_, left), open_server(_wait) as (_, serving):
        for address in (left, left, serving):
            pool.keep(address, pool.connect(address), _IDLE_S)
        idle = [pool.take(left), pool.take(left)]
        for connection in idle:
            pool.keep(left, connection, _IDLE_S)
        clock.now += _IDLE_S
        used = pool.connect(serving)
        pool.keep(serving, used, _IDLE_S)
        assert [connection.sock for connection in idle] == [None, None]
        assert pool.take(serving) is used
        assert pool.take(serving) is None
        used.close()
        eventlet.sleep(0)
