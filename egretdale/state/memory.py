"""Memory that a process holds for its callers and peers.

Bytes are drawn from one account before they are received. When it is exhausted,
the message that is still incomplete and has occupied the most memory for the
longest time gives way.
"""

from __future__ import annotations

import enum
from collections import Counter
from collections.abc import Callable

from egretdale.util.clocks import Clock, convert_to_ms
from egretdale.util.logs import get_logger

logger = get_logger(__name__)

#: Messages up to this size in bytes may also use the memory that larger ones
#: may not.
_ORDINARY_BYTES = 65536
#: Shares of the memory that may be in use when a message grows.
_LARGE_SHARE = 0.6
_ORDINARY_SHARE = 0.85
_LARGE_PEER_SHARE = 0.75
_PEER_SHARE = 1.0
#: Share that may be in use by others when a message of any size may grow.
_CALM_SHARE = 0.1


class Source(enum.StrEnum):
    """Senders of messages."""

    CALLER = 'caller'
    PEER = 'peer'


class Holding:
    """Memory that is held for one connection.

    :ivar source: kind of the sender.
    :ivar address: IP address of the sender.
    :ivar size: number of bytes.
    :ivar since: clock time at which the first of them was drawn.
    :ivar is_incomplete: whether the message is still being received.
    :ivar is_evicted: whether its memory was given to others.
    """

    __slots__ = (
        '_account',
        '_interrupt',
        'address',
        'is_evicted',
        'is_incomplete',
        'since',
        'size',
        'source',
    )

    def __init__(
        self, account: MemoryAccount, source: Source, address: str
    ) -> None:
        """Create an empty holding.

        :param account: the account of the process.
        :param source: kind of the sender.
        :param address: IP address of the sender.
        """
        self._account = account
        self.source = source
        self.address = address
        self.size = 0
        self.since = float(0)
        self.is_evicted = False
        self.is_incomplete = False
        self._interrupt: Callable[[], None] | None = None

    def grow(self, size: int) -> bool:
        """Draw memory before it is used.

        :param size: number of bytes.
        :return: whether they may be used.
        """
        return self._account.draw(self, size)

    def start_receiving(self, interrupt: Callable[[], None]) -> None:
        """Let the message give way to others while it is incomplete.

        :param interrupt: interrupts the task that receives it.
        """
        self.is_incomplete = True
        self._interrupt = interrupt

    def end_receiving(self) -> None:
        """Keep the memory of a message that is complete, or given up."""
        self.is_incomplete = False
        self._interrupt = None

    def give_way(self) -> None:
        """End an incomplete message."""
        self._account.drop(self)
        self.is_evicted = True
        if self._interrupt is not None:
            self._interrupt()

    def release(self) -> None:
        """Return all memory."""
        self.end_receiving()
        self.is_evicted = False
        if self.size:
            self._account.drop(self)


class MemoryAccount:
    """The memory for messages of callers and peers.

    :ivar limit: its size in bytes.
    :ivar held: bytes in use.
    :ivar peak: most bytes that were in use.
    :ivar refused: draws that were refused, by source.
    :ivar evicted: incomplete messages that gave way, by source.
    """

    __slots__ = (
        '_clock',
        '_holdings',
        'evicted',
        'held',
        'limit',
        'peak',
        'refused',
    )

    def __init__(self, limit: int, clock: Clock) -> None:
        """Create an account of which nothing is in use.

        :param limit: its size in bytes.
        :param clock: monotonic clock.
        """
        self.limit = limit
        self.held = 0
        self.peak = 0
        self.refused: Counter[Source] = Counter()
        self.evicted: Counter[Source] = Counter()
        self._clock = clock
        self._holdings: set[Holding] = set()

    def open(self, source: Source, address: str) -> Holding:
        """Create an empty holding.

        :param source: kind of the sender.
        :param address: IP address of the sender.
        """
        return Holding(self, source, address)

    def draw(self, holding: Holding, size: int) -> bool:
        """Draw memory, at the cost of incomplete messages if necessary.

        :param holding: what it is drawn for.
        :param size: number of bytes.
        :return: whether it was drawn.
        """
        while not holding.is_evicted:
            if self._has_room(holding, size):
                self._add(holding, size)
                return True
            if not self._evict_for(holding):
                break
        self.refused[holding.source] += 1
        logger.info(
            'memory-refused',
            source=holding.source,
            address=holding.address,
            bytes=holding.size + size,
            held=self.held,
            held_for_address=self.measure_address(holding.address),
        )
        return False

    def drop(self, holding: Holding) -> None:
        """Return the memory of a holding.

        :param holding: the holding.
        """
        self._holdings.discard(holding)
        self.held -= holding.size
        holding.size = 0

    def measure_address(self, address: str) -> int:
        """Return the bytes that are held for an IP address.

        :param address: the address.
        """
        return sum(
            holding.size
            for holding in self._holdings
            if holding.address == address
        )

    def measure_source(self, source: Source) -> int:
        """Return the bytes that are held for a kind of senders.

        :param source: the kind.
        """
        return sum(
            holding.size
            for holding in self._holdings
            if holding.source == source
        )

    def _has_room(self, holding: Holding, size: int) -> bool:
        total = self.held + size
        if total <= self.limit * _choose_share(holding, size):
            return True
        # A single message is accepted whatever its size.
        return self.held - holding.size <= self.limit * _CALM_SHARE

    def _add(self, holding: Holding, size: int) -> None:
        if not holding.size:
            holding.since = self._clock()
            self._holdings.add(holding)
        holding.size += size
        self.held += size
        self.peak = max(self.peak, self.held)

    def _evict_for(self, holding: Holding) -> bool:
        """Evict the costliest incomplete message, unless it is the asker's."""
        now = self._clock()
        incomplete = [entry for entry in self._holdings if entry.is_incomplete]
        if not incomplete:
            return False
        victim = max(
            incomplete, key=lambda entry: entry.size * (now - entry.since)
        )
        if victim is holding:
            return False
        logger.info(
            'message-evicted',
            source=victim.source,
            address=victim.address,
            bytes=victim.size,
            held=self.held,
            held_for_address=self.measure_address(victim.address),
            held_ms=convert_to_ms(now - victim.since),
        )
        self.evicted[victim.source] += 1
        victim.give_way()
        return True


def _choose_share(holding: Holding, size: int) -> float:
    is_large = holding.size + size > _ORDINARY_BYTES
    if holding.source is Source.PEER:
        return _LARGE_PEER_SHARE if is_large else _PEER_SHARE
    return _LARGE_SHARE if is_large else _ORDINARY_SHARE
