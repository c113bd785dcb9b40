"""Tests of a daemon with real connections on the loopback interface."""

from __future__ import annotations

import json
import socket
from collections.abc import Iterator
from contextlib import contextmanager

import eventlet
import urllib3

from egretdale.config import Settings
from egretdale.transport.daemon import Daemon
from standins.addresses import choose_addresses, choose_ip
from standins.engine import EngineProgram
from standins.models.engine import EngineProfile
from standins.plain import PlainProgram
from standins.platform import PlatformProgram
from standins.web import listen, serve
from tests.fixtures import DOCUMENT_SOURCE, WEB_SOURCE
from tests.functions import create_loader

load_tests = create_loader(__name__)

_ANY = '127.0.0.1:0'
_JSON = {'Content-Type': 'application/json'}


class _System:
    """A daemon with stand-ins for its environment, in this process.

    :ivar address: ``address:port`` for callers.
    :ivar peer_address: ``address:port`` for peers.
    :ivar platform: stand-in for the platform.
    :ivar engine: stand-in for an engine.
    :ivar plain: stand-in for a plain backend server.
    :ivar daemon: the daemon.
    """

    def __init__(self, **limits: float) -> None:
        self.platform = PlatformProgram()
        self.engine = EngineProgram(
            EngineProfile(prefill_rate=1e6, decode_rate=2000),
            instant=False,
            checks_fencing=True,
        )
        self.plain = PlainProgram()
        self.plain.faults.slow_s = 0
        platform_url = self._start(self.platform)
        self._register('claims-0', 'claims', self._start(self.engine))
        self._register('web-0', 'web', self._start(self.plain))
        for service, source in (
            ('claims', DOCUMENT_SOURCE),
            ('web', WEB_SOURCE),
        ):
            stored = {'source': source, 'nonce': '', 'author': '', 'at_s': 0}
            self.platform.store.put('documents', service, json.dumps(stored))
        address, peer_address = choose_addresses(choose_ip(), 2)
        self.address = address
        self.peer_address = peer_address
        settings = Settings(
            host='host-0',
            data_centre='dc-0',
            caller_address=self.address,
            peer_address=self.peer_address,
            platform_url=f'http://{platform_url}',
            answer_lifetime_s=0.2,
            body_timeout_s=0.5,
            maximum_body_bytes=4096,
            **limits,
        )
        self.daemon = Daemon(settings)
        self.status = eventlet.spawn(self.daemon.run)

    def wait_ready(self) -> None:
        """Wait until the daemon accepts requests."""
        node = self.daemon.node
        while node.find_obstacle('claims') is not None:
            eventlet.sleep(0.02)
        while not node.table.list_serving():
            eventlet.sleep(0.02)
        while not node.backends.list_backends('claims'):
            eventlet.sleep(0.02)

    def _start(self, program: object) -> str:
        listener = listen(_ANY)
        eventlet.spawn(serve, listener, program)
        return f'127.0.0.1:{listener.getsockname()[1]}'

    def _register(self, name: str, service: str, address: str) -> None:
        listed = {'service': service, 'address': address, 'incarnation': 1}
        self.platform.store.put('backend-servers', name, json.dumps(listed))


@contextmanager
def _open_system() -> Iterator[_System]:
    system = _System()
    system.wait_ready()
    yield system
    system.daemon.request_stop()
    system.daemon.request_stop()
    system.status.wait()


_pool = urllib3.PoolManager(retries=False, timeout=20)


def _post(
    system: _System, path: str, body: bytes, **headers: str
) -> urllib3.BaseHTTPResponse:
    named = {name.replace('_', '-'): text for name, text in headers.items()}
    url = f'http://{system.address}{path}'
    return _pool.request('POST', url, body=body, headers=_JSON | named)


