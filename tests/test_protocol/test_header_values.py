"""Tests of the values of headers that callers and servers send."""

from __future__ import annotations

from hypothesis import example, given, settings, strategies
from thrift.transport.TTransport import TMemoryBuffer

from egretdale.coordination.admission import AdmittedRequest
from egretdale.coordination.progress import Progress
from egretdale.coordination.prompt_asks import create_ask
from egretdale.protocol.header_values import (
    parse_backend,
    parse_duration,
    parse_prompt,
    parse_rate,
    parse_relayed,
)
from egretdale.protocol.wire import create_protocol, encode_structure
from egretdale.state.routing import RequestKind
from tests.forwarding import create_request, create_route
from tests.functions import create_loader

load_tests = create_loader(__name__)

_TEXTS = strategies.text(max_size=30) | strategies.integers().map(str)
_PARTS = strategies.tuples(_TEXTS, _TEXTS).map(':'.join)
_OTHER_DIGITS = '²٣'


@settings(max_examples=300, derandomize=True, database=None, deadline=None)
@given(
    strategies.tuples(_TEXTS, _TEXTS).map(','.join),
    strategies.lists(_PARTS, max_size=5).map(','.join),
)
@example('99999999999999,7', 'ff:99999999999999,1:99999999999')
@example(_OTHER_DIGITS, f'1:{_OTHER_DIGITS}')
@example('9' * 5000, '1:' + '9' * 5000)
def test_any_prompt_can_be_told_to_an_allocator(
    counts: str, parts: str
) -> None:
    """Figures of callers that no message can carry do not end its task."""
    request = create_request('/a/', prompt=parse_prompt(counts, parts))
    admitted = AdmittedRequest(
        request,
        create_route('/a/', RequestKind.STREAM),
        '',
        0,
        1,
        200,
        keyed=False,
        fingerprints=(0,),
    )
    ask = create_ask(Progress(admitted, 'claims'), (), 1)
    buffer = TMemoryBuffer()
    encode_structure(ask).write(create_protocol(buffer))
    assert buffer.getvalue()


@settings(max_examples=300, derandomize=True, database=None, deadline=None)
@given(_TEXTS)
@example(_OTHER_DIGITS)
@example('9' * 5000)
def test_any_text_is_a_value_or_is_refused(text: str) -> None:
    """Digits that are not ASCII, or very many, raise nothing."""
    parse_duration(text)
    parse_rate('X', text)
    parse_relayed(text)
    parse_backend(f'claims;b0;{text}')
