"""Measures the cost of decisions and state at the planned scale."""

from __future__ import annotations

import json
import random
import time
import tracemalloc
from collections.abc import Callable
from dataclasses import replace
from types import MappingProxyType
from typing import Any

import click
from thrift.transport.TTransport import TMemoryBuffer

from egretdale.coordination.allocation import GroupAllocator
from egretdale.state.members import find_owner
from egretdale.coordination.backends import BackendDirectory
from egretdale.coordination.member_store import MemberStore
from egretdale.coordination.membership import Membership
from egretdale.coordination.mesh import Mesh
from egretdale.coordination.ports import Listing, StoredObject
from egretdale.protocol.wire import create_protocol, encode_structure
from egretdale.state.backends import BackendAddress, LoadReport
from egretdale.state.documents import ServiceDocument, parse_document
from egretdale.state.members import MemberTable
from egretdale.state.messages import (
    Ask,
    Batch,
    Done,
    GroupAsk,
    MemberUpdate,
)
from standins.emulation.costs import measure_asks

_ENGINES = 6200
_MEMBERS = 400
_ORGANISATIONS = 830
_GROUP_ENGINES = 16
_PROMPT_ENGINES = 16
_WAITING_PROMPTS = (0, 50, 200)
_ROUNDS = 2000
_MICROSECONDS = 1_000_000

_DOCUMENT: MappingProxyType[str, Any] = MappingProxyType(
    {
        'schema': 1,
        'service': 'model-0',
        'owner': 'team',
        'kind': 'model',
        'backend_concurrency': 16,
        'groups': 39,
        'classes': [
            {
                'name': f'tier-{tier}',
                'tier': tier,
                'first_token_ms': 1200,
                'between_tokens_ms': 31,
                'patience_ms': 60000,
            }
            for tier in range(4)
        ],
        'organisations': [
            {'name': f'organisation-{number}'}
            for number in range(_ORGANISATIONS)
        ],
    }
)


def measure_decisions() -> None:
    """Print the processor time, bytes and memory of decisions and state."""
    _measure_allocation()
    _measure_prompts()
    _measure_messages()
    _measure_members()
    _measure_backends()
    _measure_document()


def _measure_prompts() -> None:
    for waiting in _WAITING_PROMPTS:
        cost_s = measure_asks(_PROMPT_ENGINES, waiting)
        name = f'ask for an engine of {_PROMPT_ENGINES}, {waiting} waiting'
        _print_row(name, cost_s * _MICROSECONDS, 'us')


def _print_row(name: str, figure: float, unit: str) -> None:
    click.echo(f'{name:52} {figure:10.1f} {unit}')


def _measure_time_us(step: Callable[[int], Any], rounds: int) -> float:
    started_at = time.process_time()
    for number in range(rounds):
        step(number)
    return (time.process_time() - started_at) / rounds * _MICROSECONDS


def _measure_memory_kb(build: Callable[[], Any]) -> float:
    tracemalloc.start()
    kept = [build()]
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    # The object must stay referenced until its size has been read.
    kept.clear()
    return size / 1024


def _create_document() -> ServiceDocument:
    document = parse_document(json.dumps(dict(_DOCUMENT)).encode())
    if not isinstance(document, ServiceDocument):
        raise TypeError(document)
    return document


def _create_allocator(waiting: int) -> GroupAllocator:
    now = [float(100)]
    allocator = GroupAllocator(
        'model-0/0',
        _create_document(),
        1,
        clock=lambda: now[0],
        source=random.Random(1),
    )
    allocator.replace_backends(
        [
            BackendAddress('model-0', f'engine-{number}', f'e{number}', 1)
            for number in range(_GROUP_ENGINES)
        ]
    )
    for view in allocator.pool.views.values():
        view.accept_report(LoadReport(0, 0, 0, 10**9), now[0])
    asks = [_create_ask(number) for number in range(waiting)]
    for number in range(_GROUP_ENGINES * 16):
        allocator.accept('h', GroupAsk('g', asks=[_create_ask(-number - 1)]))
    allocator.dispatch()
    for ask in asks:
        ask.returning = True
        allocator.accept('h', GroupAsk('g', asks=[ask]))
    allocator.take_replies()
    return allocator


def _create_ask(number: int) -> Ask:
    return Ask(
        f'host-123.18f2a3b.{number:x}',
        f'tier-{number % 4}',
        f'organisation-{number % _ORGANISATIONS}',
        prompt_tokens=1000,
        returning=True,
    )


