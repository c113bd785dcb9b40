"""Fixture of hosts that read the platform through a few readers."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field

import eventlet

from egretdale.coordination.configuration import (
    ROUTING_KIND,
    ConfigurationFollower,
)
from egretdale.coordination.copies import PeerAccess
from egretdale.coordination.ports import Listing
from egretdale.errors import Ambiguous, Cause, Invalid, Unreachable
from egretdale.state.members import MemberTable, list_owners
from egretdale.state.messages import MemberUpdate
from egretdale.state.queries import ChangeAsk, Changes
from egretdale.state.routing import RoutingTable
from standins.virtual.hub import VirtualHub, use_virtual_time
from standins.virtual.network import HostFaults
from standins.virtual.platform import PlatformState, VirtualPlatform
from tests.forwarding import create_table

_HOSTS = 20
_REQUEST_S = 0.001
_TIMEOUT_S = 0.3


class CountedPlatform:
    """Counts the calls of a host to the platform."""

    def __init__(self, platform: VirtualPlatform, calls: Counter[str]) -> None:
        self._platform = platform
        self._calls = calls

    def hear_era(self, era: int) -> None:
        self._platform.hear_era(era)

    def list_objects(self, kind: str) -> Listing | Unreachable:
        self._calls['list'] += 1
        return self._platform.list_objects(kind)

    def watch(
        self, kind: str, version: int, timeout_s: float
    ) -> Listing | Unreachable:
        self._calls['watch'] += 1
        return self._platform.watch(kind, version, timeout_s)


def decode_number(source: bytes) -> RoutingTable | Invalid:
    return create_table(version=int(source))


@dataclass
class ReaderFleet:
    """Hosts, the platform, and the calls between them.

    :ivar hosts: names of the hosts.
    :ivar silent: hosts that do not answer other hosts.
    :ivar calls: number of calls to the platform by kind.
    :ivar platforms: clients of the platform by host.
    :ivar eras: whether the daemons know the era of the platform.
    :ivar written_at: virtual time at which each version was written.
    """

    hub: VirtualHub
    hosts: tuple[str, ...]
    state: PlatformState = field(default_factory=PlatformState)
    followers: dict[str, ConfigurationFollower] = field(default_factory=dict)
    silent: set[str] = field(default_factory=set)
    calls: Counter[str] = field(default_factory=Counter)
    eras: bool = True
    written_at: dict[int, float] = field(default_factory=dict)
    platforms: dict[str, VirtualPlatform] = field(default_factory=dict)

    def follow(
        self, address: str, ask: ChangeAsk
    ) -> Changes | Unreachable | Ambiguous:
        """Deliver a request for changes, as the network does."""
        eventlet.sleep(_REQUEST_S)
        if address in self.silent:
            eventlet.sleep(ask.wait_ms / 1000 + _TIMEOUT_S)
            return Ambiguous(Cause.SILENT)
        if not self.eras:
            ask.era = 0
        changes = self.followers[address].relay.answer(ask)
        if not self.eras:
            changes.era = 0
        eventlet.sleep(_REQUEST_S)
        return changes

    def publish(self, version: int) -> None:
        """Write a configuration as the operator does."""
        known = self.state.store.read(ROUTING_KIND, 'main')
        expected = 0 if known is None else known.version
        self.state.store.write(ROUTING_KIND, 'main', str(version), expected)
        self.written_at[version] = self.hub.now

    def list_readers(self) -> list[str]:
        """List the hosts that watch the platform."""
        members = create_members(self.hosts[0], self.hosts)
        return list_owners(members, 'reader', 2)

    def find_oldest_version(self) -> int:
        """Return the oldest version that is in force on any host."""
        return min(follower.version for follower in self.followers.values())


def create_members(own: str, hosts: tuple[str, ...]) -> MemberTable:
    """Create the member table of a host."""
    members = MemberTable(own)
    for host in hosts:
        members.apply(MemberUpdate(host, 1, 0, 0, 'dc', '', host), 0)
    return members


@contextmanager
def open_fleet(count: int = _HOSTS) -> Iterator[ReaderFleet]:
    """Run hosts that follow the configuration on virtual time.

    :param count: number of hosts.
    """
    hosts = tuple(f'host-{index:02d}' for index in range(count))
    with use_virtual_time() as hub:
        fleet = ReaderFleet(hub, hosts)
        fleet.publish(1)
        tasks = []
        for host in hosts:
            platform = VirtualPlatform(host, fleet.state, HostFaults())
            fleet.platforms[host] = platform
            follower = ConfigurationFollower(
                CountedPlatform(platform, fleet.calls),
                PeerAccess(fleet, create_members(host, hosts)),
                decode=decode_number,
                clock=hub.read_now,
                source=random.Random(host),
            )
            fleet.followers[host] = follower
            tasks.append(eventlet.spawn(follower.run_watch))
        eventlet.sleep(3)
        yield fleet
        for task in tasks:
            task.kill()
