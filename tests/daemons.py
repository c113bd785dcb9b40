"""Fixtures for tests with real daemon processes."""

from __future__ import annotations

import tempfile
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager
from dataclasses import dataclass
from pathlib import Path

import eventlet
import urllib3

from soak.daemons import (
    HOST_NAME,
    Daemon,
    choose_place,
    create_daemon,
    get_path_prefix,
    put_configuration,
    put_server,
)
from soak.servers import SealedServer
from soak.world import serve_program
from standins.objects import ObjectStoreProgram

_DAEMONS = 3
#: Seconds for news to reach all daemons, also on a busy machine.
_SETTLE_S = 2.0


@contextmanager
def open_daemons(
    store: ObjectStoreProgram, **bounds: object
) -> Iterator[list[Daemon]]:
    """Run three daemons until the end of the context.

    :param store: the platform's store.
    :param bounds: bounds of the platform that differ from the defaults.
    """
    store_address = serve_program(store)
    places = [choose_place(f'front-{index}') for index in range(_DAEMONS)]
    seeds = tuple(place.addresses['control'] for place in places)
    with ExitStack() as stack:
        folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
        daemons = [
            create_daemon(
                place, folder, store_address, seeds=seeds, bounds=bounds
            )
            for place in places
        ]
        for daemon in daemons:
            daemon.start()
            stack.callback(daemon.kill)
        for daemon in daemons:
            daemon.wait_until_ready()
        # The daemons learn of each other and of the servers.
        eventlet.sleep(_SETTLE_S)
        yield daemons


@dataclass
class System:
    """Daemons before backend servers of given software versions.

    :ivar daemons: the daemons.
    :ivar servers: backend servers, listed as ``i-0``, ``i-1`` and so on.
    :ivar store: the platform's store.
    """

    daemons: list[Daemon]
    servers: list[SealedServer]
    store: ObjectStoreProgram

    def list_caller_addresses(self) -> list[str]:
        """Return the addresses of the daemons for callers."""
        return [daemon.place.addresses['front'] for daemon in self.daemons]


@contextmanager
def open_system(*versions: str) -> Iterator[System]:
    """Run three daemons before backend servers.

    :param versions: software version of each server.
    """
    store = ObjectStoreProgram()
    put_configuration(store, 1)
    servers = [SealedServer() for _ in versions]
    for number, version in enumerate(versions):
        address = serve_program(servers[number])
        put_server(store, f'i-{number}', address, version)
    with open_daemons(store) as daemons:
        yield System(daemons, servers, store)


def list_server(system: System, number: int, version: str) -> None:
    """Start a backend server and list it.

    :param system: the system.
    :param number: number in its name.
    :param version: its software version.
    """
    server = SealedServer()
    system.servers.append(server)
    put_server(system.store, f'i-{number}', serve_program(server), version)


def read_stream(
    address: str, identity: str, events: int, **headers: str
) -> list[bytes]:
    """Read a stream until a number of events and close the connection.

    :param address: ``address:port`` of a daemon.
    :param identity: ID of the request.
    :param events: number of events to read.
    :param headers: further headers.
    :return: the events.
    """
    pool = urllib3.PoolManager(retries=False, timeout=5)
    response = pool.request(
        'POST',
        f'http://{address}/stream/x',
        body=b'{}',
        headers={'Host': HOST_NAME, 'Attempt-Id': identity, **headers},
        preload_content=False,
    )
    received = b''
    while received.count(b'\n\n') < events:
        chunk = response.read1(1024)
        if not chunk:
            break
        received += chunk
    response.close()
    return received.split(b'\n\n')[:-1]


def send_request(
    daemon: Daemon, identity: str, pool: urllib3.PoolManager
) -> urllib3.BaseHTTPResponse:
    """Send a non-idempotent request without a body to a daemon.

    :param daemon: the daemon.
    :param identity: ID of the request.
    :param pool: connections to the daemons.
    :return: the response.
    """
    address = daemon.place.addresses['front']
    return pool.request(
        'POST',
        f'http://{address}{get_path_prefix("non_idempotent")}x',
        headers={'Host': HOST_NAME, 'Attempt-Id': identity},
    )
