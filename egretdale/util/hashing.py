"""Stable hashes that agree between processes."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable

_DIGEST_BYTES = 8


def hash_text(text: str) -> int:
    """Hash a text.

    :param text: any text.
    :return: an unsigned 64-bit number, the same in every process.
    """
    digest = hashlib.blake2b(text.encode(), digest_size=_DIGEST_BYTES)
    return int.from_bytes(digest.digest(), 'big')


def rank_by_rendezvous(key: str, names: Iterable[str]) -> list[str]:
    """Order names by rendezvous hashing.

    :param key: the key that is to be placed.
    :param names: candidate names.
    :return: the names, the preferred one first.
    """
    return sorted(
        names,
        key=lambda name: (hash_text(f'{key}|{name}'), name),
        reverse=True,
    )
