"""Forwards requests to backend servers, with retries."""

from __future__ import annotations

import random

import eventlet

from egretdale.coordination.admission import Admission, AdmittedRequest
from egretdale.coordination.attempt_rules import (
    AttemptRules,
    refuse_attempt,
)
from egretdale.coordination.attempt_sender import AttemptSender, BeginListener
from egretdale.coordination.backend_choice import BackendChoice
from egretdale.coordination.budgets import RetryBudgets
from egretdale.coordination.crash_detection import WRITING_S, CrashDetector
from egretdale.coordination.exchanges import (
    ForwardClient,
    ForwardOutcome,
    ForwardReply,
    ForwardRequest,
    HostStopped,
)
from egretdale.coordination.peer_relay import PeerRelay
from egretdale.coordination.ports import MaybeRun, NotRun
from egretdale.coordination.progress import OpenedResponse, Progress
from egretdale.coordination.response_acceptance import ResponseAcceptance
from egretdale.coordination.response_relay import ResponseRelay
from egretdale.coordination.selection import BackendSelection
from egretdale.state.gateway_metrics import GatewayMetrics
from egretdale.state.outcomes import STOPPING_REFUSAL, Refused
from egretdale.state.routing import RequestKind
from egretdale.util.clocks import Clock

_REDIRECTION = 300
#: Seconds until backend servers to which connections hung are tried again.
_RECONNECT_S = 0.1
#: Shortest time left in seconds with which a request waits or is relayed.
_LAST_WAIT_S = 0.15


