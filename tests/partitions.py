"""Fixtures for the tests of hosts that are partitioned from all servers."""

from __future__ import annotations

import enum
from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field

import eventlet

from egretdale.coordination.exchanges import (
    ForwardAttempt,
    ForwardReply,
    IncompleteResponse,
    Prompt,
    RelayAttempt,
)
from egretdale.coordination.ports import MaybeRun, NotRun
from egretdale.state.instances import Instance
from egretdale.state.outcomes import Refused
from standins.emulation.hosts import SERVICE, EmulatedHost
from standins.emulation.relays import relay_to_host
from standins.virtual.hub import VirtualHub, use_virtual_time
from tests.emulated import LoadedHosts
from tests.forwarding import ScriptedResponse, create_prompt

#: Seconds after the start of a partition from which requests count.
CONTACT_S = 3.0
_RESPONSE_S = 0.05
_CONNECT_TIMEOUT_S = 0.5
#: Seconds until unacknowledged bytes end a connection.
_USER_TIMEOUT_S = 4.0
#: Idle connections of a host to each server.
_IDLE_CONNECTIONS = 2


class Partition(enum.Enum):
    """What a host meets that is partitioned from all servers."""

    HANGING = 'hanging'
    REFUSED = 'refused'
    RESET = 'reset'
    OLD_CONNECTIONS_LIVE = 'old-connections-live'


@dataclass
class PartitionedServers:
    """Servers that some hosts may not reach.

    :ivar partitions: partitions by name of the host.
    :ivar silent_until: times until which servers send nothing, by name.
    :ivar full_until: times until which new connections to servers hang, by
        name, while those that are open live on.
    :ivar runs: number of runs by ID of the request.
    :ivar tests: number of connections that were opened to test servers.
    """

    hub: VirtualHub
    partitions: dict[str, Partition] = field(default_factory=dict)
    silent_until: dict[str, float] = field(default_factory=dict)
    full_until: dict[str, float] = field(default_factory=dict)
    runs: Counter[str] = field(default_factory=Counter)
    tests: int = 0

    def is_full(self, name: str) -> bool:
        """Tell whether new connections to a server hang."""
        return self.full_until.get(name, 0) > self.hub.now


@dataclass
class PartitionedClient:
    """The client of one host.

    :ivar idle: idle connections by server.
    """

    host: str
    servers: PartitionedServers
    hosts: dict[str, EmulatedHost]
    idle: Counter[str] = field(default_factory=Counter)

    def open(
        self, attempt: ForwardAttempt
    ) -> ScriptedResponse | NotRun | MaybeRun:
        """Send a request to a server."""
        name = attempt.instance.name
        is_idle = self.idle[name] > 0
        if is_idle:
            self.idle[name] -= 1
        partition = self.servers.partitions.get(self.host)
        if not is_idle and partition is None and self.servers.is_full(name):
            return self._hang(name)
        match partition:
            case None | Partition.OLD_CONNECTIONS_LIVE if partition is None or (
                is_idle
            ):
                return self._serve(attempt)
            case _ if is_idle:
                return self._break(partition, attempt.left_s)
        failure = self.test_connection(attempt.instance)
        self.servers.tests -= 1
        return failure or MaybeRun('the partition has just ended')

    def test_connection(self, instance: Instance) -> NotRun | None:
        """Open a connection to a server."""
        self.servers.tests += 1
        match self.servers.partitions.get(self.host):
            case None if self.servers.is_full(instance.name):
                return self._hang(instance.name)
            case None:
                self.idle[instance.name] += 1
                return None
            case Partition.HANGING:
                return self._hang(instance.name)
        eventlet.sleep(0.002)
        return NotRun('refused', is_refused=True)

    def relay(
        self, attempt: RelayAttempt
    ) -> ScriptedResponse | NotRun | MaybeRun:
        """Send a request to another host."""
        return relay_to_host(self.hosts, attempt)

    def _hang(self, name: str) -> NotRun:
        eventlet.sleep(_CONNECT_TIMEOUT_S)
        self.idle[name] = 0
        return NotRun('timed out', is_hanging=True)

    def _serve(self, attempt: ForwardAttempt) -> ScriptedResponse | MaybeRun:
        name = attempt.instance.name
        request_id = attempt.request.request_id
        self.servers.runs[request_id] += 1
        silent_s = self.servers.silent_until.get(name, 0) - self.servers.hub.now
        eventlet.sleep(_RESPONSE_S + max(0, silent_s))
        self.idle[name] = min(_IDLE_CONNECTIONS, self.idle[name] + 1)
        return ScriptedResponse([b'id: 1\ndata: x\n\n'])

    def _break(self, partition: Partition, left_s: float) -> MaybeRun:
        if partition == Partition.HANGING:
            eventlet.sleep(min(_USER_TIMEOUT_S, left_s))
        return MaybeRun('no response')


