"""Tests of the holder of duties in random scenes."""

from __future__ import annotations

import random

import eventlet

from egretdale.coordination.duty_lease import DutyLease, StoredTerm
from egretdale.coordination.ports import StoredObject
from standins.virtual.hub import use_virtual_time
from tests.duty_scenes import EPOCH_S, LEASE_S, WINDOW_S, Scene, find_breaches
from tests.functions import create_loader

load_tests = create_loader(__name__)

_SCENE_S = 60.0


class _Impatient(DutyLease):
    """Does not wait for the end of its predecessor's lease."""

    def _has_ended(self, stored: StoredObject, term: StoredTerm) -> bool:
        return True


class _Forgetful(DutyLease):
    """Counts its terms in memory."""

    terms = 0

    def _begin_term(self, *arguments: object) -> bool:
        held = super()._begin_term(*arguments)
        if self.token:
            self.terms += 1
            self.token = self.terms
        return held


def _freeze(scene: Scene) -> None:
    name = scene.find_holder()
    scene.faults.frozen.add(name)
    if scene.source.random() < 0.5:
        scene.announce(name, 4)
    eventlet.sleep(scene.source.choice((0.3, 2, 4, 7)))
    scene.faults.frozen.discard(name)
    if name in scene.hosts:
        eventlet.sleep(0.5)
        scene.restart_host(name)


def _kill(scene: Scene) -> None:
    name = scene.find_holder()
    scene.kill_host(name)
    eventlet.sleep(scene.source.uniform(0.05, 3))
    scene.start_host(name)


def _cut(scene: Scene) -> None:
    name = scene.find_holder()
    scene.platform.cut.add(name)
    is_missed = scene.source.random() < 0.7
    if is_missed:
        scene.announce(name, 4)
    if scene.source.random() < 0.5:
        _step_clock(scene)
    for other in scene.names:
        scene.deaf.add((name, other))
    eventlet.sleep(scene.source.uniform(1, 6))
    scene.deaf.clear()
    scene.platform.cut.discard(name)
    if is_missed and name in scene.hosts:
        scene.announce(name, 0)


def _lower(scene: Scene) -> None:
    scene.platform.down = True
    eventlet.sleep(scene.source.uniform(1, 6))
    scene.platform.down = False


def _slow(scene: Scene) -> None:
    scene.platform.slow_s = 0.4
    scene.interface.transit_s = 0.5
    eventlet.sleep(4)
    scene.platform.slow_s = 0.002
    scene.interface.transit_s = 0.02


def _lose(scene: Scene) -> None:
    scene.platform.lose_replies = scene.source.random() < 0.5
    scene.interface.lose_answers = True
    eventlet.sleep(3)
    scene.platform.lose_replies = False
    scene.interface.lose_answers = False


def _silence(scene: Scene) -> None:
    scene.interface.down = True
    eventlet.sleep(3)
    scene.interface.down = False


def _restore(scene: Scene) -> None:
    saved = scene.platform.store.copy()
    eventlet.sleep(scene.source.uniform(0, 8))
    if scene.source.random() < 0.5:
        name = scene.find_holder()
        scene.kill_host(name)
        eventlet.spawn_after(0.2, scene.start_host, name)
    scene.platform.store.restore(saved)


def _step_clock(scene: Scene) -> None:
    name = scene.find_holder()
    scene.offsets[name] = scene.source.uniform(-20, 20)


def _roll(scene: Scene) -> None:
    for name in scene.names[:6]:
        scene.restart_host(name)


_TROUBLES = (
    _freeze,
    _kill,
    _cut,
    _lower,
    _slow,
    _lose,
    _silence,
    _restore,
    _step_clock,
    _roll,
)


def _play(scene: Scene, troubles: int = 8) -> list[str]:
    source = random.Random(scene.seed + 1000)
    eventlet.spawn(scene.send_requests, 20, _SCENE_S)
    eventlet.sleep(4)
    for _ in range(troubles):
        trouble = source.choice(_TROUBLES)
        task = eventlet.spawn(trouble, scene)
        if source.random() < 0.7:
            task.wait()
        eventlet.sleep(source.uniform(0, 4))
    eventlet.sleep(max(0, _SCENE_S - scene.hub.now) + 15)
    for host in scene.hosts.values():
        host.tasks.stop()
    return find_breaches(scene.interface.arrivals)


def test_calls_in_random_scenes_are_those_of_one_holder() -> None:
    """Whatever fails, no call breaks the rule, and calls go on afterwards."""
    for count, seeds in ((3, 80), (76, 3), (195, 1)):
        for seed in range(seeds):
            with use_virtual_time() as hub:
                scene = Scene(hub, seed, count)
                breaches = _play(scene)
                ended_at = hub.now
            assert not breaches, (count, seed, breaches)
            last = scene.interface.arrivals[-1]
            assert last.at > ended_at - 3, (count, seed, last)


def test_each_fault_of_a_holder_is_found() -> None:
    """Mutants of the lease break the rule in some scenes."""
    mutants = (
        {'create_lease': _Impatient},
        {'create_lease': _Forgetful},
        {'by_wall_clock': True},
    )
    for mutant in mutants:
        found = []
        for seed in range(60):
            with use_virtual_time() as hub:
                found += _play(Scene(hub, seed, 3, **mutant))
            if found:
                break
        assert found, mutant


def test_a_planned_stop_hands_over_at_once() -> None:
    """The successor need not wait; only a former holder does."""
    with use_virtual_time() as hub:
        scene = Scene(hub, 1, 3)
        eventlet.sleep(10)
        stopped = scene.find_holder()
        eventlet.spawn(scene.restart_host, stopped)
        eventlet.sleep(5)
    calls = [
        call for call in scene.interface.arrivals if call.subject[-1] == 'x'
    ]
    pauses = [
        after.at - before.at
        for before, after in zip(calls, calls[1:])
        if before.host != after.host
    ]
    assert pauses, calls
    # Hosts learn of the stop within 1.5 s in the scene.
    assert pauses[0] < 2.2, pauses
    assert max(pauses) < LEASE_S + 1, pauses


def test_usage_is_reported_as_it_was() -> None:
    """Most windows are exact, and nearly all within a twentieth."""
    windows = 0
    right = 0
    for seed in range(10):
        with use_virtual_time() as hub:
            scene = Scene(hub, seed, 3)
            _play(scene, troubles=5)
        reports = {
            call.content[0]: dict(call.content[1])
            for call in scene.interface.arrivals
            if call.subject == 'usage'
        }
        first = int(EPOCH_S // WINDOW_S)
        for window in range(first, first + 12):
            truth = sum(scene.truth[window].values())
            told = sum(reports.get(window, {}).values())
            windows += 1
            right += abs(truth - told) <= 0.05 * truth
    print(f'{right} of {windows} windows right')
    assert right >= windows * 0.75, (right, windows)
