"""Tests of backend servers that leave, with real daemon processes."""

from __future__ import annotations

from dataclasses import dataclass, field

import eventlet
import urllib3

from egretdale.util.clocks import read_hub_clock
from soak.daemons import HOST_NAME, put_server
from soak.servers import EVENTS
from tests.daemons import System, open_system, read_stream
from tests.functions import create_loader
from tests.leaving import DRAIN_S

load_tests = create_loader(__name__)

_PATHS = ('/idempotent/x', '/non_idempotent/x', '/stream/x')
_OK = 200
_INTERVAL_S = 0.02
#: Callers of each daemon.
_CALLERS = 3


@dataclass
class _Caller:
    """Sends requests to one daemon, one after the other.

    :ivar address: address of the daemon.
    :ivar sent_at: times of the requests by ID.
    :ivar statuses: statuses of the responses by ID.
    :ivar told_at: time of the first response that says that its server leaves.
    """

    name: str
    address: str
    sent_at: dict[str, float] = field(default_factory=dict)
    statuses: dict[str, int] = field(default_factory=dict)
    told_at: float = float('inf')

    def run(self, until: float) -> None:
        """Send requests until a time."""
        pool = urllib3.PoolManager(retries=False, timeout=5)
        while read_hub_clock() < until:
            number = len(self.sent_at)
            identity = f'{self.name}-{number}'
            self.sent_at[identity] = read_hub_clock()
            response = pool.request(
                'POST',
                f'http://{self.address}{_PATHS[number % len(_PATHS)]}',
                body=b'{}',
                headers={'Host': HOST_NAME, 'Attempt-Id': identity},
            )
            self.statuses[identity] = response.status
            if response.headers.get('Server-Leaving') == '1':
                self.told_at = min(self.told_at, read_hub_clock())
            eventlet.sleep(_INTERVAL_S)


def _call_all(system: System, for_s: float, name: str) -> list[_Caller]:
    """Send requests to all daemons for a time."""
    until = read_hub_clock() + for_s
    callers = [
        _Caller(f'{name}{number}-{index}', address)
        for number, address in enumerate(system.list_caller_addresses())
        for index in range(_CALLERS)
    ]
    threads = [eventlet.spawn(caller.run, until) for caller in callers]
    for thread in threads:
        thread.wait()
    return callers


def _check_drained(system: System, callers: list[_Caller]) -> None:
    """Check that no request was late, and that all were served."""
    reached = set(system.servers[0].runs)
    for number, daemon in enumerate(system.daemons):
        own = callers[number * _CALLERS : (number + 1) * _CALLERS]
        told_at = min(caller.told_at for caller in own)
        late = [
            identity
            for caller in own
            for identity, sent_at in caller.sent_at.items()
            if sent_at > told_at + DRAIN_S and identity in reached
        ]
        assert not late, (daemon.place.name, late)
    statuses = {
        status for caller in callers for status in caller.statuses.values()
    }
    assert statuses == {_OK}, statuses


def test_daemons_send_no_work_to_a_server_that_says_it_leaves() -> None:
    """Its entry says ready, whether the store serves or is away."""
    for refusing in ('', '503 Service Unavailable'):
        with open_system('v1', 'v1', 'v1') as system:
            system.store.refusing = refusing
            system.servers[0].leaving = True
            callers = _call_all(system, DRAIN_S + 2, 'a')
            assert any(caller.told_at < float('inf') for caller in callers)
            _check_drained(system, callers)


def test_a_daemon_keeps_away_from_a_leaving_server_after_a_kill() -> None:
    """The other daemons tell it; neither the list nor the store does."""
    with open_system('v1', 'v1', 'v1') as system:
        system.servers[0].leaving = True
        _call_all(system, DRAIN_S, 'a')
        system.daemons[0].kill()
        system.daemons[0].start()
        system.daemons[0].wait_until_ready()
        eventlet.sleep(1)
        before = len(system.servers[0].runs)
        callers = _call_all(system, 1, 'b')
        assert system.servers[0].runs[before:] == []
        _check_drained(system, callers)


def test_callers_resume_streams_away_from_a_leaving_server() -> None:
    """The engine that began them leaves, and its entry says ready."""
    with open_system('v1', 'v1', 'v1') as system:
        system.servers[0].leaving = True
        _call_all(system, DRAIN_S, 'a')
        before = len(system.servers[0].runs)
        for number, address in enumerate(system.list_caller_addresses()):
            for index in range(3):
                first = f's{number}-{index}'
                read_stream(address, first, 3)
                resumed = {'Resumes': first, 'Last-Event-Id': '3'}
                events = read_stream(address, f'r{first}', EVENTS, **resumed)
                assert len(events) == EVENTS - 3, events
        assert system.servers[0].runs[before:] == []


def test_a_server_that_drains_after_a_restoration_gets_no_work() -> None:
    """The store's revision is still lower than before the restoration."""
    with open_system('v1', 'v1', 'v1') as system:
        store = system.store
        saved = store.copy()
        for starts in range(5):
            put_server(store, 'i-9', '127.0.0.1:9', starts=starts)
        store.remove('servers', 'i-9')
        eventlet.sleep(1)
        store.refusing = '503 Service Unavailable'
        eventlet.sleep(1)
        store.restore(saved)
        store.refusing = ''
        eventlet.sleep(DRAIN_S + 1)
        address = store.read_spec('servers', 'i-0')['address']
        put_server(store, 'i-0', address, state='draining')
        eventlet.sleep(DRAIN_S)
        before = len(system.servers[0].runs)
        _check_drained(system, _call_all(system, 1, 'a'))
        assert system.servers[0].runs[before:] == []
