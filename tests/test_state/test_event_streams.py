"""Tests of the event-stream format."""

from __future__ import annotations

from hypothesis import example, given, settings, strategies

from egretdale.state.event_streams import EventSplitter
from tests.functions import create_loader
from tests.growth import MAXIMUM_GROWTH, measure_growth

load_tests = create_loader(__name__)

#: Texts in which something looks like a field or like the end of an event.
_TEXTS = strategies.sampled_from(
    (
        'months paid: 2',
        'paid:\tid: 9',
        'id:7',
        'id',
        ':id: 3',
        'valid:\u2028id: 4',
        '{"error": "bid: 1"}',
        '',
    )
)
_LINE_ENDS = strategies.sampled_from(('\n', '\r\n', '\r'))


def _encode(number: int, text: str, line_end: str) -> bytes:
    lines = (f'id: {number}', 'event: token', f'data: {text}', ': id: 5', '')
    return ''.join(f'{line}{line_end}' for line in lines).encode()


def _split(received: bytes, cuts: list[int]) -> tuple[bytes, EventSplitter]:
    """Split a stream that arrives in several chunks."""
    splitter = EventSplitter()
    passed = b''
    begin = 0
    for cut in sorted({cut % (len(received) + 1) for cut in cuts}):
        passed += splitter.split(received[begin:cut])
        begin = cut
    return passed + splitter.split(received[begin:]), splitter


@settings(max_examples=300, derandomize=True, database=None, deadline=None)
@given(
    strategies.lists(_TEXTS, min_size=1, max_size=6),
    _LINE_ENDS,
    strategies.lists(strategies.integers(0, 999), max_size=6),
    strategies.booleans(),
)
def test_a_whole_stream_is_passed_on_unchanged(
    texts: list[str], line_end: str, cuts: list[int], marked: bool
) -> None:
    """Whatever its texts, its line ends and the places where it is cut."""
    events = [
        _encode(number, text, line_end)
        for number, text in enumerate(texts, start=1)
    ]
    received = b''.join((b'\xef\xbb\xbf' if marked else b'', *events))
    passed, splitter = _split(received, cuts)
    assert not splitter.has_incomplete_event()
    assert passed + splitter.finish() == received
    assert splitter.last_event_id == str(len(texts))
    assert splitter.can_resume()


@settings(max_examples=300, derandomize=True, database=None, deadline=None)
@given(
    strategies.lists(_TEXTS, min_size=2, max_size=5),
    _LINE_ENDS,
    strategies.integers(0, 999),
    strategies.lists(strategies.integers(0, 999), max_size=4),
)
def test_a_cut_stream_goes_on_after_the_last_whole_event(
    texts: list[str], line_end: str, cut: int, cuts: list[int]
) -> None:
    """Its ID is the one of the last event that was passed on."""
    events = [
        _encode(number, text, line_end)
        for number, text in enumerate(texts, start=1)
    ]
    received = b''.join(events)
    received = received[: cut % len(received)]
    passed, splitter = _split(received, cuts)
    whole = passed.count(b'event: token')
    # With CR LF, the last event may lack the LF that ends it.
    assert passed in {
        b''.join(events[:whole]),
        b''.join(events[:whole]).removesuffix(b'\n'),
    }
    assert splitter.last_event_id == str(whole or '')
    splitter.resume()
    resumed = splitter.split(b''.join(events[whole:]))
    assert resumed == b''.join(events[whole:])
    assert not splitter.is_misplaced


@settings(max_examples=300, derandomize=True, database=None, deadline=None)
@given(strategies.binary(max_size=60), strategies.integers(0, 60))
@example(b'\r\n\r', 1)
def test_any_bytes_are_kept_in_order(received: bytes, cut: int) -> None:
    """Nothing is lost or repeated, also of bytes that are no events."""
    passed, splitter = _split(received, [cut])
    assert passed + splitter.finish() == received


def test_ids_are_read_as_the_format_says() -> None:
    """Only a line that begins with the field gives an ID."""
    cases = {
        b'id: 7\ndata: x\n\n': '7',
        b'id:7\n\n': '7',
        b'data: x\nid: 7\n\n': '7',
        b'id: 7\nid: 8\n\n': '8',
        b'id: 7\n\ndata: months paid: 2\n\n': '',
        b'id: 7\n\n: id: 9\n\n': '7',
        b'id: 7\nid: 8\x009\n\n': '7',
        b'id: 7\nid\n\n': '',
        b'id:  7\n\n': '',
        b'id: 7\xff\n\n': '',
        b'ident: 7\n\n': '',
        b' id: 7\n\n': '',
        b'Id: 7\n\n': '',
        b'weight-versions:3\nid: 7\ndata: x\n\n': '7',
    }
    for received, expected in cases.items():
        _, splitter = _split(received, [])
        assert splitter.last_event_id == expected, received
        assert splitter.can_resume() == bool(expected), received


def test_comments_are_no_events() -> None:
    """A stream that has only comments so far begins anew elsewhere."""
    passed, splitter = _split(b': ping\n\n\n: ping\r\n\r\n', [])
    assert passed
    assert not splitter.has_events
    assert splitter.can_resume()


def test_events_after_a_resumption_must_follow() -> None:
    """An engine that begins anew, or sends an error, does not go on."""
    for first, follows in (
        (b'id: 6\n\n', True),
        (b'id: 7\n\n', True),
        (b': ping\n\nid: 6\n\n', True),
        (b'id: 5\n\n', False),
        (b'id: 1\n\n', False),
        (b'id: x\n\n', True),
        (b'event: error\ndata: id: 6\n\n', False),
        (b'{"error": "busy"}\n\n', False),
    ):
        splitter = EventSplitter()
        assert splitter.split(b'id: 5\ndata: x\n\n')
        splitter.resume()
        assert not splitter.has_events
        passed = splitter.split(first)
        assert bool(passed) == follows, first
        assert splitter.is_misplaced != follows, first
        assert splitter.last_event_id == '5' or follows


def test_an_event_without_end_is_not_searched_again_for_each_chunk() -> None:
    """An engine that sends one byte a chunk must not hold up a host."""

    def split(size: int) -> None:
        splitter = EventSplitter()
        for _ in range(size):
            splitter.split(b'.')

    assert measure_growth(split, 8192) < MAXIMUM_GROWTH


def test_comments_between_events_take_time_for_their_length_only() -> None:
    """An engine that sends comments only must not hold up a host."""

    def split(size: int) -> None:
        EventSplitter().split(b':\n\n' * size)

    def resume(size: int) -> None:
        splitter = EventSplitter()
        splitter.split(b'id: 1\n\n')
        splitter.resume()
        splitter.split(b':\n\n' * size + b'id: 2\n\n')

    assert measure_growth(split, 4096) < MAXIMUM_GROWTH
    assert measure_growth(resume, 4096) < MAXIMUM_GROWTH


@settings(max_examples=300, derandomize=True, database=None, deadline=None)
@given(strategies.text('\r\na:', max_size=12))
def test_events_end_where_two_line_ends_meet(received: str) -> None:
    """Whatever precedes them, and wherever the chunks are cut."""
    lines = received.replace('\r\n', '\n').replace('\r', '\n')
    passed, splitter = _split(received.encode(), list(range(13)))
    if '\n\n' not in lines:
        assert not passed
        return
    rest = splitter.finish().decode().replace('\r\n', '\n')
    assert rest.replace('\r', '\n').strip('\n') == (
        lines.rpartition('\n\n')[-1].strip('\n')
    )
