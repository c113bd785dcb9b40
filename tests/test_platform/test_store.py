"""Tests of the store client against a stand-in of the store."""

from __future__ import annotations

import eventlet

from egretdale.coordination.ports import (
    ABSENT,
    WATCH_MARGIN_S,
    Listing,
    Written,
)
from egretdale.errors import Ambiguous, Cause, Conflict, Missing, Unreachable
from egretdale.util.clocks import read_hub_clock
from tests.functions import create_loader
from tests.object_store import open_store

load_tests = create_loader(__name__)


def _list_names(listing: Listing | Unreachable) -> list[str]:
    assert isinstance(listing, Listing), listing
    return [entry.name for entry in listing.entries]


def test_lists_are_read_page_by_page() -> None:
    """All pages of the platform's kind are combined into one listing."""
    with open_store() as (program, client):
        program.page_size = 2
        for index in range(5):
            program.put('servers', f's{index}', {})
        listing = client.list_objects('instances')
        assert _list_names(listing) == [f's{index}' for index in range(5)]
        assert listing.version == program.revision
        assert len(program.calls) == 3


def test_watches_return_the_whole_listing_with_its_changes() -> None:
    """The listing reflects created, changed and removed objects."""
    with open_store() as (program, client):
        program.put('servers', 'a', {'n': 1})
        program.put('servers', 'b', {})
        first = client.list_objects('instances')
        program.put('servers', 'a', {'n': 2})
        program.remove('servers', 'b')
        program.put('servers', 'c', {})
        changed = client.watch('instances', first.version, 1)
        assert sorted(_list_names(changed)) == ['a', 'c']
        assert b'2' in changed.entries[0].body


def test_a_quiet_watch_returns_what_is_known() -> None:
    """Without a change, the known objects are returned after the timeout."""
    with open_store() as (program, client):
        program.put('servers', 'a', {})
        first = client.list_objects('instances')
        program.put('others', 'x', {})
        again = client.watch('instances', first.version, 0.05)
        assert _list_names(again) == ['a']
        assert again.version == program.revision


def test_a_listing_is_compared_without_disturbing_a_watch() -> None:
    """The watch still returns the change that made the listing an old one."""
    with open_store() as (program, client):
        program.put('servers', 'a', {})
        first = client.list_objects('instances')
        watch = eventlet.spawn(client.watch, 'instances', first.version, 1)
        assert client.is_newest('instances', first.position, 1) is True
        program.put('others', 'x', {})
        assert client.is_newest('instances', first.position, 1) is True
        program.put('servers', 'b', {})
        assert client.is_newest('instances', first.position, 1) is False
        assert _list_names(watch.wait()) == ['a', 'b']
        later = (first.era, program.revision + 1)
        assert client.is_newest('instances', later, 1) is False
        earlier_era = (first.era - 1, program.revision)
        assert client.is_newest('instances', earlier_era, 1) is False
        program.forget_history()
        assert client.is_newest('instances', first.position, 1) is False


def test_a_change_at_the_end_of_a_watch_is_not_skipped() -> None:
    """The stand-in reports changes that it covers by the revision it states.

    It skipped those made in the last pause of a watch.
    """
    with open_store() as (program, client):
        program.put('servers', 'a', {})
        first = client.list_objects('instances')
        put_later = eventlet.spawn_after(0.015, program.put, 'servers', 'b', {})
        listing = client.watch('instances', first.version, 0.02)
        put_later.wait()
        if listing.version < program.revision:
            listing = client.watch('instances', listing.version, 1)
        assert _list_names(listing) == ['a', 'b']


def test_a_lost_history_leads_to_a_full_list() -> None:
    """A watch lists all objects again if the store dropped its history.

    Otherwise objects removed in the meantime would remain in the listing.
    """
    with open_store() as (program, client):
        program.put('servers', 'a', {})
        first = client.list_objects('instances')
        program.remove('servers', 'a')
        program.put('servers', 'b', {})
        program.forget_history()
        listing = client.watch('instances', first.version, 1)
        assert _list_names(listing) == ['b']


def test_an_unavailable_store_is_told_apart_from_an_empty_one() -> None:
    """Refused calls are errors, not empty results.

    A refused write certainly had no effect; after other errors that is
    unknown.
    """
    with open_store() as (program, client):
        program.refusing = '503 Service Unavailable'
        assert isinstance(client.list_objects('instances'), Unreachable)
        assert isinstance(client.read('members', 'a'), Unreachable)
        refused = client.write('members', 'a', b'{}', ABSENT)
        assert isinstance(refused, Unreachable)
        program.refusing = '500 Internal Server Error'
        failed = client.write('members', 'a', b'{}', ABSENT)
        assert isinstance(failed, Ambiguous)


