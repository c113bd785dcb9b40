"""Tests of who is served when engines are lost while callers ask for more."""

from __future__ import annotations

import random

from standins.virtual.hub import use_virtual_time
from tests.functions import create_loader
from tests.overload import CLASSES, OverloadScene

load_tests = create_loader(__name__)

#: Part of a tier's callers who may be served less than those of a lower one,
#: as the users tolerate.
_TOLERANCE = 0.05


def _play(lost: float, seed: int, **fields: object) -> OverloadScene:
    with use_virtual_time() as hub:
        scene = OverloadScene(hub, seed=seed, **fields)
        scene.run(lost=lost, burst=2)
    return scene


def _check_order(scene: OverloadScene) -> None:
    served = [scene.measure(tier) for tier, _ in enumerate(CLASSES)]
    for higher, lower in zip(served, served[1:], strict=False):
        assert higher >= lower - _TOLERANCE, served


def test_the_top_tier_is_in_time_when_a_third_of_the_engines_is_lost() -> None:
    """A burst of two is paid for by the lowest tier."""
    scene = _play(1 / 3, 1, hosts=6, engines=6)
    _check_order(scene)
    assert scene.measure(0, CLASSES[0].target_s) > 0.9


def test_the_top_tier_is_in_time_when_half_of_the_engines_is_lost() -> None:
    """No tier is starved."""
    scene = _play(0.5, 1, hosts=6, engines=6)
    _check_order(scene)
    assert scene.measure(0, CLASSES[0].target_s) > 0.9
    assert scene.measure(2) > 0.3


def test_hosts_without_an_allocator_keep_the_order() -> None:
    """Engines serve the most urgent prompts of all hosts first."""
    _check_order(_play(0.5, 1, hosts=6, engines=6, policy='alone'))


def test_the_order_holds_over_several_groups() -> None:
    """With 30 engines two groups become one when a third of them is lost."""
    _check_order(_play(1 / 3, 1, hosts=195, engines=30))


def test_no_tier_pays_for_a_less_urgent_one() -> None:
    """Less urgent prompts of twice the size do not begin while others fail."""
    for seed in range(10):
        lost = random.Random(seed).choice((1 / 3, 0.5))
        scene = _play(lost, seed, hosts=6, engines=6)
        assert not scene.list_inversions(), (seed, scene.list_inversions())
