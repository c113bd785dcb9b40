"""Tests of hosts that follow a platform restored from an older copy."""

from __future__ import annotations

import random

import eventlet

from egretdale.coordination.listing_relay import ListingRelay
from egretdale.coordination.ports import Listing, StoredObject
from egretdale.coordination.readers import apply_changes
from egretdale.state.queries import ChangeAsk
from standins.models.store import ObjectStore, StoreCopy
from tests.forwarding import ManualClock
from tests.functions import create_loader
from tests.readers import ReaderFleet, open_fleet

load_tests = create_loader(__name__)


def _restore(source: random.Random, store: ObjectStore) -> StoreCopy:
    """Change a store at random, and return a copy made on the way."""
    saved = store.copy()
    for step in range(source.randrange(1, 8)):
        name = source.choice('abcdef')
        if store.delete('kind', name, 0) and source.random() < 0.5:
            continue
        store.put('kind', name, f'{step}{source.random()}')
        if source.random() < 0.3:
            saved = store.copy()
    return saved


def _read(store: ObjectStore) -> Listing:
    snapshot = store.snapshot('kind')
    entries = tuple(
        StoredObject(entry.name, entry.version, entry.text.encode())
        for entry in snapshot.entries
    )
    return Listing(snapshot.version, entries, snapshot.era)


def test_changes_bring_any_listing_up_to_date_after_a_restoration() -> None:
    """Also one of the era before that was newer than the relay's."""
    incomplete = 0
    for seed in range(300):
        source = random.Random(seed)
        store = ObjectStore(first_version=9)
        store.put('kind', 'a', '')
        relay = ListingRelay('kind', ManualClock())
        listings = []
        for _ in range(3):
            for _ in range(source.randrange(1, 4)):
                saved = _restore(source, store)
                listings.append(_read(store))
                if source.random() < 0.7:
                    relay.update(listings[-1], 100)
            store.restore(saved)
            listings.append(_read(store))
        relay.update(listings[-1], 100)
        for before in listings:
            changes = relay.answer(
                ChangeAsk('kind', before.version, 0, before.era)
            )
            after = apply_changes(before, changes)
            if after is None:
                incomplete += 1
                continue
            assert after.position == listings[-1].position, seed
            assert set(after.entries) == set(listings[-1].entries), seed
    # The relay never knew of an object that has come and gone.
    assert incomplete < 300, incomplete


def test_a_restoration_does_not_make_every_entry_travel_again() -> None:
    """Only what the copy lacks or holds otherwise is sent."""
    relay = ListingRelay('kind', ManualClock())
    objects = {name: StoredObject(name, 3, b'') for name in 'abcd'}
    for version, names in ((8, 'abc'), (6, 'abd')):
        entries = tuple(objects[name] for name in names)
        relay.update(Listing(version, entries, 9 - version // 8), 100)
    changes = relay.answer(ChangeAsk('kind', 8, 0, 8))
    assert [entry.name for entry in changes.entries] == ['d']
    assert changes.gone == ['c']


def _check_restoration(fleet: ReaderFleet) -> None:
    saved = fleet.state.store.copy()
    for version in (2, 3, 4):
        fleet.publish(version)
        eventlet.sleep(0.2)
    fleet.state.store.restore(saved)
    eventlet.sleep(0.2)
    restored_at = fleet.hub.now
    eventlet.sleep(3)
    for follower in fleet.followers.values():
        age_s = follower.confirmation.measure_age()
        assert age_s > fleet.hub.now - restored_at, age_s
    fleet.publish(5)
    eventlet.sleep(0.2)
    assert fleet.find_oldest_version() == 5


def test_followers_take_the_lower_version_of_a_restored_store() -> None:
    """A configuration that is older than the store's is not confirmed."""
    for count in (6, 20, 81, 195):
        with open_fleet(count) as fleet:
            _check_restoration(fleet)


def _add_fault(fleet: ReaderFleet, source: random.Random) -> None:
    is_shared = len(fleet.hosts) >= 12
    watching = fleet.list_readers() if is_shared else fleet.hosts
    match source.randrange(3):
        case 0:
            fleet.silent.add(watching[0])
        case 1:
            fleet.state.hung.add(watching[0])
        case 2:
            fleet.state.slow_s = 0.1


def test_no_single_fault_hides_a_change_after_a_restoration() -> None:
    """A reader stands still, or its watch hangs, or the platform is slow."""
    for count, seed in ((6, 1), (20, 2), (81, 3)):
        source = random.Random(seed)
        with open_fleet(count) as fleet:
            for version in range(2, 30, 2):
                saved = fleet.state.store.copy()
                fleet.publish(version)
                eventlet.sleep(source.uniform(0, 2))
                fleet.state.store.restore(saved)
                eventlet.sleep(source.uniform(0, 2))
                _add_fault(fleet, source)
                fleet.publish(version + 1)
                eventlet.sleep(2)
                assert fleet.find_oldest_version() == version + 1, count
                fleet.silent.clear()
                fleet.state.hung.clear()
                fleet.state.slow_s = 0.002


def test_a_reader_without_eras_is_not_asked_after_a_restoration() -> None:
    """It runs an older build, whose versions cannot be compared."""
    with open_fleet() as fleet:
        fleet.state.store.restore(fleet.state.store.copy())
        eventlet.sleep(1)
        fleet.eras = False
        saved = fleet.state.store.copy()
        fleet.publish(2)
        eventlet.sleep(3)
        assert fleet.find_oldest_version() == 2
        fleet.state.store.restore(saved)
        fleet.publish(3)
        eventlet.sleep(2)
        assert fleet.find_oldest_version() == 3
