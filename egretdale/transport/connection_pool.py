"""Pooled connections to backend servers."""

from __future__ import annotations

import socket as sockets
from collections import deque
from dataclasses import dataclass
from functools import partial

from urllib3.exceptions import HTTPError
from urllib3.response import HTTPResponse

from egretdale.coordination.ports import NotRun
from egretdale.errors import Invalid
from egretdale.protocol.header_values import is_number
from egretdale.transport.backend_connections import BackendConnection
from egretdale.transport.carried_requests import CarriedRequests
from egretdale.util.addresses import split_address
from egretdale.util.clocks import Clock
from egretdale.util.logs import get_logger

logger = get_logger(__name__)

#: Connect timeout in seconds; a lost SYN packet is retransmitted only after a
#: second.
_CONNECT_TIMEOUT_S = 0.5
#: Time left in seconds in which a request is still refused as not run.
_REFUSAL_S = 0.05
_MINIMUM_CONNECT_S = 0.01
_UNLIMITED_S = float('inf')
#: Idle timeout of a pooled connection in seconds, if the backend server does
#: not announce one.
_IDLE_TIMEOUT_S = 20.0
#: The same before the backend server has responded.
_UNKNOWN_IDLE_TIMEOUT_S = 2.0
#: How long before its announced timeout a connection expires, in seconds: a
#: server that stands still for a while closes idle connections when it goes on,
#: with requests unread.
_IDLE_MARGIN_S = 2.0
#: Share of a short idle timeout in which requests that may run twice use a
#: connection all the same.
_REPEATABLE_SHARE = 0.5
#: Data unacknowledged for this many milliseconds aborts a connection.
_USER_TIMEOUT_MS = 4000
_MAXIMUM_IDLE_PER_ADDRESS = 64
#: Seconds after which the connections that have expired are closed.
_EXPIRY_PERIOD_S = 1.0
_SOCKET_OPTIONS = (
    (sockets.IPPROTO_TCP, sockets.TCP_NODELAY, 1),
    (sockets.IPPROTO_TCP, sockets.TCP_USER_TIMEOUT, _USER_TIMEOUT_MS),
)


@dataclass(slots=True, frozen=True)
class IdleConnection:
    """A pooled connection that is not in use.

    :ivar connection: the connection.
    :ivar idle_since: clock time since which it has been idle.
    :ivar timeout_s: seconds after which the backend server may close it.
    """

    connection: BackendConnection
    idle_since: float
    timeout_s: float

    def is_usable(self, now: float, *, is_repeatable: bool) -> bool:
        """Tell whether a request may be sent on it.

        :param now: clock time.
        :param is_repeatable: whether the request may run twice.
        """
        usable_s = self.timeout_s - _IDLE_MARGIN_S
        if is_repeatable:
            usable_s = max(usable_s, self.timeout_s * _REPEATABLE_SHARE)
        return now < self.idle_since + usable_s


