"""Ways in which a peer ends a connection."""

from __future__ import annotations

import socket
import struct


def end_orderly(connection: socket.socket) -> None:
    """Close a connection.

    :param connection: the connection.
    """
    connection.close()


def end_by_halves(connection: socket.socket) -> None:
    """Close the own direction, and the other one when the peer reacts.

    :param connection: the connection.
    """
    connection.shutdown(socket.SHUT_WR)
    connection.recv(1)
    connection.close()


def end_by_reset(connection: socket.socket) -> None:
    """Reset a connection.

    :param connection: the connection.
    """
    linger = struct.pack('ii', 1, 0)
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    connection.close()


ENDINGS = (end_orderly, end_by_halves, end_by_reset)
