"""Strict reading of HTTP messages, before the parsers of the libraries.

These parsers take the end of a connection for the end of a head or of a body in
chunks, and skip lines that are no header fields.
"""

from __future__ import annotations

import enum
from collections import deque
from collections.abc import Callable
from http.client import HTTPException
from re import Pattern
from typing import BinaryIO

from egretdale.protocol.chunks import join_chunks, parse_chunk_size
from egretdale.protocol.framing import (
    CHUNK_SIZE_LINE,
    FIELD_LINE,
    LINE_END,
    is_chunked,
    is_framing_unambiguous,
    parse_fields,
)
from egretdale.transport.read_ahead import ReadAheadSocket
from egretdale.util.turns import Turn

#: Longest line and longest head or trailer section in bytes.
_MAXIMUM_LINE = 65536
_MAXIMUM_HEAD = 131072
_SHOWN_BYTES = 60
#: Memory in bytes that a field occupies beyond its text, once it is parsed.
_FIELD_COST = 512
#: Memory in bytes that is drawn at once for a head.
_DRAWN_BYTES = 32768


class MalformedMessageError(HTTPException):
    """A message that violates HTTP, or ends before it is complete."""


class NoMemoryError(HTTPException):
    """There is no memory for the rest of a head."""


class _Part(enum.Enum):
    """The part of a body in chunks that is read next."""

    SIZE = enum.auto()
    CONTENT = enum.auto()
    CONTENT_END = enum.auto()
    TRAILERS = enum.auto()
    NOTHING = enum.auto()


