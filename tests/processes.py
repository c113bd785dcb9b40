"""Fixtures that run the daemon of the users' platform as a process."""

from __future__ import annotations

import itertools
import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from pathlib import Path

import eventlet
import urllib3

from standins.objects import ObjectStoreProgram
from standins.web import Environ, StartResponse, listen, serve

_ROOT = Path(__file__).resolve().parent.parent
_START_S = 60
_STEP_S = 0.05
_HOST_NAME = 'claims.example'
_PORTS = ('front', 'ready', 'control', 'directory')
#: Daemons of one process of tests, and values of a part of an address.
_DAEMONS = 16
_PARTS = 250
_numbers = itertools.count()


class SealedServer:
    """A backend server that signs its answers and counts its runs.

    :ivar runs: identities of the requests that it ran.
    :ivar work_s: seconds that a request takes.
    """

    def __init__(self) -> None:
        self.runs: list[str] = []
        self.work_s = 0.1

    def __call__(
        self, environ: Environ, start_response: StartResponse
    ) -> list[bytes]:
        """Answer a request with its identity."""
        identity = environ['HTTP_ATTEMPT_ID']
        self.runs.append(identity)
        eventlet.sleep(self.work_s)
        body = f'answer to {identity}'.encode() * 20
        headers = [
            ('Attempt-Id', identity),
            ('Server-Seal', f'seal-{identity}'),
            ('Content-Length', str(len(body))),
        ]
        start_response('200 OK', headers)
        return [body]


@dataclass
class RunningDaemon:
    """A daemon, and what it needs around it.

    :ivar process: the process.
    :ivar server: its only backend server.
    :ivar addresses: its addresses by purpose.
    """

    process: subprocess.Popen[bytes]
    server: SealedServer
    addresses: dict[str, str]
    pool: urllib3.PoolManager = field(
        default_factory=lambda: urllib3.PoolManager(
            maxsize=256, retries=False, timeout=30
        )
    )

    def ask(
        self, identity: str, *, keep: bool = True
    ) -> urllib3.BaseHTTPResponse:
        """Send a request as a client does, on a kept connection or a new one.

        :param identity: identity of the request.
        :param keep: whether the connection is kept.
        :return: the answer.
        """
        headers = {
            'Host': _HOST_NAME,
            'Attempt-Id': identity,
            'Deadline-Ms': '20000',
        }
        if not keep:
            headers['Connection'] = 'close'
        url = f'http://{self.addresses["front"]}/a/x'
        return self.pool.request('POST', url, body=b'{}', headers=headers)

    def is_ready(self) -> bool:
        """Tell whether the daemon says that it takes requests."""
        url = f'http://{self.addresses["ready"]}/api/ready'
        try:
            return self.pool.request('GET', url).status == 200
        except urllib3.exceptions.HTTPError:
            return False

    def stop(self) -> None:
        """Ask for a planned stop."""
        self.process.send_signal(signal.SIGTERM)

    def wait(self) -> int:
        """Wait for the end of the process.

        :return: its exit status.
        """
        while self.process.poll() is None:
            eventlet.sleep(_STEP_S)
        return self.process.returncode

    def count_descriptors(self) -> int:
        """Count the open descriptors of the process."""
        return len(os.listdir(f'/proc/{self.process.pid}/fd'))

    def read_memory_mb(self) -> float:
        """Read the peak of the resident memory of the process in MB."""
        status = Path(f'/proc/{self.process.pid}/status').read_text()
        peak = next(
            line for line in status.splitlines() if line.startswith('VmHWM')
        )
        return int(peak.split()[1]) / 1024


def _create_store(server_address: str) -> ObjectStoreProgram:
    store = ObjectStoreProgram()
    route = {
        'name': 'r1',
        'host': _HOST_NAME,
        'path_prefix': '/a/',
        'kind': 'non_idempotent',
        'timeout_ms': 20000,
        'target_latency_ms': 1000,
        'priority': 1,
        'backend': 's1',
        'max_attempts': 1,
    }
    store.put(
        'config',
        'main',
        {'version': 3, 'routes': [route], 'services': [], 'limits': {}},
    )
    entry = {
        'backend': 's1',
        'address': server_address,
        'zone': 'z1',
        'state': 'ready',
        'slots': 64,
        'born': 1700000000000,
        'sequence': 1,
    }
    store.put('servers', 'i-1', entry)
    return store


def _choose_ip() -> str:
    """Choose a loopback address that no other daemon has.

    The port of the metrics is the same for all daemons.
    """
    number = os.getpid() * _DAEMONS + next(_numbers) % _DAEMONS
    first, rest = divmod(number, _PARTS**2)
    second, third = divmod(rest, _PARTS)
    return f'127.{1 + first % _PARTS}.{second}.{third}'


def _choose_address(ip: str) -> str:
    with socket.create_server((ip, 0)) as chosen:
        return f'{ip}:{chosen.getsockname()[1]}'


def _serve(program: object) -> tuple[str, eventlet.greenthread.GreenThread]:
    listener = listen('127.0.0.1:0')
    task = eventlet.spawn(serve, listener, program)
    return f'127.0.0.1:{listener.getsockname()[1]}', task


@contextmanager
def open_daemon(**limits: object) -> Iterator[RunningDaemon]:
    """Run a daemon with a store and one backend server.

    :param limits: limits of the machine, as its settings name them.
    :return: the daemon, once it is ready.
    """
    server = SealedServer()
    server_address, server_task = _serve(server)
    store_address, store_task = _serve(_create_store(server_address))
    ip = _choose_ip()
    addresses = {purpose: _choose_address(ip) for purpose in _PORTS}
    settings = {
        'node_name': 'front-1',
        'ip': ip,
        'zone': 'z1',
        'bind': addresses,
        'provider': {'address': store_address},
        'bounds': {'grace_s': 8},
        'limits': {'memory_mb': 300, 'max_fds': 4100, **limits},
    }
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / 'node.json'
        path.write_text(json.dumps(settings))
        process = subprocess.Popen(
            (sys.executable, 'platform/daemon.py'),
            cwd=_ROOT,
            env={**os.environ, 'EGRETDALE_BOOT': str(path)},
            stdout=subprocess.DEVNULL,
        )
        try:
            daemon = RunningDaemon(process, server, addresses)
            _wait_until_ready(daemon)
            yield daemon
        finally:
            process.kill()
            process.wait()
            server_task.kill()
            store_task.kill()


def _wait_until_ready(daemon: RunningDaemon) -> None:
    with eventlet.Timeout(_START_S):
        while not daemon.is_ready():
            assert daemon.process.poll() is None, 'the daemon has ended'
            eventlet.sleep(_STEP_S)
