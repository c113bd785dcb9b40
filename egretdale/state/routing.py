"""Routes, organisations and limits of one version of the configuration."""

from __future__ import annotations

import enum
from collections.abc import Iterable
from dataclasses import dataclass, field


class RequestKind(enum.Enum):
    """What may be repeated when a request of a route has failed."""

    IDEMPOTENT = 'idempotent'
    NON_IDEMPOTENT = 'non-idempotent'
    STREAM = 'stream'


@dataclass(slots=True, frozen=True)
class WeightedService:
    """One of the services that a route sends its requests to.

    :ivar service: service name.
    :ivar weight: share of the requests, relative to the other services.
    """

    service: str
    weight: float


@dataclass(slots=True, frozen=True)
class Route:
    """Requests of a host name and a path prefix.

    :ivar name: name of the route.
    :ivar host_name: host name that callers ask for.
    :ivar path_prefix: leading part of the path, with slashes at both ends.
    :ivar services: services that take the requests.
    :ivar kind: what may be repeated.
    :ivar timeout_s: longest time that a caller is kept waiting in seconds.
    :ivar target_s: time to the first byte that callers aim for in seconds.
    :ivar pause_target_s: longest pause between events in seconds, 0 for none.
    :ivar maximum_attempts: backend servers that one request may be sent to.
    :ivar priority: rank of the route, 0 is the highest.
    :ivar public: whether requests need no key.
    :ivar resumable: whether another backend server may go on with a stream.
    """

    name: str
    host_name: str
    path_prefix: str
    services: tuple[WeightedService, ...]
    kind: RequestKind
    timeout_s: float
    target_s: float
    pause_target_s: float = 0
    maximum_attempts: int = 1
    priority: int = 0
    public: bool = False
    resumable: bool = False

    def is_repeatable(self) -> bool:
        """Return whether a request may run more than once."""
        match self.kind:
            case RequestKind.IDEMPOTENT:
                return True
            case RequestKind.STREAM:
                return self.resumable
            case RequestKind.NON_IDEMPOTENT:
                return False


@dataclass(slots=True, frozen=True)
class KeyHolder:
    """An organisation that holds keys.

    :ivar name: name of the organisation.
    :ivar keys: keys that its callers send.
    :ivar priority: rank that goes before the route's, ``None`` for no rank.
    """

    name: str
    keys: tuple[str, ...]
    priority: int | None = None


@dataclass(slots=True, frozen=True)
class CallerLimits:
    """Limits on what callers may send.

    :ivar header_bytes: longest request head in bytes.
    :ivar body_bytes: longest request body in bytes.
    :ivar header_s: longest time for a request head in seconds.
    :ivar idle_s: longest idle time of a connection in seconds.
    """

    header_bytes: int = 16384
    body_bytes: int = 4 * 1024 * 1024
    header_s: float = 5.0
    idle_s: float = 60.0


@dataclass(slots=True)
class RoutingTable:
    """One version of the configuration.

    :ivar version: version; newer ones have higher numbers.
    :ivar source: text that the table was decoded from.
    :ivar routes: all routes.
    :ivar limits: limits on what callers may send.
    :ivar holders: organisations that hold keys.
    :ivar requires_keys: whether requests need a key on routes that are not
        public.
    """

    version: int
    source: bytes
    routes: tuple[Route, ...]
    limits: CallerLimits
    holders: tuple[KeyHolder, ...]
    requires_keys: bool
    _by_host: dict[str, dict[str, Route]] = field(
        init=False, default_factory=dict
    )
    _by_key: dict[str, KeyHolder] = field(init=False, default_factory=dict)

    def __post_init__(self) -> None:
        """Index routes by host name and prefix, and holders by key."""
        for route in self.routes:
            prefixes = self._by_host.setdefault(route.host_name.lower(), {})
            prefixes[route.path_prefix] = route
        for holder in self.holders:
            for key in holder.keys:
                self._by_key[key] = holder

    def find_route(self, host_name: str, path: str) -> Route | None:
        """Find the route with the longest prefix of a path.

        :param host_name: host name that the caller asked for.
        :param path: path of the request, without its query.
        :return: the route, or ``None``.
        """
        prefixes = self._by_host.get(host_name.lower())
        if not prefixes:
            return None
        end = len(path)
        while end > 0:
            end = path.rfind('/', 0, end)
            if end < 0:
                return None
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
        return None

    def find_holder(self, key: str) -> KeyHolder | None:
        """Find the organisation that holds a key.

        :param key: key that a caller sent.
        :return: the organisation, or ``None``.
        """
        return self._by_key.get(key)


def choose_service(
    services: Iterable[WeightedService], point: float
) -> str | None:
    """Choose a service by weight.

    :param services: services with their weights.
    :param point: number from 0 up to but not including 1.
    :return: name of the service, ``None`` when no weight is above 0.
    """
    weighted = [entry for entry in services if entry.weight > 0]
    rest = point * sum(entry.weight for entry in weighted)
    for entry in weighted:
        rest -= entry.weight
        if rest < 0:
            return entry.service
    return weighted[-1].service if weighted else None
