"""Load and health of backend servers as observed by this host."""

from __future__ import annotations

from dataclasses import dataclass, field

from egretdale.state.instances import Incarnation
from egretdale.util.averages import smooth
from egretdale.util.clocks import Clock

#: Weight of the latest outcome in the failure rate of a backend server.
_FAILURE_SMOOTHING = 0.1
#: First suspension after a failed connection, in seconds.
_SUSPENSION_START_S = 0.3
#: Longest suspension, in seconds.
_SUSPENSION_MAXIMUM_S = 3.0
#: Seconds in which a single request is sent after a suspension.
_TRIAL_S = 0.6
#: Longest standstill of a sound backend server in seconds. It accepts no
#: connections meanwhile once its queue of new ones is full.
STANDSTILL_S = 1.7


@dataclass(slots=True)
class InstanceLoad:
    """Load and health of one backend server.

    :ivar running: number of requests of this host without a complete answer.
    :ivar prefill_tokens: prompt tokens of requests without a first byte.
    :ivar failure_rate: smoothed fraction of failed requests, from 0 to 1.
    :ivar suspended_until: clock time until which it is avoided.
    :ivar suspension_s: length of the last suspension in seconds, 0 after a
        success.
    :ivar tried_until: clock time until which a single request finds out
        whether it can be reached again after a suspension.
    :ivar heard_at: clock time of the last bytes from it, or of the first of
        the requests that run there.
    :ivar hanging_since: clock time at which the first connection began that
        hung, since it was last heard from.
    :ivar hung_at: clock time at which the last one did.
    """

    running: int = 0
    prefill_tokens: int = 0
    failure_rate: float = 0
    suspended_until: float = field(default=float('-inf'))
    suspension_s: float = 0
    tried_until: float = field(default=float('-inf'))
    heard_at: float = field(default=float('-inf'))
    hanging_since: float = field(default=float('inf'))
    hung_at: float = field(default=float('-inf'))


class LoadTable:
    """Loads of backend servers, by incarnation."""

    __slots__ = ('_clock', '_loads')

    def __init__(self, clock: Clock) -> None:
        """Create an empty table.

        :param clock: monotonic clock.
        """
        self._clock = clock
        self._loads: dict[Incarnation, InstanceLoad] = {}

    def find(self, incarnation: Incarnation) -> InstanceLoad:
        """Return the load of a backend server.

        :param incarnation: its incarnation.
        :return: its load; a new entry if it is unknown.
        """
        load = self._loads.get(incarnation)
        if load is None:
            load = InstanceLoad()
            self._loads[incarnation] = load
        return load

    def forget(self, incarnation: Incarnation) -> None:
        """Remove a backend server that has stopped.

        :param incarnation: its incarnation.
        """
        self._loads.pop(incarnation, None)

    def begin(self, incarnation: Incarnation, prompt_tokens: int) -> None:
        """Record that a request is sent.

        :param incarnation: incarnation of the backend server.
        :param prompt_tokens: tokens that have to be prefilled.
        """
        load = self.find(incarnation)
        now = self._clock()
        if not load.running:
            load.heard_at = max(load.heard_at, now)
        if load.suspension_s and load.suspended_until <= now:
            load.tried_until = now + _TRIAL_S
        load.running += 1
        load.prefill_tokens += prompt_tokens

    def note_heard(self, incarnation: Incarnation) -> None:
        """Record that a backend server has sent something.

        :param incarnation: incarnation of the backend server.
        """
        load = self.find(incarnation)
        load.heard_at = self._clock()
        load.suspension_s = 0
        load.suspended_until = float('-inf')
        load.hanging_since = float('inf')

    def note_hanging(self, incarnation: Incarnation, began_at: float) -> None:
        """Record that a connection to a backend server hung.

        :param incarnation: incarnation of the backend server.
        :param began_at: clock time at which it was opened.
        """
        load = self.find(incarnation)
        now = self._clock()
        if now > load.hung_at + _SUSPENSION_MAXIMUM_S:
            load.hanging_since = float('inf')
        load.hung_at = now
        since = max(began_at, load.heard_at)
        load.hanging_since = min(load.hanging_since, since)

    def may_stand_still(self, incarnation: Incarnation) -> bool:
        """Tell whether a backend server may go on that accepts no connections.

        :param incarnation: incarnation of the backend server.
        """
        load = self._loads.get(incarnation)
        if load is None:
            return False
        return self._clock() < load.hanging_since + STANDSTILL_S

    def is_silent(self, incarnation: Incarnation, since: float) -> bool:
        """Tell whether a backend server with requests has sent nothing.

        :param incarnation: incarnation of the backend server.
        :param since: clock time.
        """
        load = self._loads.get(incarnation)
        return load is not None and load.running > 0 and load.heard_at < since

    def note_first_byte(
        self, incarnation: Incarnation, prompt_tokens: int
    ) -> None:
        """Record that a request has been prefilled or never will be.

        :param incarnation: incarnation of the backend server.
        :param prompt_tokens: tokens that were passed to :meth:`begin`.
        """
        load = self._loads.get(incarnation)
        if load is not None:
            load.prefill_tokens -= prompt_tokens

    def end(self, incarnation: Incarnation) -> None:
        """Record that a request no longer runs.

        :param incarnation: incarnation of the backend server.
        """
        load = self._loads.get(incarnation)
        if load is not None:
            load.running -= 1

    def note_outcome(self, incarnation: Incarnation, *, failed: bool) -> None:
        """Record the outcome of a request.

        :param incarnation: incarnation of the backend server.
        :param failed: whether the backend server was at fault.
        """
        load = self.find(incarnation)
        load.failure_rate = smooth(
            load.failure_rate, float(failed), _FAILURE_SMOOTHING
        )
        if not failed:
            load.suspension_s = 0

    def suspend(self, incarnation: Incarnation) -> None:
        """Suspend an unreachable backend server, with exponential backoff.

        :param incarnation: incarnation of the backend server.
        """
        load = self.find(incarnation)
        now = self._clock()
        if load.suspended_until > now:
            return
        longer = max(_SUSPENSION_START_S, load.suspension_s * 2)
        load.suspension_s = min(longer, _SUSPENSION_MAXIMUM_S)
        load.suspended_until = now + load.suspension_s

    def is_suspended(self, incarnation: Incarnation) -> bool:
        """Return whether a backend server is suspended.

        :param incarnation: incarnation of the backend server.
        """
        load = self.find(incarnation)
        if not load.suspension_s:
            return False
        now = self._clock()
        return load.suspended_until > now or load.tried_until > now
