"""Tests of the hub with virtual time."""

from __future__ import annotations

import signal
from collections.abc import Iterator
from contextlib import contextmanager
from types import FrameType

import eventlet
from eventlet.event import Event

from standins.virtual.hub import use_virtual_time
from tests.functions import create_loader

load_tests = create_loader(__name__)

#: Seconds of real time after which a loop is taken for endless.
_STALL_S = 10


@contextmanager
def _fail_when_stalled() -> Iterator[None]:
    def fail(number: int, frame: FrameType | None) -> None:
        raise AssertionError('real time does not go on')

    before = signal.signal(signal.SIGALRM, fail)
    signal.alarm(_STALL_S)
    try:
        yield
    finally:
        signal.alarm(0)
        signal.signal(signal.SIGALRM, before)


def test_tasks_that_outlive_virtual_time_do_not_stop_real_time() -> None:
    """A task that is woken later ends, and real time goes on."""
    event = Event()
    ended = []

    def wait() -> None:
        ended.append(event.wait())

    with use_virtual_time():
        eventlet.spawn(wait)
        eventlet.sleep(1)
    with _fail_when_stalled():
        event.send('late')
        eventlet.sleep(0.01)
    assert ended == ['late']
