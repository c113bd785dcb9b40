"""Tests that a part that crashes engines is kept from them."""

from __future__ import annotations

import random

import eventlet

from egretdale.state.outcomes import Ran, Reason
from tests.crashes import (
    ALLOWED_ARRIVALS,
    COMMON_PART,
    COUNTED_CRASHES,
    CrashScene,
    open_crash_scene,
)
from tests.crashing_engines import CONTACT_S, DEADLY_PART
from tests.functions import create_loader

load_tests = create_loader(__name__)

_BEFORE_S = 10.0
_DAY_S = 30.0


def _play(scene: CrashScene, **rates: float) -> None:
    scene.send(_BEFORE_S, seed=9, **{**rates, 'deadly_rate': 0.0001})
    scene.send(_DAY_S, **rates)


def _check_arrivals(scene: CrashScene) -> None:
    late = scene.engines.count_late_arrivals(COUNTED_CRASHES)
    assert late <= ALLOWED_ARRIVALS, (late, len(scene.engines.crashed_at))


def _check_sound_requests(scene: CrashScene) -> None:
    """Check that sound requests with the same first part begin as before."""
    crashes = scene.engines.crashed_at[:COUNTED_CRASHES]
    since = crashes[-1] + 2 * CONTACT_S
    before = scene.measure_begun(0, _BEFORE_S, (COMMON_PART,))
    until = scene.hub.now - 2
    after = scene.measure_begun(since, until, (COMMON_PART,))
    assert after >= before / 2, (before, after)
    assert scene.measure_begun(since, until) > 0.95


def test_requests_that_crash_engines_are_recognised_by_their_part() -> None:
    """Requests with a part that crashes engines stop reaching them."""
    with open_crash_scene() as scene:
        _play(scene)
        assert scene.engines.crashed_at
        _check_arrivals(scene)


def test_requests_beside_those_that_crash_engines_are_served() -> None:
    """Sound requests that share their first part begin as often as before."""
    with open_crash_scene() as scene:
        _play(scene)
        _check_sound_requests(scene)


def test_rare_requests_beside_those_that_crash_engines_are_served() -> None:
    """Only one in three requests with their first part is sound."""
    with open_crash_scene() as scene:
        scene.send(_BEFORE_S, deadly_rate=0.0001, common_share=0.05)
        scene.send(60, common_share=0.0125)
        _check_sound_requests(scene)
        _check_arrivals(scene)


def test_many_hosts_recognise_a_part_that_crashes_engines() -> None:
    """Hosts tell each other, as each one sees few crashes."""
    with open_crash_scene(hosts=195, engines=47) as scene:
        _play(scene, rate=80, deadly_rate=4)
        assert scene.engines.crashed_at
        _check_arrivals(scene)
        _check_sound_requests(scene)


def test_a_part_is_recognised_on_engines_that_keep_their_names() -> None:
    """A restarted engine may be listed under the same name."""
    with open_crash_scene() as scene:
        scene.engines.renames = False
        _play(scene)
        _check_arrivals(scene)
        _check_sound_requests(scene)


def test_refusals_of_a_part_say_that_it_was_not_run() -> None:
    """The caller learns why, and when to come back."""
    with open_crash_scene() as scene:
        _play(scene)
        refused = [
            refusal
            for at, shared, refusal in scene.refused
            if DEADLY_PART in shared and refusal.ran == Ran.NO
        ]
        assert refused[-1].reason == Reason.PART_QUARANTINED
        assert refused[-1].retry_after_s > 1


def test_a_host_that_starts_later_learns_the_part() -> None:
    """Also when the hosts that saw the crashes are lost."""
    with open_crash_scene() as scene:
        _play(scene)
        before = len(scene.engines.crashed_at)
        for name in list(scene.hosts):
            scene.restart_host(name, scene.engines)
            scene.send(1, deadly_rate=0.0001)
            scene.send(2, rate=20, deadly_rate=5)
        assert len(scene.engines.crashed_at) <= before + 1


def test_a_part_that_no_longer_crashes_engines_is_served_again() -> None:
    """Single requests find out, after longer and longer times."""
    with open_crash_scene() as scene:
        _play(scene)
        scene.engines.deadly.clear()
        scene.send(1800, rate=1, deadly_rate=1)
        since = scene.hub.now - 60
        begun = [at for at, shared in scene.begun if DEADLY_PART in shared]
        assert sum(at >= since for at in begun) > 20


def test_a_part_that_still_crashes_engines_is_hardly_tried() -> None:
    """In half an hour few requests reach engines."""
    with open_crash_scene() as scene:
        _play(scene)
        scene.send(1800, rate=1, deadly_rate=1)
        _check_arrivals(scene)


def test_the_loss_of_many_engines_at_once_blames_no_part() -> None:
    """Parts that are in progress at all of them are still served elsewhere."""
    with open_crash_scene(engines=12) as scene:
        for seed in range(5):
            scene.send(5, deadly_rate=0.0001, seed=seed)
            for engine in list(scene.engines.engines.values())[:6]:
                scene.engines.crash(engine)
        scene.send(5, deadly_rate=0.0001)
        reasons = {refusal.reason for _, _, refusal in scene.refused}
        assert Reason.PART_QUARANTINED not in reasons, reasons


def test_frequent_crashes_without_a_cause_blame_no_part() -> None:
    """Engines that crash one after the other have no part in common."""
    for seed in range(4):
        source = random.Random(seed)
        with open_crash_scene() as scene:
            eventlet.spawn_n(_crash_often, scene, source)
            scene.send(60, deadly_rate=0.0001, seed=seed)
            reasons = [refusal.reason for _, _, refusal in scene.refused]
            blamed = reasons.count(Reason.PART_QUARANTINED)
            assert blamed <= len(scene.sent) / 500, (seed, blamed)


def _crash_often(scene: CrashScene, source: random.Random) -> None:
    while True:
        eventlet.sleep(1.5)
        running = [
            engine
            for engine in scene.engines.engines.values()
            if engine.running
        ]
        scene.engines.crash(source.choice(running))


def test_broken_connections_blame_no_part() -> None:
    """An engine that accepts connections has not crashed."""
    with open_crash_scene() as scene:
        for seed in range(20):
            scene.send(1, deadly_rate=0.0001, seed=seed)
            for engine in scene.engines.engines.values():
                engine.lives += 1
        reasons = {refusal.reason for _, _, refusal in scene.refused}
        assert Reason.PART_QUARANTINED not in reasons, reasons


def test_the_loss_of_all_engines_blames_no_part_for_long() -> None:
    """Parts in progress are tried as soon as engines are back."""
    with open_crash_scene() as scene:
        for seed in range(3):
            scene.send(10, deadly_rate=0.0001, seed=seed)
            for engine in list(scene.engines.engines.values()):
                scene.engines.crash(engine)
            scene.send(20, deadly_rate=0.0001, seed=seed + 9)
            served = scene.measure_begun(scene.hub.now - 13, scene.hub.now - 2)
            assert served > 0.98, (seed, served)
