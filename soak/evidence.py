"""Observations of a soak test other than the requests of clients."""

from __future__ import annotations

from dataclasses import dataclass, field

from soak.departures import DepartureLog
from soak.incidents import CrashLog


@dataclass(slots=True)
class Stop:
    """A graceful shutdown of a daemon.

    Times are on the clock of this process.

    :ivar daemon: index of the daemon.
    :ivar began_at: time of the signal.
    :ivar ended_at: time at which the process had ended.
    :ivar status: exit status.
    """

    daemon: int
    began_at: float
    ended_at: float
    status: int


@dataclass(slots=True, frozen=True)
class Absence:
    """A time for which a daemon was stopped, killed or paused.

    :ivar daemon: index of the daemon.
    :ivar began_at: time on the clock of this process.
    :ivar ended_at: time at which it was started anew or went on.
    :ivar is_lost: whether it has lost what it knew.
    """

    daemon: int
    began_at: float
    ended_at: float
    is_lost: bool


@dataclass(slots=True)
class Evidence:
    """Observations other than the requests of clients.

    :ivar stops: graceful shutdowns.
    :ivar revoked_at: times of revocation, by API key.
    :ivar unexpected_exits: descriptions of exits of daemons that were neither
        stopped nor killed.
    :ivar absences: times for which daemons were stopped, killed or paused.
    :ivar crashes: what the servers saw of requests that crash them, by the
        last part of the path.
    :ivar departures: what servers saw of their departures.
    :ivar copies: number of responses that were sent twice.
    :ivar unread: number of connections that servers closed after a silence, as
        they had been idle for too long, with a request that was not read.
    """

    stops: list[Stop] = field(default_factory=list)
    revoked_at: dict[str, float] = field(default_factory=dict)
    unexpected_exits: list[str] = field(default_factory=list)
    absences: list[Absence] = field(default_factory=list)
    crashes: dict[str, CrashLog] = field(default_factory=dict)
    departures: list[DepartureLog] = field(default_factory=list)
    copies: int = 0
    unread: int = 0
