"""Listening addresses for processes that are started later."""

from __future__ import annotations

import itertools
import os
import socket
from contextlib import ExitStack

#: Number of loopback addresses of each process before they repeat.
_ADDRESSES_PER_PROCESS = 64
#: Number of values used in each octet of a loopback address.
_OCTET_VALUES = 250
_numbers = itertools.count()


def choose_ip() -> str:
    """Choose a loopback address that no other process uses.

    It is never 127.0.0.1, the source address of local connections, which
    occupy ports of their own.

    :return: address in dotted form.
    """
    number = (
        os.getpid() * _ADDRESSES_PER_PROCESS
        + next(_numbers) % _ADDRESSES_PER_PROCESS
    )
    first, rest = divmod(number, _OCTET_VALUES**2)
    second, third = divmod(rest, _OCTET_VALUES)
    return f'127.{1 + first % _OCTET_VALUES}.{second}.{third}'


def choose_addresses(ip: str, count: int) -> list[str]:
    """Choose free ports of a loopback address.

    :param ip: loopback address, used by nothing else.
    :param count: number of ports.
    :return: different ``address:port``.
    """
    with ExitStack() as held:
        # All ports are held until the last one is chosen, because the system
        # may give out a released port again at once.
        listeners = [
            held.enter_context(socket.create_server((ip, 0)))
            for _ in range(count)
        ]
        return [f'{ip}:{entry.getsockname()[1]}' for entry in listeners]
