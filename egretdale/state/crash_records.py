"""Records of crashes, and of requests that were sent or served since."""

from __future__ import annotations

from dataclasses import dataclass

from egretdale.state.instances import Incarnation

#: Seconds within which two reports of a server are about the same crash.
_SAME_CRASH_S = 2.0


@dataclass(slots=True, frozen=True)
class CrashRecord:
    """A request that was in progress when a backend server crashed.

    :ivar incarnation: the backend server.
    :ivar at: clock time of the crash.
    :ivar fingerprints: hashes of what the request has in common with others:
        parts of its prompt, and its path, caller and body together.
    """

    incarnation: Incarnation
    at: float
    fingerprints: tuple[int, ...]

    def is_same_crash(self, other: CrashRecord) -> bool:
        """Tell whether two records are of the same crash.

        :param other: the other record.
        """
        return (
            self.incarnation == other.incarnation
            and abs(self.at - other.at) < _SAME_CRASH_S
        )


@dataclass(slots=True, frozen=True)
class RunRecord:
    """A request with a fingerprint that was served.

    :ivar fingerprint: the fingerprint.
    :ivar began_at: clock time at which the request was sent.
    """

    fingerprint: int
    began_at: float


@dataclass(slots=True, frozen=True)
class TrialRecord:
    """A request that was sent to find out about a quarantined fingerprint.

    :ivar fingerprint: the fingerprint.
    :ivar began_at: clock time at which the request was sent.
    """

    fingerprint: int
    began_at: float
