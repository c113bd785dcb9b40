"""Hashes that are the same in every process."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable

_DIGEST_BYTES = 8
_SIGNED_LIMIT = 1 << 63  # noqa: WPS432


def hash_text(text: str) -> int:
    """Hash a text.

    :param text: any text.
    :return: an unsigned 64-bit number that is the same in every process.
    """
    digest = hashlib.blake2b(text.encode(), digest_size=_DIGEST_BYTES)
    return int.from_bytes(digest.digest(), 'big')


def hash_fields(*fields: bytes) -> int:
    """Hash byte strings, each of which counts separately.

    :param fields: any byte strings.
    :return: a non-negative number that fits a signed 64-bit field and is the
        same in every process.
    """
    digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    for field in fields:
        digest.update(len(field).to_bytes(_DIGEST_BYTES, 'big'))
        digest.update(field)
    return fold_identity(int.from_bytes(digest.digest(), 'big'))


def fold_identity(identity: int) -> int:
    """Reduce an identifier of any size to the range of a signed 64-bit number.

    :param identity: non-negative number.
    :return: remainder that fits a signed 64-bit field; 0 for the identifier 0.
    """
    return identity % _SIGNED_LIMIT


def rank_by_rendezvous(key: str, names: Iterable[str]) -> list[str]:
    """Rank names for a key by rendezvous hashing.

    :param key: key to be placed.
    :param names: candidate names.
    :return: the names, the preferred one first.
    """
    return sorted(
        names,
        key=lambda name: (hash_text(f'{key}|{name}'), name),
        reverse=True,
    )
