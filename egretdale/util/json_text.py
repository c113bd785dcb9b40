"""Decoding of JSON text that other programs have written."""

from __future__ import annotations

import re
from types import MappingProxyType
from typing import TypeVar

import msgspec

from egretdale.errors import Invalid
from egretdale.util.validation import split_validation_error

#: Largest numbers that messages between hosts can carry.
MAXIMUM_I32 = 0x7FFFFFFF
MAXIMUM_I64 = 0x7FFFFFFFFFFFFFFF

#: Strings and the characters that structure JSON text.
_TOKEN = re.compile(rb'"[^"\\]*(?:\\.[^"\\]*)*"|[][{},]', re.DOTALL)
_DEPTH_CHANGES = MappingProxyType({b'[': 1, b'{': 1, b']': -1, b'}': -1})
#: Characters of an error of the decoder that are kept.
_SHOWN_ERROR = 200

_Decoded = TypeVar('_Decoded')


def decode_json(
    source: bytes | str, kind: type[_Decoded]
) -> _Decoded | Invalid:
    """Decode JSON text, whatever its writer has put into it.

    :param source: text, possibly not JSON or not of the expected shape.
    :param kind: type to decode into.
    :return: the decoded value, or the path of the first invalid field.
    """
    try:
        if isinstance(source, bytes):
            # The decoder does not check the fields that it skips.
            source.decode()
        return msgspec.json.decode(source, type=kind)
    except msgspec.ValidationError as invalid:
        return split_validation_error(invalid)
    except RecursionError:
        return Invalid('$', 'is nested too deeply')
    except (msgspec.MsgspecError, ValueError, OverflowError) as malformed:
        detail = str(malformed)[:_SHOWN_ERROR]
        return Invalid('$', f'not well formed: {detail}')


def split_array(source: bytes) -> list[bytes] | Invalid:
    """Split the text of an array into the texts of its elements.

    The elements are not decoded, so each may be malformed or nested deeply.

    :param source: JSON text.
    :return: the texts, or why it is no array.
    """
    return _split(source.strip(), b'[', b']')


def split_object(source: bytes) -> dict[str, bytes] | Invalid:
    """Split the text of an object into the texts of its members.

    :param source: JSON text.
    :return: the texts by name, without members whose name is malformed, or why
        it is no object.
    """
    members = _split(source.strip(), b'{', b'}')
    if isinstance(members, Invalid):
        return members
    named = (_split_member(member) for member in members)
    return {name: text for name, text in named if name is not None}


def _split_member(member: bytes) -> tuple[str | None, bytes]:
    key = _TOKEN.match(member)
    if key is None:
        return None, b''
    name = decode_json(key.group(), str)
    gap, _, text = member[key.end() :].partition(b':')
    if isinstance(name, Invalid) or gap.strip():
        return None, b''
    return name, text.strip()


def _split(
    source: bytes, opening: bytes, closing: bytes
) -> list[bytes] | Invalid:
    """Split the text between two brackets at the commas on its top level."""
    if source[:1] != opening or source[-1:] != closing:
        return Invalid('$', f'does not begin with {opening.decode()}')
    parts = []
    depth = 0
    began_at = 1
    for token in _TOKEN.finditer(source):
        text = token.group()
        depth += _DEPTH_CHANGES.get(text, 0)
        is_separator = depth == 1 and text == b','
        if is_separator or not depth:
            parts.append(source[began_at : token.start()].strip())
            began_at = token.end()
        if not depth:
            break
    if depth or began_at != len(source):
        return Invalid('$', 'brackets do not match')
    return [part for part in parts if part]
