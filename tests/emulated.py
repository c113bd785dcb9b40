"""Fixtures of emulated hosts that are lost and start again."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

import eventlet

from egretdale.coordination.exchanges import ForwardClient, ForwardRequest
from egretdale.state.members import MemberStatus
from egretdale.state.messages import MemberUpdate
from standins.emulation.hosts import HOST_NAME, EmulatedHost
from standins.emulation.loads import (
    LengthDistribution,
    PromptClass,
    SharedParts,
    Workload,
)
from standins.emulation.policies import PROMPT_POLICIES
from standins.virtual.hub import VirtualHub
from tests.forwarding import create_request

_CLASS = 'question'
_LENGTH = LengthDistribution(1000, 0.1, 2000)


@dataclass
class HostGroup:
    """Hosts on virtual time.

    :ivar hosts: hosts by name.
    """

    hub: VirtualHub
    hosts: dict[str, EmulatedHost] = field(default_factory=dict)
    _count: int = 0

    def add_host(
        self,
        name: str,
        client: ForwardClient,
        count: int,
        policy: str = 'product',
    ) -> None:
        """Start a host, or start it again without what it knew.

        :param name: its name.
        :param client: its client of the backend servers.
        :param count: number of hosts.
        :param policy: how it selects servers.
        """
        self._count = count
        self.hosts[name] = EmulatedHost(
            name,
            _create_workload(count),
            PROMPT_POLICIES[policy],
            client,
            self.hosts,
            self.hub.read_now,
        )

    def restart_host(self, name: str, client: ForwardClient) -> None:
        """Start a host again, also a lost one; the others learn so at once."""
        known = self.hosts.get(name) or next(iter(self.hosts.values()))
        instances = known.list_instances()
        self.add_host(name, client, self._count)
        self.hosts[name].replace_instances(instances)
        self.announce(name)

    def announce(self, name: str) -> None:
        """Let a host join; it sends a batch to each host that it knows."""
        self._tell(name, MemberStatus.ALIVE)
        for host in self.hosts:
            if host != name:
                self.hosts[name].mesh.probe(host)

    def lose_host(self, name: str) -> None:
        """Lose a host; the others learn so at once."""
        self.hosts.pop(name)
        self._tell(name, MemberStatus.GONE)

    def create_request(
        self, request_id: str, **changes: object
    ) -> ForwardRequest:
        """Create a request that arrives now."""
        return create_request(
            f'/{_CLASS}/',
            request_id=request_id,
            host_name=HOST_NAME,
            arrived_at=self.hub.now,
            **changes,
        )

    def _tell(self, name: str, status: MemberStatus) -> None:
        incarnation = round(self.hub.now * 1000)
        update = MemberUpdate(
            name, incarnation, 0, int(status), 'dc', name, name
        )
        for host in self.hosts.values():
            host.mesh.table.apply(update, self.hub.now)


class LoadedHosts(HostGroup):
    """Hosts to which requests are sent."""

    def send(
        self, rate: float, for_s: float, *, plain: bool = False, seed: int = 1
    ) -> None:
        """Send requests to random hosts.

        :param rate: requests per second.
        :param for_s: seconds in which they are sent.
        :param plain: whether they have no prompt, as for a plain service.
        :param seed: seed of the hosts and the times.
        """
        source = random.Random(seed)
        end = self.hub.now + for_s
        while self.hub.now < end:
            host = source.choice(list(self.hosts.values()))
            eventlet.spawn_n(self._call, host, plain)
            eventlet.sleep(source.expovariate(rate))

    def _call(self, host: EmulatedHost, plain: bool) -> None:
        """Send one request, as the tests define."""
        raise NotImplementedError


def _create_workload(hosts: int) -> Workload:
    request_class = PromptClass(
        name=_CLASS,
        rate=1,
        target_s=0.4,
        pause_s=0,
        patience_s=3,
        worth=1,
        late_worth=0.5,
        priority=1,
        own=_LENGTH,
        output=_LENGTH,
        common=None,
        shared=SharedParts(_LENGTH, 1),
        attempts=2,
    )
    return Workload('emulated', (request_class,), 0, hosts, 1)
