"""Tests that hosts together keep the request limits of backend servers."""

from __future__ import annotations

from egretdale.state.members import find_owner
from egretdale.state.outcomes import Ran
from tests.functions import create_loader
from tests.limits import HostClient, LimitScene, open_limit_scene

load_tests = create_loader(__name__)

_LIMIT_PER_S = 1.9
_RATE = 40.0
_STATED_AT = 4.0
_LIMITED = ('e1', 'e2')


def _find_excess(
    scene: LimitScene, rate: float = _RATE, *, plain: bool = False
) -> list[str]:
    scene.send(rate, _STATED_AT, plain=plain)
    scene.servers.limits.update(dict.fromkeys(_LIMITED, _LIMIT_PER_S))
    scene.send(rate, 12, plain=plain, seed=2)
    return [
        excess
        for server in _LIMITED
        for excess in scene.servers.find_excess(server, _STATED_AT)
    ]


def test_prompts_exceed_no_limit_of_an_engine() -> None:
    """All hosts together send an engine no more than it accepts."""
    with open_limit_scene() as scene:
        excess = _find_excess(scene)
        assert not excess, (len(excess), excess[0], excess[-1])


def test_hosts_without_an_allocator_exceed_no_limit() -> None:
    """The sum over all hosts holds although each one chooses by itself."""
    with open_limit_scene(policy='alone') as scene:
        excess = _find_excess(scene)
        assert not excess, (len(excess), excess[0], excess[-1])


def test_plain_requests_exceed_no_limit_of_a_server() -> None:
    """Requests without a prompt are limited like prompts."""
    with open_limit_scene() as scene:
        excess = _find_excess(scene, plain=True)
        assert not excess, (len(excess), excess[0], excess[-1])


def test_many_hosts_exceed_no_limit() -> None:
    """The limit does not grow with the number of hosts."""
    with open_limit_scene(hosts=120) as scene:
        excess = _find_excess(scene, rate=60)
        assert not excess, (len(excess), excess[0], excess[-1])


def test_a_new_allocator_exceeds_no_limit() -> None:
    """The hosts tell it the limits that the lost one knew."""
    with open_limit_scene() as scene:
        scene.send(_RATE, _STATED_AT)
        scene.servers.limits.update(dict.fromkeys(_LIMITED, _LIMIT_PER_S))
        scene.send(_RATE, 4, seed=2)
        table = next(iter(scene.hosts.values())).mesh.table
        scene.lose_host(find_owner(table, 'prefill/prompts/1/0'))
        scene.send(_RATE, 8, seed=3)
        for server in _LIMITED:
            assert not scene.servers.find_excess(server, _STATED_AT)
            used = scene.servers.count(server, _STATED_AT + 5)
            assert used > 6, used


def test_a_restarted_allocator_exceeds_no_limit() -> None:
    """The hosts tell it all limits with their first message."""
    with open_limit_scene() as scene:
        scene.send(_RATE, _STATED_AT)
        scene.servers.limits.update(dict.fromkeys(_LIMITED, _LIMIT_PER_S))
        scene.send(_RATE, 4, seed=2)
        table = next(iter(scene.hosts.values())).mesh.table
        owner = find_owner(table, 'prefill/prompts/1/0')
        for seed in range(3, 9):
            scene.restart_host(owner, HostClient(owner, scene.servers))
            before = len(scene.servers.arrivals)
            scene.send(_RATE, 1, seed=seed)
            since = scene.servers.arrivals[before:]
            for server in _LIMITED:
                # The restarted host itself knows no limit at first.
                count = sum(
                    arrival.server == server and arrival.host != owner
                    for arrival in since
                )
                assert count <= 1 + _LIMIT_PER_S, (seed, server, count)


def test_limits_that_change_are_kept() -> None:
    """A lower limit is in force three seconds after it was first stated."""
    with open_limit_scene() as scene:
        for stated_at, limit_per_s in ((0, 6.0), (8, 1.0), (16, 3.5)):
            scene.servers.limits['e1'] = limit_per_s
            scene.send(_RATE, 8, seed=stated_at)
            assert not scene.servers.find_excess('e1', stated_at)


def test_a_server_that_accepts_nothing_is_hardly_used() -> None:
    """Single requests notice when its limit ends."""
    with open_limit_scene() as scene:
        scene.servers.limits['e1'] = 0
        scene.send(_RATE, 12)
        assert not scene.servers.find_excess('e1', 0)
        used = scene.servers.count('e1', 4)
        assert used > 0


def test_a_server_without_a_limit_is_used_again() -> None:
    """Two seconds after its limit ended it gets its share of the requests."""
    for plain in (False, True):
        with open_limit_scene() as scene:
            scene.servers.limits['e1'] = _LIMIT_PER_S
            scene.send(_RATE, 8, plain=plain)
            scene.servers.limits.pop('e1')
            scene.send(_RATE, 2, plain=plain, seed=2)
            scene.send(_RATE, 4, plain=plain, seed=3)
            used = scene.servers.count('e1', 10)
            assert used > _RATE * 4 / 5 / 2, (plain, used)


def test_limited_servers_are_used_up_to_their_limits() -> None:
    """Callers get what all servers accept, and others a true refusal."""
    for plain in (False, True):
        with open_limit_scene() as scene:
            scene.servers.limits.update({f'e{index}': 4 for index in range(5)})
            scene.send(_RATE, 15, plain=plain)
            served = sum(at > 5 for at in scene.served)
            assert served > 0.9 * 10 * 5 * 4, (plain, served)
            for index in range(5):
                assert not scene.servers.find_excess(f'e{index}', 0)
            assert scene.refused
            for refused in scene.refused:
                assert refused.ran == Ran.NO
                assert 0 < refused.retry_after_s < 5


def test_servers_without_a_limit_serve_what_limited_ones_do_not() -> None:
    """A limit of some servers refuses no request that others have room for."""
    with open_limit_scene() as scene:
        scene.servers.limits.update(dict.fromkeys(_LIMITED, _LIMIT_PER_S))
        scene.send(_RATE, 10)
        assert not scene.refused
