"""An eventlet hub on virtual time, which advances without waiting."""

from __future__ import annotations

import itertools
from collections.abc import Iterator
from contextlib import contextmanager
from typing import Any

from eventlet import hubs
from eventlet.hubs.hub import BaseHub


class _OrderedTime(float):  # noqa: WPS600
    """A time with a sequence number, to order timers due together."""

    __slots__ = ('sequence',)

    sequence: int

    def __lt__(self, other: float) -> bool:
        """Order by time, then by sequence."""
        if float(self) != float(other):
            return float(self) < float(other)
        return self.sequence < getattr(other, 'sequence', self.sequence)

    def __eq__(self, other: object) -> bool:
        """Compare by identity, since each sequence number is unique."""
        return self is other

    def __hash__(self) -> int:
        """Hash by time."""
        return hash(float(self))


class VirtualHub(BaseHub):
    """Advances its clock to the next timer instead of waiting for it.

    Timers that are due together run in the order in which they were added, so
    that a run is determined by its seeds.

    :ivar now: virtual time in seconds.
    :ivar is_replaced: whether another hub has replaced it.
    """

    def __init__(self, clock: Any = None) -> None:
        """Start at time zero.

        :param clock: ignored; the hub keeps its own time.
        """
        self.now = float(0)
        self.is_replaced = False
        self._sequence = itertools.count()
        super().__init__(self.read_now)

    def read_now(self) -> float:
        """Return the virtual time in seconds."""
        return self.now

    def wait(self, seconds: float | None = None) -> None:
        """Advance the virtual time.

        :param seconds: seconds until the next timer.
        """
        if self.is_replaced:
            # A task of this hub has ended after the hub was replaced. Without
            # the switch its timers would run forever and block real time.
            hubs.get_hub().switch()
        if seconds:
            self.now += seconds

    def add_timer(self, timer: Any) -> Any:
        """Add a timer.

        :param timer: the timer.
        :return: the timer.
        """
        due_at = _OrderedTime(self.now + timer.seconds)
        due_at.sequence = next(self._sequence)
        timer.scheduled_time = due_at
        self.next_timers.append((due_at, timer))
        return timer


@contextmanager
def use_virtual_time() -> Iterator[VirtualHub]:
    """Run the body of the ``with`` statement on virtual time.

    :return: the hub.
    """
    previous_hub = type(hubs.get_hub())
    hubs.use_hub(VirtualHub)
    hub: Any = hubs.get_hub()
    try:
        yield hub
    finally:
        hub.is_replaced = True
        hubs.use_hub(previous_hub)
