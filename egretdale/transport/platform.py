"""Client of the platform's object API."""

from __future__ import annotations

from collections.abc import Callable

import msgspec
import urllib3
from urllib3.exceptions import HTTPError, NewConnectionError, TimeoutError

from egretdale.coordination.ports import (
    ABSENT,
    Listing,
    Position,
    StoredObject,
    Written,
)
from egretdale.errors import (
    Ambiguous,
    Cause,
    Conflict,
    Invalid,
    Missing,
    Unreachable,
)
from egretdale.protocol.eras import ERA_HEADER, EraTracker
from egretdale.transport.strict_client import StrictPoolManager
from egretdale.util.buckets import TokenBucket
from egretdale.util.clocks import Clock
from egretdale.util.json_text import decode_json, split_array, split_object
from egretdale.util.logs import get_logger

logger = get_logger(__name__)

_CONNECTIONS = 16
_BREAKER_FAILURES = 5
_BREAKER_OPEN_S = 1.0
_BURST_DURATION_S = 2.0
_OK = 200
_CREATED = 201
_NOT_FOUND = 404
_PRECONDITION_FAILED = 412
_SERVER_ERROR = 500


class ObjectBody(msgspec.Struct, frozen=True):
    """An object in a response of the platform.

    :ivar name: name within its kind.
    :ivar version: version of the object.
    :ivar body: stored text.
    """

    name: str
    version: int
    body: str


class ListingBody(msgspec.Struct, frozen=True):
    """A listing in a response of the platform.

    :ivar version: version of the whole listing.
    :ivar objects: the objects.
    """

    version: int
    objects: tuple[ObjectBody, ...]


