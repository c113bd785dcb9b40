"""Attempts to run one request on backend servers."""

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
from egretdale.coordination.requests import (
    CallerRequest,
    Continuation,
    StreamLog,
)
from egretdale.coordination.slot_clients import SlotClients
from egretdale.coordination.stored_documents import ActiveDocument
from egretdale.coordination.slot_client import ActiveSlot, SlotClient
from egretdale.state.documents import RequestClass
from egretdale.state.event_streams import continues_stream
from egretdale.state.messages import Ask, Denial
from egretdale.state.queries import ClaimAsk
from egretdale.state.metrics import DaemonMetrics
from egretdale.state.outcomes import Answered, Ran, Reason, Refused
from egretdale.util.buckets import TokenBucket
from egretdale.util.clocks import Clock, convert_to_seconds
from egretdale.util.logs import get_logger

logger = get_logger(__name__)

_RAN_HEADER = 'egret-ran'

_MAXIMUM_ATTEMPTS = 4
_MINIMUM_FIRST_BYTE_S = 2.0
_RETRIES_PER_REQUEST = 0.1
_RETRY_BURST = 10.0
_RETRY_AFTER_S = 2.0
_SERVER_ERROR = 500

#: Builds the request body that continues a broken stream, from the original
#: body, the chunks delivered so far and the number of events in them.
#: ``None`` if the stream cannot be continued.
ContinuationBuilder = Callable[[bytes, list[bytes], int], bytes | None]


@dataclass(slots=True)
class RequestState:
    """Routing state of one request.

    :ivar request: the request.
    :ivar active_document: service document that applies to the request.
    :ivar request_class: class of the request.
    :ivar arrival: arrival time in monotonic seconds.
    :ivar idempotent: whether the request may run more than once.
    :ivar claim: claim on the idempotency key, ``None`` without a claim.
    :ivar avoided: names of the backend servers on which an attempt failed.
    :ivar attempts: number of attempts so far.
    :ivar may_have_run: whether a backend server may have run the request.
    """

    request: CallerRequest
    active_document: ActiveDocument
    request_class: RequestClass
    arrival: float
    idempotent: bool
    claim: ClaimAsk | None = None
    avoided: list[str] = field(default_factory=list)
    attempts: int = 0
    may_have_run: bool = False

    @property
    def ran(self) -> Ran:
        """Value of ``ran`` for a refusal of the request in this state."""
        return Ran.UNKNOWN if self.may_have_run else Ran.NO


@dataclass(slots=True)
class Attempt:
    """An attempt that is running on a backend server.

    :ivar active: slot that the attempt holds.
    :ivar client: slot client that the slot is released to.
    :ivar stream: response of the backend server.
    :ivar address: ``address:port`` of the backend server.
    :ivar stream_id: ID of the attempt at the backend server.
    """

    active: ActiveSlot
    client: SlotClient
    stream: BackendStream
    address: str
    stream_id: str


