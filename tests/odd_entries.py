"""Entries that another program may write into the platform's store."""

from __future__ import annotations

import json

from hypothesis import strategies

#: Deeper than the decoder's recursion limit.
_DEPTH = 3000


def create_entry(**changes: object) -> bytes:
    """Create the text of an entry that names a backend server.

    :param changes: fields that differ from those of a sound entry.
    """
    entry = {
        'backend': 's1',
        'address': '127.0.0.1:9',
        'zone': 'z1',
        'version': 'v1',
        'state': 'ready',
        'slots': 64,
        'born': 1700000000000,
        'sequence': 1,
    }
    return json.dumps({**entry, **changes}).encode()


def _replace(field: str, text: bytes) -> bytes:
    """Replace the value of a field by a text that need not be JSON."""
    return create_entry(**{field: '@'}).replace(b'"@"', text)


def _nest(depth: int) -> bytes:
    return b'[' * depth + b']' * depth


def _encode_surrogate(number: int) -> bytes:
    """Return a string that is no text, as some encoders write it."""
    return json.dumps(chr(number)).encode()


#: Texts that name no backend server, by what is wrong with them.
ODD_ENTRIES = {
    'nested-address': _replace('address', _nest(_DEPTH)),
    'nested-other-field': _replace('sequence', _nest(_DEPTH)),
    'nested-objects': b'{"a":' * _DEPTH + b'1' + b'}' * _DEPTH,
    'surrogate': _replace('zone', _encode_surrogate(0xD800)),
    'surrogate-in-other-field': _replace('sequence', _encode_surrogate(0xDC00)),
    'invalid-utf-8': _replace('zone', b'"\xff\xfe"'),
    'invalid-utf-8-in-other-field': _replace('sequence', b'"\xc3"'),
    'not-a-number': _replace('slots', b'NaN'),
    'infinite': _replace('sequence', b'-Infinity'),
    'born-over-64-bits': create_entry(born=2**63),
    'born-of-400-digits': _replace('born', b'9' * 400),
    'born-of-5000-digits': _replace('born', b'9' * 5000),
    'born-as-float': _replace('born', b'1e400'),
    'slots-over-32-bits': create_entry(slots=2**31),
    'slots-below-0': create_entry(slots=-1),
    'port-out-of-range': create_entry(address='127.0.0.1:65536'),
    'port-99999': create_entry(address='127.0.0.1:99999'),
    'port-0': create_entry(address='127.0.0.1:0'),
    'port-of-other-digits': create_entry(address='127.0.0.1:²٣'),
    'port-below-0': create_entry(address='127.0.0.1:-1'),
    'port-of-5000-digits': create_entry(address='127.0.0.1:' + '1' * 5000),
    'address-with-line-end': create_entry(address='127.0.0.1\r\n:80'),
    'address-with-name': create_entry(address='engine.example:80'),
    'unknown-state': create_entry(state='asleep'),
    'list': b'[]',
    'null': b'null',
    'string': b'"ready"',
    'number': b'1e999',
}

#: Any value that JSON text can hold, and some that it cannot.
JSON_VALUES = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats()
    | strategies.text(strategies.characters(exclude_categories=())),
    lambda inner: (
        strategies.lists(inner, max_size=4)
        | strategies.dictionaries(
            strategies.text(strategies.characters(exclude_categories=())),
            inner,
            max_size=4,
        )
    ),
    max_leaves=12,
)