class Forwarder:
    """Sends each request to backend servers until one of them responds."""

    __slots__ = (
        '_acceptance',
        '_admission',
        '_budgets',
        '_clock',
        '_crashes',
        '_loads',
        '_metrics',
        '_origins',
        '_prefill_client',
        '_relay',
        '_rules',
        '_selection',
        '_sender',
        '_source',
    )

    def __init__(
        self,
        *,
        admission: Admission,
        selection: BackendSelection,
        budgets: RetryBudgets,
        metrics: GatewayMetrics,
        client: ForwardClient,
        clock: Clock,
        source: random.Random,
        on_begin: BeginListener | None = None,
    ) -> None:
        """Create a forwarder.

        :param admission: decides which requests may run.
        :param selection: selects backend servers.
        :param budgets: retry budgets by service.
        :param metrics: metrics.
        :param client: client of backend servers.
        :param clock: monotonic clock.
        :param source: random source.
        :param on_begin: called for each request that a backend server has
            begun.
        """
        self._admission = admission
        self._loads = selection.loads
        self._budgets = budgets
        self._rules = AttemptRules(admission, budgets, selection.quarantine)
        self._origins = selection.origins
        self._prefill_client = selection.prefill_client
        self._metrics = metrics
        self._crashes = CrashDetector(selection.quarantine, client, clock)
        self._sender = AttemptSender(
            admission, selection, metrics, client, clock, on_begin
        )
        self._acceptance = ResponseAcceptance(
            self._rules, self._sender, selection
        )
        self._relay = PeerRelay(selection, admission, client, clock, source)
        self._selection = selection
        self._clock = clock
        self._source = source

    def admit(self, request: ForwardRequest) -> AdmittedRequest | Refused:
        """Decide whether to admit a request.

        :param request: the request.
        :return: the admitted request, or a refusal.
        """
        return self._admission.decide(request)

    def forward(self, admitted: AdmittedRequest) -> ForwardOutcome:
        """Forward a request and wait for the head of a response.

        :param admitted: the admitted request.
        :return: the response to relay to the caller, or a refusal.
        """
        progress = self._begin(admitted)
        if isinstance(progress, Refused):
            return progress
        if not admitted.request.is_relayed:
            # The host that has relayed it counts it.
            self._budgets.earn(progress.service)
        outcome = self._open(progress, may_relay=True)
        if isinstance(outcome, ForwardReply | Refused):
            return outcome
        response = outcome.response
        is_resumable = (
            admitted.route.resumable and response.status < _REDIRECTION
        )
        return ForwardReply(
            response.status,
            response.headers,
            # A resumed stream may differ in length from what was announced.
            None if is_resumable else response.length,
            ResponseRelay(self, progress, outcome),
            outcome.identify_backend() if admitted.request.is_relayed else None,
        )

    def continue_stream(
        self, progress: Progress, broken: OpenedResponse, last_event_id: str
    ) -> OpenedResponse | None:
        """Resume a stream on another backend server.

        :param progress: state of the request.
        :param broken: the response that broke off.
        :param last_event_id: ID of the last event that the caller received.
        :return: the resumed response, or ``None`` if there is none.
        """
        while True:
            outcome = self._open(progress, last_event_id)
            if not isinstance(outcome, OpenedResponse):
                return None
            if outcome.continues(broken):
                return outcome
            # No part of another kind of response may reach the caller.
            self._acceptance.drop(progress, outcome)

    def note_progress(self, progress: Progress, opened: OpenedResponse) -> None:
        """Record that a response goes on.

        :param progress: state of the request.
        :param opened: the response.
        """
        self._sender.note_heard(opened.choice.instance.incarnation)
        if not opened.is_written and not self._is_beginning(opened):
            opened.is_written = True
            self._crashes.note_written(progress.admitted, opened.sent_at)

    def note_end(
        self, progress: Progress, opened: OpenedResponse, *, failed: bool
    ) -> None:
        """Record that a response has ended.

        :param progress: state of the request.
        :param opened: the response.
        :param failed: whether the backend server failed to complete it.
        """
        instance = opened.choice.instance
        self._sender.end(progress, opened.choice)
        self._loads.note_outcome(instance.incarnation, failed=failed)
        if failed:
            progress.may_have_run = True
            if self._is_beginning(opened):
                self._crashes.note_broken(instance, progress.admitted)

    def note_completion(
        self, progress: Progress, opened: OpenedResponse
    ) -> None:
        """Record that a response was received completely.

        :param progress: state of the request.
        :param opened: the response.
        """
        if opened.response.status < _REDIRECTION:
            self._crashes.note_written(progress.admitted, opened.sent_at)
        self.note_end(progress, opened, failed=False)

    def _is_beginning(self, opened: OpenedResponse) -> bool:
        return self._clock() < opened.opened_at + WRITING_S

    def _begin(self, admitted: AdmittedRequest) -> Progress | Refused:
        """Choose the service of a request.

        A stream that the caller resumes goes on where it began.

        :param admitted: the admitted request.
        :return: the state of the request, or a refusal.
        """
        resumes = bool(admitted.request.last_event_id)
        if resumes and admitted.route.kind == RequestKind.STREAM:
            return self._origins.resume(admitted)
        service = self._admission.choose_service(
            admitted, self._source.random()
        )
        sent = max(0, admitted.request.relayed_attempts)
        return Progress(admitted, service, sent=sent)

    def _open(
        self,
        progress: Progress,
        last_event_id: str = '',
        *,
        may_relay: bool = False,
    ) -> OpenedResponse | ForwardReply | Refused:
        """Send a request until a backend server responds.

        :param progress: state of the request.
        :param last_event_id: event after which to resume, empty for none.
        :param may_relay: whether another host may forward it.
        :return: the response of a backend server or another host, or a
            refusal.
        """
        while True:
            refusal = self._rules.check_attempt(progress)
            if refusal is not None:
                return refusal
            choice = self._select(progress, may_relay=may_relay)
            if choice is None:
                eventlet.sleep(_RECONNECT_S)
                continue
            if not isinstance(choice, BackendChoice):
                return choice
            refusal = self._check_sending(progress)
            if refusal is not None:
                request_id = progress.admitted.request.request_id
                self._prefill_client.note_end(request_id)
                return refusal
            outcome = self._try_backend(progress, choice, last_event_id)
            if outcome is not None:
                return outcome

    def _select(
        self, progress: Progress, *, may_relay: bool
    ) -> BackendChoice | ForwardReply | Refused | None:
        """Select a backend server, or have another host forward a request.

        :param progress: state of the request.
        :param may_relay: whether another host may forward it.
        :return: the backend server, the response of the host, a refusal, or
            ``None`` if backend servers are worth another try.
        """
        if may_relay and self._selection.is_cut_off():
            relayed = self._relay.forward(progress)
            if relayed is not None:
                return relayed
        choice = self._choose(progress)
        if choice is not None:
            return choice
        left_s = self._admission.measure_remaining_time(progress.admitted)
        if left_s < _LAST_WAIT_S:
            return refuse_attempt(progress, 'no time is left')
        if self._selection.retry_hanging(progress):
            return None
        relayed = self._relay.forward(progress) if may_relay else None
        return relayed or refuse_attempt(
            progress, 'no backend server is available'
        )

    def _choose(self, progress: Progress) -> BackendChoice | Refused | None:
        left_s = self._admission.measure_remaining_time(progress.admitted)
        try:
            choice = self._selection.select(progress, left_s)
        except HostStopped:
            choice = STOPPING_REFUSAL
        if isinstance(choice, Refused):
            return refuse_attempt(progress, choice.detail, choice)
        return choice

    def _check_sending(self, progress: Progress) -> Refused | None:
        """Check that a request may be sent now to the chosen backend server.

        :param progress: state of the request.
        :return: a refusal if it may not.
        """
        # The host may have waited for an engine, or been paused.
        refusal = self._rules.check_key(
            progress
        ) or self._rules.check_quarantine(progress, is_sending=True)
        if refusal is not None:
            return refusal
        if progress.sent and not self._spend_retry(progress.service):
            return refuse_attempt(progress, 'the retry budget is exhausted')
        return None

    def _spend_retry(self, service: str) -> bool:
        allowed = self._budgets.spend(service)
        counter = self._metrics.repeats
        if not allowed:
            counter = self._metrics.denied_repeats
        counter.labels(service).inc()
        return allowed

    def _try_backend(
        self, progress: Progress, choice: BackendChoice, last_event_id: str
    ) -> OpenedResponse | Refused | None:
        incarnation = choice.instance.incarnation
        sent_at = self._clock()
        outcome = self._sender.send(progress, choice, last_event_id)
        match outcome:
            case NotRun(at_fault=at_fault, is_hanging=is_hanging):
                if is_hanging:
                    progress.hanging.append(choice.instance)
                if at_fault:
                    self._selection.note_unreachable(
                        incarnation, sent_at, is_hanging=is_hanging
                    )
                self._selection.quarantine.withdraw_trial(progress.admitted)
            case MaybeRun():
                progress.sent += 1
                progress.may_have_run = True
                self._loads.note_outcome(incarnation, failed=True)
                self._crashes.note_broken(choice.instance, progress.admitted)
            case _:
                progress.sent += 1
                opened = OpenedResponse(outcome, choice, sent_at, self._clock())
                if self._acceptance.accept(progress, opened):
                    return opened
        return None
