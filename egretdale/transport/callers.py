"""HTTP interface for callers."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from typing import Any
from urllib.parse import parse_qs

import msgspec

from egretdale.coordination.exchanges import HostStopped
from egretdale.coordination.node import Node
from egretdale.coordination.requests import (
    BufferedReply,
    CallerRequest,
    Refusal,
    StreamReply,
)
from egretdale.protocol.hosts import HostsResponse, order_hosts
from egretdale.protocol.tokens import (
    StreamToken,
    encode_stream_token,
)
from egretdale.state.outcomes import Ran, Reason, Refused
from egretdale.transport.refusals import RefusalRegistry
from egretdale.transport.request_reader import (
    SERVICE_PREFIX,
    BadRequest,
    RequestReader,
)
from egretdale.transport.stopping import StoppingRequests
from egretdale.util.logs import get_logger

logger = get_logger(__name__)

#: The WSGI callable that starts a response.
StartResponse = Callable[..., Any]

_COMPLETION_PATHS = frozenset(('/v1/chat/completions', '/v1/completions'))
_HOSTS_PATH = '/v1/hosts'
_JSON = 'application/json'
_MAXIMUM_KEYS = 16
_DEFAULT_KEYS = 4
_LIFETIME_JITTER = 0.2


class ActiveRequests:
    """Counts the requests that are in progress on this host.

    :ivar count: number of requests in progress.
    """

    __slots__ = ('_node', 'count')

    def __init__(self, node: Node) -> None:
        """Start at zero.

        :param node: coordination components of this host.
        """
        self.count = 0
        self._node = node

    def enter(self) -> None:
        """Count a request that has started."""
        self.count += 1
        self._publish()

    def leave(self) -> None:
        """Count a request that has ended."""
        self.count -= 1
        self._publish()

    def _publish(self) -> None:
        self._node.metrics.in_progress.set(self.count)


class CallerInterface:
    """Serves requests of callers.

    :ivar active: requests in progress.
    :ivar stopping: the requests during a shutdown.
    """

    __slots__ = ('_node', '_reader', '_refusals', 'active', 'stopping')

    def __init__(self, node: Node, refusals: RefusalRegistry) -> None:
        """Create the interface.

        :param node: coordination components of this host.
        :param refusals: registry of refusals.
        """
        self._node = node
        self._refusals = refusals
        self._reader = RequestReader(node.settings, refusals)
        self.active = ActiveRequests(node)
        self.stopping = StoppingRequests(node.dependencies.clock)

    def handles(self, path: str) -> bool:
        """Return whether this interface serves a path.

        :param path: path of a request.
        :return: true for paths of callers.
        """
        return (
            path == _HOSTS_PATH
            or path in _COMPLETION_PATHS
            or path.startswith(SERVICE_PREFIX)
        )

    def serve(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        """Serve one request.

        :param environ: WSGI environment.
        :param start_response: WSGI callable.
        :return: chunks of the response.
        """
        if environ['PATH_INFO'] == _HOSTS_PATH:
            return self._serve_hosts(environ, start_response)
        self.active.enter()
        request_id = self._node.request_ids.create()
        request = self._reader.read(environ, request_id)
        if isinstance(request, BadRequest):
            refused = Refused(request.reason, Ran.NO, detail=request.detail)
            unparsed = CallerRequest(request_id, '', '', '')
            return self._refuse(start_response, unparsed, Refusal(refused))
        reply = self._route(request)
        match reply:
            case Refusal():
                return self._refuse(start_response, request, reply)
            case BufferedReply():
                return self._send_buffered(start_response, request, reply)
            case StreamReply():
                return self._send_stream(start_response, request, reply)

    def _route(
        self, request: CallerRequest
    ) -> BufferedReply | StreamReply | Refusal:
        if self.stopping.is_closed():
            return Refusal(self.stopping.refuse())
        try:
            with self.stopping.interrupt():
                return self._node.router.route(request)
        except HostStopped as stopped:
            return Refusal(
                Refused(
                    Reason.OUTCOME_UNKNOWN, Ran.UNKNOWN, detail=str(stopped)
                )
            )

    def _serve_hosts(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        hosts_response = self._list_hosts(environ)
        body = msgspec.json.encode(hosts_response)
        start_response(
            '200 OK',
            [
                ('Content-Type', _JSON),
                ('Content-Length', str(len(body))),
                ('Cache-Control', f'max-age={int(hosts_response.keep_s)}'),
                *self._list_connection_headers(),
            ],
        )
        return [body]

    def _list_hosts(self, environ: dict[str, Any]) -> HostsResponse:
        if self._node.is_isolated():
            return HostsResponse((), float(0), ())
        query = parse_qs(environ.get('QUERY_STRING', ''))
        data_centre = query.get('data_centre', [''])[0]
        hosts = order_hosts(
            self._node.table.list_serving(),
            data_centre or self._node.settings.data_centre,
            query.get('organisation', [''])[0],
        )
        keys_text = query.get('keys', [''])[0]
        wanted = int(keys_text) if keys_text.isdigit() else _DEFAULT_KEYS
        count = min(wanted, _MAXIMUM_KEYS)
        if self._node.membership.is_leaving():
            count = 0
        keys = tuple(self._node.issuer.issue() for _ in range(count))
        lifetime_s = self._node.settings.answer_lifetime_s
        jitter = self._node.dependencies.source.uniform(0, _LIFETIME_JITTER)
        return HostsResponse(hosts, round(lifetime_s * (1 - jitter), 3), keys)

    def _refuse(
        self,
        start_response: StartResponse,
        request: CallerRequest,
        refusal: Refusal,
    ) -> Iterable[bytes]:
        response = self._refusals.record_refusal(request, refusal)
        start_response(
            response.status,
            [
                *response.headers,
                ('Content-Length', str(len(response.body))),
                *self._list_connection_headers(),
            ],
        )
        self.active.leave()
        return [response.body]

    def _send_buffered(
        self,
        start_response: StartResponse,
        request: CallerRequest,
        reply: BufferedReply,
    ) -> Iterable[bytes]:
        start_response(
            f'{reply.status} ',
            [
                *reply.headers,
                ('Content-Length', str(len(reply.body))),
                ('Egret-Request-Id', request.request_id),
                *self._list_connection_headers(),
            ],
        )
        self.active.leave()
        return [reply.body]

    def _send_stream(
        self,
        start_response: StartResponse,
        request: CallerRequest,
        reply: StreamReply,
    ) -> Iterable[bytes]:
        start_response(
            f'{reply.status} ',
            [
                *reply.headers,
                ('Egret-Request-Id', request.request_id),
                ('Egret-Stream', _create_token(reply)),
                *self._list_connection_headers(),
            ],
        )
        return StreamBody(self, request, reply)

    def encode_failure(self, request: CallerRequest, refused: Refused) -> bytes:
        """Encode the failure of a stream as its last event.

        :param request: the request.
        :param refused: why the stream ends early.
        :return: an event named ``error``.
        """
        response = self._refusals.record_refusal(request, Refusal(refused))
        return b'event: error\ndata: %b\n\n' % response.body

    def _list_connection_headers(self) -> list[tuple[str, str]]:
        # During shutdown, callers must not reuse their connections.
        if self._node.membership.is_leaving():
            return [('Connection', 'close')]
        return []


class StreamBody:
    """Iterates over a stream; closed early if the caller disconnects."""

    __slots__ = ('_ended', '_interface', '_reply', '_request', '_token')

    def __init__(
        self,
        interface: CallerInterface,
        request: CallerRequest,
        reply: StreamReply,
    ) -> None:
        """Wrap a stream.

        :param interface: the interface that serves the request.
        :param request: the request.
        :param reply: the stream.
        """
        self._interface = interface
        self._request = request
        self._reply = reply
        self._ended = False
        self._token = _create_token(reply)

    def __iter__(self) -> Iterator[bytes]:
        """Iterate over the chunks."""
        return self

    def __next__(self) -> bytes:
        """Return the next chunk."""
        if self._ended:
            raise StopIteration
        chunk = self._reply.read()
        if chunk is not None:
            return self._announce_token() + chunk
        self._ended = True
        outcome = self._reply.outcome
        if isinstance(outcome, Refused):
            return self._interface.encode_failure(self._request, outcome)
        raise StopIteration

    def _announce_token(self) -> bytes:
        token = _create_token(self._reply)
        if token == self._token:
            return b''
        self._token = token
        # An SSE comment; callers that resume streams look for it.
        return f': egret-stream {token}\n\n'.encode()

    def close(self) -> None:
        """Stop the stream if it is still running."""
        if not self._ended:
            self._reply.abandon()
        self._ended = True
        self._interface.active.leave()


def _create_token(reply: StreamReply) -> str:
    return encode_stream_token(StreamToken(reply.backend, reply.stream_id))
