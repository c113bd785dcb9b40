"""Freshness of a local copy of stored state."""

from __future__ import annotations

from egretdale.util.clocks import Clock


#: Time in seconds without an answer of the platform from which on it may have
#: been away for so long that registrations lapsed, which takes three missed
#: renewals; a silent connection is replaced sooner.
_MINIMUM_OUTAGE_S = 2.0


class OutageRecord:
    """When the platform last came back from an outage.

    An outage is a time in which it answered neither this host nor any other
    that this host hears from.

    :ivar returned_at: clock time of the first answer after the last outage.
    """

    __slots__ = ('_answered_at', 'returned_at')

    def __init__(self) -> None:
        """Start without an answer."""
        self.returned_at = float('-inf')
        self._answered_at = float('-inf')

    def note_answer(self, answered_at: float) -> None:
        """Record that the platform has answered a host.

        :param answered_at: clock time of the answer.
        """
        known_before = self._answered_at > float('-inf')
        silent_s = answered_at - self._answered_at
        if known_before and silent_s >= _MINIMUM_OUTAGE_S:
            self.returned_at = answered_at
        self._answered_at = max(self._answered_at, answered_at)

    def note_restoration(self, noticed_at: float, lapse_s: float) -> None:
        """Record that the platform was restored from an older copy.

        :param noticed_at: clock time of an answer that told so.
        :param lapse_s: seconds within which backend servers register again,
            which may have begun with an earlier answer.
        """
        if noticed_at >= self.returned_at + lapse_s:
            self.returned_at = noticed_at

    def measure_silence(self, now: float) -> float:
        """Return the seconds since the platform last answered.

        :param now: clock time.
        """
        return now - self._answered_at


class Confirmation:
    """The latest time at which a copy was confirmed to be current.

    The copy holds every change that was acknowledged before that time. The
    clock must include time during which the process was suspended.
    """

    __slots__ = ('_clock', '_confirmed_at')

    def __init__(self, clock: Clock) -> None:
        """Start without a confirmation.

        :param clock: monotonic clock that includes time in suspension.
        """
        self._clock = clock
        self._confirmed_at = float('-inf')

    def confirm(self, sent_at: float) -> None:
        """Record a read that confirmed that the copy is current.

        :param sent_at: clock time at which the read was sent; later changes
            may be missing from its answer.
        """
        self._confirmed_at = max(self._confirmed_at, sent_at)

    def measure_age(self) -> float:
        """Return the time since the copy was last known to be current.

        :return: seconds, infinite before the first confirmation.
        """
        return self._clock() - self._confirmed_at
