"""The way of one request from its arrival to its outcome."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

import eventlet

from egretdale.coordination.backends import BackendDirectory
from egretdale.coordination.claims import ClaimDesk, ClaimVerdict
from egretdale.coordination.ports import (
    BackendCall,
    BackendClient,
    BackendStream,
    EndOfStream,
    MaybeRun,
    NotRun,
)
from egretdale.coordination.replica import DocumentReplica, InForce
from egretdale.coordination.requests import (
    CallerRequest,
    Refusal,
    StreamLog,
    StreamReply,
    WholeReply,
)
from egretdale.coordination.slots import Active, SlotClient, SlotDesk
from egretdale.state.documents import RequestClass
from egretdale.state.figures import Figures
from egretdale.state.members import MemberTable
from egretdale.state.messages import Ask, ClaimAsk, Denial
from egretdale.state.outcomes import Answered, Ran, Reason, Refused
from egretdale.util.buckets import TokenBucket
from egretdale.util.clocks import Clock, convert_to_seconds
from egretdale.util.logs import get_logger

logger = get_logger(__name__)

NOT_RUN_HEADER = 'egret-ran'

_MAXIMUM_ATTEMPTS = 4
_MAXIMUM_RECONNECTS = 2
_PAUSE_CHECK_S = 0.05
_RETRY_SHARE = 0.1
_RETRY_BURST = 10.0
_BRIEF_RETRY_S = 2.0
_KEY_RETRY_S = 5.0
_MAXIMUM_WHOLE_BYTES = 1 << 24
_SERVER_ERROR = 500

#: Builds the body that goes on after what a broken stream has delivered.
ContinueBody = Callable[[bytes, list[bytes], int], bytes | None]

#: Tells why this host may not serve a service, or ``None``.
Guard = Callable[[str], Refused | None]


@dataclass(slots=True)
class Route:
    """The state of one request on its way.

    :ivar request: the request.
    :ivar in_force: document that the decisions follow.
    :ivar request_class: class of the request.
    :ivar arrival: monotonic seconds of the arrival.
    :ivar idempotent: whether it may be run twice.
    :ivar claim: claim on its key, ``None`` without a key.
    :ivar avoided: backend servers that failed for it.
    :ivar attempts: attempts so far.
    :ivar may_have_run: whether any attempt may have run.
    """

    request: CallerRequest
    in_force: InForce
    request_class: RequestClass
    arrival: float
    idempotent: bool
    claim: ClaimAsk | None = None
    avoided: list[str] = field(default_factory=list)
    attempts: int = 0
    may_have_run: bool = False

    @property
    def ran(self) -> Ran:
        """What a refusal now would have to say."""
        return Ran.UNKNOWN if self.may_have_run else Ran.NO


@dataclass(slots=True)
class Attempt:
    """A running attempt at a backend server.

    :ivar active: the slot.
    :ivar client: client that the slot is given back to.
    :ivar stream: the response.
    :ivar address: ``address:port`` of the backend server.
    :ivar stream_id: identity of the attempt.
    """

    active: Active
    client: SlotClient
    stream: BackendStream
    address: str
    stream_id: str


class Router:
    """Routes requests of callers to backend servers."""

    __slots__ = (
        '_backends',
        '_claims',
        '_client',
        '_clock',
        '_continue_body',
        '_desk',
        '_figures',
        '_guard',
        '_replica',
        '_retry_budget',
        '_table',
    )

    def __init__(
        self,
        *,
        replica: DocumentReplica,
        backends: BackendDirectory,
        desk: SlotDesk,
        claims: ClaimDesk,
        client: BackendClient,
        table: MemberTable,
        figures: Figures,
        clock: Clock,
        guard: Guard,
        continue_body: ContinueBody,
    ) -> None:
        """Connect a router to its parts.

        :param replica: documents in force.
        :param backends: directory of backend servers.
        :param desk: slots.
        :param claims: claims on keys.
        :param client: calls to backend servers.
        :param table: view of the entry hosts.
        :param figures: metrics.
        :param clock: monotonic clock.
        :param guard: tells why this host may not serve.
        :param continue_body: builds the body that goes on with a stream.
        """
        self._replica = replica
        self._backends = backends
        self._desk = desk
        self._claims = claims
        self._client = client
        self._table = table
        self._figures = figures
        self._clock = clock
        self._guard = guard
        self._continue_body = continue_body
        self._retry_budget = TokenBucket(1, _RETRY_BURST, clock)

    def route(
        self, request: CallerRequest
    ) -> WholeReply | StreamReply | Refusal:
        """Route a request.

        :param request: the request.
        :return: its whole answer, a running stream, or a refusal.
        """
        route = self._open_route(request)
        if isinstance(route, Refused):
            return self._refuse(request, None, route)
        refused = self._claim(route)
        if refused is not None:
            return self._refuse(request, route, refused)
        reply = self._try_backends(route)
        if isinstance(reply, Refused):
            self._settle(route, ran=route.may_have_run)
            return self._refuse(request, route, reply)
        return reply

    # Checks before any backend server

    def _open_route(self, request: CallerRequest) -> Route | Refused:
        refused = self._guard(request.service)
        if refused is not None:
            return refused
        in_force = self._replica.find(request.service)
        if in_force is None:
            return Refused(
                Reason.NO_DOCUMENT,
                Ran.NO,
                detail=f'no document for service {request.service!r}',
            )
        document = in_force.document
        if request.class_name:
            request_class = document.find_class(request.class_name)
        else:
            request_class = document.match_class(request.method, request.path)
        if request_class is None:
            names = ', '.join(entry.name for entry in document.classes)
            return Refused(
                Reason.UNKNOWN_CLASS, Ran.NO, detail=f'classes are {names}'
            )
        if document.weigh_organisation(request.organisation) is None:
            return Refused(
                Reason.UNKNOWN_ORGANISATION,
                Ran.NO,
                detail=f'{request.organisation!r} may not use the service',
            )
        idempotent = document.is_idempotent(request.method, request.path)
        return Route(
            request, in_force, request_class, self._clock(), idempotent
        )

    def _claim(self, route: Route) -> Refused | None:
        request = route.request
        if not request.key or route.idempotent:
            return None
        question = ClaimAsk(
            request.key,
            request.request_id,
            self._table.own_host,
            request.fingerprint,
        )
        reply = self._claims.claim(question)
        match reply.verdict:
            case ClaimVerdict.RUN:
                route.claim = question
                return None
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
                    detail='an earlier request with this key has run',
                )
            case ClaimVerdict.REUSED:
                return Refused(
                    Reason.KEY_REUSED,
                    Ran.NO,
                    detail='the key belongs to another request',
                )
            case ClaimVerdict.UNAVAILABLE:
                return Refused(
                    Reason.KEY_STORE_UNAVAILABLE,
                    Ran.NO,
                    _KEY_RETRY_S,
                    'the platform does not answer; this request was not run',
                )
        return Refused(
            Reason.OUTCOME_UNKNOWN,
            Ran.UNKNOWN,
            detail='the host that decides on this key has gone',
        )

    def _is_present(self, host: str) -> bool:
        if host == self._table.own_host:
            return True
        reachable = self._table.list_reachable()
        return any(member.update.host == host for member in reachable)

    def _settle(self, route: Route, *, ran: bool) -> None:
        if route.claim is not None:
            self._claims.settle(route.claim, ran=ran)

    # Attempts

    def _try_backends(self, route: Route) -> WholeReply | StreamReply | Refused:
        self._retry_budget.charge(-_RETRY_SHARE)
        if route.request.continuation is not None:
            return self._continue_for_caller(route)
        while True:
            attempt = self._begin(route)
            if isinstance(attempt, Refused):
                return attempt
            if isinstance(attempt, Attempt):
                reply = self._deliver(route, attempt)
                if reply is not None:
                    return reply
            refused = self._check_retry(route)
            if refused is not None:
                return refused

    def _begin(self, route: Route) -> Attempt | Refused | None:
        groups = route.in_force.document.groups
        client = self._desk.choose(route.request.service, groups)
        ask = self._create_ask(route)
        patience_s = route.request_class.patience_s
        active = client.acquire(ask, route.arrival, patience_s)
        if isinstance(active, Denial):
            return _refuse_denied(active, route)
        return self._open(route, client, active, route.request.body)

    def _open(
        self,
        route: Route,
        client: SlotClient,
        active: Active,
        body: bytes,
    ) -> Attempt | None:
        backend = self._backends.find(active.backend)
        route.attempts += 1
        if backend is None:
            client.release(active, whole=False, failed=False)
            return None
        request = route.request
        stream_id = f'{request.request_id}.{route.attempts}'
        active.address = backend.address
        active.stream_id = stream_id
        call = BackendCall(
            stream_id,
            request.method,
            request.path,
            request.headers,
            body,
            route.request_class.tier,
            fresh=not route.idempotent,
        )
        stream = self._client.open(backend.address, call)
        match stream:
            case NotRun(detail=detail):
                self._note_failed(route, client, active, detail)
                return None
            case MaybeRun(detail=detail):
                route.may_have_run = True
                self._note_failed(route, client, active, detail)
                return None
        if _says_not_run(stream):
            stream.close()
            self._note_failed(route, client, active, 'said that it did not run')
            return None
        route.may_have_run = True
        return Attempt(active, client, stream, backend.address, stream_id)

    def _deliver(
        self, route: Route, attempt: Attempt
    ) -> WholeReply | StreamReply | None:
        stream = attempt.stream
        succeeded = stream.status < _SERVER_ERROR
        if route.request.streams and succeeded:
            relay = StreamRelay(self, route, attempt)
            return relay.start()
        return self._read_whole(route, attempt)

    def _read_whole(self, route: Route, attempt: Attempt) -> WholeReply | None:
        chunks: list[bytes] = []
        size = 0
        while True:
            chunk = attempt.stream.read()
            match chunk:
                case EndOfStream():
                    break
                case MaybeRun(detail=detail):
                    self.count_wasted(route, 'engine-failed', 1)
                    attempt.stream.close()
                    self._note_failed(
                        route, attempt.client, attempt.active, detail
                    )
                    return None
            if attempt.active.first_token_at is None:
                attempt.active.first_token_at = self._clock()
            chunks.append(chunk)
            size += len(chunk)
            if size > _MAXIMUM_WHOLE_BYTES:
                attempt.stream.close()
                self._note_failed(
                    route, attempt.client, attempt.active, 'answer too large'
                )
                return None
        attempt.client.release(attempt.active, whole=True, failed=False)
        self._settle(route, ran=True)
        self.note_answered(route, attempt.active, 1)
        body = b''.join(chunks)
        return WholeReply(attempt.stream.status, attempt.stream.headers, body)

    def _continue_for_caller(self, route: Route) -> StreamReply | Refused:
        continuation = route.request.continuation
        if continuation is None:
            return _lose_stream('no stream was named')
        backend = self._backends.find(continuation.backend)
        if backend is None:
            return _lose_stream('the engine has gone')
        groups = route.in_force.document.groups
        client = self._desk.choose(route.request.service, groups)
        active = client.adopt(self._create_ask(route), backend.name)
        stream = self._client.continue_stream(
            backend.address, continuation.stream_id, continuation.after
        )
        if isinstance(stream, NotRun | MaybeRun):
            client.release(active, whole=False, failed=False)
            return _lose_stream(stream.detail)
        attempt = Attempt(
            active, client, stream, backend.address, continuation.stream_id
        )
        active.address = backend.address
        active.stream_id = continuation.stream_id
        relay = StreamRelay(self, route, attempt, continuation.after)
        return relay.start() or _lose_stream('the stream broke again')

    def _create_ask(self, route: Route) -> Ask:
        request = route.request
        identity = request.request_id
        if route.attempts:
            identity = f'{identity}~{route.attempts}'
        return Ask(
            identity,
            route.request_class.name,
            request.organisation,
            0,
            request.prompt_tokens,
            request.maximum_tokens,
            request.prefix,
            request.returning or route.attempts > 0,
            list(route.avoided),
        )

    def _note_failed(
        self, route: Route, client: SlotClient, active: Active, detail: str
    ) -> None:
        client.release(active, whole=False, failed=True)
        route.avoided.append(active.backend)
        logger.info(
            'attempt-failed',
            request=route.request.request_id,
            backend=active.backend,
            attempt=route.attempts,
            detail=detail,
            may_have_run=route.may_have_run,
        )

    def _check_retry(self, route: Route) -> Refused | None:
        if route.may_have_run and not route.idempotent:
            return Refused(
                Reason.OUTCOME_UNKNOWN,
                Ran.UNKNOWN,
                detail='the backend server failed while it may have run this',
            )
        if route.attempts >= _MAXIMUM_ATTEMPTS:
            return self._give_up(route, 'all attempts failed')
        waited_s = self._clock() - route.arrival
        if waited_s > route.request_class.patience_s:
            return self._give_up(route, 'the target can no longer be met')
        if not self._retry_budget.take():
            return self._give_up(route, 'too many retries are under way')
        self._figures.retries.labels(
            route.request.service, 'backend-failed'
        ).inc()
        return None

    def _give_up(self, route: Route, detail: str) -> Refused:
        return Refused(Reason.BACKEND_FAILED, route.ran, _BRIEF_RETRY_S, detail)

    # Used by the relay

    def read_clock(self) -> float:
        """Read the router's clock in monotonic seconds."""
        return self._clock()

    def begin_again(
        self, route: Route, log: StreamLog
    ) -> Attempt | Refused | None:
        """Go on with a broken stream on another engine.

        :param route: the request.
        :param log: what has been passed on.
        :return: the new attempt, a refusal, or ``None`` to try once more.
        """
        refused = self._check_retry(route)
        if refused is not None:
            return refused
        body = self._continue_body(route.request.body, log.chunks, log.events)
        if body is None:
            return self._give_up(route, 'the stream cannot be continued')
        groups = route.in_force.document.groups
        client = self._desk.choose(route.request.service, groups)
        active = client.acquire(
            self._create_ask(route),
            self._clock(),
            route.request_class.patience_s,
        )
        if isinstance(active, Denial):
            return _refuse_denied(active, route)
        return self._open(route, client, active, body)

    def reconnect(self, attempt: Attempt, after: int) -> bool:
        """Go on with a stream on the same engine by a new connection.

        :param attempt: the attempt whose connection broke.
        :param after: events received so far.
        :return: whether the engine still had the stream.
        """
        attempt.stream.close()
        stream = self._client.continue_stream(
            attempt.address, attempt.stream_id, after
        )
        if isinstance(stream, NotRun | MaybeRun):
            return False
        attempt.stream = stream
        return True

    def wait_while_paused(self, attempt: Attempt) -> None:
        """Wait until a paused stream goes on.

        :param attempt: the attempt whose stream is paused.
        """
        while attempt.active.paused_at is not None:
            eventlet.sleep(_PAUSE_CHECK_S)

    def fail_attempt(self, route: Route, attempt: Attempt, detail: str) -> None:
        """Give back the slot of a failed attempt.

        :param route: the request.
        :param attempt: the attempt.
        :param detail: what was seen.
        """
        self._note_failed(route, attempt.client, attempt.active, detail)

    def finish(self, route: Route, attempt: Attempt, events: int) -> Answered:
        """Give back the slot of a whole answer.

        :param route: the request.
        :param attempt: the attempt.
        :param events: events delivered in all.
        :return: the outcome.
        """
        attempt.client.release(attempt.active, whole=True, failed=False)
        self._settle(route, ran=True)
        return self.note_answered(route, attempt.active, events)

    def cancel(self, route: Route, attempt: Attempt, events: int) -> None:
        """Stop an attempt whose caller has gone.

        :param route: the request.
        :param attempt: the attempt.
        :param events: events delivered in all.
        """
        attempt.stream.close()
        self._client.cancel(attempt.address, attempt.stream_id)
        attempt.client.release(attempt.active, whole=False, failed=False)
        self._settle(route, ran=True)
        self.count_wasted(route, 'caller-gone', events)

    def count_wasted(self, route: Route, cause: str, tokens: int) -> None:
        """Count tokens that reached no caller.

        :param route: the request.
        :param cause: why.
        :param tokens: number of tokens.
        """
        service = route.request.service
        self._figures.wasted.labels(service, cause).inc(tokens)

    def note_answered(
        self, route: Route, active: Active, tokens: int
    ) -> Answered:
        """Count and log a whole answer.

        :param route: the request.
        :param active: the slot that finished it.
        :param tokens: tokens delivered.
        :return: the outcome.
        """
        now = self._clock()
        first_at = active.first_token_at or now
        first_token_s = first_at - route.arrival
        labels = (route.request.service, route.request_class.name)
        target_s = convert_to_seconds(route.request_class.first_token_ms)
        self._figures.answered.labels(*labels).inc()
        self._figures.goodput.labels(*labels).inc(tokens)
        self._figures.first_token.labels(*labels).observe(first_token_s)
        if first_token_s <= target_s:
            self._figures.attained.labels(*labels).inc()
        answered = Answered(
            active.backend, tokens, first_token_s, now - route.arrival
        )
        logger.info(
            'answered',
            request=route.request.request_id,
            request_class=route.request_class.name,
            organisation=route.request.organisation,
            backend=active.backend,
            attempts=route.attempts,
            tokens=tokens,
            first_token_s=round(first_token_s, 4),
            revision=route.in_force.revision,
        )
        return answered

    def _refuse(
        self, request: CallerRequest, route: Route | None, refused: Refused
    ) -> Refusal:
        class_name = route.request_class.name if route else request.class_name
        in_force = self._replica.find(request.service)
        revision = in_force.revision if in_force else 0
        if route is not None:
            revision = route.in_force.revision
        self._figures.refused.labels(
            request.service if in_force else '',
            class_name if route else '',
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


class StreamRelay:
    """Passes one stream on and keeps it whole across failures."""

    __slots__ = (
        '_attempt',
        '_ended',
        '_first',
        '_log',
        '_reconnects',
        '_reply',
        '_route',
        '_router',
    )

    def __init__(
        self, router: Router, route: Route, attempt: Attempt, events: int = 0
    ) -> None:
        """Create a relay.

        :param router: router that opened the attempt.
        :param route: the request.
        :param attempt: the running attempt.
        :param events: events that the caller has already.
        """
        self._router = router
        self._route = route
        self._attempt = attempt
        self._log = StreamLog(events=events)
        self._first: bytes | None = None
        self._ended = False
        self._reconnects = 0
        self._reply: StreamReply | None = None

    def start(self) -> StreamReply | None:
        """Read the first events.

        :return: the reply; ``None`` when the attempt failed before any event,
            so that another one may be made.
        """
        first = self._read_events()
        if isinstance(first, MaybeRun):
            self._attempt.stream.close()
            self._router.fail_attempt(self._route, self._attempt, first.detail)
            return None
        self._first = first
        self._reply = StreamReply(
            self._attempt.stream,
            self._attempt.active.backend,
            self._attempt.stream_id,
            read=self.read,
            abandon=self.abandon,
        )
        return self._reply

    def read(self) -> bytes | None:
        """Return the next events, ``None`` at the end."""
        if self._first is not None:
            first = self._first
            self._first = None
            return first
        while not self._ended:
            if self._log.is_complete():
                self._finish()
                return None
            events = self._read_events()
            if isinstance(events, bytes):
                return events
            refused = self._recover(events.detail)
            if refused is not None:
                return self._fail(refused)
        return None

    def abandon(self) -> None:
        """Stop the stream because the caller has gone."""
        if self._ended:
            return
        self._ended = True
        if self._log.is_complete():
            self._finish()
            return
        self._router.cancel(self._route, self._attempt, self._log.events)
        if self._reply is not None:
            self._reply.outcome = Refused(Reason.CALLER_GONE, Ran.YES)

    def _read_events(self) -> bytes | MaybeRun:
        while True:
            chunk = self._attempt.stream.read()
            if isinstance(chunk, MaybeRun):
                return chunk
            if isinstance(chunk, EndOfStream):
                return MaybeRun('the stream ended before its last event')
            whole = self._log.accept(chunk)
            if whole:
                self._note_progress(whole)
                return whole

    def _note_progress(self, whole: bytes) -> None:
        active = self._attempt.active
        self._reconnects = 0
        if active.first_token_at is None:
            active.first_token_at = self._router.read_clock()
        active.tokens += whole.count(b'\n\n')

    def _recover(self, detail: str) -> Refused | None:
        self._log.tail = b''
        attempt = self._attempt
        if attempt.active.paused_at is None:
            self._reconnects += 1
        else:
            self._router.wait_while_paused(attempt)
        may_reconnect = self._reconnects <= _MAXIMUM_RECONNECTS
        if may_reconnect and self._router.reconnect(attempt, self._log.events):
            return None
        self._reconnects = 0
        self._router.fail_attempt(self._route, attempt, detail)
        while True:
            started = self._router.begin_again(self._route, self._log)
            if isinstance(started, Refused):
                return started
            if isinstance(started, Attempt):
                self._attempt = started
                return None

    def _finish(self) -> None:
        self._ended = True
        events = self._log.events
        answered = self._router.finish(self._route, self._attempt, events)
        self._attempt.stream.close()
        if self._reply is not None:
            self._reply.outcome = answered

    def _fail(self, refused: Refused) -> None:
        self._ended = True
        self._router.count_wasted(
            self._route, 'engine-failed', self._log.events
        )
        if self._reply is not None:
            self._reply.outcome = refused


def _refuse_denied(denial: Denial, route: Route) -> Refused:
    retry_after_s = None
    if denial.retry_after_ms >= 0:
        retry_after_s = convert_to_seconds(denial.retry_after_ms)
    detail = (
        f'{denial.ahead} requests of the same or a higher tier wait; '
        f'expected wait {denial.wait_ms} ms, accepted wait '
        f'{round(route.request_class.patience_s * 1000)} ms'
    )
    return Refused(Reason(denial.reason), route.ran, retry_after_s, detail)


def _lose_stream(detail: str) -> Refused:
    return Refused(Reason.STREAM_LOST, Ran.YES, detail=detail)


def _says_not_run(stream: BackendStream) -> bool:
    if stream.status < _SERVER_ERROR:
        return False
    return any(
        name.lower() == NOT_RUN_HEADER and text == Ran.NO
        for name, text in stream.headers
    )
