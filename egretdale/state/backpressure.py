"""What backend servers have asked their callers for."""

from __future__ import annotations

from dataclasses import dataclass

from egretdale.errors import Invalid
from egretdale.state.instances import Incarnation


@dataclass(slots=True, frozen=True)
class BackendStatement:
    """What a response says about further requests to its backend server.

    :ivar limit_per_s: requests per second that the backend server accepts from
        all hosts together; ``None`` if it states no limit.
    """

    limit_per_s: float | Invalid | None = None


@dataclass(slots=True, frozen=True)
class RequestLimit:
    """The request rate that a backend server accepts.

    :ivar per_s: requests per second from all hosts together, ``None`` for any
        number.
    :ivar stated_at: clock time of the response that stated it.
    :ivar source: host that received the response.
    """

    per_s: float | None
    stated_at: float
    source: str


class BackpressureTable:
    """Latest statements of backend servers, by incarnation."""

    __slots__ = ('_limits',)

    def __init__(self) -> None:
        """Create a table without statements."""
        self._limits: dict[Incarnation, RequestLimit] = {}

    def note_limit(self, incarnation: Incarnation, limit: RequestLimit) -> bool:
        """Record a statement about the request rate, unless it is outdated.

        :param incarnation: incarnation of the backend server.
        :param limit: the statement.
        :return: whether the accepted rate has changed.
        """
        known = self._limits.get(incarnation)
        if known is None:
            if limit.per_s is not None:
                self._limits[incarnation] = limit
            return limit.per_s is not None
        if limit.stated_at <= known.stated_at:
            return False
        self._limits[incarnation] = limit
        return limit.per_s != known.per_s

    def find_rate(self, incarnation: Incarnation) -> float | None:
        """Find the request rate that a backend server accepts.

        :param incarnation: incarnation of the backend server.
        :return: requests per second, ``None`` for any number.
        """
        limit = self._limits.get(incarnation)
        return None if limit is None else limit.per_s

    def list_limits(self) -> dict[Incarnation, RequestLimit]:
        """Return the latest statements by incarnation."""
        return dict(self._limits)

    def count_limited(self) -> int:
        """Count the backend servers that accept a limited rate."""
        return sum(limit.per_s is not None for limit in self._limits.values())

    def forget(self, incarnation: Incarnation) -> None:
        """Remove a backend server that has gone.

        :param incarnation: its incarnation.
        """
        self._limits.pop(incarnation, None)
