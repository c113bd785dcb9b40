"""Requests of a host that is shutting down."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, replace
from functools import partial

import eventlet
from eventlet import hubs

from egretdale.coordination.admission import AdmittedRequest
from egretdale.coordination.exchanges import HostStopped
from egretdale.state.outcomes import STOPPING_REFUSAL, Reason, Refused
from egretdale.util.clocks import Clock


#: Seconds from the end of a shutdown to the deadline of the requests that run
#: until then; those that wait for a backend server are ended before.
_DEADLINE_MARGIN_S = 0.1


@dataclass(slots=True, frozen=True)
class StopTimes:
    """Phases of a graceful shutdown, as clock times.

    :ivar selects_at: time from which requests are accepted only if they end
        in time whatever happens to them.
    :ivar ends_at: time at which requests that still run are answered.
    """

    selects_at: float
    ends_at: float


class StoppingRequests:
    """Decides which requests a shutdown admits, and ends them in time.

    :ivar aborted: requests that were ended because the time was over.
    """

    __slots__ = ('_clock', '_ends', '_is_closed', '_times', 'aborted')

    def __init__(self, clock: Clock) -> None:
        """Create a set without requests, before any shutdown.

        :param clock: monotonic clock.
        """
        self._clock = clock
        self._times: StopTimes | None = None
        self._is_closed = False
        self._ends: set[Callable[[], None]] = set()
        self.aborted = 0

    def begin(self, times: StopTimes) -> None:
        """Begin a shutdown.

        :param times: its phases.
        """
        self._times = times
        left_s = max(0, times.ends_at - self._clock())
        hubs.get_hub().schedule_call_global(left_s, self.end_all)

    def close(self) -> None:
        """Admit no more requests."""
        self._is_closed = True

    def check(self, admitted: AdmittedRequest) -> AdmittedRequest | Refused:
        """Decide whether a request can still be served.

        :param admitted: the request.
        :return: the request, whose deadline is within the shutdown, or a
            refusal.
        """
        if self._is_closed:
            return self.refuse(is_relayed=admitted.request.is_relayed)
        times = self._times
        if times is None or admitted.deadline_at <= times.ends_at:
            return admitted
        if self._clock() >= times.selects_at:
            return self.refuse(is_relayed=admitted.request.is_relayed)
        ends_at = times.ends_at + _DEADLINE_MARGIN_S
        return replace(admitted, deadline_at=ends_at)

    def refuse(self, *, is_relayed: bool = False) -> Refused:
        """Refuse a request that has not run.

        :param is_relayed: whether another host has relayed it, which then
            tries a further one.
        """
        if is_relayed:
            return replace(STOPPING_REFUSAL, reason=Reason.HOST_CUT_OFF)
        return STOPPING_REFUSAL

    def is_closed(self) -> bool:
        """Tell whether no more requests are admitted."""
        return self._is_closed

    @contextmanager
    def interrupt(self) -> Iterator[None]:
        """Let the shutdown interrupt the current task in the context.

        :raises HostStopped: the shutdown has ended.
        """
        end = partial(
            eventlet.getcurrent().throw, HostStopped('this host has shut down')
        )
        self.add(end)
        try:
            yield
        finally:
            self.remove(end)

    def add(self, end: Callable[[], None]) -> None:
        """Add a request in progress.

        :param end: ends it when the shutdown ends.
        """
        self._ends.add(end)

    def remove(self, end: Callable[[], None]) -> None:
        """Remove a request that has ended.

        :param end: what would have ended it.
        """
        self._ends.discard(end)

    def end_all(self) -> None:
        """End the requests in progress."""
        for end in list(self._ends):
            # Tasks may be interrupted from the hub only.
            hubs.get_hub().schedule_call_global(0, self._end, end)

    def _end(self, end: Callable[[], None]) -> None:
        if end in self._ends:
            self.aborted += 1
            end()
