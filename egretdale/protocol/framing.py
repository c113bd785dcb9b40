"""Syntax of the heads and the framing of HTTP/1.1 messages (RFC 9112)."""

from __future__ import annotations

import re
from collections.abc import Iterable, Sequence

LINE_END = b'\r\n'
HEAD_END = b'\r\n\r\n'

_TOKEN = r"[!#$%&'*+.^_`|~0-9A-Za-z-]+"
#: Visible characters, spaces, tabs and bytes beyond ASCII.
_TEXT = r'[\t -~\x80-\xff]*'
#: Blanks that belong to no value. Possessive: if a line does not match, its
#: blanks are not divided between this and the value in all possible ways.
_BLANKS = r'[\t ]*+'
REQUEST_LINE = re.compile(
    rf'{_TOKEN} (?P<target>[!-~]+) HTTP/[0-9]\.[0-9]\r\n'.encode()
)
STATUS_LINE = re.compile(
    rf'HTTP/1\.[0-9] (?P<status>[1-9][0-9]{{2}})(?: {_TEXT})?\r\n'.encode()
)
FIELD_LINE = re.compile(
    rf'(?P<name>{_TOKEN}):{_BLANKS}(?P<text>{_TEXT})\r\n'.encode()
)
#: Beginnings of lines whose rest has not been received.
BEGUN_STATUS_LINE = re.compile(
    rf'HTTP/1\.(?:[0-9](?: (?:[1-9][0-9]{{0,2}}(?: {_TEXT})?)?)?)?\r?'.encode()
)
BEGUN_FIELD_LINE = re.compile(rf'(?:{_TOKEN}(?::{_TEXT})?)?\r?'.encode())
#: Size of a chunk in hexadecimal digits, and chunk extensions.
CHUNK_SIZE_LINE = re.compile(
    rf'(?P<size>[0-9A-Fa-f]{{1,15}}){_BLANKS}(?:;{_TEXT})?\r\n'.encode()
)
_LENGTH = re.compile('[0-9]{1,18}')
#: Statuses of responses without a body.
_BODILESS_STATUSES = frozenset((204, 304))


def parse_fields(lines: Iterable[bytes]) -> list[tuple[str, str]] | None:
    """Parse the field lines of a head.

    Parsers that skip lines of another form disagree on the body of a message.

    :param lines: field lines with their ends.
    :return: names and values, or ``None`` if a line is no field.
    """
    fields = []
    for line in lines:
        parsed = FIELD_LINE.fullmatch(line)
        if parsed is None:
            return None
        name = parsed['name'].decode('latin-1')
        fields.append((name, parsed['text'].decode('latin-1')))
    return fields


def is_begun_head(received: bytes) -> bool:
    """Tell whether bytes are the head of a response, or the beginning of one.

    :param received: bytes that begin with a status line.
    """
    _, *fields, last = received.partition(HEAD_END)[0].split(LINE_END)
    return BEGUN_FIELD_LINE.fullmatch(last) is not None and all(
        FIELD_LINE.fullmatch(line + LINE_END) for line in fields
    )


def is_chunked(fields: Iterable[tuple[str, str]]) -> bool:
    """Tell whether the body of a message is sent in chunks.

    :param fields: names and values of its header fields.
    """
    return any(name.lower() == 'transfer-encoding' for name, _ in fields)


def find_length(fields: Iterable[tuple[str, str]]) -> int | None:
    """Find the announced length of the body of a message.

    :param fields: names and values of its header fields.
    :return: length in bytes, ``None`` if none is announced.
    """
    for name, text in fields:
        if name.lower() == 'content-length':
            return int(text)
    return None


def has_body(method: str, status: int) -> bool:
    """Tell whether a response has a body.

    :param method: method of the request.
    :param status: status of the response.
    """
    return method != 'HEAD' and status not in _BODILESS_STATUSES


def is_framing_unambiguous(fields: Sequence[tuple[str, str]]) -> bool:
    """Return whether all parsers agree where the body of a message ends.

    Other framing would allow request smuggling.

    :param fields: names and values as sent.
    :return: false if the fields give more than one length, a malformed
        length or an unsupported transfer encoding.
    """
    lengths = []
    encodings = []
    for name, text in fields:
        match name.lower():
            case 'content-length':
                lengths.append(text.strip())
            case 'transfer-encoding':
                encodings.append(text.strip().lower())
    if len(lengths) + len(encodings) > 1:
        return False
    if encodings:
        return encodings == ['chunked']
    return all(_LENGTH.fullmatch(length) for length in lengths)
