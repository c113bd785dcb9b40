"""The HTTP interface of callers."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass
from typing import Any
from urllib.parse import parse_qs

import eventlet
import msgspec

from egretdale.coordination.node import Node
from egretdale.coordination.requests import (
    CallerRequest,
    Continuation,
    Refusal,
    StreamReply,
    WholeReply,
)
from egretdale.errors import Invalid
from egretdale.protocol.completions import (
    estimate_tokens,
    hash_prefix,
    parse_completion,
)
from egretdale.protocol.hosts import HostsAnswer, order_hosts
from egretdale.protocol.tokens import (
    StreamToken,
    decode_stream_token,
    encode_stream_token,
)
from egretdale.state.outcomes import Ran, Reason, Refused
from egretdale.transport.refusals import RefusalBook
from egretdale.util.hashing import hash_text
from egretdale.util.logs import get_logger

logger = get_logger(__name__)

#: The WSGI callable that starts a response.
StartResponse = Callable[..., Any]

_COMPLETION_PATHS = frozenset(('/v1/chat/completions', '/v1/completions'))
_SERVICE_PREFIX = '/services/'
_HOSTS_PATH = '/v1/hosts'
_JSON = 'application/json'
_MAXIMUM_KEYS = 16
_DEFAULT_KEYS = 4
_MAXIMUM_HEADER = 256
_LIFETIME_JITTER = 0.2
_PASSED_HEADERS = ('CONTENT_TYPE', 'HTTP_ACCEPT', 'HTTP_ACCEPT_LANGUAGE')


@dataclass(slots=True, frozen=True)
class BadRequest:
    """A request that cannot be understood.

    :ivar reason: why.
    :ivar detail: sentence for a person.
    """

    reason: Reason
    detail: str


class ActiveRequests:
    """Counts the requests that are in progress on this host.

    :ivar count: requests.
    """

    __slots__ = ('_node', 'count')

    def __init__(self, node: Node) -> None:
        """Start at zero.

        :param node: parts of this host.
        """
        self.count = 0
        self._node = node

    def enter(self) -> None:
        """Count a request that begins."""
        self.count += 1
        self._publish()

    def leave(self) -> None:
        """Count a request that has ended."""
        self.count -= 1
        self._publish()

    def _publish(self) -> None:
        self._node.figures.in_progress.set(self.count)


class CallerInterface:
    """Serves callers.

    :ivar active: requests in progress.
    """

    __slots__ = ('_node', '_refusals', 'active')

    def __init__(self, node: Node, refusals: RefusalBook) -> None:
        """Create the interface.

        :param node: parts of this host.
        :param refusals: records of refusals.
        """
        self._node = node
        self._refusals = refusals
        self.active = ActiveRequests(node)

    def handles(self, path: str) -> bool:
        """Tell whether a path belongs to this interface.

        :param path: path of a request.
        :return: whether it does.
        """
        return (
            path == _HOSTS_PATH
            or path in _COMPLETION_PATHS
            or path.startswith(_SERVICE_PREFIX)
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
        request_id = self._node.numbers.create()
        request = self._read_request(environ, request_id)
        if isinstance(request, BadRequest):
            refused = Refused(request.reason, Ran.NO, detail=request.detail)
            blank = CallerRequest(request_id, '', '', '')
            return self._refuse(start_response, blank, Refusal(refused))
        reply = self._node.router.route(request)
        match reply:
            case Refusal():
                return self._refuse(start_response, request, reply)
            case WholeReply():
                return self._send_whole(start_response, request, reply)
            case StreamReply():
                return self._send_stream(start_response, request, reply)

    # Reading

    def _read_request(
        self, environ: dict[str, Any], request_id: str
    ) -> CallerRequest | BadRequest:
        body = self._read_body(environ)
        if isinstance(body, BadRequest):
            return body
        path = environ['PATH_INFO']
        request = CallerRequest(
            request_id,
            environ.get('HTTP_EGRET_SERVICE', ''),
            environ['REQUEST_METHOD'],
            path,
            tuple(_list_passed(environ)),
            body,
            environ.get('HTTP_EGRET_CLASS', ''),
            environ.get('HTTP_EGRET_ORGANISATION', ''),
            environ.get('HTTP_IDEMPOTENCY_KEY', ''),
        )
        problem = self._read_target(environ, request)
        if problem is not None:
            return problem
        text = f'{request.method} {request.path}'
        request.fingerprint = hash_text(f'{text} {body!r}') >> 1
        refusal_id = environ.get('HTTP_EGRET_RETRY_OF', '')
        if refusal_id:
            request.returning = self._refusals.is_due(refusal_id, request)
        return self._read_continuation(environ, request) or request

    def _read_target(
        self, environ: dict[str, Any], request: CallerRequest
    ) -> BadRequest | None:
        for name in ('service', 'class_name', 'organisation', 'key'):
            if len(getattr(request, name)) > _MAXIMUM_HEADER:
                return BadRequest(Reason.BAD_REQUEST, f'{name} is too long')
        path = request.path
        query = environ.get('QUERY_STRING', '')
        if path.startswith(_SERVICE_PREFIX):
            service, _, rest = path.removeprefix(_SERVICE_PREFIX).partition('/')
            request.service = service
            request.path = f'/{rest}'
            if query:
                request.path = f'{request.path}?{query}'
            return None
        if request.method != 'POST':
            return BadRequest(Reason.BAD_REQUEST, 'the method must be POST')
        return self._read_completion(request)

    def _read_completion(self, request: CallerRequest) -> BadRequest | None:
        completion = parse_completion(request.body)
        if isinstance(completion, Invalid):
            return BadRequest(
                Reason.BAD_REQUEST, f'{completion.path}: {completion.message}'
            )
        prompt = completion.read_input()
        request.service = request.service or completion.model
        request.streams = completion.stream
        request.maximum_tokens = completion.max_tokens
        request.prompt_tokens = estimate_tokens(prompt)
        request.prefix = hash_prefix(prompt)
        return None

    def _read_continuation(
        self, environ: dict[str, Any], request: CallerRequest
    ) -> BadRequest | None:
        token_text = environ.get('HTTP_EGRET_STREAM', '')
        if not token_text:
            return None
        token = decode_stream_token(token_text)
        last_event = environ.get('HTTP_LAST_EVENT_ID', '0')
        if isinstance(token, Invalid) or not last_event.isdigit():
            return BadRequest(
                Reason.BAD_REQUEST, 'Egret-Stream or Last-Event-ID is wrong'
            )
        request.continuation = Continuation(
            token.backend, token.stream_id, int(last_event)
        )
        return None

    def _read_body(self, environ: dict[str, Any]) -> bytes | BadRequest:
        limit = self._node.settings.maximum_body_bytes
        length_text = environ.get('CONTENT_LENGTH') or ''
        length = int(length_text) if length_text.isdigit() else None
        if length is not None and length > limit:
            return _refuse_large(limit)
        reader = environ['wsgi.input']
        try:
            with eventlet.Timeout(self._node.settings.body_timeout_s):
                body = reader.read(limit + 1 if length is None else length)
        except eventlet.Timeout:
            return BadRequest(Reason.BAD_REQUEST, 'the body came too slowly')
        except (OSError, ValueError) as broken:
            return BadRequest(Reason.BAD_REQUEST, f'the body broke: {broken}')
        if length is not None and len(body) < length:
            return BadRequest(Reason.BAD_REQUEST, 'the body was cut short')
        if len(body) > limit:
            return _refuse_large(limit)
        return body

    # Writing

    def _serve_hosts(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        hosts_answer = self._answer_hosts(environ)
        answer = msgspec.json.encode(hosts_answer)
        start_response(
            '200 OK',
            [
                ('Content-Type', _JSON),
                ('Content-Length', str(len(answer))),
                ('Cache-Control', f'max-age={int(hosts_answer.keep_s)}'),
                *self._list_connection_headers(),
            ],
        )
        return [answer]

    def _answer_hosts(self, environ: dict[str, Any]) -> HostsAnswer:
        if self._node.is_isolated():
            return HostsAnswer((), float(0), ())
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
        shorter = self._node.surroundings.source.uniform(0, _LIFETIME_JITTER)
        return HostsAnswer(hosts, round(lifetime_s * (1 - shorter), 3), keys)

    def _refuse(
        self,
        start_response: StartResponse,
        request: CallerRequest,
        refusal: Refusal,
    ) -> Iterable[bytes]:
        answer = self._refusals.write(request, refusal)
        start_response(
            answer.status,
            [
                *answer.headers,
                ('Content-Length', str(len(answer.body))),
                *self._list_connection_headers(),
            ],
        )
        self.active.leave()
        return [answer.body]

    def _send_whole(
        self,
        start_response: StartResponse,
        request: CallerRequest,
        reply: WholeReply,
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

    def describe_failure(
        self, request: CallerRequest, refused: Refused
    ) -> bytes:
        """Describe a stream that ends early as its last event.

        :param request: the request.
        :param refused: why it ends.
        :return: an event named ``error``.
        """
        answer = self._refusals.write(request, Refusal(refused))
        return b'event: error\ndata: %b\n\n' % answer.body

    def _list_connection_headers(self) -> list[tuple[str, str]]:
        # While this host stops, no caller should send on a kept connection.
        if self._node.membership.is_leaving():
            return [('Connection', 'close')]
        return []


class StreamBody:
    """The chunks of a stream, closed when the caller goes."""

    __slots__ = ('_ended', '_interface', '_reply', '_request', '_token')

    def __init__(
        self,
        interface: CallerInterface,
        request: CallerRequest,
        reply: StreamReply,
    ) -> None:
        """Wrap a stream.

        :param interface: interface that counts the request.
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
            return self._announce_move() + chunk
        self._ended = True
        outcome = self._reply.outcome
        if isinstance(outcome, Refused):
            return self._interface.describe_failure(self._request, outcome)
        raise StopIteration

    def _announce_move(self) -> bytes:
        token = _create_token(self._reply)
        if token == self._token:
            return b''
        self._token = token
        # A comment; callers that resume streams look for it.
        return f': egret-stream {token}\n\n'.encode()

    def close(self) -> None:
        """Stop the stream if it still runs."""
        if not self._ended:
            self._reply.abandon()
        self._ended = True
        self._interface.active.leave()


def _create_token(reply: StreamReply) -> str:
    return encode_stream_token(StreamToken(reply.backend, reply.stream_id))


def _list_passed(environ: dict[str, Any]) -> list[tuple[str, str]]:
    passed = []
    for name in _PASSED_HEADERS:
        text = environ.get(name)
        if text:
            header = name.removeprefix('HTTP_').replace('_', '-').title()
            passed.append((header, text))
    return passed


def _refuse_large(limit: int) -> BadRequest:
    return BadRequest(
        Reason.TOO_LARGE, f'the body is longer than {limit} bytes'
    )
