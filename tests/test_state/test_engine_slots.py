"""Tests of the slots of engines and of what requests take."""

from __future__ import annotations

import math

from egretdale.state.engine_slots import (
    PREEMPTION_PENALTY_S,
    EngineSlots,
    ServiceUse,
    SlotTable,
    StreamTime,
)
from egretdale.state.instances import Instance
from tests.forwarding import ManualClock
from tests.functions import create_loader

load_tests = create_loader(__name__)

_ENGINE = Instance('e', 'prompts', '', slots=12)
_NAME = _ENGINE.incarnation_name
_PREFILL_S = 0.1


def _fill(
    table: SlotTable, count: int, urgency: int = 2, engine: Instance = _ENGINE
) -> EngineSlots:
    for number in range(count):
        table.begin(engine, f'{urgency}-{number}', urgency)
    return table.find(engine)


def test_a_slot_is_kept_free_for_urgent_requests() -> None:
    """Others wait for the last slot, which urgent ones get at once."""
    table = SlotTable(ManualClock())
    slots = _fill(table, 11)
    assert table.predict_wait(slots, math.inf) > 0
    assert not table.predict_urgent_wait(slots, 0)
    table.end(_NAME, '2-0')
    assert not table.predict_wait(slots, math.inf)


def test_urgent_requests_preempt_only_less_urgent_ones() -> None:
    """A full engine costs a penalty; one full of urgent requests, a wait."""
    table = SlotTable(ManualClock())
    slots = _fill(table, 12)
    wait_s = table.predict_urgent_wait(slots, 0)
    assert wait_s == PREEMPTION_PENALTY_S
    other = Instance('other', 'prompts', '', slots=12)
    full = _fill(table, 12, urgency=0, engine=other)
    wait_s = table.predict_urgent_wait(full, 0)
    assert wait_s > 0
    assert wait_s != PREEMPTION_PENALTY_S


def test_a_rejecting_engine_counts_as_full_for_a_moment() -> None:
    """The allocator may not know all requests of an engine."""
    clock = ManualClock()
    table = SlotTable(clock)
    slots = _fill(table, 1)
    table.note_rejection(_NAME)
    assert table.predict_wait(slots, math.inf) > 0
    clock.now += 1
    assert not table.predict_wait(slots, math.inf)


def test_slots_that_are_not_announced_are_learned_from_rejections() -> None:
    """The learned number grows again while requests end normally."""
    clock = ManualClock()
    table = SlotTable(clock)
    silent = Instance('silent', 'prompts', '')
    slots = _fill(table, 10, engine=silent)
    assert math.isinf(slots.limit)
    table.note_rejection(silent.incarnation_name)
    assert slots.limit == 9
    table.end(silent.incarnation_name, '2-0')
    assert slots.limit > 9


def _teach(use: ServiceUse, prefill_s: float) -> None:
    for _ in range(200):
        use.note_request(400, prefill_s)
        use.learn_stream('draft', StreamTime(400, 4, 3.6, 2))


def test_long_prompts_are_limited_to_what_streams_can_bear() -> None:
    """Streams of 1.6 s take at most 4.8 s beside prompts of 0.1 s."""
    use = ServiceUse()
    assert math.isinf(use.limit_concurrency())
    _teach(use, _PREFILL_S)
    assert 28 <= use.limit_concurrency() <= 36


def test_responses_that_have_ended_early_do_not_lower_the_limit() -> None:
    """Short responses end first, so sizes are taken from what was sent."""
    use = ServiceUse()
    for _ in range(200):
        use.note_request(400, _PREFILL_S)
    for _ in range(30):
        use.learn_stream('tag', StreamTime(20, 0.1, 0.08, 0))
    assert 28 <= use.limit_concurrency() <= 36
