"""Tests of hosts that read the platform through a few readers."""

from __future__ import annotations

import random

import eventlet

from egretdale.coordination.listing_relay import ListingRelay
from egretdale.coordination.ports import Listing, StoredObject
from egretdale.coordination.readers import apply_changes
from egretdale.state.members import MemberTable, list_owners
from egretdale.state.messages import MemberUpdate
from egretdale.state.queries import ChangeAsk, ObjectCopy
from tests.forwarding import ManualClock
from tests.functions import create_loader
from tests.readers import ReaderFleet, open_fleet

load_tests = create_loader(__name__)

#: Time in seconds within which a change must reach every host.
_APPLY_S = 2.0


def test_only_readers_call_the_platform() -> None:
    """The number of calls does not depend on the number of hosts."""
    with open_fleet() as fleet:
        fleet.calls.clear()
        eventlet.sleep(20)
        # Two readers, with a watch of half a second each.
        assert fleet.calls.total() <= 2 * 20 / 0.5 + 2


def test_a_change_is_in_force_at_once_everywhere() -> None:
    """Readers pass a change on at once, and the age stays small."""
    with open_fleet() as fleet:
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
    with open_fleet() as fleet:
        fleet.silent.update(fleet.list_readers())
        fleet.publish(2)
        eventlet.sleep(_APPLY_S)
        assert fleet.find_oldest_version() == 2


def test_a_reader_without_the_platform_does_not_hide_a_change() -> None:
    """Hosts notice that its listing is stale."""
    with open_fleet() as fleet:
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
    with open_fleet() as fleet:
        for version in range(2, 60):
            fleet.publish(version)
            fleet.silent = set(
                source.sample(fleet.hosts, source.choice((0, 9)))
            )
            fleet.state.cut = set(
                source.sample(fleet.hosts, source.choice((0, 9)))
            )
            fleet.state.slow_s = source.choice((0.002, 0.3))
            for _ in range(source.randrange(30)):
                eventlet.sleep(0.1)
                _check_ages(fleet)


def _check_ages(fleet: ReaderFleet) -> None:
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


def test_an_object_that_a_reader_never_knew_of_does_not_stay() -> None:
    """It came and went while the reader could not read the platform."""
    relay = ListingRelay('kind', ManualClock())
    relay.update(_create_listing(5, a=3), 100)
    before = _create_listing(8, a=3, b=8)
    relay.update(_create_listing(9, a=3), 100)
    assert _exchange(relay, before) is None


def test_a_watch_that_hangs_does_not_hide_a_change_for_long() -> None:
    """Its connection went silent right before the change."""
    for count in (6, 20, 81):
        with open_fleet(count) as fleet:
            for version in range(2, 22):
                eventlet.sleep(0.17 * version)
                is_shared = count >= 12
                watching = fleet.list_readers() if is_shared else fleet.hosts
                fleet.state.hung.add(watching[0])
                fleet.publish(version)
                eventlet.sleep(_APPLY_S)
                assert fleet.find_oldest_version() == version, count
                fleet.state.hung.clear()
