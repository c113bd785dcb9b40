"""Length-prefixed frames: a length of four bytes, then the payload."""

from __future__ import annotations

import struct
from collections.abc import Callable

import eventlet
from eventlet.green import socket

MAXIMUM_FRAME_BYTES = 4 * 1024 * 1024

#: Bytes that are received, and drawn, at once.
_PIECE_BYTES = 65536
_LENGTH = struct.Struct('!I')


class FrameError(Exception):
    """The connection ended within a frame or violated the framing."""


def send_frame(connection: socket.socket, payload: bytes) -> int:
    """Send one frame.

    :param connection: connected socket.
    :param payload: bytes of the frame.
    :return: number of bytes sent.
    """
    frame = _LENGTH.pack(len(payload)) + payload
    connection.sendall(frame)
    return len(frame)


def receive_frame(
    connection: socket.socket,
    draw: Callable[[int], bool] | None = None,
) -> bytes | None:
    """Receive one frame.

    :param connection: connected socket.
    :param draw: draws memory for its payload.
    :return: its payload; ``None`` if the connection ended between frames.
    :raises FrameError: the frame is incomplete or too long.
    """
    header = _receive_exactly(connection, _LENGTH.size)
    if not header:
        return None
    if len(header) < _LENGTH.size:
        raise FrameError('incomplete frame')
    length = int.from_bytes(header, 'big')
    if length > MAXIMUM_FRAME_BYTES:
        raise FrameError(f'frame of {length} bytes is too long')
    return _receive_payload(connection, length, draw)


def _receive_payload(
    connection: socket.socket,
    length: int,
    draw: Callable[[int], bool] | None,
) -> bytes:
    payload = bytearray()
    while len(payload) < length:
        size = min(length - len(payload), _PIECE_BYTES)
        if draw is not None and not draw(size):
            raise FrameError('no memory for the frame')
        if payload:
            # Frames that were given up for this one return their memory.
            eventlet.sleep(0)
        piece = _receive_exactly(connection, size)
        if len(piece) < size:
            raise FrameError('incomplete frame')
        payload += piece
    return bytes(payload)


def _receive_exactly(connection: socket.socket, length: int) -> bytes:
    received = bytearray()
    while len(received) < length:
        chunk = connection.recv(length - len(received))
        if not chunk:
            break
        received += chunk
    return bytes(received)
