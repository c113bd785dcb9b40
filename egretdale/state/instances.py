"""Table of the backend servers that requests may be sent to."""

from __future__ import annotations

from dataclasses import dataclass

from egretdale.state.departures import (
    Departure,
    DepartureTable,
    Incarnation,
)
from egretdale.state.software_versions import VersionHistory
from egretdale.util.clocks import Clock, WallClock, convert_to_ms

#: Software version of backend servers that do not tell theirs.
UNKNOWN_VERSION = 'unknown'

#: Seconds after the list said that a backend server leaves in which it gets
#: work that no other one can do. The list may say so seconds late.
_LISTED_USE_S = 0.5
#: Seconds after the earliest time at which the list may have said so, up to
#: which it gets such work; connections to it may take half a second to open.
_LATEST_USE_S = 1.5
#: Seconds for which a backend server is assumed to leave that has restarted, if
#: its former life seemed to say so when the present one was running already.
_ASSUMED_S = 30.0


@dataclass(slots=True, frozen=True)
class Instance:
    """One incarnation of a backend server.

    :ivar name: name that the backend server registered with.
    :ivar service: service that it belongs to.
    :ivar address: ``address:port``.
    :ivar data_centre: its data centre.
    :ivar born_ms: start time in milliseconds since the Unix epoch, 0 if
        unknown.
    :ivar slots: number of requests that it processes concurrently.
    :ivar leaving: whether the list says that it no longer accepts new work.
    :ivar software_version: version of its software.
    :ivar is_spot: whether it may be reclaimed with little notice.
    """

    name: str
    service: str
    address: str
    data_centre: str = ''
    born_ms: int = 0
    slots: int = 0
    leaving: bool = False
    software_version: str = UNKNOWN_VERSION
    is_spot: bool = False

    @property
    def incarnation(self) -> Incarnation:
        """Name and start time, which change with a restart."""
        return self.name, self.born_ms

    @property
    def incarnation_name(self) -> str:
        """Name of the incarnation as text, which changes with a restart."""
        return f'{self.name}.{self.born_ms}'

    def runs_version(self, software_version: str) -> bool:
        """Tell whether it runs a software version.

        :param software_version: the version, empty for any.
        """
        return software_version in {'', self.software_version}


