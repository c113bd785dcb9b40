"""Tests of the headers of forwarded requests."""

from __future__ import annotations

from egretdale.coordination.exchanges import (
    BackendIdentity,
    ForwardAttempt,
    ForwardRequest,
    RelayAttempt,
)
from egretdale.errors import Invalid
from egretdale.protocol.forwarding import (
    HeaderCodec,
    HeaderNames,
    RequestHead,
)
from egretdale.protocol.header_values import parse_prompt
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


def test_reserved_headers_of_callers_are_dropped() -> None:
    """Organisation, urgency and reserved headers of callers are dropped."""
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


def test_a_relayed_request_is_read_as_its_caller_sent_it() -> None:
    """Another host gets the key, what is left of the time, and the attempts."""
    request = _read(
        ('Host', 'claims.example'),
        ('Authorization', 'Bearer secret'),
        ('Egret-Deadline-Ms', '3000'),
        ('Last-Event-Id', '4'),
        ('X-Other', 'kept'),
    )
    assert not request.is_relayed
    attempt = RelayAttempt(request, 'h1', '10.0.0.2:80', 1.5, 1, True)
    sent = _CODEC.build_relay_headers(attempt)
    relayed = _CODEC.parse_request(RequestHead('POST', '/a', sent, 0))
    assert relayed.is_relayed
    assert relayed.relayed_attempts == 1
    assert relayed.key == 'secret'
    assert relayed.patience_s == 1.5
    assert relayed.host_name == 'claims.example'
    assert relayed.last_event_id == '4'
    assert ('X-Other', 'kept') in relayed.headers
    assert 'egret-relayed' not in _write(relayed)


def test_repeated_fields_of_a_request_are_refused() -> None:
    """A backend server could read another value than this host."""
    for name in ('Egret-Request-Id', 'egret-deadline-ms', 'HOST'):
        assert isinstance(_read((name, '1'), (name.lower(), '1')), Invalid)
    assert isinstance(_read(('egret-request-id', 'r1')), Invalid)
    assert isinstance(_read(('X-A', '1'), ('X-A', '1')), ForwardRequest)


def test_a_response_without_an_id_may_answer_an_earlier_request() -> None:
    """It counts only on a connection that no other request was sent on."""
    named = ('Egret-Request-Id', 'r1')
    earlier = ('egret-request-id', 'r0')
    for headers, first, later in (
        ([named], True, True),
        ([], True, False),
        ([earlier], False, False),
        ([named, earlier], False, False),
        ([earlier, named], False, False),
        ([named, named], False, False),
    ):
        for is_first, expected in ((True, first), (False, later)):
            metadata = _CODEC.parse_response(
                'r1', 503, headers, is_first=is_first
            )
            assert metadata.matches == expected, headers


def test_keys_are_not_forwarded() -> None:
    """The key is read but not sent to the backend server."""
    request = _read(('Authorization', 'Bearer secret'))
    assert request.key == 'secret'
    assert 'secret' not in str(_write(request))


def test_deadline_is_the_remaining_time() -> None:
    """The backend server is sent the remaining time."""
    request = _read(('Egret-Deadline-Ms', '8000'))
    assert request.patience_s == 8
    assert _write(request)['egret-deadline-ms'] == '1500'
    assert isinstance(_read(('Egret-Deadline-Ms', '-1')), Invalid)


def test_resumed_stream_replaces_the_event_of_the_caller() -> None:
    """The event to resume from is sent only once."""
    request = _read(('Last-Event-Id', '4'))
    assert _write(request)['last-event-id'] == '4'
    assert _write(request, last_event_id='9')['last-event-id'] == '9'


def test_prompt_headers_are_parsed() -> None:
    """Sizes and parts are parsed; invalid entries are skipped."""
    prompt = parse_prompt('1460,80', '5c:800, 91:410,zz:1,7:x,e4:250')
    assert (prompt.tokens, prompt.maximum_output) == (1460, 80)
    assert [part.tokens for part in prompt.parts] == [800, 410, 250]
    assert prompt.find_affinity().identity == 0x91
    assert prompt.count_shared() == 1210
    assert parse_prompt('', '').find_affinity() is None


