"""Tests of listings of the object API in which others have written."""

from __future__ import annotations

import json

from hypothesis import given, settings, strategies

from egretdale.errors import Invalid
from egretdale.transport.platform import ListingBody, decode_listing
from tests.functions import create_loader
from tests.odd_entries import JSON_VALUES

load_tests = create_loader(__name__)

_SOUND = {'name': 'a', 'version': 3, 'body': '{}'}


@settings(max_examples=300, derandomize=True, database=None, deadline=None)
@given(JSON_VALUES, JSON_VALUES, JSON_VALUES)
def test_an_odd_object_leaves_the_others(
    name: object, version: object, body: object
) -> None:
    """Also one whose text is not text; the listing keeps its version."""
    odd = {'name': name, 'version': version, 'body': body}
    source = json.dumps({'version': 7, 'objects': [_SOUND, odd, _SOUND]})
    listing = decode_listing(source.encode())
    assert isinstance(listing, ListingBody)
    assert listing.version == 7
    found = [entry.name for entry in listing.objects]
    assert found[0] == found[-1] == 'a'
    assert len(found) in {2, 3}


@settings(max_examples=200, derandomize=True, database=None, deadline=None)
@given(strategies.binary(max_size=60))
def test_any_bytes_are_a_listing_or_are_refused(source: bytes) -> None:
    """Bytes that are no listing lead to an outcome, not to an exception."""
    assert isinstance(decode_listing(source), ListingBody | Invalid)
