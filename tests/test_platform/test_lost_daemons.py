"""Tests of streams that callers resume after the loss of all daemons."""

from __future__ import annotations

import eventlet

from soak.servers import EVENTS
from standins.objects import StoreCopy
from tests.daemons import System, list_server, open_system, read_stream
from tests.functions import create_loader

load_tests = create_loader(__name__)

#: Events that a caller has received when all daemons are killed.
_RECEIVED = 3
_STREAMS = 9
#: Seconds for news to reach all daemons, also on a busy machine.
_SETTLE_S = 1.0
#: Seconds within which the daemons record the versions that serve.
_RECORD_TIMEOUT_S = 20
#: How often and after how many seconds a caller tries to resume a stream.
_TRIES = 3
_RETRY_S = 0.5


def _wait_until_recorded(system: System, versions: int = 1) -> None:
    with eventlet.Timeout(_RECORD_TIMEOUT_S):
        while _count_recorded(system) < versions:
            eventlet.sleep(0.1)


def _count_recorded(system: System) -> int:
    if not system.store.list_names('software-versions'):
        return 0
    return len(system.store.read_spec('software-versions', 'main'))


def _begin(system: System) -> None:
    _wait_until_recorded(system)
    addresses = system.list_caller_addresses()
    for number in range(_STREAMS):
        address = addresses[number % len(addresses)]
        assert read_stream(address, f'a-{number}', _RECEIVED)


def _kill_all(system: System) -> None:
    for daemon in system.daemons:
        daemon.kill()


def _start_all(system: System) -> None:
    for daemon in system.daemons:
        daemon.start()
    for daemon in system.daemons:
        daemon.wait_until_ready()
    eventlet.sleep(_SETTLE_S)


def _upgrade(system: System) -> None:
    """Replace the servers by two of another version."""
    for number in (2, 3):
        list_server(system, number, 'v2')
    eventlet.sleep(_SETTLE_S)
    for number in (0, 1):
        system.store.remove('servers', f'i-{number}')
    eventlet.sleep(_SETTLE_S)


def _resume(system: System, number: int) -> list[bytes]:
    addresses = system.list_caller_addresses()
    resumed = {'Resumes': f'a-{number}', 'Last-Event-Id': str(_RECEIVED)}
    for attempt in range(_TRIES):
        address = addresses[(number + attempt) % len(addresses)]
        identity = f'b-{number}-{attempt}'
        events = read_stream(address, identity, EVENTS, **resumed)
        if events:
            return events
        eventlet.sleep(_RETRY_S)
    return []


def _count_resumed(system: System) -> int:
    whole = EVENTS - _RECEIVED
    return sum(
        len(_resume(system, number)) == whole for number in range(_STREAMS)
    )


def test_streams_are_not_joined_after_the_loss_of_all_daemons() -> None:
    """The servers of the version that began them have just left."""
    with open_system('v1', 'v1') as system:
        _begin(system)
        _upgrade(system)
        _kill_all(system)
        _start_all(system)
        assert _count_resumed(system) == 0


def test_streams_are_not_joined_after_an_upgrade_without_daemons() -> None:
    """No daemon has seen both versions."""
    with open_system('v1', 'v1') as system:
        _begin(system)
        _kill_all(system)
        _upgrade(system)
        _start_all(system)
        assert _count_resumed(system) == 0


def test_streams_are_resumed_after_the_loss_of_all_daemons() -> None:
    """One version has served throughout, so it began them."""
    with open_system('v1', 'v1') as system:
        _begin(system)
        _kill_all(system)
        _start_all(system)
        assert _count_resumed(system) == _STREAMS


def _restore_store(system: System, saved: StoreCopy) -> None:
    """Restore the store; the servers write their entries again."""
    entries = {
        name: system.store.read_spec('servers', name)
        for name in system.store.list_names('servers')
    }
    system.store.refusing = '503 Service Unavailable'
    eventlet.sleep(1)
    system.store.restore(saved)
    for name, entry in entries.items():
        system.store.put('servers', name, entry)
    system.store.refusing = ''


def test_streams_of_a_version_that_the_store_forgot_are_not_joined() -> None:
    """Guards against records and members that a restored store has lost.

    It comes back from a copy that is older than the version that leaves.
    """
    with open_system('v1', 'v1') as system:
        _wait_until_recorded(system)
        saved = system.store.copy()
        saved.objects.pop('members')
        for number in (2, 3):
            list_server(system, number, 'v2')
        _wait_until_recorded(system, 2)
        _restore_store(system, saved)
        _begin(system)
        eventlet.sleep(2 * _SETTLE_S)
        for number in (2, 3):
            system.store.remove('servers', f'i-{number}')
        eventlet.sleep(3 * _SETTLE_S)
        assert len(system.store.list_names('members')) == len(system.daemons)
        _kill_all(system)
        _start_all(system)
        assert _count_resumed(system) == 0
