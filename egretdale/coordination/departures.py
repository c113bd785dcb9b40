"""Learns which backend servers leave, and tells the other hosts.

This serves planned replacements. A backend server says in its responses that it
leaves, often before the list does or while the list cannot be read.
"""

from __future__ import annotations

from egretdale.coordination.exchanges import ForwardResponse
from egretdale.coordination.mesh import Mesh, MeshListener
from egretdale.coordination.peer_reports import PeerReports
from egretdale.errors import Invalid
from egretdale.state.departures import Departure, Incarnation
from egretdale.state.groups import GroupMap, find_prompt_allocator
from egretdale.state.instances import Instance, InstanceTable
from egretdale.state.messages import BackendUpdate, Batch
from egretdale.util.clocks import Clock, convert_to_ms, convert_to_seconds
from egretdale.util.logs import get_logger

logger = get_logger(__name__)

#: Seconds after a response in which a backend server that leaves gets work that
#: no other one can do.
_RESPONSE_USE_S = 1.5
#: Seconds for which peers are told of a departure.
_TOLD_S = 30.0
_MISDIRECTED_REQUEST = 421


class DepartureTracker(MeshListener):
    """Records the departures that responses and peers tell."""

    __slots__ = ('_clock', '_groups', '_instances', '_mesh', '_reports')

    def __init__(
        self, mesh: Mesh, instances: InstanceTable, clock: Clock
    ) -> None:
        """Create a tracker.

        :param mesh: links to peers.
        :param instances: backend servers.
        :param clock: monotonic clock.
        """
        self._mesh = mesh
        self._instances = instances
        self._clock = clock
        self._groups = GroupMap(instances)
        self._reports = PeerReports(mesh, clock, _write)

    def note_response(
        self, instance: Instance, response: ForwardResponse, request_id: str
    ) -> None:
        """Record what a response says of its backend server.

        :param instance: the backend server.
        :param response: its response.
        :param request_id: ID of the request.
        """
        match response.statement.leaving:
            case Invalid(path=header, message=message):
                logger.warning(
                    'backend-statement-malformed',
                    backend=instance.name,
                    request_id=request_id,
                    header=header,
                    detail=message,
                )
            # Another backend server at this address may have sent status 421.
            case True if response.status != _MISDIRECTED_REQUEST:
                self._note_stated(
                    instance.service, instance.incarnation, request_id
                )

    def note_relayed(self, response: ForwardResponse, request_id: str) -> None:
        """Record what a response says that another host has relayed.

        :param response: the response.
        :param request_id: ID of the request.
        """
        backend = response.backend
        if response.statement.leaving is True and backend is not None:
            incarnation = (backend.name, backend.born_ms)
            self._note_stated(backend.service, incarnation, request_id)

    # Peers

    def fill(self, host: str, batch: Batch) -> None:
        """Add the departures that a peer may not know to a batch.

        Hosts tell the allocators of the service, which tell all others.

        :param host: receiving host.
        :param batch: the batch.
        """
        own = self._mesh.table.own_host

        def is_wanted(departure: Departure) -> bool:
            allocators = self._list_allocators(departure.service)
            return host in allocators or own in allocators

        self._reports.fill(host, batch, is_wanted)

    def receive(self, batch: Batch) -> None:
        """Record the departures that a peer tells.

        :param batch: a batch from a peer.
        """
        now = self._clock()
        for update in batch.backends:
            if update.leaving:
                since = now - convert_to_seconds(max(0, update.age_ms))
                departure = Departure(
                    update.service_name,
                    (update.name, update.incarnation),
                    since,
                    since + _RESPONSE_USE_S,
                )
                self._note(departure, batch.sender, '')

    def note_failure(self, host: str) -> None:
        """Tell a host everything again that could not be reached.

        :param host: name of the host.
        """
        self._reports.note_failure(host)

    def _note_stated(
        self, service: str, incarnation: Incarnation, request_id: str
    ) -> None:
        now = self._clock()
        departure = Departure(
            service,
            incarnation,
            now,
            now + _RESPONSE_USE_S,
            self._instances.read_wall_ms(),
        )
        self._note(departure, self._mesh.table.own_host, request_id)

    def _note(self, departure: Departure, source: str, request_id: str) -> None:
        if not self._instances.note_leaving(departure):
            return
        now = self._clock()
        self._reports.keep(departure, now + _TOLD_S, source)
        if source == self._mesh.table.own_host:
            for host in self._list_allocators(departure.service) - {source}:
                self._mesh.probe(host)
        name, born_ms = departure.incarnation
        logger.info(
            'backend-leaving',
            backend=name,
            born_ms=born_ms,
            service=departure.service,
            source=source,
            age_ms=convert_to_ms(now - departure.since),
            request_id=request_id,
        )

    def _list_allocators(self, service: str) -> set[str]:
        groups = self._groups.list_groups(service)
        table = self._mesh.table
        return {find_prompt_allocator(table, group) for group in groups}


def _write(batch: Batch, departure: Departure, now: float) -> None:
    name, born_ms = departure.incarnation
    batch.backends.append(
        BackendUpdate(
            departure.service,
            name,
            born_ms,
            leaving=True,
            age_ms=convert_to_ms(now - departure.since),
        )
    )
