"""Whether this host reaches the backend servers at all."""

from __future__ import annotations

from egretdale.state.instances import Incarnation
from egretdale.state.loads import STANDSTILL_S
from egretdale.util.clocks import Clock

#: Backend servers that have to be unreachable, with none heard from since.
_UNREACHABLE_SERVERS = 3


class BackendLinks:
    """Backend servers that could not be reached since one was heard from."""

    __slots__ = ('_clock', '_failed', '_heard_at', '_rejected')

    def __init__(self, clock: Clock) -> None:
        """Create a record without failures.

        :param clock: monotonic clock.
        """
        self._clock = clock
        self._heard_at = clock()
        # Times at which the connections began that failed first.
        self._failed: dict[Incarnation, float] = {}
        self._rejected: set[Incarnation] = set()

    def note_failure(
        self, incarnation: Incarnation, began_at: float, *, is_hanging: bool
    ) -> None:
        """Record that no connection to a backend server could be opened.

        :param incarnation: its incarnation.
        :param began_at: clock time at which the connection began.
        :param is_hanging: whether there was no reply to it.
        """
        since = max(began_at, self._heard_at)
        self._failed.setdefault(incarnation, since)
        if not is_hanging:
            self._rejected.add(incarnation)

    def note_heard(self) -> None:
        """Record that a backend server has sent something."""
        self._heard_at = self._clock()
        if self._failed:
            self._failed.clear()
            self._rejected.clear()

    def forget(self, incarnation: Incarnation) -> None:
        """Remove a backend server that has gone.

        :param incarnation: its incarnation.
        """
        self._failed.pop(incarnation, None)
        self._rejected.discard(incarnation)

    def is_cut_off(self, servers: int) -> bool:
        """Tell whether this host reaches no backend server.

        Connections may also hang because all servers stand still for a while.

        :param servers: number of listed backend servers.
        """
        wanted = max(1, min(_UNREACHABLE_SERVERS, servers))
        if len(self._rejected) >= wanted:
            return True
        if len(self._failed) < wanted:
            return False
        return self._clock() >= min(self._failed.values()) + STANDSTILL_S