@dataclass
class PartitionScene(LoadedHosts):
    """Hosts before servers that some of them may not reach.

    :ivar first_tries: requests by host and whether they were served.
    :ivar took: seconds until the responses began, by host.
    :ivar refused: refusals by host.
    """

    servers: PartitionedServers = field(init=False)
    first_tries: list[tuple[float, str, bool]] = field(default_factory=list)
    took: dict[str, list[float]] = field(default_factory=dict)
    refused: list[tuple[str, Refused]] = field(default_factory=list)
    _number: int = 0

    def measure_served(
        self, since: float, until: float, hosts: list[str]
    ) -> float:
        """Measure the share of the first tries that were served.

        :param since: time of the first one.
        :param until: time of the last one.
        :param hosts: hosts that they were sent to.
        """
        served = [
            is_served
            for at, host, is_served in self.first_tries
            if since <= at < until and host in hosts
        ]
        return sum(served) / len(served)

    def check(self, since: float, until: float) -> None:
        """Check that callers of partitioned hosts are served like others."""
        cut = list(self.servers.partitions)
        others = [name for name in self.hosts if name not in cut]
        at_cut = self.measure_served(since, until, cut)
        elsewhere = self.measure_served(since, until, others)
        assert at_cut >= elsewhere * 2 / 3, (at_cut, elsewhere)
        assert elsewhere > 0.95, elsewhere

    def _call(self, host: EmulatedHost, plain: bool) -> None:
        name = host.mesh.table.own_host
        self._number += 1
        sent_at = self.hub.now
        prompt = Prompt()
        if not plain:
            prompt = create_prompt(400, 100, self._number)
        request = self.create_request(
            f'request-{self._number}', prompt=prompt, patience_s=3
        )
        forwarder = host.forwarder
        timeout = eventlet.Timeout(3)
        is_served = False
        try:
            is_served = self._read(
                name, forwarder.forward(forwarder.admit(request))
            )
        except eventlet.Timeout as passed:
            if passed is not timeout:
                raise
        finally:
            timeout.cancel()
        self.first_tries.append((sent_at, name, is_served))
        if is_served:
            self.took.setdefault(name, []).append(self.hub.now - sent_at)

    def _read(self, name: str, reply: ForwardReply | Refused) -> bool:
        if isinstance(reply, Refused):
            self.refused.append((name, reply))
            return False
        try:
            return reply.status == 200 and bool(list(reply.chunks))
        except IncompleteResponse:
            return False


@contextmanager
def open_partition_scene(
    hosts: int = 6, servers: int = 5
) -> Iterator[PartitionScene]:
    """Run hosts before servers on virtual time.

    :param hosts: number of hosts.
    :param servers: number of servers.
    """
    with use_virtual_time() as hub:
        scene = PartitionScene(hub)
        scene.servers = PartitionedServers(hub)
        for index in range(hosts):
            name = f'h{index}'
            client = PartitionedClient(name, scene.servers, scene.hosts)
            scene.add_host(name, client, hosts)
            scene.hosts[name].replace_instances(list_instances(servers))
            scene.hosts[name].start_tasks()
        eventlet.sleep(1)
        yield scene


def list_instances(count: int) -> dict[str, Instance]:
    """Create the list of the servers of a scene."""
    return {
        f'e{index}': Instance(
            f'e{index}', SERVICE, f'10.0.0.{index}:80', slots=128
        )
        for index in range(count)
    }
