"""Tests of the model engine with continuous batching."""

from __future__ import annotations

from egretdale.coordination.exchanges import PromptPart
from standins.models.batches import BatchEngine, BatchProfile, BatchRun
from tests.functions import create_loader

load_tests = create_loader(__name__)

_SHARED = PromptPart(7, 8000)


class _Engine:
    """An engine and the time that its steps have taken.

    :ivar first: seconds to the first event by request.
    :ivar events: events by request.
    :ivar pauses: longest pauses between events by request in seconds.
    """

    def __init__(self, **changes: float) -> None:
        self.model = BatchEngine(BatchProfile(**changes))
        self.now = float(0)
        self.first: dict[str, float] = {}
        self.events: dict[str, int] = {}
        self.pauses: dict[str, float] = {}
        self._last: dict[str, float] = {}

    def submit(
        self,
        name: str,
        *parts: PromptPart,
        output: int = 50,
        urgency: int = 5,
    ) -> BatchRun:
        def notify(events: int) -> None:
            self.first.setdefault(name, self.now)
            last = self._last.get(name, self.now)
            pause = max(self.pauses.get(name, 0), self.now - last)
            self.pauses[name] = pause
            self._last[name] = self.now
            self.events[name] = self.events.get(name, 0) + events

        run = BatchRun(name, parts, output, urgency, notify)
        self.model.submit(run)
        return run

    def step(self) -> None:
        self.now += self.model.begin_step()
        self.model.end_step()

    def run(self) -> None:
        while not self.model.is_idle():
            self.step()


def _own(tokens: int, identity: int = 100) -> PromptPart:
    return PromptPart(identity, tokens)


def test_every_token_arrives_in_events() -> None:
    """The last event may hold fewer tokens."""
    engine = _Engine()
    engine.submit('a', _own(100), output=52)
    engine.run()
    assert engine.events == {'a': 11}


def test_a_cached_part_is_not_prefilled_again() -> None:
    """Only the own part of the second prompt is read."""
    engine = _Engine()
    engine.submit('a', _SHARED, _own(500))
    engine.run()
    engine.submit('b', _SHARED, _own(300, 101))
    engine.run()
    assert engine.model.counts.prefilled == 8000 + 500 + 300


def test_a_part_counts_only_behind_cached_parts() -> None:
    """What follows another beginning is read anew."""
    engine = _Engine()
    engine.submit('a', PromptPart(1, 1000), _SHARED, _own(100))
    engine.run()
    engine.submit('b', PromptPart(2, 1000), _SHARED, _own(100, 101))
    engine.run()
    assert engine.model.counts.prefilled == 2 * (1000 + 8000 + 100)


def test_parts_longest_unused_yield() -> None:
    """A part that was used since is still cached."""
    engine = _Engine(kv_tokens=20000)
    for identity in (1, 2, 1, 3):
        engine.submit('a', PromptPart(identity, 8000), _own(100, identity))
        engine.run()
    before = engine.model.counts.prefilled
    engine.submit('b', PromptPart(1, 8000), _own(100, 200))
    engine.run()
    assert engine.model.counts.prefilled == before + 100


def test_urgent_prompts_are_prefilled_first() -> None:
    """Within one engine, the order of arrival counts only among equals."""
    engine = _Engine()
    engine.submit('slow', _own(30000), urgency=5)
    engine.step()
    engine.submit('quick', _own(1000, 101), urgency=0)
    engine.run()
    assert engine.first['quick'] < engine.first['slow']


def test_prefill_stretches_the_pauses_of_streams() -> None:
    """Chunks are prefilled between the tokens of a stream."""
    alone = _Engine()
    alone.submit('stream', _own(100), output=200)
    alone.run()
    beside = _Engine()
    beside.submit('stream', _own(100), output=200)
    beside.step()
    beside.submit('prompt', _own(30000, 101))
    beside.run()
    assert beside.pauses['stream'] > 5 * alone.pauses['stream']


def test_the_newest_of_the_least_urgent_is_preempted() -> None:
    """It is read again from its first token."""
    engine = _Engine(slots=2)
    for index in range(2):
        engine.submit(f'low{index}', _own(100, index), urgency=6)
    engine.step()
    engine.submit('high', _own(100, 9), urgency=0)
    engine.run()
    assert engine.model.counts.preempted == 1
    assert engine.model.counts.prefilled == 4 * 100
    assert engine.events['high'] == 10


def test_equals_wait_for_a_slot() -> None:
    """Nothing is preempted for a request of the same rank."""
    engine = _Engine(slots=1)
    engine.submit('a', _own(100))
    engine.step()
    engine.submit('b', _own(100, 101))
    engine.run()
    assert not engine.model.counts.preempted
    assert engine.first['a'] < engine.first['b']


def test_cancelled_requests_free_their_slot() -> None:
    """They produce nothing any more."""
    engine = _Engine(slots=1)
    run = engine.submit('a', _own(100))
    engine.step()
    engine.model.cancel(run)
    engine.submit('b', _own(100, 101))
    engine.run()
    assert 'a' not in engine.events
    assert engine.events['b'] == 10