def _measure_allocation() -> None:
    for waiting in (0, 100, 500):
        allocator = _create_allocator(waiting)

        def decide(number: int, chosen: GroupAllocator = allocator) -> None:
            held = next(iter(chosen.pool.held.values()))
            done = Done(held.ask.request_id, 'engine-0', 20, 50, 500)
            asks = [_create_ask(100000 + number)]
            chosen.accept('h', GroupAsk('g', asks=asks, done=[done]))
            chosen.dispatch()
            chosen.take_replies()

        figure = _measure_time_us(decide, _ROUNDS // 4)
        _print_row(
            f'decision (ask, grant, done), {waiting} waiting', figure, 'us'
        )
    memory_kb = _measure_memory_kb(lambda: _create_allocator(500))
    _print_row(
        'allocator of 16 engines, 256 slots, 500 waiting', memory_kb, 'KB'
    )


def _encode(batch: Batch) -> bytes:
    buffer = TMemoryBuffer()
    encode_structure(batch).write(create_protocol(buffer))
    return buffer.getvalue()


def _measure_messages() -> None:
    empty = len(_encode(Batch('host-123', 1_700_000_000_000)))
    ask = GroupAsk('model-0/12', asks=[_create_ask(7)])
    done = Done('host-123.18f2a3b.7', 'engine-1234', 200, 300, 6000)
    both = GroupAsk('model-0/12', asks=[_create_ask(7)], done=[done])
    for name, message in (('ask', ask), ('ask and done', both)):
        batch = Batch('host-123', 1_700_000_000_000, [message])
        _print_row(f'batch with one {name}', len(_encode(batch)), 'bytes')
    _print_row('empty batch', empty, 'bytes')
    many = GroupAsk(
        'model-0/12', asks=[_create_ask(number) for number in range(10)]
    )
    batch = Batch('host-123', 1_700_000_000_000, [many])
    each = (len(_encode(batch)) - empty) / 10
    _print_row('each ask in a batch of ten', each, 'bytes')
    full = Batch('host-123', 1_700_000_000_000, [both])
    figure = _measure_time_us(lambda _: _encode(full), _ROUNDS)
    _print_row('encoding a batch', figure, 'us')


def _create_update(number: int) -> MemberUpdate:
    return MemberUpdate(
        f'host-{number}',
        1_700_000_000_000 + number,
        number,
        0,
        f'dc-{number % 18}',
        f'10.1.{number // 250}.{number % 250}:8080',
        f'10.1.{number // 250}.{number % 250}:8081',
    )


def _create_table() -> MemberTable:
    table = MemberTable('host-0')
    for number in range(_MEMBERS):
        table.apply(_create_update(number), 0)
    return table


class _NoNetwork:
    """Takes the place of a network or platform that is never called."""


def _measure_members() -> None:
    table = _create_table()
    _print_row('table of 400 members', _measure_memory_kb(_create_table), 'KB')
    figure = _measure_time_us(
        lambda number: find_owner(table, f'g/{number}'), 200
    )
    _print_row('finding the allocator among 400 members', figure, 'us')
    nothing: Any = _NoNetwork()
    mesh = Mesh(table, nothing, time.monotonic, 4096)
    membership = Membership(
        _create_update(0),
        mesh,
        MemberStore(
            'host-0', nothing, clock=time.monotonic, source=random.Random(1)
        ),
        clock=time.monotonic,
        source=random.Random(1),
        period_s=0.5,
        suspicion_s=1,
    )
    mesh.add_listener(membership)
    for number in range(1, 9):
        changed = _create_update(number)
        changed.status = 2
        membership.learn(changed)
    size = len(_encode(mesh.create_batch('host-9')))
    _print_row('probe with updates of 8 members', size, 'bytes')


def _create_listing() -> Listing:
    entries = tuple(
        StoredObject(
            f'model-{number % 10}-engine-{number}',
            number + 1,
            json.dumps(
                {
                    'service': f'model-{number % 10}',
                    'address': f'10.2.{number // 250}.{number % 250}:8000',
                    'incarnation': 1,
                    'data_centre': f'dc-{number % 18}',
                    'state': 'live',
                }
            ).encode(),
        )
        for number in range(_ENGINES)
    )
    return Listing(_ENGINES, entries)


def _create_directory() -> BackendDirectory:
    nothing: Any = _NoNetwork()
    directory = BackendDirectory(
        nothing,
        clock=time.monotonic,
        source=random.Random(1),
        on_change=lambda: None,
    )
    directory.apply_listing(_create_listing())
    return directory


def _measure_backends() -> None:
    directory = _create_directory()
    listing = _create_listing()
    size = sum(len(entry.body) for entry in listing.entries)
    _print_row('list of 6,200 engines', size / 1024, 'KB')
    _print_row(
        'directory of 6,200 engines',
        _measure_memory_kb(_create_directory),
        'KB',
    )
    figure = _measure_time_us(
        lambda _: directory.list_group('model-0', 3, 39), 5
    )
    _print_row('listing one of 39 groups of a model', figure, 'us')
    started_at = time.process_time()
    directory.apply_listing(replace(listing, version=listing.version + 1))
    took_us = (time.process_time() - started_at) * _MICROSECONDS
    _print_row('reading a list of 6,200 engines', took_us, 'us')


def _measure_document() -> None:
    source = json.dumps(dict(_DOCUMENT)).encode()
    _print_row('document with 830 organisations', len(source) / 1024, 'KB')
    figure = _measure_time_us(lambda _: parse_document(source), 50)
    _print_row('checking a document', figure, 'us')
    _print_row('document in memory', _measure_memory_kb(_create_document), 'KB')
