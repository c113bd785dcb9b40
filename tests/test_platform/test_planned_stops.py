"""Tests of requests that clients send to a daemon that is stopping."""

from __future__ import annotations

import tempfile
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

import eventlet
import urllib3

from egretdale.state.outcomes import Reason
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
from tests.functions import create_loader

load_tests = create_loader(__name__)

#: Seconds in which a request reaches its server.
_SETTLE_S = 0.3
_KINDS = ('non_idempotent', 'idempotent')


@contextmanager
def _open_daemon(grace_s: float) -> Iterator[tuple[Daemon, SealedServer]]:
    server = SealedServer()
    store = ObjectStoreProgram()
    put_configuration(store, 1)
    put_server(store, 'i-1', serve_program(server))
    with tempfile.TemporaryDirectory() as folder:
        daemon = create_daemon(
            choose_place('front-1'),
            Path(folder),
            serve_program(store),
            bounds={'grace_s': grace_s},
        )
        daemon.start()
        try:
            daemon.wait_until_ready()
            yield daemon, server
        finally:
            daemon.kill()


def _send(
    daemon: Daemon, kind: str, identity: str, deadline_ms: str = ''
) -> urllib3.BaseHTTPResponse:
    headers = {'Host': HOST_NAME, 'Attempt-Id': identity}
    if deadline_ms:
        headers['Deadline-Ms'] = deadline_ms
    address = daemon.place.addresses['front']
    pool = urllib3.PoolManager(retries=False, timeout=30)
    return pool.request(
        'POST',
        f'http://{address}{get_path_prefix(kind)}x',
        body=b'{}',
        headers=headers,
    )


def test_requests_sent_late_in_a_stop_are_not_cut_at_its_end() -> None:
    """Those that could outlast it are refused, and have not run."""
    with _open_daemon(20) as (daemon, server):
        server.service_time_s = 6
        first = eventlet.spawn(_send, daemon, 'idempotent', 'first')
        eventlet.sleep(_SETTLE_S)
        daemon.stop()
        eventlet.sleep(3.5)
        server.service_time_s = 0.1
        for kind in _KINDS:
            late = _send(daemon, kind, f'late-{kind}')
            assert late.status == 503, late.data
            assert late.data.startswith(f'{Reason.HOST_STOPPING}: '.encode())
            assert float(late.headers['Retry-After']) < 1
            short = _send(daemon, kind, f'short-{kind}', '3000')
            assert short.status == 200, short.data
        assert first.wait().status == 200
        assert daemon.wait() == 0
        assert server.runs == ['first', *(f'short-{kind}' for kind in _KINDS)]


def test_requests_that_outlast_a_stop_are_answered_before_its_end() -> None:
    """They came before it or at its begin, and may have run."""
    with _open_daemon(4) as (daemon, server):
        server.service_time_s = 15
        before = [
            eventlet.spawn(_send, daemon, kind, f'before-{kind}')
            for kind in _KINDS
        ]
        eventlet.sleep(_SETTLE_S)
        daemon.stop()
        eventlet.sleep(0.5)
        early = [
            eventlet.spawn(_send, daemon, kind, f'early-{kind}')
            for kind in _KINDS
        ]
        for task in (*before, *early):
            assert task.wait().status in {502, 504}
        assert daemon.wait() == 1
        assert len(server.runs) == 4
