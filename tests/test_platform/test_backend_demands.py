"""Tests of what backend servers ask for, with real daemon processes."""

from __future__ import annotations

import random

import eventlet

from egretdale.util.clocks import read_hub_clock
from soak.clients import Client
from soak.servers import EVENTS
from tests.daemons import open_system, read_stream
from tests.functions import create_loader
from tests.limits import ALLOWANCE, CONTACT_S, TOLERANCE, WINDOW_S

load_tests = create_loader(__name__)

_CLIENTS = 24
_LIMIT_PER_S = 2.0
#: Events that a caller has received when its daemon is killed.
_RECEIVED = 3
_STREAMS = 12
_POLL_INTERVAL_S = 0.02
#: Seconds for news to reach all daemons, also on a busy machine.
_SETTLE_S = 2.0


def test_daemons_keep_the_limit_of_a_backend_server() -> None:
    """All daemons together send it no more than it accepts."""
    with open_system('v1', 'v1', 'v1') as system:
        addresses = system.list_caller_addresses()
        clients = [
            Client(f'c{number}', addresses, random.Random(number))
            for number in range(_CLIENTS)
        ]
        for client in clients:
            eventlet.spawn(client.run)
        limited = system.servers[0]
        allowed = TOLERANCE * _LIMIT_PER_S * WINDOW_S + ALLOWANCE
        while len(limited.arrived_at) <= allowed:
            eventlet.sleep(_POLL_INTERVAL_S)
        limited.request_limit = str(_LIMIT_PER_S)
        stated_at = read_hub_clock()
        eventlet.sleep(CONTACT_S + WINDOW_S + 1)
        for client in clients:
            client.stopping = True
        counted = [
            at for at in limited.arrived_at if at >= stated_at + CONTACT_S
        ]
        for end in counted:
            count = sum(end - WINDOW_S < at <= end for at in counted)
            assert count <= allowed, (count, allowed)
        assert counted
        attempts = [entry for sender in clients for entry in sender.attempts]
        served = sum(entry.is_served() for entry in attempts)
        assert served > len(attempts) / 2


def test_callers_resume_streams_at_their_version_after_a_kill() -> None:
    """The daemon that began them and one engine of each version are lost."""
    versions = ('v1', 'v2', 'v1', 'v2')
    with open_system(*versions) as system:
        addresses = system.list_caller_addresses()
        for number in range(_STREAMS):
            events = read_stream(addresses[0], f'a-{number}', _RECEIVED)
            assert len(events) >= _RECEIVED
        eventlet.sleep(_SETTLE_S)
        system.daemons[0].kill()
        for number in (0, 1):
            system.store.remove('servers', f'i-{number}')
        eventlet.sleep(_SETTLE_S)
        for number in range(_STREAMS):
            resumed = {'Resumes': f'a-{number}', 'Last-Event-Id': '3'}
            address = addresses[1 + number % 2]
            events = read_stream(address, f'b-{number}', EVENTS, **resumed)
            assert len(events) == EVENTS - _RECEIVED, events
        ran = {
            identity: version
            for version, server in zip(versions, system.servers, strict=True)
            for identity in server.runs
        }
        began = [ran[f'a-{index}'] for index in range(_STREAMS)]
        went_on = [ran[f'b-{index}'] for index in range(_STREAMS)]
        assert set(began) == {'v1', 'v2'}
        assert went_on == began
