"""Simulates a whole system: nodes, backend servers, platform, callers."""

from __future__ import annotations

import contextlib
import json
import random
from dataclasses import dataclass, field

import eventlet
import greenlet
import msgspec
from eventlet.greenthread import GreenThread

from egretdale.config import Settings
from egretdale.coordination.node import Node, NodeDependencies
from egretdale.coordination.requests import (
    CallerRequest,
    Continuation,
    Refusal,
    StreamReply,
)
from egretdale.coordination.slot_clients import SlotClients
from egretdale.protocol.hosts import order_hosts
from egretdale.state.members import MemberStatus
from egretdale.state.outcomes import Answered, Reason, Refused
from egretdale.util.clocks import Clock
from egretdale.util.hashing import hash_text
from egretdale.util.tasks import TaskGroup
from standins.models.engine import EngineProfile
from standins.virtual.backends import (
    VirtualBackend,
    VirtualBackendClient,
    VirtualWork,
    continue_work,
)
from standins.virtual.network import HostFaults, VirtualNetwork
from standins.virtual.platform import PlatformState, VirtualPlatform

_EPOCH_S = 1_700_000_000.0
_PLAIN_PROFILE = EngineProfile(
    sequences=64,
    kv_tokens=1 << 30,
    prefill_rate=1000.0,
    decode_rate=100.0,
    batch_penalty=float(0),
)
_CALLER_LATENCY_S = 0.001
_DETECTION_S = 0.3
_MAXIMUM_ATTEMPTS = 6
_ANSWER_LIFETIME_S = 3.0
_DRAIN_S = 120.0


@dataclass(slots=True, frozen=True)
class WorldPlan:
    """Configuration of a simulated system.

    :ivar documents: document texts by service.
    :ivar engines: number of engines by service.
    :ivar plain: number of plain backend servers by service.
    :ivar hosts: number of entry hosts.
    :ivar seed: seed of all random sources.
    :ivar profile: speed and limits of the engines.
    """

    documents: dict[str, str]
    engines: dict[str, int] = field(default_factory=dict)
    plain: dict[str, int] = field(default_factory=dict)
    hosts: int = 3
    seed: int = 1
    profile: EngineProfile = field(default_factory=EngineProfile)


@dataclass(slots=True, frozen=True)
class SimulatedRequest:
    """A request that a caller makes.

    :ivar identity: identity of the request.
    :ivar service: service name.
    :ivar class_name: class of the request.
    :ivar organisation: organisation of the caller.
    :ivar work: request body, which tells a backend server what to do.
    :ivar path: path at the backend server.
    :ivar key: idempotency key, empty for none.
    :ivar streams: whether the response is a stream.
    :ivar fails_over: whether the caller tries another host when its entry
        host dies.
    :ivar comes_back: whether the caller retries once at the time that a
        refusal names.
    """

    identity: str
    service: str
    class_name: str
    organisation: str
    work: VirtualWork
    path: str = '/v1/completions'
    key: str = ''
    streams: bool = True
    fails_over: bool = True
    comes_back: bool = False


@dataclass(slots=True)
class RequestResult:
    """How a demand ended.

    :ivar demand: the demand.
    :ivar outcome: its outcome; ``None`` when its entry host died.
    :ivar started_at: virtual time at which it was sent.
    :ivar ended_at: virtual time at which it ended.
    :ivar first_s: seconds to the first token, ``None`` without one.
    :ivar events: number of events delivered.
    :ivar host: entry host.
    :ivar continuation: how to resume the stream at another host.
    :ivar tries: number of times that the caller sent it.
    :ivar returned_s: seconds after which the caller retried, if it did.
    """

    demand: SimulatedRequest
    outcome: Answered | Refused | None
    started_at: float
    ended_at: float
    first_s: float | None = None
    events: int = 0
    host: str = ''
    continuation: Continuation | None = None
    tries: int = 0
    returned_s: float | None = None

    def is_whole(self) -> bool:
        """Tell whether the complete response was delivered."""
        return isinstance(self.outcome, Answered)


