"""What this host knows of the load and the health of backend servers."""

from __future__ import annotations

from dataclasses import dataclass, field

from egretdale.util.averages import smooth
from egretdale.util.clocks import Clock

#: Weight of a new outcome in the failure rate of a backend server.
_FAILURE_SMOOTHING = 0.1
#: First suspension after a failed connection, in seconds.
_SUSPENSION_START_S = 0.3
#: Longest suspension, in seconds.
_SUSPENSION_MAXIMUM_S = 3.0


@dataclass(slots=True)
class InstanceLoad:
    """Requests of this host at a backend server.

    :ivar running: requests that have no complete answer yet.
    :ivar prefill_tokens: prompt tokens of requests without a first byte.
    :ivar failure_rate: smoothed share of failed requests, from 0 to 1.
    :ivar suspended_until: clock time until which it is avoided.
    :ivar suspension_s: length of the last suspension in seconds.
    """

    running: int = 0
    prefill_tokens: int = 0
    failure_rate: float = 0
    suspended_until: float = field(default=float('-inf'))
    suspension_s: float = 0


class LoadTable:
    """Loads of backend servers by their incarnation."""

    __slots__ = ('_clock', '_loads')

    def __init__(self, clock: Clock) -> None:
        """Create an empty table.

        :param clock: monotonic clock.
        """
        self._clock = clock
        self._loads: dict[tuple[str, int], InstanceLoad] = {}

    def find(self, incarnation: tuple[str, int]) -> InstanceLoad:
        """Return the load of a backend server.

        :param incarnation: its incarnation.
        :return: its load, at zero when it is new.
        """
        load = self._loads.get(incarnation)
        if load is None:
            load = InstanceLoad()
            self._loads[incarnation] = load
        return load

    def forget(self, incarnation: tuple[str, int]) -> None:
        """Drop a backend server that has gone.

        :param incarnation: its incarnation.
        """
        self._loads.pop(incarnation, None)

    def begin(self, incarnation: tuple[str, int], prompt_tokens: int) -> None:
        """Note that a request is sent.

        :param incarnation: where it is sent.
        :param prompt_tokens: tokens that have to be prefilled for it.
        """
        load = self.find(incarnation)
        load.running += 1
        load.prefill_tokens += prompt_tokens

    def note_first_byte(
        self, incarnation: tuple[str, int], prompt_tokens: int
    ) -> None:
        """Note that a request has been prefilled, or never will be.

        :param incarnation: where it runs.
        :param prompt_tokens: tokens that were noted at its start.
        """
        load = self._loads.get(incarnation)
        if load is not None:
            load.prefill_tokens -= prompt_tokens

    def end(self, incarnation: tuple[str, int]) -> None:
        """Note that a request no longer runs.

        :param incarnation: where it ran.
        """
        load = self._loads.get(incarnation)
        if load is not None:
            load.running -= 1

    def note_outcome(
        self, incarnation: tuple[str, int], *, failed: bool
    ) -> None:
        """Learn from how a request ended.

        :param incarnation: where it ran.
        :param failed: whether the backend server failed it.
        """
        load = self.find(incarnation)
        load.failure_rate = smooth(
            load.failure_rate, float(failed), _FAILURE_SMOOTHING
        )
        if not failed:
            load.suspension_s = 0

    def suspend(self, incarnation: tuple[str, int]) -> None:
        """Avoid a backend server that cannot be reached.

        :param incarnation: the backend server.
        """
        load = self.find(incarnation)
        now = self._clock()
        if load.suspended_until > now:
            return
        longer = max(_SUSPENSION_START_S, load.suspension_s * 2)
        load.suspension_s = min(longer, _SUSPENSION_MAXIMUM_S)
        load.suspended_until = now + load.suspension_s

    def is_suspended(self, incarnation: tuple[str, int]) -> bool:
        """Tell whether a backend server is avoided at present.

        :param incarnation: the backend server.
        """
        return self.find(incarnation).suspended_until > self._clock()
