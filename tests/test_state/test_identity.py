"""Tests of refusal IDs."""

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


def test_refusal_ids_round_trip() -> None:
    """Decoding returns the record that was encoded."""
    assert decode_refusal(encode_refusal(_RECORD)) == _RECORD


def test_changed_refusal_ids_are_rejected() -> None:
    """A changed ID is rejected unless it still encodes the same record."""
    refusal_id = encode_refusal(_RECORD)
    for position, original in enumerate(refusal_id):
        letter = 'B' if original == 'A' else 'A'
        changed = refusal_id[:position] + letter + refusal_id[position + 1 :]
        decoded = decode_refusal(changed)
        assert isinstance(decoded, Invalid) or decoded == _RECORD
    assert isinstance(decode_refusal(refusal_id[:-3]), Invalid)
    assert isinstance(decode_refusal('rf1.'), Invalid)
    assert isinstance(decode_refusal('other'), Invalid)
