"""Tests of the usage that daemon processes report."""

from __future__ import annotations

import json
import tempfile
import time
from contextlib import ExitStack
from pathlib import Path

import eventlet
import urllib3

from soak.daemons import (
    HOST_NAME,
    ORGANISATION,
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
from standins.web import Environ, StartResponse
from tests.functions import create_loader

load_tests = create_loader(__name__)

_WINDOW_S = 2
_REQUESTS = 60


class _Interface:
    """Keeps the calls that it has accepted."""

    def __init__(self) -> None:
        self.calls: list[tuple[str, int, dict[str, object]]] = []

    def __call__(
        self, environ: Environ, start_response: StartResponse
    ) -> list[bytes]:
        call = json.loads(environ['wsgi.input'].read())
        holder = environ['HTTP_DUTY_HOLDER']
        token = int(environ['HTTP_FENCING_TOKEN'])
        self.calls.append((holder, token, call))
        start_response('200 OK', [('Content-Length', '0')])
        return []


def _start_daemons(
    stack: ExitStack, store: ObjectStoreProgram, interface: _Interface
) -> list[Daemon]:
    folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
    places = [choose_place(f'front-{index}') for index in range(3)]
    cloud = {
        'address': serve_program(interface),
        'duties': ['metering'],
        'duty_per_s': 50,
    }
    store_address = serve_program(store)
    daemons = []
    for place in places:
        daemon = create_daemon(
            place,
            folder,
            store_address,
            seeds=tuple(entry.addresses['control'] for entry in places),
            bounds={'report_window_s': _WINDOW_S, 'lease_ms': 2000},
        )
        path = folder / f'{place.name}.json'
        settings = json.loads(path.read_text())
        path.write_text(json.dumps({**settings, 'cloud_api': cloud}))
        daemon.start()
        stack.callback(daemon.kill)
        daemons.append(daemon)
    for daemon in daemons:
        daemon.wait_until_ready()
    return daemons


def test_three_daemons_report_each_request_once() -> None:
    """All reports carry the token of one holder."""
    interface = _Interface()
    store = ObjectStoreProgram()
    put_configuration(store, 1, ('k1',))
    put_server(store, 'i-1', serve_program(SealedServer()))
    with ExitStack() as stack:
        daemons = _start_daemons(stack, store, interface)
        eventlet.sleep(3)
        pool = urllib3.PoolManager(retries=False, timeout=5)
        served = 0
        for number in range(_REQUESTS):
            daemon = daemons[number % len(daemons)]
            address = daemon.place.addresses['front']
            response = pool.request(
                'POST',
                f'http://{address}{get_path_prefix("non_idempotent")}x',
                headers={
                    'Host': HOST_NAME,
                    'Attempt-Id': f'r{number}',
                    'Authorization': 'Token k1',
                },
            )
            served += response.status == 200
            eventlet.sleep(0.05)
        deadline = time.monotonic() + 12
        while time.monotonic() < deadline:
            told = {
                call['window_id']: call['counts'].get(ORGANISATION, 0)
                for _, _, call in interface.calls
            }
            if sum(told.values()) >= served:
                break
            eventlet.sleep(0.1)
    assert served == _REQUESTS, served
    assert sum(told.values()) == _REQUESTS, interface.calls
    assert len({token for _, token, _ in interface.calls}) == 1
