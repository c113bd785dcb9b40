"""Tests that no new work reaches servers that say that they leave."""

from __future__ import annotations

import random

import eventlet

from egretdale.state.outcomes import Ran
from tests.functions import create_loader
from tests.leaving import (
    DRAIN_S,
    EVENTS,
    LeavingScene,
    create_instance,
    open_leaving_scene,
)

load_tests = create_loader(__name__)

_RATE = 60.0
_SEEDS = 20


def _leave(scene: LeavingScene, *names: str) -> None:
    scene.servers.leaving.update(map(scene.servers.find_life, names))


def _check(scene: LeavingScene, since: float, served: float = 0.99) -> None:
    """Check that no request was late, and that callers were served."""
    late = scene.find_late()
    assert not late, (len(late), late[0])
    assert scene.told_at, 'no host passed on that a server leaves'
    share = scene.measure_served(since)
    assert share >= served, share
    assert all(
        ending.refused.ran == Ran.NO
        for ending in scene.endings
        if ending.refused is not None
    )


def test_a_server_that_says_so_gets_no_work_although_it_is_listed() -> None:
    """The list says that it is ready for as long as it runs."""
    for plain in (False, True):
        with open_leaving_scene() as scene:
            scene.send(_RATE, 1, plain=plain)
            _leave(scene, 'e0', 'e1')
            left_at = scene.hub.now
            scene.send(_RATE, 8, plain=plain, seed=2)
            eventlet.sleep(1)
            _check(scene, left_at)


def test_a_server_that_leaves_gets_no_work_of_many_hosts() -> None:
    """Each of many hosts has passed on only one of its responses or none."""
    with open_leaving_scene(hosts=195, servers=47) as scene:
        scene.send(400, 1)
        _leave(scene, *(f'e{index}' for index in range(16)))
        left_at = scene.hub.now
        scene.send(400, 6, seed=2)
        eventlet.sleep(1)
        _check(scene, left_at)


def test_other_hosts_and_their_allocator_learn_that_a_server_leaves() -> None:
    """Hosts that have not heard it themselves soon send nothing, too."""
    with open_leaving_scene() as scene:
        _leave(scene, 'e0')
        while not scene.told_at:
            scene.send(_RATE, 0.1)
        told_at = min(scene.told_at.values())
        scene.send(_RATE, 4, seed=2)
        assert not scene.list_reached('e0.1', told_at + 0.5)


def test_a_full_server_that_leaves_is_not_tried_again() -> None:
    """Responses that a request did not run say so, too."""
    with open_leaving_scene() as scene:
        _leave(scene, 'e0')
        scene.servers.full.add('e0')
        left_at = scene.hub.now
        scene.send(_RATE, 6)
        assert not scene.list_reached('e0.1', left_at + DRAIN_S)
        assert scene.measure_served() >= 0.99


def test_an_isolated_host_sends_no_work_to_a_server_that_leaves() -> None:
    """Neither an allocator nor another host or the list tells it anything."""
    with open_leaving_scene() as scene:
        host = scene.isolate('h0')
        _leave(scene, 'e0', 'e1')
        left_at = scene.hub.now
        for _ in range(400):
            eventlet.spawn_n(scene.call, host)
            eventlet.sleep(0.02)
        eventlet.sleep(1)
        assert ('e0.1', 'h0') in scene.told_at
        _check(scene, left_at)


def test_grants_of_an_allocator_that_knows_nothing_are_not_used() -> None:
    """The host knows that a server leaves; the others have not heard of it."""
    with open_leaving_scene() as scene:
        host = scene.isolate('h0')
        _leave(scene, 'e0')
        while ('e0.1', 'h0') not in scene.told_at:
            scene.call(host)
        eventlet.sleep(DRAIN_S + 0.1)
        scene.rejoin('h0')
        rejoined_at = scene.hub.now
        for _ in range(100):
            eventlet.spawn_n(scene.call, host)
            eventlet.sleep(0.02)
        eventlet.sleep(1)
        _check(scene, rejoined_at, served=1)