def test_writes_depend_on_the_expected_revision() -> None:
    """A write with an outdated revision returns the stored revision."""
    with open_store() as (program, client):
        created = client.write('members', 'a', b'{"n": 1}', ABSENT)
        assert isinstance(created, Written)
        lost = client.write('members', 'a', b'{"n": 2}', ABSENT)
        assert lost == Conflict(created.version)
        replaced = client.write('members', 'a', b'{"n": 2}', created.position)
        assert replaced.version == program.revision
        assert client.read('members', 'a').body == b'{"n": 2}'
        assert client.read('members', 'b') == Missing('b')


def test_a_restored_store_is_listed_again_whatever_its_revision() -> None:
    """Revisions go back and are given out again for other changes."""
    for further_changes in (0, 9):
        with open_store() as (program, client):
            program.put('servers', 'a', {})
            saved = program.copy()
            program.put('servers', 'b', {})
            program.put('servers', 'c', {})
            before = client.list_objects('instances')
            program.restore(saved)
            program.put('servers', 'd', {})
            for number in range(further_changes):
                program.put('servers', 'e', {'n': number})
            after = client.watch('instances', before.version, 0.05)
            names = ['a', 'd', 'e'] if further_changes else ['a', 'd']
            assert _list_names(after) == names
            assert after.position > before.position


def test_an_answer_of_an_earlier_era_changes_nothing() -> None:
    """It was on its way while the store was restored."""
    with open_store() as (program, client):
        program.put('servers', 'a', {})
        program.restore(program.copy())
        known = client.list_objects('instances')
        program.era = '1'
        program.put('servers', 'b', {})
        assert isinstance(client.list_objects('instances'), Unreachable)
        assert isinstance(client.read('instances', 'a'), Unreachable)
        written = client.write('members', 'a', b'{}', ABSENT)
        assert isinstance(written, Ambiguous)
        program.era = '2'
        after = client.watch('instances', known.version, 0.05)
        assert _list_names(after) == ['a', 'b']
        assert after.era == 2


def test_a_write_that_expects_a_revision_of_an_earlier_era_is_not_sent() -> (
    None
):
    """The store has given out the revision again, for another change."""
    with open_store() as (program, client):
        program.put('members', 'a', {'by': 'client'})
        saved = program.copy()
        program.put('members', 'a', {'by': 'client', 'n': 2})
        known = client.read('members', 'a')
        program.restore(saved)
        program.put('members', 'a', {'by': 'another'})
        assert client.list_objects('members').version == known.version
        written = client.write('members', 'a', b'{}', known.position)
        assert isinstance(written, Conflict)
        assert program.read_spec('members', 'a') == {'by': 'another'}
        current = client.read('members', 'a')
        written = client.write('members', 'a', b'{}', current.position)
        assert isinstance(written, Written)


def test_a_write_across_a_restoration_counts_as_unknown() -> None:
    """It may have replaced what another writer has written since."""
    with open_store() as (program, client):
        program.put('members', 'a', {})
        known = client.read('members', 'a')
        program.restore(program.copy())
        written = client.write('members', 'a', b'{}', known.position)
        assert written == Ambiguous(Cause.RESTORED)


def test_an_object_is_created_in_any_era() -> None:
    """Nothing that was known before is relied upon."""
    with open_store() as (program, client):
        client.list_objects('members')
        program.restore(program.copy())
        written = client.write('members', 'a', b'{}', ABSENT)
        assert isinstance(written, Written)
        assert written.era == client.era == 2


def test_an_answer_that_names_no_era_belongs_to_the_known_one() -> None:
    """The header is missing or no number."""
    with open_store() as (program, client):
        program.put('servers', 'a', {})
        known = client.list_objects('instances')
        for era in ('', 'x', '-1', '1.5', '²'.encode().decode('latin-1')):
            program.era = era
            program.put('servers', 'b', {'era': era})
            after = client.watch('instances', known.version, 0.05)
            assert after.era == known.era == 1, era
            assert _list_names(after) == ['a', 'b']


def test_a_watch_without_an_answer_ends_soon() -> None:
    """Its connection has gone silent."""
    with open_store() as (program, client):
        known = client.list_objects('instances')
        program.is_hanging = True
        began_at = read_hub_clock()
        watched = client.watch('instances', known.version, 0.1)
        assert isinstance(watched, Unreachable)
        assert read_hub_clock() - began_at < 0.1 + 2 * WATCH_MARGIN_S
