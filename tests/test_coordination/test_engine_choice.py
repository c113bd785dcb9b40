"""Tests of how cached parts are weighed against waits and evictions."""

from __future__ import annotations

import math

from egretdale.coordination.engine_choice import EngineChooser
from egretdale.coordination.engine_costs import EngineState, PromptCost
from egretdale.state.backpressure import BackpressureTable
from egretdale.state.instances import Instance
from egretdale.state.messages import Ask
from egretdale.state.prompts import GrantedPrompt
from egretdale.state.request_gates import RequestGates, choose_whole_rate
from egretdale.state.routing import ServiceCapacity
from egretdale.state.speeds import SpeedTable, measure_work
from tests.forwarding import ManualClock
from tests.functions import create_loader
from tests.prompts import SERVICE, create_ask

load_tests = create_loader(__name__)

_SHARED = 13000
_OWN = 4000


class _Scene:
    """A chooser and idle engines that hold a number of parts each."""

    def __init__(self, engines: int, parts: float = 0) -> None:
        self.clock = ManualClock()
        capacity = ServiceCapacity(round(parts * _SHARED))
        gates = RequestGates(BackpressureTable(), self.clock, choose_whole_rate)
        self.chooser = EngineChooser(
            self.clock,
            SpeedTable(self.clock),
            gates,
            lambda service: capacity,
        )
        self.ready = [
            Instance(f'e{index}', SERVICE, '') for index in range(engines)
        ]

    def choose(self, ask: Ask, preferred: str = 'e0') -> tuple[str, float]:
        """Choose an engine, without sending the request there."""
        state, hold_s = self._choose(ask, preferred)
        return state.instance.name, hold_s

    def start(self, ask: Ask, preferred: str) -> GrantedPrompt:
        """Send a request to the engine that is chosen."""
        state, _ = self._choose(ask, preferred)
        self.chooser.reserve(ask, state)
        return GrantedPrompt(state.name, '', 0, math.inf, immediate=False)

    def run(self, ask: Ask, preferred: str) -> str:
        """Run a request to its end at the engine that is chosen."""
        granted = self.start(ask, preferred)
        self.clock.now += 1
        self.chooser.note_first_token(granted, ask.request_id)
        self.chooser.release(granted, ask.request_id)
        return granted.engine

    def _choose(self, ask: Ask, preferred: str) -> tuple[EngineState, float]:
        speed = self.chooser.backlogs.speeds.find_service(SERVICE)
        own = ask.prompt_tokens - ask.shared_tokens
        prompt = PromptCost(
            ask,
            speed.predict(measure_work(own, ask.prompt_tokens)),
            speed.predict(measure_work(ask.prompt_tokens, ask.prompt_tokens)),
            math.inf,
            immediate=False,
        )
        states = self.chooser.measure(self.ready)
        return self.chooser.choose(prompt, states, preferred, 0)


def _ask(name: str, prefix: int, own: int = _OWN) -> Ask:
    return create_ask(name, _SHARED + own, prefix=prefix, shared_tokens=_SHARED)


def test_a_request_goes_where_its_part_is_cached() -> None:
    """Unless the wait there is longer than prefilling it again."""
    scene = _Scene(2, parts=8)
    scene.run(_ask('first', 1), 'e1')
    assert scene.choose(_ask('next', 1)) == ('e1', 0)
    scene.clock.now += 30
    idle = scene.ready.pop(0)
    for number in range(4):
        scene.start(_ask(f'busy{number}', 1, 20000), 'e1')
    scene.ready.append(idle)
    assert scene.choose(_ask('next', 1))[0] == 'e0'


def test_a_copy_is_dear_where_slots_are_scarce() -> None:
    """Reading a part again also holds a slot for longer."""
    costs = []
    for held in (0, 9):
        scene = _Scene(1, parts=8)
        scene.ready = [Instance('e1', SERVICE, '', slots=10)]
        scene.run(_ask('first', 1), 'e1')
        scene.clock.now += 30
        scene.ready.append(Instance('e0', SERVICE, '', slots=10))
        for number in range(held):
            ask = create_ask(f'held{number}', 10)
            state = scene.chooser.measure(scene.ready)[1]
            scene.chooser.hold_slot(ask, state)
        waiting = 0
        while scene.choose(_ask('next', 1))[0] == 'e1':
            waiting += 1
            scene.ready.pop()
            scene.start(_ask(f'busy{waiting}', 1, 1000), 'e1')
            scene.ready.append(Instance('e0', SERVICE, '', slots=10))
        costs.append(waiting)
    assert costs[1] > costs[0], costs


def test_a_part_that_no_longer_fits_is_not_believed() -> None:
    """An engine that has read other parts since is no better than another."""
    for parts, expected in ((3, 'e0'), (8, 'e1')):
        scene = _Scene(1, parts)
        scene.ready = [Instance('e1', SERVICE, '')]
        for prefix in (1, 2, 3, 4):
            scene.run(_ask(f'r{prefix}', prefix), 'e1')
        scene.ready.append(Instance('e0', SERVICE, ''))
        assert scene.choose(_ask('again', 1))[0] == expected


def test_a_copy_evicts_what_is_needed_least() -> None:
    """Between idle engines, the one whose parts are older reads it."""
    scene = _Scene(2, parts=2.5)
    ready = scene.ready
    for prefix, engine in ((1, 0), (2, 0), (3, 1), (4, 1)):
        scene.ready = [ready[engine]]
        scene.run(_ask(f'r{prefix}', prefix), f'e{engine}')
        scene.clock.now += 60
    scene.ready = ready
    assert scene.choose(_ask('new', 9), 'e0')[0] == 'e0'
    for prefix in (1, 2):
        scene.run(_ask(f'again{prefix}', prefix), 'e0')
    assert scene.choose(_ask('new', 9), 'e0')[0] == 'e1'


def test_a_part_is_read_once_at_the_start() -> None:
    """Others wait for who reads it, if that is sooner than reading it."""
    scene = _Scene(4, parts=40)
    reader = scene.start(_ask('first', 1), 'e2')
    name, hold_s = scene.choose(_ask('second', 1), 'e2')
    assert name == 'e2'
    assert hold_s > 0
    # An urgent request with a small part does not wait for it.
    small = create_ask('small', 700, prefix=2, shared_tokens=100)
    scene.start(small, 'e3')
    assert scene.choose(small, 'e3')[1] == 0
    scene.clock.now += 1
    scene.chooser.note_first_token(reader, 'first')
    assert scene.choose(_ask('second', 1), 'e2') == ('e2', 0)


def test_placements_say_what_was_saved() -> None:
    """So does the log of the allocator."""
    scene = _Scene(1, parts=3)
    states = scene.chooser.measure(scene.ready)
    before = scene.chooser.explain(_ask('first', 1), states[0])
    assert not before.saved_s
    scene.run(_ask('first', 1), 'e0')
    after = scene.chooser.explain(_ask('next', 1), states[0])
    assert abs(after.saved_s + after.prefill_s - before.prefill_s) < 1e-6
    assert after.saved_s > 0.1
    assert not after.evicted_tokens
    for prefix in (2, 3):
        scene.run(_ask(f'r{prefix}', prefix), 'e0')
    assert scene.chooser.explain(_ask('new', 9), states[0]).evicted_tokens