class InstanceTable:
    """Backend servers by service.

    An entry that disappeared during an outage of the list is kept for a grace
    period: its backend server may only have been unable to renew it.

    :ivar versions: software versions that served recently.
    :ivar departures: backend servers that leave, whoever has said so.
    """

    __slots__ = (
        '_by_service',
        '_clock',
        '_lapse_s',
        '_lapsing',
        '_leaving',
        '_listed',
        '_wall_clock',
        'departures',
        'versions',
    )

    def __init__(
        self, clock: Clock, lapse_s: float, wall_clock: WallClock | None = None
    ) -> None:
        """Create an empty table.

        :param clock: monotonic clock.
        :param lapse_s: seconds for which an entry is kept that disappeared
            during an outage of the list.
        :param wall_clock: wall clock, which start times are compared with;
            ``None`` if ``clock`` tells the same time.
        """
        self._wall_clock = wall_clock or clock
        self.versions = VersionHistory(clock)
        self.departures = DepartureTable(clock)
        self._clock = clock
        self._lapse_s = lapse_s
        self._listed: dict[str, Instance] = {}
        self._lapsing: dict[str, float] = {}
        self._by_service: dict[str, list[Instance]] = {}
        self._leaving: dict[str, list[Instance]] = {}

    def replace(
        self,
        instances: dict[str, Instance],
        *,
        after_outage: bool,
        lapsed_at: float | None = None,
        changed_after: float | None = None,
    ) -> list[Instance]:
        """Replace the table by a newer list.

        :param instances: backend servers by name.
        :param after_outage: whether the list was unreadable until recently.
        :param lapsed_at: latest clock time until which missing entries are
            kept after an outage, ``None`` if it has just ended.
        :param changed_after: clock time after which the list has changed,
            ``None`` for the present time.
        :return: backend servers that are no longer listed or have restarted.
        """
        now = self._clock()
        if after_outage:
            self._begin_lapses(instances, lapsed_at)
        kept = dict(instances)
        gone = []
        for name, known in self._listed.items():
            current = instances.get(name)
            if current is None and self._lapsing.get(name, now) > now:
                kept[name] = known
            elif current is None or current.incarnation != known.incarnation:
                gone.append(known)
        self._lapsing = {
            lapsing: until
            for lapsing, until in self._lapsing.items()
            if lapsing in kept and lapsing not in instances
        }
        known_before = self._listed
        self._listed = kept
        self._add_listed_departures(changed_after)
        self._add_assumed_departures(known_before)
        self._index()
        return gone

    def expire(self) -> list[Instance]:
        """Remove entries that were not listed again after an outage.

        :return: the removed entries.
        """
        now = self._clock()
        expired = [
            name for name, until in self._lapsing.items() if until <= now
        ]
        dropped = [self._listed.pop(name) for name in expired]
        for name in expired:
            self._lapsing.pop(name)
        if self.departures.expire() or dropped:
            self._index()
        return dropped

    def list_ready(self, service: str) -> list[Instance]:
        """List the backend servers of a service that accept new work.

        :param service: service name.
        :return: backend servers, without those that are leaving.
        """
        return self._by_service.get(service, [])

    def list_leaving(self, service: str) -> list[Instance]:
        """List the backend servers of a service that are leaving.

        :param service: service name.
        """
        return self._leaving.get(service, [])

    def count_leaving(self) -> int:
        """Count the listed backend servers that are leaving."""
        return sum(map(len, self._leaving.values()))

    def list_last_resorts(self, service: str) -> list[Instance]:
        """List the leaving backend servers that may still get some work.

        :param service: service name.
        :return: backend servers for requests that no other one can serve.
        """
        return [
            instance
            for instance in self.list_leaving(service)
            if self.departures.is_usable(instance.incarnation)
        ]

    def is_leaving(self, instance: Instance) -> bool:
        """Tell whether a backend server leaves, whoever has said so.

        :param instance: its entry.
        """
        return self.departures.find(instance.incarnation) is not None

    def read_wall_ms(self) -> int:
        """Return the wall-clock time in milliseconds."""
        return convert_to_ms(self._wall_clock())

    def note_leaving(self, departure: Departure) -> bool:
        """Record that a backend server leaves, also one that is not listed.

        :param departure: its departure.
        :return: whether that was not known.
        """
        if not self.departures.add(departure):
            return False
        listed = self._listed.get(departure.incarnation[0])
        if listed is not None and self.is_leaving(listed):
            self._index()
        return True

    def find(self, name: str) -> Instance | None:
        """Find a backend server.

        :param name: its name.
        :return: its entry, or ``None`` if it is not listed.
        """
        return self._listed.get(name)

    def list_all(self) -> list[Instance]:
        """List all backend servers, also those that are leaving."""
        return list(self._listed.values())

    def count(self) -> int:
        """Count the listed backend servers."""
        return len(self._listed)

    def _begin_lapses(
        self, instances: dict[str, Instance], lapsed_at: float | None
    ) -> None:
        until = self._clock() + self._lapse_s
        if lapsed_at is not None:
            until = min(until, lapsed_at)
        for name in self._listed:
            if name not in instances:
                self._lapsing.setdefault(name, until)

    def _index(self) -> None:
        self.versions.update(
            (instance.service, instance.software_version)
            for instance in self._listed.values()
        )
        self._by_service = {}
        self._leaving = {}
        for instance in self._listed.values():
            is_leaving = self.is_leaving(instance)
            index = self._leaving if is_leaving else self._by_service
            index.setdefault(instance.service, []).append(instance)

    def _add_listed_departures(self, changed_after: float | None) -> None:
        now = self._clock()
        usable_until = now + _LISTED_USE_S
        if changed_after is not None:
            usable_until = min(usable_until, changed_after + _LATEST_USE_S)
        for instance in self._listed.values():
            if instance.leaving:
                self.departures.add(
                    Departure(
                        instance.service,
                        instance.incarnation,
                        now,
                        usable_until,
                    )
                )
        self.departures.refresh(
            {entry.incarnation for entry in self._listed.values()}
        )

    def _add_assumed_departures(
        self, known_before: dict[str, Instance]
    ) -> None:
        """Add the departures of backend servers that restarted unnoticed.

        The response that said so may be of the present life, while this host
        still had the entry of the former one.

        :param known_before: entries of the former list, by name.
        """
        now = self._clock()
        for name, instance in self._listed.items():
            known = known_before.get(name)
            if known is None or known.born_ms >= instance.born_ms:
                continue
            departure = self.departures.find(known.incarnation)
            if departure is None or departure.stated_ms < instance.born_ms:
                continue
            self.departures.add(
                Departure(
                    instance.service,
                    instance.incarnation,
                    now,
                    now,
                    expires_at=now + _ASSUMED_S,
                )
            )
