"""Tests of servers whose processes stand still for a while."""

from __future__ import annotations

import random
import tempfile
from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from pathlib import Path

import eventlet
import urllib3

from soak.daemons import HOST_NAME, Daemon, get_path_prefix, put_server
from standins.objects import ObjectStoreProgram
from tests.daemons import open_daemons, send_request
from tests.functions import create_loader
from tests.paused_servers import PausedServer, build_body, start_servers

load_tests = create_loader(__name__)

_KINDS = ('non_idempotent', 'idempotent', 'streaming')
_FRAMINGS = ('length', 'chunked', 'close')
_PAUSE_S = 1.3
_CALLERS = 40
#: Longest time in seconds for which a caller is idle between requests; less
#: than four fifths of the lowest idle limit.
_MAXIMUM_REST_S = 1.5


@dataclass
class PausedSystem:
    """Daemons before server processes.

    :ivar failed: what callers got instead of whole answers.
    :ivar served: number of whole answers.
    :ivar has_ended: whether callers send no more requests.
    """

    store: ObjectStoreProgram
    servers: list[PausedServer]
    daemons: list[Daemon] = field(default_factory=list)
    failed: list[str] = field(default_factory=list)
    served: int = 0
    has_ended: bool = False

    def list_repeated(self) -> list[str]:
        """List the requests that ran more than once."""
        runs = Counter(
            identity
            for server in self.servers
            for identity in server.runs.read_text().split()
        )
        return [identity for identity, count in runs.items() if count > 1]

    def read_logs(self) -> str:
        """Read the logs of all daemons."""
        return ''.join(daemon.log.read_text() for daemon in self.daemons)

    def pause(self, count: int) -> None:
        """Stop some servers for a while."""
        pauses = [
            eventlet.spawn(server.pause, _PAUSE_S)
            for server in self.servers[:count]
        ]
        for pause in pauses:
            pause.wait()

    def call(self, number: int) -> None:
        """Send requests on kept connections until the end of a test."""
        source = random.Random(number)
        daemon = self.daemons[number % len(self.daemons)]
        address = daemon.place.addresses['front']
        pool = urllib3.PoolManager(maxsize=1, retries=False, timeout=12)
        while not self.has_ended:
            identity = f'{source.randrange(16**16):016x}'
            path = get_path_prefix(source.choice(_KINDS))
            target = f'{path}x-{source.choice(_FRAMINGS)}'
            headers = {'Host': HOST_NAME, 'Attempt-Id': identity}
            try:
                response = pool.request(
                    'POST', f'http://{address}{target}', headers=headers
                )
            except urllib3.exceptions.HTTPError as error:
                self.failed.append(f'{target} {error!r}')
                continue
            if response.data == build_body(identity):
                self.served += 1
            else:
                self.failed.append(f'{target} {response.status}')
            eventlet.sleep(source.uniform(0, _MAXIMUM_REST_S))


@contextmanager
def _open(servers: int, idle_s: int) -> Iterator[PausedSystem]:
    store = ObjectStoreProgram()
    _configure(store, 1)
    with (
        tempfile.TemporaryDirectory() as folder,
        start_servers(Path(folder), servers, idle_s) as started,
    ):
        for number, server in enumerate(started):
            put_server(store, f'i-{number}', server.address)
        system = PausedSystem(store, started)
        with open_daemons(store) as daemons:
            system.daemons.extend(daemons)
            yield system


def _configure(
    store: ObjectStoreProgram,
    version: int,
    *,
    idle_ms: int = 4000,
    timeout_ms: int = 8000,
    further: tuple[str, ...] = (),
) -> None:
    routes = [
        {
            'name': prefix.strip('/'),
            'host': HOST_NAME,
            'path_prefix': prefix,
            'kind': kind,
            'timeout_ms': timeout_ms,
            'target_latency_ms': 1000,
            'priority': 1,
            'backend': 's1',
            'max_attempts': 1 if kind == 'non_idempotent' else 2,
            'resumable': kind == 'streaming',
        }
        for kind, prefix in (
            *((kind, get_path_prefix(kind)) for kind in _KINDS),
            *(('idempotent', prefix) for prefix in further),
        )
    ]
    limits = {'idle_timeout_ms': idle_ms}
    body = {
        'version': version,
        'routes': routes,
        'services': [],
        'limits': limits,
    }
    store.put('config', 'main', body)


def test_requests_wait_for_servers_that_stand_still() -> None:
    """Nobody is refused or cut while the configuration changes."""
    changes = (
        {'idle_ms': 2000},
        {'timeout_ms': 5000},
        {'further': ('/new/',)},
        {'idle_ms': 6000},
    )
    with _open(servers=2, idle_s=5) as system:
        callers = [
            eventlet.spawn(system.call, number) for number in range(_CALLERS)
        ]
        eventlet.sleep(2)
        for version, change in enumerate(changes, 2):
            _configure(system.store, version, **change)
            eventlet.sleep(0.5)
            system.pause(1 + version % 2)
            eventlet.sleep(1.5)
        system.has_ended = True
        for caller in callers:
            caller.wait()
        assert not system.failed, Counter(system.failed)
        assert not system.list_repeated()
        assert 'backends-lost' not in system.read_logs()
        assert system.served > _CALLERS * 4


def test_requests_run_although_idle_connections_end_in_a_standstill() -> None:
    """The server closes those that are too old first when it goes on."""
    idle_s = 3
    with _open(servers=1, idle_s=idle_s) as system:
        daemon = system.daemons[0]
        pool = urllib3.PoolManager(maxsize=1, retries=False, timeout=12)
        assert send_request(daemon, 'first', pool).status == 200
        # Its idle time ends within the standstill.
        eventlet.sleep(idle_s - 1.2)
        pause = eventlet.spawn(system.pause, 1)
        eventlet.sleep(0.1)
        assert send_request(daemon, 'second', pool).status == 200
        pause.wait()
        assert not system.list_repeated()


def test_requests_that_reach_no_server_in_time_are_refused_as_not_run() -> None:
    """Neither the callers nor other hosts need to guess."""
    with _open(servers=2, idle_s=5) as system:
        pause = eventlet.spawn(system.pause, 2)
        eventlet.sleep(0.1)
        waiting = [
            eventlet.spawn(eventlet.connect, server.find_place())
            for server in system.servers
            for _ in range(8)
        ]
        eventlet.sleep(0.1)
        response = urllib3.request(
            'POST',
            f'http://{system.daemons[0].place.addresses["front"]}/idempotent/x',
            headers={
                'Host': HOST_NAME,
                'Attempt-Id': 'a',
                'Deadline-Ms': '800',
            },
            retries=False,
        )
        assert response.status == 503, (response.status, response.data)
        assert 'Retry-After' in response.headers
        pause.wait()
        assert all(entry.wait() for entry in waiting)
        assert 'a' not in system.servers[0].runs.read_text()
