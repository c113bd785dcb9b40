"""Limits of connections for the tests of servers."""

from __future__ import annotations

from collections import Counter

from egretdale.state.memory import MemoryAccount
from egretdale.transport.connection_limits import ConnectionLimits
from egretdale.util.clocks import read_boot_clock

_MEMORY_BYTES = 64 * 1024 * 1024


def create_limits(memory: int = _MEMORY_BYTES) -> ConnectionLimits:
    """Create the limits of a server without connections.

    :param memory: memory for messages in bytes.
    """
    account = MemoryAccount(memory, read_boot_clock)
    return ConnectionLimits(account, read_boot_clock, Counter())
