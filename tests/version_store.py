"""A store of the record of software versions, on virtual time."""

from __future__ import annotations

from dataclasses import dataclass, replace

import eventlet
import msgspec

from egretdale.coordination.ports import (
    ABSENT,
    Position,
    StoredObject,
    Written,
)
from egretdale.errors import Cause, Conflict, Missing, Unreachable
from egretdale.state.software_versions import RecordedVersion


@dataclass
class VersionStore:
    """A store of one object that counts the calls.

    :ivar era: era of the store, which all responses name.
    :ivar is_down: whether it cannot be reached.
    :ivar loses_replies: whether writes take effect without a reply.
    """

    stored: StoredObject | None = None
    era: int = 1
    calls: int = 0
    writes: int = 0
    is_down: bool = False
    loses_replies: bool = False

    def hear_era(self, era: int) -> None:
        """Take note of an era, which hosts of one store need not."""

    def restore(self, saved: StoredObject | None) -> None:
        """Begin another era with an older copy of the object."""
        self.era += 1
        self.stored = saved and replace(saved, era=self.era)

    def read(
        self, kind: str, name: str
    ) -> StoredObject | Missing | Unreachable:
        """Read the object."""
        self.calls += 1
        eventlet.sleep(0.004)
        if self.is_down:
            return Unreachable(Cause.SILENT)
        return self.stored or Missing(name)

    def write(
        self, kind: str, name: str, body: bytes, expected: Position
    ) -> Written | Conflict | Unreachable:
        """Write the object."""
        self.calls += 1
        eventlet.sleep(0.004)
        if self.is_down:
            return Unreachable(Cause.SILENT)
        position = self.stored.position if self.stored else ABSENT
        if expected != position:
            return Conflict(position[1])
        version = position[1]
        self.writes += 1
        self.stored = StoredObject(name, version + 1, body, self.era)
        if self.loses_replies:
            return Unreachable(Cause.SILENT)
        return Written(version + 1, self.era)

    def list_versions(self) -> dict[str, bool]:
        """Return the recorded versions and whether they still serve."""
        entries = msgspec.json.decode(
            self.stored.body, type=list[RecordedVersion]
        )
        return {entry.software_version: not entry.left_ms for entry in entries}
