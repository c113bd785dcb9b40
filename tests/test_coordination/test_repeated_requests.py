"""Tests that a request that crashes engines is kept from them."""

from __future__ import annotations

import eventlet

from egretdale.state.outcomes import Ran
from tests.crashes import ALLOWED_ARRIVALS
from tests.crashing_engines import CONTACT_S
from tests.functions import create_loader
from tests.repeats import (
    COUNTED_CRASHES,
    DEADLY_BODY,
    POPULAR_BODY,
    Load,
    RepeatScene,
    open_repeat_scene,
)

load_tests = create_loader(__name__)

_BEFORE_S = 10.0
_DAY_S = 60.0
_SOUND = Load(deadly_rate=0)
_LOAD = Load()
_MANY_HOSTS = 195
_TWO_BODIES = (b'deadly-1', b'deadly-2')
_TWICE_LOAD = Load(deadly_rate=4)
#: Seconds until an engine crashes, in which it begins to run more requests.
_LONG_CRASH_DELAY_S = 0.7
_LARGE_SOUND = Load(rate=80, deadly_rate=0)
_LARGE_LOAD = Load(rate=80, deadly_rate=4)


def _check_arrivals(scene: RepeatScene) -> None:
    late = scene.count_late_arrivals()
    crashes = len(scene.engines.crashed_at)
    assert crashes >= COUNTED_CRASHES
    assert late <= ALLOWED_ARRIVALS, (late, crashes)


def _check_sound_requests(scene: RepeatScene) -> None:
    """Check that sound requests begin as before once engines are back."""
    until = scene.hub.now - 2
    since = scene.engines.crashed_at[COUNTED_CRASHES - 1] + 2 * CONTACT_S
    before = scene.measure_served(0, _BEFORE_S)
    served = scene.measure_served(since, until)
    assert served > before * 0.95, (served, before)
    popular = scene.measure_served(since, until, POPULAR_BODY)
    assert popular > before * 0.95, (popular, before)
    sharing = scene.measure_served(since, until, sharing_parts=True)
    assert sharing > before * 0.95, (sharing, before)


def test_a_repeated_request_without_prompt_stops_crashing_engines() -> None:
    """Callers bring it again at any host."""
    with open_repeat_scene() as scene:
        scene.send(_BEFORE_S, _SOUND)
        scene.send(_DAY_S, _LOAD)
        _check_arrivals(scene)
        _check_sound_requests(scene)


def test_a_repeated_prompt_stops_crashing_engines() -> None:
    """Sound prompts have the same parts but the last."""
    with open_repeat_scene(engines=5, has_prompts=True) as scene:
        scene.send(_BEFORE_S, _SOUND)
        scene.send(_DAY_S, _LOAD)
        _check_arrivals(scene)
        _check_sound_requests(scene)


def test_many_hosts_recognise_a_repeated_request_without_prompt() -> None:
    """Each host sees the request only now and then."""
    with open_repeat_scene(_MANY_HOSTS, 24) as scene:
        scene.send(_BEFORE_S, _LARGE_SOUND)
        scene.send(_DAY_S, _LARGE_LOAD)
        _check_arrivals(scene)
        _check_sound_requests(scene)


def test_many_hosts_recognise_a_repeated_prompt() -> None:
    """Each host sees the prompt only now and then."""
    with open_repeat_scene(_MANY_HOSTS, 47, has_prompts=True) as scene:
        scene.send(_BEFORE_S, _LARGE_SOUND)
        scene.send(_DAY_S, _LARGE_LOAD)
        _check_arrivals(scene)
        _check_sound_requests(scene)


def test_hosts_that_start_anew_refuse_a_repeated_request() -> None:
    """All hosts that saw the crashes are lost one after the other."""
    for has_prompts in (False, True):
        with open_repeat_scene(has_prompts=has_prompts) as scene:
            _check_restarts(scene, list(scene.hosts), _LOAD)


def test_many_hosts_that_start_anew_refuse_a_repeated_request() -> None:
    """Two in three hosts are lost, also those that saw the crashes."""
    for has_prompts in (False, True):
        with open_repeat_scene(
            _MANY_HOSTS, 24, has_prompts=has_prompts
        ) as scene:
            names = [name for name in scene.hosts if int(name[1:]) % 3]
            _check_restarts(scene, names, _LARGE_LOAD)


def test_requests_that_crash_the_same_engines_are_all_recognised() -> None:
    """Each of two was in progress at most crashes of the other one."""
    for seed in (2, 5, 6):
        with open_repeat_scene(6, 5, deadly_bodies=_TWO_BODIES) as scene:
            scene.engines.plain_crash_delay_s = _LONG_CRASH_DELAY_S
            scene.send(_BEFORE_S, _SOUND, seed)
            scene.send(_DAY_S, _TWICE_LOAD, seed + 1)
            _check_arrivals_by_body(scene)
            _check_sound_requests(scene)