class MessageReader:
    """A file of received bytes that verifies the framing of messages.

    A head is read as a whole and handed out line by line once it is known to
    be complete. A body in chunks is verified while it is read.

    :ivar head: bytes of the last head.
    """

    __slots__ = (
        '_cost',
        '_draw',
        '_is_reading',
        '_joined',
        '_left',
        '_lines',
        '_maximum_head',
        '_part',
        '_section',
        '_socket',
        '_source',
        '_turn',
        'head',
    )

    def __init__(
        self, received: BinaryIO, socket: ReadAheadSocket | None = None
    ) -> None:
        """Create a reader.

        :param received: buffered file of the connection.
        :param socket: the connection, if it is told of each read.
        """
        self.head = b''
        self._source = received
        self._socket = socket
        self._is_reading = False
        self._turn = Turn()
        # Content of chunks that were received together.
        self._joined = b''
        self._lines: deque[bytes] = deque()
        self._part: _Part | None = None
        # Bytes left of a chunk, and bytes of a section of lines so far.
        self._left = 0
        self._section = 0
        self._maximum_head = _MAXIMUM_HEAD
        self._draw: Callable[[int], bool] | None = None
        # Memory in bytes that the section occupies beyond what was drawn.
        self._cost = 0

    @property
    def closed(self) -> bool:
        """Whether the file is closed."""
        return self._source.closed

    @property
    def chunk_left(self) -> int:
        """Bytes that are left of a chunk whose size has been read."""
        return self._left if self._part is _Part.CONTENT else 0

    @property
    def is_ended(self) -> bool:
        """Whether a body in chunks has been read to its end."""
        return self._part is _Part.NOTHING

    def limit_heads(
        self, maximum: int, draw: Callable[[int], bool] | None
    ) -> None:
        """Limit the heads and the trailer sections that are read.

        :param maximum: maximum size in bytes.
        :param draw: draws memory for the fields of long ones.
        """
        self._maximum_head = min(maximum, _MAXIMUM_HEAD)
        self._draw = draw

    def start_message(self) -> None:
        """Expect the first line of a message."""
        self._part = None
        self._joined = b''
        self._lines.clear()

    def read_head(
        self, start_line: bytes, pattern: Pattern[bytes]
    ) -> list[tuple[str, str]]:
        """Read the rest of a head, which is then handed out line by line.

        :param start_line: first line, which has been read and is not handed
            out again.
        :param pattern: form of the first line.
        :return: names and values of the header fields.
        :raises MalformedMessageError: the head is malformed or incomplete.
        """
        if pattern.fullmatch(start_line) is None:
            raise _report('the first line is malformed', start_line)
        self._section = 0
        self._cost = 0
        lines: list[bytes] = []
        while not lines or lines[-1] != LINE_END:
            lines.append(self._read_section_line())
        fields = parse_fields(lines[:-1])
        if fields is None:
            raise MalformedMessageError('a line of the head is no field')
        if not is_framing_unambiguous(fields):
            raise MalformedMessageError('ambiguous message framing')
        self.head = start_line + b''.join(lines)
        self._lines.extend(lines)
        self._part = _Part.SIZE if is_chunked(fields) else None
        return fields

    def skip_body(self, length: int | None) -> None:
        """Read the body that follows a head to its end, and drop it.

        :param length: length of a body in bytes, ``None`` if it is in chunks.
        :raises MalformedMessageError: the body is malformed or incomplete.
        """
        self._lines.clear()
        if length is None:
            while self._part is not _Part.NOTHING:
                self._skip_part()
            return
        while length:
            length -= len(self._skip(min(length, _MAXIMUM_LINE)))

    def push_back(self, line: bytes) -> None:
        """Return a line that was read, so that it is the next one.

        :param line: the line.
        """
        self._lines.appendleft(line)

    def readline(self, limit: int = -1) -> bytes:
        """Read a line.

        :param limit: maximum number of bytes, no limit if negative.
        :return: the line, without its end if it is too long.
        :raises MalformedMessageError: the framing of a chunk is malformed or
            incomplete.
        """
        if self._lines:
            return self._lines.popleft()
        match self._part:
            case None:
                return self._receive(self._source.readline, limit)
            case _Part.SIZE:
                return self._read_size()
            case _Part.TRAILERS:
                return self._read_trailer()
            case _Part.CONTENT_END:
                return self._check_content_end(self._read_line())
        return b''

    def read(self, size: int = -1) -> bytes:
        """Read bytes until there are as many as wanted, or the end.

        :param size: number of bytes, all if negative.
        """
        if self._part is _Part.CONTENT_END:
            ending = self._receive(self._source.read, len(LINE_END))
            return self._check_content_end(ending)
        return self._read_content(self._source.read, size)

    def read1(self, size: int = -1) -> bytes:
        """Read bytes with at most one wait.

        :param size: maximum number of bytes, no limit if negative.
        """
        return self._read_content(self._source.read1, size)

    def flush(self) -> None:
        """Do nothing; the file is only read."""

    def close(self) -> None:
        """Close the file, and return what was received and not read."""
        # After an interrupted read, it is not known what the buffer holds.
        if self._socket and self._socket.unread and not self._is_reading:
            self._socket.push_back(self._source.peek())
        self._source.close()

    def _skip_part(self) -> None:
        if self._part is _Part.CONTENT:
            self._skip(_MAXIMUM_LINE)
        else:
            self.readline()

    def _skip(self, size: int) -> bytes:
        dropped = self.read1(size)
        if not dropped:
            raise MalformedMessageError('a body is incomplete')
        return dropped

    def _read_content(self, read: Callable[[int], bytes], size: int) -> bytes:
        if self._part is not _Part.CONTENT:
            return self._receive(read, size)
        wanted = self._left if size < 0 else min(size, self._left)
        if self._joined:
            content = self._joined[:wanted]
            self._joined = self._joined[wanted:]
        else:
            content = self._receive(read, wanted)
        self._left -= len(content)
        if not self._left:
            self._part = _Part.CONTENT_END
        return content

    def _read_size(self) -> bytes:
        line = self._read_line()
        parsed = CHUNK_SIZE_LINE.fullmatch(line)
        if parsed is None:
            raise _report('the size of a chunk is malformed', line)
        self._left = parse_chunk_size(parsed['size'])
        self._section = 0
        self._part = _Part.CONTENT if self._left else _Part.TRAILERS
        return self._join_chunks() or line

    def _join_chunks(self) -> bytes:
        """Join the chunks that have been received as a whole.

        Each piece that is passed on costs far more than the framing of a chunk.

        :return: size line of a chunk with their content, empty if there is
            only one.
        """
        unread = 0 if self._socket is None else self._socket.unread
        if not 0 < self._left < unread:
            return b''
        joined, end = join_chunks(self._source.peek(), self._left)
        if end == self._left:
            return b''
        self._receive(self._source.read, end)
        self._joined = joined
        self._left = len(joined)
        return b'%x%b' % (self._left, LINE_END)

    def _read_trailer(self) -> bytes:
        line = self._read_section_line()
        if line == LINE_END:
            self._part = _Part.NOTHING
        elif FIELD_LINE.fullmatch(line) is None:
            raise _report('a trailer is no field', line)
        return line

    def _check_content_end(self, ending: bytes) -> bytes:
        if ending != LINE_END:
            raise _report('a chunk is longer than its size', ending)
        self._part = _Part.SIZE
        return ending

    def _read_section_line(self) -> bytes:
        line = self._read_line()
        self._section += len(line)
        if self._section > self._maximum_head:
            raise MalformedMessageError('the head is too long')
        self._cost += len(line) + _FIELD_COST
        if self._cost > _DRAWN_BYTES and self._draw is not None:
            if not self._draw(self._cost):
                raise NoMemoryError('no memory for the head')
            self._cost = 0
        return line

    def _read_line(self) -> bytes:
        line = self._receive(self._source.readline, _MAXIMUM_LINE)
        if not line.endswith(LINE_END):
            raise _report('a line has no end', line)
        return line

    def _receive(self, read: Callable[[int], bytes], size: int) -> bytes:
        self._turn.begin_step()
        self._is_reading = True
        received = read(size)
        self._is_reading = False
        self._turn.note(len(received))
        if self._socket is not None:
            self._socket.note_read(len(received))
        return received


def _report(problem: str, received: bytes) -> MalformedMessageError:
    return MalformedMessageError(f'{problem}: {received[:_SHOWN_BYTES]!r}')
