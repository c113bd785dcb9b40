"""Components that select a backend server for each request of a host."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from prometheus_client import Counter

from egretdale.coordination.backend_choice import (
    BackendChoice,
    BackendChooser,
)
from egretdale.coordination.backpressure import BackpressureTracker
from egretdale.coordination.departures import DepartureTracker
from egretdale.coordination.exchanges import ForwardResponse
from egretdale.coordination.mesh import Mesh
from egretdale.coordination.prefill import PrefillAllocator
from egretdale.coordination.prefill_client import PrefillClient
from egretdale.coordination.progress import Progress
from egretdale.coordination.prompt_asks import create_ask
from egretdale.coordination.quarantine import RequestQuarantine
from egretdale.coordination.stream_origins import (
    ListKnowledge,
    StreamOrigins,
)
from egretdale.state.instances import Incarnation, Instance, InstanceTable
from egretdale.state.links import BackendLinks
from egretdale.state.loads import LoadTable
from egretdale.state.outcomes import Refused
from egretdale.state.request_gates import (
    FallbackRate,
    RequestGates,
    choose_whole_rate,
)
from egretdale.state.routing import CapacityLookup, find_no_capacity
from egretdale.state.service_activity import ServiceActivity
from egretdale.state.speeds import SpeedTable
from egretdale.util.clocks import Clock

#: Creates the chooser of a host.
ChooserFactory = Callable[
    [InstanceTable, LoadTable, RequestGates, Clock], BackendChooser
]


@dataclass(slots=True, frozen=True)
class EngineKnowledge:
    """What is known about engines from the start.

    :ivar speeds: speeds of engines, ``None`` to learn them.
    :ivar find_capacity: finds the capacity of the engines of a service.
    """

    speeds: SpeedTable | None = None
    find_capacity: CapacityLookup = find_no_capacity


_NOTHING_KNOWN = EngineKnowledge()


class BackendSelection:
    """Selects backend servers, with the allocators of prompts or alone.

    :ivar mesh: links to peers.
    :ivar instances: backend servers.
    :ivar loads: loads of backend servers.
    :ivar activity: requests of this host by service.
    :ivar links: whether this host reaches the backend servers.
    :ivar origins: software versions at which streams began.
    :ivar backpressure: what backend servers ask for.
    :ivar departures: tells peers which backend servers leave.
    :ivar quarantine: requests that crash backend servers.
    :ivar chooser: chooses backend servers by the knowledge of this host.
    :ivar speeds: speeds of engines that this host has learned as an allocator.
    :ivar allocator: allocator of this host.
    :ivar prefill_client: asks the allocators of all hosts for engines.
    :ivar list_knowledge: what can be known about the list of backend servers.
    """

    __slots__ = (
        'activity',
        'allocator',
        'backpressure',
        'chooser',
        'departures',
        'instances',
        'links',
        'list_knowledge',
        'loads',
        'mesh',
        'origins',
        'prefill_client',
        'quarantine',
        'speeds',
    )

    def __init__(
        self,
        mesh: Mesh,
        instances: InstanceTable,
        clock: Clock,
        silent: Counter,
        *,
        list_knowledge: ListKnowledge,
        engine_knowledge: EngineKnowledge = _NOTHING_KNOWN,
        create_chooser: ChooserFactory = BackendChooser,
    ) -> None:
        """Create the components and attach them to the mesh.

        :param mesh: links to peers.
        :param instances: backend servers.
        :param clock: monotonic clock.
        :param silent: counts requests whose allocator did not reply.
        :param list_knowledge: what can be known about the list of backend
            servers.
        :param engine_knowledge: what is known about engines.
        :param create_chooser: creates the chooser.
        """
        self.mesh = mesh
        self.instances = instances
        self.list_knowledge = list_knowledge
        self.loads = LoadTable(clock)
        self.activity = ServiceActivity()
        self.links = BackendLinks(clock)
        self.backpressure = BackpressureTracker(mesh.table, instances, clock)
        self.departures = DepartureTracker(mesh, instances, clock)
        self.origins = StreamOrigins(mesh, instances, clock, list_knowledge)
        self.quarantine = RequestQuarantine(mesh, clock)
        limits = self.backpressure.table
        self.chooser = create_chooser(
            instances,
            self.loads,
            RequestGates(
                limits,
                clock,
                FallbackRate(mesh.table),
                counts_rejections=True,
            ),
            clock,
        )
        self.speeds = engine_knowledge.speeds or SpeedTable(clock)
        self.allocator = PrefillAllocator(
            mesh,
            instances,
            clock,
            self.speeds,
            RequestGates(limits, clock, choose_whole_rate),
            engine_knowledge.find_capacity,
        )
        self.prefill_client = PrefillClient(
            mesh, self.allocator, instances, clock, silent
        )
        mesh.add_listener(self.backpressure)
        mesh.add_listener(self.departures)
        mesh.add_listener(self.origins)
        mesh.add_listener(self.quarantine)
        mesh.add_listener(self.prefill_client)
        mesh.attach_handler(self.allocator.handle)

    def select(
        self, progress: Progress, left_s: float
    ) -> BackendChoice | Refused | None:
        """Select a backend server for a request.

        :param progress: state of the request.
        :param left_s: seconds until the caller stops waiting.
        :return: the choice, a refusal because of load, or ``None`` when there
            is none.
        """
        request = progress.admitted.request
        service = progress.service
        # Only the allocator knows how much of a limit all hosts have used.
        if request.prompt.tokens or self.backpressure.is_any_limited(service):
            ask = create_ask(progress, self._list_avoided(service), left_s)
            with self.activity.wait(service):
                choice = self.prefill_client.request_engine(service, ask)
            if isinstance(choice, Refused):
                self.activity.note_refused(service)
            if choice is not None:
                return choice
        return self.chooser.choose(
            service,
            request.prompt,
            progress.avoided,
            spread_key=request.request_id,
            software_version=progress.software_version,
        )

    def retry_hanging(self, progress: Progress) -> bool:
        """Avoid no longer the backend servers that may only stand still.

        :param progress: state of a request whose connections to them hung.
        :return: whether there are any.
        """
        if self.is_cut_off():
            return False
        waiting = [
            instance.name
            for instance in progress.hanging
            if self.loads.may_stand_still(instance.incarnation)
        ]
        progress.hanging.clear()
        for name in waiting:
            progress.avoided.remove(name)
        return bool(waiting)

    def note_statement(
        self, instance: Instance, response: ForwardResponse, request_id: str
    ) -> None:
        """Record what a backend server says about further requests.

        :param instance: the backend server.
        :param response: its response.
        :param request_id: ID of the request.
        """
        self.backpressure.note_statement(
            instance, response.statement, request_id
        )
        self.departures.note_response(instance, response, request_id)

    def note_unreachable(
        self, incarnation: Incarnation, began_at: float, *, is_hanging: bool
    ) -> None:
        """Record that a backend server could not be reached.

        :param incarnation: its incarnation.
        :param began_at: clock time at which the connection began.
        :param is_hanging: whether there was no reply to it.
        """
        self.links.note_failure(incarnation, began_at, is_hanging=is_hanging)
        if is_hanging:
            self.loads.note_hanging(incarnation, began_at)
        self.loads.suspend(incarnation)

    def is_cut_off(self) -> bool:
        """Tell whether this host reaches no backend server."""
        return self.links.is_cut_off(self.instances.count())

    def forget(self, instance: Instance) -> None:
        """Drop the state of a backend server that has gone.

        :param instance: the backend server.
        """
        self.chooser.forget(instance)
        self.allocator.forget(instance)
        self.backpressure.forget(instance.incarnation)
        self.links.forget(instance.incarnation)

    def _list_avoided(self, service: str) -> list[str]:
        """List the backend servers that an allocator must not grant.

        :param service: service name.
        :return: names of those that are suspended or that leave, which the
            allocator may not know.
        """
        leaving = self.instances.list_leaving(service)
        return [
            *self.chooser.list_suspended(service),
            *(instance.name for instance in leaving),
        ]
