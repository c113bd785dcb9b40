"""Attempts of one request at backend servers."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from egretdale.coordination.backends import BackendDirectory
from egretdale.coordination.claims import ClaimDesk
from egretdale.coordination.ports import (
    BackendCall,
    BackendClient,
    BackendStream,
    MaybeRun,
    NotRun,
)
from egretdale.coordination.replica import InForce
from egretdale.coordination.requests import (
    CallerRequest,
    Continuation,
    StreamLog,
)
from egretdale.coordination.desks import SlotDesk
from egretdale.coordination.slots import Active, SlotClient
from egretdale.state.documents import RequestClass
from egretdale.state.figures import Figures
from egretdale.state.messages import Ask, ClaimAsk, Denial
from egretdale.state.outcomes import Answered, Ran, Reason, Refused
from egretdale.util.buckets import TokenBucket
from egretdale.util.clocks import Clock, convert_to_seconds
from egretdale.util.logs import get_logger

logger = get_logger(__name__)

_RAN_HEADER = 'egret-ran'

_MAXIMUM_ATTEMPTS = 4
_SHORTEST_FIRST_BYTE_S = 2.0
_RETRY_SHARE = 0.1
_RETRY_BURST = 10.0
_BRIEF_RETRY_S = 2.0
_SERVER_ERROR = 500

#: Builds the body that goes on after what a broken stream has delivered.
ContinuationBuilder = Callable[[bytes, list[bytes], int], bytes | None]


@dataclass(slots=True)
class RequestState:
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


class AttemptManager:
    """Opens, continues and ends attempts.

    :ivar clock: monotonic clock.
    """

    __slots__ = (
        '_backends',
        '_claims',
        '_client',
        '_continue_body',
        '_figures',
        '_first_byte_limit_s',
        '_retry_budget',
        'clock',
        'slots',
    )

    def __init__(
        self,
        *,
        backends: BackendDirectory,
        slots: SlotDesk,
        claims: ClaimDesk,
        client: BackendClient,
        figures: Figures,
        clock: Clock,
        continue_body: ContinuationBuilder,
        first_byte_limit_s: float,
    ) -> None:
        """Connect a desk to its parts.

        :param backends: directory of backend servers.
        :param slots: slots.
        :param claims: claims on keys.
        :param client: calls to backend servers.
        :param figures: metrics.
        :param clock: monotonic clock.
        :param continue_body: builds the body that goes on with a stream.
        :param first_byte_limit_s: longest wait for a first byte in seconds.
        """
        self.clock = clock
        self.slots = slots
        self._backends = backends
        self._claims = claims
        self._client = client
        self._figures = figures
        self._continue_body = continue_body
        self._first_byte_limit_s = first_byte_limit_s
        self._retry_budget = TokenBucket(1, _RETRY_BURST, clock)

    # Beginning

    def start(self, state: RequestState) -> Attempt | Refused | None:
        """Wait for a slot and send the request.

        :param state: the request.
        :return: the attempt, a refusal, or ``None`` when the attempt failed.
        """
        if not state.attempts:
            # Each request earns a part of a retry.
            self._retry_budget.charge(-_RETRY_SHARE)
        return self._acquire(state, state.arrival, state.request.body)

    def restart_stream(
        self, state: RequestState, log: StreamLog
    ) -> Attempt | Refused | None:
        """Go on with a broken stream on another engine.

        :param state: the request.
        :param log: what has been passed on.
        :return: the attempt, a refusal, or ``None`` when the attempt failed.
        """
        refused = self.check_retry(state, started=True)
        if refused is not None:
            return refused
        body = self._continue_body(state.request.body, log.chunks, log.events)
        if body is None:
            return self._give_up(state, 'the stream cannot be continued')
        return self._acquire(state, self.clock(), body)

    def take_over_stream(
        self, state: RequestState, continuation: Continuation
    ) -> Attempt | Refused:
        """Go on with a stream that another entry host had.

        :param state: the request.
        :param continuation: the stream.
        :return: the attempt, or why the stream is lost.
        """
        backend = self._backends.find(continuation.backend)
        if backend is None:
            return _refuse_lost_stream('the engine has gone')
        stream_id = continuation.stream_id
        stream = self._client.continue_stream(
            backend.address, stream_id, continuation.after
        )
        if isinstance(stream, NotRun | MaybeRun):
            return _refuse_lost_stream(stream.detail)
        client = self._choose_client(state)
        active = client.adopt(self._create_ask(state), backend.name)
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

    def check_retry(
        self, state: RequestState, *, started: bool
    ) -> Refused | None:
        """Tell whether another attempt may be made.

        :param state: the request.
        :param started: whether the caller has received a part of the answer.
        :return: a refusal, or ``None`` when it may.
        """
        if state.may_have_run and not state.idempotent:
            return Refused(
                Reason.OUTCOME_UNKNOWN,
                Ran.UNKNOWN,
                detail='the backend server failed while it may have run this',
            )
        if state.attempts >= _MAXIMUM_ATTEMPTS:
            return self._give_up(state, 'all attempts failed')
        waited_s = self.clock() - state.arrival
        if waited_s > state.request_class.patience_s and not started:
            return self._give_up(state, 'the target can no longer be met')
        if not self._retry_budget.take():
            return self._give_up(state, 'too many retries are under way')
        service = state.request.service
        self._figures.retries.labels(service, 'backend-failed').inc()
        return None

    # Ending

    def fail(self, state: RequestState, attempt: Attempt, detail: str) -> None:
        """Give back the slot of a failed attempt.

        :param state: the request.
        :param attempt: the attempt.
        :param detail: what was seen.
        """
        attempt.stream.close()
        self._note_failed(state, attempt.client, attempt.active, detail)

    def finish(
        self, state: RequestState, attempt: Attempt, tokens: int
    ) -> Answered:
        """Give back the slot of a whole answer, count and log it.

        :param state: the request.
        :param attempt: the attempt.
        :param tokens: tokens delivered in all.
        :return: the outcome.
        """
        attempt.client.release(attempt.active, whole=True, failed=False)
        self.settle_claim(state, ran=True)
        return self._note_answered(state, attempt.active, tokens)

    def cancel(
        self, state: RequestState, attempt: Attempt, tokens: int
    ) -> None:
        """Stop an attempt whose caller has gone.

        :param state: the request.
        :param attempt: the attempt.
        :param tokens: tokens delivered in all.
        """
        attempt.stream.close()
        self._client.cancel(attempt.address, attempt.stream_id)
        attempt.client.release(attempt.active, whole=False, failed=False)
        self.settle_claim(state, ran=True)
        self.count_wasted_tokens(state, 'caller-gone', tokens)

    def settle_claim(self, state: RequestState, *, ran: bool) -> None:
        """Settle the claim on the request's key, if it has one.

        :param state: the request.
        :param ran: whether a backend server may have run it.
        """
        if state.claim is not None:
            self._claims.settle(state.claim, ran=ran)

    def count_wasted_tokens(
        self, state: RequestState, cause: str, tokens: int
    ) -> None:
        """Count tokens that reached no caller.

        :param state: the request.
        :param cause: why.
        :param tokens: number of tokens.
        """
        service = state.request.service
        self._figures.wasted.labels(service, cause).inc(tokens)

    # Steps

    def _choose_client(self, state: RequestState) -> SlotClient:
        groups = state.in_force.document.groups
        return self.slots.choose(state.request.service, groups)

    def _acquire(
        self, state: RequestState, arrival: float, body: bytes
    ) -> Attempt | Refused | None:
        client = self._choose_client(state)
        patience_s = state.request_class.patience_s
        active = client.acquire(self._create_ask(state), arrival, patience_s)
        if isinstance(active, Denial):
            return _refuse_denied(active, state)
        return self._open(state, client, active, body)

    def _open(
        self,
        state: RequestState,
        client: SlotClient,
        active: Active,
        body: bytes,
    ) -> Attempt | None:
        state.attempts += 1
        backend = self._backends.find(active.backend)
        if backend is None:
            client.release(active, whole=False, failed=False)
            return None
        active.address = backend.address
        active.stream_id = f'{state.request.request_id}.{state.attempts}'
        call = self._create_call(state, active.stream_id, body)
        stream = self._client.open(backend.address, call)
        if isinstance(stream, MaybeRun):
            state.may_have_run = True
        if isinstance(stream, NotRun | MaybeRun):
            self._note_failed(state, client, active, stream.detail)
            return None
        if _says_not_run(stream):
            stream.close()
            detail = 'the backend server said that it did not run this'
            self._note_failed(state, client, active, detail)
            return None
        state.may_have_run = True
        return Attempt(
            active, client, stream, backend.address, active.stream_id
        )

    def _create_call(
        self, state: RequestState, stream_id: str, body: bytes
    ) -> BackendCall:
        request = state.request
        return BackendCall(
            stream_id,
            request.method,
            request.path,
            request.headers,
            body,
            state.request_class.tier,
            fresh=not state.idempotent,
            first_byte_s=self._choose_first_byte(state),
        )

    def _choose_first_byte(self, state: RequestState) -> float:
        # The first byte of an answer that is no stream comes at its end.
        if not state.request.streams:
            return self._first_byte_limit_s
        target_s = state.request_class.first_token_s
        wanted_s = max(_SHORTEST_FIRST_BYTE_S, target_s * 2)
        return min(wanted_s, self._first_byte_limit_s)

    def _create_ask(self, state: RequestState) -> Ask:
        request = state.request
        identity = request.request_id
        if state.attempts:
            identity = f'{identity}~{state.attempts}'
        return Ask(
            identity,
            state.request_class.name,
            request.organisation,
            0,
            request.prompt_tokens,
            request.maximum_tokens,
            request.prefix,
            request.returning or state.attempts > 0,
            list(state.avoided),
        )

    def _note_failed(
        self,
        state: RequestState,
        client: SlotClient,
        active: Active,
        detail: str,
    ) -> None:
        client.release(active, whole=False, failed=True)
        state.avoided.append(active.backend)
        logger.info(
            'attempt-failed',
            request=state.request.request_id,
            backend=active.backend,
            attempt=state.attempts,
            detail=detail,
            may_have_run=state.may_have_run,
        )

    def _give_up(self, state: RequestState, detail: str) -> Refused:
        return Refused(Reason.BACKEND_FAILED, state.ran, _BRIEF_RETRY_S, detail)

    def _note_answered(
        self, state: RequestState, active: Active, tokens: int
    ) -> Answered:
        now = self.clock()
        first_token_s = (active.first_token_at or now) - state.arrival
        labels = (state.request.service, state.request_class.name)
        self._figures.answered.labels(*labels).inc()
        self._figures.goodput.labels(*labels).inc(tokens)
        self._figures.first_token.labels(*labels).observe(first_token_s)
        if first_token_s <= state.request_class.first_token_s:
            self._figures.attained.labels(*labels).inc()
        logger.info(
            'answered',
            request=state.request.request_id,
            request_class=state.request_class.name,
            organisation=state.request.organisation,
            backend=active.backend,
            attempts=state.attempts,
            tokens=tokens,
            first_token_s=round(first_token_s, 4),
            revision=state.in_force.revision,
        )
        return Answered(
            active.backend, tokens, first_token_s, now - state.arrival
        )


def _refuse_lost_stream(detail: str) -> Refused:
    """Refuse to go on with a stream.

    :param detail: why.
    :return: the refusal.
    """
    return Refused(Reason.STREAM_LOST, Ran.YES, detail=detail)


def _refuse_denied(denial: Denial, state: RequestState) -> Refused:
    retry_after_s = None
    if denial.retry_after_ms >= 0:
        retry_after_s = convert_to_seconds(denial.retry_after_ms)
    detail = (
        f'{denial.ahead} requests of the same or a higher tier wait; '
        f'expected wait {denial.wait_ms} ms, accepted wait '
        f'{round(state.request_class.patience_s * 1000)} ms'
    )
    return Refused(Reason(denial.reason), state.ran, retry_after_s, detail)


def _says_not_run(stream: BackendStream) -> bool:
    if stream.status < _SERVER_ERROR:
        return False
    return any(
        name.lower() == _RAN_HEADER and text == Ran.NO
        for name, text in stream.headers
    )
