"""Connections to backend servers that requests are forwarded over."""

from __future__ import annotations

from http.client import HTTPException
import socket as sockets
from collections import deque
from dataclasses import dataclass

from urllib3 import HTTPHeaderDict
from urllib3.connection import HTTPConnection
from urllib3.exceptions import HTTPError
from urllib3.response import HTTPResponse
from urllib3.util import SKIP_HEADER

from egretdale.coordination.exchanges import (
    ForwardAttempt,
    ForwardResponse,
)
from egretdale.coordination.ports import EndOfStream, MaybeRun, NotRun
from egretdale.protocol.forwarding import ResponseMetadata, HeaderCodec
from egretdale.transport.sockets import ResetAwareSocket
from egretdale.util.clocks import Clock

_CHUNK_BYTES = 65536
#: Longest wait for a connection in seconds; a lost opening packet is only
#: sent again after a second.
_CONNECT_S = 0.5
#: Longest idle time of a kept connection in seconds, if the backend server
#: does not announce one.
_IDLE_S = 20.0
#: How much earlier than announced a connection is given up, in seconds.
_IDLE_MARGIN_S = 1.0
#: Unacknowledged data breaks a connection after this many milliseconds.
_USER_TIMEOUT_MS = 4000
_IDLE_PER_ADDRESS = 64
_EXCHANGE_ERRORS = (
    HTTPError,
    HTTPException,
    OSError,
    ValueError,
)
_SOCKET_OPTIONS = (
    (sockets.IPPROTO_TCP, sockets.TCP_NODELAY, 1),
    (sockets.IPPROTO_TCP, sockets.TCP_USER_TIMEOUT, _USER_TIMEOUT_MS),
)


class BackendConnection(HTTPConnection):
    """A connection to a backend server that notices resets."""

    def _new_conn(self) -> ResetAwareSocket:
        created = ResetAwareSocket(sockets.AF_INET, sockets.SOCK_STREAM)
        try:
            for option in self.socket_options or ():
                created.setsockopt(*option)
            created.settimeout(self.timeout)
            created.connect((self.host, self.port))
        except OSError:
            created.close()
            raise
        return created


@dataclass(slots=True, frozen=True)
class IdleConnection:
    """A connection that waits for the next request.

    :ivar connection: the connection.
    :ivar usable_until: clock time until which the backend server keeps it.
    """

    connection: HTTPConnection
    usable_until: float


class ForwardedAnswer:
    """An answer whose head has been read.

    :ivar status: HTTP status.
    :ivar headers: headers to pass on.
    :ivar length: length of the body in bytes, ``None`` when not announced.
    :ivar sealed: whether the backend server signed it.
    :ivar not_run: whether the request was not run.
    """

    __slots__ = (
        '_address',
        '_connection',
        '_pool',
        '_response',
        'headers',
        'length',
        'not_run',
        'sealed',
        'status',
    )

    def __init__(
        self,
        pool: ConnectionPool,
        address: str,
        connection: HTTPConnection,
        response: HTTPResponse,
        marks: ResponseMetadata,
    ) -> None:
        """Wrap a response.

        :param pool: pool that takes the connection back.
        :param address: ``address:port`` of the backend server.
        :param connection: the connection.
        :param response: the response.
        :param marks: what its headers say.
        """
        self.status = response.status
        self.headers = marks.headers
        self.sealed = marks.sealed
        self.not_run = marks.not_run
        self.length = _parse_length(response)
        self._pool = pool
        self._address = address
        self._connection = connection
        self._response = response

    def read(self) -> bytes | EndOfStream | MaybeRun:
        """Read the next bytes of the body.

        :return: bytes, the end, or what broke.
        """
        try:
            chunk = self._response.read1(_CHUNK_BYTES)
        except _EXCHANGE_ERRORS as broken:
            self._connection.close()
            return MaybeRun(f'the answer broke off: {broken!r}')
        if chunk:
            return chunk
        self._pool.give_back(self._address, self._connection, self._response)
        return EndOfStream()

    def close(self) -> None:
        """Drop the connection, which ends the work of the backend server."""
        self._response.close()
        self._connection.close()


