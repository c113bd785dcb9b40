"""Tests of the model of what engines have cached."""

from __future__ import annotations

import random

from egretdale.coordination.exchanges import PromptPart
from egretdale.state.cache_models import CacheModel
from egretdale.state.messages import Ask
from standins.models.parts import PartCache
from tests.functions import create_loader
from tests.prompts import create_ask

load_tests = create_loader(__name__)

_PART = 1000
_OWN = 100


def _create_ask(name: str, prefix: int) -> Ask:
    return create_ask(name, _PART + _OWN, prefix=prefix, shared_tokens=_PART)


def _create_model(parts: int) -> CacheModel:
    """Create the model of an engine that holds a number of parts."""
    model = CacheModel()
    model.capacity = parts * _PART + 2 * _OWN
    return model


def _run(model: CacheModel, name: str, prefix: int, now: float) -> None:
    model.begin(_create_ask(name, prefix), now)
    model.note_first_token(name)
    model.end(name)


def test_the_least_recently_used_part_yields() -> None:
    """A part that a running request uses does not."""
    model = _create_model(3)
    model.begin(_create_ask('running', 1), 0)
    model.note_first_token('running')
    for prefix in (2, 3, 2, 4):
        _run(model, f'r{prefix}', prefix, prefix)
    assert [model.find(prefix) is not None for prefix in (1, 2, 3, 4)] == [
        True,
        True,
        False,
        True,
    ]
    model.end('running')
    _run(model, 'r5', 5, 6)
    assert model.find(1) is None


def test_running_requests_take_the_room_of_parts() -> None:
    """Their own prompts and output limits count until they end."""
    model = _create_model(2)
    _run(model, 'a', 1, 0)
    large = create_ask('large', 600, maximum_tokens=500)
    model.begin(large, 1)
    assert model.find(1) is not None
    model.begin(_create_ask('b', 2), 2)
    assert model.find(1) is None
    model.end('large')
    _run(model, 'a', 1, 3)
    assert model.find(2) is not None


def test_a_part_is_cached_once_it_has_been_prefilled() -> None:
    """One that a request did not finish is left to another, or forgotten."""
    model = _create_model(3)
    model.begin(_create_ask('first', 1), 0)
    model.begin(_create_ask('second', 1), 0)
    assert model.find(1).reader == 'first'
    model.end('first')
    assert model.find(1).reader == 'second'
    model.note_first_token('second')
    assert not model.find(1).reader
    model.begin(_create_ask('third', 2), 0)
    model.end('third')
    assert model.find(2) is None


def test_losses_are_the_parts_that_would_be_used_again() -> None:
    """Room is free, then that of old parts, then that of running requests."""
    model = _create_model(2)
    ask = _create_ask('new', 9)
    assert not model.predict_displacement(ask, 0)
    _run(model, 'old', 1, 0)
    _run(model, 'recent', 2, 100)
    old = model.predict_displacement(ask, 100)
    assert 0 < old < _PART / 2
    _run(model, 'old', 1, 100)
    assert model.predict_displacement(ask, 100) > 2 * old
    # Nothing is lost where the part is cached.
    assert not model.predict_displacement(_create_ask('same', 2), 100)
    for used in (1, 2):
        model.begin(_create_ask(f'running{used}', used), 100)
    assert model.predict_displacement(ask, 100) > _PART


def test_without_a_known_memory_many_parts_are_remembered() -> None:
    """Only the number of parts is bounded."""
    model = CacheModel()
    for number in range(1, 3001):
        _run(model, f'r{number}', number, number)
    known = [prefix for prefix in range(3001) if model.find(prefix)]
    assert known == list(range(953, 3001))


def test_the_model_agrees_with_an_engine() -> None:
    """It knows what engines of 6 to 400 parts and 6 to 128 slots hold."""
    for parts, slots in ((20, 6), (36, 64), (400, 128)):
        agreed = _compare(random.Random(1), parts, slots)
        assert agreed > 0.97, (parts, slots, agreed)


def _compare(source: random.Random, parts: int, slots: int) -> float:
    """Send requests to a model and an engine's cache, and compare them."""
    model, cache, capacity = CacheModel(), PartCache(), parts * _PART
    model.capacity = capacity
    running: list[tuple[str, list[PromptPart]]] = []
    agreed = 0
    for number in range(4000):
        if len(running) >= min(slots, parts // 2):
            name, used = running.pop(source.randrange(len(running)))
            cache.release(name, used)
            model.end(name)
        prefix = int(parts * 2 * source.random() ** 2) + 1
        ask = _create_ask(f'r{number}', prefix)
        used = [PromptPart(prefix, _PART)]
        cached = cache.acquire(ask.request_id, used)
        agreed += (model.find(prefix) is not None) == bool(cached)
        cache.add(ask.request_id, used)
        running.append((ask.request_id, used))
        cache.evict(capacity - len(running) * _OWN)
        model.begin(ask, number)
        model.note_first_token(ask.request_id)
    return agreed / 4000
