"""Tests of the limits of connections."""

from __future__ import annotations

import socket
from collections import Counter

import eventlet

from egretdale.state.memory import MemoryAccount
from egretdale.transport.connection_limits import (
    ConnectionLimits,
    ConnectionPool,
)
from egretdale.util.clocks import read_boot_clock
from tests.functions import create_loader

load_tests = create_loader(__name__)


def test_the_silent_connection_of_the_largest_crowd_is_closed() -> None:
    """Those that waited shortly, or are being served, are kept."""
    now = [float(0)]
    closed: Counter[str] = Counter()
    limits = ConnectionLimits(
        MemoryAccount(1000, lambda: now[0]), lambda: now[0], closed
    )
    pairs = [socket.socketpair() for _ in range(5)]
    for number, (connection, _) in enumerate(pairs[:4]):
        limits.note_waiting(connection, f'127.0.0.{min(number, 1)}')
    limits.note_serving(pairs[1][0])
    now[0] = 4.9
    limits.make_room()
    assert not closed
    now[0] = 5
    limits.note_waiting(pairs[4][0], '127.0.0.1')
    limits.make_room()
    assert closed == {'connection-limit': 1}
    # The first one has waited as long, alone at its address.
    assert pairs[2][1].recv(1) == b''
    for pair in pairs:
        for connection in pair:
            connection.close()


def test_a_full_pool_waits_until_there_is_room() -> None:
    """It starts the task of the next connection once another has ended."""
    limits = ConnectionLimits(
        MemoryAccount(1000, read_boot_clock), read_boot_clock, Counter()
    )
    pool = ConnectionPool(1, limits)
    first = pool.spawn(eventlet.sleep, 0.05)
    second = pool.spawn(lambda: first.dead)
    assert second.wait()
