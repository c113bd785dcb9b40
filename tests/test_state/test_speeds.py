"""Tests of the prefill speed that is learned from first tokens."""

from __future__ import annotations

from egretdale.state.backlogs import BacklogTable
from egretdale.state.instances import Instance
from egretdale.state.speeds import (
    PrefillSample,
    PrefillWork,
    ServiceSpeed,
    SpeedTable,
    measure_work,
)
from tests.forwarding import ManualClock
from tests.functions import create_loader

load_tests = create_loader(__name__)

_SERVICE = 'prompts'
_WORK = PrefillWork(10000)


def _teach(speed: ServiceSpeed, tokens_per_s: float, count: int) -> None:
    for _ in range(count):
        took_s = _WORK.tokens / tokens_per_s
        speed.learn(PrefillSample(_WORK, took_s, queued=True))


def test_few_samples_replace_the_assumed_speed() -> None:
    """Engines from 20 to 300 tokens a millisecond are known within 10%."""
    for tokens_per_s in (20000, 66000, 300000):
        speed = ServiceSpeed()
        assert not speed.is_known()
        _teach(speed, tokens_per_s, 3)
        assert speed.is_known()
        assert abs(speed.tokens_per_s / tokens_per_s - 1) < 0.1


def test_a_third_of_wrong_samples_does_not_mislead() -> None:
    """Slow engines and evicted parts change the shared speed little."""
    speed = ServiceSpeed()
    for _ in range(10):
        _teach(speed, 66000, 2)
        _teach(speed, 3000, 1)
    assert abs(speed.tokens_per_s / 66000 - 1) < 0.1


def test_the_floor_is_learned_from_short_prompts() -> None:
    """It is then subtracted from the samples that contain it."""
    speed = ServiceSpeed()
    for _ in range(5):
        speed.learn_floor(PrefillSample(PrefillWork(1), 0.02, queued=False))
    assert abs(speed.floor_s - 0.02) < 0.001
    for _ in range(3):
        took_s = _WORK.tokens / 50000 + 0.02
        speed.learn(PrefillSample(_WORK, took_s, queued=False))
    assert abs(speed.tokens_per_s / 50000 - 1) < 0.02


def test_long_contexts_take_longer() -> None:
    """Tokens behind a cached part attend to it."""
    speed = ServiceSpeed()
    alone = speed.predict(measure_work(5000, 5000))
    behind = speed.predict(measure_work(5000, 60000))
    assert 1.5 * alone < behind < 3 * alone


def test_a_slow_engine_gets_its_own_factor_for_a_while() -> None:
    """Others keep the shared speed, and it is tried again later."""
    clock = ManualClock()
    table = SpeedTable(clock)
    slow, usual = (Instance(name, _SERVICE, '') for name in ('slow', 'usual'))
    for _ in range(8):
        for engine, tokens_per_s in ((slow, 10000), (usual, 60000)):
            for _ in range(1 if engine is slow else 3):
                took_s = _WORK.tokens / tokens_per_s
                sample = PrefillSample(_WORK, took_s, queued=True)
                table.find(engine).learn(sample, is_alone=False)
    shared_s = table.find_service(_SERVICE).predict(_WORK)
    assert abs(shared_s * 60000 / _WORK.tokens - 1) < 0.1
    assert table.find(usual).predict(_WORK) == shared_s
    assert table.find(slow).predict(_WORK) > 4 * shared_s
    clock.now += 20
    assert table.find(slow).predict(_WORK) == shared_s


def test_the_order_of_prefill_does_not_matter() -> None:
    """An urgent prompt interrupts the prefill of an older, longer one."""
    clock = ManualClock()
    table = BacklogTable(clock, SpeedTable(clock))
    engine = Instance('e', _SERVICE, '')
    name = engine.incarnation_name
    long_s, urgent_s = 0.5, 0.05
    urgent = PrefillWork(_WORK.tokens // 10)
    for number in range(12):
        table.add(engine, f'long{number}', _WORK)
        clock.now += 0.2
        table.add(engine, f'urgent{number}', urgent)
        clock.now += urgent_s
        table.finish(name, f'urgent{number}', urgent_s)
        clock.now += 0.3
        table.finish(name, f'long{number}', long_s + urgent_s)
    speed = table.speeds.find_service(_SERVICE)
    assert speed.is_known()
    assert abs(speed.predict(_WORK) / long_s - 1) < 0.2


def test_prompts_that_share_a_step_do_not_look_fast() -> None:
    """Two first tokens of one step come at the same time."""
    clock = ManualClock()
    table = BacklogTable(clock, SpeedTable(clock))
    engine = Instance('e', _SERVICE, '')
    name = engine.incarnation_name
    short = PrefillWork(2000)
    for number in range(60):
        for index in range(2):
            table.add(engine, f'{number}-{index}', short)
        clock.now += 0.06
        for index in range(2):
            table.finish(name, f'{number}-{index}', 0.06)
    speed = table.speeds.find_service(_SERVICE)
    assert abs(speed.predict(short) / 0.03 - 1) < 0.2
