"""Tests of the headers of forwarded requests."""

from __future__ import annotations

from egretdale.coordination.exchanges import ForwardAttempt, ForwardRequest
from egretdale.errors import Invalid
from egretdale.protocol.forwarding import (
    HeaderCodec,
    HeaderNames,
    RequestHead,
    parse_prompt,
)
from egretdale.state.instances import Instance
from tests.functions import create_loader

load_tests = create_loader(__name__)

_NAMES = HeaderNames(reserved=('Egret-Hold',))
_CODEC = HeaderCodec(_NAMES)
_INSTANCE = Instance('b0', 'claims', '10.0.0.1:80')


def _read(*headers: tuple[str, str]) -> ForwardRequest | Invalid:
    head = RequestHead('POST', '/a', (('Egret-Request-Id', 'r1'), *headers), 0)
    return _CODEC.parse_request(head)


def _write(request: ForwardRequest, **changes: object) -> dict[str, str]:
    attempt = ForwardAttempt(
        request, _INSTANCE, 'small', 1.5, urgency=3, **changes
    )
    return {name.lower(): text for name, text in _CODEC.build_headers(attempt)}


def test_callers_cannot_set_what_the_system_sets() -> None:
    """Forged organisation, urgency and reserved headers are dropped."""
    request = _read(
        ('Egret-Organisation', 'large'),
        ('EGRET-URGENCY', '0'),
        ('egret-hold', 'x'),
        ('Egret-Expected-Instance', 'b9'),
        ('X-Other', 'kept'),
        ('Connection', 'keep-alive'),
    )
    sent = _write(request)
    assert sent['egret-organisation'] == 'small'
    assert 'egret-urgency' not in sent
    assert 'egret-hold' not in sent
    assert sent['egret-expected-instance'] == 'b0'
    assert sent['x-other'] == 'kept'
    assert 'connection' not in sent


def test_keys_are_not_passed_on() -> None:
    """The key is read and the backend server never sees it."""
    request = _read(('Authorization', 'Bearer secret'))
    assert request.key == 'secret'
    assert 'secret' not in str(_write(request))


def test_the_deadline_is_what_is_left() -> None:
    """The backend server learns the time that is left for it."""
    request = _read(('Egret-Deadline-Ms', '8000'))
    assert request.patience_s == 8
    assert _write(request)['egret-deadline-ms'] == '1500'
    assert isinstance(_read(('Egret-Deadline-Ms', '-1')), Invalid)


def test_a_resumed_stream_replaces_the_callers_event() -> None:
    """The event to go on from is sent once."""
    request = _read(('Last-Event-Id', '4'))
    assert _write(request)['last-event-id'] == '4'
    assert _write(request, last_event_id='9')['last-event-id'] == '9'


def test_prompts_are_read_part_by_part() -> None:
    """Sizes and parts are read; what cannot be read is left out."""
    prompt = parse_prompt('1460,80', '5c:800, 91:410,zz:1,7:x,e4:250')
    assert (prompt.tokens, prompt.maximum_output) == (1460, 80)
    assert [part.tokens for part in prompt.parts] == [800, 410, 250]
    assert prompt.find_affinity().identity == 0x91
    assert prompt.count_shared() == 1210
    assert parse_prompt('', '').find_affinity() is None


def test_answers_of_other_requests_are_noticed() -> None:
    """The identity in an answer must be the one that was sent."""
    own = _CODEC.parse_response(
        'r1', 200, [('Egret-Request-Id', 'r1'), ('Egret-Seal', 's')]
    )
    assert own.matches
    assert own.sealed
    other = _CODEC.parse_response('r1', 200, [('Egret-Request-Id', 'r0')])
    assert not other.matches


def test_encoded_answers_are_not_the_backend_servers() -> None:
    """A body in an encoding that nobody asked for is not sealed."""
    marks = _CODEC.parse_response(
        'r1', 200, [('Egret-Seal', 's'), ('Content-Encoding', 'gzip')]
    )
    assert not marks.sealed


def test_a_misdirected_request_was_not_run() -> None:
    """Another backend server at the address has not run the request."""
    assert _CODEC.parse_response('r1', 421, []).not_run
    assert _CODEC.parse_response('r1', 503, [('Egret-Not-Run', '1')]).not_run
    assert not _CODEC.parse_response('r1', 503, []).not_run
