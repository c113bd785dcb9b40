"""A crowd of clients that misbehave, run as a process of its own.

Usage: ``python -m tests.crowd FORM ADDRESS COUNT``. It prints ``held`` once its
connections have sent what their form sends, have been closed, or are no longer
read from, and keeps the others open until its input ends.
"""

from __future__ import annotations

import itertools
import os
import selectors
import socket
import string
import sys
import time
from collections.abc import Callable, Iterator

_HOST_LINES = b'Host: claims.example\r\n'
_MIB = 1024 * 1024
_BODY_BYTES = 4 * _MIB
_HUGE_BYTES = 64 * _MIB
_PIECE_BYTES = 700
_PIECES_PER_ROUND = 64
_CHUNK = b'10000\r\n%b\r\n' % (b'x' * 65536)
_TINY_CHUNKS = b'1\r\nx\r\n' * 1000
_TINY_ROUNDS = 200
_ENDLESS_CHUNKS = 256
#: Fields of six bytes, which stay below 16 KiB together.
_FIELDS = 2600
_FIELD_LETTERS = string.ascii_lowercase.encode()
_REQUESTS_AHEAD = 4000
_REQUESTS_PER_PIECE = 50
_ADDRESSES = 4
#: Seconds without any progress after which a crowd counts as held, and
#: longest time until then.
_QUIET_S = 2.0
_LIMIT_S = 40.0
_POLL_S = 0.02
_READ_BYTES = 4096

#: Bytes to send, piece by piece.
Pieces = Iterator[bytes]


def _start_request(
    path: bytes, *lines: bytes, method: bytes = b'POST'
) -> bytes:
    number = next(_NUMBERS)
    head = b'%b %b HTTP/1.1\r\n%bAttempt-Id: crowd-%d-%d\r\n' % (
        method,
        path,
        _HOST_LINES,
        os.getpid(),
        number,
    )
    return head + b''.join(line + b'\r\n' for line in lines) + b'\r\n'


_NUMBERS = itertools.count()


def _send_whole(path: bytes) -> Pieces:
    yield _start_request(path, b'Content-Length: %d' % _BODY_BYTES)
    yield b'x' * (_BODY_BYTES - 1)


def _send_pieces(path: bytes) -> Pieces:
    yield _start_request(path, b'Content-Length: %d' % _BODY_BYTES)
    left = _BODY_BYTES - 1
    while left:
        size = min(left, _PIECE_BYTES)
        left -= size
        yield b'x' * size


def _send_chunks(path: bytes) -> Pieces:
    yield _start_request(path, b'Transfer-Encoding: chunked')
    for _ in range(_BODY_BYTES // 65536):
        yield _CHUNK


def _send_tiny_chunks(path: bytes) -> Pieces:
    yield _start_request(path, b'Transfer-Encoding: chunked')
    for _ in range(_TINY_ROUNDS):
        yield _TINY_CHUNKS


def _announce_huge(path: bytes) -> Pieces:
    yield _start_request(path, b'Content-Length: %d' % _HUGE_BYTES)
    for _ in range(_BODY_BYTES // 65536):
        yield b'x' * 65536


def _send_endless_chunks(path: bytes) -> Pieces:
    yield _start_request(path, b'Transfer-Encoding: chunked')
    for _ in range(_ENDLESS_CHUNKS):
        yield _CHUNK


def _send_fields(path: bytes) -> Pieces:
    names = itertools.product(_FIELD_LETTERS, repeat=3)
    lines = (bytes(name) + b':' for name in itertools.islice(names, _FIELDS))
    yield _start_request(path, *lines, b'Content-Length: 2')
    yield b'x'


def _send_ahead(path: bytes) -> Pieces:
    for _ in range(_REQUESTS_AHEAD // _REQUESTS_PER_PIECE):
        yield b''.join(
            _start_request(path, b'Content-Length: 1') + b'x'
            for _ in range(_REQUESTS_PER_PIECE)
        )


def _send_half_head(path: bytes) -> Pieces:
    yield _start_request(path, b'X-Long: %b' % (b'x' * 8000))[:-2]


def _send_nothing(path: bytes) -> Pieces:
    yield b''


def _ask_for_answer(path: bytes) -> Pieces:
    yield _start_request(path, b'Content-Length: 0')


def _send_frame(path: bytes) -> Pieces:
    yield _BODY_BYTES.to_bytes(4, 'big')
    yield b'x' * (_BODY_BYTES - 1)


_FORMS: dict[str, Callable[[bytes], Pieces]] = {
    'whole': _send_whole,
    'pieces': _send_pieces,
    'chunks': _send_chunks,
    'tiny-chunks': _send_tiny_chunks,
    'huge': _announce_huge,
    'endless': _send_endless_chunks,
    'fields': _send_fields,
    'ahead': _send_ahead,
    'half-head': _send_half_head,
    'silent': _send_nothing,
    'unread': _ask_for_answer,
    'half-read': _ask_for_answer,
    'frame': _send_frame,
}
#: Forms that read this many bytes of the answer, and stop.
_READS = {'half-read': 256 * 1024}


class Visitor:
    """One connection of the crowd."""

    __slots__ = ('_left', '_pending', '_pieces', '_socket')

    def __init__(
        self, address: tuple[str, int], number: int, form: str, path: bytes
    ) -> None:
        self._pieces = _FORMS[form](path)
        self._pending = b''
        self._left = _READS.get(form, 0)
        self._socket = socket.socket()
        self._socket.bind((f'127.0.9.{1 + number % _ADDRESSES}', 0))
        self._socket.setblocking(False)
        self._socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._socket.connect_ex(address)

    def move(self) -> bool:
        """Send and read what is possible at once; tell whether any was."""
        try:
            return self._send() + self._read() > 0
        except BlockingIOError:
            return False
        except OSError:
            self._pieces = iter(())
            self._pending = b''
            return False

    def _send(self) -> int:
        sent = 0
        for _ in range(_PIECES_PER_ROUND):
            if not self._pending:
                self._pending = next(self._pieces, b'')
            if not self._pending:
                break
            try:
                size = self._socket.send(self._pending)
            except BlockingIOError:
                break
            self._pending = self._pending[size:]
            sent += size
        return sent

    def _read(self) -> int:
        if not self._left:
            return 0
        size = len(self._socket.recv(min(self._left, _READ_BYTES)))
        self._left -= size
        return size


def main() -> None:
    """Play a crowd until the input ends."""
    forms, address, path, count = sys.argv[1:]
    host, _, port = address.partition(':')
    names = itertools.cycle(forms.split(','))
    visitors = [
        Visitor((host, int(port)), number, next(names), path.encode())
        for number in range(int(count))
    ]
    started_at = time.monotonic()
    moved_at = started_at
    held = False
    watch = selectors.DefaultSelector()
    watch.register(sys.stdin, selectors.EVENT_READ)
    while not watch.select(_POLL_S):
        now = time.monotonic()
        if any([visitor.move() for visitor in visitors]):
            moved_at = now
        is_quiet = now > moved_at + _QUIET_S or now > started_at + _LIMIT_S
        if is_quiet and not held:
            held = True
            print('held', flush=True)


if __name__ == '__main__':
    main()
