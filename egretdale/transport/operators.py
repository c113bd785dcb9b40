"""HTTP interface for operators."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any

import msgspec
from prometheus_client import CONTENT_TYPE_LATEST, generate_latest

from egretdale.coordination.node import Node
from egretdale.coordination.submission import (
    Accepted,
    Outdated,
    Submission,
    Undecided,
)
from egretdale.errors import Invalid, Missing, Unreachable
from egretdale.protocol.operators import (
    DocumentResponse,
    Explanation,
    HistoryResponse,
    HostStatus,
    MemberStatusLine,
    StatusResponse,
    SubmitBody,
    SubmitResponse,
)
from egretdale.state.identity import decode_refusal
from egretdale.state.members import MemberStatus
from egretdale.transport.refusals import RefusalRegistry
from egretdale.util.json_text import decode_json

#: The WSGI callable that starts a response.
StartResponse = Callable[..., Any]

_JSON = 'application/json'
_MAXIMUM_BODY = 1024 * 1024
_NOT_FOUND = '404 Not Found'
_BAD_REQUEST = '400 Bad Request'
_OK = '200 OK'


class Response(msgspec.Struct, frozen=True):
    """A response to an operator.

    :ivar status: status line.
    :ivar body: encoded body.
    :ivar content_type: media type.
    """

    status: str
    body: bytes
    content_type: str = _JSON


class OperatorInterface:
    """Serves requests of operators."""

    __slots__ = ('_node', '_on_drain', '_refusals')

    def __init__(
        self,
        node: Node,
        refusals: RefusalRegistry,
        on_drain: Callable[[], None],
    ) -> None:
        """Create the interface.

        :param node: coordination components of this host.
        :param refusals: registry of refusals.
        :param on_drain: starts a graceful shutdown.
        """
        self._node = node
        self._refusals = refusals
        self._on_drain = on_drain

    def serve(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        """Serve one request.

        :param environ: WSGI environment.
        :param start_response: WSGI callable.
        :return: chunks of the response.
        """
        response = self._respond(environ)
        start_response(
            response.status,
            [
                ('Content-Type', response.content_type),
                ('Content-Length', str(len(response.body))),
            ],
        )
        return [response.body]

    def _respond(self, environ: dict[str, Any]) -> Response:
        method = environ['REQUEST_METHOD']
        parts = environ['PATH_INFO'].removeprefix('/v1').strip('/').split('/')
        match [method, *parts]:
            case ['GET', 'metrics']:
                self._refresh_gauges()
                body = generate_latest(self._node.metrics.registry)
                return Response(_OK, body, CONTENT_TYPE_LATEST)
            case ['GET', 'health']:
                return Response(_OK, b'{"healthy":true}')
            case ['GET', 'status']:
                return _encode(self._describe_status())
            case ['POST', 'drain']:
                self._on_drain()
                return Response('202 Accepted', b'{}')
            case ['GET', 'explain', refusal_id]:
                return self._explain(refusal_id)
            case ['GET', 'documents', service]:
                return self._show_document(service)
            case ['GET', 'documents', service, 'history']:
                return self._show_history(service)
            case ['POST', 'documents', service]:
                return self._submit(environ, service, settle_only=False)
            case ['POST', 'documents', service, 'settle']:
                return self._submit(environ, service, settle_only=True)
        return _fail(_NOT_FOUND, Invalid('path', 'no such resource'))

    def _refresh_gauges(self) -> None:
        metrics = self._node.metrics
        for gauge in (metrics.waiting, metrics.slots, metrics.busy):
            gauge.clear()
        for allocator in self._node.allocators.list_allocators():
            group = allocator.group
            metrics.waiting.labels(group).set(allocator.count_waiting())
            metrics.slots.labels(group).set(allocator.pool.count_slots(0))
            metrics.busy.labels(group).set(allocator.pool.count_busy())

    def _describe_status(self) -> StatusResponse:
        own = self._node.membership.own
        members = tuple(
            MemberStatusLine(
                member.update.host,
                MemberStatus(member.update.status).name.lower(),
                member.update.data_centre,
                member.update.caller_address,
                member.update.incarnation,
                member.update.load,
            )
            for member in self._node.table.list_members()
        )
        revisions = {
            revision.service_name: revision.number
            for revision in self._node.replica.list_revisions()
        }
        groups = {
            allocator.group: allocator.count_waiting()
            for allocator in self._node.allocators.list_allocators()
        }
        status = HostStatus(
            own.host,
            own.incarnation,
            self._node.membership.is_leaving(),
            self._node.is_isolated(),
            revisions,
            groups,
        )
        return StatusResponse(status, members)

    def _explain(self, refusal_id: str) -> Response:
        record = decode_refusal(refusal_id)
        if isinstance(record, Invalid):
            return _fail(_BAD_REQUEST, record)
        detail = self._refusals.find_detail(refusal_id)
        return _encode(Explanation(record, detail))

    def _show_document(self, service: str) -> Response:
        held = self._node.replica.find(service)
        if held is None:
            return _fail(_NOT_FOUND, Invalid('service', 'has no document'))
        return _encode(DocumentResponse(service, held.revision, held.source))

    def _show_history(self, service: str) -> Response:
        history = self._node.documents.read_history(service)
        match history:
            case Missing():
                return _fail(_NOT_FOUND, Invalid('service', 'has no document'))
            case Unreachable(detail=detail):
                return _fail(
                    '503 Service Unavailable', Invalid('platform', detail)
                )
        return _encode(HistoryResponse(service, history))

    def _submit(
        self, environ: dict[str, Any], service: str, *, settle_only: bool
    ) -> Response:
        body = environ['wsgi.input'].read(_MAXIMUM_BODY)
        submitted = decode_json(body, SubmitBody)
        if isinstance(submitted, Invalid):
            return _fail(_BAD_REQUEST, submitted)
        submission = Submission(
            service,
            submitted.source,
            submitted.base_revision,
            submitted.nonce,
            submitted.author,
        )
        if settle_only:
            outcome = self._node.documents.settle(submission)
        else:
            outcome = self._node.documents.submit(submission)
        match outcome:
            case Accepted(revision=revision, superseded=superseded):
                if not superseded and submitted.source:
                    self._node.replica.accept(
                        service, revision, submitted.source
                    )
                return _encode(
                    SubmitResponse('accepted', revision, superseded=superseded)
                )
            case Outdated():
                return _encode(
                    SubmitResponse(
                        'outdated',
                        outcome.revision,
                        author=outcome.author,
                        source=outcome.source,
                    ),
                    '409 Conflict',
                )
            case Undecided(detail=detail):
                return _encode(
                    SubmitResponse('undecided', detail=detail), '202 Accepted'
                )
            case Invalid():
                return _fail('422 Unprocessable Content', outcome)
            case Unreachable(cause=cause, detail=detail):
                return _fail(
                    '503 Service Unavailable',
                    Invalid('platform', f'{cause} {detail}'),
                )


def _encode(body: msgspec.Struct, status: str = _OK) -> Response:
    return Response(status, msgspec.json.encode(body))


def _fail(status: str, problem: Invalid) -> Response:
    return Response(status, msgspec.json.encode(problem))
