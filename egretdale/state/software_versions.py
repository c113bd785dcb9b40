"""Software versions of backend servers that served recently."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from egretdale.state.stream_origins import ORIGIN_RETENTION_S
from egretdale.util.clocks import (
    MILLISECONDS_PER_SECOND,
    Clock,
    convert_to_ms,
    convert_to_seconds,
)

#: Seconds by which the wall clocks of two hosts may differ.
_CLOCK_DIFFERENCE_S = 10.0


@dataclass(slots=True, frozen=True)
class RecordedVersion:
    """A software version that serves or has served, as kept in the platform.

    :ivar service: service name.
    :ivar software_version: the version.
    :ivar left_ms: wall-clock time in milliseconds at which its last backend
        server had left, 0 while there is one.
    """

    service: str
    software_version: str
    left_ms: int = 0


class VersionHistory:
    """Software versions by service, with those that have left recently."""

    __slots__ = (
        '_began_at',
        '_clock',
        '_is_restored',
        '_left_at',
        '_listed',
        '_listed_at',
    )

    def __init__(self, clock: Clock) -> None:
        """Create an empty history.

        :param clock: monotonic clock.
        """
        self._clock = clock
        self._began_at = float('inf')
        self._is_restored = False
        self._listed: dict[str, set[str]] = {}
        self._left_at: dict[tuple[str, str], float] = {}
        # Times since when the versions are known to serve or to have served.
        self._listed_at: dict[tuple[str, str], float] = {}

    def update(self, listed: Iterable[tuple[str, str]]) -> None:
        """Record the versions of all listed backend servers.

        :param listed: services and software versions.
        """
        now = self._clock()
        current: dict[str, set[str]] = {}
        for service, version in listed:
            current.setdefault(service, set()).add(version)
        if current:
            self._began_at = min(self._began_at, now)
        for service, versions in self._listed.items():
            for version in versions - current.get(service, set()):
                self._left_at[service, version] = now
        self._left_at = {
            key: left_at
            for key, left_at in self._left_at.items()
            if left_at + ORIGIN_RETENTION_S > now
        }
        self._listed = current
        self._listed_at = {
            key: self._listed_at.get(key, now)
            for key in (*self.list_current(), *self._left_at)
        }

    def note_gap(self) -> None:
        """Record that versions may have served and left unseen until now."""
        self._is_restored = False
        if self._began_at <= self._clock():
            self._began_at = self._clock()

    def list_recent(self, service: str) -> set[str]:
        """List the versions that may have begun a stream that still runs.

        :param service: service name.
        """
        earliest = self._clock() - ORIGIN_RETENTION_S
        left = {
            version
            for (name, version), left_at in self._left_at.items()
            if name == service and left_at > earliest
        }
        return left | self._listed.get(service, set())

    def find_only(self, service: str) -> str:
        """Find the version that all running streams of a service began at.

        :param service: service name.
        :return: the version, empty if there are several or none.
        """
        versions = self.list_recent(service)
        return next(iter(versions)) if len(versions) == 1 else ''

    def has_known_another(
        self, service: str, version: str, for_s: float
    ) -> bool:
        """Tell whether another version has been known for some time.

        :param service: service name.
        :param version: the version.
        :param for_s: seconds for which this host must have known it.
        """
        latest = self._clock() - for_s
        others = self.list_recent(service) - {version}
        return any(
            self._listed_at.get((service, other), latest + 1) <= latest
            for other in others
        )

    def is_complete(self) -> bool:
        """Tell whether it covers the life of all running streams."""
        covered_s = self._clock() - self._began_at
        return self._is_restored or covered_s >= ORIGIN_RETENTION_S

    def list_current(self) -> frozenset[tuple[str, str]]:
        """List the services with the versions that are listed now."""
        return frozenset(
            (service, version)
            for service, versions in self._listed.items()
            for version in versions
        )

    def list_left(self, now_ms: int) -> list[RecordedVersion]:
        """List the versions that have left recently.

        :param now_ms: wall-clock time in milliseconds.
        :return: the versions, with the times at which they left.
        """
        now = self._clock()
        return [
            RecordedVersion(*key, now_ms - convert_to_ms(now - left_at))
            for key, left_at in self._left_at.items()
            if left_at + ORIGIN_RETENTION_S > now
        ]

    def restore(self, recorded: Iterable[RecordedVersion], now_ms: int) -> None:
        """Add what earlier processes of the hosts have recorded.

        A version that was listed then and is not now left in between.

        :param recorded: the versions that served.
        :param now_ms: wall-clock time in milliseconds.
        """
        now = self._clock()
        current = self.list_current()
        for entry in recorded:
            key = (entry.service, entry.software_version)
            left_s = float(0)
            if entry.left_ms:
                left_s = convert_to_seconds(now_ms - entry.left_ms)
            left_s -= _CLOCK_DIFFERENCE_S
            if key not in current and left_s < ORIGIN_RETENTION_S:
                self._left_at.setdefault(key, now - max(0, left_s))
        self._is_restored = True


def add_unrecorded(
    recorded: Iterable[RecordedVersion], left: Iterable[RecordedVersion]
) -> tuple[RecordedVersion, ...]:
    """Add versions that have left to a record that lacks them.

    :param recorded: the record.
    :param left: versions that have left.
    :return: the record, with the times of those that it has unchanged.
    """
    by_key = {
        (entry.service, entry.software_version): entry for entry in recorded
    }
    for entry in left:
        by_key.setdefault((entry.service, entry.software_version), entry)
    return tuple(by_key.values())


def update_record(
    recorded: Iterable[RecordedVersion],
    current: frozenset[tuple[str, str]],
    now_ms: int,
) -> list[RecordedVersion]:
    """Bring the record of the versions up to date.

    :param recorded: the record.
    :param current: services with the versions that are listed.
    :param now_ms: wall-clock time in milliseconds.
    :return: the record; an equal one if nothing has to be written.
    """
    by_key = {
        (entry.service, entry.software_version): entry for entry in recorded
    }
    changed = {
        key: RecordedVersion(*key)
        for key in current
        if key not in by_key or by_key[key].left_ms
    }
    changed.update(
        (key, RecordedVersion(*key, now_ms))
        for key, entry in by_key.items()
        if not entry.left_ms and key not in current
    )
    if not changed:
        return list(by_key.values())
    retention_s = ORIGIN_RETENTION_S + 2 * _CLOCK_DIFFERENCE_S
    earliest_ms = now_ms - retention_s * MILLISECONDS_PER_SECOND
    merged = {**by_key, **changed}.values()
    return [
        entry
        for entry in merged
        if not entry.left_ms or entry.left_ms > earliest_ms
    ]
