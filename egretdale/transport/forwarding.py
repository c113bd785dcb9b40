"""HTTP connections over which requests are forwarded."""

from __future__ import annotations

from http.client import HTTPException

from urllib3 import HTTPHeaderDict
from urllib3.exceptions import HTTPError
from urllib3.response import HTTPResponse
from urllib3.util import SKIP_HEADER

from egretdale.coordination.exchanges import (
    ForwardAttempt,
    ForwardRequest,
    ForwardResponse,
    RelayAttempt,
)
from egretdale.coordination.ports import EndOfStream, MaybeRun, NotRun
from egretdale.protocol.forwarding import (
    Header,
    HeaderCodec,
    ResponseMetadata,
)
from egretdale.state.instances import Instance
from egretdale.transport.backend_connections import BackendConnection
from egretdale.transport.connection_pool import ConnectionPool
from egretdale.transport.response_bodies import ResponseBody
from egretdale.util.clocks import Clock, convert_to_ms

_EXCHANGE_ERRORS = (
    HTTPError,
    HTTPException,
    OSError,
    ValueError,
)


class ForwardedResponse:
    """A response whose head has been read.

    :ivar status: HTTP status.
    :ivar headers: headers to forward.
    :ivar length: length of the body in bytes, ``None`` when not announced.
    :ivar sealed: whether the backend server signed it.
    :ivar not_run: whether the request was not run.
    :ivar statement: what the backend server says about further requests.
    :ivar backend: the backend server, if another host has relayed the response
        and says so.
    """

    __slots__ = (
        '_address',
        '_body',
        '_connection',
        '_pool',
        '_response',
        'backend',
        'headers',
        'length',
        'not_run',
        'sealed',
        'statement',
        'status',
    )

    def __init__(
        self,
        pool: ConnectionPool,
        address: str,
        connection: BackendConnection,
        response: HTTPResponse,
        metadata: ResponseMetadata,
    ) -> None:
        """Wrap a response.

        :param pool: pool that the connection is returned to.
        :param address: ``address:port`` of the backend server.
        :param connection: the connection.
        :param response: the response.
        :param metadata: what its headers state.
        """
        self.status = response.status
        self.headers = metadata.headers
        self.sealed = metadata.sealed
        self.not_run = metadata.not_run
        self.statement = metadata.statement
        self.backend = metadata.backend
        self.length = _parse_length(response)
        self._pool = pool
        self._address = address
        self._connection = connection
        self._response = response
        self._body = ResponseBody(
            connection,
            response,
            is_unframed=self.length is None and not response.chunked,
        )

    def read(self) -> bytes | EndOfStream | MaybeRun:
        """Read the next bytes of the body.

        :return: bytes, the end of the response, or the failure.
        """
        try:
            return self._body.read() or self._end()
        except _EXCHANGE_ERRORS as error:
            self._connection.close()
            return MaybeRun(f'response interrupted: {error!r}')

    def close(self) -> None:
        """Close the connection, which makes the backend server stop."""
        self._response.close()
        self._connection.close()

    def _end(self) -> EndOfStream | MaybeRun:
        embedded_id = self._body.embedded_id
        if not embedded_id:
            self._pool.release(self._address, self._connection, self._response)
            return EndOfStream(by_close=self._body.is_unframed)
        current_id = self._connection.carried.current
        self._pool.note_embedded(self._address, current_id, embedded_id)
        is_whole = self._body.is_unframed and self._body.is_repeated()
        self.close()
        if is_whole:
            return EndOfStream(by_close=True)
        return MaybeRun('another response begins within the body')


class HttpForwardClient:
    """Sends requests to backend servers and reads the response heads."""

    __slots__ = ('_codec', 'pool')

    def __init__(self, codec: HeaderCodec, clock: Clock) -> None:
        """Create a client without connections.

        :param codec: codec of the request and response headers.
        :param clock: monotonic clock.
        """
        self.pool = ConnectionPool(clock)
        self._codec = codec

    def open(
        self, attempt: ForwardAttempt
    ) -> ForwardResponse | NotRun | MaybeRun:
        """Send a request and read the head of the response.

        :param attempt: the request and its backend server.
        :return: the response, or whether the request may have run.
        """
        address = attempt.instance.address
        connection = self.pool.take(
            address, is_repeatable=attempt.is_repeatable
        )
        return self._send(
            connection or self.pool.connect(address, attempt.left_s),
            address,
            attempt.request,
            self._codec.build_headers(attempt),
        )

    def test_connection(self, instance: Instance) -> NotRun | None:
        """Open a connection, which is kept for a later request.

        :param instance: the backend server.
        :return: the failure, ``None`` if there was none.
        """
        connection = self.pool.connect(instance.address)
        if isinstance(connection, NotRun):
            return connection
        address = instance.address
        timeout_s = self.pool.find_idle_timeout(address)
        self.pool.keep(address, connection, timeout_s)
        return None

    def relay(
        self, attempt: RelayAttempt
    ) -> ForwardResponse | NotRun | MaybeRun:
        """Send a request to another host and read the head of the response.

        :param attempt: the request and the host.
        :return: the response, or whether the request may have run.
        """
        address = attempt.address
        connection = None
        if attempt.is_repeatable:
            connection = self.pool.take(address)
        return self._send(
            connection or self.pool.connect(address, attempt.left_s),
            address,
            attempt.request,
            self._codec.build_relay_headers(attempt),
        )

    def _send(
        self,
        connection: BackendConnection | NotRun,
        address: str,
        request: ForwardRequest,
        headers: list[Header],
    ) -> ForwardResponse | NotRun | MaybeRun:
        if isinstance(connection, NotRun):
            return connection
        try:
            return self._exchange(connection, address, request, headers)
        except _EXCHANGE_ERRORS as error:
            connection.close()
            return MaybeRun(
                f'no response: {error!r}; {_describe_use(connection)}'
            )
        except BaseException:
            connection.close()
            raise

    def _exchange(
        self,
        connection: BackendConnection,
        address: str,
        request: ForwardRequest,
        sent_headers: list[Header],
    ) -> ForwardResponse | MaybeRun:
        headers = HTTPHeaderDict(sent_headers)
        for name in ('Accept-Encoding', 'User-Agent'):
            if name not in headers:
                headers[name] = SKIP_HEADER
        connection.requests += 1
        connection.carried.note(
            self._codec.names.request_id, request.request_id, request.method
        )
        connection.request(
            request.method,
            request.target,
            body=request.body or None,
            headers=headers,
            preload_content=False,
            decode_content=False,
        )
        response = connection.getresponse()
        metadata = self._codec.parse_response(
            request.request_id,
            response.status,
            response.headers.items(),
            is_first=connection.requests == 1,
        )
        if not metadata.matches:
            connection.close()
            detail = 'the response may belong to another request'
            return MaybeRun(
                f'{detail}: status {response.status}; '
                f'{_describe_use(connection)}'
            )
        return ForwardedResponse(
            self.pool, address, connection, response, metadata
        )


def _describe_use(connection: BackendConnection) -> str:
    idle_ms = convert_to_ms(connection.idle_s)
    return (
        f'request {connection.requests} on its connection, which was idle for '
        f'{idle_ms} ms'
    )


def _parse_length(response: HTTPResponse) -> int | None:
    text = response.headers.get('content-length', '')
    return int(text) if text.isdigit() else None
