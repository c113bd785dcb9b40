"""Tests of identities that explain refusals."""

from __future__ import annotations

from egretdale.errors import Invalid
from egretdale.state.identity import (
    RefusalRecord,
    decode_refusal,
    encode_refusal,
)
from tests.functions import create_loader

load_tests = create_loader(__name__)

_RECORD = RefusalRecord(
    'host-1.18f2a.7',
    'host-1',
    1796330184,
    'claims',
    'counter',
    'large',
    'target-unreachable',
    'no',
    12,
    3000,
    1500,
)


def test_facts_survive_the_round_trip() -> None:
    """Decoding gives back what was encoded."""
    assert decode_refusal(encode_refusal(_RECORD)) == _RECORD


def test_changed_identities_are_noticed() -> None:
    """An identity that was cut or changed anywhere is not believed."""
    identity = encode_refusal(_RECORD)
    for position, original in enumerate(identity):
        letter = 'B' if original == 'A' else 'A'
        changed = identity[:position] + letter + identity[position + 1 :]
        decoded = decode_refusal(changed)
        assert isinstance(decoded, Invalid) or decoded == _RECORD
    assert isinstance(decode_refusal(identity[:-3]), Invalid)
    assert isinstance(decode_refusal('rf1.'), Invalid)
    assert isinstance(decode_refusal('other'), Invalid)
