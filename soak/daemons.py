"""Daemons with the platform's adapter, each run in a process of its own."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
from collections.abc import Mapping
from dataclasses import dataclass, field
from pathlib import Path
from types import MappingProxyType

import eventlet
import urllib3

from standins.addresses import choose_addresses, choose_ip
from standins.objects import ObjectStoreProgram

HOST_NAME = 'claims.example'
ORGANISATION = 'small'
#: Part of the paths of requests after the prefix of their route.
REQUEST_NAME = 'x'
#: Idle timeout of the connections of callers in the first configuration, in
#: seconds.
IDLE_TIMEOUT_S = 60.0
_ROOT = Path(__file__).resolve().parent.parent
_START_TIMEOUT_S = 60
_POLL_INTERVAL_S = 0.05
_PORTS = ('front', 'ready', 'control', 'directory')
_KB_PER_MB = 1024
_CONNECTIONS = 256
#: Lines of output in the report of an unexpected exit.
_REPORTED_LINES = 10
_OK = 200
#: Time of the first start of all backend servers.
_BORN_MS = 1700000000000
_MS_PER_S = 1000
_NO_BOUNDS: Mapping[str, object] = MappingProxyType({})


@dataclass(slots=True, frozen=True)
class Terms:
    """What configurations may change without an effect on sound requests.

    :ivar idle_timeout_s: idle timeout of the connections of callers in seconds.
    :ivar timeout_s: timeout of requests in seconds.
    :ivar is_split: whether a longer path prefix has a route of its own.
    """

    idle_timeout_s: float = IDLE_TIMEOUT_S
    timeout_s: float = 20.0
    is_split: bool = False


_TERMS = Terms()


@dataclass(slots=True, frozen=True)
class DaemonPlace:
    """The host name and the addresses of a daemon.

    :ivar name: name of its host.
    :ivar ip: its loopback address.
    :ivar addresses: its listening addresses, by purpose.
    """

    name: str
    ip: str
    addresses: dict[str, str]


@dataclass
class Daemon:
    """A daemon process that can be stopped, paused, killed and restarted.

    :ivar place: its host name and addresses.
    :ivar settings: its settings file.
    :ivar program: arguments of the Python interpreter that run it.
    :ivar process: its process, ``None`` before the first start.
    :ivar pool: connections for the readiness check.
    """

    place: DaemonPlace
    settings: Path
    program: tuple[str, ...] = ('platform/daemon.py',)
    process: subprocess.Popen[bytes] | None = None
    pool: urllib3.PoolManager = field(
        default_factory=lambda: urllib3.PoolManager(
            maxsize=_CONNECTIONS, retries=False, timeout=_START_TIMEOUT_S
        )
    )

    @property
    def log(self) -> Path:
        """The file with the output of the process."""
        return self.settings.with_suffix('.log')

    def start(self) -> None:
        """Start the process."""
        log = self.log.open('ab')
        self.process = subprocess.Popen(
            (sys.executable, *self.program),
            cwd=_ROOT,
            env={**os.environ, 'EGRETDALE_BOOT': str(self.settings)},
            stdout=log,
            stderr=log,
        )
        log.close()

    def signal(self, signum: signal.Signals) -> None:
        """Send a signal to the process.

        :param signum: the signal.
        """
        if self.process is not None:
            self.process.send_signal(signum)

    def stop(self) -> None:
        """Start a graceful shutdown."""
        self.signal(signal.SIGTERM)

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        if self.process is not None:
            self.process.kill()
            self.process.wait()

    def wait(self) -> int:
        """Wait for the process to end.

        :return: its exit status.
        """
        while self.process.poll() is None:
            eventlet.sleep(_POLL_INTERVAL_S)
        return self.process.returncode

    def is_running(self) -> bool:
        """Return whether the process is running."""
        return self.process is not None and self.process.poll() is None

    def is_ready(self) -> bool:
        """Return whether the daemon reports that it is ready."""
        url = f'http://{self.place.addresses["ready"]}/api/ready'
        try:
            return self.pool.request('GET', url).status == _OK
        except urllib3.exceptions.HTTPError:
            return False

    def wait_until_ready(self) -> None:
        """Wait until the daemon is ready."""
        with eventlet.Timeout(_START_TIMEOUT_S):
            while not self.is_ready():
                if not self.is_running():
                    raise AssertionError(self._describe_exit())
                eventlet.sleep(_POLL_INTERVAL_S)

    def count_descriptors(self) -> int:
        """Count the open file descriptors of the process."""
        return len(os.listdir(f'/proc/{self.process.pid}/fd'))

    def read_memory_mb(self) -> float:
        """Read the peak resident memory of the process in MB."""
        status = Path(f'/proc/{self.process.pid}/status').read_text()
        peak = next(
            line for line in status.splitlines() if line.startswith('VmHWM')
        )
        return int(peak.split()[1]) / _KB_PER_MB

    def _describe_exit(self) -> str:
        lines = self.log.read_text().splitlines()[-_REPORTED_LINES:]
        status = self.process.returncode if self.process else None
        return '\n'.join(
            (f'the daemon exited with {status} before it was ready', *lines)
        )


def choose_place(name: str) -> DaemonPlace:
    """Choose addresses that no other daemon uses.

    The metrics port is the same for all daemons, so each daemon gets a loopback
    address of its own.

    :param name: name of the host.
    :return: the name and the addresses.
    """
    ip = choose_ip()
    addresses = choose_addresses(ip, len(_PORTS))
    return DaemonPlace(name, ip, dict(zip(_PORTS, addresses, strict=True)))


def create_daemon(
    place: DaemonPlace,
    folder: Path,
    store_address: str,
    *,
    seeds: tuple[str, ...] = (),
    bounds: Mapping[str, object] = _NO_BOUNDS,
    **limits: object,
) -> Daemon:
    """Create a daemon and write its settings file.

    :param place: its host name and addresses.
    :param folder: folder for its settings and logs.
    :param store_address: ``address:port`` of the platform's store.
    :param seeds: control addresses of daemons to contact first.
    :param bounds: fields of the ``bounds`` setting that differ from the
        defaults.
    :param limits: fields of the ``limits`` setting that differ from the
        defaults.
    :return: the daemon, not yet started.
    """
    settings = {
        'node_name': place.name,
        'ip': place.ip,
        'zone': 'z1',
        'bind': place.addresses,
        'provider': {'address': store_address},
        'seeds': seeds,
        'bounds': {'grace_s': 8, **bounds},
        'limits': {'memory_mb': 300, 'max_fds': 4100, **limits},
    }
    path = folder / f'{place.name}.json'
    path.write_text(json.dumps(settings))
    return Daemon(place, path)


def put_configuration(
    store: ObjectStoreProgram,
    version: int,
    keys: tuple[str, ...] = (),
    *,
    attempts: int = 0,
    terms: Terms = _TERMS,
) -> None:
    """Write a configuration with one route of each kind.

    :param store: the platform's store.
    :param version: version of the configuration.
    :param keys: API keys of the only organisation; if empty, requests need no
        key.
    :param attempts: maximum number of attempts of each route, 0 for one of
        non-idempotent requests and two of others.
    :param terms: timeouts and routes.
    """
    kinds = ('non_idempotent', 'idempotent', 'streaming')
    routes = [_create_route(kind) for kind in kinds]
    if terms.is_split:
        routes.extend([_split_route(route) for route in routes])
    for route in routes:
        route['max_attempts'] = attempts or route['max_attempts']
        route['timeout_ms'] = terms.timeout_s * _MS_PER_S
    body: dict[str, object] = {
        'version': version,
        'routes': routes,
        'services': [],
        'limits': {'idle_timeout_ms': terms.idle_timeout_s * _MS_PER_S},
    }
    if keys:
        body['tenants'] = [{'name': ORGANISATION, 'api_keys': keys}]
    store.put('config', 'main', body)


def put_server(
    store: ObjectStoreProgram,
    name: str,
    address: str,
    version: str = 'v1',
    starts: int = 0,
    state: str = 'ready',
) -> None:
    """Register a backend server.

    :param store: the platform's store.
    :param name: name of the backend server.
    :param address: its ``address:port``.
    :param version: version of its software.
    :param starts: number of times that it was started anew.
    :param state: ``ready`` or ``draining``.
    """
    entry = {
        'backend': 's1',
        'address': address,
        'zone': 'z1',
        'version': version,
        'state': state,
        'slots': 64,
        'born': _BORN_MS + starts,
        'sequence': 1,
    }
    store.put('servers', name, entry)


def get_path_prefix(kind: str) -> str:
    """Return the path prefix of the route for a kind of requests.

    :param kind: kind of the requests.
    :return: path prefix, ending with a slash.
    """
    return '/stream/' if kind == 'streaming' else f'/{kind}/'


def _create_route(kind: str) -> dict[str, object]:
    route: dict[str, object] = {
        'name': kind,
        'host': HOST_NAME,
        'path_prefix': get_path_prefix(kind),
        'kind': kind,
        'target_latency_ms': 1000,
        'priority': 1,
        'backend': 's1',
        'max_attempts': 1 if kind == 'non_idempotent' else 2,
    }
    if kind == 'streaming':
        route['resumable'] = True
        route['gap_aim_ms'] = 800
    return route


def _split_route(route: dict[str, object]) -> dict[str, object]:
    prefix = f'{route["path_prefix"]}{REQUEST_NAME}/'
    return {**route, 'name': f'{route["name"]}-split', 'path_prefix': prefix}
