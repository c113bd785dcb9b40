"""Where the streams of the last seconds began."""

from __future__ import annotations

from dataclasses import dataclass

from egretdale.util.clocks import Clock

#: Seconds after its start until which a stream may be resumed.
ORIGIN_RETENTION_S = 30.0


@dataclass(slots=True, frozen=True)
class Origin:
    """Where a stream began.

    :ivar service: service that ran it.
    :ivar software_version: software version of the engine.
    """

    service: str
    software_version: str


@dataclass(slots=True)
class OriginRecord:
    """A recorded origin.

    :ivar origin: where the stream began.
    :ivar expires_at: clock time until which it is kept.
    :ivar source: name and incarnation of the host that told it, ``None`` if
        the stream began at this host.
    :ivar is_shared: whether other hosts know it.
    """

    origin: Origin
    expires_at: float
    source: tuple[str, int] | None = None
    is_shared: bool = False


class OriginTable:
    """Origins of streams by the ID of the request that began them."""

    __slots__ = ('_clock', '_records', '_services')

    def __init__(self, clock: Clock) -> None:
        """Create an empty table.

        :param clock: monotonic clock.
        """
        self._clock = clock
        self._records: dict[str, OriginRecord] = {}
        # Times until which the services have streams.
        self._services: dict[str, float] = {}

    def note(
        self,
        request_id: str,
        origin: Origin,
        source: tuple[str, int] | None = None,
    ) -> OriginRecord:
        """Record where a stream began.

        :param request_id: ID of the request.
        :param origin: where it began.
        :param source: name and incarnation of the host that told it, ``None``
            if the stream began at this host.
        :return: the record.
        """
        self._expire()
        # Records are in the order in which they expire.
        self._records.pop(request_id, None)
        expires_at = self._clock() + ORIGIN_RETENTION_S
        record = OriginRecord(
            origin, expires_at, source, is_shared=source is not None
        )
        self._records[request_id] = record
        self._services[origin.service] = expires_at
        return record

    def find(self, request_id: str) -> Origin | None:
        """Find where a stream began.

        :param request_id: ID of the request that brought its first event.
        :return: the origin, ``None`` if it is unknown.
        """
        record = self._records.get(request_id)
        return None if record is None else record.origin

    def list_services(self) -> list[str]:
        """List the services that have begun streams recently."""
        now = self._clock()
        return [
            service
            for service, expires_at in self._services.items()
            if expires_at > now
        ]

    def list_records(self) -> list[tuple[str, OriginRecord]]:
        """List the request IDs of the streams with their records."""
        self._expire()
        return list(self._records.items())

    def _expire(self) -> None:
        now = self._clock()
        while self._records:
            request_id = next(iter(self._records))
            if self._records[request_id].expires_at > now:
                break
            self._records.pop(request_id)
