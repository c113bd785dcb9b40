"""Parsing of requests of callers."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

import eventlet

from egretdale.config import Settings
from egretdale.coordination.requests import CallerRequest, Continuation
from egretdale.errors import Invalid
from egretdale.protocol.completions import (
    estimate_tokens,
    hash_prefix,
    parse_completion,
)
from egretdale.protocol.tokens import decode_stream_token
from egretdale.state.outcomes import Reason
from egretdale.transport.refusals import RefusalRegistry
from egretdale.transport.request_bodies import (
    BODY_ERRORS,
    BodyFault,
    BodyReader,
)
from egretdale.util.hashing import hash_text

SERVICE_PREFIX = '/services/'

_MAXIMUM_HEADER_LENGTH = 256
_FORWARDED_HEADERS = ('CONTENT_TYPE', 'HTTP_ACCEPT', 'HTTP_ACCEPT_LANGUAGE')


@dataclass(slots=True, frozen=True)
class BadRequest:
    """A request that cannot be parsed.

    :ivar reason: reason for the refusal.
    :ivar detail: human-readable explanation.
    """

    reason: Reason
    detail: str


class RequestReader:
    """Reads and parses requests within the configured limits."""

    __slots__ = ('_refusals', '_settings')

    def __init__(self, settings: Settings, refusals: RefusalRegistry) -> None:
        """Create a reader.

        :param settings: settings of this host.
        :param refusals: registry of refusals, to recognise retries.
        """
        self._settings = settings
        self._refusals = refusals

    def read(
        self, environ: dict[str, Any], request_id: str
    ) -> CallerRequest | BadRequest:
        """Read a request with its body.

        :param environ: WSGI environment.
        :param request_id: ID of the request.
        :return: the request, or why it cannot be parsed.
        """
        body = self._read_body(environ)
        if isinstance(body, BadRequest):
            return body
        path = environ['PATH_INFO']
        request = CallerRequest(
            request_id,
            environ.get('HTTP_EGRET_SERVICE', ''),
            environ['REQUEST_METHOD'],
            path,
            tuple(_list_forwarded(environ)),
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
            request.returning = self._refusals.is_timely_retry(
                refusal_id, request
            )
        return self._read_continuation(environ, request) or request

    def _read_target(
        self, environ: dict[str, Any], request: CallerRequest
    ) -> BadRequest | None:
        for name in ('service', 'class_name', 'organisation', 'key'):
            if len(getattr(request, name)) > _MAXIMUM_HEADER_LENGTH:
                return BadRequest(Reason.BAD_REQUEST, f'{name} is too long')
        path = request.path
        query = environ.get('QUERY_STRING', '')
        if path.startswith(SERVICE_PREFIX):
            service, _, rest = path.removeprefix(SERVICE_PREFIX).partition('/')
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
                Reason.BAD_REQUEST, 'Egret-Stream or Last-Event-ID is invalid'
            )
        request.continuation = Continuation(
            token.backend, token.stream_id, int(last_event)
        )
        return None

    def _read_body(self, environ: dict[str, Any]) -> bytes | BadRequest:
        limit = self._settings.maximum_body_bytes
        connection = environ['egretdale.connection']
        reader = BodyReader(
            connection.reader, environ['eventlet.input'], connection.holding
        )
        try:
            with eventlet.Timeout(self._settings.body_timeout_s):
                body = reader.read(limit)
        except eventlet.Timeout:
            return BadRequest(
                Reason.BAD_REQUEST, 'timeout while reading the body'
            )
        except BODY_ERRORS as error:
            return BadRequest(
                Reason.BAD_REQUEST, f'cannot read the body: {error}'
            )
        match body:
            case BodyFault.TOO_LARGE:
                detail = f'the body is longer than {limit} bytes'
                return BadRequest(Reason.TOO_LARGE, detail)
            case BodyFault.NO_MEMORY:
                return BadRequest(Reason.HOST_FULL, 'no memory for the body')
            case BodyFault.INCOMPLETE:
                return BadRequest(Reason.BAD_REQUEST, 'the body is incomplete')
        return body


def _list_forwarded(environ: dict[str, Any]) -> list[tuple[str, str]]:
    forwarded = []
    for name in _FORWARDED_HEADERS:
        text = environ.get(name)
        if text:
            header = name.removeprefix('HTTP_').replace('_', '-').title()
            forwarded.append((header, text))
    return forwarded
