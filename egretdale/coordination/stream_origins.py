"""Finds the software version at which a resumed stream began.

Engines of several software versions may serve one service, and a stream may go
on only at the version that began it. The host at which a caller resumes a
stream need not be the one that began it, and that one may be lost.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass

import eventlet
from eventlet.queue import Empty, LightQueue

from egretdale.coordination.admission import AdmittedRequest
from egretdale.coordination.mesh import Mesh, MeshListener
from egretdale.coordination.progress import Progress
from egretdale.errors import Ambiguous, Unreachable
from egretdale.state.instances import Instance, InstanceTable
from egretdale.state.members import Member, list_owners
from egretdale.state.messages import Batch, StreamOrigin
from egretdale.state.outcomes import Ran, Reason, Refused
from egretdale.state.queries import OriginAsk, OriginReply
from egretdale.state.stream_origins import Origin, OriginTable
from egretdale.util.clocks import Clock
from egretdale.util.hashing import hash_text
from egretdale.util.logs import get_logger

logger = get_logger(__name__)

#: Hosts that are told where a stream began.
_KEEPERS = 2
#: Hosts for each pair of keepers.
_HOSTS_PER_SHARD = 24
#: Delay in seconds within which origins are sent together.
_FLUSH_S = 0.1
#: Origins in one batch.
_ORIGINS_PER_BATCH = 200
#: Longest wait in seconds for the replies of peers.
_REPLY_TIMEOUT_S = 0.3
#: Retry time in seconds if nobody knows where a stream began: hosts that have
#: just started learn it from others.
_UNKNOWN_RETRY_S = 0.5
#: Number of peers up to which all of them are asked, and not only keepers.
_MAXIMUM_ASKED = 12


@dataclass(slots=True, frozen=True)
class ListKnowledge:
    """What a host can find out about its list of backend servers.

    :ivar is_current: tells whether the list holds the latest changes.
    :ivar restore_history: reads which software versions served before this
        host started, and tells whether that is known.
    :ivar measure_age: returns the seconds since the list was known to hold the
        latest changes.
    """

    is_current: Callable[[], bool]
    restore_history: Callable[[], bool]
    measure_age: Callable[[], float]


class StreamOrigins(MeshListener):
    """Records where streams began and finds it out for resumed ones.

    Nothing is sent to peers while one software version of one service serves
    all requests of a route.
    """

    __slots__ = (
        '_announced',
        '_clock',
        '_instances',
        '_knowledge',
        '_mesh',
        '_pending',
        '_table',
    )

    def __init__(
        self,
        mesh: Mesh,
        instances: InstanceTable,
        clock: Clock,
        knowledge: ListKnowledge,
    ) -> None:
        """Create a component without streams.

        :param mesh: links to peers.
        :param instances: backend servers.
        :param clock: monotonic clock.
        :param knowledge: what can be known about the list of backend servers.
        """
        self._knowledge = knowledge
        self._mesh = mesh
        self._instances = instances
        self._clock = clock
        self._table = OriginTable(clock)
        # Services whose streams are sent to keepers.
        self._announced: set[str] = set()
        self._pending: dict[str, list[StreamOrigin]] = {}

    def note_start(
        self, instance: Instance, request_id: str, *, is_split: bool
    ) -> None:
        """Record that an engine has begun a stream.

        :param instance: the engine.
        :param request_id: ID of the request.
        :param is_split: whether its route has several services.
        """
        origin = Origin(instance.service, instance.software_version)
        self._announce_earlier()
        self._table.note(request_id, origin)
        if is_split or instance.service in self._announced:
            self._announce(request_id, origin)

    def resume(self, admitted: AdmittedRequest) -> Progress | Refused:
        """Bind a request that resumes a stream to where it began.

        :param admitted: the request of the caller.
        :return: the state of the request, or a refusal if it cannot be told.
        """
        route = admitted.route
        request = admitted.request
        origin = self.find(
            request.request_id,
            request.resumed_id,
            route.find_only_service(),
        )
        if origin is None or not route.serves(origin.service):
            return Refused(
                Reason.ORIGIN_UNKNOWN,
                Ran.NO,
                _UNKNOWN_RETRY_S,
                'it is not known where the stream began',
            )
        return Progress(
            admitted, origin.service, software_version=origin.software_version
        )

    def find(
        self, request_id: str, resumed_id: str, service: str
    ) -> Origin | None:
        """Find where a stream began that a caller resumes.

        :param request_id: ID of the request that resumes it.
        :param resumed_id: ID of the request that brought its first event.
        :param service: service that ran it, empty if several can have.
        :return: where it began, ``None`` if it cannot be told.
        """
        origin = self._find_known(resumed_id, service)
        source = self._mesh.table.own_host
        if origin is None:
            origin, source = self._ask_peers(OriginAsk(resumed_id, service))
        logger.info(
            'stream-origin',
            request_id=request_id,
            resumed_id=resumed_id,
            service='' if origin is None else origin.service,
            software_version='' if origin is None else origin.software_version,
            source=source,
        )
        return origin

    # Peers

    def answer(self, ask: OriginAsk) -> OriginReply:
        """Answer a peer that looks for the origin of a stream.

        :param ask: its question.
        :return: what this host knows of it.
        """
        origin = self._find_known(ask.request_id, ask.service_name)
        if origin is not None:
            return OriginReply(origin.service, origin.software_version)
        versions = self._instances.versions.list_recent(ask.service_name)
        return OriginReply(several_versions=len(versions) > 1)

    def fill(self, host: str, batch: Batch) -> None:
        """Add the origins that a keeper is told to a batch.

        :param host: receiving host.
        :param batch: the batch.
        """
        self._announce_earlier()
        pending = self._pending.pop(host, [])
        batch.origins.extend(pending[:_ORIGINS_PER_BATCH])
        if len(pending) > _ORIGINS_PER_BATCH:
            self._pending[host] = pending[_ORIGINS_PER_BATCH:]
            eventlet.spawn_after(_FLUSH_S, self._flush, host)

    def receive(self, batch: Batch) -> None:
        """Record the origins that a peer tells.

        :param batch: a batch from a peer.
        """
        for entry in batch.origins:
            origin = Origin(entry.service_name, entry.software_version)
            self._table.note(entry.request_id, origin)

    def _find_known(self, request_id: str, service: str) -> Origin | None:
        origin = self._table.find(request_id)
        if origin is not None:
            return origin
        versions = self._instances.versions
        only = versions.find_only(service)
        if only and versions.is_complete() and self._knowledge.is_current():
            return Origin(service, only)
        return None

    def _ask_peers(self, ask: OriginAsk) -> tuple[Origin | None, str]:
        """Ask peers where a stream began.

        :param ask: the question.
        :return: the origin, ``None`` if it is unknown, and the host that knew.
        """
        asked = self._choose_asked(ask.request_id)
        replies = []
        for host, reply in self._receive_replies(asked, ask):
            if reply.software_version:
                origin = Origin(reply.service_name, reply.software_version)
                return origin, host
            replies.append(reply)
        several = any(entry.several_versions for entry in replies)
        if several or (asked and not replies):
            return None, ''
        only = self._find_only(ask.service_name)
        if not only:
            return None, ''
        return Origin(ask.service_name, only), self._mesh.table.own_host

    def _find_only(self, service: str) -> str:
        """Find the only version that served, also if all hosts were lost.

        :param service: service name.
        :return: the version, empty if there may have been several.
        """
        versions = self._instances.versions
        if not versions.find_only(service):
            return ''
        if not versions.is_complete() and not self._knowledge.restore_history():
            return ''
        return versions.find_only(service)

    def _receive_replies(
        self, asked: list[Member], ask: OriginAsk
    ) -> Iterator[tuple[str, OriginReply]]:
        """Ask peers at the same time and yield their replies.

        :param asked: the peers.
        :param ask: the question.
        :return: names of the hosts and their replies, as they arrive.
        """
        replies: LightQueue[tuple[str, OriginReply | None]] = LightQueue()
        for member in asked:
            eventlet.spawn_n(self._ask_peer, member, ask, replies)
        deadline_at = self._clock() + _REPLY_TIMEOUT_S
        for _ in asked:
            left_s = max(0, deadline_at - self._clock())
            try:
                host, reply = replies.get(timeout=left_s)
            except Empty:
                return
            if reply is not None:
                yield host, reply

    def _ask_peer(
        self,
        member: Member,
        ask: OriginAsk,
        replies: LightQueue[tuple[str, OriginReply | None]],
    ) -> None:
        update = member.update
        outcome = self._mesh.network.find_origin(update.peer_address, ask)
        reached = not isinstance(outcome, Unreachable | Ambiguous)
        replies.put((update.host, outcome if reached else None))

    def _choose_asked(self, request_id: str) -> list[Member]:
        reachable = self._mesh.table.list_reachable()
        if len(reachable) <= _MAXIMUM_ASKED:
            return reachable
        keepers = self._list_keepers(request_id)
        return [member for member in reachable if member.update.host in keepers]

    def _list_keepers(self, request_id: str) -> list[str]:
        members = self._mesh.table
        shards = max(1, members.count_live() // _HOSTS_PER_SHARD)
        key = f'streams/{hash_text(request_id) % shards}'
        owners = list_owners(members, key, _KEEPERS + 1)
        others = [host for host in owners if host != members.own_host]
        return others[:_KEEPERS]

    def _announce_earlier(self) -> None:
        """Announce the streams that began before a second version served."""
        for service in self._table.list_services():
            versions = self._instances.versions.list_recent(service)
            if len(versions) < 2:
                self._announced.discard(service)
            elif service not in self._announced:
                self._announced.add(service)
                for request_id, origin in self._table.list_streams(service):
                    self._announce(request_id, origin)

    def _announce(self, request_id: str, origin: Origin) -> None:
        entry = StreamOrigin(
            request_id, origin.service, origin.software_version
        )
        for host in self._list_keepers(request_id):
            if host not in self._pending:
                self._pending[host] = []
                eventlet.spawn_after(_FLUSH_S, self._flush, host)
            self._pending[host].append(entry)

    def _flush(self, host: str) -> None:
        # A batch sent in the meantime has already carried the origins.
        if host in self._pending:
            self._mesh.probe(host)
