"""Tests of the store client against a stand-in of the store."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager

import eventlet

from egretdale.coordination.ports import Listing, Written
from egretdale.errors import Ambiguous, Conflict, Missing, Unreachable
from standins.objects import ObjectStoreProgram
from standins.web import listen, serve
from standins import platform_path  # noqa: F401
from tests.functions import create_loader

from egretdale_platform.store import StoreClient  # isort: skip

load_tests = create_loader(__name__)


@contextmanager
def _open_store() -> Iterator[tuple[ObjectStoreProgram, StoreClient]]:
    program = ObjectStoreProgram()
    listener = listen('127.0.0.1:0')
    server = eventlet.spawn(serve, listener, program)
    yield program, StoreClient(f'127.0.0.1:{listener.getsockname()[1]}')
    server.kill()


def _list_names(listing: Listing | Unreachable) -> list[str]:
    assert isinstance(listing, Listing), listing
    return [entry.name for entry in listing.entries]


def test_lists_are_read_page_by_page() -> None:
    """All pages of the platform's kind are combined into one listing."""
    with _open_store() as (program, client):
        program.page_size = 2
        for index in range(5):
            program.put('servers', f's{index}', {})
        listing = client.list_objects('instances')
        assert _list_names(listing) == [f's{index}' for index in range(5)]
        assert listing.version == program.revision
        assert len(program.calls) == 3


def test_watches_return_the_whole_listing_with_its_changes() -> None:
    """The listing reflects created, changed and removed objects."""
    with _open_store() as (program, client):
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
    with _open_store() as (program, client):
        program.put('servers', 'a', {})
        first = client.list_objects('instances')
        program.put('others', 'x', {})
        again = client.watch('instances', first.version, 0.05)
        assert _list_names(again) == ['a']
        assert again.version == program.revision


def test_a_lost_history_leads_to_a_full_list() -> None:
    """A watch lists all objects again if the store dropped its history.

    Otherwise objects removed in the meantime would remain in the listing.
    """
    with _open_store() as (program, client):
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
    with _open_store() as (program, client):
        program.refusing = '503 Service Unavailable'
        assert isinstance(client.list_objects('instances'), Unreachable)
        assert isinstance(client.read('members', 'a'), Unreachable)
        refused = client.write('members', 'a', b'{}', 0)
        assert isinstance(refused, Unreachable)
        program.refusing = '500 Internal Server Error'
        failed = client.write('members', 'a', b'{}', 0)
        assert isinstance(failed, Ambiguous)


def test_writes_depend_on_the_expected_revision() -> None:
    """A write with an outdated revision returns the stored revision."""
    with _open_store() as (program, client):
        created = client.write('members', 'a', b'{"n": 1}', 0)
        assert isinstance(created, Written)
        lost = client.write('members', 'a', b'{"n": 2}', 0)
        assert lost == Conflict(created.version)
        replaced = client.write('members', 'a', b'{"n": 2}', created.version)
        assert replaced.version == program.revision
        assert client.read('members', 'a').body == b'{"n": 2}'
        assert client.read('members', 'b') == Missing('b')
