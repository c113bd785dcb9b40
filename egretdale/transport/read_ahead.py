"""Sockets of whose received bytes a part is not read yet."""

from __future__ import annotations

from typing import Protocol


class ReadAheadSocket(Protocol):
    """A socket that counts the bytes that were received and not read.

    :ivar unread: number of these bytes.
    """

    unread: int

    def note_read(self, size: int) -> None:
        """Record that bytes were read.

        :param size: number of bytes.
        """

    def push_back(self, received: bytes) -> None:
        """Return bytes that were received and not read.

        :param received: the bytes.
        """
