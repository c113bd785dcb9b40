"""Routes requests from their arrival to their outcome."""

from __future__ import annotations

from collections.abc import Callable

from egretdale.coordination.attempts import (
    Attempt,
    AttemptManager,
    RequestState,
)
from egretdale.coordination.claims import ClaimClient
from egretdale.coordination.keys import ClaimVerdict
from egretdale.coordination.ports import EndOfStream, MaybeRun
from egretdale.coordination.replica import DocumentReplica
from egretdale.coordination.requests import (
    BufferedReply,
    CallerRequest,
    Continuation,
    Refusal,
    StreamReply,
)
from egretdale.coordination.stream_relay import StreamRelay
from egretdale.state.documents import RequestClass, ServiceDocument
from egretdale.state.members import MemberStatus, MemberTable
from egretdale.state.queries import ClaimAsk, ClaimReply
from egretdale.state.metrics import DaemonMetrics
from egretdale.state.outcomes import Ran, Reason, Refused
from egretdale.util.logs import get_logger

logger = get_logger(__name__)

_KEY_RETRY_S = 5.0
_MAXIMUM_BUFFERED_BYTES = 1 << 24
_SERVER_ERROR = 500

#: Returns why this host may not serve a service, ``None`` if it may.
Guard = Callable[[str], Refused | None]


