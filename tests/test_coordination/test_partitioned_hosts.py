"""Tests of hosts that do not reach the backend servers."""

from __future__ import annotations

import eventlet

from egretdale.state.outcomes import Ran
from tests.functions import create_loader
from tests.partitions import (
    CONTACT_S,
    Partition,
    PartitionScene,
    open_partition_scene,
)

load_tests = create_loader(__name__)

_RATE = 40.0
_PARTITION_S = 12.0


def _partition(
    scene: PartitionScene,
    cut: list[str],
    partition: Partition,
    rate: float = _RATE,
    *,
    plain: bool = False,
) -> float:
    """Partition hosts, and return the time at which that began."""
    scene.send(rate, 3, plain=plain)
    began_at = scene.hub.now
    scene.servers.partitions.update(dict.fromkeys(cut, partition))
    scene.send(rate, _PARTITION_S, plain=plain, seed=2)
    eventlet.sleep(4)
    return began_at


def test_callers_of_partitioned_hosts_are_served_by_others() -> None:
    """Whatever happens to the connections of these hosts."""
    for partition in Partition:
        with open_partition_scene() as scene:
            cut = ['h0', 'h1', 'h2']
            began_at = _partition(scene, cut, partition)
            scene.check(began_at + CONTACT_S, began_at + _PARTITION_S)


def test_plain_requests_of_partitioned_hosts_are_served_by_others() -> None:
    """Requests without a prompt are placed by the host itself."""
    for partition in Partition:
        with open_partition_scene() as scene:
            cut = ['h0', 'h1']
            began_at = _partition(scene, cut, partition, plain=True)
            scene.check(began_at + CONTACT_S, began_at + _PARTITION_S)


def test_many_partitioned_hosts_are_served_by_the_few_others() -> None:
    """Most hosts of a large system are partitioned from many servers."""
    for partition in (Partition.HANGING, Partition.REFUSED):
        with open_partition_scene(hosts=195, servers=52) as scene:
            cut = [f'h{index}' for index in range(117)]
            began_at = _partition(scene, cut, partition, rate=300)
            scene.check(began_at + CONTACT_S, began_at + _PARTITION_S)


def test_relayed_requests_are_not_late() -> None:
    """A host that knows that it is partitioned tries no server first."""
    with open_partition_scene() as scene:
        began_at = _partition(scene, ['h0', 'h1', 'h2'], Partition.HANGING)
        assert began_at
        took = sorted(scene.took['h0'])
        assert took[int(len(took) * 0.9)] < 0.4, took[-20:]


def test_requests_run_once_although_they_are_relayed() -> None:
    """Of requests that may not run twice, none does."""
    for partition in Partition:
        with open_partition_scene() as scene:
            _partition(scene, ['h0', 'h1', 'h2'], partition)
            assert scene.servers.runs
            repeated = [
                request_id
                for request_id, count in scene.servers.runs.items()
                if count > 1
            ]
            assert not repeated, repeated


def test_refusals_are_true_when_all_hosts_are_partitioned() -> None:
    """Nothing runs, and callers are told so at once."""
    with open_partition_scene() as scene:
        _partition(scene, list(scene.hosts), Partition.HANGING)
        assert any(refusal.ran == Ran.NO for _, refusal in scene.refused)


def test_a_host_uses_the_servers_again_after_a_partition() -> None:
    """It notices without a request that fails."""
    with open_partition_scene() as scene:
        _partition(scene, ['h0', 'h1', 'h2'], Partition.HANGING)
        scene.servers.partitions.clear()
        eventlet.sleep(2)
        since = scene.hub.now
        for host in scene.hosts.values():
            assert not host.is_cut_off()
        scene.send(_RATE, 4, seed=3)
        eventlet.sleep(1)
        served = scene.measure_served(since, scene.hub.now, ['h0', 'h1', 'h2'])
        assert served > 0.98, served