class ConnectionPool:
    """Idle connections to backend servers, reused last in, first out.

    :ivar opened: number of connections opened so far.
    :ivar skipped: number of late answers to earlier requests that were skipped.
    :ivar embedded: number of bodies within which another answer began.
    """

    __slots__ = (
        '_clock',
        '_expired_at',
        '_idle',
        '_idle_timeouts',
        'embedded',
        'opened',
        'skipped',
    )

    def __init__(self, clock: Clock) -> None:
        """Create an empty pool.

        :param clock: monotonic clock.
        """
        self.opened = 0
        self.skipped = 0
        self.embedded = 0
        self._clock = clock
        # Clock time at which expired connections were closed.
        self._expired_at = clock()
        self._idle: dict[str, deque[IdleConnection]] = {}
        self._idle_timeouts: dict[str, float] = {}

    def take(
        self, address: str, *, is_repeatable: bool = True
    ) -> BackendConnection | None:
        """Take an idle connection that can still be used.

        :param address: ``address:port`` of the backend server.
        :param is_repeatable: whether the request may run twice.
        :return: a connection, or ``None``.
        """
        idle = self._idle.get(address)
        now = self._clock()
        while idle:
            entry = idle.pop()
            # Other data is the end or an unrequested response.
            may_use = entry.is_usable(now, is_repeatable=True)
            if not may_use or not entry.connection.skip_arrived():
                entry.connection.close()
                continue
            if not entry.is_usable(now, is_repeatable=is_repeatable):
                # The others have been idle for longer.
                idle.append(entry)
                return None
            entry.connection.idle_s = now - entry.idle_since
            return entry.connection
        return None

    def connect(
        self, address: str, left_s: float = _UNLIMITED_S
    ) -> BackendConnection | NotRun:
        """Open a connection.

        :param address: ``address:port`` of the backend server.
        :param left_s: time left for the request in seconds.
        :return: the connection, or the reason for the failure.
        """
        place = split_address(address)
        if isinstance(place, Invalid):
            return NotRun(f'cannot connect: {place.message}')
        timeout_s = min(_CONNECT_TIMEOUT_S, left_s - _REFUSAL_S)
        connection = BackendConnection(
            CarriedRequests(partial(self._note_skipped, address)),
            *place,
            timeout=max(_MINIMUM_CONNECT_S, timeout_s),
            socket_options=_SOCKET_OPTIONS,
        )
        self.opened += 1
        try:
            connection.connect()
        except (HTTPError, OSError) as error:
            connection.close()
            is_hanging = isinstance(error, TimeoutError)
            if is_hanging and timeout_s < _CONNECT_TIMEOUT_S:
                return NotRun('no time is left to connect', at_fault=False)
            is_refused = isinstance(error, ConnectionRefusedError)
            if not is_refused:
                # Idle connections would hang, too; a refusal may concern new
                # ones only, and broken ones are noticed when they are taken.
                self.close_idle(address)
            return NotRun(
                f'cannot connect: {error}',
                is_refused=is_refused,
                is_hanging=is_hanging,
            )
        # From here on, the deadline of the caller limits all waits.
        connection.timeout = None
        return connection

    def release(
        self,
        address: str,
        connection: BackendConnection,
        response: HTTPResponse,
    ) -> None:
        """Return a connection after a complete response, if it is reusable.

        :param address: ``address:port`` of the backend server.
        :param connection: the connection.
        :param response: the complete response.
        """
        if (
            connection.sock is None
            or response.headers.get('connection', '').lower() == 'close'
        ):
            connection.close()
            return
        timeout_s = _parse_keep_alive(response.headers.get('keep-alive', ''))
        self._idle_timeouts[address] = timeout_s
        self.keep(address, connection, timeout_s)

    def find_idle_timeout(self, address: str) -> float:
        """Return the seconds after which a backend server closes connections.

        :param address: ``address:port`` of the backend server.
        """
        return self._idle_timeouts.get(address, _UNKNOWN_IDLE_TIMEOUT_S)

    def keep(
        self, address: str, connection: BackendConnection, timeout_s: float
    ) -> None:
        """Keep a connection that is not in use.

        :param address: ``address:port`` of the backend server.
        :param connection: the connection.
        :param timeout_s: seconds after which the backend server may close it.
        """
        self._close_expired()
        idle = self._idle.setdefault(address, deque())
        if len(idle) >= _MAXIMUM_IDLE_PER_ADDRESS:
            connection.close()
            return
        now = self._clock()
        connection.carried.end_exchange()
        idle.append(IdleConnection(connection, now, timeout_s))

    def close_idle(self, address: str) -> None:
        """Close the idle connections to a backend server.

        :param address: ``address:port`` of the backend server.
        """
        self._idle_timeouts.pop(address, None)
        for entry in self._idle.pop(address, ()):
            entry.connection.close()

    def note_embedded(self, address: str, current: str, found: str) -> None:
        """Record that another answer began within the body of an answer.

        :param address: ``address:port`` of the backend server.
        :param current: ID of the request that was answered.
        :param found: ID in the head of the other answer.
        """
        self.embedded += 1
        logger.info(
            'answer-within-body',
            request_id=current,
            answered_id=found,
            address=address,
        )

    def _close_expired(self) -> None:
        """Close the connections on which no request may be sent any more.

        Those to servers that have left would never be taken again.
        """
        now = self._clock()
        if now < self._expired_at + _EXPIRY_PERIOD_S:
            return
        self._expired_at = now
        for address, idle in list(self._idle.items()):
            while idle and not idle[0].is_usable(now, is_repeatable=True):
                idle.popleft().connection.close()
            if not idle:
                self._idle.pop(address)

    def _note_skipped(
        self, address: str, current: str, earlier: str, status: int
    ) -> None:
        self.skipped += 1
        logger.info(
            'late-answer-skipped',
            request_id=current,
            answered_id=earlier,
            address=address,
            status=status,
        )


def _parse_keep_alive(text: str) -> float:
    for parameter in text.split(','):
        name, _, seconds = parameter.strip().partition('=')
        if name.lower() == 'timeout' and is_number(seconds):
            return float(seconds)
    return _IDLE_TIMEOUT_S
