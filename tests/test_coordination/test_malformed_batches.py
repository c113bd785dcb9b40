"""Tests that malformed batches of a peer do not stop a host."""

from __future__ import annotations

import dataclasses
import random
import types
import typing

import eventlet

from egretdale.state import messages
from egretdale.state.members import MemberStatus
from egretdale.state.messages import Ask, Batch, GroupAsk, MemberUpdate
from tests.functions import create_loader
from tests.test_coordination.test_gateway import open_gateway

load_tests = create_loader(__name__)

_SEEDS = 1500
_TEXTS = ('', 'h0', 'h1', 'claims/1/0', 'claims/0/0', 'x' * 300, '\x00')
_LARGE = 1 << 31
_NUMBERS = (0, -1, 3, 99, _LARGE - 1, -_LARGE, _LARGE * _LARGE)
_FRACTIONS = (-1.0, 0.5, 1e308, float('nan'), float('inf'))


def _draw(kind: typing.Any, source: random.Random) -> typing.Any:
    """Draw a value of a type, often one that no host would send."""
    arguments = typing.get_args(kind)
    if typing.get_origin(kind) is list:
        count = source.choice((0, 1, 1, 2))
        return [_draw(arguments[0], source) for _ in range(count)]
    if typing.get_origin(kind) in {typing.Union, types.UnionType}:
        return _draw(source.choice(arguments), source)
    if dataclasses.is_dataclass(kind):
        hints = typing.get_type_hints(kind, vars(messages))
        return kind(**{name: _draw(hints[name], source) for name in hints})
    choices = {
        str: _TEXTS,
        int: _NUMBERS,
        float: _FRACTIONS,
        bool: (True, False),
        type(None): (None,),
    }
    return source.choice(choices[kind])


def test_no_batch_of_a_peer_stops_a_host() -> None:
    """Neither as a call nor as the answer to one."""
    with open_gateway() as gateway:
        for seed in range(_SEEDS):
            batch = _draw(Batch, random.Random(seed))
            gateway.mesh.handle(batch)
            gateway.mesh.accept_answer('h1', batch, 0)
        eventlet.sleep(1)
        update = MemberUpdate(
            'h2', 1, 0, int(MemberStatus.ALIVE), 'dc', 'a', 'b'
        )
        gateway.mesh.handle(Batch('h2', 1, members=[update]))
        assert gateway.membership.table.find('h2') is not None


def test_a_malformed_group_does_not_stop_an_allocator() -> None:
    """Requests that wait for other groups go on to be decided on."""
    with open_gateway() as gateway:
        for group in ('claims', 'claims/0/0', 'claims/x/y'):
            waiting = GroupAsk(group, asks=[Ask('r', 'c', 'o', 1, 100, 0, 0)])
            assert not gateway.mesh.handle(Batch('h1', 1, [waiting])).replies, (
                group
            )
