"""Removed backend servers, which a restored platform may list again."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from egretdale.state.instances import Instance
from egretdale.util.clocks import Clock

#: Seconds after a restoration for which entries of the copy are held back whose
#: backend servers were gone; those that do not run lapse sooner.
_HOLD_S = 10.0
#: Removals that are remembered at most.
_MAXIMUM_REMOVALS = 8192


@dataclass(slots=True, frozen=True)
class Removal:
    """The end of an entry.

    :ivar born_ms: start time of the latest life that has ended.
    :ivar era: era of the platform in which it ended.
    """

    born_ms: int
    era: int


class RemovalHistory:
    """Tells the entries of a restored copy that had been removed before.

    An entry that is written after the restoration counts again.
    """

    __slots__ = ('_clock', '_held_until', '_removals', '_restored_version')

    def __init__(self, clock: Clock) -> None:
        """Create an empty history.

        :param clock: monotonic clock.
        """
        self._clock = clock
        self._removals: dict[str, Removal] = {}
        # Entries up to this version may be of the copy.
        self._restored_version = 0
        self._held_until = float('-inf')

    def note_removed(self, instance: Instance, era: int) -> None:
        """Record that a backend server is gone.

        :param instance: its last entry.
        :param era: era of the list without it.
        """
        self._add(instance.name, Removal(instance.born_ms, era))

    def note_restoration(
        self, listed: Iterable[Instance], era: int, version: int
    ) -> None:
        """Record that the platform was restored from an older copy.

        :param listed: backend servers that were listed before.
        :param era: era before the restoration.
        :param version: version of the first list after it.
        """
        self._restored_version = version
        self._held_until = self._clock() + _HOLD_S
        for instance in listed:
            if instance.born_ms:
                self._add(instance.name, Removal(instance.born_ms - 1, era))

    def is_outdated(self, instance: Instance, era: int, version: int) -> bool:
        """Tell whether an entry is of the copy and was removed before.

        :param instance: the entry.
        :param era: era of the list that holds it.
        :param version: version of the entry.
        """
        removal = self._removals.get(instance.name)
        if removal is None or instance.born_ms > removal.born_ms:
            return False
        if removal.era < era and version <= self._restored_version:
            return self._clock() < self._held_until
        self._removals.pop(instance.name)
        return False

    def end_hold(self) -> bool:
        """Tell once that entries are no longer held back."""
        if self._clock() < self._held_until:
            return False
        was_holding = self._held_until > float('-inf')
        self._held_until = float('-inf')
        return was_holding

    def _add(self, name: str, removal: Removal) -> None:
        known = self._removals.pop(name, None)
        if known is not None and known.born_ms > removal.born_ms:
            removal = known
        if len(self._removals) >= _MAXIMUM_REMOVALS:
            self._removals.pop(next(iter(self._removals)))
        self._removals[name] = removal
