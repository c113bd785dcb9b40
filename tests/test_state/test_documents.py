"""Tests of service documents."""

from __future__ import annotations

from egretdale.errors import Invalid
from egretdale.state.documents import parse_document
from tests.fixtures import DOCUMENT_SOURCE, create_document
from tests.functions import create_loader

load_tests = create_loader(__name__)


def test_patterns_tell_idempotent_requests_apart() -> None:
    """Only requests that match a listed pattern are non-idempotent."""
    document = create_document()
    assert not document.is_idempotent('POST', '/references/new')
    assert document.is_idempotent('GET', '/references/new')
    assert document.is_idempotent('POST', '/status')


def test_problems_name_the_path_of_the_field() -> None:
    """Each invalid field is reported with its path."""
    wrong = {
        'tier: 0': ('tier: 9', '$.classes[0].tier'),
        'schema: 1': ('schema: 7', '$.schema'),
        'name: draft': ('name: counter', '$.classes[0].name'),
        'name: large': ('name: small', '$.organisations[1].name'),
        'weight: 2': ('weight: 0', '$.organisations[0].weight'),
        'headroom: 0.1': ('headroom: 0.9', '$.headroom'),
        'owner: team': ('owner: team\nunknown: 1', '$'),
        'patience_ms: 20000': ('patience_ms: 5', '$.classes[1].patience_ms'),
        'first_token_ms: 800': (
            'first_token_ms: soon',
            '$.classes[0].first_token_ms',
        ),
    }
    for good, (bad, path) in wrong.items():
        problem = parse_document(DOCUMENT_SOURCE.replace(good, bad).encode())
        assert isinstance(problem, Invalid), bad
        assert problem.path == path, problem


def test_hostile_sources_are_values_not_exceptions() -> None:
    """Malformed input gives a problem and raises no exception."""
    for source in (b'', b'\xff\xfe', b'[' * 5000, b'a: &a [*a]', b'x' * 400000):
        assert isinstance(parse_document(source), Invalid)
