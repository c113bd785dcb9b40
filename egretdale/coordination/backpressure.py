"""Tracks what backend servers ask their callers for, on all hosts."""

from __future__ import annotations

from dataclasses import dataclass, field

from egretdale.coordination.mesh import MeshListener
from egretdale.errors import Invalid
from egretdale.state.backpressure import (
    BackendStatement,
    BackpressureTable,
    RequestLimit,
)
from egretdale.state.instances import Incarnation, Instance, InstanceTable
from egretdale.state.members import MemberTable
from egretdale.state.messages import BackendLimit, Batch
from egretdale.util.clocks import Clock, convert_to_ms, convert_to_seconds
from egretdale.util.logs import get_logger

logger = get_logger(__name__)

#: Limits in one batch.
_LIMITS_PER_BATCH = 8
#: Seconds after which a limit that has not changed is sent to a peer again.
_REPEAT_S = 1.0
#: Seconds for which the limit of a backend server that is not listed is kept.
_UNLISTED_RETENTION_S = 60.0
#: Value of ``BackendLimit.limit_per_s`` for a backend server without a limit.
_UNLIMITED = -1


@dataclass(slots=True, frozen=True)
class SentLimit:
    """The limit of a backend server that was last sent to a peer.

    :ivar limit: the limit.
    :ivar sent_at: clock time at which it was sent.
    """

    limit: RequestLimit
    sent_at: float

    def is_outdated(self, limit: RequestLimit, now: float) -> bool:
        """Tell whether the peer needs the present limit.

        :param limit: the present limit.
        :param now: clock time.
        """
        is_changed = not limit.demands_same(self.limit)
        return is_changed or now >= self.sent_at + _REPEAT_S


@dataclass(slots=True)
class PeerLimits:
    """What a peer was sent.

    :ivar incarnation: incarnation of the peer, which knows nothing of what an
        earlier one was sent.
    :ivar sent: limits last sent to it, by backend server.
    """

    incarnation: int
    sent: dict[Incarnation, SentLimit] = field(default_factory=dict)


class BackpressureTracker(MeshListener):
    """Records the statements of backend servers and passes them to peers.

    :ivar table: latest statements.
    """

    __slots__ = ('_clock', '_instances', '_members', '_peers', 'table')

    def __init__(
        self, members: MemberTable, instances: InstanceTable, clock: Clock
    ) -> None:
        """Create a tracker without statements.

        :param members: table of the hosts.
        :param instances: backend servers.
        :param clock: monotonic clock.
        """
        self.table = BackpressureTable()
        self._members = members
        self._instances = instances
        self._clock = clock
        self._peers: dict[str, PeerLimits] = {}

    def note_statement(
        self, instance: Instance, statement: BackendStatement, request_id: str
    ) -> None:
        """Record what a response to this host says.

        A limit that cannot be parsed leaves the previous one in force.

        :param instance: backend server that sent the response.
        :param statement: what the response says.
        :param request_id: ID of the request.
        """
        incarnation = instance.incarnation
        known = (
            self.table.find_rate(incarnation),
            self.table.find_rejection_rate(incarnation),
        )
        stated = (statement.limit_per_s, statement.rejections_per_s)
        per_s, rejections_per_s = (
            self._keep_if_malformed(before, after, instance.name, request_id)
            for before, after in zip(known, stated, strict=True)
        )
        limit = RequestLimit(
            per_s, self._clock(), self._members.own_host, rejections_per_s
        )
        self._note_limit(incarnation, limit, request_id)

    def is_any_limited(self, service: str) -> bool:
        """Tell whether a backend server of a service is limited or brittle.

        :param service: service name.
        """
        demanding = self.table.list_demanding()
        if not demanding:
            return False
        return any(
            instance.incarnation in demanding
            for instance in self._instances.list_ready(service)
        )

    # Peers

    def fill(self, host: str, batch: Batch) -> None:
        """Add the limits that a peer may not know to a batch.

        :param host: receiving host.
        :param batch: the batch.
        """
        now = self._clock()
        self._drop_unlisted(now)
        sent = self._find_peer(host).sent
        for incarnation, limit in self.table.list_limits().items():
            if len(batch.limits) >= _LIMITS_PER_BATCH:
                break
            last = sent.get(incarnation)
            if last is None or last.is_outdated(limit, now):
                sent[incarnation] = SentLimit(limit, now)
                batch.limits.append(_convert_limit(incarnation, limit, now))

    def receive(self, batch: Batch) -> None:
        """Record the limits that a peer knows.

        :param batch: a batch from a peer.
        """
        now = self._clock()
        for entry in batch.limits:
            limit = RequestLimit(
                _read_rate(entry.limit_per_s),
                now - convert_to_seconds(entry.age_ms),
                entry.source,
                _read_rate(entry.rejections_per_s),
            )
            self._note_limit((entry.name, entry.born_ms), limit, '')

    def forget(self, incarnation: Incarnation) -> None:
        """Drop the statements of a backend server that has gone.

        :param incarnation: its incarnation.
        """
        self.table.forget(incarnation)
        for peer in self._peers.values():
            peer.sent.pop(incarnation, None)

    def _keep_if_malformed(
        self,
        known: float | None,
        stated: float | Invalid | None,
        backend: str,
        request_id: str,
    ) -> float | None:
        match stated:
            case Invalid(path=header, message=message):
                logger.warning(
                    'backend-statement-malformed',
                    backend=backend,
                    request_id=request_id,
                    header=header,
                    detail=message,
                )
                return known
        return stated

    def _find_peer(self, host: str) -> PeerLimits:
        member = self._members.find(host)
        incarnation = 0 if member is None else member.update.incarnation
        peer = self._peers.get(host)
        if peer is None or peer.incarnation != incarnation:
            peer = PeerLimits(incarnation)
            self._peers[host] = peer
        return peer

    def _note_limit(
        self, incarnation: Incarnation, limit: RequestLimit, request_id: str
    ) -> None:
        if self.table.note_limit(incarnation, limit):
            name, born_ms = incarnation
            logger.info(
                'backend-limit',
                backend=name,
                born_ms=born_ms,
                limit_per_s=limit.per_s,
                rejections_per_s=limit.rejections_per_s,
                source=limit.source,
                age_ms=convert_to_ms(self._clock() - limit.stated_at),
                request_id=request_id,
            )

    def _drop_unlisted(self, now: float) -> None:
        for incarnation, limit in self.table.list_limits().items():
            instance = self._instances.find(incarnation[0])
            listed = instance and instance.incarnation == incarnation
            if not listed and now > limit.stated_at + _UNLISTED_RETENTION_S:
                self.forget(incarnation)


def _convert_limit(
    incarnation: Incarnation, limit: RequestLimit, now: float
) -> BackendLimit:
    name, born_ms = incarnation
    return BackendLimit(
        name,
        born_ms,
        limit.source,
        _UNLIMITED if limit.per_s is None else limit.per_s,
        convert_to_ms(now - limit.stated_at),
        _UNLIMITED
        if limit.rejections_per_s is None
        else limit.rejections_per_s,
    )


def _read_rate(rate: float) -> float | None:
    return None if rate < 0 else rate
