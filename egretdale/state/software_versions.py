"""Software versions of backend servers that served recently."""

from __future__ import annotations

from collections.abc import Iterable

from egretdale.state.stream_origins import ORIGIN_RETENTION_S
from egretdale.util.clocks import Clock


class VersionHistory:
    """Software versions by service, with those that have left recently."""

    __slots__ = ('_began_at', '_clock', '_left_at', '_listed')

    def __init__(self, clock: Clock) -> None:
        """Create an empty history.

        :param clock: monotonic clock.
        """
        self._clock = clock
        self._began_at = float('inf')
        self._listed: dict[str, set[str]] = {}
        self._left_at: dict[tuple[str, str], float] = {}

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

    def is_complete(self) -> bool:
        """Tell whether it covers the life of all running streams."""
        return self._began_at + ORIGIN_RETENTION_S <= self._clock()
