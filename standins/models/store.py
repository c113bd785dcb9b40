"""A model of the platform's object store with conditional writes."""

from __future__ import annotations

from collections import Counter, defaultdict
from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class StoreEntry:
    """A stored object.

    :ivar name: name within its kind.
    :ivar version: version of the last write.
    :ivar text: content.
    """

    name: str
    version: int
    text: str


@dataclass(slots=True, frozen=True)
class Snapshot:
    """A listing of all objects of a kind.

    :ivar version: version of the last change to the kind.
    :ivar entries: the objects.
    :ivar era: era of the store.
    """

    version: int
    entries: tuple[StoreEntry, ...]
    era: int = 1


@dataclass(slots=True, frozen=True)
class StoreCopy:
    """A copy of a store.

    :ivar version: its version.
    :ivar kinds: objects by kind and name.
    :ivar kind_versions: version of the last change to each kind.
    """

    version: int
    kinds: dict[str, dict[str, StoreEntry]]
    kind_versions: dict[str, int]


class ObjectStore:
    """Objects by kind and name, with one version counter for all kinds.

    :ivar calls: number of calls by operation.
    :ivar era: rises with each restoration from an older copy.
    """

    __slots__ = (
        '_frozen',
        '_kind_versions',
        '_kinds',
        '_version',
        'calls',
        'era',
    )

    def __init__(self, first_version: int = 0) -> None:
        """Create an empty store.

        :param first_version: version before the first write.
        """
        self._kinds: dict[str, dict[str, StoreEntry]] = defaultdict(dict)
        self._kind_versions: dict[str, int] = defaultdict(int)
        self._version = first_version
        self._frozen: dict[str, Snapshot] | None = None
        self.calls: Counter[str] = Counter()
        self.era = 1

    def read(self, kind: str, name: str) -> StoreEntry | None:
        """Read an object.

        :param kind: kind of the object.
        :param name: name within the kind.
        :return: the object, or ``None``.
        """
        self.calls['read'] += 1
        return self._kinds[kind].get(name)

    def snapshot(self, kind: str) -> Snapshot:
        """List a kind, in its frozen state while listings are frozen.

        :param kind: kind of the objects.
        :return: the listing.
        """
        if self._frozen is not None:
            return self._frozen.get(kind, Snapshot(0, ()))
        entries = tuple(self._kinds[kind].values())
        return Snapshot(self._kind_versions[kind], entries, self.era)

    def write(
        self, kind: str, name: str, text: str, expected: int
    ) -> StoreEntry | None:
        """Write an object if its version is the expected one.

        :param kind: kind of the object.
        :param name: name within the kind.
        :param text: text to store.
        :param expected: expected version, 0 if the object must not exist.
        :return: the object, or ``None`` when the version differs.
        """
        self.calls['write'] += 1
        current = self._kinds[kind].get(name)
        version = current.version if current else 0
        if version != expected:
            return None
        return self.put(kind, name, text)

    def put(self, kind: str, name: str, text: str) -> StoreEntry:
        """Write an object regardless of its version.

        :param kind: kind of the object.
        :param name: name within the kind.
        :param text: text to store.
        :return: the object.
        """
        self._version += 1
        entry = StoreEntry(name, self._version, text)
        self._kinds[kind][name] = entry
        self._kind_versions[kind] = self._version
        return entry

    def delete(self, kind: str, name: str, expected: int) -> bool:
        """Delete an object if its version is the expected one.

        :param kind: kind of the object.
        :param name: name within the kind.
        :param expected: expected version, 0 for any.
        :return: whether it was deleted.
        """
        self.calls['delete'] += 1
        current = self._kinds[kind].get(name)
        if current is None or expected not in {0, current.version}:
            return False
        self._version += 1
        self._kinds[kind].pop(name)
        self._kind_versions[kind] = self._version
        return True

    def copy(self) -> StoreCopy:
        """Return a copy of all objects."""
        kinds = {kind: dict(held) for kind, held in self._kinds.items()}
        return StoreCopy(self._version, kinds, dict(self._kind_versions))

    def restore(self, saved: StoreCopy) -> None:
        """Begin another era with the objects of a copy.

        :param saved: the copy.
        """
        self._version = saved.version
        self._kinds.clear()
        for kind, held in saved.kinds.items():
            self._kinds[kind] = dict(held)
        self._kind_versions.clear()
        self._kind_versions.update(saved.kind_versions)
        self.era += 1

    def freeze_listings(self, *, frozen: bool) -> None:
        """Freeze listings at the current state, or unfreeze them.

        :param frozen: whether to freeze them.
        """
        self._frozen = None
        if frozen:
            self._frozen = {kind: self.snapshot(kind) for kind in self._kinds}
