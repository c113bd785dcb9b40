"""Counts of begun requests, sent to the host that holds the duties."""

from __future__ import annotations

import eventlet

from egretdale.coordination.duties import DUTIES
from egretdale.coordination.mesh import Mesh, MeshListener
from egretdale.coordination.true_time import TrueTime
from egretdale.state.members import find_owner
from egretdale.state.messages import Batch, UsageCount
from egretdale.state.usage import KEPT_WINDOWS, WindowCounts
from egretdale.util.clocks import Clock

#: Seconds between two messages with counts.
_SEND_PERIOD_S = 0.5
#: Shortest time in seconds between two messages with counts.
_LEAST_PERIOD_S = 0.4


class UsageCollector(MeshListener):
    """Counts what this host began and collects the counts of other hosts.

    Counts are totals of a window and a process, so that messages may be lost,
    repeated or late. All are sent again when another host holds the duties.

    :ivar late: requests that were told after their window was fixed.
    """

    __slots__ = (
        '_clock',
        '_collected',
        '_fixed',
        '_mesh',
        '_owner',
        '_own',
        '_sent',
        '_sent_at',
        '_table',
        '_true_time',
        '_window_s',
        'late',
    )

    def __init__(
        self, mesh: Mesh, true_time: TrueTime, clock: Clock, window_s: float
    ) -> None:
        """Create a collector that has counted nothing.

        :param mesh: links to peers.
        :param true_time: time of day.
        :param clock: monotonic clock.
        :param window_s: length of a window in seconds.
        """
        self.late = 0
        self._mesh = mesh
        self._table = mesh.table
        self._true_time = true_time
        self._clock = clock
        self._window_s = window_s
        self._own = WindowCounts()
        # Counts of other hosts, by host and incarnation.
        self._collected: dict[tuple[str, int], WindowCounts] = {}
        self._fixed = -1
        self._owner: tuple[str, int] = ('', 0)
        self._sent: dict[tuple[int, str], int] = {}
        self._sent_at = clock()

    def note_begin(self, organisation: str) -> None:
        """Count a request that a backend server has begun.

        :param organisation: organisation of the caller, empty for none.
        """
        if organisation:
            self._own.add(self.find_window(), organisation)

    def find_window(self) -> int:
        """Return the number of the present window."""
        return int(self._true_time.read() // self._window_s)

    def sum_window(self, window: int) -> dict[str, int]:
        """Sum the counts of all hosts.

        :param window: number of the window.
        :return: requests by organisation.
        """
        sums = dict(self._own.find(window))
        for counts in self._collected.values():
            for organisation, count in counts.find(window).items():
                sums[organisation] = sums.get(organisation, 0) + count
        return sums

    def note_fixed(self, window: int) -> None:
        """Record that the counts of a window no longer change.

        :param window: number of the window.
        """
        self._fixed = max(self._fixed, window)

    def run(self) -> None:
        """Send counts without end."""
        while True:
            eventlet.sleep(_SEND_PERIOD_S)
            oldest = self.find_window() - KEPT_WINDOWS
            self._own.forget(oldest)
            for key, counts in list(self._collected.items()):
                counts.forget(oldest)
                if not counts.list_windows():
                    self._collected.pop(key)
            owner = self._find_owner()
            if owner != self._table.own_host and self._list_unsent():
                self._mesh.probe(owner)

    # Batches

    def fill(self, host: str, batch: Batch) -> None:
        """Add counts that have risen, for the host that holds the duties.

        :param host: receiving host.
        :param batch: the batch.
        """
        now = self._clock()
        if now < self._sent_at + _LEAST_PERIOD_S:
            return
        if host == self._find_owner():
            batch.usage = self._list_unsent()
            for entry in batch.usage:
                self._sent[(entry.window, entry.organisation)] = entry.count
                self._sent_at = now

    def receive(self, batch: Batch) -> None:
        """Take over the counts of another host.

        :param batch: the batch.
        """
        if not batch.usage or batch.sender == self._table.own_host:
            return
        newest = self.find_window() + 1
        key = (batch.sender, batch.incarnation)
        counts = self._collected.setdefault(key, WindowCounts())
        for entry in batch.usage:
            if newest - KEPT_WINDOWS <= entry.window <= newest:
                rise = counts.raise_to(
                    entry.window, entry.organisation, entry.count
                )
                if entry.window <= self._fixed:
                    self.late += rise

    def note_failure(self, host: str) -> None:
        """Send all counts again, as a message may be lost.

        :param host: name of the host that could not be reached.
        """
        if host == self._owner[0]:
            self._sent.clear()

    def _find_owner(self) -> str:
        owner = find_owner(self._table, DUTIES)
        member = self._table.find(owner)
        identity = (owner, member.update.incarnation if member else 0)
        if identity != self._owner:
            self._owner = identity
            self._sent.clear()
        return owner

    def _list_unsent(self) -> list[UsageCount]:
        return [
            UsageCount(window, organisation, count)
            for window in self._own.list_windows()
            for organisation, count in self._own.find(window).items()
            if self._sent.get((window, organisation)) != count
        ]
