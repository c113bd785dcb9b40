"""Tests of streams that callers resume after the loss of all daemons."""

from __future__ import annotations

import eventlet

from soak.servers import EVENTS
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


def _begin(system: System) -> None:
    with eventlet.Timeout(_RECORD_TIMEOUT_S):
        while not system.store.list_names('software-versions'):
            eventlet.sleep(0.1)
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
