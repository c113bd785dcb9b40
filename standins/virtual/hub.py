"""An event hub whose time passes without waiting."""

from __future__ import annotations

import itertools
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any

from eventlet import hubs
from eventlet.hubs.hub import BaseHub


class _OrderedTime(float):  # noqa: WPS600
    """A time that also remembers the sequence in which it was set."""

    __slots__ = ('sequence',)

    sequence: int

    def __lt__(self, other: float) -> bool:
        """Order by time, then by sequence."""
        if float(self) != float(other):
            return float(self) < float(other)
        return self.sequence < getattr(other, 'sequence', self.sequence)

    def __eq__(self, other: object) -> bool:
        """Tell whether both are the same setting."""
        return self is other

    def __hash__(self) -> int:
        """Hash by time."""
        return hash(float(self))


class VirtualHub(BaseHub):
    """Jumps to the next timer instead of waiting for it.

    Timers that are due together run in the order in which they were set, so
    that a run depends on nothing but its seeds.

    :ivar now: virtual time in seconds.
    :ivar is_left: whether another hub has taken its place.
    """

    def __init__(self, clock: Any = None) -> None:
        """Start at time zero.

        :param clock: ignored; the hub keeps its own time.
        """
        self.now = float(0)
        self.is_left = False
        self._sequence = itertools.count()
        super().__init__(self.read_now)

    def read_now(self) -> float:
        """Return the virtual time in seconds."""
        return self.now

    def wait(self, seconds: float | None = None) -> None:
        """Let time pass.

        :param seconds: seconds until the next timer.
        """
        if self.is_left:
            # A task of this hub has ended after its time; without this its
            # timers would run for ever, and real time would never go on.
            hubs.get_hub().switch()
        if seconds:
            self.now += seconds

    def add_timer(self, timer: Any) -> Any:
        """Schedule a timer.

        :param timer: the timer.
        :return: the timer.
        """
        due = _OrderedTime(self.now + timer.seconds)
        due.sequence = next(self._sequence)
        timer.scheduled_time = due
        self.next_timers.append((due, timer))
        return timer


@contextmanager
def use_virtual_time() -> Iterator[VirtualHub]:
    """Run everything inside on virtual time.

    :return: the hub.
    """
    previous = type(hubs.get_hub())
    hubs.use_hub(VirtualHub)
    hub: Any = hubs.get_hub()
    try:
        yield hub
    finally:
        hub.is_left = True
        hubs.use_hub(previous)
