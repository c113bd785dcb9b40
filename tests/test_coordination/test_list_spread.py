"""Tests that all hosts learn in time which backend servers leave."""

from __future__ import annotations

import random

import eventlet

from egretdale.coordination.instances import INSTANCE_KIND
from standins.models.store import StoreCopy
from tests.functions import create_loader
from tests.leaving import DRAIN_S
from tests.listed import ListFleet, open_list_fleet

load_tests = create_loader(__name__)

#: Seconds after a disruption of the platform or of a host's way to it from
#: which on the host is bound again.
_CONTACT_S = 3.0
_SERVERS = 12
_STEPS = 12


def _disrupt(fleet: ListFleet, source: random.Random, saved: StoreCopy) -> None:
    """Disrupt the platform, or the way of one host to it, for a time."""
    state = fleet.state
    kind = source.randrange(4)
    cut = set(source.sample(fleet.hosts, 1 + kind % 2))
    if kind < 2:
        state.cut |= cut
    else:
        state.down = True
    eventlet.sleep(source.uniform(0.2, 5))
    if kind == 3:
        state.store.restore(saved)
    state.cut.clear()
    state.down = False


def _write_again(fleet: ListFleet, running: dict[str, int]) -> None:
    """Let the servers write what a restored platform lacks."""
    store = fleet.state.store
    held = {
        entry.name: entry for entry in store.snapshot(INSTANCE_KIND).entries
    }
    for name in held.keys() - running:
        store.delete(INSTANCE_KIND, name, 0)
    for name, born in running.items():
        if name not in held or held[name].text != f'ready@{born}':
            store.put(INSTANCE_KIND, name, f'ready@{born}')


def _leave(fleet: ListFleet, source: random.Random, name: str) -> None:
    """Let a server leave, with or without saying so, beside one fault."""
    match source.randrange(4):
        case 0:
            fleet.silent.add(fleet.list_readers()[0])
        case 1:
            fleet.state.hung.add(fleet.list_readers()[0])
        case 2:
            fleet.state.slow_s = 0.1
    if source.random() < 0.5:
        fleet.state.store.put(INSTANCE_KIND, name, 'leaving@1')
        return
    fleet.state.store.delete(INSTANCE_KIND, name, 0)


def _play(fleet: ListFleet, source: random.Random) -> None:
    running = {f'e{index}': 1 for index in range(_SERVERS)}
    saved = fleet.state.store.copy()
    for step in range(_STEPS):
        if source.random() < 0.5:
            saved = fleet.state.store.copy()
        _disrupt(fleet, source, saved)
        eventlet.sleep(source.uniform(0, 1))
        _write_again(fleet, running)
        eventlet.sleep(_CONTACT_S)
        eventlet.sleep(source.uniform(0, 1))
        for host in fleet.hosts:
            assert fleet.list_ready(host) == running.keys(), (step, host)
        name = source.choice(sorted(running))
        running.pop(name)
        running[f'n{step}'] = 2 + step
        _leave(fleet, source, name)
        fleet.state.store.put(INSTANCE_KIND, f'n{step}', f'ready@{2 + step}')
        eventlet.sleep(DRAIN_S)
        late = [late for late in fleet.hosts if name in fleet.list_ready(late)]
        assert not late, (step, late)
        fleet.silent.clear()
        fleet.state.hung.clear()
        fleet.state.slow_s = 0.002


def test_no_host_uses_a_server_after_it_has_drained() -> None:
    """Whatever happened before, and beside a single fault."""
    for count, seeds in ((6, 8), (20, 4), (81, 1), (195, 1)):
        for seed in range(seeds):
            with open_list_fleet(count, _SERVERS) as fleet:
                _play(fleet, random.Random(seed))


def test_servers_whose_entries_lapsed_in_an_outage_stay_in_use() -> None:
    """They are registered again within two seconds of its end."""
    for count, outage_s in ((6, 2.4), (6, 4.2), (20, 2.8), (81, 4.5)):
        with open_list_fleet(count, _SERVERS) as fleet:
            listed = fleet.list_ready(fleet.hosts[0])
            assert len(listed) == _SERVERS
            lapsed = sorted(listed)[: _SERVERS // 2]
            fleet.state.down = True
            eventlet.sleep(outage_s)
            for name in lapsed:
                fleet.state.store.delete(INSTANCE_KIND, name, 0)
            fleet.state.down = False
            for step in range(40):
                eventlet.sleep(0.1)
                if step == 16:
                    _write_again(fleet, dict.fromkeys(listed, 1))
                for host in fleet.hosts:
                    assert fleet.list_ready(host) == listed, (count, step)