class Router:
    """Routes requests of callers to backend servers.

    :ivar attempts: manager of the attempts on backend servers.
    """

    __slots__ = (
        '_claims',
        '_guard',
        '_metrics',
        '_replica',
        '_table',
        'attempts',
    )

    def __init__(
        self,
        *,
        replica: DocumentReplica,
        attempts: AttemptManager,
        claims: ClaimClient,
        table: MemberTable,
        metrics: DaemonMetrics,
        guard: Guard,
    ) -> None:
        """Create a router.

        :param replica: service documents in force.
        :param attempts: manager of the attempts on backend servers.
        :param claims: claims on idempotency keys.
        :param table: view of the entry hosts.
        :param metrics: metrics.
        :param guard: returns why this host may not serve a service.
        """
        self.attempts = attempts
        self._replica = replica
        self._claims = claims
        self._table = table
        self._metrics = metrics
        self._guard = guard

    def route(
        self, request: CallerRequest
    ) -> BufferedReply | StreamReply | Refusal:
        """Route a request.

        :param request: the request.
        :return: its complete response, a running stream, or a refusal.
        """
        state = self._admit(request)
        if isinstance(state, Refused):
            return self._refuse(request, None, state)
        refused = self._claim(state)
        if refused is not None:
            return self._refuse(request, state, refused)
        if request.continuation is None:
            reply = self._try_backends(state)
        else:
            reply = self._resume(state, request.continuation)
        if isinstance(reply, Refused):
            self.attempts.settle_claim(state, ran=state.may_have_run)
            return self._refuse(request, state, reply)
        return reply

    # Admission

    def _admit(self, request: CallerRequest) -> RequestState | Refused:
        refused = self._guard(request.service)
        if refused is not None:
            return refused
        active_document = self._replica.find(request.service)
        if active_document is None:
            return Refused(
                Reason.NO_DOCUMENT,
                Ran.NO,
                detail=f'there is no document for service {request.service!r}',
            )
        document = active_document.document
        request_class = _find_class(document, request)
        if request_class is None:
            names = ', '.join(entry.name for entry in document.classes)
            return Refused(
                Reason.UNKNOWN_CLASS,
                Ran.NO,
                detail=f'classes are {names}',
            )
        if not active_document.may_use(request.organisation):
            return Refused(
                Reason.UNKNOWN_ORGANISATION,
                Ran.NO,
                detail=f'{request.organisation!r} may not use the service',
            )
        return RequestState(
            request,
            active_document,
            request_class,
            self.attempts.clock(),
            document.is_idempotent(request.method, request.path),
        )

    def _claim(self, state: RequestState) -> Refused | None:
        request = state.request
        if not request.key or state.idempotent:
            return None
        claim_ask = ClaimAsk(
            request.key,
            request.request_id,
            self._table.own_host,
            request.fingerprint,
        )
        reply = self._claims.claim(claim_ask)
        if reply.verdict == ClaimVerdict.RUN:
            state.claim = claim_ask
            return None
        return self._convert_claim(reply)

    def _convert_claim(self, reply: ClaimReply) -> Refused:
        match reply.verdict:
            case ClaimVerdict.RUNNING if self._is_present(reply.host):
                return Refused(
                    Reason.ALREADY_RUNNING,
                    Ran.UNKNOWN,
                    _KEY_RETRY_S,
                    f'an earlier request with this key runs on {reply.host}',
                )
            case ClaimVerdict.RAN:
                return Refused(
                    Reason.ANSWER_NOT_KEPT,
                    Ran.YES,
                    detail='an earlier request with this key has already run',
                )
            case ClaimVerdict.REUSED:
                return Refused(
                    Reason.KEY_REUSED,
                    Ran.NO,
                    detail='the key was used for a different request',
                )
            case ClaimVerdict.UNAVAILABLE:
                return Refused(
                    Reason.KEY_STORE_UNAVAILABLE,
                    Ran.NO,
                    _KEY_RETRY_S,
                    'the platform is unavailable; the request was not run',
                )
        return Refused(
            Reason.OUTCOME_UNKNOWN,
            Ran.UNKNOWN,
            detail='no host knows whether a request with this key has run',
        )

    def _is_present(self, host: str) -> bool:
        member = self._table.find(host)
        return member is not None and member.status != MemberStatus.GONE

    # Attempts

    def _try_backends(
        self, state: RequestState
    ) -> BufferedReply | StreamReply | Refused:
        while True:
            attempt = self.attempts.start(state)
            if isinstance(attempt, Refused):
                return attempt
            if isinstance(attempt, Attempt):
                reply = self._deliver(state, attempt)
                if reply is not None:
                    return reply
            refused = self.attempts.check_retry(state, started=False)
            if refused is not None:
                return refused

    def _resume(
        self, state: RequestState, continuation: Continuation
    ) -> StreamReply | Refused:
        state.may_have_run = True
        attempt = self.attempts.take_over_stream(state, continuation)
        if isinstance(attempt, Refused):
            return attempt
        relay = StreamRelay(self.attempts, state, attempt, continuation.after)
        reply = relay.start()
        if reply is None:
            return Refused(
                Reason.STREAM_LOST, Ran.YES, detail='the resumed stream broke'
            )
        return reply

    def _deliver(
        self, state: RequestState, attempt: Attempt
    ) -> BufferedReply | StreamReply | None:
        succeeded = attempt.stream.status < _SERVER_ERROR
        if state.request.streams and succeeded:
            return StreamRelay(self.attempts, state, attempt).start()
        return self._read_buffered(state, attempt)

    def _read_buffered(
        self, state: RequestState, attempt: Attempt
    ) -> BufferedReply | None:
        body = bytearray()
        while len(body) <= _MAXIMUM_BUFFERED_BYTES:
            chunk = attempt.stream.read()
            match chunk:
                case EndOfStream():
                    return self._finish_buffered(state, attempt, bytes(body))
                case MaybeRun(detail=detail):
                    self.attempts.count_wasted_tokens(state, 'engine-failed', 1)
                    self.attempts.fail(state, attempt, detail)
                    return None
            if attempt.active.first_token_at is None:
                attempt.active.first_token_at = self.attempts.clock()
            body += chunk
        self.attempts.fail(state, attempt, 'the response is too large')
        return None

    def _finish_buffered(
        self, state: RequestState, attempt: Attempt, body: bytes
    ) -> BufferedReply:
        self.attempts.finish(state, attempt, 1)
        stream = attempt.stream
        return BufferedReply(stream.status, stream.headers, body)

    def _refuse(
        self,
        request: CallerRequest,
        state: RequestState | None,
        refused: Refused,
    ) -> Refusal:
        active_document = self._replica.find(request.service)
        class_name = request.class_name
        revision = active_document.revision if active_document else 0
        if state is not None:
            class_name = state.request_class.name
            revision = state.active_document.revision
        self._metrics.refused.labels(
            request.service if active_document else '',
            class_name if state else '',
            refused.reason,
            refused.ran,
        ).inc()
        logger.info(
            'refused',
            request=request.request_id,
            request_class=class_name,
            organisation=request.organisation,
            reason=refused.reason,
            ran=refused.ran,
            retry_after_s=refused.retry_after_s,
            detail=refused.detail,
            revision=revision,
        )
        return Refusal(refused, class_name, revision)


def _find_class(
    document: ServiceDocument, request: CallerRequest
) -> RequestClass | None:
    if request.class_name:
        return document.find_class(request.class_name)
    return document.match_class(request.method, request.path)