def test_responses_to_other_requests_are_detected() -> None:
    """The request ID in a response must be the one that was sent."""
    own = _CODEC.parse_response(
        'r1', 200, [('Egret-Request-Id', 'r1'), ('Egret-Seal', 's')]
    )
    assert own.matches
    assert own.sealed
    other = _CODEC.parse_response('r1', 200, [('Egret-Request-Id', 'r0')])
    assert not other.matches


def test_encoded_responses_are_not_sealed() -> None:
    """A response with an unrequested content encoding is not sealed."""
    metadata = _CODEC.parse_response(
        'r1', 200, [('Egret-Seal', 's'), ('Content-Encoding', 'gzip')]
    )
    assert not metadata.sealed


def test_misdirected_request_was_not_run() -> None:
    """Status 421 and the not-run header mean that the request did not run."""
    assert _CODEC.parse_response('r1', 421, []).not_run
    assert _CODEC.parse_response('r1', 503, [('Egret-Not-Run', '1')]).not_run
    assert not _CODEC.parse_response('r1', 503, []).not_run


def _read_limit(text: str) -> float | Invalid | None:
    headers = [('egret-request-limit', text)]
    return _CODEC.parse_response('r1', 200, headers).statement.limit_per_s


def test_request_limits_are_decimal_numbers() -> None:
    """Anything else is reported as invalid and not taken for a limit."""
    assert _read_limit('1.9') == 1.9
    assert _read_limit(' 12 ') == 12
    for text in ('', '-1', 'nan', 'inf', '1e9', 'soon', '1' * 400, '²'):
        assert isinstance(_read_limit(text), Invalid), text
    statement = _CODEC.parse_response('r1', 200, []).statement
    assert statement.limit_per_s is None


def test_rejection_limits_are_decimal_numbers() -> None:
    """They are read beside request limits."""
    headers = [('Egret-Rejection-Limit', '3'), ('Egret-Request-Limit', '2')]
    statement = _CODEC.parse_response('r1', 200, headers).statement
    assert (statement.limit_per_s, statement.rejections_per_s) == (2, 3)
    for text in ('', '-1', 'nan', 'many'):
        headers = [('Egret-Rejection-Limit', text)]
        statement = _CODEC.parse_response('r1', 200, headers).statement
        assert isinstance(statement.rejections_per_s, Invalid), text


def test_a_server_states_whether_it_leaves() -> None:
    """Anything but the two figures is reported as invalid."""
    for text, leaving in (('1', True), (' 1 ', True), ('0', False)):
        headers = [('egret-leaving', text)]
        metadata = _CODEC.parse_response('r1', 503, headers)
        assert metadata.statement.leaving is leaving, text
        assert metadata.headers == headers
    for text in ('', 'yes', '-1', '1.0', '2', '1' * 400, '\u0661'):
        headers = [('Egret-Leaving', text)]
        statement = _CODEC.parse_response('r1', 200, headers).statement
        assert isinstance(statement.leaving, Invalid), text
    assert not _CODEC.parse_response('r1', 200, []).statement.leaving


def test_a_relayed_response_names_its_backend_server() -> None:
    """The header is for the other host and not for the caller."""
    for name in ('i-1', 'a;b', 'a\r\nX: y', '\u00fc %3B', ''):
        backend = BackendIdentity('claims', name, 7)
        header, text = _CODEC.build_backend_header(backend)
        assert text.isascii() and text.isprintable()
        headers = [(header.lower(), text), ('Egret-Leaving', '1')]
        metadata = _CODEC.parse_response('r1', 200, headers)
        assert metadata.backend == backend
        assert metadata.headers == [('Egret-Leaving', '1')]
    for text in ('', 'a;b', 'a;b;-1', 'a;b;1;2', 'a;b;\u0661x', 'a;b;c'):
        headers = [('Egret-Backend', text)]
        assert _CODEC.parse_response('r1', 200, headers).backend is None, text


def test_resumed_streams_name_the_event_and_the_request() -> None:
    """Both headers are read, and forwarded as the caller sent them."""
    request = _read(('Last-Event-Id', '7'), ('egret-resumes', 'r0'))
    assert (request.last_event_id, request.resumed_id) == ('7', 'r0')
    sent = _write(request)
    assert (sent['last-event-id'], sent['egret-resumes']) == ('7', 'r0')
