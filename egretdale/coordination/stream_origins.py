"""Finds the software version at which a resumed stream began.

Engines of several software versions may serve one service, and a stream may go
on only at the version that began it. The host at which a caller resumes a
stream need not be the one that began it, and that one may be lost.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from egretdale.coordination.admission import AdmittedRequest
from egretdale.coordination.mesh import Mesh, MeshListener
from egretdale.coordination.origin_keepers import OriginKeepers
from egretdale.coordination.origin_peers import OriginPeers
from egretdale.coordination.progress import Progress
from egretdale.state.instances import Instance, InstanceTable
from egretdale.state.messages import Batch
from egretdale.state.outcomes import Ran, Reason, Refused
from egretdale.state.queries import OriginAsk, OriginReply
from egretdale.state.stream_origins import Origin, OriginTable
from egretdale.util.clocks import Clock
from egretdale.util.logs import get_logger

logger = get_logger(__name__)

#: Retry time in seconds if nobody knows where a stream began: hosts that have
#: just started learn it from others.
_UNKNOWN_RETRY_S = 0.5
#: Age in seconds beyond which no host infers a version from its list.
_MAXIMUM_LIST_AGE_S = 3.0


@dataclass(slots=True, frozen=True)
class ListKnowledge:
    """What a host can find out about its list of backend servers.

    :ivar confirm: makes sure that the list holds all changes up to the call,
        and tells whether it does.
    :ivar restore_history: reads which software versions served before this
        host started, and tells whether that is known.
    :ivar measure_age: returns the seconds since the list was known to hold the
        latest changes.
    """

    confirm: Callable[[], bool]
    restore_history: Callable[[], bool]
    measure_age: Callable[[], float]


class StreamOrigins(MeshListener):
    """Records where streams began and finds it out for resumed ones.

    Nothing is sent to peers while one software version of one service serves
    all requests of a route.
    """

    __slots__ = (
        '_announced',
        '_instances',
        '_keepers',
        '_knowledge',
        '_mesh',
        '_peers',
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
        self._peers = OriginPeers(mesh, clock)
        self._instances = instances
        self._table = OriginTable(clock)
        self._keepers = OriginKeepers(mesh, self._peers, self._table, clock)
        # Services whose streams are sent to keepers.
        self._announced: set[str] = set()

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
        record = self._table.note(request_id, origin)
        if is_split or instance.service in self._announced:
            self._keepers.announce(request_id, record)

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
        origin, source = self._search(OriginAsk(resumed_id, service))
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
        origin = self._table.find(ask.request_id)
        if origin is not None:
            return OriginReply(
                origin.service, origin.software_version, is_recorded=True
            )
        versions = self._instances.versions
        reply = OriginReply()
        reply.several_versions = len(versions.list_recent(ask.service_name)) > 1
        is_recent = self._knowledge.measure_age() <= _MAXIMUM_LIST_AGE_S
        if is_recent and versions.is_complete():
            reply.only_version = versions.find_only(ask.service_name)
        return reply

    def fill(self, host: str, batch: Batch) -> None:
        """Add the origins that a keeper is told to a batch.

        :param host: receiving host.
        :param batch: the batch.
        """
        self._announce_earlier()
        self._keepers.fill(host, batch)

    def receive(self, batch: Batch) -> None:
        """Record the origins that a peer tells.

        :param batch: a batch from a peer.
        """
        if batch.origins:
            self._keepers.note_shared()
        source = (batch.sender, batch.incarnation)
        for entry in batch.origins:
            origin = Origin(entry.service_name, entry.software_version)
            self._table.note(entry.request_id, origin, source)

    def _search(self, ask: OriginAsk) -> tuple[Origin | None, str]:
        """Find where a stream began, at this host or at its peers.

        :param ask: the question.
        :return: the origin, ``None`` if it cannot be told, and the host that
            knew.
        """
        own_host = self._mesh.table.own_host
        origin = self._table.find(ask.request_id)
        if origin is not None:
            return origin, own_host
        service = ask.service_name
        versions = self._instances.versions
        # Another host may have begun it at a version that joined just now.
        is_confirmed = (
            bool(versions.find_only(service)) and self._knowledge.confirm()
        )
        if is_confirmed and versions.is_complete():
            only = versions.find_only(service)
            if only:
                return Origin(service, only), own_host
        return self._ask_peers(ask, is_confirmed=is_confirmed)

    def _ask_peers(
        self, ask: OriginAsk, *, is_confirmed: bool
    ) -> tuple[Origin | None, str]:
        asked = self._peers.choose_asked(ask.request_id)
        replies = []
        for host, reply in self._peers.receive_replies(asked, ask):
            if self._is_recorded(reply):
                origin = Origin(reply.service_name, reply.software_version)
                return origin, host
            replies.append(reply)
        if is_confirmed or self._peers.has_heard_all(asked, replies):
            own_host = self._mesh.table.own_host
            return self._infer(ask.service_name, replies), own_host
        return None, ''

    def _is_recorded(self, reply: OriginReply) -> bool:
        """Tell whether a peer knows the stream.

        A host of an earlier build does not say so. It infers a version only
        while its list, which may be some seconds old, has no other one.

        :param reply: reply of the peer.
        """
        if reply.is_recorded or not reply.software_version:
            return reply.is_recorded
        return self._instances.versions.has_known_another(
            reply.service_name, reply.software_version, _MAXIMUM_LIST_AGE_S
        )

    def _infer(self, service: str, replies: list[OriginReply]) -> Origin | None:
        """Infer the origin from the only version that has served.

        :param service: service name.
        :param replies: replies of peers that do not know the stream.
        :return: the origin, ``None`` if there may have been several versions.
        """
        versions = self._instances.versions
        only = versions.find_only(service)
        inferred = {
            reply.software_version or reply.only_version for reply in replies
        } - {''}
        if not only or any(reply.several_versions for reply in replies):
            return None
        if not inferred <= {only}:
            return None
        is_complete = inferred or versions.is_complete()
        if not is_complete and not self._knowledge.restore_history():
            return None
        # The record may have added another version.
        only = versions.find_only(service)
        return Origin(service, only) if only else None

    def _announce_earlier(self) -> None:
        """Announce the streams that began before a second version served."""
        self._keepers.update()
        for service in self._table.list_services():
            versions = self._instances.versions.list_recent(service)
            if len(versions) < 2:
                self._announced.discard(service)
            elif service not in self._announced:
                self._announced.add(service)
                self._announce_streams(service)

    def _announce_streams(self, service: str) -> None:
        for request_id, record in self._table.list_records():
            if record.origin.service == service and not record.is_shared:
                self._keepers.announce(request_id, record)
