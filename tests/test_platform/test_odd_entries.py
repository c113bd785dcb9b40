"""Tests of lists in which another program has written an entry."""

from __future__ import annotations

import json

import eventlet
from hypothesis import given, settings, strategies
from urllib3 import PoolManager

from egretdale.coordination.ports import Listing
from egretdale.coordination.listing_relay import ListingRelay
from egretdale.coordination.readers import apply_changes
from egretdale.errors import Invalid, Missing
from egretdale.protocol.wire import (
    create_protocol,
    decode_structure,
    encode_structure,
)
from egretdale.state.instances import Instance
from egretdale.state.queries import ChangeAsk
from egretdale.transport.connection_pool import ConnectionPool
from egretdale.util.addresses import split_address
from egretdale.util.clocks import read_boot_clock
from standins import platform_path  # noqa: F401
from standins.objects import ObjectStoreProgram, RawSpec
from soak.daemons import put_configuration, put_server
from soak.servers import SealedServer
from soak.world import serve_program
from tests.daemons import open_daemons, send_request
from tests.functions import create_loader
from tests.object_store import open_store
from tests.odd_entries import JSON_VALUES, ODD_ENTRIES, create_entry
from thrift.transport.TTransport import TMemoryBuffer

from egretdale_platform.configuration import (  # isort: skip
    decode_configuration,
    decode_engine,
)
from egretdale_platform.pages import StorePage, decode_page  # isort: skip

load_tests = create_loader(__name__)

_SETTLE_S = 2.0
_KINDS = ('servers', 'config', 'software-versions', 'others')


def test_odd_entries_name_no_backend_server() -> None:
    """Each entry is left out by itself; the decoder never raises."""
    assert isinstance(decode_engine('i-1', create_entry()), Instance)
    for label, text in ODD_ENTRIES.items():
        assert isinstance(decode_engine('i-1', text), Invalid), label
    for name in ('', 'i 1', 'i-1\r\nX: y', 'i-\u0661', 'i' * 300):
        assert isinstance(decode_engine(name, create_entry()), Invalid), name


def test_an_odd_entry_leaves_the_rest_of_its_page() -> None:
    """Lists and watches return the other objects, for every kind.

    A page that was decoded as a whole failed with one of its objects, and deep
    nesting ended the process.
    """
    for label, text in ODD_ENTRIES.items():
        for kind in _KINDS:
            _check_page(kind, label, text)


def _check_page(kind: str, label: str, text: bytes) -> None:
    with open_store() as (program, client):
        program.put(kind, 'a', {'n': 1})
        program.put(kind, 'odd', RawSpec(text))
        program.put(kind, 'z', {'n': 1})
        first = client.list_objects(kind)
        assert isinstance(first, Listing), (label, kind, first)
        bodies = {entry.name: entry.body for entry in first.entries}
        assert set(bodies) == {'a', 'odd', 'z'}, (label, kind)
        program.put(kind, 'odd', RawSpec(text + b' '))
        program.put(kind, 'z', {'n': 2})
        program.remove(kind, 'a')
        second = client.watch(kind, first.version, 1)
        assert isinstance(second, Listing), (label, kind, second)
        names = {entry.name for entry in second.entries}
        assert names == {'odd', 'z'}, (label, kind)
        assert second.version == program.revision


def test_an_object_whose_name_is_odd_is_read_and_paged() -> None:
    """Names are escaped in the calls to the store."""
    names = ('a&b=c', 'a#b', 'a?b', 'a b', 'a/b', 'ä', 'é"\\', '%41', 'zz')
    with open_store() as (program, client):
        program.page_size = 2
        for name in names:
            program.put('servers', name, {})
        listing = client.list_objects('instances')
        assert {entry.name for entry in listing.entries} == set(names)
        for name in names:
            assert not isinstance(client.read('instances', name), Missing)


