"""Tests of the model engine with continuous batching."""

from __future__ import annotations

from egretdale.coordination.exchanges import PromptPart
from standins.models.batches import BatchEngine, BatchProfile, BatchRun
from tests.functions import create_loader

load_tests = create_loader(__name__)

_SHARED = PromptPart(7, 8000)


class _Engine:
    """Runs an engine step by step and records the events of requests.

    :ivar now: sum of the durations of all steps in seconds.
    :ivar first_event_s: time of the first event by request.
    :ivar events: number of events by request.
    :ivar longest_pauses: longest pauses between events by request in seconds.
    """

    def __init__(self, **changes: float) -> None:
        self.model = BatchEngine(BatchProfile(**changes))
        self.now = float(0)
        self.first_event_s: dict[str, float] = {}
        self.events: dict[str, int] = {}
        self.longest_pauses: dict[str, float] = {}
        self._last_event_at: dict[str, float] = {}

    def submit(
        self,
        name: str,
        *parts: PromptPart,
        output: int = 50,
        urgency: int = 5,
    ) -> BatchRun:
        def notify(events: int) -> None:
            self.first_event_s.setdefault(name, self.now)
            previous = self._last_event_at.get(name, self.now)
            pause = max(self.longest_pauses.get(name, 0), self.now - previous)
            self.longest_pauses[name] = pause
            self._last_event_at[name] = self.now
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


def _create_part(tokens: int, identity: int = 100) -> PromptPart:
    return PromptPart(identity, tokens)


def test_every_token_arrives_in_events() -> None:
    """The last event may contain fewer tokens than the others."""
    engine = _Engine()
    engine.submit('a', _create_part(100), output=52)
    engine.run()
    assert engine.events == {'a': 11}


def test_cached_parts_are_not_prefilled_again() -> None:
    """Only the unshared part of the second prompt is prefilled."""
    engine = _Engine()
    engine.submit('a', _SHARED, _create_part(500))
    engine.run()
    engine.submit('b', _SHARED, _create_part(300, 101))
    engine.run()
    assert engine.model.counts.prefilled == 8000 + 500 + 300


def test_parts_are_reused_only_after_cached_parts() -> None:
    """A cached part after a different first part is prefilled again."""
    engine = _Engine()
    engine.submit('a', PromptPart(1, 1000), _SHARED, _create_part(100))
    engine.run()
    engine.submit('b', PromptPart(2, 1000), _SHARED, _create_part(100, 101))
    engine.run()
    assert engine.model.counts.prefilled == 2 * (1000 + 8000 + 100)


def test_least_recently_used_parts_are_evicted() -> None:
    """A part that was used again in the meantime is still cached."""
    engine = _Engine(kv_tokens=20000)
    for identity in (1, 2, 1, 3):
        engine.submit(
            'a',
            PromptPart(identity, 8000),
            _create_part(100, identity),
        )
        engine.run()
    before = engine.model.counts.prefilled
    engine.submit('b', PromptPart(1, 8000), _create_part(100, 200))
    engine.run()
    assert engine.model.counts.prefilled == before + 100


def test_urgent_prompts_are_prefilled_first() -> None:
    """The order of arrival matters only between equally urgent prompts."""
    engine = _Engine()
    engine.submit('slow', _create_part(30000), urgency=5)
    engine.step()
    engine.submit('quick', _create_part(1000, 101), urgency=0)
    engine.run()
    assert engine.first_event_s['quick'] < engine.first_event_s['slow']


def test_prefill_delays_the_tokens_of_streams() -> None:
    """Chunks are prefilled between the tokens of a stream."""
    alone = _Engine()
    alone.submit('stream', _create_part(100), output=200)
    alone.run()
    shared = _Engine()
    shared.submit('stream', _create_part(100), output=200)
    shared.step()
    shared.submit('prompt', _create_part(30000, 101))
    shared.run()
    assert shared.longest_pauses['stream'] > 5 * alone.longest_pauses['stream']


def test_newest_of_the_least_urgent_is_preempted() -> None:
    """Its whole prompt is prefilled again."""
    engine = _Engine(slots=2)
    for index in range(2):
        engine.submit(f'low{index}', _create_part(100, index), urgency=6)
    engine.step()
    engine.submit('high', _create_part(100, 9), urgency=0)
    engine.run()
    assert engine.model.counts.preempted == 1
    assert engine.model.counts.prefilled == 4 * 100
    assert engine.events['high'] == 10


def test_equal_urgency_does_not_preempt() -> None:
    """A request waits for a slot if no running one is less urgent."""
    engine = _Engine(slots=1)
    engine.submit('a', _create_part(100))
    engine.step()
    engine.submit('b', _create_part(100, 101))
    engine.run()
    assert not engine.model.counts.preempted
    assert engine.first_event_s['a'] < engine.first_event_s['b']


def test_cancellation_frees_the_slot() -> None:
    """A cancelled request produces no events."""
    engine = _Engine(slots=1)
    run = engine.submit('a', _create_part(100))
    engine.step()
    engine.model.cancel(run)
    engine.submit('b', _create_part(100, 101))
    engine.run()
    assert 'a' not in engine.events
    assert engine.events['b'] == 10
