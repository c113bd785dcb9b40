"""HTTP server for requests that are forwarded unchanged."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from functools import partial
from typing import Any, Protocol

import eventlet
from eventlet import wsgi

from egretdale.coordination.admission import AdmittedRequest
from egretdale.coordination.exchanges import (
    BackendIdentity,
    ForwardOutcome,
    ForwardRequest,
)
from egretdale.errors import Invalid
from egretdale.protocol.forwarding import HeaderCodec, RequestHead
from egretdale.protocol.problems import choose_status
from egretdale.state.gateway_metrics import GatewayMetrics
from egretdale.state.outcomes import Ran, Reason, Refused
from egretdale.state.routing import CallerLimits
from egretdale.transport.caller_connections import (
    CallerConnections,
    CallerProtocol,
)
from egretdale.transport.connection_limits import (
    ConnectionLimits,
    ConnectionPool,
)
from egretdale.transport.exchanges import Exchange
from egretdale.transport.request_bodies import BodyReader, receive_body
from egretdale.transport.sockets import is_readable
from egretdale.transport.stopping import StoppingRequests, StopTimes
from egretdale.util.clocks import Clock, convert_to_ms
from egretdale.util.logs import get_logger

logger = get_logger(__name__)

_URL_LIMIT = 16384
#: A caller that receives or sends no bytes for this many seconds is
#: disconnected.
_WRITE_TIMEOUT_S = 20.0
#: Longest time in seconds to accept the connections that wait when the
#: listener is closed.
_BACKLOG_TIMEOUT_S = 0.5


class RequestForwarder(Protocol):
    """Admits requests and forwards them."""

    def admit(self, request: ForwardRequest) -> AdmittedRequest | Refused:
        """Decide whether a request may run.

        :param request: the request.
        """

    def forward(self, admitted: AdmittedRequest) -> ForwardOutcome:
        """Forward a request and wait for the head of a response.

        :param admitted: the admitted request.
        """


class Ingress:
    """Accepts requests and forwards them to backend servers.

    :ivar active: requests in progress.
    :ivar connections: open connections of callers.
    :ivar stopping: the requests during a shutdown.
    """

    __slots__ = (
        '_clock',
        '_codec',
        '_connection_limits',
        '_draining',
        '_forwarder',
        '_limits',
        '_listener',
        '_metrics',
        '_pool',
        'active',
        'connections',
        'stopping',
    )

    def __init__(
        self,
        codec: HeaderCodec,
        forwarder: RequestForwarder,
        limits: Callable[[], CallerLimits],
        clock: Clock,
        maximum_connections: int,
        metrics: GatewayMetrics,
        connection_limits: ConnectionLimits,
    ) -> None:
        """Create an ingress without connections.

        :param codec: codec of the request headers.
        :param forwarder: admits requests and forwards them.
        :param limits: returns the current limits.
        :param clock: monotonic clock.
        :param maximum_connections: maximum number of open connections.
        :param metrics: metrics of the gateway.
        :param connection_limits: limits of the connections of callers.
        """
        self.active = 0
        self.connections = CallerConnections()
        self.stopping = StoppingRequests(clock)
        self._codec = codec
        self._forwarder = forwarder
        self._limits = limits
        self._clock = clock
        self._metrics = metrics
        self._draining = False
        self._listener: Any = None
        self._connection_limits = connection_limits
        self._pool = ConnectionPool(maximum_connections, connection_limits)

    def run(self, listener: Any) -> None:
        """Accept connections until the listener is closed.

        :param listener: listening socket.
        """
        self._listener = listener
        wsgi.server(
            listener,
            self,
            log_output=False,
            custom_pool=self._pool,
            protocol=partial(CallerProtocol, self._connection_limits),
            url_length_limit=_URL_LIMIT,
            capitalize_response_headers=False,
            debug=False,
        )

    def limits(self) -> CallerLimits:
        """Return the current limits."""
        return self._limits()

    def start_draining(self, times: StopTimes | None = None) -> None:
        """Announce in each response that its connection closes.

        :param times: phases of the shutdown, ``None`` if it has no end.
        """
        self._draining = True
        if times is not None:
            self.stopping.begin(times)

    def close_listener(self) -> None:
        """Accept no more connections but those that wait already."""
        deadline = self._clock() + _BACKLOG_TIMEOUT_S
        while is_readable(self._listener) and self._clock() < deadline:
            eventlet.sleep(0)
        # The tasks of the last ones have not begun yet.
        eventlet.sleep(0)
        self._listener.close()

    def stop_accepting(self) -> None:
        """Refuse new requests and close idle connections."""
        self.stopping.close()
        self.connections.close_idle()

    def __call__(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        """Serve one request.

        :param environ: WSGI environment.
        :param start_response: WSGI callable.
        :return: chunks of the response.
        """
        environ['eventlet.minimum_write_chunk_size'] = 1
        connection = environ['egretdale.connection']
        start_response = partial(self._begin, connection, start_response)
        caller = environ['eventlet.input'].get_socket()
        caller.settimeout(_WRITE_TIMEOUT_S)
        request = self._read_request(environ)
        if isinstance(request, Refused):
            # The unread rest must not be parsed as another request.
            connection.close_after_response()
            return self.refuse(start_response, request, '')
        admitted = self._admit(request)
        if isinstance(admitted, Refused):
            return self.refuse(start_response, admitted, request.request_id)
        abort = connection.abort_response
        exchange = Exchange(self, caller, admitted, start_response, abort)
        return exchange.respond()

    def _begin(
        self,
        connection: CallerProtocol,
        start_response: Callable[..., Any],
        status: str,
        headers: list[tuple[str, str]],
    ) -> None:
        # A stop may have begun while the request was running.
        if self._draining:
            connection.close_after_response()
        start_response(status, headers)

    def _admit(self, request: ForwardRequest) -> AdmittedRequest | Refused:
        if self.stopping.is_closed():
            return self.stopping.refuse(is_relayed=request.is_relayed)
        admitted = self._forwarder.admit(request)
        if isinstance(admitted, Refused):
            return admitted
        return self.stopping.check(admitted)

    def _read_request(
        self, environ: dict[str, Any]
    ) -> ForwardRequest | Refused:
        head = RequestHead(
            environ['REQUEST_METHOD'],
            environ['egretdale.target'],
            environ['headers_raw'],
            self._clock(),
        )
        request = self._codec.parse_request(head)
        if isinstance(request, Invalid):
            detail = f'{request.path} {request.message}'
            return Refused(Reason.BAD_REQUEST, Ran.NO, detail=detail)
        connection = environ['egretdale.connection']
        reader = BodyReader(
            connection.reader, environ['eventlet.input'], connection.holding
        )
        refused = receive_body(reader, request, self.limits(), self.stopping)
        # A request that is being served is not interrupted for others.
        connection.note_serving()
        return refused or request

    def forward(self, admitted: AdmittedRequest) -> ForwardOutcome:
        """Forward a request.

        :param admitted: the admitted request.
        :return: the response or a refusal.
        """
        return self._forwarder.forward(admitted)

    def measure_remaining_time(self, admitted: AdmittedRequest) -> float:
        """Return the time left until the deadline of a request.

        :param admitted: the admitted request.
        :return: seconds.
        """
        return max(0, admitted.deadline_at - self._clock())

    def build_backend_header(self, backend: BackendIdentity) -> tuple[str, str]:
        """Build the header that tells another host who sent a response.

        :param backend: the backend server.
        :return: name and value.
        """
        return self._codec.build_backend_header(backend)

    def note_malformed(self, detail: str) -> None:
        """Log and count a request that was refused while it was read.

        :param detail: what is malformed.
        """
        self._metrics.refused.labels(Reason.BAD_REQUEST, Ran.NO).inc()
        logger.info(
            'refused', reason=Reason.BAD_REQUEST, ran=Ran.NO, detail=detail
        )

    def log_end(self, request: ForwardRequest, outcome: str) -> None:
        """Log how a request ended.

        :param request: the request.
        :param outcome: outcome for the caller.
        """
        self._metrics.ended.labels(outcome.partition(':')[0]).inc()
        logger.info(
            'request-ended',
            request_id=request.request_id,
            outcome=outcome,
            took_ms=convert_to_ms(self._clock() - request.arrived_at),
        )

    def refuse(
        self,
        start_response: Callable[..., Any],
        refused: Refused,
        request_id: str,
    ) -> Iterable[bytes]:
        """Refuse a request.

        :param start_response: WSGI callable.
        :param refused: reason and details.
        :param request_id: ID of the request, empty if unknown.
        :return: chunks of the response.
        """
        body = f'{refused.reason}: {refused.detail}\n'.encode()
        may_retry = refused.retry_after_s is not None
        headers = [
            ('Content-Type', 'text/plain'),
            ('Content-Length', str(len(body))),
        ]
        if request_id:
            headers.append((self._codec.names.request_id, request_id))
        if may_retry:
            headers.append(('Retry-After', f'{refused.retry_after_s:.2f}'))
        self._metrics.refused.labels(refused.reason, refused.ran).inc()
        logger.info(
            'refused',
            request_id=request_id,
            reason=refused.reason,
            ran=refused.ran,
            retry_after_s=refused.retry_after_s,
            detail=refused.detail,
        )
        start_response(
            choose_status(refused.reason, may_retry=may_retry), headers
        )
        return [body]
