"""Tests of the model of prompts that engines still have to prefill."""

from __future__ import annotations

from egretdale.state.backlogs import BacklogTable
from egretdale.state.instances import Instance
from egretdale.state.speeds import PrefillWork, SpeedTable
from tests.forwarding import ManualClock
from tests.functions import create_loader

load_tests = create_loader(__name__)

_WORK = PrefillWork(24000)
_ENGINE = Instance('a', 'prompts', '')
_NAME = _ENGINE.incarnation_name


def _predict(table: BacklogTable) -> float:
    return table.speeds.find(_ENGINE).predict(_WORK)


def test_wait_shrinks_with_time() -> None:
    """Until the oldest prompt is overdue, prompts are prefilled over time."""
    clock = ManualClock()
    table = BacklogTable(clock, SpeedTable(clock))
    table.add(_ENGINE, 'r1', _WORK)
    table.add(_ENGINE, 'r2', _WORK)
    whole_s = 2 * _predict(table)
    assert abs(table.measure_wait(_NAME) - whole_s) < 0.001
    clock.now += whole_s / 2
    assert abs(table.measure_wait(_NAME) - whole_s / 2) < 0.001
    assert table.measure_wait('b') == 0


def test_first_tokens_end_the_wait() -> None:
    """A prompt leaves the backlog when its first token is reported."""
    clock = ManualClock()
    table = BacklogTable(clock, SpeedTable(clock))
    table.add(_ENGINE, 'r1', _WORK)
    assert table.finish(_NAME, 'r1') == _WORK
    assert table.measure_wait(_NAME) == 0
    assert table.finish(_NAME, 'r1') == PrefillWork()


def test_overdue_engine_waits_for_all_its_prompts() -> None:
    """Once the oldest prompt is overdue, all prompts count in full."""
    clock = ManualClock()
    table = BacklogTable(clock, SpeedTable(clock))
    for number in range(4):
        table.add(_ENGINE, f'r{number}', _WORK)
    clock.now += 1
    whole_s = 4 * _predict(table)
    assert abs(table.measure_wait(_NAME) - whole_s) < 0.001
    table.finish(_NAME, 'r0')
    assert table.measure_wait(_NAME) < whole_s


def test_lost_reports_do_not_block_an_engine_for_long() -> None:
    """Prompts are dropped when their first token is long overdue."""
    clock = ManualClock()
    table = BacklogTable(clock, SpeedTable(clock))
    table.add(_ENGINE, 'r1', _WORK)
    clock.now += _predict(table) + 0.5
    assert table.measure_wait(_NAME) > 0
    clock.now += 1
    assert table.measure_wait(_NAME) == 0


def test_a_delay_is_remembered_for_a_while() -> None:
    """The delay of a slow engine decays, so that it is tried again later."""
    clock = ManualClock()
    table = BacklogTable(clock, SpeedTable(clock))
    table.add(_ENGINE, 'r1', PrefillWork())
    table.learn_delay(_NAME, PrefillWork(), 2.0)
    first_s = table.measure_delay(_NAME)
    assert first_s > 0.5
    clock.now += 10
    assert table.measure_delay(_NAME) < first_s / 10
    table.forget(_NAME)
    assert table.measure_delay(_NAME) == 0
