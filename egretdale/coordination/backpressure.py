"""Tracks what backend servers ask their callers for."""

from __future__ import annotations

from egretdale.errors import Invalid
from egretdale.state.backpressure import (
    BackendStatement,
    BackpressureTable,
    RequestLimit,
)
from egretdale.state.instances import Instance
from egretdale.util.clocks import Clock, convert_to_ms
from egretdale.util.logs import get_logger

logger = get_logger(__name__)


class BackpressureTracker:
    """Records the statements of backend servers.

    :ivar table: latest statements.
    """

    __slots__ = ('_clock', '_own_host', 'table')

    def __init__(self, own_host: str, clock: Clock) -> None:
        """Create a tracker without statements.

        :param own_host: name of this host.
        :param clock: monotonic clock.
        """
        self.table = BackpressureTable()
        self._own_host = own_host
        self._clock = clock

    def note_statement(
        self, instance: Instance, statement: BackendStatement, request_id: str
    ) -> None:
        """Record what a response to this host says.

        A limit that cannot be parsed leaves the previous one in force.

        :param instance: backend server that sent the response.
        :param statement: what the response says.
        :param request_id: ID of the request.
        """
        match statement.limit_per_s:
            case Invalid(path=header, message=message):
                logger.warning(
                    'backend-statement-malformed',
                    backend=instance.name,
                    request_id=request_id,
                    header=header,
                    detail=message,
                )
            case limit_per_s:
                limit = RequestLimit(limit_per_s, self._clock(), self._own_host)
                self._note_limit(instance, limit, request_id)

    def describe_limit(self, instance: Instance) -> float | None:
        """Return the limit in force for a backend server.

        :param instance: the backend server.
        :return: requests per second, ``None`` without a limit.
        """
        limit = self.table.find_limit(instance.incarnation)
        return None if limit is None else limit.per_s

    def _note_limit(
        self, instance: Instance, limit: RequestLimit, request_id: str
    ) -> None:
        if self.table.note_limit(instance.incarnation, limit):
            logger.info(
                'backend-limit',
                backend=instance.name,
                born_ms=instance.born_ms,
                service=instance.service,
                limit_per_s=limit.per_s,
                source=limit.source,
                age_ms=convert_to_ms(self._clock() - limit.stated_at),
                request_id=request_id,
            )
