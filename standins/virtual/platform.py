"""Simulates the platform, with outages and lost replies."""

from __future__ import annotations

import eventlet

from egretdale.coordination.ports import (
    WATCH_MARGIN_S,
    Listing,
    Position,
    StoredObject,
    Written,
)
from egretdale.errors import (
    Ambiguous,
    Cause,
    Conflict,
    Missing,
    Unreachable,
)
from egretdale.protocol.eras import EraTracker
from standins.models.store import ObjectStore, Snapshot, StoreEntry
from standins.virtual.network import HostFaults

_TIMEOUT_S = 2.0
_WATCH_INTERVAL_S = 0.05


class PlatformState:
    """The store and its faults, shared by the clients of all hosts.

    :ivar store: the objects.
    :ivar down: whether calls fail.
    :ivar slow_s: seconds that every call takes.
    :ivar lose_replies: whether writes take effect but their replies are lost.
    :ivar silent: hosts whose watches see no change before they time out.
    :ivar cut: hosts that cannot reach the platform.
    :ivar hung: hosts whose present watch is never answered.
    """

    __slots__ = (
        'cut',
        'down',
        'hung',
        'lose_replies',
        'silent',
        'slow_s',
        'store',
    )

    def __init__(self) -> None:
        """Create an empty platform without faults."""
        self.store = ObjectStore()
        self.down = False
        self.slow_s = 0.002
        self.lose_replies = False
        self.silent: set[str] = set()
        self.cut: set[str] = set()
        self.hung: set[str] = set()


class VirtualPlatform:
    """Client of one host for calls to the platform."""

    __slots__ = ('_eras', '_faults', '_host', '_listed_eras', '_state')

    def __init__(
        self, host: str, state: PlatformState, faults: HostFaults
    ) -> None:
        """Create the client of a host.

        :param host: name of the host.
        :param state: the platform.
        :param faults: faults of hosts.
        """
        self._host = host
        self._state = state
        self._faults = faults
        self._eras = EraTracker()
        # Era of the last listing of each kind.
        self._listed_eras: dict[str, int] = {}

    @property
    def era(self) -> int:
        """Highest era of the platform that is known, 0 if unknown."""
        return self._eras.newest

    def hear_era(self, era: int) -> None:
        """Take note of an era that a peer knows."""
        self._eras.hear(era)

    def read(
        self, kind: str, name: str
    ) -> StoredObject | Missing | Unreachable:
        """Read one object."""
        failed = self._check_availability()
        if failed is not None:
            return failed
        store = self._state.store
        entry = store.read(kind, name)
        self._eras.accept(str(store.era))
        if entry is None:
            return Missing(name)
        return _convert(entry, store.era)

    def list_objects(self, kind: str) -> Listing | Unreachable:
        """List all objects of a kind."""
        failed = self._check_availability()
        if failed is not None:
            return failed
        return self._convert_listing(kind, self._state.store.snapshot(kind))

    def watch(
        self, kind: str, version: int, timeout_s: float
    ) -> Listing | Unreachable:
        """Wait for a listing that is newer than a version."""
        polls = round(timeout_s / _WATCH_INTERVAL_S)
        for poll in range(polls):
            if self._host in self._state.hung:
                self._state.hung.remove(self._host)
                left_s = timeout_s - poll * _WATCH_INTERVAL_S
                eventlet.sleep(left_s + WATCH_MARGIN_S)
                return Unreachable(Cause.SILENT)
            failed = self._check_availability()
            if failed is not None:
                return failed
            silent = self._host in self._state.silent
            snapshot = self._state.store.snapshot(kind)
            is_restored = snapshot.era != self._listed_eras.get(kind)
            if (is_restored or snapshot.version > version) and not silent:
                return self._convert_listing(kind, snapshot)
            eventlet.sleep(_WATCH_INTERVAL_S)
        return self.list_objects(kind)

    def is_newest(
        self, kind: str, position: Position, timeout_s: float
    ) -> bool | Unreachable:
        """Tell whether no listing is newer than one."""
        failed = self._check_availability()
        if failed is not None:
            return failed
        snapshot = self._state.store.snapshot(kind)
        self._eras.accept(str(snapshot.era))
        return (snapshot.era, snapshot.version) == position

    def write(
        self, kind: str, name: str, body: bytes, expected: Position
    ) -> Written | Conflict | Unreachable | Ambiguous:
        """Write an object if its position is the expected one."""
        failed = self._check_availability()
        if failed is None:
            failed = self._eras.check_expected(expected)
        if failed is not None:
            return failed
        store = self._state.store
        entry = store.write(kind, name, body.decode(), expected[1])
        if self._state.lose_replies:
            eventlet.sleep(_TIMEOUT_S)
            return Ambiguous(Cause.SLOW)
        self._faults.pause_or_exit(self._host)
        self._eras.accept(str(store.era))
        crossing = self._eras.check_crossing(expected)
        if crossing is not None:
            return crossing
        if entry is None:
            return Conflict(0)
        return Written(entry.version, store.era)

    def _convert_listing(self, kind: str, snapshot: Snapshot) -> Listing:
        self._eras.accept(str(snapshot.era))
        self._listed_eras[kind] = snapshot.era
        entries = tuple(_convert(entry) for entry in snapshot.entries)
        return Listing(snapshot.version, entries, snapshot.era)

    def _check_availability(self) -> Unreachable | None:
        self._faults.pause_or_exit(self._host)
        eventlet.sleep(self._state.slow_s)
        self._faults.pause_or_exit(self._host)
        if self._state.down or self._host in self._state.cut:
            eventlet.sleep(0.1)
            return Unreachable(Cause.REFUSED)
        return None


def _convert(entry: StoreEntry, era: int = 0) -> StoredObject:
    return StoredObject(entry.name, entry.version, entry.text.encode(), era)
