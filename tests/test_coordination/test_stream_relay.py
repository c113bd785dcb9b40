"""Tests of streams of the project's own interface that break off."""

from __future__ import annotations

from dataclasses import dataclass, field
from itertools import repeat
from types import SimpleNamespace

from egretdale.coordination.attempts import Attempt
from egretdale.coordination.ports import EndOfStream, MaybeRun
from egretdale.coordination.requests import StreamLog
from egretdale.coordination.stream_relay import StreamRelay
from egretdale.state.outcomes import Ran, Reason, Refused
from tests.forwarding import ScriptedResponse
from tests.functions import create_loader
from tests.growth import MAXIMUM_GROWTH, measure_growth

load_tests = create_loader(__name__)

_EVENTS = (b'data: a\n\n', b'data: b\n\n', b'data: [DONE]\n\n')
_TYPE = ('Content-Type', 'text/event-stream; charset=utf-8')
_ERROR = b'no engine\n\ntry again\n\ndata: [DONE]\n\n'
_FAILED = Refused(Reason.BACKEND_FAILED, Ran.UNKNOWN, detail='failed')
_BROKEN = MaybeRun('reset')


def _create_attempt(stream: ScriptedResponse) -> Attempt:
    active = SimpleNamespace(
        backend='e1', paused_at=None, first_token_at=None, tokens=0
    )
    return Attempt(active, SimpleNamespace(), stream, 'a:1', 's1')


@dataclass
class _Manager:
    """Restarts a stream with scripted responses.

    :ivar failed: responses that were given up.
    """

    restarts: list[ScriptedResponse]
    failed: list[ScriptedResponse] = field(default_factory=list)

    def clock(self) -> float:
        """Return the time."""
        return 1.0

    def reconnect(self, attempt: Attempt, after: int) -> bool:
        """Fail to connect to the same engine again."""
        return False

    def fail(self, state: object, attempt: Attempt, detail: str) -> None:
        """Record a failed attempt."""
        self.failed.append(attempt.stream)

    def restart_stream(self, state: object, log: object) -> Attempt | Refused:
        """Return the next response."""
        if not self.restarts:
            return _FAILED
        return _create_attempt(self.restarts.pop(0))

    def settle_claim(self, state: object, *, ran: bool) -> None:
        """Settle nothing."""

    def count_wasted_tokens(self, *counted: object) -> None:
        """Count nothing."""

    def finish(self, *finished: object) -> None:
        """Finish the stream."""


def _read(manager: _Manager) -> bytes:
    begun = ScriptedResponse([_EVENTS[0], _BROKEN], headers=[_TYPE])
    begun.finish = EndOfStream
    relay = StreamRelay(manager, SimpleNamespace(), _create_attempt(begun))
    relay.start()
    return b''.join(iter(relay.read, None))


def test_no_error_of_the_next_engine_is_part_of_a_stream() -> None:
    """Its text has lines that look like events, even like the last one."""
    for status, headers in (
        (500, [_TYPE]),
        (404, [('Content-Type', 'text/plain')]),
        (200, [('Content-Type', 'text/html')]),
        (200, []),
        (503, []),
    ):
        error = ScriptedResponse([_ERROR], status, headers)
        manager = _Manager([error])
        assert _read(manager) == _EVENTS[0], status
        assert error in manager.failed


def test_a_stream_goes_on_after_an_error_of_one_engine() -> None:
    """The engine after it is asked for the rest."""
    error = ScriptedResponse([_ERROR], 500, [_TYPE])
    sound = ScriptedResponse([_EVENTS[1] + _EVENTS[2]], headers=[_TYPE])
    sound.finish = EndOfStream
    assert _read(_Manager([error, sound])) == b''.join(_EVENTS)


def test_an_event_without_end_is_not_searched_again_for_each_chunk() -> None:
    """An engine that sends one byte a chunk must not hold up a host."""

    def accept(size: int) -> None:
        log = StreamLog()
        for _ in range(size):
            log.accept(b'.')

    assert measure_growth(accept, 8192) < MAXIMUM_GROWTH


def test_an_event_without_end_is_given_up() -> None:
    """A faulty engine must not use up the memory of a host."""
    endless = ScriptedResponse([_EVENTS[0], *repeat(b'.' * 65536, 64)])
    manager = _Manager([])
    relay = StreamRelay(manager, SimpleNamespace(), _create_attempt(endless))
    relay.start()
    relay.read()
    assert relay.read() is None
    assert manager.failed == [endless]
    assert len(endless.steps) > 32


def test_a_stream_without_end_is_not_kept() -> None:
    """It is passed on, and can not be continued by another engine."""
    log = StreamLog()
    event = b'data: ' + b'x' * 65536 + b'\n\n'
    for _ in range(256):
        assert log.accept(event) == event
    assert sum(map(len, log.chunks)) < 2 * 4194304
    assert log.is_too_long()
    assert log.accept(_EVENTS[2])
    assert log.is_complete()
