"""Counts of begun requests, sent to the host that holds the duties."""

from __future__ import annotations

from dataclasses import dataclass, field

import eventlet

from egretdale.coordination.duties import DUTIES
from egretdale.coordination.mesh import Mesh, MeshListener
from egretdale.coordination.true_time import TrueTime
from egretdale.state.members import list_owners
from egretdale.state.messages import Batch, UsageCount
from egretdale.state.usage import KEPT_WINDOWS, WindowCounts
from egretdale.util.clocks import Clock

#: Shortest and longest time in seconds between two messages that are sent for
#: counts, and what each host adds, as all go to the same hosts.
_SEND_PERIOD_S = 0.5
_LONGEST_PERIOD_S = 1.5
_PERIOD_PER_HOST_S = 0.015
#: Shortest time in seconds between two messages with counts.
_LEAST_PERIOD_S = 0.4
#: Hosts that get all counts: the preferred holder and the next one, so that
#: the counts of a holder are not lost with it.
_KEEPERS = 2


@dataclass(slots=True)
class SentCounts:
    """What one host was sent.

    :ivar counts: counts by window and organisation.
    :ivar sent_at: monotonic time of the last message with counts.
    """

    counts: dict[tuple[int, str], int] = field(default_factory=dict)
    sent_at: float = float('-inf')


class UsageCollector(MeshListener):
    """Counts what this host began and collects the counts of other hosts.

    Counts are totals of a window and a process, so that messages may be lost,
    repeated or late. A host that newly holds the duties gets all again.

    :ivar late: requests that were told after their window was fixed.
    """

    __slots__ = (
        '_clock',
        '_collected',
        '_fixed',
        '_mesh',
        '_own',
        '_sent',
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
        # What the present keepers were sent, by host and incarnation.
        self._sent: dict[tuple[str, int], SentCounts] = {}

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
            period_s = _PERIOD_PER_HOST_S * self._table.count_reachable()
            eventlet.sleep(
                min(max(_SEND_PERIOD_S, period_s), _LONGEST_PERIOD_S)
            )
            oldest = self.find_window() - KEPT_WINDOWS
            self._own.forget(oldest)
            for key, counts in list(self._collected.items()):
                counts.forget(oldest)
                if not counts.list_windows():
                    self._collected.pop(key)
            for (host, _), sent in self._find_keepers().items():
                if self._list_unsent(sent):
                    self._mesh.probe(host)

    # Batches

    def fill(self, host: str, batch: Batch) -> None:
        """Add counts that have risen, for the host that holds the duties.

        :param host: receiving host.
        :param batch: the batch.
        """
        now = self._clock()
        for (keeper, _), sent in self._find_keepers().items():
            if keeper == host and now >= sent.sent_at + _LEAST_PERIOD_S:
                batch.usage = self._list_unsent(sent)
                for entry in batch.usage:
                    sent.counts[(entry.window, entry.organisation)] = (
                        entry.count
                    )
                    sent.sent_at = now

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
        for (keeper, _), sent in self._sent.items():
            if keeper == host:
                sent.counts.clear()

    def _find_keepers(self) -> dict[tuple[str, int], SentCounts]:
        keepers = {}
        for host in list_owners(self._table, DUTIES, _KEEPERS):
            member = self._table.find(host)
            if member is not None and host != self._table.own_host:
                key = (host, member.update.incarnation)
                keepers[key] = self._sent.get(key) or SentCounts()
        self._sent = keepers
        return keepers

    def _list_unsent(self, sent: SentCounts) -> list[UsageCount]:
        return [
            UsageCount(window, organisation, count)
            for window in self._own.list_windows()
            for organisation, count in self._own.find(window).items()
            if sent.counts.get((window, organisation)) != count
        ]
