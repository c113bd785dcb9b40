"""Tests of a daemon process from the view of clients and backend servers."""

from __future__ import annotations

import random
import tempfile
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

import eventlet

from egretdale.state.outcomes import Reason
from soak.clients import Client
from soak.daemons import (
    Daemon,
    choose_place,
    create_daemon,
    put_configuration,
    put_server,
)
from soak.servers import SealedServer
from soak.world import serve_program
from standins.objects import ObjectStoreProgram
from tests.functions import create_loader

load_tests = create_loader(__name__)

_POLL_INTERVAL_S = 0.02
_CLIENTS = 24
#: Connection limit of the daemon of the second test.
_CONNECTION_LIMIT = 32
#: File descriptors that a daemon needs besides those of its connections.
_OTHER_DESCRIPTORS = 40
#: Maximum memory that the daemon may use, in MB.
_MEMORY_MB = 80


@contextmanager
def _open_daemon(**limits: object) -> Iterator[tuple[Daemon, SealedServer]]:
    server = SealedServer()
    store = ObjectStoreProgram()
    put_configuration(store, 1)
    put_server(store, 'i-1', serve_program(server))
    with tempfile.TemporaryDirectory() as folder:
        daemon = create_daemon(
            choose_place('front-1'),
            Path(folder),
            serve_program(store),
            **limits,
        )
        daemon.start()
        try:
            daemon.wait_until_ready()
            yield daemon, server
        finally:
            daemon.kill()


def _create_clients(count: int, daemon: Daemon) -> list[Client]:
    address = daemon.place.addresses['front']
    return [
        Client(f'c{index}', [address], random.Random(index))
        for index in range(count)
    ]


def _send_until_failure(client: Client) -> None:
    while not client.attempts or client.attempts[-1].is_served():
        client.send(0)


def test_a_planned_stop_answers_everything_that_ran() -> None:
    """During a shutdown, every request that reached a server is answered.

    The clients keep sending until their first failed request.
    """
    with _open_daemon() as (daemon, server):
        clients = _create_clients(_CLIENTS, daemon)
        tasks = [
            eventlet.spawn(_send_until_failure, client) for client in clients
        ]
        while len(server.runs) < _CLIENTS * 4:
            eventlet.sleep(_POLL_INTERVAL_S)
        daemon.stop()
        assert daemon.wait() == 0
        for task in tasks:
            task.wait()
        attempts = [entry for client in clients for entry in client.attempts]
        served = [entry.identity for entry in attempts if entry.is_served()]
        assert sorted(server.runs) == sorted(served)
        # Requests that were read but not accepted are refused without a run.
        assert all(
            entry.is_refused_by(Reason.HOST_STOPPING)
            for entry in attempts
            if entry.status and not entry.is_served()
        )


def test_connections_beyond_the_limit_wait_their_turn() -> None:
    """Four times as many connections as allowed are all served in turn.

    They must not use more file descriptors or memory than the limit allows.
    """
    with _open_daemon(max_fds=_CONNECTION_LIMIT * 3) as (daemon, server):
        clients = _create_clients(_CONNECTION_LIMIT * 4, daemon)
        tasks = [
            eventlet.spawn(client.send, 0, keep=False) for client in clients
        ]
        maximum = 0
        while len(server.runs) < len(clients):
            maximum = max(maximum, daemon.count_descriptors())
            eventlet.sleep(_POLL_INTERVAL_S)
        for task in tasks:
            task.wait()
        assert all(client.attempts[0].is_served() for client in clients)
        # Each client connection may need a connection to a backend server.
        assert maximum <= 2 * _CONNECTION_LIMIT + _OTHER_DESCRIPTORS
        assert daemon.read_memory_mb() < _MEMORY_MB
