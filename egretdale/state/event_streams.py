"""Events of a stream in the event-stream format of the HTML standard."""

from __future__ import annotations

import re
from collections.abc import Sequence
from typing import Protocol

_EVENT_END = b'\n\n'
#: Bytes in which two line ends meet. CR LF is one line end, and so is CR.
_MEETING_LINE_ENDS = (_EVENT_END, b'\r\r', b'\n\r')
_LINE_END = b'\n'
_LINE_ENDS = b'\r\n'
_CR = b'\r'
_COMMENT_LINE = re.compile(rb'^:[^\n]*\n?', re.MULTILINE)
_BYTE_ORDER_MARK = b'\xef\xbb\xbf'
_COMMENT = b':'
_ID_FIELD = b'id'
#: IDs that a header can hold and that no parser of headers changes.
_HEADER_VALUE = re.compile(rb'[!-~](?:[ -~]{0,254}[!-~])?')
_NUMBER = re.compile('[0-9]{1,18}')


class ResponseHead(Protocol):
    """The head of a response.

    :ivar status: HTTP status.
    :ivar headers: header fields in order.
    """

    status: int
    headers: Sequence[tuple[str, str]]


def continues_stream(response: ResponseHead, broken: ResponseHead) -> bool:
    """Tell whether a response can go on where another one broke off.

    An error, or a response of another media type, is no part of the stream.

    :param response: head of the response.
    :param broken: head of the one that broke off.
    """
    return response.status == broken.status and (
        _read_media_type(response) == _read_media_type(broken)
    )


class EventSplitter:
    """Splits a stream into complete events and buffers the rest.

    :ivar has_events: whether there was a complete event since the stream began
        or was resumed.
    :ivar last_event_id: ID of the last complete event, empty if it has none.
    :ivar is_misplaced: whether the first event after a resumption is not one
        that follows the last event before it.
    """

    __slots__ = (
        '_buffer',
        '_resumed_after',
        '_was_passed',
        'has_events',
        'is_misplaced',
        'last_event_id',
    )

    def __init__(self) -> None:
        """Create a splitter without data."""
        self.has_events = False
        self.is_misplaced = False
        self.last_event_id = ''
        self._buffer = bytearray()
        self._resumed_after = ''
        self._was_passed = False

    @property
    def buffered_bytes(self) -> int:
        """Length of the incomplete event."""
        return len(self._buffer)

    def split(self, chunk: bytes) -> bytes:
        """Add a chunk and return the events that it completes.

        :param chunk: next chunk of the stream.
        :return: complete events, none if they are misplaced.
        """
        # What was buffered before holds no end of an event.
        searched = max(0, len(self._buffer) - 1)
        self._buffer += chunk
        end = _find_end(self._buffer, searched)
        if not end:
            return b''
        complete = bytes(self._buffer[:end])
        self._buffer = self._buffer[end:]
        if not self._note_events(_normalise(complete)):
            return b''
        return complete

    def finish(self) -> bytes:
        """Return what follows the last event at the end of the stream."""
        rest = bytes(self._buffer)
        self._buffer.clear()
        return rest

    def has_incomplete_event(self) -> bool:
        """Tell whether the last event is incomplete."""
        return bool(self._buffer.strip(_LINE_ENDS))

    def can_resume(self) -> bool:
        """Tell whether another response can go on after the last event."""
        return bool(self.last_event_id) or not self._was_passed

    def resume(self) -> None:
        """Drop an incomplete event; the next chunk is of another response."""
        self._buffer.clear()
        self._resumed_after = self.last_event_id
        self.has_events = False
        self.is_misplaced = False

    def _note_events(self, text: bytes) -> bool:
        last_id = _find_last_id(text)
        if last_id is None:
            return True
        if self._resumed_after and not self.has_events:
            if not _is_later(_find_first_id(text), self._resumed_after):
                self.is_misplaced = True
                return False
        self.last_event_id = last_id
        self.has_events = True
        self._was_passed = True
        return True


def _find_end(received: bytearray, start: int) -> int:
    """Find the end of the last complete event.

    :param received: bytes that were received.
    :param start: offset from which there may be an end of an event.
    :return: its offset, 0 if there is none.
    """
    at = max(received.rfind(pair, start) for pair in _MEETING_LINE_ENDS)
    if at < 0:
        return 0
    end = at + len(_EVENT_END)
    is_cr_lf = received[end - 1 : end + 1] == _LINE_ENDS
    return end + 1 if is_cr_lf else end


def _normalise(text: bytes) -> bytes:
    """Replace all line ends by LF, and drop a byte order mark."""
    if _CR in text:
        text = text.replace(_LINE_ENDS, _LINE_END).replace(_CR, _LINE_END)
    return text.removeprefix(_BYTE_ORDER_MARK)


def _drop_comments(text: bytes) -> bytes:
    """Drop the comments, and with them the events that hold nothing else."""
    if text.startswith(_COMMENT) or _LINE_END + _COMMENT in text:
        text = _COMMENT_LINE.sub(b'', text)
    return text.strip(_LINE_END)


def _find_first_id(text: bytes) -> str:
    """Find the ID of the first event.

    :param text: complete events.
    :return: the ID, empty if the event has none.
    """
    event = _drop_comments(text).partition(_EVENT_END)[0]
    return _parse_id(event)


def _find_last_id(text: bytes) -> str | None:
    """Find the ID of the last event.

    :param text: complete events.
    :return: the ID, empty if the event has none; ``None`` if there is no event.
    """
    events = _drop_comments(text)
    if not events:
        return None
    return _parse_id(events.rpartition(_EVENT_END)[-1])


def _parse_id(event: bytes) -> str:
    """Parse the ID of an event.

    :param event: lines of the event without comments.
    :return: the ID, empty if there is none that a header can hold.
    """
    identity = ''
    for line in event.split(_LINE_END):
        name, _, text = line.partition(_COMMENT)
        text = text.removeprefix(b' ')
        if name == _ID_FIELD and b'\x00' not in text:
            is_usable = _HEADER_VALUE.fullmatch(text)
            identity = text.decode('latin-1') if is_usable else ''
    return identity


def _is_later(identity: str, before: str) -> bool:
    if _NUMBER.fullmatch(identity) and _NUMBER.fullmatch(before):
        return int(identity) > int(before)
    return identity not in {'', before}


def _read_media_type(response: ResponseHead) -> str:
    for name, text in response.headers:
        if name.lower() == 'content-type':
            return text.partition(';')[0].strip().lower()
    return ''
