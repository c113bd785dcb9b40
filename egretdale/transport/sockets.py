"""Sockets that distinguish a reset from an orderly close."""

from __future__ import annotations

import errno
import io
from contextlib import suppress
from typing import Any

import eventlet
from eventlet import hubs, patcher
from eventlet.green import socket


_select = patcher.original('select')

#: Reads without a wait after which other tasks run.
_READS_PER_YIELD = 16
#: Bytes that are looked at without being read.
_PEEKED_BYTES = 65536


class ResetAwareSocket(socket.socket):
    """A cooperative socket on which a reset raises an error.

    The base class reports a reset as the end of the stream, so a response that
    is delimited by the end of its connection would look complete.
    """

    _reads = 0
    #: Number of bytes that were received and not read by the parser.
    unread = 0
    #: Bytes that were received, and returned as they belong to no response.
    surplus = b''

    def note_read(self, size: int) -> None:
        """Record that a parser has read bytes.

        :param size: number of bytes.
        """
        self.unread -= size

    def push_back(self, received: bytes) -> None:
        """Return bytes that were received and not read.

        :param received: the bytes; they are received again.
        """
        self.unread -= len(received)
        self.surplus += received

    def peek_received(self) -> bytes:
        """Return the bytes that have arrived, which are received again."""
        return self.surplus + peek_received(self, _PEEKED_BYTES)

    def discard(self, size: int) -> None:
        """Read and drop bytes that have arrived.

        :param size: number of bytes.
        """
        while size:
            received = self.recv_into(bytearray(size))
            self.note_read(received)
            size -= received

    def recv_into(self, buffer: Any, nbytes: int = 0, flags: int = 0) -> int:
        """Receive bytes into a buffer.

        :param buffer: buffer to fill.
        :param nbytes: maximum number of bytes, 0 for the size of the buffer.
        :param flags: flags of the system call.
        :return: number of bytes received, 0 after an orderly close.
        :raises ConnectionAbortedError: the peer reset the connection.
        """
        if self.surplus:
            return self._receive_surplus(buffer, nbytes or len(buffer))
        return self._receive(buffer, nbytes, flags)

    def _receive(self, buffer: Any, nbytes: int, flags: int) -> int:
        while True:
            try:
                received = self.fd.recv_into(buffer, nbytes, flags)
            except BlockingIOError:
                self._reads = 0
                hubs.trampoline(
                    self.fd,
                    read=True,
                    timeout=self.gettimeout(),
                    timeout_exc=TimeoutError,
                )
            except ConnectionResetError as reset:
                raise ConnectionAbortedError(
                    errno.ECONNABORTED, 'reset by the peer'
                ) from reset
            else:
                self.unread += received
                self._yield_at_times()
                return received

    def _receive_surplus(self, buffer: Any, size: int) -> int:
        received = self.surplus[:size]
        self.surplus = self.surplus[size:]
        self.unread += len(received)
        return io.BytesIO(received).readinto(buffer)

    def _yield_at_times(self) -> None:
        """Let other tasks run while data arrives faster than it is read."""
        self._reads += 1
        if self._reads >= _READS_PER_YIELD:
            self._reads = 0
            eventlet.sleep(0)


def is_readable(connection: socket.socket) -> bool:
    """Tell whether a socket has data, its end, or a connection to accept.

    :param connection: an open socket.
    """
    poll = _select.poll()
    poll.register(connection.fileno(), _select.POLLIN)
    return bool(poll.poll(0))


def wait_until_readable(
    connection: socket.socket, limit_s: float | None
) -> None:
    """Wait until a socket has data or its end.

    :param connection: an open socket.
    :param limit_s: longest wait in seconds, ``None`` for no limit.
    """
    with suppress(TimeoutError, hubs.IOClosed):
        hubs.trampoline(
            connection, read=True, timeout=limit_s, timeout_exc=TimeoutError
        )


def has_received(connection: socket.socket) -> bool:
    """Tell whether bytes have arrived on a connection that were not read.

    :param connection: a connection.
    """
    return bool(peek_received(connection, 1))


def peek_received(connection: socket.socket, size: int) -> bytes:
    """Return bytes that have arrived on a connection, without reading them.

    :param connection: a connection.
    :param size: maximum number of bytes.
    :return: the bytes; none if the connection has ended.
    """
    flags = socket.MSG_PEEK | socket.MSG_DONTWAIT
    try:
        return bytes(connection.fd.recv(size, flags))
    except OSError:
        return b''