class PlatformClient:
    """Calls the platform with a rate limit and a circuit breaker.

    A connection that failed is never reused, so a connection that stopped
    responding costs only one call.
    """

    __slots__ = (
        '_base',
        '_bucket',
        '_clock',
        '_count',
        '_eras',
        '_failures',
        '_listed_eras',
        '_open_until',
        '_pool',
        '_timeout_s',
    )

    def __init__(
        self,
        base_url: str,
        *,
        timeout_s: float,
        calls_per_s: float,
        clock: Clock,
        count: Callable[[str, str], None],
    ) -> None:
        """Create a client.

        :param base_url: base URL of the object API.
        :param timeout_s: timeout of a call in seconds.
        :param calls_per_s: maximum rate of calls per second.
        :param clock: monotonic clock.
        :param count: called with the kind of each call and its outcome.
        """
        self._base = f'{base_url.rstrip("/")}/v1/objects'
        self._timeout_s = timeout_s
        self._bucket = TokenBucket(
            calls_per_s, calls_per_s * _BURST_DURATION_S, clock
        )
        self._clock = clock
        self._count = count
        self._eras = EraTracker()
        self._listed_eras: dict[str, int] = {}
        self._failures = 0
        self._open_until = float('-inf')
        self._pool = StrictPoolManager(
            maxsize=_CONNECTIONS, retries=False, num_pools=2
        )

    @property
    def era(self) -> int:
        """Highest era of the platform that is known, 0 if unknown."""
        return self._eras.newest

    def hear_era(self, era: int) -> None:
        """Take note of an era that a peer knows.

        :param era: the era.
        """
        self._eras.hear(era)

    def read(
        self, kind: str, name: str
    ) -> StoredObject | Missing | Unreachable:
        """Read one object.

        :param kind: kind of the object.
        :param name: name within the kind.
        :return: the object, or the reason for the failure.
        """
        response = self._call('read', 'GET', f'{kind}/{name}')
        if isinstance(response, Unreachable | Ambiguous):
            return Unreachable(response.cause, response.detail)
        if response.status == _NOT_FOUND:
            return Missing(name)
        decoded = _decode_object(response)
        if isinstance(decoded, Unreachable):
            return decoded
        return _to_stored(decoded, self._eras.answered)

    def list_objects(self, kind: str) -> Listing | Unreachable:
        """List all objects of a kind.

        :param kind: kind of the objects.
        :return: the listing, or the reason for the failure.
        """
        listing = self._list('list', kind, self._timeout_s)
        return self._note_listed(kind, listing)

    def watch(
        self, kind: str, version: int, timeout_s: float
    ) -> Listing | Unreachable:
        """Wait for a listing that is newer than a version.

        :param kind: kind of the objects.
        :param version: version that the caller has.
        :param timeout_s: longest wait in seconds.
        :return: the listing, or the reason for the failure.
        """
        if self._listed_eras.get(kind, self.era) != self.era:
            # It may have given out the version again.
            return self.list_objects(kind)
        path = f'{kind}?watch={version}&timeout_s={timeout_s}'
        listing = self._list('watch', path, timeout_s + self._timeout_s)
        return self._note_listed(kind, listing)

    def is_newest(
        self, kind: str, position: Position, timeout_s: float
    ) -> bool | Unreachable:
        """Tell whether no listing is newer than one, without waiting.

        :param kind: kind of the objects.
        :param position: position of a listing.
        :param timeout_s: timeout of the call in seconds.
        :return: whether none is, or why that cannot be told.
        """
        path = f'{kind}?watch={position[1]}&timeout_s=0'
        listing = self._list('watch', path, timeout_s)
        if isinstance(listing, Unreachable):
            return listing
        return listing.position == position

    def write(
        self, kind: str, name: str, body: bytes, expected: Position
    ) -> Written | Conflict | Unreachable | Ambiguous:
        """Write an object if its position is the expected one.

        :param kind: kind of the object.
        :param name: name within the kind.
        :param body: bytes to store, in UTF-8.
        :param expected: expected position, ``ABSENT`` if it must not exist.
        :return: the new version, or whether the write may have taken effect.
        """
        refused = self._eras.check_expected(expected)
        if refused is not None:
            return refused
        condition = {'If-Match': str(expected[1])}
        if expected == ABSENT:
            condition = {'If-None-Match': '*'}
        response = self._call('write', 'PUT', f'{kind}/{name}', body, condition)
        if isinstance(response, Unreachable | Ambiguous):
            return response
        crossing = self._eras.check_crossing(expected)
        if crossing is not None:
            return crossing
        if response.status == _PRECONDITION_FAILED:
            return Conflict(0)
        if response.status not in {_OK, _CREATED}:
            return Ambiguous(Cause.STATUS, str(response.status))
        decoded = _decode_object(response)
        if isinstance(decoded, Unreachable):
            return Ambiguous(decoded.cause, decoded.detail)
        return Written(decoded.version, self._eras.answered)

    def _note_listed(
        self, kind: str, listing: Listing | Unreachable
    ) -> Listing | Unreachable:
        if isinstance(listing, Listing):
            self._listed_eras[kind] = listing.era
        return listing

    def _list(
        self, call: str, path: str, timeout_s: float
    ) -> Listing | Unreachable:
        response = self._call(call, 'GET', path, timeout_s=timeout_s)
        if isinstance(response, Unreachable | Ambiguous):
            return Unreachable(response.cause, response.detail)
        if response.status != _OK:
            return Unreachable(Cause.STATUS, str(response.status))
        decoded = decode_listing(response.data)
        if isinstance(decoded, Invalid):
            return Unreachable(Cause.MALFORMED, decoded.message)
        entries = tuple(_to_stored(entry) for entry in decoded.objects)
        return Listing(decoded.version, entries, self._eras.answered)

    def _call(
        self,
        call: str,
        method: str,
        path: str,
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
        timeout_s: float | None = None,
    ) -> urllib3.BaseHTTPResponse | Unreachable | Ambiguous:
        if self._clock() < self._open_until:
            self._count(call, 'breaker')
            return Unreachable(Cause.BREAKER)
        if not self._bucket.take():
            self._count(call, 'throttled')
            return Unreachable(Cause.THROTTLED)
        outcome = self._request(
            method, path, body, headers, timeout_s or self._timeout_s
        )
        failed = isinstance(outcome, Unreachable | Ambiguous)
        self._count(call, outcome.cause if failed else 'ok')
        self._record_outcome(failed=failed)
        return outcome

    def _request(
        self,
        method: str,
        path: str,
        body: bytes | None,
        headers: dict[str, str] | None,
        timeout_s: float,
    ) -> urllib3.BaseHTTPResponse | Unreachable | Ambiguous:
        timeout = urllib3.Timeout(connect=self._timeout_s, read=timeout_s)
        try:
            response = self._pool.request(
                method,
                f'{self._base}/{path}',
                body=body,
                headers=headers,
                timeout=timeout,
            )
        except NewConnectionError as refused:
            return Unreachable(Cause.REFUSED, str(refused))
        except TimeoutError as slow:
            return Ambiguous(Cause.SLOW, str(slow))
        except HTTPError as broken:
            return Ambiguous(Cause.BROKEN, str(broken))
        if response.status >= _SERVER_ERROR:
            return Ambiguous(Cause.STATUS, str(response.status))
        if not self._eras.accept(response.headers.get(ERA_HEADER, '')):
            return Ambiguous(Cause.BROKEN, 'answer of an earlier era')
        return response

    def _record_outcome(self, *, failed: bool) -> None:
        if not failed:
            self._failures = 0
            return
        self._failures += 1
        if self._failures >= _BREAKER_FAILURES:
            self._open_until = self._clock() + _BREAKER_OPEN_S
            self._failures = _BREAKER_FAILURES - 1
            logger.warning('platform-breaker-open', open_s=_BREAKER_OPEN_S)


def decode_listing(source: bytes) -> ListingBody | Invalid:
    """Decode a listing in which other programs may have written objects.

    :param source: JSON text.
    :return: the listing, without objects that cannot be decoded, or why it is
        none.
    """
    listing = decode_json(source, ListingBody)
    if not isinstance(listing, Invalid):
        return listing
    members = split_object(source)
    if isinstance(members, Invalid):
        return members
    version = decode_json(members.get('version', b''), int)
    elements = split_array(members.get('objects', b''))
    if isinstance(version, Invalid) or isinstance(elements, Invalid):
        return listing
    decoded = [decode_json(element, ObjectBody) for element in elements]
    for entry in decoded:
        if isinstance(entry, Invalid):
            logger.warning('object-malformed', detail=entry.message)
    return ListingBody(
        version,
        tuple(stored for stored in decoded if isinstance(stored, ObjectBody)),
    )


def _decode_object(
    response: urllib3.BaseHTTPResponse,
) -> ObjectBody | Unreachable:
    if response.status != _OK:
        return Unreachable(Cause.STATUS, str(response.status))
    decoded = decode_json(response.data, ObjectBody)
    if isinstance(decoded, Invalid):
        return Unreachable(Cause.MALFORMED, decoded.message)
    return decoded


def _to_stored(entry: ObjectBody, era: int = 0) -> StoredObject:
    return StoredObject(entry.name, entry.version, entry.body.encode(), era)