def _complete(system: _System, **changes: object) -> urllib3.BaseHTTPResponse:
    fields = {
        'model': 'claims',
        'prompt': 'hello',
        'stream': True,
        'standin_output': 30,
    }
    body = json.dumps(fields | changes).encode()
    return _post(
        system,
        '/v1/completions',
        body,
        Egret_Class='counter',
        Egret_Organisation='small',
    )


def test_stream_is_relayed_completely() -> None:
    """All events of the engine reach the caller in order."""
    with _open_system() as system:
        response = _complete(system)
        assert response.status == 200
        lines = response.data.decode().split('\n\n')
        texts = [line for line in lines if 'choices' in line]
        assert len(texts) == 30
        assert lines[-2] == 'data: [DONE]'
        assert response.headers['Egret-Stream']


def test_response_without_stream_is_relayed_completely() -> None:
    """A JSON response reaches the caller as the engine sent it."""
    with _open_system() as system:
        response = _complete(system, stream=False)
        choice = json.loads(response.data)['choices'][0]
        assert choice['text'].split()[-1] == 'w29'


def test_stream_survives_a_broken_connection() -> None:
    """After a lost connection, the engine is asked for the rest."""
    with _open_system() as system:
        system.engine.faults.crash_after = 10
        eventlet.spawn_after(
            0.05, setattr, system.engine.faults, 'crash_after', 0
        )
        response = _complete(system, standin_output=200)
        tokens = [
            part.split('"')[0]
            for part in response.data.decode().split('"text": "')[1:]
        ]
        assert tokens == [f'w{number} ' for number in range(200)]


def test_refusal_has_a_problem_body() -> None:
    """A refusal states its reason, its ID and whether the request ran."""
    with _open_system() as system:
        body = b'{"model":"claims","prompt":"x"}'
        response = _post(
            system,
            '/v1/completions',
            body,
            Egret_Class='none',
            Egret_Organisation='small',
        )
        assert response.status == 400
        problem = json.loads(response.data)
        assert problem['type'].endswith('unknown-class')
        assert problem['ran'] == 'no'
        url = f'http://{system.address}/v1/explain/{problem["refusal_id"]}'
        explained = json.loads(_pool.request('GET', url).data)
        assert 'classes are' in explained['detail']


def test_bad_requests_are_refused() -> None:
    """Malformed, oversized and unknown requests get the right status."""
    with _open_system() as system:
        cases = (
            ('/v1/completions', b'{', 400),
            ('/v1/completions', b'x' * 5000, 413),
            ('/v1/completions', b'{"model":"no","prompt":"x"}', 404),
            ('/services/no/x', b'', 404),
            ('/services/web/unknown', b'', 400),
            ('/nothing', b'', 404),
            ('/v1/documents/claims', b'{', 400),
        )
        for path, body, status in cases:
            assert _post(system, path, body).status == status, (path, status)
        assert _complete(system).status == 200


def test_incomplete_bodies_time_out() -> None:
    """A caller that sends only part of a body gets an error in time."""
    with _open_system() as system:
        host, _, port = system.address.rpartition(':')
        connection = socket.create_connection((host, int(port)), 5)
        connection.sendall(
            b'POST /v1/completions HTTP/1.1\r\nHost: x\r\n'
            b'Content-Length: 100\r\n\r\n{"model":'
        )
        head = connection.recv(4096)
        connection.close()
        assert b' 400 ' in head.split(b'\r\n')[0]
        assert _complete(system).status == 200


def test_invalid_peer_frames_do_no_harm() -> None:
    """Invalid bytes on the peer port close only their own connection."""
    with _open_system() as system:
        host, _, port = system.peer_address.rpartition(':')
        hostile = (
            b'\xff\xff\xff\xff',
            b'\x00\x00\x00\x05hello',
            b'\x00\x00\x00\x00',
            b'\x82!\x01\x07deliver\x1c' * 9,
            b'GET / HTTP/1.1\r\n\r\n',
        )
        for payload in hostile:
            connection = socket.create_connection((host, int(port)), 5)
            connection.sendall(payload)
            connection.close()
        eventlet.sleep(0.05)
        assert _complete(system).status == 200


