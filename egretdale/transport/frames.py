"""Length-prefixed frames: a length of four bytes, then the payload."""

from __future__ import annotations

import struct

from eventlet.green import socket

MAXIMUM_FRAME_BYTES = 4 * 1024 * 1024

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


def receive_frame(connection: socket.socket) -> bytes | None:
    """Receive one frame.

    :param connection: connected socket.
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
    payload = _receive_exactly(connection, length)
    if len(payload) < length:
        raise FrameError('incomplete frame')
    return payload


def _receive_exactly(connection: socket.socket, length: int) -> bytes:
    chunks = []
    missing = length
    while missing:
        chunk = connection.recv(missing)
        if not chunk:
            break
        chunks.append(chunk)
        missing -= len(chunk)
    return b''.join(chunks)
