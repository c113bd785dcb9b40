"""Tests of the model of prompts that engines still have to prefill."""

from __future__ import annotations

from egretdale.state.backlogs import BacklogTable, predict_prefill
from tests.forwarding import ManualClock
from tests.functions import create_loader

load_tests = create_loader(__name__)

_TOKENS = 24000


def test_wait_shrinks_with_time() -> None:
    """Until the oldest prompt is overdue, prompts are prefilled over time."""
    clock = ManualClock()
    table = BacklogTable(clock)
    table.add('a', 'r1', _TOKENS)
    table.add('a', 'r2', _TOKENS)
    whole_s = predict_prefill(2 * _TOKENS)
    assert abs(table.measure_wait('a') - whole_s) < 0.001
    clock.now += whole_s / 2
    assert abs(table.measure_wait('a') - whole_s / 2) < 0.001
    assert table.measure_wait('b') == 0


def test_first_tokens_end_the_wait() -> None:
    """A prompt leaves the backlog when its first token is reported."""
    clock = ManualClock()
    table = BacklogTable(clock)
    table.add('a', 'r1', _TOKENS)
    assert table.finish('a', 'r1') == _TOKENS
    assert table.measure_wait('a') == 0
    assert table.finish('a', 'r1') == 0


def test_overdue_engine_waits_for_all_its_prompts() -> None:
    """Once the oldest prompt is overdue, all prompts count in full."""
    clock = ManualClock()
    table = BacklogTable(clock)
    for number in range(4):
        table.add('a', f'r{number}', _TOKENS)
    clock.now += 1
    whole_s = predict_prefill(4 * _TOKENS)
    assert abs(table.measure_wait('a') - whole_s) < 0.001
    table.finish('a', 'r0')
    assert table.measure_wait('a') < whole_s


def test_lost_reports_do_not_block_an_engine_for_long() -> None:
    """Prompts are dropped when their first token is long overdue."""
    clock = ManualClock()
    table = BacklogTable(clock)
    table.add('a', 'r1', _TOKENS)
    clock.now += predict_prefill(_TOKENS) + 0.5
    assert table.measure_wait('a') > 0
    clock.now += 1
    assert table.measure_wait('a') == 0


def test_a_delay_is_remembered_for_a_while() -> None:
    """The delay of a slow engine decays, so that it is tried again later."""
    clock = ManualClock()
    table = BacklogTable(clock)
    table.learn_delay('a', 0, 2.0)
    first_s = table.measure_delay('a')
    assert first_s > 0.5
    clock.now += 10
    assert table.measure_delay('a') < first_s / 10
    table.forget('a')
    assert table.measure_delay('a') == 0
