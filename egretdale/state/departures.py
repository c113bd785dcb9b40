"""Backend servers that have said that they leave."""

from __future__ import annotations

from dataclasses import dataclass, replace

from egretdale.util.clocks import Clock

#: Seconds for which a backend server is remembered that is no longer listed:
#: an older list or the report of a host that was cut off may name it again.
_UNLISTED_RETENTION_S = 600.0
#: Departures that are remembered at most.
_MAXIMUM_DEPARTURES = 8192

#: Name and start time in milliseconds of one start of a backend server.
Incarnation = tuple[str, int]


@dataclass(slots=True, frozen=True)
class Departure:
    """A backend server that accepts no new work for the rest of its life.

    :ivar service: its service, empty if unknown.
    :ivar incarnation: the life that ends.
    :ivar since: clock time at which a host first knew.
    :ivar usable_until: clock time until which it may get work that no other
        backend server can do.
    :ivar stated_ms: wall-clock time in milliseconds of a response to this host
        that said so, 0 if the list or a peer did.
    :ivar expires_at: clock time until which it is only assumed.
    """

    service: str
    incarnation: Incarnation
    since: float
    usable_until: float
    stated_ms: int = 0
    expires_at: float = float('inf')


class DepartureTable:
    """Backend servers that leave, by incarnation.

    A departure that was told is never withdrawn; a later life has another start
    time.
    """

    __slots__ = ('_clock', '_departures', '_kept_until')

    def __init__(self, clock: Clock) -> None:
        """Create an empty table.

        :param clock: monotonic clock.
        """
        self._clock = clock
        self._departures: dict[Incarnation, Departure] = {}
        self._kept_until: dict[Incarnation, float] = {}

    def add(self, departure: Departure) -> bool:
        """Add a departure; one that is known may get work for a shorter time.

        :param departure: the departure.
        :return: whether it was not known.
        """
        incarnation = departure.incarnation
        known = self._departures.get(incarnation)
        if known is not None:
            usable_until = min(known.usable_until, departure.usable_until)
            self._departures[incarnation] = replace(
                known,
                usable_until=usable_until,
                stated_ms=max(known.stated_ms, departure.stated_ms),
                expires_at=max(known.expires_at, departure.expires_at),
            )
            return False
        if len(self._departures) >= _MAXIMUM_DEPARTURES:
            self._forget(next(iter(self._departures)))
        self._departures[incarnation] = departure
        self._keep(incarnation)
        return True

    def find(self, incarnation: Incarnation) -> Departure | None:
        """Find the departure of a backend server.

        :param incarnation: its incarnation.
        :return: the departure, ``None`` if it is not known to leave.
        """
        return self._departures.get(incarnation)

    def is_usable(self, incarnation: Incarnation) -> bool:
        """Tell whether a leaving backend server may still get work.

        :param incarnation: its incarnation.
        """
        departure = self._departures.get(incarnation)
        return departure is not None and self._clock() < departure.usable_until

    def expire(self) -> bool:
        """Drop the departures that were only assumed for a time.

        :return: whether there were any.
        """
        now = self._clock()
        expired = [
            incarnation
            for incarnation, departure in self._departures.items()
            if departure.expires_at <= now
        ]
        for incarnation in expired:
            self._forget(incarnation)
        return bool(expired)

    def refresh(self, listed: set[Incarnation]) -> None:
        """Keep the listed backend servers and drop those gone for long.

        :param listed: incarnations in the list of backend servers.
        """
        for incarnation in listed & self._departures.keys():
            self._keep(incarnation)
        now = self._clock()
        for incarnation, until in list(self._kept_until.items()):
            if until <= now:
                self._forget(incarnation)

    def _keep(self, incarnation: Incarnation) -> None:
        self._kept_until[incarnation] = self._clock() + _UNLISTED_RETENTION_S

    def _forget(self, incarnation: Incarnation) -> None:
        self._kept_until.pop(incarnation)
        self._departures.pop(incarnation)
