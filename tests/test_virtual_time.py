"""Tests of the event hub on virtual time."""

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

#: Seconds of real time after which a loop counts as endless.
_STALL_S = 10


@contextmanager
def _fail_when_stalled() -> Iterator[None]:
    def fail(number: int, frame: FrameType | None) -> None:
        raise AssertionError('real time has stopped')

    previous = signal.signal(signal.SIGALRM, fail)
    signal.alarm(_STALL_S)
    try:
        yield
    finally:
        signal.alarm(0)
        signal.signal(signal.SIGALRM, previous)


def test_tasks_that_outlive_the_virtual_hub_do_not_block_real_time() -> None:
    """A task that is woken after its hub was replaced ends normally.

    Its hub used to keep running its own timers forever, so that real time
    stopped.
    """
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
