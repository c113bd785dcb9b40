"""Limits for the connections of one server."""

from __future__ import annotations

import socket as sockets
from collections import Counter
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from functools import partial
from typing import Any

import eventlet
from eventlet import hubs
from eventlet.greenpool import GreenPool

from egretdale.state.memory import Holding, MemoryAccount, Source
from egretdale.util.clocks import Clock, convert_to_ms
from egretdale.util.logs import get_logger

logger = get_logger(__name__)

#: Seconds for which a connection may wait for a request before it is closed in
#: favour of a new one; the same where requests are short.
_GRACE_S = 5.0
SHORT_GRACE_S = 1.0
_ROOM_POLL_S = 0.1


class MemoryReclaimed(Exception):
    """The memory of an incomplete message was given to others."""


class ConnectionLimits:
    """Connections of one server that wait for a request, and their memory.

    :ivar account: memory of the process.
    :ivar source: kind of the senders.
    :ivar closed: connections that were closed for a limit, by reason.
    """

    __slots__ = (
        '_clock',
        '_grace_s',
        '_waiting',
        'account',
        'closed',
        'source',
    )

    def __init__(
        self,
        account: MemoryAccount,
        clock: Clock,
        closed: Counter[str],
        source: Source = Source.CALLER,
        grace_s: float = _GRACE_S,
    ) -> None:
        """Create limits of a server without connections.

        :param account: memory of the process.
        :param clock: monotonic clock.
        :param closed: counts the connections that are closed, by reason.
        :param source: kind of the senders.
        :param grace_s: seconds for which a connection may wait for a request
            while there is no room.
        """
        self._grace_s = grace_s
        self.account = account
        self.closed = closed
        self.source = source
        self._clock = clock
        # By connection, address and time since when it has been waiting.
        self._waiting: dict[Any, tuple[str, float]] = {}

    def open_holding(self, address: str) -> Holding:
        """Create an empty holding for a connection.

        :param address: IP address of the sender.
        """
        return self.account.open(self.source, address)

    def note_waiting(self, connection: Any, address: str) -> None:
        """Record that a connection is waiting for a complete request.

        :param connection: its socket.
        :param address: IP address of the sender.
        """
        self._waiting[connection] = (address, self._clock())

    def note_serving(self, connection: Any) -> None:
        """Record that a connection has sent a request, or is closed.

        :param connection: its socket.
        """
        self._waiting.pop(connection, None)

    def note_closed(self, reason: str, address: str) -> None:
        """Count and log a connection that is closed for a limit.

        :param reason: why it is closed.
        :param address: IP address of the sender.
        """
        self.closed[reason] += 1
        logger.info('connection-closed', reason=reason, address=address)

    def make_room(self) -> None:
        """Close a connection that has waited too long.

        It is the one that has waited longest of the address with the most.
        """
        now = self._clock()
        late = [
            (connection, address, since)
            for connection, (address, since) in self._waiting.items()
            if now - since >= self._grace_s
        ]
        if not late:
            return
        counts = Counter(address for _, address, _ in late)
        connection, address, since = max(
            late, key=lambda entry: (counts[entry[1]], now - entry[2])
        )
        self.note_serving(connection)
        self.closed['connection-limit'] += 1
        logger.info(
            'connection-closed',
            reason='connection-limit',
            address=address,
            waiting_from_address=counts[address],
            waited_ms=convert_to_ms(now - since),
        )
        _shut_down(connection)


class ConnectionPool(GreenPool):
    """Tasks of connections; when there are too many, silent ones are closed."""

    def __init__(self, size: int, limits: ConnectionLimits) -> None:
        """Create a pool without tasks.

        :param size: maximum number of connections.
        :param limits: the connections that wait for a request.
        """
        super().__init__(size)
        self._limits = limits

    def spawn(self, function: Callable[..., Any], *args: Any, **kw: Any) -> Any:
        """Start the task of a connection once there is room.

        :param function: the task.
        :return: its green thread.
        """
        while self.free() <= 0:
            self._limits.make_room()
            self._wait_for_room()
        return super().spawn(function, *args, **kw)

    def _wait_for_room(self) -> None:
        if self.sem.acquire(timeout=_ROOM_POLL_S):
            self.sem.release()


@contextmanager
def receive_for(holding: Holding) -> Iterator[None]:
    """Receive a message that gives way to others while it is incomplete.

    :param holding: memory of the message.
    :raises MemoryReclaimed: it has given way.
    """
    target = eventlet.getcurrent()

    def interrupt() -> None:
        # The message may have been completed meanwhile.
        if holding.is_evicted and holding.is_incomplete:
            target.throw(MemoryReclaimed('the memory is needed for others'))

    # Tasks may be interrupted from the hub only.
    schedule = hubs.get_hub().schedule_call_global
    holding.start_receiving(partial(schedule, 0, interrupt))
    try:
        yield
    finally:
        holding.end_receiving()


def _shut_down(connection: Any) -> None:
    try:
        connection.shutdown(sockets.SHUT_RDWR)
    except OSError as gone:
        logger.info('connection-gone', detail=str(gone))
