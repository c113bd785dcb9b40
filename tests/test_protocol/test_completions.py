"""Tests of completion requests."""

from __future__ import annotations

import json

from egretdale.errors import Invalid
from egretdale.protocol.completions import (
    CompletionRequest,
    continue_body,
    hash_prefix,
    parse_completion,
)
from egretdale.protocol.tokens import (
    StreamToken,
    decode_stream_token,
    encode_stream_token,
)
from tests.functions import create_loader

load_tests = create_loader(__name__)


def test_fields_that_routing_needs_are_read() -> None:
    """Model, stream and limit are read; other fields are ignored."""
    body = b'{"model":"m","stream":true,"max_tokens":7,"prompt":"x","a":{}}'
    request = parse_completion(body)
    assert isinstance(request, CompletionRequest)
    assert (request.model, request.stream) == ('m', True)
    assert request.read_input() == b'"x"'


def test_malformed_bodies_name_the_problem() -> None:
    """Bodies that are not completion requests are rejected."""
    bodies = (
        b'',
        b'{',
        b'[]',
        b'"text"',
        b'{"prompt":"x","stream":"yes"}',
        b'{"prompt":"x","max_tokens":-1}',
        b'{"model":"m"}',
        b'{"prompt":' + b'[' * 100000,
        b'\xff\xfe',
    )
    for body in bodies:
        assert isinstance(parse_completion(body), Invalid), body[:40]


def test_short_prompts_have_no_prefix() -> None:
    """Only prompts long enough to be cached have a prefix hash."""
    assert hash_prefix(b'short') == 0
    assert hash_prefix(b'x' * 2000) == hash_prefix(b'x' * 1024 + b'y')


def test_continued_request_holds_what_was_delivered() -> None:
    """The new request keeps its fields and contains the delivered text."""
    events = [
        b'id: 1\ndata: {"choices":[{"text":"a "}]}\n\n',
        b'id: 2\ndata: {"choices":[{"delta":{"content":"b "}}]}\n\n',
    ]
    body = continue_body(b'{"prompt":"p","stream":true}', events, 2)
    fields = json.loads(body or b'')
    assert fields['prompt'] == 'p'
    assert fields['continue_from'] == {'text': 'a b ', 'events': 2}


def test_unreadable_events_cannot_be_continued() -> None:
    """Malformed events and bodies yield no continuation."""
    assert continue_body(b'{"prompt":"p"}', [b'data: {x\n\n'], 1) is None
    assert continue_body(b'not json', [], 0) is None


def test_stream_tokens_survive_the_round_trip() -> None:
    """A token is unchanged after encoding; other text is rejected."""
    token = StreamToken('engine-0', 'host-0.1.2.1')
    assert decode_stream_token(encode_stream_token(token)) == token
    for text in ('!', 'abc', 'A' * 300):
        assert isinstance(decode_stream_token(text), Invalid)
