"""A daemon process that a crowd of misbehaving clients visits."""

from __future__ import annotations

import json
import subprocess
import sys
import tempfile
from collections.abc import Iterable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path

import eventlet
import urllib3

from soak.daemons import (
    HOST_NAME,
    Daemon,
    choose_place,
    create_daemon,
    put_configuration,
    put_server,
)
from soak.servers import SealedServer
from soak.world import serve_program
from standins.objects import ObjectStoreProgram
from standins.web import Environ, StartResponse

_ROOT = Path(__file__).resolve().parent.parent
#: Limits of the daemon: memory in MB, and open descriptors.
MEMORY_MB = 96
MAX_FDS = 180
#: Connections of a crowd.
COUNT = 48
#: Longest wait in seconds for a crowd and for an ordinary answer.
_CAP_S = 120
_TRY_S = 20
_POLL_S = 0.05
_KB_PER_MB = 1024
#: Port of the metrics on each host, as in deploy/system.toml.
_METRICS_PORT = 9464
_LONG_CHUNK = b'y' * 65536
_LONG_CHUNKS = 128
_OK = 200

#: Path of a route, and one without a route.
ROUTED = '/idempotent/x'
UNROUTED = '/nowhere/x'
#: Path whose response has 8 MiB.
LONG = '/idempotent/long'


class LongServer(SealedServer):
    """A backend server, one of whose responses is long."""

    def __call__(
        self, environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        """Respond to a request."""
        if environ['PATH_INFO'] != LONG:
            return super().__call__(environ, start_response)
        identity = environ['HTTP_ATTEMPT_ID']
        size = len(_LONG_CHUNK) * _LONG_CHUNKS
        headers = [
            ('Attempt-Id', identity),
            ('Server-Seal', f'seal-{identity}'),
            ('Content-Length', str(size)),
        ]
        start_response('200 OK', headers)
        return (_LONG_CHUNK for _ in range(_LONG_CHUNKS))


@dataclass
class Visit:
    """What a crowd cost a daemon.

    :ivar peak_mb: peak memory of the daemon in MB.
    :ivar after_mb: its memory after the crowd in MB.
    :ivar descriptors: most descriptors that were seen open.
    """

    peak_mb: float = 0
    after_mb: float = 0
    descriptors: int = 0


@contextmanager
def open_daemon(**limits: object) -> Iterator[Daemon]:
    """Run a daemon before a backend server until the end of the context.

    :param limits: limits that differ from those of this module.
    """
    store = ObjectStoreProgram()
    put_configuration(store, 1)
    put_server(store, 'i-0', serve_program(LongServer()))
    settings = {'memory_mb': MEMORY_MB, 'max_fds': MAX_FDS, **limits}
    with tempfile.TemporaryDirectory() as folder:
        daemon = create_daemon(
            choose_place('front-0'),
            Path(folder),
            serve_program(store),
            **settings,
        )
        daemon.start()
        try:
            daemon.wait_until_ready()
            yield daemon
        finally:
            daemon.kill()


def visit(
    daemon: Daemon, forms: str, *, door: str = 'front', path: str = ROUTED
) -> Visit:
    """Send a crowd to a daemon, and end it once it no longer moves.

    :param daemon: the daemon.
    :param forms: forms of the crowd, separated by commas.
    :param door: the address it comes to.
    :param path: path of its requests.
    """
    place = daemon.place
    addresses = {**place.addresses, 'metrics': f'{place.ip}:{_METRICS_PORT}'}
    arguments = (forms, addresses[door], path, str(COUNT))
    seen = Visit()
    with subprocess.Popen(
        (sys.executable, '-m', 'tests.crowd', *arguments),
        cwd=_ROOT,
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
    ) as crowd:
        try:
            told = eventlet.spawn(crowd.stdout.readline)
            with eventlet.Timeout(_CAP_S):
                while not told.dead and daemon.is_running():
                    _observe(daemon, seen)
                    eventlet.sleep(_POLL_S)
        finally:
            crowd.kill()
    _observe(daemon, seen)
    return seen


def check_afterwards(daemon: Daemon, seen: Visit) -> None:
    """Check that a daemon lives within its limits, and serves.

    :param daemon: the daemon.
    :param seen: what the crowd cost it.
    """
    is_served = _serve_ordinary(daemon)
    _observe(daemon, seen)
    shown = f'{seen} served={is_served}'
    print(shown, file=sys.stderr)
    assert daemon.is_running(), shown
    assert is_served, shown
    assert seen.peak_mb < MEMORY_MB, shown
    assert seen.after_mb < MEMORY_MB, shown
    assert seen.descriptors < _read_limit(daemon), shown


def _read_limit(daemon: Daemon) -> int:
    settings = json.loads(daemon.settings.read_text())
    return settings['limits']['max_fds']


def _serve_ordinary(daemon: Daemon) -> bool:
    """Send requests until one is answered."""
    pool = urllib3.PoolManager(retries=False, timeout=_TRY_S)
    url = f'http://{daemon.place.addresses["front"]}{ROUTED}'
    with eventlet.Timeout(_CAP_S, exception=False):
        for number in range(10**6):
            headers = {'Host': HOST_NAME, 'Attempt-Id': f'ordinary-{number}'}
            try:
                if pool.request('POST', url, headers=headers).status == _OK:
                    return True
            except urllib3.exceptions.HTTPError:
                pool.clear()
            eventlet.sleep(_POLL_S)
    return False


def _observe(daemon: Daemon, seen: Visit) -> None:
    if not daemon.is_running():
        return
    seen.peak_mb = daemon.read_memory_mb()
    seen.after_mb = _read_resident_mb(daemon)
    seen.descriptors = max(seen.descriptors, daemon.count_descriptors())


def _read_resident_mb(daemon: Daemon) -> float:
    status = Path(f'/proc/{daemon.process.pid}/status').read_text()
    line = next(
        line for line in status.splitlines() if line.startswith('VmRSS')
    )
    return int(line.split()[1]) / _KB_PER_MB
