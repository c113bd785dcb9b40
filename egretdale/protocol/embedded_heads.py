"""Heads of other responses within the body of a response."""

from __future__ import annotations

from collections.abc import Container
from dataclasses import dataclass
from re import Pattern

from egretdale.protocol.framing import (
    BEGUN_FIELD_LINE,
    BEGUN_STATUS_LINE,
    FIELD_LINE,
    LINE_END,
    STATUS_LINE,
)

_START = b'HTTP/1.'
#: Longest line, status line and head in bytes that are looked for.
_MAXIMUM_LINE = 4096
_MAXIMUM_STATUS_LINE = 256
_MAXIMUM_HEAD = 16384


@dataclass(slots=True, frozen=True)
class _LineForm:
    """The form of a line of a head.

    :ivar whole: matches a line with its end.
    :ivar begun: matches the beginning of a line.
    :ivar limit: maximum length in bytes.
    """

    whole: Pattern[bytes]
    begun: Pattern[bytes]
    limit: int

    def matches_beginning(self, received: bytes, line: int) -> bool:
        """Tell whether bytes end with the beginning of such a line."""
        is_short = len(received) - line < self.limit
        return is_short and self.begun.fullmatch(received, line) is not None


_STATUS_FORM = _LineForm(STATUS_LINE, BEGUN_STATUS_LINE, _MAXIMUM_STATUS_LINE)
_FIELD_FORM = _LineForm(FIELD_LINE, BEGUN_FIELD_LINE, _MAXIMUM_LINE)


class EmbeddedHeadFinder:
    """Finds the head of a response to a known request within a body.

    Bytes that may be the beginning of such a head are held back.

    :ivar found: ID of the request that it answers, empty if none was found.
    :ivar rest: bytes from the head on, once it was found.
    """

    __slots__ = ('_header', '_held', '_identities', '_line', 'found', 'rest')

    def __init__(self, header: str, identities: Container[str]) -> None:
        """Create a finder that has received nothing.

        :param header: name of the header that carries IDs.
        :param identities: IDs of the known requests.
        """
        self.found = ''
        self.rest = b''
        self._header = header.lower()
        self._identities = identities
        self._held = b''
        # Offset of the next line in the bytes that are held back.
        self._line = 0

    @property
    def is_holding(self) -> bool:
        """Whether bytes are held back."""
        return bool(self._held)

    def scan(self, chunk: bytes) -> bytes:
        """Add bytes of a body.

        :param chunk: the next bytes.
        :return: bytes that are no part of another head.
        """
        if not self._held and _START not in chunk:
            return self._hold(chunk, _find_begun_start(chunk))
        received = self._held + chunk
        begin = received.find(_START)
        line = self._line or begin
        while begin >= 0:
            line, is_open = self._follow(received, begin, line)
            if self.found:
                begin = _find_last_start(received, begin, line)
                self.rest = received[begin:]
                self._held = b''
                return received[:begin]
            if is_open:
                return self._hold(received, begin, line - begin)
            begin = received.find(_START, max(line, begin + 1))
            line = begin
        return self._hold(received, _find_begun_start(received))

    def may_go_on(self, following: bytes) -> bool:
        """Tell whether a head that the body ends with may be completed yet.

        :param following: bytes that have arrived after the body.
        """
        if not self._held.startswith(_START):
            return False
        probe = self._create_probe()
        return not probe.scan(self._held + following) and probe.is_holding

    def finish(self, following: bytes = b'') -> bytes:
        """End the body.

        :param following: bytes that have arrived after it.
        :return: the bytes that were held back and are no part of a head.
        """
        held = self._held
        self._held = b''
        if not held:
            return held
        probe = self._create_probe()
        passed = probe.scan(held + following)
        if not probe.found or len(passed) >= len(held):
            return held
        self.found = probe.found
        self.rest = probe.rest
        return passed

    def finish_by_close(self, head: bytes, identity: str) -> bytes:
        """End a body that ends with its connection.

        :param head: head of the response.
        :param identity: ID of the request that it answers.
        :return: the bytes that were held back and are no part of a head.
        """
        held = self._held
        if LINE_END in held[: -len(LINE_END)] and head.startswith(held):
            self.found = identity
            self.rest = held
            return b''
        return self.finish(LINE_END)

    def _create_probe(self) -> EmbeddedHeadFinder:
        return EmbeddedHeadFinder(self._header, self._identities)

    def _hold(self, received: bytes, begin: int, line: int = 0) -> bytes:
        self._held = received[begin:]
        self._line = line
        return received[:begin]

    def _follow(
        self, received: bytes, begin: int, line: int
    ) -> tuple[int, bool]:
        """Follow the lines of a possible head.

        :param received: bytes of the body.
        :param begin: offset of the head.
        :param line: offset of its next line.
        :return: offset of the line up to which it was followed, and whether
            more bytes may complete the head.
        """
        while line - begin < _MAXIMUM_HEAD and not self.found:
            is_first = line == begin
            form = _STATUS_FORM if is_first else _FIELD_FORM
            end = received.find(LINE_END, line, line + form.limit)
            if end < 0:
                return line, form.matches_beginning(received, line)
            parsed = form.whole.fullmatch(received, line, end + len(LINE_END))
            if parsed is None:
                break
            if not is_first:
                self.found = self._read_identity(parsed['name'], parsed['text'])
            line = end + len(LINE_END)
        return line, False

    def _read_identity(self, name: bytes, text: bytes) -> str:
        if name.decode('latin-1').lower() != self._header:
            return ''
        identity = text.decode('latin-1').strip()
        return identity if identity in self._identities else ''


def _find_begun_start(received: bytes) -> int:
    """Find the offset of the beginning of a head that the bytes end with."""
    begin = received.rfind(_START[:1], -len(_START))
    if begin >= 0 and _START.startswith(received[begin:]):
        return begin
    return len(received)


def _find_last_start(received: bytes, begin: int, end: int) -> int:
    """Find the status line closest before an offset.

    A body may end with text that looks like a head.
    """
    last = received.rfind(_START, begin, end)
    while last > begin and STATUS_LINE.match(received, last) is None:
        last = received.rfind(_START, begin, last)
    return last
