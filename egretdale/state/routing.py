"""Routing table: routes, API keys and limits of one configuration version."""

from __future__ import annotations

import enum
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from types import MappingProxyType


class RequestKind(enum.Enum):
    """Kind of the requests of a route, which decides on retries."""

    IDEMPOTENT = 'idempotent'
    NON_IDEMPOTENT = 'non-idempotent'
    STREAM = 'stream'


@dataclass(slots=True, frozen=True)
class WeightedService:
    """One of the services that a route distributes its requests to.

    :ivar service: service name.
    :ivar weight: share of the requests, relative to the other services.
    """

    service: str
    weight: float


@dataclass(slots=True, frozen=True)
class Route:
    """Rules for the requests to a host name and path prefix.

    :ivar name: name of the route.
    :ivar host_name: host name in the request.
    :ivar path_prefix: path prefix, with a slash at both ends.
    :ivar services: services that handle the requests.
    :ivar kind: kind of the requests, which decides on retries.
    :ivar timeout_s: longest time that a caller waits, in seconds.
    :ivar target_s: target for the time to the first byte, in seconds.
    :ivar pause_target_s: target for the longest gap between the events of a
        stream in seconds, 0 for none.
    :ivar maximum_attempts: maximum number of backend servers that a request
        is sent to.
    :ivar priority: priority of the route, 0 is the highest.
    :ivar public: whether requests are accepted without a key.
    :ivar resumable: whether another backend server can continue a stream.
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

    def find_only_service(self) -> str:
        """Return the service of all requests, empty if there are several."""
        return self.services[0].service if len(self.services) == 1 else ''

    def serves(self, service: str) -> bool:
        """Tell whether requests may go to a service.

        :param service: service name.
        """
        return any(entry.service == service for entry in self.services)

    def is_repeatable(self) -> bool:
        """Return whether a request may be run more than once."""
        match self.kind:
            case RequestKind.IDEMPOTENT:
                return True
            case RequestKind.STREAM:
                return self.resumable
            case RequestKind.NON_IDEMPOTENT:
                return False


@dataclass(slots=True, frozen=True)
class KeyHolder:
    """An organisation and its API keys.

    :ivar name: name of the organisation.
    :ivar keys: API keys that its callers send.
    :ivar priority: priority that overrides the route's, ``None`` to keep the
        route's.
    """

    name: str
    keys: tuple[str, ...]
    priority: int | None = None


@dataclass(slots=True, frozen=True)
class CallerLimits:
    """Limits for the requests and connections of callers.

    :ivar header_bytes: maximum size of a request head in bytes.
    :ivar body_bytes: maximum size of a request body in bytes.
    :ivar header_s: maximum time to receive a request head in seconds.
    :ivar idle_s: maximum idle time of a connection in seconds.
    """

    header_bytes: int = 16384
    body_bytes: int = 4 * 1024 * 1024
    header_s: float = 5.0
    idle_s: float = 60.0


@dataclass(slots=True, frozen=True)
class ServiceCapacity:
    """What an engine of a service can hold.

    :ivar cache_tokens: tokens that fit into its memory, running requests and
        cached parts together; 0 if that is not known.
    """

    cache_tokens: int = 0


UNKNOWN_CAPACITY = ServiceCapacity()

#: Finds what an engine of a service can hold, by the name of the service.
CapacityLookup = Callable[[str], ServiceCapacity]


@dataclass(slots=True, frozen=True)
class EngineBounds:
    """Bounds on the number of engines of a service in a data centre.

    :ivar minimum: least number of engines, of both kinds together.
    :ivar maximum: greatest number; the same as ``minimum`` pins the number.
    """

    minimum: int = 0
    maximum: int = 0

    def clamp(self, count: int) -> int:
        """Return the nearest number within the bounds.

        :param count: number of engines.
        """
        return max(self.minimum, min(self.maximum, count))


@dataclass(slots=True, frozen=True)
class Scaling:
    """How the engines of a service may be scaled.

    :ivar bounds: bounds that apply to each data centre.
    :ivar boot_s: seconds from an order until a new engine serves.
    :ivar spot_price: price of a spot engine as a share of the price of an
        ordinary one, 1 if there are none.
    :ivar prices: price of an engine per second by data centre.
    :ivar own_bounds: bounds of single data centres, within ``bounds``.
    """

    bounds: EngineBounds
    boot_s: float = 0
    spot_price: float = 1
    prices: Mapping[str, float] = field(
        default_factory=lambda: MappingProxyType({})
    )
    own_bounds: Mapping[str, EngineBounds] = field(
        default_factory=lambda: MappingProxyType({})
    )

    def find_bounds(self, data_centre: str) -> EngineBounds:
        """Return the bounds of a data centre.

        :param data_centre: the data centre.
        """
        return self.own_bounds.get(data_centre, self.bounds)

    def has_spot(self) -> bool:
        """Tell whether spot engines are cheaper than ordinary ones."""
        return self.spot_price < 1


@dataclass(slots=True)
class RoutingTable:
    """One version of the configuration.

    :ivar version: version number; newer versions have higher numbers.
    :ivar source: text that the table was decoded from.
    :ivar routes: all routes.
    :ivar limits: limits for the requests and connections of callers.
    :ivar holders: organisations with API keys.
    :ivar requires_keys: whether routes that are not public require a key.
    :ivar services: what engines can hold, by the name of their service.
    :ivar scaling: how services are scaled, by service; others are not.
    """

    version: int
    source: bytes
    routes: tuple[Route, ...]
    limits: CallerLimits
    holders: tuple[KeyHolder, ...]
    requires_keys: bool
    services: Mapping[str, ServiceCapacity] = field(default_factory=dict)
    scaling: Mapping[str, Scaling] = field(
        default_factory=lambda: MappingProxyType({})
    )
    _by_host: dict[str, dict[str, Route]] = field(
        init=False, default_factory=dict
    )
    _by_key: dict[str, KeyHolder] = field(init=False, default_factory=dict)

    def __post_init__(self) -> None:
        """Index routes by host name and path prefix, and holders by key."""
        for route in self.routes:
            prefixes = self._by_host.setdefault(route.host_name.lower(), {})
            prefixes[route.path_prefix] = route
        for holder in self.holders:
            for key in holder.keys:
                self._by_key[key] = holder

    def find_route(self, host_name: str, path: str) -> Route | None:
        """Find the route with the longest prefix of a path.

        :param host_name: host name in the request.
        :param path: path of the request, without the query.
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
        """Find the organisation that a key belongs to.

        :param key: key that a caller sent.
        :return: the organisation, or ``None``.
        """
        return self._by_key.get(key)

    def find_capacity(self, service: str) -> ServiceCapacity:
        """Return what an engine of a service can hold.

        :param service: service name.
        """
        return self.services.get(service, UNKNOWN_CAPACITY)


def find_no_capacity(service: str) -> ServiceCapacity:
    """Return the capacity of engines of which nothing is known.

    :param service: service name.
    """
    return UNKNOWN_CAPACITY


def choose_service(
    services: Iterable[WeightedService], point: float
) -> str | None:
    """Choose a service by weight.

    :param services: services with their weights.
    :param point: random number from 0 up to but not including 1.
    :return: name of the service, ``None`` if no weight is above 0.
    """
    weighted = [entry for entry in services if entry.weight > 0]
    rest = point * sum(entry.weight for entry in weighted)
    for entry in weighted:
        rest -= entry.weight
        if rest < 0:
            return entry.service
    return weighted[-1].service if weighted else None