def test_prompts_that_crash_the_same_engines_are_all_recognised() -> None:
    """Sound prompts with the parts that both have are served."""
    for seed in (1, 5, 6):
        with open_repeat_scene(
            6, 5, has_prompts=True, deadly_bodies=_TWO_BODIES
        ) as scene:
            scene.send(_BEFORE_S, _SOUND, seed)
            scene.send(_DAY_S, _TWICE_LOAD, seed + 1)
            _check_arrivals_by_body(scene)
            until = scene.hub.now - 2
            served = scene.measure_served(until - _BEFORE_S, until)
            assert served > 0.95, (seed, served)


def test_hosts_that_start_anew_recognise_several_requests() -> None:
    """They are lost while both requests crash engines."""
    for seed in (0, 1, 2):
        with open_repeat_scene(6, 5, deadly_bodies=_TWO_BODIES) as scene:
            scene.engines.plain_crash_delay_s = _LONG_CRASH_DELAY_S
            _restart_hosts(scene, list(scene.hosts), _TWICE_LOAD, seed)
            _check_arrivals_by_body(scene)


def test_many_hosts_recognise_several_requests() -> None:
    """Two in three hosts are lost, also those that saw the crashes."""
    with open_repeat_scene(_MANY_HOSTS, 24, deadly_bodies=_TWO_BODIES) as scene:
        names = [name for name in scene.hosts if int(name[1:]) % 3]
        _restart_hosts(scene, names, Load(rate=80, deadly_rate=8))
        _check_arrivals_by_body(scene)


def _check_arrivals_by_body(scene: RepeatScene) -> None:
    late = scene.engines.count_late_arrivals_by_body(COUNTED_CRASHES)
    assert len(late) == len(_TWO_BODIES), late
    assert max(late.values()) <= ALLOWED_ARRIVALS, late


def _check_restarts(scene: RepeatScene, names: list[str], load: Load) -> None:
    _restart_hosts(scene, names, load)
    _check_arrivals(scene)


def _restart_hosts(
    scene: RepeatScene, names: list[str], load: Load, first_seed: int = 0
) -> None:
    scene.send(_BEFORE_S, load, first_seed + 1)
    groups = 6
    for number in range(groups):
        group = names[number::groups]
        for name in group:
            scene.lose_host(name)
        scene.send(2, load, seed=first_seed + number)
        for name in group:
            scene.restart_host(name, scene.engines)
        scene.send(2, load, seed=first_seed + number + groups)
    scene.send(_BEFORE_S, load, first_seed + 1)


def test_refusals_of_a_repeated_request_say_that_it_was_not_run() -> None:
    """They say when to come back."""
    with open_repeat_scene() as scene:
        scene.send(_DAY_S, _LOAD)
        last = scene.list_refusals(DEADLY_BODY)[-1]
        assert last.ran == Ran.NO
        assert last.retry_after_s > 1
        assert 'crashed' in last.detail


def test_a_repeated_request_that_is_sound_again_is_served() -> None:
    """Single requests find out, after longer and longer times."""
    with open_repeat_scene() as scene:
        scene.send(_BEFORE_S, _LOAD)
        scene.engines.deadly_bodies.clear()
        scene.send(1800, Load(rate=1, deadly_rate=1))
        since = scene.hub.now - 60
        served = [
            call.is_served
            for call in scene.calls
            if call.body == DEADLY_BODY and call.sent_at >= since
        ]
        assert sum(served) > 20


def test_a_repeated_request_that_crashes_engines_is_hardly_tried() -> None:
    """In half an hour few attempts reach engines."""
    with open_repeat_scene() as scene:
        scene.send(_BEFORE_S, _LOAD)
        scene.send(1800, Load(rate=1, deadly_rate=1))
        _check_arrivals(scene)


def test_the_loss_of_all_engines_blames_no_repeated_request() -> None:
    """Sound requests that are all the same are tried when engines are back."""
    with open_repeat_scene() as scene:
        for seed in range(3):
            scene.send(_BEFORE_S, Load(popular_share=0.8, deadly_rate=0), seed)
            for engine in list(scene.engines.engines.values()):
                scene.engines.crash(engine)
                eventlet.sleep(0.1)
            scene.send(20, Load(popular_share=0.8, deadly_rate=0), seed + 9)
            until = scene.hub.now - 2
            served = scene.measure_served(until - 11, until)
            assert served > 0.98, (seed, served)
