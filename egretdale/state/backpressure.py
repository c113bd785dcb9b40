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
    :ivar rejections_per_s: requests that it can reject in a second without
        falling over; ``None`` for any number.
    :ivar leaving: whether it accepts no new work.
    """

    limit_per_s: float | Invalid | None = None
    rejections_per_s: float | Invalid | None = None
    leaving: bool | Invalid = False


@dataclass(slots=True, frozen=True)
class RequestLimit:
    """The request rate that a backend server accepts.

    :ivar per_s: requests per second from all hosts together, ``None`` for any
        number.
    :ivar stated_at: clock time of the response that stated it.
    :ivar source: host that received the response.
    :ivar rejections_per_s: requests that it can reject in a second without
        falling over, ``None`` for any number.
    """

    per_s: float | None
    stated_at: float
    source: str
    rejections_per_s: float | None = None

    def is_none(self) -> bool:
        """Tell whether the backend server asks for nothing."""
        return self.per_s is None and self.rejections_per_s is None

    def demands_same(self, other: RequestLimit) -> bool:
        """Tell whether another statement asks for the same.

        :param other: the other statement.
        """
        return (
            self.per_s == other.per_s
            and self.rejections_per_s == other.rejections_per_s
        )


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
            if not limit.is_none():
                self._limits[incarnation] = limit
            return not limit.is_none()
        if limit.stated_at <= known.stated_at:
            return False
        self._limits[incarnation] = limit
        return not limit.demands_same(known)

    def find_rate(self, incarnation: Incarnation) -> float | None:
        """Find the request rate that a backend server accepts.

        :param incarnation: incarnation of the backend server.
        :return: requests per second, ``None`` for any number.
        """
        limit = self._limits.get(incarnation)
        return None if limit is None else limit.per_s

    def find_rejection_rate(self, incarnation: Incarnation) -> float | None:
        """Find how many requests a backend server can reject.

        :param incarnation: incarnation of the backend server.
        :return: rejections per second, ``None`` for any number.
        """
        limit = self._limits.get(incarnation)
        return None if limit is None else limit.rejections_per_s

    def list_limits(self) -> dict[Incarnation, RequestLimit]:
        """Return the latest statements by incarnation."""
        return dict(self._limits)

    def list_demanding(self) -> set[Incarnation]:
        """List the backend servers that are limited or brittle."""
        return {
            incarnation
            for incarnation, limit in self._limits.items()
            if not limit.is_none()
        }

    def count_limited(self) -> int:
        """Count the backend servers that accept a limited rate."""
        return sum(limit.per_s is not None for limit in self._limits.values())

    def count_brittle(self) -> int:
        """Count the backend servers that fall over when they reject much."""
        return sum(
            limit.rejections_per_s is not None
            for limit in self._limits.values()
        )

    def forget(self, incarnation: Incarnation) -> None:
        """Remove a backend server that has gone.

        :param incarnation: its incarnation.
        """
        self._limits.pop(incarnation, None)
