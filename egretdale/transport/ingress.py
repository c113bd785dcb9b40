"""Serves callers whose requests are forwarded as they are."""

from __future__ import annotations

import socket as sockets
from collections.abc import Callable, Iterable, Iterator
from typing import Any, Protocol

import eventlet
from eventlet import wsgi
from eventlet.greenpool import GreenPool

from egretdale.coordination.admission import Admitted
from egretdale.coordination.exchanges import (
    BrokenAnswer,
    CallerGone,
    ForwardOutcome,
    ForwardReply,
    ForwardRequest,
)
from egretdale.errors import Invalid
from egretdale.protocol.forwarding import HeaderCodec, RequestHead
from egretdale.protocol.problems import choose_status
from egretdale.state.outcomes import Ran, Reason, Refused
from egretdale.state.routing import CallerLimits
from egretdale.transport.watching import CallerWatch
from egretdale.util.clocks import Clock, convert_to_ms
from egretdale.util.logs import get_logger

logger = get_logger(__name__)

_URL_LIMIT = 16384
#: A caller that takes no bytes for this long in seconds is dropped.
_WRITE_S = 20.0
#: Connections outlive the announced idle time by this much, in seconds.
_IDLE_GRACE_S = 1.0


class RequestForwarder(Protocol):
    """Decides on requests and forwards them."""

    def admit(self, request: ForwardRequest) -> Admitted | Refused:
        """Decide whether a request may run.

        :param request: the request.
        """

    def forward(self, admitted: Admitted) -> ForwardOutcome:
        """Forward a request and wait for the head of an answer.

        :param admitted: the decision to run it.
        """


class _DiscardedLog:
    """Swallows the access log of the WSGI server."""

    def write(self, line: str) -> None:
        """Ignore a line.

        :param line: access log line.
        """


class _CallerConnection(wsgi.HttpProtocol):
    """A connection of a caller, with limits that may change."""

    def get_environ(self) -> dict[str, Any]:
        """Return the WSGI environment with the head as it was sent.

        :return: the environment.
        """
        self.connection.settimeout(self.server.app.limits().header_s)
        environ = super().get_environ()
        environ['egretdale.target'] = self.path
        return environ

    def _read_request_line(self) -> bytes:
        ingress = self.server.app
        self.server.keepalive = ingress.limits().idle_s + _IDLE_GRACE_S
        ingress.note_idle(self.connection)
        try:
            line = super()._read_request_line()
        finally:
            ingress.note_busy(self.connection)
        self.connection.settimeout(ingress.limits().header_s)
        return line


