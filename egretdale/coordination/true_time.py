"""The time of day on which the hosts agree."""

from __future__ import annotations

import statistics

from egretdale.coordination.mesh import MeshListener
from egretdale.state.messages import Batch
from egretdale.util.clocks import (
    Clock,
    WallClock,
    convert_to_ms,
    convert_to_seconds,
)

#: Seconds for which the clock of a peer counts after it was last told.
_SAMPLE_AGE_S = 30.0


class TrueTime(MeshListener):
    """Takes the median of the wall clocks of this host and of its peers.

    Each wall clock counts as a distance from this host's monotonic clock, so a
    clock that is off or steps has no effect while most are right. The distance
    of a peer is low by the delay of its message.
    """

    __slots__ = ('_clock', '_samples', '_wall_clock')

    def __init__(self, clock: Clock, wall_clock: WallClock) -> None:
        """Create a time that only this host's clock tells.

        :param clock: monotonic clock that also runs while the host is
            suspended.
        :param wall_clock: wall clock of this host.
        """
        self._clock = clock
        self._wall_clock = wall_clock
        # Distances of the peers' clocks and when they were told, by host.
        self._samples: dict[str, tuple[float, float]] = {}

    def fill(self, host: str, batch: Batch) -> None:
        """Add the wall clock of this host to a batch.

        :param host: receiving host.
        :param batch: the batch.
        """
        batch.clock_ms = convert_to_ms(self._wall_clock())

    def receive(self, batch: Batch) -> None:
        """Take note of a peer's wall clock.

        :param batch: the batch.
        """
        if batch.clock_ms:
            now = self._clock()
            distance = convert_to_seconds(batch.clock_ms) - now
            self._samples[batch.sender] = (distance, now)

    def read(self) -> float:
        """Return the agreed time in seconds since the Unix epoch."""
        now = self._clock()
        oldest = now - _SAMPLE_AGE_S
        if any(told_at < oldest for _, told_at in self._samples.values()):
            self._samples = {
                host: sample
                for host, sample in self._samples.items()
                if sample[1] >= oldest
            }
        distances = [distance for distance, _ in self._samples.values()]
        distances.append(self._wall_clock() - now)
        return now + statistics.median_low(distances)