@settings(max_examples=300, derandomize=True, database=None, deadline=None)
@given(
    strategies.lists(JSON_VALUES, min_size=1, max_size=4),
    strategies.booleans(),
)
def test_pages_of_any_content_keep_their_objects(
    specs: list[object], is_watch: bool
) -> None:
    """Whatever JSON other programs write, each object stays one object."""
    stored = [
        {'metadata': {'name': f'n{number}', 'revision': number}, 'spec': spec}
        for number, spec in enumerate(specs)
    ]
    body: dict[str, object] = {'as_of': 7, 'items': stored, 'has_more': True}
    if is_watch:
        events = [{'object': entry, 'is_gone': True} for entry in stored]
        body = {'events': events, 'as_of': 7}
    page = decode_page(json.dumps(body).encode())
    assert isinstance(page, StorePage)
    assert page.as_of == 7
    if is_watch:
        assert all(event.is_gone for event in page.events)
        objects = [event.object for event in page.events]
    else:
        assert page.has_more
        objects = list(page.objects)
    names = [entry.metadata.name for entry in objects]
    assert names == [f'n{number}' for number in range(len(specs))]
    for entry in objects:
        assert isinstance(decode_engine('i-1', bytes(entry.spec)), Invalid)
        decode_configuration(bytes(entry.spec))


@settings(max_examples=300, derandomize=True, database=None, deadline=None)
@given(strategies.binary(max_size=60))
def test_any_bytes_are_a_page_or_are_refused(source: bytes) -> None:
    """Bytes that are no page lead to an outcome, not to an exception."""
    for text in (source, b'{"as_of": 1, "items": [' + source + b']}'):
        decode_page(text)
        decode_engine('i-1', text)
        decode_configuration(text)


@settings(max_examples=300, derandomize=True, database=None, deadline=None)
@given(strategies.text(max_size=30), strategies.integers())
def test_any_address_can_be_connected_to_or_is_refused(
    text: str, number: int
) -> None:
    """Addresses that no socket accepts never reach one."""
    pool = ConnectionPool(read_boot_clock)
    for address in (text, f'127.0.0.1:{text}', f'127.0.0.1:{number}'):
        place = split_address(address)
        if isinstance(place, Invalid):
            pool.connect(address)
        else:
            assert 0 < place[1] < 2**16


def test_hosts_that_read_through_others_leave_out_the_same_entries() -> None:
    """Bytes that are no text must not become a valid entry on the way."""
    for label, text in ODD_ENTRIES.items():
        with open_store() as (program, client):
            program.put('servers', 'odd', RawSpec(text))
            program.put('servers', 'sound', RawSpec(create_entry()))
            listing = client.list_objects('instances')
        relay = ListingRelay('instances', read_boot_clock)
        relay.update(listing, read_boot_clock())
        changes = relay.answer(ChangeAsk('instances', 0, 0))
        if changes.large:
            continue
        buffer = TMemoryBuffer()
        encode_structure(changes).write(create_protocol(buffer))
        received = type(encode_structure(changes))()
        received.read(create_protocol(TMemoryBuffer(buffer.getvalue())))
        behind = apply_changes(Listing(0, ()), decode_structure(received))
        found = {
            entry.name: decode_engine(entry.name, entry.body)
            for entry in behind.entries
        }
        assert isinstance(found['sound'], Instance), label
        assert isinstance(found['odd'], Invalid), label


def test_daemons_follow_the_list_beside_odd_entries() -> None:
    """No daemon ends, also none that starts; sound servers come and go."""
    store = ObjectStoreProgram()
    put_configuration(store, 1)
    servers = [SealedServer() for _ in range(3)]
    addresses = [serve_program(server) for server in servers]
    put_server(store, 'i-0', addresses[0])
    for label, text in ODD_ENTRIES.items():
        store.put('config', f'odd-{label}', RawSpec(text))
        store.put('software-versions', label, RawSpec(text))
    store.put('software-versions', 'main', RawSpec(b'[' * 3000 + b']' * 3000))
    pool = PoolManager(retries=False, timeout=5)
    with open_daemons(store) as daemons:
        for label, text in ODD_ENTRIES.items():
            store.put('servers', f'odd-{label}', RawSpec(text))
        put_server(store, 'i-1', addresses[1])
        store.remove('servers', 'i-0')
        eventlet.sleep(_SETTLE_S)
        daemons[2].kill()
        daemons[2].start()
        daemons[2].wait_until_ready()
        # An entry that becomes odd names no server any more.
        store.put('servers', 'i-1', RawSpec(ODD_ENTRIES['surrogate']))
        put_server(store, 'i-2', addresses[2])
        eventlet.sleep(_SETTLE_S)
        for number, daemon in enumerate(daemons):
            for attempt in range(8):
                identity = f'd{number}-{attempt}'
                assert send_request(daemon, identity, pool).status == 200
        runs = [len(server.runs) for server in servers]
        assert runs == [0, 0, 24], runs
        assert all(daemon.is_running() for daemon in daemons)
