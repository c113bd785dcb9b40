"""Tests of hosts that read the platform through a few readers."""

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
from egretdale.coordination.listing_relay import ListingRelay
from egretdale.coordination.ports import Listing, StoredObject
from egretdale.coordination.readers import apply_changes
from egretdale.errors import Ambiguous, Cause, Invalid, Unreachable
from egretdale.state.members import MemberTable, list_owners
from egretdale.state.messages import MemberUpdate
from egretdale.state.queries import ChangeAsk, Changes, ObjectCopy
from egretdale.state.routing import RoutingTable
from standins.virtual.hub import VirtualHub, use_virtual_time
from standins.virtual.network import HostFaults
from standins.virtual.platform import PlatformState, VirtualPlatform
from tests.forwarding import ManualClock, create_table
from tests.functions import create_loader

load_tests = create_loader(__name__)

_HOSTS = tuple(f'host-{index:02d}' for index in range(20))
_REQUEST_S = 0.001
_TIMEOUT_S = 0.3
#: Time in seconds within which a change must reach every host.
_APPLY_S = 2.0


class _CountedPlatform:
    """Counts the calls of a host to the platform."""

    def __init__(self, platform: VirtualPlatform, calls: Counter[str]) -> None:
        self._platform = platform
        self._calls = calls

    def list_objects(self, kind: str) -> Listing | Unreachable:
        self._calls['list'] += 1
        return self._platform.list_objects(kind)

    def watch(
        self, kind: str, version: int, timeout_s: float
    ) -> Listing | Unreachable:
        self._calls['watch'] += 1
        return self._platform.watch(kind, version, timeout_s)


def _decode(source: bytes) -> RoutingTable | Invalid:
    return create_table(version=int(source))


@dataclass
class _Fleet:
    """Hosts, the platform, and the calls between them.

    :ivar silent: hosts that do not answer other hosts.
    :ivar calls: number of calls to the platform by kind.
    :ivar written_at: virtual time at which each version was written.
    """

    hub: VirtualHub
    state: PlatformState = field(default_factory=PlatformState)
    followers: dict[str, ConfigurationFollower] = field(default_factory=dict)
    silent: set[str] = field(default_factory=set)
    calls: Counter[str] = field(default_factory=Counter)
    written_at: dict[int, float] = field(default_factory=dict)

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

    def publish(self, version: int) -> None:
        """Write a configuration as the operator does."""
        known = self.state.store.read(ROUTING_KIND, 'main')
        expected = 0 if known is None else known.version
        self.state.store.write(ROUTING_KIND, 'main', str(version), expected)
        self.written_at[version] = self.hub.now

    def list_readers(self) -> list[str]:
        """List the hosts that watch the platform."""
        members = _create_members(_HOSTS[0])
        return list_owners(members, 'reader', 2)

    def find_oldest_version(self) -> int:
        """Return the oldest version that is in force on any host."""
        return min(follower.version for follower in self.followers.values())


def _create_members(own: str) -> MemberTable:
    members = MemberTable(own)
    for host in _HOSTS:
        members.apply(MemberUpdate(host, 1, 0, 0, 'dc', '', host), 0)
    return members


@contextmanager
def _open_fleet() -> Iterator[_Fleet]:
    with use_virtual_time() as hub:
        fleet = _Fleet(hub)
        fleet.publish(1)
        tasks = []
        for host in _HOSTS:
            platform = VirtualPlatform(host, fleet.state, HostFaults())
            follower = ConfigurationFollower(
                _CountedPlatform(platform, fleet.calls),
                PeerAccess(fleet, _create_members(host)),
                decode=_decode,
                clock=hub.read_now,
                source=random.Random(host),
            )
            fleet.followers[host] = follower
            tasks.append(eventlet.spawn(follower.run_watch))
        eventlet.sleep(3)
        yield fleet
        for task in tasks:
            task.kill()


def test_only_readers_call_the_platform() -> None:
    """The number of calls does not depend on the number of hosts."""
    with _open_fleet() as fleet:
        fleet.calls.clear()
        eventlet.sleep(20)
        # Two readers, with a watch of half a second each.
        assert fleet.calls.total() <= 2 * 20 / 0.5 + 2


def test_a_change_is_in_force_at_once_everywhere() -> None:
    """Readers pass a change on at once, and the age stays small."""
    with _open_fleet() as fleet:
        fleet.publish(2)
        eventlet.sleep(0.2)
        assert fleet.find_oldest_version() == 2
        eventlet.sleep(3)
        ages = [
            follower.confirmation.measure_age()
            for follower in fleet.followers.values()
        ]
        assert max(ages) < 2.5


