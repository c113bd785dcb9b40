"""Tests of requests that crash backend servers, with real daemon processes."""

from __future__ import annotations

import random
import socket
import struct
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field

import eventlet
import urllib3
from urllib3.exceptions import HTTPError

from egretdale.util.clocks import read_hub_clock
from soak.clients import Client
from soak.daemons import HOST_NAME, Daemon, put_configuration, put_server
from soak.servers import create_body, create_event, EVENTS
from standins.objects import ObjectStoreProgram
from tests.crashes import ALLOWED_ARRIVALS
from tests.crashing_engines import CONTACT_S
from tests.daemons import open_daemons
from tests.functions import create_loader
from tests.repeats import COUNTED_CRASHES, DEADLY_BODY

load_tests = create_loader(__name__)

_SERVERS = 3
_CLIENTS = 12
_DOWN_S = 1.5
_CRASH_DELAY_S = 0.05
_REPEAT_INTERVAL_S = 0.15
_DAY_S = 14.0
#: Closes a socket with a reset.
_RESET = struct.pack('ii', 1, 0)


@dataclass
class _CrashLog:
    """What the servers saw.

    :ivar crashed_at: times of the crashes.
    :ivar arrivals: times at which the deadly request arrived.
    """

    crashed_at: list[float] = field(default_factory=list)
    arrivals: list[float] = field(default_factory=list)


class _CrashingServer:
    """A backend server that crashes when it runs a certain request."""

    def __init__(self, log: _CrashLog) -> None:
        self._log = log
        self._listener = eventlet.listen(('127.0.0.1', 0))
        self.address = '127.0.0.1:{}'.format(self._listener.getsockname()[1])
        self._connections: set[socket.socket] = set()
        eventlet.spawn_n(self._run)

    def _run(self) -> None:
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            self._connections.add(connection)
            eventlet.spawn_n(self._serve, connection)

    def _serve(self, connection: socket.socket) -> None:
        try:
            with connection.makefile('rb') as reader:
                while self._serve_request(connection, reader):
                    """Serve the next one."""
        except OSError:
            """The connection was closed by either side."""
        self._connections.discard(connection)
        connection.close()

    def _serve_request(self, connection: socket.socket, reader) -> bool:
        target = reader.readline().split(b' ')
        if len(target) < 3:
            return False
        headers = {}
        while line := reader.readline().strip():
            name, _, text = line.decode().partition(': ')
            headers[name.lower()] = text
        body = reader.read(int(headers.get('content-length', '0')))
        if body == DEADLY_BODY:
            self._log.arrivals.append(read_hub_clock())
            eventlet.sleep(_CRASH_DELAY_S)
            self._crash()
            return False
        identity = headers['attempt-id']
        content = create_body(identity)
        if target[1].startswith(b'/stream/'):
            events = range(1, EVENTS + 1)
            content = b''.join(create_event(identity, at) for at in events)
        eventlet.sleep(_CRASH_DELAY_S)
        head = (
            f'HTTP/1.1 200 OK\r\nAttempt-Id: {identity}\r\nServer-Seal: s\r\n'
            f'Content-Length: {len(content)}\r\n\r\n'
        )
        connection.sendall(head.encode() + content)
        return True

    def _crash(self) -> None:
        if self._listener.fileno() < 0:
            return
        self._log.crashed_at.append(read_hub_clock())
        self._listener.close()
        for connection in list(self._connections):
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
            connection.shutdown(socket.SHUT_RDWR)
            connection.close()
        self._connections.clear()
        eventlet.spawn_after(_DOWN_S, self._restart)

    def _restart(self) -> None:
        host, _, port = self.address.partition(':')
        self._listener = eventlet.listen((host, int(port)))
        eventlet.spawn_n(self._run)


@contextmanager
def _open_system() -> Iterator[tuple[list[Daemon], _CrashLog]]:
    log = _CrashLog()
    store = ObjectStoreProgram()
    put_configuration(store, 1)
    for number in range(_SERVERS):
        put_server(store, f'i-{number}', _CrashingServer(log).address)
    with open_daemons(store) as daemons:
        yield daemons, log


def _repeat_deadly(addresses: list[str], until: float) -> list[int]:
    """Send the deadly request to random daemons.

    :return: statuses of the responses.
    """
    source = random.Random(5)
    pool = urllib3.PoolManager(retries=False, timeout=5)
    statuses = []
    while read_hub_clock() < until:
        address = source.choice(addresses)
        headers = {'Host': HOST_NAME, 'Attempt-Id': f'd{len(statuses)}'}
        try:
            response = pool.request(
                'POST',
                f'http://{address}/idempotent/x',
                body=DEADLY_BODY,
                headers=headers,
            )
            statuses.append(response.status)
        except HTTPError:
            statuses.append(0)
        eventlet.sleep(_REPEAT_INTERVAL_S)
    return statuses


def test_a_repeated_request_stops_crashing_servers_of_daemons() -> None:
    """One daemon is killed and started anew; sound requests go on."""
    with _open_system() as (daemons, log):
        addresses = [daemon.place.addresses['front'] for daemon in daemons]
        clients = [
            Client(f'c{number}', addresses, random.Random(number))
            for number in range(_CLIENTS)
        ]
        for client in clients:
            eventlet.spawn(client.run)
        until = read_hub_clock() + _DAY_S
        repeating = eventlet.spawn(_repeat_deadly, addresses, until)
        eventlet.sleep(_DAY_S / 2)
        daemons[0].kill()
        daemons[0].start()
        statuses = repeating.wait()
        for client in clients:
            client.stopping = True
        assert len(log.crashed_at) >= COUNTED_CRASHES
        bound = log.crashed_at[COUNTED_CRASHES - 1] + CONTACT_S
        late = sum(at > bound for at in log.arrivals)
        assert late <= ALLOWED_ARRIVALS, (late, len(log.crashed_at))
        assert statuses[-1] == 503
        attempts = [entry for sender in clients for entry in sender.attempts]
        last = [
            entry.is_served() for entry in attempts if entry.sent_at > until - 3
        ]
        assert sum(last) > len(last) * 0.9, (sum(last), len(last))