class AttemptManager:
    """Starts, resumes and ends attempts.

    :ivar clock: monotonic clock.
    :ivar slots: slot clients of this host.
    """

    __slots__ = (
        '_backends',
        '_claims',
        '_client',
        '_continue_body',
        '_first_byte_limit_s',
        '_metrics',
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
        continue_body: ContinuationBuilder,
        first_byte_limit_s: float,
    ) -> None:
        """Create a manager without attempts.

        :param backends: directory of backend servers.
        :param slots: slot clients of this host.
        :param claims: claims on idempotency keys.
        :param client: client of the backend servers.
        :param metrics: metrics.
        :param clock: monotonic clock.
        :param continue_body: builds the request body that continues a stream.
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

    # Starting attempts

    def start(self, state: RequestState) -> Attempt | Refused | None:
        """Wait for a slot and send the request.

        :param state: state of the request.
        :return: the attempt, a refusal, or ``None`` if the attempt failed.
        """
        if not state.attempts:
            # Each first attempt adds a fraction of a retry to the budget.
            self._retry_budget.charge(-_RETRIES_PER_REQUEST)
        return self._acquire(state, state.arrival, state.request.body)

    def restart_stream(
        self, state: RequestState, log: StreamLog
    ) -> Attempt | Refused | None:
        """Continue a broken stream on another engine.

        :param state: state of the request.
        :param log: events that the caller has received.
        :return: the attempt, a refusal, or ``None`` if the attempt failed.
        """
        refused = self.check_retry(state, started=True)
        if refused is not None:
            return refused
        body = None
        if not log.is_too_long():
            body = self._continue_body(
                state.request.body, log.chunks, log.events
            )
        if body is None:
            return self._refuse_failed(state, 'the stream cannot be continued')
        return self._acquire(state, self.clock(), body)

    def take_over_stream(
        self, state: RequestState, continuation: Continuation
    ) -> Attempt | Refused:
        """Take over a running stream from another entry host.

        :param state: state of the request.
        :param continuation: the stream to take over.
        :return: the attempt, or a refusal if the stream is lost.
        """
        backend = self._backends.find(continuation.backend)
        if backend is None:
            return _refuse_lost_stream('the engine is no longer listed')
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
        """Resume a stream on the same engine over a new connection.

        :param attempt: the attempt whose connection broke.
        :param after: number of the last event received.
        :return: whether the stream was resumed.
        """
        attempt.stream.close()
        stream = self._client.continue_stream(
            attempt.address, attempt.stream_id, after
        )
        if isinstance(stream, NotRun | MaybeRun):
            return False
        if not continues_stream(stream, attempt.stream):
            stream.close()
            return False
        attempt.stream = stream
        return True

    def check_retry(
        self, state: RequestState, *, started: bool
    ) -> Refused | None:
        """Check whether another attempt is allowed and charge the budget.

        :param state: state of the request.
        :param started: whether the caller has received part of the response.
        :return: a refusal, or ``None`` if the attempt is allowed.
        """
        if state.may_have_run and not state.idempotent:
            return Refused(
                Reason.OUTCOME_UNKNOWN,
                Ran.UNKNOWN,
                detail='the backend server failed and may have run the request',
            )
        if state.attempts >= _MAXIMUM_ATTEMPTS:
            return self._refuse_failed(state, 'all attempts failed')
        waited_s = self.clock() - state.arrival
        if waited_s > state.request_class.patience_s and not started:
            return self._refuse_failed(state, 'the accepted wait has passed')
        if not self._retry_budget.take():
            return self._refuse_failed(state, 'the retry budget is exhausted')
        service = state.request.service
        self._metrics.retries.labels(service, 'backend-failed').inc()
        return None

    # Ending attempts

    def fail(self, state: RequestState, attempt: Attempt, detail: str) -> None:
        """Close a failed attempt and release its slot.

        :param state: state of the request.
        :param attempt: the attempt.
        :param detail: how it failed.
        """
        attempt.stream.close()
        self._record_failure(state, attempt.client, attempt.active, detail)

    def finish(
        self, state: RequestState, attempt: Attempt, tokens: int
    ) -> Answered:
        """Release the slot of a complete response, count and log it.

        :param state: state of the request.
        :param attempt: the attempt.
        :param tokens: total number of tokens delivered.
        :return: the outcome.
        """
        attempt.client.release(attempt.active, whole=True, failed=False)
        self.settle_claim(state, ran=True)
        return self._record_answer(state, attempt.active, tokens)

    def cancel(
        self, state: RequestState, attempt: Attempt, tokens: int
    ) -> None:
        """Cancel an attempt whose caller has disconnected.

        :param state: state of the request.
        :param attempt: the attempt.
        :param tokens: total number of tokens delivered.
        """
        attempt.stream.close()
        self._client.cancel(attempt.address, attempt.stream_id)
        attempt.client.release(attempt.active, whole=False, failed=False)
        self.settle_claim(state, ran=True)
        self.count_wasted_tokens(state, 'caller-gone', tokens)

    def settle_claim(self, state: RequestState, *, ran: bool) -> None:
        """Settle the claim on the idempotency key of a request, if any.

        :param state: state of the request.
        :param ran: whether a backend server may have run the request.
        """
        if state.claim is not None:
            self._claims.settle(state.claim, ran=ran)

    def count_wasted_tokens(
        self, state: RequestState, cause: str, tokens: int
    ) -> None:
        """Count tokens of a response that did not complete.

        :param state: state of the request.
        :param cause: why it did not complete, a label of the metric.
        :param tokens: number of tokens.
        """
        service = state.request.service
        self._metrics.wasted.labels(service, cause).inc(tokens)

    # Helpers

    def _choose_client(self, state: RequestState) -> SlotClient:
        groups = state.active_document.document.groups
        return self.slots.choose(state.request.service, groups)

    def _acquire(
        self, state: RequestState, arrival: float, body: bytes
    ) -> Attempt | Refused | None:
        client = self._choose_client(state)
        patience_s = state.request_class.patience_s
        active = client.acquire(self._create_ask(state), arrival, patience_s)
        if isinstance(active, Denial):
            return _convert_denial(active, state)
        return self._open(state, client, active, body)

    def _open(
        self,
        state: RequestState,
        client: SlotClient,
        active: ActiveSlot,
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
            self._record_failure(state, client, active, stream.detail)
            return None
        if _reports_not_run(stream):
            stream.close()
            detail = (
                'the backend server reports that it did not run the request'
            )
            self._record_failure(state, client, active, detail)
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
            first_byte_s=self._choose_first_byte_timeout(state),
        )

    def _choose_first_byte_timeout(self, state: RequestState) -> float:
        # Without streaming, the first byte arrives only once the backend
        # server has run the whole request.
        if not state.request.streams:
            return self._first_byte_limit_s
        target_s = state.request_class.first_token_s
        timeout_s = max(_MINIMUM_FIRST_BYTE_S, target_s * 2)
        return min(timeout_s, self._first_byte_limit_s)

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

    def _record_failure(
        self,
        state: RequestState,
        client: SlotClient,
        active: ActiveSlot,
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

    def _refuse_failed(self, state: RequestState, detail: str) -> Refused:
        return Refused(Reason.BACKEND_FAILED, state.ran, _RETRY_AFTER_S, detail)

    def _record_answer(
        self, state: RequestState, active: ActiveSlot, tokens: int
    ) -> Answered:
        now = self.clock()
        first_token_s = (active.first_token_at or now) - state.arrival
        labels = (state.request.service, state.request_class.name)
        self._metrics.answered.labels(*labels).inc()
        self._metrics.goodput.labels(*labels).inc(tokens)
        self._metrics.first_token.labels(*labels).observe(first_token_s)
        if first_token_s <= state.request_class.first_token_s:
            self._metrics.attained.labels(*labels).inc()
        logger.info(
            'answered',
            request=state.request.request_id,
            request_class=state.request_class.name,
            organisation=state.request.organisation,
            backend=active.backend,
            attempts=state.attempts,
            tokens=tokens,
            first_token_s=round(first_token_s, 4),
            revision=state.active_document.revision,
        )
        return Answered(
            active.backend, tokens, first_token_s, now - state.arrival
        )


def _refuse_lost_stream(detail: str) -> Refused:
    """Create the refusal of a stream that cannot be resumed.

    :param detail: why it cannot be resumed.
    :return: the refusal.
    """
    return Refused(Reason.STREAM_LOST, Ran.YES, detail=detail)


def _convert_denial(denial: Denial, state: RequestState) -> Refused:
    retry_after_s = None
    if denial.retry_after_ms >= 0:
        retry_after_s = convert_to_seconds(denial.retry_after_ms)
    detail = (
        f'{denial.ahead} requests of the same or a higher tier are waiting; '
        f'expected wait {denial.wait_ms} ms, accepted wait '
        f'{round(state.request_class.patience_s * 1000)} ms'
    )
    return Refused(Reason(denial.reason), state.ran, retry_after_s, detail)


def _reports_not_run(stream: BackendStream) -> bool:
    if stream.status < _SERVER_ERROR:
        return False
    return any(
        name.lower() == _RAN_HEADER and text == Ran.NO
        for name, text in stream.headers
    )