class World:
    """A simulated system: nodes and all that they communicate with.

    :ivar plan: its configuration.
    :ivar faults: faults of hosts.
    :ivar platform: the platform.
    :ivar backends: backend servers by name.
    :ivar nodes: nodes by host name.
    :ivar endings: how demands ended.
    :ivar clock: virtual clock.
    """

    __slots__ = (
        '_addresses',
        '_source',
        '_tasks',
        '_waiters',
        'backends',
        'clock',
        'endings',
        'faults',
        'nodes',
        'plan',
        'platform',
    )

    def __init__(self, plan: WorldPlan, clock: Clock) -> None:
        """Build the platform, the backend servers and the nodes.

        :param plan: configuration of the system.
        :param clock: virtual clock.
        """
        self.plan = plan
        self.clock = clock
        self.faults = HostFaults()
        self.platform = PlatformState()
        self.backends: dict[str, VirtualBackend] = {}
        self.nodes: dict[str, Node] = {}
        self.endings: list[RequestResult] = []
        self._source = random.Random(plan.seed)
        self._addresses: dict[str, Node] = {}
        self._tasks: dict[str, TaskGroup] = {}
        self._waiters: dict[str, dict[GreenThread, RequestResult]] = {}
        for service, count in plan.engines.items():
            self._add_backends(service, count, plan.profile, plain=False)
        for service, count in plan.plain.items():
            self._add_backends(service, count, _PLAIN_PROFILE, plain=True)
        for service, text in plan.documents.items():
            self.store_document(service, text)
        for index in range(plan.hosts):
            self.start_host(f'host-{index}')

    # Hosts

    def start_host(self, name: str) -> Node:
        """Start or restart the process of a host.

        :param name: name of the host.
        :return: its node.
        """
        self.faults.dead.discard(name)
        index = int(name.rpartition('-')[2])
        address = f'10.0.0.{index}:7000'
        settings = Settings(
            host=name,
            data_centre=f'dc-{index % 3}',
            caller_address=f'10.0.0.{index}:8000',
            peer_address=address,
            platform_url='http://10.0.1.1:80',
            peer_bytes_per_s=1_000_000.0,
        )
        dependencies = NodeDependencies(
            VirtualPlatform(name, self.platform, self.faults),
            VirtualNetwork(name, self._addresses, self.faults),
            VirtualBackendClient(
                name,
                {backend.name: backend for backend in self.backends.values()},
                self.faults,
            ),
            self.clock,
            self.read_wall_clock,
            random.Random(hash_text(f'{self.plan.seed}/{name}')),
            continue_work,
        )
        node = Node(settings, dependencies)
        self.nodes[name] = node
        self._addresses[address] = node
        tasks = TaskGroup(_raise)
        self._tasks[name] = tasks
        node.start(tasks)
        return node

    def kill_host(self, name: str) -> None:
        """Kill the process of a host.

        :param name: name of the host.
        """
        self.faults.dead.add(name)
        self._tasks[name].stop()
        for waiter in list(self._waiters.get(name, ())):
            waiter.kill()

    def stop_host(self, name: str) -> int:
        """Shut a host down gracefully and wait until it has stopped.

        :param name: name of the host.
        :return: number of requests that were cut off.
        """
        node = self.nodes[name]
        node.membership.leave()
        eventlet.sleep(_ANSWER_LIFETIME_S)
        end_at = self.clock() + _DRAIN_S
        while self._count_waiters(name) and self.clock() < end_at:
            eventlet.sleep(_DETECTION_S)
        cut = self._count_waiters(name)
        if name not in self.faults.dead:
            node.claims.store_decisions()
            self.kill_host(name)
        return cut

    def _count_waiters(self, name: str) -> int:
        return len(self._waiters.get(name, ()))

    def pause_host(self, name: str) -> None:
        """Pause the process of a host.

        :param name: name of the host.
        """
        self.faults.frozen.add(name)

    def resume_host(self, name: str) -> None:
        """Resume a paused process, which detects the gap in its clock.

        :param name: name of the host.
        """
        self.faults.frozen.discard(name)
        if name not in self.faults.dead:
            self.nodes[name].resume_after_pause()

    def list_alive(self) -> list[str]:
        """List the hosts whose processes are neither killed nor paused."""
        return [
            name
            for name in self.nodes
            if name not in self.faults.dead and name not in self.faults.frozen
        ]

    def find_allocator(self, group: str) -> str | None:
        """Find the host that allocates a group.

        :param group: group key.
        :return: name of the host, ``None`` when there is none.
        """
        for name in self.list_alive():
            allocators = self.nodes[name].allocators
            if any(
                entry.group == group for entry in allocators.list_allocators()
            ):
                return name
        return None

    # The platform

    def read_wall_clock(self) -> float:
        """Return a wall-clock time that follows the virtual clock."""
        return _EPOCH_S + self.clock()

    def store_document(self, service: str, text: str) -> int:
        """Store a document in the platform, as an operator does.

        :param service: service name.
        :param text: text of the document.
        :return: its revision.
        """
        stored = {'source': text, 'nonce': '', 'author': 'test', 'at_s': 0}
        entry = self.platform.store.put(
            'documents', service, json.dumps(stored)
        )
        return entry.version

    def list_backend(
        self, name: str, *, state: str = 'live', incarnation: int = 1
    ) -> None:
        """List a backend server in the platform.

        :param name: name of the backend server.
        :param state: ``live`` or ``leaving``.
        :param incarnation: its incarnation.
        """
        fields = {
            'service': name.rpartition('-')[0],
            'address': name,
            'incarnation': incarnation,
            'data_centre': 'dc-0',
            'state': state,
        }
        self.platform.store.put('backend-servers', name, json.dumps(fields))

    # Callers

    def choose_host(self, organisation: str) -> str | None:
        """Choose an entry host as a caller would.

        :param organisation: organisation of the caller.
        :return: name of the host, ``None`` if none is alive.
        """
        alive = self.list_alive()
        if not alive:
            return None
        contacted = self.nodes[self._source.choice(alive)]
        hosts = order_hosts(
            contacted.table.list_serving(),
            contacted.settings.data_centre,
            organisation,
        )
        for entry in hosts:
            if entry.host in alive:
                return entry.host
        return None

    def send(
        self, demand: SimulatedRequest, host: str | None = None
    ) -> RequestResult:
        """Send a request and wait for its end.

        :param demand: the demand.
        :param host: entry host; chosen when absent.
        :return: how it ended.
        """
        ended = RequestResult(demand, None, self.clock(), self.clock())
        self._try_hosts(ended, host)
        if demand.comes_back:
            self._retry_after_refusal(ended, host)
        ended.ended_at = self.clock()
        self.endings.append(ended)
        return ended

    def _retry_after_refusal(
        self, ended: RequestResult, host: str | None
    ) -> None:
        refused = ended.outcome
        if isinstance(refused, Refused) and refused.retry_after_s is not None:
            ended.returned_s = refused.retry_after_s
            eventlet.sleep(refused.retry_after_s)
            ended.outcome = None
            self._try_hosts(ended, host)

    def _try_hosts(self, ended: RequestResult, host: str | None) -> None:
        demand = ended.demand
        for _ in range(_MAXIMUM_ATTEMPTS):
            chosen = host or self.choose_host(demand.organisation)
            waiter = eventlet.spawn(self._send_to_host, ended, chosen)
            running = self._waiters.setdefault(chosen or '', {})
            running[waiter] = ended
            # The task exits when its host is killed.
            with contextlib.suppress(greenlet.GreenletExit):
                waiter.wait()
            running.pop(waiter, None)
            if ended.outcome is not None or not demand.fails_over:
                break
            if host is not None:
                break
            # The entry host died; the caller detects it and tries another one.
            eventlet.sleep(_DETECTION_S)

    def _send_to_host(self, ended: RequestResult, host: str | None) -> None:
        eventlet.sleep(_CALLER_LATENCY_S)
        demand = ended.demand
        if host is None or host not in self.list_alive():
            return
        ended.host = host
        ended.tries += 1
        node = self.nodes[host]
        body = msgspec.json.encode(demand.work)
        request = CallerRequest(
            node.request_ids.create(),
            demand.service,
            'POST',
            demand.path,
            (),
            body,
            demand.class_name,
            demand.organisation,
            demand.key,
            demand.streams,
            demand.work.prompt,
            0,
            demand.work.prefix,
            hash_text(demand.identity) >> 1,
            returning=ended.returned_s is not None,
            continuation=ended.continuation,
        )
        reply = node.router.route(request)
        match reply:
            case Refusal(refused=refused):
                self._handle_refusal(ended, refused)
            case StreamReply():
                self._read_stream(reply, ended)
            case _:
                ended.first_s = self.clock() - ended.started_at
                ended.events = 1
                ended.outcome = Answered('', 1, ended.first_s, ended.first_s)

    def _handle_refusal(self, ended: RequestResult, refused: Refused) -> None:
        if refused.reason == Reason.STREAM_LOST:
            # The events received are useless; the caller starts over.
            ended.continuation = None
            ended.events = 0
        else:
            ended.outcome = refused

    def _read_stream(self, reply: StreamReply, ended: RequestResult) -> None:
        chunk = reply.read()
        while chunk is not None:
            if ended.first_s is None:
                ended.first_s = self.clock() - ended.started_at
            ended.events += chunk.count(b'\n\n')
            ended.continuation = Continuation(
                reply.backend, reply.stream_id, ended.events
            )
            chunk = reply.read()
        ended.outcome = reply.outcome

    # Backend servers

    def _add_backends(
        self, service: str, count: int, profile: EngineProfile, *, plain: bool
    ) -> None:
        for index in range(count):
            name = f'{service}-{index}'
            backend = VirtualBackend(name, profile, self.clock, plain=plain)
            self.backends[name] = backend
            eventlet.spawn(backend.run)
            self.list_backend(name)

    def count_generated(self) -> float:
        """Count the tokens that all backend servers generated."""
        return sum(
            backend.model.generated for backend in self.backends.values()
        )

    def replace_slot_clients(self, create: type[SlotClients]) -> None:
        """Replace the slot clients of all nodes, for a baseline.

        :param create: class of the slot clients.
        """
        for node in self.nodes.values():
            slots = create.for_node(node)
            node.slots = slots
            node.router.attempts.slots = slots

    def count_serving(self) -> int:
        """Return the lowest number of serving hosts that any live host sees."""
        return min(
            sum(
                1
                for member in self.nodes[name].table.list_members()
                if member.status == MemberStatus.ALIVE
            )
            for name in self.list_alive()
        )


def _raise(error: BaseException) -> None:
    raise error