def test_an_older_list_does_not_bring_a_leaving_server_back() -> None:
    """The store has come back from an older copy, or a peer had one."""
    with open_leaving_scene() as scene:
        leaving = create_instance('e0', leaving=True)
        scene.list_servers(e0=leaving)
        scene.send(_RATE, 1)
        for after_s in (0, 5):
            eventlet.sleep(after_s)
            scene.list_servers()
            listed_at = scene.hub.now
            scene.send(_RATE, 3, seed=2)
            assert not scene.list_reached('e0.1', listed_at)
            assert scene.measure_served(listed_at) >= 0.99


def test_a_server_that_starts_again_is_used() -> None:
    """It has its name, and what was known of its former life is over."""
    with open_leaving_scene() as scene:
        _leave(scene, 'e0')
        scene.send(_RATE, 2)
        scene.servers.lives['e0'] = 7000
        scene.list_servers()
        # A host that was isolated tells late of the former life.
        scene.isolate('h0')
        eventlet.sleep(1)
        scene.rejoin('h0')
        began_at = scene.hub.now
        scene.send(_RATE, 4, seed=2)
        _check(scene, began_at)
        reached = len(scene.list_reached('e0.7000', began_at))
        assert reached > _RATE * 4 / 10, reached


def test_a_restarted_server_that_leaves_gets_no_work() -> None:
    """The list was old when it said so, and then says that it is ready."""
    with open_leaving_scene() as scene:
        scene.servers.lives['e0'] = round(scene.hub.now * 1000)
        eventlet.sleep(0.5)
        _leave(scene, 'e0')
        scene.send(_RATE, 1)
        eventlet.sleep(DRAIN_S)
        scene.list_servers()
        listed_at = scene.hub.now
        scene.send(_RATE, 2, seed=2)
        _check(scene, listed_at)


def test_streams_are_not_resumed_at_a_server_that_leaves() -> None:
    """Neither within their response nor by their callers."""
    with open_leaving_scene() as scene:
        _leave(scene, 'e0', 'e1', 'e2')
        scene.send(_RATE, 1)
        eventlet.sleep(DRAIN_S)
        resumed_at = scene.hub.now
        for number, host in enumerate(list(scene.hosts.values()) * 5):
            ending = scene.call(host, breaks=number % 2 > 0)
            assert ending.is_served(), ending
            resumed = scene.call(host, resumes=scene.last_request)
            assert resumed.is_served(EVENTS - 2), resumed
            # The retry budget of a host is for a few streams a second.
            eventlet.sleep(1)
        late = scene.find_late()
        assert not late, late[0]
        assert resumed_at < scene.hub.now


def test_streams_go_on_at_a_server_that_leaves() -> None:
    """What runs there is passed on to its end."""
    with open_leaving_scene(servers=1) as scene:
        host = scene.hosts['h0']
        threads = [eventlet.spawn(scene.call, host) for _ in range(5)]
        eventlet.sleep(0.01)
        _leave(scene, 'e0')
        assert all(thread.wait().is_served() for thread in threads)


def test_a_host_is_bound_by_responses_that_others_relayed_to_it() -> None:
    """It reached no server when it passed on that one leaves."""
    with open_leaving_scene() as scene:
        scene.servers.cut_off.add('h0')
        host = scene.hosts['h0']
        for _ in range(20):
            scene.call(host)
        _leave(scene, 'e0', 'e1')
        for _ in range(200):
            scene.call(host)
        assert ('e0.1', 'h0') in scene.told_at
        isolated = scene.isolate('h0')
        scene.servers.cut_off.clear()
        eventlet.sleep(DRAIN_S + 2)
        for _ in range(100):
            scene.call(isolated)
        assert not scene.find_late()
        assert scene.measure_served(scene.hub.now - 5) == 1


