"""Attempts of one request at backend servers."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from egretdale.coordination.backends import BackendDirectory
from egretdale.coordination.claims import ClaimClient
from egretdale.coordination.ports import (
    BackendCall,
    BackendClient,
    BackendStream,
    MaybeRun,
    NotRun,
)
from egretdale.coordination.replica import ActiveDocument
from egretdale.coordination.requests import (
    CallerRequest,
    Continuation,
    StreamLog,
)
from egretdale.coordination.slot_clients import SlotClients
from egretdale.coordination.slot_client import ActiveSlot, SlotClient
from egretdale.state.documents import RequestClass
from egretdale.state.metrics import DaemonMetrics
from egretdale.state.messages import Ask, ClaimAsk, Denial
from egretdale.state.outcomes import Answered, Ran, Reason, Refused
from egretdale.util.buckets import TokenBucket
from egretdale.util.clocks import Clock, convert_to_seconds
from egretdale.util.logs import get_logger

logger = get_logger(__name__)

NOT_RUN_HEADER = 'egret-ran'

_MAXIMUM_ATTEMPTS = 4
_SHORTEST_FIRST_BYTE_S = 2.0
_RETRY_SHARE = 0.1
_RETRY_BURST = 10.0
_BRIEF_RETRY_S = 2.0
_SERVER_ERROR = 500

#: Builds the body that goes on after what a broken stream has delivered.
ContinueBody = Callable[[bytes, list[bytes], int], bytes | None]


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
    in_force: ActiveDocument
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

    active: ActiveSlot
    client: SlotClient
    stream: BackendStream
    address: str
    stream_id: str


class AttemptDesk:
    """Opens, continues and ends attempts.

    :ivar clock: monotonic clock.
    """

    __slots__ = (
        '_backends',
        '_claims',
        '_client',
        '_continue_body',
        '_metrics',
        '_first_byte_limit_s',
        '_retry_budget',
        'clock',
        'slots',
    )

    def __init__(
        self,
        *,
        backends: BackendDirectory,
        slots: SlotClients,
        claims: ClaimClient,
        client: BackendClient,
        metrics: DaemonMetrics,
        clock: Clock,
        continue_body: ContinueBody,
        first_byte_limit_s: float,
    ) -> None:
        """Connect a desk to its parts.

        :param backends: directory of backend servers.
        :param slots: slots.
        :param claims: claims on keys.
        :param client: calls to backend servers.
        :param metrics: metrics.
        :param clock: monotonic clock.
        :param continue_body: builds the body that goes on with a stream.
        :param first_byte_limit_s: longest wait for a first byte in seconds.
        """
        self.clock = clock
        self.slots = slots
        self._backends = backends
        self._claims = claims
        self._client = client
        self._metrics = metrics
        self._continue_body = continue_body
        self._first_byte_limit_s = first_byte_limit_s
        self._retry_budget = TokenBucket(1, _RETRY_BURST, clock)

    # Beginning

    def begin(self, route: Route) -> Attempt | Refused | None:
        """Wait for a slot and send the request.

        :param route: the request.
        :return: the attempt, a refusal, or ``None`` when the attempt failed.
        """
        if not route.attempts:
            # Each request earns a part of a retry.
            self._retry_budget.charge(-_RETRY_SHARE)
        return self._acquire(route, route.arrival, route.request.body)

    def begin_again(
        self, route: Route, log: StreamLog
    ) -> Attempt | Refused | None:
        """Go on with a broken stream on another engine.

        :param route: the request.
        :param log: what has been passed on.
        :return: the attempt, a refusal, or ``None`` when the attempt failed.
        """
        refused = self.check_retry(route, started=True)
        if refused is not None:
            return refused
        body = self._continue_body(route.request.body, log.chunks, log.events)
        if body is None:
            return self._give_up(route, 'the stream cannot be continued')
        return self._acquire(route, self.clock(), body)

    def adopt(
        self, route: Route, continuation: Continuation
    ) -> Attempt | Refused:
        """Go on with a stream that another entry host had.

        :param route: the request.
        :param continuation: the stream.
        :return: the attempt, or why the stream is lost.
        """
        backend = self._backends.find(continuation.backend)
        if backend is None:
            return lose_stream('the engine has gone')
        stream_id = continuation.stream_id
        stream = self._client.continue_stream(
            backend.address, stream_id, continuation.after
        )
        if isinstance(stream, NotRun | MaybeRun):
            return lose_stream(stream.detail)
        client = self._choose_client(route)
        active = client.adopt(self._create_ask(route), backend.name)
        active.address = backend.address
        active.stream_id = stream_id
        return Attempt(active, client, stream, backend.address, stream_id)

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

    def check_retry(self, route: Route, *, started: bool) -> Refused | None:
        """Tell whether another attempt may be made.

        :param route: the request.
        :param started: whether the caller has received a part of the answer.
        :return: a refusal, or ``None`` when it may.
        """
        if route.may_have_run and not route.idempotent:
            return Refused(
                Reason.OUTCOME_UNKNOWN,
                Ran.UNKNOWN,
                detail='the backend server failed while it may have run this',
            )
        if route.attempts >= _MAXIMUM_ATTEMPTS:
            return self._give_up(route, 'all attempts failed')
        waited_s = self.clock() - route.arrival
        if waited_s > route.request_class.patience_s and not started:
            return self._give_up(route, 'the target can no longer be met')
        if not self._retry_budget.take():
            return self._give_up(route, 'too many retries are under way')
        service = route.request.service
        self._metrics.retries.labels(service, 'backend-failed').inc()
        return None

    # Ending

    def fail(self, route: Route, attempt: Attempt, detail: str) -> None:
        """Give back the slot of a failed attempt.

        :param route: the request.
        :param attempt: the attempt.
        :param detail: what was seen.
        """
        attempt.stream.close()
        self._note_failed(route, attempt.client, attempt.active, detail)

    def finish(self, route: Route, attempt: Attempt, tokens: int) -> Answered:
        """Give back the slot of a whole answer, count and log it.

        :param route: the request.
        :param attempt: the attempt.
        :param tokens: tokens delivered in all.
        :return: the outcome.
        """
        attempt.client.release(attempt.active, whole=True, failed=False)
        self.settle(route, ran=True)
        return self._note_answered(route, attempt.active, tokens)

    def cancel(self, route: Route, attempt: Attempt, tokens: int) -> None:
        """Stop an attempt whose caller has gone.

        :param route: the request.
        :param attempt: the attempt.
        :param tokens: tokens delivered in all.
        """
        attempt.stream.close()
        self._client.cancel(attempt.address, attempt.stream_id)
        attempt.client.release(attempt.active, whole=False, failed=False)
        self.settle(route, ran=True)
        self.count_wasted(route, 'caller-gone', tokens)

    def settle(self, route: Route, *, ran: bool) -> None:
        """Settle the claim on the request's key, if it has one.

        :param route: the request.
        :param ran: whether a backend server may have run it.
        """
        if route.claim is not None:
            self._claims.settle(route.claim, ran=ran)

    def count_wasted(self, route: Route, cause: str, tokens: int) -> None:
        """Count tokens that reached no caller.

        :param route: the request.
        :param cause: why.
        :param tokens: number of tokens.
        """
        service = route.request.service
        self._metrics.wasted.labels(service, cause).inc(tokens)

    # Steps

    def _choose_client(self, route: Route) -> SlotClient:
        groups = route.in_force.document.groups
        return self.slots.choose(route.request.service, groups)

    def _acquire(
        self, route: Route, arrival: float, body: bytes
    ) -> Attempt | Refused | None:
        client = self._choose_client(route)
        patience_s = route.request_class.patience_s
        active = client.acquire(self._create_ask(route), arrival, patience_s)
        if isinstance(active, Denial):
            return _refuse_denied(active, route)
        return self._open(route, client, active, body)

    def _open(
        self,
        route: Route,
        client: SlotClient,
        active: ActiveSlot,
        body: bytes,
    ) -> Attempt | None:
        route.attempts += 1
        backend = self._backends.find(active.backend)
        if backend is None:
            client.release(active, whole=False, failed=False)
            return None
        active.address = backend.address
        active.stream_id = f'{route.request.request_id}.{route.attempts}'
        call = self._create_call(route, active.stream_id, body)
        stream = self._client.open(backend.address, call)
        if isinstance(stream, MaybeRun):
            route.may_have_run = True
        if isinstance(stream, NotRun | MaybeRun):
            self._note_failed(route, client, active, stream.detail)
            return None
        if _says_not_run(stream):
            stream.close()
            detail = 'the backend server said that it did not run this'
            self._note_failed(route, client, active, detail)
            return None
        route.may_have_run = True
        return Attempt(
            active, client, stream, backend.address, active.stream_id
        )

    def _create_call(
        self, route: Route, stream_id: str, body: bytes
    ) -> BackendCall:
        request = route.request
        return BackendCall(
            stream_id,
            request.method,
            request.path,
            request.headers,
            body,
            route.request_class.tier,
            fresh=not route.idempotent,
            first_byte_s=self._choose_first_byte(route),
        )

    def _choose_first_byte(self, route: Route) -> float:
        # The first byte of an answer that is no stream comes at its end.
        if not route.request.streams:
            return self._first_byte_limit_s
        target_s = route.request_class.first_token_s
        wanted_s = max(_SHORTEST_FIRST_BYTE_S, target_s * 2)
        return min(wanted_s, self._first_byte_limit_s)

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
        self, route: Route, client: SlotClient, active: ActiveSlot, detail: str
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

    def _give_up(self, route: Route, detail: str) -> Refused:
        return Refused(Reason.BACKEND_FAILED, route.ran, _BRIEF_RETRY_S, detail)

    def _note_answered(
        self, route: Route, active: ActiveSlot, tokens: int
    ) -> Answered:
        now = self.clock()
        first_token_s = (active.first_token_at or now) - route.arrival
        labels = (route.request.service, route.request_class.name)
        self._metrics.answered.labels(*labels).inc()
        self._metrics.goodput.labels(*labels).inc(tokens)
        self._metrics.first_token.labels(*labels).observe(first_token_s)
        if first_token_s <= route.request_class.first_token_s:
            self._metrics.attained.labels(*labels).inc()
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
        return Answered(
            active.backend, tokens, first_token_s, now - route.arrival
        )


def lose_stream(detail: str) -> Refused:
    """Refuse to go on with a stream.

    :param detail: why.
    :return: the refusal.
    """
    return Refused(Reason.STREAM_LOST, Ran.YES, detail=detail)


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


def _says_not_run(stream: BackendStream) -> bool:
    if stream.status < _SERVER_ERROR:
        return False
    return any(
        name.lower() == NOT_RUN_HEADER and text == Ran.NO
        for name, text in stream.headers
    )