class ConnectionPool:
    """Kept connections to backend servers, the last used one first."""

    __slots__ = ('_clock', '_idle', 'opened')

    def __init__(self, clock: Clock) -> None:
        """Create an empty pool.

        :param clock: monotonic clock.
        """
        self.opened = 0
        self._clock = clock
        self._idle: dict[str, deque[IdleConnection]] = {}

    def take(self, address: str) -> HTTPConnection | None:
        """Take a kept connection on which nothing has arrived.

        :param address: ``address:port`` of the backend server.
        :return: a connection, or ``None``.
        """
        idle = self._idle.get(address)
        now = self._clock()
        while idle:
            entry = idle.pop()
            # Anything readable is the end or an answer nobody asked for.
            if entry.usable_until > now and entry.connection.is_connected:
                return entry.connection
            entry.connection.close()
        return None

    def connect(self, address: str) -> HTTPConnection | NotRun:
        """Open a connection.

        :param address: ``address:port`` of the backend server.
        :return: the connection, or why there is none.
        """
        host, _, port = address.rpartition(':')
        connection = BackendConnection(
            host,
            int(port),
            timeout=_CONNECT_S,
            socket_options=_SOCKET_OPTIONS,
        )
        self.opened += 1
        try:
            connection.connect()
        except (HTTPError, OSError) as refused:
            connection.close()
            self.drop(address)
            return NotRun(f'no connection: {refused}')
        # From here on the caller's deadline bounds each wait.
        connection.timeout = None
        return connection

    def give_back(
        self, address: str, connection: HTTPConnection, response: HTTPResponse
    ) -> None:
        """Keep a connection after a complete answer, if that is safe.

        :param address: ``address:port`` of the backend server.
        :param connection: the connection.
        :param response: the complete answer.
        """
        idle = self._idle.setdefault(address, deque())
        closing = (
            connection.sock is None
            or response.headers.get('connection', '').lower() == 'close'
        )
        if closing or len(idle) >= _IDLE_PER_ADDRESS:
            connection.close()
            return
        keep_s = _parse_keep_alive(response.headers.get('keep-alive', ''))
        idle.append(IdleConnection(connection, self._clock() + keep_s))

    def drop(self, address: str) -> None:
        """Close the kept connections to a backend server.

        :param address: ``address:port`` of the backend server.
        """
        for entry in self._idle.pop(address, ()):
            entry.connection.close()


class HttpForwardClient:
    """Sends requests to backend servers and reads the heads of answers."""

    __slots__ = ('_codec', 'pool')

    def __init__(self, codec: HeaderCodec, clock: Clock) -> None:
        """Create a client without connections.

        :param codec: headers of requests and answers.
        :param clock: monotonic clock.
        """
        self.pool = ConnectionPool(clock)
        self._codec = codec

    def open(
        self, attempt: ForwardAttempt
    ) -> ForwardResponse | NotRun | MaybeRun:
        """Send a request and read the head of the answer.

        :param attempt: the request and where it goes.
        :return: the answer, or what is known of the request.
        """
        address = attempt.instance.address
        connection = self.pool.take(address)
        if connection is None:
            connection = self.pool.connect(address)
        if isinstance(connection, NotRun):
            return connection
        try:
            return self._exchange(connection, attempt)
        except _EXCHANGE_ERRORS as broken:
            connection.close()
            return MaybeRun(f'no answer: {broken!r}')
        except BaseException:
            connection.close()
            raise

    def _exchange(
        self, connection: HTTPConnection, attempt: ForwardAttempt
    ) -> ForwardResponse | MaybeRun:
        request = attempt.request
        headers = HTTPHeaderDict(self._codec.build_headers(attempt))
        for name in ('Accept-Encoding', 'User-Agent'):
            if name not in headers:
                headers[name] = SKIP_HEADER
        connection.request(
            request.method,
            request.target,
            body=request.body or None,
            headers=headers,
            preload_content=False,
            decode_content=False,
        )
        response = connection.getresponse()
        marks = self._codec.parse_response(
            request.request_id, response.status, response.headers.items()
        )
        if not marks.matches:
            connection.close()
            return MaybeRun('the answer belongs to another request')
        return ForwardedAnswer(
            self.pool, attempt.instance.address, connection, response, marks
        )


def _parse_length(response: HTTPResponse) -> int | None:
    text = response.headers.get('content-length', '')
    return int(text) if text.isdigit() else None


def _parse_keep_alive(text: str) -> float:
    for parameter in text.split(','):
        name, _, seconds = parameter.strip().partition('=')
        if name.lower() == 'timeout' and seconds.isdigit():
            return max(float(0), int(seconds) - _IDLE_MARGIN_S)
    return _IDLE_S
