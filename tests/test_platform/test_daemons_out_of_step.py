"""Tests of streams that clients resume at a daemon that is out of step."""

from __future__ import annotations

import signal
import tempfile
from collections.abc import Callable, Iterator
from contextlib import ExitStack, contextmanager
from dataclasses import dataclass
from functools import partial
from pathlib import Path

import eventlet

from soak.daemons import (
    choose_place,
    create_daemon,
    put_configuration,
    put_server,
)
from soak.proxies import FaultProxy, Harm
from soak.servers import EVENTS, SealedServer, count_runs
from soak.world import serve_program
from standins.objects import ObjectStoreProgram
from tests.daemons import System, list_server, read_stream
from tests.functions import create_loader

load_tests = create_loader(__name__)

_DAEMONS = 3
_STREAMS = 5
#: Events that a client has received when its stream breaks.
_RECEIVED = 3
#: Seconds in which daemons learn of each other and record the versions.
_SETTLE_S = 3.0
#: Seconds in which daemons learn of servers.
_LISTED_S = 0.5
_TRIES = 10
_RETRY_S = 0.5


@dataclass
class _LinkedSystem(System):
    """Daemons with links to the store that can be cut.

    :ivar links: links, by number of the daemon.
    """

    links: list[FaultProxy]

    def resume(self, daemon: int, identity: str, resumed: str) -> list[bytes]:
        """Resume a stream, at once and without a retry."""
        headers = {'Resumes': resumed, 'Last-Event-Id': str(_RECEIVED)}
        address = self.list_caller_addresses()[daemon]
        return read_stream(address, identity, EVENTS, **headers)


@contextmanager
def _open_system() -> Iterator[_LinkedSystem]:
    store = ObjectStoreProgram()
    put_configuration(store, 1)
    servers = [SealedServer(), SealedServer()]
    for number, server in enumerate(servers):
        put_server(store, f'i-{number}', serve_program(server), 'v1')
    store_address = serve_program(store)
    links = [FaultProxy(store_address) for _ in range(_DAEMONS)]
    places = [choose_place(f'front-{index}') for index in range(_DAEMONS)]
    seeds = tuple(place.addresses['control'] for place in places)
    with ExitStack() as stack:
        folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
        daemons = [
            create_daemon(place, folder, link.address, seeds=seeds)
            for place, link in zip(places, links, strict=True)
        ]
        for daemon in daemons:
            daemon.start()
            stack.callback(daemon.kill)
        for daemon in daemons:
            daemon.wait_until_ready()
        eventlet.sleep(_SETTLE_S)
        system = _LinkedSystem(daemons, servers, store, links)
        # The daemon reads the record of the versions.
        assert system.resume(_DAEMONS - 1, 'unknown', 'before')
        yield system


def _upgrade(system: _LinkedSystem) -> None:
    """Replace the servers, and begin streams at the other version."""
    for number in (2, 3):
        list_server(system, number, 'v2')
    for number in (0, 1):
        system.store.remove('servers', f'i-{number}')
    eventlet.sleep(_LISTED_S)
    for number in range(_STREAMS):
        address = system.list_caller_addresses()[number % (_DAEMONS - 1)]
        assert read_stream(address, f'a-{number}', _RECEIVED)


def _cut_off(system: _LinkedSystem, resume: Callable[[], None]) -> None:
    system.links[-1].harm = Harm.SILENCE
    _upgrade(system)
    resume()
    system.links[-1].harm = Harm.NONE


def _stand_still(system: _LinkedSystem, resume: Callable[[], None]) -> None:
    system.daemons[-1].signal(signal.SIGSTOP)
    _upgrade(system)
    eventlet.spawn_after(_LISTED_S, system.daemons[-1].signal, signal.SIGCONT)
    resume()


def _resume_all(system: _LinkedSystem) -> None:
    threads = [
        eventlet.spawn(
            system.resume, _DAEMONS - 1, f'b-{number}', f'a-{number}'
        )
        for number in range(_STREAMS)
    ]
    for thread in threads:
        thread.wait()


def _count_whole(system: _LinkedSystem) -> int:
    whole = 0
    for number in range(_STREAMS):
        for attempt in range(_TRIES):
            identity = f'c-{number}-{attempt}'
            events = system.resume(_DAEMONS - 1, identity, f'a-{number}')
            if len(events) == EVENTS - _RECEIVED:
                whole += 1
                break
            eventlet.sleep(_RETRY_S)
    return whole


def test_no_stream_is_joined_at_a_daemon_that_is_out_of_step() -> None:
    """It learns the version that began the streams when it is in step again."""
    for be_out_of_step in (_cut_off, _stand_still):
        with _open_system() as system:
            be_out_of_step(system, partial(_resume_all, system))
            old = count_runs(system.servers[:2])
            assert set(old) == {'unknown'}, (be_out_of_step, old)
            assert _count_whole(system) == _STREAMS
            assert set(count_runs(system.servers[:2])) == {'unknown'}
