"""Tests of how engines of one service are told apart by their speed."""

from __future__ import annotations

import random

from egretdale.state.backlogs import BacklogTable
from egretdale.state.instances import Instance
from egretdale.state.speed_factors import EngineFactors
from egretdale.state.speeds import (
    PrefillSample,
    PrefillWork,
    SpeedTable,
    measure_work,
)
from tests.forwarding import ManualClock
from tests.functions import create_loader

load_tests = create_loader(__name__)

_SERVICE = 'prompts'
_WORK = PrefillWork(10000)
_SLOWNESS = (0.7, 0.7, 1.7)
_MEAN = 3 / sum(1 / slowness for slowness in _SLOWNESS)


class _KnownFactors(EngineFactors):
    """The true factors, by data centre."""

    def find(self, instance: Instance) -> float:
        return float(instance.data_centre)


class _KnownTable(SpeedTable):
    def find_factors(self, service: str) -> EngineFactors:
        return _KnownFactors(self._clock)


def _list_engines(slowness: tuple[float, ...], count: int) -> list[Instance]:
    return [
        Instance(
            f'e{index}', _SERVICE, '', str(slowness[index % len(slowness)])
        )
        for index in range(count)
    ]


def _draw_noise(source: random.Random) -> float:
    """Draw a factor: slow moments and evicted parts, beside small ones."""
    kind = source.choices((1, 2.5, 4), weights=(0.75, 0.15, 0.1))[0]
    return source.lognormvariate(0, 0.2) * kind


def _teach(
    table: SpeedTable, clock: ManualClock, engines: list[Instance], rounds: int
) -> None:
    source = random.Random(5)
    for _ in range(rounds):
        clock.now += 0.3
        for engine in engines:
            took_s = _WORK.tokens / 60000 * float(engine.data_centre)
            took_s *= _draw_noise(source)
            sample = PrefillSample(_WORK, took_s, queued=True)
            table.find(engine).learn(sample, is_alone=False)


def test_data_centres_are_told_apart_in_a_few_seconds() -> None:
    """An engine without samples is like the others of its data centre."""
    clock = ManualClock()
    table = SpeedTable(clock)
    engines = _list_engines(_SLOWNESS, 21)
    _teach(table, clock, engines[:18], 8)
    errors = sorted(
        abs(table.find(engine).factor * _MEAN / float(engine.data_centre) - 1)
        for engine in engines
    )
    assert errors[len(errors) * 3 // 4] < 0.2, errors
    for engine in engines[18:]:
        expected = float(engine.data_centre) / _MEAN
        assert abs(table.find(engine).factor / expected - 1) < 0.25, engine
    clock.now += 11
    assert {table.find(engine).factor for engine in engines} == {1}


def test_chance_does_not_tell_engines_apart() -> None:
    """Few engines and many, with slow moments and evicted parts."""
    for count in (2, 5, 24):
        clock = ManualClock()
        table = SpeedTable(clock)
        engines = _list_engines((1,), count)
        _teach(table, clock, engines, 30)
        for engine in engines:
            assert abs(table.find(engine).factor - 1) < 0.1, engine


def test_short_prompts_do_not_make_an_engine_look_slow() -> None:
    """The fixed time of a step is most of the time of a short prompt."""
    clock = ManualClock()
    table = SpeedTable(clock)
    engines = _list_engines((1,), 4)
    _teach(table, clock, engines[1:], 4)
    short = PrefillWork(600)
    for _ in range(400):
        sample = PrefillSample(short, 0.02, queued=True)
        table.find(engines[0]).learn(sample, is_alone=False)
    assert abs(table.find(engines[0]).factor - 1) < 0.1


def test_placement_does_nearly_as_well_as_with_true_speeds() -> None:
    """Engines of 20 to 300 tokens a millisecond, 1 to 4 apart."""
    for tokens_per_s in (20000, 66000, 300000):
        for slowness in (_SLOWNESS, (1, 4), (1, 2, 3, 4), (1,)):
            learned = _place(SpeedTable, tokens_per_s, slowness)
            told = _place(_KnownTable, tokens_per_s, slowness)
            assert learned < 1.1 * told, (tokens_per_s, slowness)


def _place(
    create_table: type[SpeedTable],
    tokens_per_s: float,
    slowness: tuple[float, ...],
) -> float:
    """Place prompts at 12 engines, each where it should be prefilled first.

    :return: seconds until all prompts are prefilled.
    """
    clock = ManualClock()
    began_at = clock.now
    table = BacklogTable(clock, create_table(clock))
    engines = _list_engines(slowness, 12)
    source = random.Random(3)
    free_at = dict.fromkeys(engines, began_at)
    running: list[tuple[float, str, str, float]] = []
    for number in range(900):
        tokens = source.randrange(3000, 16000)
        work = measure_work(tokens, tokens)
        chosen = _choose(table, engines, work)
        while table.measure_wait(chosen.incarnation_name) > 0.08:
            ended_at, request_id, name, sent_at = min(running)
            running.remove((ended_at, request_id, name, sent_at))
            clock.now = max(clock.now, ended_at)
            table.finish(name, request_id, ended_at - sent_at)
            chosen = _choose(table, engines, work)
        took_s = tokens / tokens_per_s * float(chosen.data_centre)
        took_s *= source.lognormvariate(0, 0.2)
        free_at[chosen] = max(clock.now, free_at[chosen]) + took_s
        table.add(chosen, str(number), work)
        entry = (str(number), chosen.incarnation_name, clock.now)
        running.append((free_at[chosen], *entry))
    return max(free_at.values()) - began_at


def _choose(
    table: BacklogTable, engines: list[Instance], work: PrefillWork
) -> Instance:
    def predict(engine: Instance) -> float:
        wait_s = table.measure_wait(engine.incarnation_name)
        return wait_s + table.speeds.find(engine).predict(work)

    return min(engines, key=predict)