class Ingress:
    """Serves requests that are forwarded to backend servers.

    :ivar active: requests in progress.
    """

    __slots__ = (
        '_clock',
        '_closing',
        '_codec',
        '_forwarder',
        '_idle',
        '_limits',
        '_pool',
        'active',
    )

    def __init__(
        self,
        codec: HeaderCodec,
        forwarder: RequestForwarder,
        limits: Callable[[], CallerLimits],
        clock: Clock,
        maximum_connections: int,
    ) -> None:
        """Create an ingress without connections.

        :param codec: headers of requests.
        :param forwarder: decides on requests and forwards them.
        :param limits: returns the limits in force.
        :param clock: monotonic clock.
        :param maximum_connections: connections at one time.
        """
        self.active = 0
        self._codec = codec
        self._forwarder = forwarder
        self._limits = limits
        self._clock = clock
        self._closing = False
        self._idle: set[Any] = set()
        self._pool = GreenPool(maximum_connections)

    def run(self, listener: Any) -> None:
        """Accept connections until the listener is closed.

        :param listener: listening socket.
        """
        wsgi.server(
            listener,
            self,
            log=_DiscardedLog(),
            log_output=False,
            custom_pool=self._pool,
            protocol=_CallerConnection,
            url_length_limit=_URL_LIMIT,
            capitalize_response_headers=False,
            debug=False,
        )

    def limits(self) -> CallerLimits:
        """Return the limits in force."""
        return self._limits()

    def note_idle(self, connection: Any) -> None:
        """Note that a connection waits for a request.

        :param connection: socket of the caller.
        """
        self._idle.add(connection)

    def note_busy(self, connection: Any) -> None:
        """Note that a connection has sent a request or has ended.

        :param connection: socket of the caller.
        """
        self._idle.discard(connection)

    def start_closing(self) -> None:
        """Announce on each answer that its connection ends."""
        self._closing = True

    def close_idle(self) -> None:
        """Close the connections that wait for a request."""
        for connection in list(self._idle):
            try:
                connection.shutdown(sockets.SHUT_RDWR)
            except OSError as gone:
                logger.info('idle-connection-gone', detail=str(gone))

    def __call__(
        self, environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        """Serve one request.

        :param environ: WSGI environment.
        :param start_response: WSGI callable.
        :return: chunks of the response.
        """
        environ['eventlet.minimum_write_chunk_size'] = 1
        head = RequestHead(
            environ['REQUEST_METHOD'],
            environ['egretdale.target'],
            environ['headers_raw'],
            self._clock(),
        )
        request = self._codec.read_request(head)
        if isinstance(request, Invalid):
            detail = f'{request.path} {request.message}'
            refused = Refused(Reason.BAD_REQUEST, Ran.NO, detail=detail)
            return self._refuse(start_response, refused, '')
        refused = self._read_body(environ, request)
        if refused is not None:
            return self._refuse(start_response, refused, request.request_id)
        admitted = self._forwarder.admit(request)
        if isinstance(admitted, Refused):
            return self._refuse(start_response, admitted, request.request_id)
        connection = environ['eventlet.input'].get_socket()
        connection.settimeout(_WRITE_S)
        exchange = _Exchange(self, connection, admitted, start_response)
        return exchange.answer()

    def forward(self, admitted: Admitted) -> ForwardOutcome:
        """Forward a request.

        :param admitted: the decision to run it.
        :return: the answer or a refusal.
        """
        return self._forwarder.forward(admitted)

    def measure_left(self, admitted: Admitted) -> float:
        """Measure how much time is left for an answer.

        :param admitted: the decision to run the request.
        :return: seconds.
        """
        return max(0, admitted.deadline_at - self._clock())

    def list_connection_headers(self) -> list[tuple[str, str]]:
        """List the headers that tell what becomes of the connection."""
        return [('Connection', 'close')] if self._closing else []

    def log_end(self, request: ForwardRequest, outcome: str) -> None:
        """Log how a request ended.

        :param request: the request.
        :param outcome: what the caller got.
        """
        logger.info(
            'request-ended',
            request_id=request.request_id,
            outcome=outcome,
            took_ms=convert_to_ms(self._clock() - request.arrived_at),
        )

    def _refuse(
        self,
        start_response: Callable[..., Any],
        refused: Refused,
        request_id: str,
    ) -> Iterable[bytes]:
        body = f'{refused.reason}: {refused.detail}\n'.encode()
        may_retry = refused.retry_after_s is not None
        headers = [
            ('Content-Type', 'text/plain'),
            ('Content-Length', str(len(body))),
            *self.list_connection_headers(),
        ]
        if request_id:
            headers.append((self._codec.names.request_id, request_id))
        if may_retry:
            headers.append(('Retry-After', f'{refused.retry_after_s:.2f}'))
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

    def refuse(
        self,
        start_response: Callable[..., Any],
        refused: Refused,
        request: ForwardRequest,
    ) -> Iterable[bytes]:
        """Refuse a request.

        :param start_response: WSGI callable.
        :param refused: why.
        :param request: the request.
        :return: chunks of the response.
        """
        return self._refuse(start_response, refused, request.request_id)

    def _read_body(
        self, environ: dict[str, Any], request: ForwardRequest
    ) -> Refused | None:
        limit = self.limits().body_bytes
        reader = environ['eventlet.input']
        length = None if reader.chunked_input else reader.content_length or 0
        if length is not None and length > limit:
            return _refuse_large(limit)
        try:
            request.body = reader.read(limit + 1 if length is None else length)
        except (OSError, ValueError, wsgi.ChunkReadError) as broken:
            return Refused(Reason.BAD_REQUEST, Ran.NO, detail=str(broken))
        if length is not None and len(request.body) < length:
            return Refused(Reason.BAD_REQUEST, Ran.NO, detail='body cut short')
        if len(request.body) > limit:
            return _refuse_large(limit)
        return None


class _Exchange:
    """One request from its admission to the end of its answer."""

    __slots__ = (
        '_admitted',
        '_chunks',
        '_ended',
        '_first',
        '_ingress',
        '_start_response',
        '_timer',
        '_watch',
    )

    def __init__(
        self,
        ingress: Ingress,
        connection: Any,
        admitted: Admitted,
        start_response: Callable[..., Any],
    ) -> None:
        self._ingress = ingress
        self._admitted = admitted
        self._start_response = start_response
        self._ended = False
        self._first: bytes | None = None
        self._chunks: Iterator[bytes] = iter(())
        ingress.active += 1
        self._watch = CallerWatch(connection)
        self._timer = eventlet.Timeout(ingress.measure_left(admitted))

    def answer(self) -> Iterable[bytes]:
        """Forward the request and wait for the first bytes of an answer."""
        try:
            outcome = self._forward()
        except eventlet.Timeout as passed:
            if passed is not self._timer:
                self.close()
                raise
            outcome = Refused(
                Reason.DEADLINE_PASSED, Ran.UNKNOWN, detail='no answer in time'
            )
        except BrokenAnswer as broken:
            outcome = Refused(
                Reason.BACKEND_FAILED, Ran.UNKNOWN, detail=str(broken)
            )
        except BaseException as failed:
            self._log_failure(failed)
            self.close()
            raise
        if isinstance(outcome, Refused):
            self.close()
            return self._ingress.refuse(
                self._start_response, outcome, self._admitted.request
            )
        return self._start(outcome)

    def __iter__(self) -> Iterator[bytes]:
        """Iterate over the chunks."""
        return self

    def __next__(self) -> bytes:
        """Return the next chunk."""
        if self._first is not None:
            first = self._first
            self._first = None
            return first
        try:
            return next(self._chunks)
        except StopIteration:
            self._ingress.log_end(self._admitted.request, 'answered')
            raise
        except BaseException as failed:
            self._log_failure(failed)
            raise

    def close(self) -> None:
        """End the exchange; an answer that still runs is dropped."""
        if self._ended:
            return
        self._ended = True
        self._timer.cancel()
        self._watch.stop()
        self._ingress.active -= 1
        drop = getattr(self._chunks, 'close', None)
        if drop is not None:
            drop()

    def _forward(self) -> ForwardOutcome:
        outcome = self._ingress.forward(self._admitted)
        if isinstance(outcome, ForwardReply):
            self._chunks = outcome.chunks
            # Until the first bytes are here, a failure has its own status.
            self._first = next(self._chunks, None)
        return outcome

    def _start(self, reply: ForwardReply) -> Iterable[bytes]:
        headers = [*reply.headers, *self._ingress.list_connection_headers()]
        if reply.length is not None:
            headers.append(('Content-Length', str(reply.length)))
        self._start_response(f'{reply.status} ', headers)
        return self

    def _log_failure(self, failed: BaseException) -> None:
        match failed:
            case CallerGone():
                outcome = 'caller-gone'
            case eventlet.Timeout():
                outcome = 'deadline-passed'
            case _:
                outcome = f'broken: {failed!r}'
        self._ingress.log_end(self._admitted.request, outcome)


def _refuse_large(limit: int) -> Refused:
    return Refused(
        Reason.TOO_LARGE,
        Ran.NO,
        detail=f'the body is longer than {limit} bytes',
    )
