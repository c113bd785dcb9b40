"""Fixtures for the tests of backend servers that leave."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field, replace

import eventlet

from egretdale.coordination.exchanges import (
    ForwardAttempt,
    ForwardReply,
    IncompleteResponse,
    Prompt,
    RelayAttempt,
)
from egretdale.coordination.ports import MaybeRun, NotRun
from egretdale.state.backpressure import BackendStatement
from egretdale.state.instances import Instance
from egretdale.state.outcomes import Refused
from standins.emulation.hosts import (
    SERVICE,
    EmulatedHost,
    EmulatedNetwork,
)
from standins.emulation.relays import HostResponse, relay_to_host
from standins.virtual.hub import VirtualHub, use_virtual_time
from tests.emulated import LoadedHosts
from tests.forwarding import ScriptedResponse, create_prompt

#: Seconds after a host has passed on that a server leaves until requests that
#: callers send to that host must not reach the server any more.
DRAIN_S = 2.0
#: Events of a whole response.
EVENTS = 4
_RESPONSE_S = 0.05
#: Seconds in which requests in progress end.
_SETTLE_S = 0.5
_LEAVING = ('Egret-Leaving', '1')
_SERVED_BY = 'Test-Served-By'


@dataclass(slots=True, frozen=True)
class Arrival:
    """A request that reached a server.

    :ivar sent_at: time at which the caller sent it.
    :ivar host: host that passed it on.
    :ivar server: incarnation of the server, by its name and start time.
    """

    sent_at: float
    host: str
    server: str


@dataclass
class LeavingServers:
    """Servers that say in their responses whether they leave.

    :ivar lives: start times in milliseconds of the running servers, by name.
        The list may still hold an earlier one.
    :ivar leaving: incarnations that leave, as ``name.born_ms``.
    :ivar full: names of the servers that turn requests away.
    :ivar cut_off: hosts that reach no server.
    :ivar breaks: IDs of the requests whose first response breaks off.
    """

    hub: VirtualHub
    lives: dict[str, int] = field(default_factory=dict)
    leaving: set[str] = field(default_factory=set)
    full: set[str] = field(default_factory=set)
    cut_off: set[str] = field(default_factory=set)
    breaks: set[str] = field(default_factory=set)
    arrivals: list[Arrival] = field(default_factory=list)

    def find_life(self, name: str) -> str:
        """Return the incarnation of the server that runs under a name."""
        return f'{name}.{self.lives[name]}'

    def serve(
        self, host: str, attempt: ForwardAttempt
    ) -> ScriptedResponse | NotRun:
        """Respond to a request, unless the server has exited."""
        name = attempt.instance.name
        if name not in self.lives or host in self.cut_off:
            return NotRun('refused', is_refused=True)
        request = attempt.request
        server = self.find_life(name)
        self.arrivals.append(Arrival(request.arrived_at, host, server))
        eventlet.sleep(_RESPONSE_S)
        is_leaving = server in self.leaving
        response = ScriptedResponse(
            headers=[(_SERVED_BY, server)],
            statement=BackendStatement(leaving=is_leaving),
        )
        if is_leaving:
            response.headers.append(_LEAVING)
        if name in self.full:
            response.status = 503
            response.not_run = True
            return response
        after = int(attempt.last_event_id or request.last_event_id or 0)
        response.steps = [
            f'id: {number}\ndata: {server}\n\n'.encode()
            for number in range(after + 1, EVENTS + 1)
        ]
        if request.request_id in self.breaks:
            self.breaks.remove(request.request_id)
            lost = MaybeRun('the connection was reset')
            response.steps = [*response.steps[:2], lost]
        return response


@dataclass
class HostClient:
    """The client of one host."""

    host: str
    servers: LeavingServers
    hosts: dict[str, EmulatedHost]

    def open(self, attempt: ForwardAttempt) -> ScriptedResponse | NotRun:
        """Send a request to a server."""
        return self.servers.serve(self.host, attempt)

    def test_connection(self, instance: Instance) -> NotRun | None:
        """Open a connection to a server."""
        if self.host in self.servers.cut_off:
            return NotRun('refused', is_refused=True)
        return None

    def relay(self, attempt: RelayAttempt) -> HostResponse | NotRun | MaybeRun:
        """Send a request to another host."""
        return relay_to_host(self.hosts, attempt)


@dataclass(slots=True)
class Ending:
    """How a request ended.

    :ivar sent_at: time at which the caller sent it.
    :ivar host: host that it was sent to.
    :ivar servers: incarnations that sent the events, in order.
    :ivar refused: refusal, if there was one.
    :ivar is_broken: whether the response was incomplete.
    """

    sent_at: float
    host: str
    servers: list[str] = field(default_factory=list)
    refused: Refused | None = None
    is_broken: bool = False

    def is_served(self, events: int = EVENTS) -> bool:
        """Tell whether the response was complete."""
        return len(self.servers) == events and not self.is_broken


@dataclass
class LeavingScene(LoadedHosts):
    """Hosts before servers that leave.

    :ivar endings: how the requests ended.
    :ivar told_at: times at which hosts first passed on that a server leaves,
        by its incarnation and the host.
    :ivar isolated: hosts that callers reach and other hosts do not.
    :ivar last_request: ID of the latest request.
    """

    servers: LeavingServers = field(init=False)
    endings: list[Ending] = field(default_factory=list)
    told_at: dict[tuple[str, str], float] = field(default_factory=dict)
    isolated: dict[str, EmulatedHost] = field(default_factory=dict)
    last_request: str = ''
    _sent: int = 0

    def list_servers(self, **changes: Instance) -> None:
        """Give all hosts a list of the servers.

        :param changes: entries that differ from the running servers.
        """
        listed = {
            name: create_instance(name, born_ms)
            for name, born_ms in self.servers.lives.items()
        }
        listed.update(changes)
        for host in (*self.hosts.values(), *self.isolated.values()):
            host.replace_instances(dict(listed))

    def isolate(self, name: str) -> EmulatedHost:
        """Cut a host from all other hosts; callers still reach it."""
        host = self.hosts[name]
        self.lose_host(name)
        host.mesh.network = EmulatedNetwork({})
        self.isolated[name] = host
        return host

    def rejoin(self, name: str) -> None:
        """End the isolation of a host."""
        host = self.isolated.pop(name)
        host.mesh.network = EmulatedNetwork(self.hosts)
        self.hosts[name] = host
        self.announce(name)

    def restart(self, name: str) -> None:
        """Restart a host, which excuses what it was told before."""
        client = HostClient(name, self.servers, self.hosts)
        self.restart_host(name, client)
        self.told_at = {
            key: at for key, at in self.told_at.items() if key[1] != name
        }

    def call(
        self,
        host: EmulatedHost,
        *,
        prompt: Prompt | None = None,
        resumes: str = '',
        breaks: bool = False,
    ) -> Ending:
        """Send a request and read its response.

        :param host: host that it is sent to.
        :param prompt: its prompt, ``None`` for another one each time.
        :param resumes: request whose stream it resumes after two events.
        :param breaks: whether its first response breaks after two events.
        """
        self._sent += 1
        request_id = f'request-{self._sent}'
        self.last_request = request_id
        if breaks:
            self.servers.breaks.add(request_id)
        ending = Ending(self.hub.now, host.mesh.table.own_host)
        self.endings.append(ending)
        request = self.create_request(
            request_id,
            prompt=create_prompt(400, 100, self._sent)
            if prompt is None
            else prompt,
            last_event_id='2' if resumes else '',
            resumed_id=resumes,
        )
        forwarder = host.forwarder
        reply = forwarder.forward(forwarder.admit(request))
        if isinstance(reply, Refused):
            ending.refused = reply
        else:
            self._read(reply, ending)
        return ending

    def measure_served(self, since: float = 0) -> float:
        """Measure the share of the requests since a time that were served.

        :param since: the time; those in progress now end first.
        """
        eventlet.sleep(_SETTLE_S)
        counted = [entry for entry in self.endings if entry.sent_at >= since]
        return sum(entry.is_served() for entry in counted) / len(counted)

    def list_reached(self, server: str, since: float) -> list[Arrival]:
        """List the requests sent after a time that reached a server.

        :param server: its incarnation, as ``name.born_ms``.
        :param since: the time.
        """
        return [
            arrival
            for arrival in self.servers.arrivals
            if arrival.server == server and arrival.sent_at > since
        ]

    def find_late(self) -> list[Arrival]:
        """List the requests that reached a server too late."""
        return [
            arrival
            for arrival in self.servers.arrivals
            if arrival.sent_at
            > DRAIN_S
            + self.told_at.get((arrival.server, arrival.host), float('inf'))
        ]

    def _call(self, host: EmulatedHost, plain: bool) -> None:
        self.call(host, prompt=Prompt() if plain else None)

    def _read(self, reply: ForwardReply, ending: Ending) -> None:
        headers = dict(reply.headers)
        if _LEAVING in reply.headers:
            key = (headers[_SERVED_BY], ending.host)
            self.told_at.setdefault(key, self.hub.now)
        try:
            for chunk in reply.chunks:
                ending.servers.append(chunk.decode().split()[-1])
        except IncompleteResponse:
            ending.is_broken = True


def create_instance(name: str, born_ms: int = 1, **changes: object) -> Instance:
    """Create the entry of a server.

    :param name: its name.
    :param born_ms: its start time.
    :param changes: fields that differ.
    """
    entry = Instance(name, SERVICE, f'{name}:80', born_ms=born_ms, slots=128)
    return replace(entry, **changes)


@contextmanager
def open_leaving_scene(
    hosts: int = 6, servers: int = 5, policy: str = 'product'
) -> Iterator[LeavingScene]:
    """Run hosts before servers on virtual time.

    :param hosts: number of hosts, named ``h0``, ``h1`` and so on.
    :param servers: number of servers, named ``e0``, ``e1`` and so on.
    :param policy: how the hosts select servers.
    """
    with use_virtual_time() as hub:
        scene = LeavingScene(hub)
        scene.servers = LeavingServers(hub)
        scene.servers.lives = {f'e{index}': 1 for index in range(servers)}
        for index in range(hosts):
            name = f'h{index}'
            client = HostClient(name, scene.servers, scene.hosts)
            scene.add_host(name, client, hosts, policy)
            scene.hosts[name].start_tasks()
        scene.list_servers()
        eventlet.sleep(1)
        yield scene