def test_the_last_servers_of_a_service_serve_until_they_have_drained() -> None:
    """Callers are served for a while, then refused truthfully."""
    with open_leaving_scene(servers=2) as scene:
        scene.send(_RATE, 1)
        _leave(scene, 'e0', 'e1')
        left_at = scene.hub.now
        scene.send(_RATE, 1, seed=2)
        assert scene.measure_served(left_at) == 1
        scene.send(_RATE, 4, seed=3)
        _check(scene, left_at, served=0)
        assert any(ending.refused for ending in scene.endings)
        for name in ('e2', 'e3'):
            scene.servers.lives[name] = 2
        scene.list_servers()
        listed_at = scene.hub.now
        scene.send(_RATE, 2, seed=4)
        _check(scene, listed_at, served=1)


def test_a_stream_is_resumed_at_the_last_servers_of_its_version() -> None:
    """They have just said that they leave, and the others run a newer one."""
    with open_leaving_scene(servers=4) as scene:
        scene.list_servers(
            **{
                f'e{index}': create_instance(
                    f'e{index}', software_version='v2' if index > 1 else 'v1'
                )
                for index in range(4)
            }
        )
        _leave(scene, 'e0', 'e1')
        scene.send(_RATE, 0.5)
        old = {'e0.1', 'e1.1'}
        joined = 0
        for host in scene.hosts.values():
            ending = scene.call(host, breaks=True)
            assert ending.is_served(), ending
            servers = set(ending.servers)
            assert servers <= old or not servers & old, servers
            joined += len(servers) > 1
        assert joined
        assert not scene.find_late()


def test_a_host_that_starts_again_learns_which_servers_leave() -> None:
    """The others tell it; the list still says that the server is ready."""
    with open_leaving_scene() as scene:
        _leave(scene, 'e0')
        scene.send(_RATE, 1)
        scene.restart('h1')
        eventlet.sleep(0.5)
        restarted_at = scene.hub.now
        eventlet.sleep(0.01)
        for _ in range(60):
            assert scene.call(scene.hosts['h1']).is_served()
        assert not scene.list_reached('e0.1', restarted_at)


def test_nothing_goes_round_the_list_of_the_host_that_sends() -> None:
    """Grants, resumed streams and relays of hosts with older lists do not."""
    for entry in (create_instance('e0', leaving=True), None):
        with open_leaving_scene() as scene:
            host = scene.hosts['h0']
            listed = {
                name: create_instance(name) for name in scene.servers.lives
            }
            listed['e0'] = entry
            scene.send(_RATE, 1)
            host.replace_instances(
                {name: held for name, held in listed.items() if held}
            )
            scene.servers.cut_off.add('h1')
            listed_at = scene.hub.now
            scene.send(_RATE, 3, seed=2)
            for _ in range(10):
                scene.call(host, breaks=True)
                scene.call(host, resumes=scene.last_request)
                eventlet.sleep(1)
            reached = scene.list_reached('e0.1', listed_at)
            assert 'h0' not in {arrival.host for arrival in reached}
            assert reached, 'hosts with an older list use the server'


def _play(scene: LeavingScene, source: random.Random) -> None:
    """Let servers leave and start again, in any order with other events."""
    for step in range(12):
        scene.send(_RATE, source.uniform(0.2, 1.5), seed=step)
        name = f'e{source.randrange(6)}'
        match source.randrange(7):
            case 0 | 1:
                _leave(scene, name)
            case 2:
                scene.servers.lives[name] = round(scene.hub.now * 1000)
                scene.list_servers()
            case 3:
                life = scene.servers.lives[name]
                entry = create_instance(name, life, leaving=True)
                scene.list_servers(**{name: entry})
            case 4 if len(scene.hosts) > 3:
                scene.isolate(source.choice(list(scene.hosts)))
            case 5 if scene.isolated:
                scene.rejoin(next(iter(scene.isolated)))
            case _:
                scene.restart(source.choice(list(scene.hosts)))


def test_no_request_is_late_whatever_happens() -> None:
    """Servers leave in random scenes with lost hosts and restarts."""
    for seed in range(_SEEDS):
        with open_leaving_scene(servers=6) as scene:
            # These servers never leave.
            scene.servers.lives.update(s0=1, s1=1)
            scene.list_servers()
            _play(scene, random.Random(seed))
            eventlet.sleep(1)
            late = scene.find_late()
            assert not late, (seed, late[0])
            assert scene.measure_served() >= 0.97, seed
