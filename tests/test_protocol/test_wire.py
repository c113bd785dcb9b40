"""Tests of the conversion between messages and thrift structures."""

from __future__ import annotations

import random

from thrift.transport.TTransport import TMemoryBuffer

from egretdale.protocol.gen import ttypes
from egretdale.protocol.wire import (
    create_protocol,
    decode_structure,
    encode_structure,
)
from egretdale.state.messages import (
    Ask,
    Batch,
    Denial,
    GroupAsk,
    GroupReply,
    MemberUpdate,
    Revision,
    Running,
)
from tests.functions import create_loader

load_tests = create_loader(__name__)

_BATCH = Batch(
    'host-0',
    17,
    [
        GroupAsk(
            'claims/0',
            full=True,
            asks=[Ask('r1', 'counter', 'small', 5, 100, 0, 1 << 62)],
            running=[Running(Ask('r2', 'draft', 'large'), 'e-0', 7)],
            withdrawn=['r3'],
        )
    ],
    [GroupReply('web/0', 3, denials=[Denial('r4', 'no-document', -1)])],
    [MemberUpdate('host-1', 5, 1, 0, 'dc', 'a:1', 'b:2')],
    revisions=[Revision('claims', 9)],
    complete=True,
)


def _encode(batch: Batch) -> bytes:
    buffer = TMemoryBuffer()
    encode_structure(batch).write(create_protocol(buffer))
    return buffer.getvalue()


def _decode(payload: bytes) -> Batch:
    structure = ttypes.Batch()
    structure.read(create_protocol(TMemoryBuffer(payload)))
    return decode_structure(structure)


def test_batches_survive_the_round_trip() -> None:
    """A batch is unchanged after encoding and decoding."""
    assert _decode(_encode(_BATCH)) == _BATCH


def test_ask_stays_small() -> None:
    """The encoded size of an ask is well below the budget of a request."""
    empty = len(_encode(Batch('host-0', 17, [GroupAsk('claims/0')])))
    ask = Ask('host-0.18f2a.1f3', 'counter', 'kingston-parish', 1, 150)
    one = len(_encode(Batch('host-0', 17, [GroupAsk('claims/0', asks=[ask])])))
    assert one - empty < 64


def test_damaged_payloads_raise_known_errors() -> None:
    """Damaged payloads either decode or raise an error that is handled."""
    source = random.Random(1)
    payload = _encode(_BATCH)
    known = (EOFError, ValueError, TypeError, OverflowError, Exception)
    for _ in range(300):
        damaged = bytearray(payload)
        for _ in range(source.randrange(1, 6)):
            damaged[source.randrange(len(damaged))] = source.randrange(256)
        cut = bytes(damaged[: source.randrange(1, len(damaged))])
        try:
            decoded = _decode(cut)
        except known:
            continue
        assert isinstance(decoded, Batch)
