"""Fixture of hosts that follow the list of backend servers."""

from __future__ import annotations

import random
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field

import eventlet

from egretdale.coordination.copies import PeerAccess
from egretdale.coordination.instances import (
    INSTANCE_KIND,
    LAPSE_S,
    InstanceFollower,
)
from egretdale.errors import Ambiguous, Cause, Invalid, Unreachable
from egretdale.state.instances import Instance, InstanceTable
from egretdale.state.members import list_owners
from egretdale.state.messages import Batch
from egretdale.state.queries import ChangeAsk, Changes, DocumentCopy
from standins.virtual.hub import VirtualHub, use_virtual_time
from standins.virtual.network import HostFaults
from standins.virtual.platform import PlatformState, VirtualPlatform
from tests.readers import create_members

_REQUEST_S = 0.001
_TIMEOUT_S = 0.3
_PROBE_S = 0.5
#: Service of all backend servers.
SERVICE = 'claims'


def decode_state(name: str, source: bytes) -> Instance | Invalid:
    """Decode an entry, which is a state and a start time.

    :param name: name of the backend server.
    :param source: for example ``ready@5``.
    """
    state, _, born = source.decode().partition('@')
    return Instance(
        name,
        SERVICE,
        '10.0.0.1:80',
        leaving=state == 'leaving',
        born_ms=int(born or '0'),
    )


@dataclass
class ListFleet:
    """Hosts that follow the list, and tell each other when they were answered.

    :ivar silent: hosts that do not answer other hosts.
    """

    hub: VirtualHub
    hosts: tuple[str, ...]
    state: PlatformState = field(default_factory=PlatformState)
    followers: dict[str, InstanceFollower] = field(default_factory=dict)
    silent: set[str] = field(default_factory=set)

    def follow(
        self, address: str, ask: ChangeAsk
    ) -> Changes | Unreachable | Ambiguous:
        """Deliver a request for changes, as the network does."""
        eventlet.sleep(_REQUEST_S)
        if address in self.silent:
            eventlet.sleep(ask.wait_ms / 1000 + _TIMEOUT_S)
            return Ambiguous(Cause.SILENT)
        changes = self.followers[address].relay.answer(ask)
        eventlet.sleep(_REQUEST_S)
        return changes

    def fetch(self, address: str, service: str) -> DocumentCopy | Unreachable:
        """Deliver a request for a copy, as the network does."""
        eventlet.sleep(_REQUEST_S)
        if address in self.silent:
            return Unreachable(Cause.SILENT)
        return self.followers[address].copy()

    def list_readers(self) -> list[str]:
        """List the hosts that watch the platform."""
        if len(self.hosts) < 12:
            return list(self.hosts)
        members = create_members(self.hosts[0], self.hosts)
        return list_owners(members, 'reader', 2)

    def list_ready(self, host: str) -> set[str]:
        """List the backend servers that a host may send new work to."""
        table = self.followers[host].table
        usable = (*table.list_ready(SERVICE), *table.list_last_resorts(SERVICE))
        return {instance.name for instance in usable}

    def run_probes(self, host: str, source: random.Random) -> None:
        """Exchange batches with two other hosts twice a second."""
        own = self.followers[host]
        while True:
            eventlet.sleep(_PROBE_S)
            for peer in source.sample(self.hosts, 2):
                if peer != host and not {peer, host} & self.silent:
                    self._exchange(own, host, peer)

    def _exchange(self, own: InstanceFollower, host: str, peer: str) -> None:
        sent, answer = Batch(host, 1), Batch(peer, 1)
        own.fill(peer, sent)
        eventlet.sleep(_REQUEST_S)
        self.followers[peer].receive(sent)
        self.followers[peer].fill(host, answer)
        eventlet.sleep(_REQUEST_S)
        own.receive(answer)


@contextmanager
def open_list_fleet(count: int, servers: int) -> Iterator[ListFleet]:
    """Run hosts that follow the list on virtual time.

    :param count: number of hosts.
    :param servers: number of backend servers, ``e0`` and so on.
    """
    hosts = tuple(f'host-{index:02d}' for index in range(count))
    with use_virtual_time() as hub:
        fleet = ListFleet(hub, hosts)
        for index in range(servers):
            fleet.state.store.put(INSTANCE_KIND, f'e{index}', 'ready@1')
        tasks = []
        for host in hosts:
            follower = InstanceFollower(
                VirtualPlatform(host, fleet.state, HostFaults()),
                PeerAccess(fleet, create_members(host, hosts)),
                InstanceTable(hub.read_now, LAPSE_S),
                decode=decode_state,
                clock=hub.read_now,
                source=random.Random(host),
                on_gone=lambda instance: None,
            )
            fleet.followers[host] = follower
            tasks.append(eventlet.spawn(follower.run_watch))
            tasks.append(eventlet.spawn(follower.run_expiry))
        for host in hosts:
            source = random.Random(f'probes of {host}')
            tasks.append(eventlet.spawn(fleet.run_probes, host, source))
        eventlet.sleep(3)
        yield fleet
        for task in tasks:
            task.kill()