def test_reference_runs_once_by_key() -> None:
    """A second call with the same idempotency key is not run."""
    with _open_system() as system:
        body = b'{"identity":"once"}'
        statuses = [
            _post(
                system,
                '/services/web/references',
                body,
                Idempotency_Key='key-1',
            ).status
            for _ in range(2)
        ]
        assert statuses == [200, 409]
        assert system.plain.runs['once'] == 1


def test_call_with_lost_reply_is_not_repeated() -> None:
    """A call whose connection failed is refused with outcome unknown."""
    with _open_system() as system:
        system.plain.faults.reply_lost = True
        response = _post(
            system, '/services/web/references', b'{"identity":"lost"}'
        )
        problem = json.loads(response.data)
        assert problem['ran'] == 'unknown'
        assert system.plain.runs['lost'] == 1


def test_hosts_response_contains_hosts_and_keys() -> None:
    """Callers get ordered hosts, a lifetime and idempotency keys."""
    with _open_system() as system:
        url = f'http://{system.address}/v1/hosts?organisation=small&keys=3'
        answer = json.loads(_pool.request('GET', url).data)
        assert answer['hosts'][0]['address'] == system.address
        assert len(answer['keys']) == 3
        assert 0 < answer['keep_s'] <= 0.2


def test_metrics_are_published() -> None:
    """The metrics page contains counters and group gauges."""
    with _open_system() as system:
        _complete(system)
        page = _pool.request('GET', f'http://{system.address}/metrics').data
        assert b'egretdale_answered_total{' in page
        assert b'egretdale_platform_calls_total{' in page
        assert b'egretdale_group_slots{group="claims/0"} 4.0' in page


def test_graceful_shutdown_waits_for_a_stream() -> None:
    """A stream that runs when a shutdown starts completes, with status 0."""
    system = _System()
    system.wait_ready()
    thread = eventlet.spawn(_complete, system, standin_output=600)
    eventlet.sleep(0.1)
    system.daemon.request_stop()
    assert thread.wait().data.endswith(b'data: [DONE]\n\n')
    assert system.status.wait() == 0


def test_late_requests_of_a_shutdown_are_answered() -> None:
    """New ones are refused as not run, and at its end the others may have."""
    system = _System(drain_limit_s=2.5, probe_period_s=0.2)
    system.wait_ready()
    system.plain.faults.slow_s = 10
    references = '/services/web/references'
    first = eventlet.spawn(_post, system, references, b'{"identity":"first"}')
    eventlet.sleep(0.1)
    system.daemon.request_stop()
    eventlet.sleep(1)
    late = _post(system, references, b'{"identity":"late"}')
    assert late.status == 503
    assert json.loads(late.data)['ran'] == 'no'
    assert 'Retry-After' in late.headers
    assert system.status.wait() == 1
    cut = first.wait()
    assert cut.status == 502
    assert json.loads(cut.data)['ran'] == 'unknown'
    assert list(system.plain.runs) == ['first']


def test_a_forced_shutdown_answers_requests_that_run() -> None:
    """A second signal ends it before their responses arrive."""
    system = _System()
    system.wait_ready()
    system.plain.faults.slow_s = 10
    references = '/services/web/references'
    first = eventlet.spawn(_post, system, references, b'{"identity":"first"}')
    eventlet.sleep(0.1)
    system.daemon.request_stop()
    system.daemon.request_stop()
    assert system.status.wait() == 1
    assert json.loads(first.wait().data)['ran'] == 'unknown'


def test_a_forced_shutdown_runs_no_new_requests() -> None:
    """Their responses could not be sent any more."""
    system = _System()
    system.wait_ready()
    system.daemon.request_stop()
    system.daemon.request_stop()
    late = _post(system, '/services/web/references', b'{"identity":"late"}')
    assert late.status == 503
    assert json.loads(late.data)['ran'] == 'no'
    system.status.wait()
    assert not system.plain.runs
