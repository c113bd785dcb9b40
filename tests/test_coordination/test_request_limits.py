"""Tests that hosts together keep the request limits of backend servers."""

from __future__ import annotations

from tests.functions import create_loader
from tests.limits import LimitScene, open_limit_scene

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
