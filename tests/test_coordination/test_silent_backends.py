"""Tests of sound backend servers that fall silent for a while."""

from __future__ import annotations

import eventlet

from tests.functions import create_loader
from tests.partitions import PartitionScene, open_partition_scene

load_tests = create_loader(__name__)

_RATE = 40.0
#: More requests in a pause than there are idle connections.
_HIGH_RATE = 160.0
_PAUSE_S = 1.3


def test_servers_that_fall_silent_for_a_second_are_used_on() -> None:
    """Their requests wait, and no host takes itself for partitioned."""
    with open_partition_scene() as scene:
        _check_silences(scene, 5, _RATE)


def test_many_hosts_use_servers_on_that_fall_silent() -> None:
    """Also if each host has few requests at each server."""
    with open_partition_scene(hosts=195, servers=52) as scene:
        _check_silences(scene, 52, 200)


def test_connections_that_hang_for_a_second_are_no_partition() -> None:
    """The queues of all servers for new connections are full."""
    for plain in (False, True):
        with open_partition_scene() as scene:
            _check_silences(scene, 5, _HIGH_RATE, full=5, plain=plain)


def test_requests_go_elsewhere_while_some_connections_hang() -> None:
    """Of five servers three stand still."""
    for plain in (False, True):
        with open_partition_scene() as scene:
            _check_silences(scene, 3, _HIGH_RATE, full=3, plain=plain)


def test_requests_wait_for_the_few_servers_of_a_small_service() -> None:
    """One failed connection is no partition, either."""
    for plain in (False, True):
        for servers in (1, 2):
            with open_partition_scene(servers=servers) as scene:
                _check_silences(
                    scene, servers, 20 * servers, full=servers, plain=plain
                )


def test_many_hosts_take_full_servers_for_no_partition() -> None:
    """Also if each host has few requests at each server."""
    with open_partition_scene(hosts=60, servers=6) as scene:
        _check_silences(scene, 6, 100, full=6)


def _watch(scene: PartitionScene, cut_off: set[str]) -> None:
    while True:
        cut_off.update(
            name for name, host in scene.hosts.items() if host.is_cut_off()
        )
        eventlet.sleep(0.05)


def _check_silences(
    scene: PartitionScene,
    servers: int,
    rate: float,
    *,
    full: int = 0,
    plain: bool = False,
) -> None:
    """Check that each request is served once although servers are silent.

    :param servers: number of silent ones.
    :param full: number of those to which new connections hang.
    """
    cut_off: set[str] = set()
    watch = eventlet.spawn(_watch, scene, cut_off)
    scene.send(rate, 2, plain=plain)
    for _ in range(4):
        until = scene.hub.now + _PAUSE_S
        for number in range(servers):
            scene.servers.silent_until[f'e{number}'] = until
        for number in range(full):
            scene.servers.full_until[f'e{number}'] = until
        scene.send(rate, 3, plain=plain, seed=2)
    eventlet.sleep(3)
    watch.kill()
    assert not cut_off, cut_off
    assert not scene.refused, scene.refused[:3]
    served = scene.measure_served(0, scene.hub.now, list(scene.hosts))
    assert served == 1, served
    assert max(scene.servers.runs.values()) == 1
    took = [took_s for times in scene.took.values() for took_s in times]
    assert max(took) < _PAUSE_S + 0.9, max(took)