def test_an_unresponsive_reader_does_not_hide_a_change() -> None:
    """Hosts that ask it read the platform themselves in time."""
    with _open_fleet() as fleet:
        fleet.silent.update(fleet.list_readers())
        fleet.publish(2)
        eventlet.sleep(_APPLY_S)
        assert fleet.find_oldest_version() == 2


def test_a_reader_without_the_platform_does_not_hide_a_change() -> None:
    """Hosts notice that its listing is stale."""
    with _open_fleet() as fleet:
        readers = fleet.list_readers()
        fleet.state.cut.update(readers)
        fleet.publish(2)
        eventlet.sleep(_APPLY_S)
        versions = {
            follower.version
            for host, follower in fleet.followers.items()
            if host not in readers
        }
        assert versions == {2}


def test_the_age_is_never_too_small() -> None:
    """A host that lacks a version has an age from before its writing."""
    source = random.Random(5)
    with _open_fleet() as fleet:
        for version in range(2, 60):
            fleet.publish(version)
            fleet.silent = set(source.sample(_HOSTS, source.choice((0, 9))))
            fleet.state.cut = set(source.sample(_HOSTS, source.choice((0, 9))))
            fleet.state.slow_s = source.choice((0.002, 0.3))
            for _ in range(source.randrange(30)):
                eventlet.sleep(0.1)
                _check_ages(fleet)


def _check_ages(fleet: _Fleet) -> None:
    for follower in fleet.followers.values():
        next_written_at = fleet.written_at.get(follower.version + 1)
        if next_written_at is not None:
            age_s = follower.confirmation.measure_age()
            assert age_s >= fleet.hub.now - next_written_at


def _create_listing(version: int, **versions: int) -> Listing:
    return Listing(
        version,
        tuple(
            StoredObject(name, changed, str(changed).encode())
            for name, changed in versions.items()
        ),
    )


def _exchange(relay: ListingRelay, before: Listing) -> Listing:
    changes = relay.answer(ChangeAsk('kind', before.version, 0))
    return apply_changes(before, changes)


def test_changes_bring_any_listing_up_to_date() -> None:
    """They do so from each version that a relay has seen."""
    relay = ListingRelay('kind', ManualClock())
    listings = (
        _create_listing(5, a=3, b=5),
        _create_listing(7, a=3, b=7, c=6),
        _create_listing(9, b=7, c=6),
        _create_listing(12, a=11, b=7),
        _create_listing(14, a=11, b=7),
    )
    for listing in listings:
        relay.update(listing, 100)
    for before in (Listing(2, ()), *listings):
        after = _exchange(relay, before)
        assert after.version == 14
        assert set(after.entries) == set(listings[-1].entries)


def test_an_older_relay_changes_nothing() -> None:
    """A listing is never replaced by an older one."""
    relay = ListingRelay('kind', ManualClock())
    relay.update(_create_listing(5, a=3), 100)
    newer = _create_listing(8, a=8)
    assert _exchange(relay, newer) == newer


def test_large_changes_are_read_from_the_platform() -> None:
    """A relay announces large changes and does not send them."""
    relay = ListingRelay('kind', ManualClock())
    relay.update(_create_listing(5, a=3), 100)
    relay.update(Listing(6, (StoredObject('a', 6, b'x' * 40000),)), 100)
    changes = relay.answer(ChangeAsk('kind', 5, 0))
    assert changes.large
    assert not changes.entries


def test_hosts_with_little_capacity_have_no_duties() -> None:
    """They take duties over when the large hosts are gone."""
    members = MemberTable('small-0')
    for index in range(12):
        size = 'large' if index < 2 else 'small'
        capacity = 215 if index < 2 else 52
        name = f'{size}-{index}'
        update = MemberUpdate(name, 1, 0, 0, 'dc', '', name, capacity=capacity)
        members.apply(update, 0)
    assert sorted(list_owners(members, 'reader', 5)) == ['large-0', 'large-1']
    for name in ('large-0', 'large-1'):
        gone = MemberUpdate(name, 1, 1, 4, 'dc', '', name, capacity=215)
        members.apply(gone, 0)
    assert len(list_owners(members, 'reader', 5)) == 5


def test_a_relay_sends_objects_unchanged() -> None:
    """A relay sends what the platform holds."""
    relay = ListingRelay('kind', ManualClock())
    relay.update(_create_listing(5, a=3), 100)
    changes = relay.answer(ChangeAsk('kind', 1, 0))
    assert changes.entries == [ObjectCopy('a', 3, '3')]
