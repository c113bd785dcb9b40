"""Forwards a request to backend servers until one answers it."""

from __future__ import annotations

import random

from egretdale.coordination.admission import Admission, Admitted
from egretdale.coordination.attempt_recorder import AttemptRecorder
from egretdale.coordination.budgets import BudgetBook
from egretdale.coordination.exchanges import (
    ForwardAttempt,
    ForwardClient,
    ForwardOutcome,
    ForwardReply,
    ForwardRequest,
    ForwardResponse,
)
from egretdale.coordination.placing import Placement, Placer
from egretdale.coordination.ports import MaybeRun, NotRun
from egretdale.coordination.progress import OpenedResponse, Progress
from egretdale.coordination.prompts import PromptDesk
from egretdale.coordination.response_relay import ResponseRelay
from egretdale.state.gateway_figures import GatewayFigures
from egretdale.state.loads import LoadTable
from egretdale.state.messages import Ask
from egretdale.state.outcomes import Ran, Reason, Refused
from egretdale.util.clocks import Clock, convert_to_ms
from egretdale.util.hashing import fold_identity

#: Least time that is left for an attempt to be worth while, in seconds.
_WORTHWHILE_S = 0.02
#: When to come back if no backend server can be reached, in seconds.
_NO_BACKEND_RETRY_S = 0.5
#: When to come back if all backend servers were full, in seconds.
_FULL_RETRY_S = 0.3
_REDIRECTION = 300
_SERVER_ERROR = 500


class Forwarder:
    """Sends each request to as many backend servers as it may and must."""

    __slots__ = (
        '_admission',
        '_budgets',
        '_client',
        '_clock',
        '_figures',
        '_loads',
        '_placer',
        '_prompts',
        '_recorder',
        '_source',
    )

    def __init__(
        self,
        *,
        admission: Admission,
        placer: Placer,
        loads: LoadTable,
        budgets: BudgetBook,
        prompts: PromptDesk,
        figures: GatewayFigures,
        client: ForwardClient,
        clock: Clock,
        source: random.Random,
    ) -> None:
        """Create a forwarder.

        :param admission: decides which requests may run.
        :param placer: chooses backend servers.
        :param loads: loads of backend servers.
        :param budgets: budgets for repeats by service.
        :param prompts: gets engines for prompts.
        :param figures: metrics.
        :param client: client of backend servers.
        :param clock: monotonic clock.
        :param source: random source.
        """
        self._admission = admission
        self._placer = placer
        self._loads = loads
        self._budgets = budgets
        self._prompts = prompts
        self._figures = figures
        self._recorder = AttemptRecorder(figures, clock)
        self._client = client
        self._clock = clock
        self._source = source

    def admit(self, request: ForwardRequest) -> Admitted | Refused:
        """Decide whether a request may run.

        :param request: the request.
        :return: the decision, or a refusal.
        """
        return self._admission.decide(request)

    def forward(self, admitted: Admitted) -> ForwardOutcome:
        """Forward a request and wait for the head of an answer.

        :param admitted: the decision to run it.
        :return: the answer to pass on, or a refusal.
        """
        service = self._admission.choose_service(
            admitted, self._source.random()
        )
        progress = Progress(admitted, service)
        self._budgets.earn(service)
        outcome = self._open(progress)
        if isinstance(outcome, Refused):
            return outcome
        response = outcome.response
        return ForwardReply(
            response.status,
            response.headers,
            response.length,
            ResponseRelay(self, progress, outcome),
        )

    def continue_stream(
        self, progress: Progress, last_event_id: str
    ) -> OpenedResponse | None:
        """Go on with a stream at another backend server.

        :param progress: what has happened so far.
        :param last_event_id: event that the caller received last.
        :return: the continued answer, or ``None``.
        """
        outcome = self._open(progress, last_event_id)
        if isinstance(outcome, Refused):
            return None
        if outcome.response.status >= _REDIRECTION:
            outcome.response.close()
            self._loads.end(outcome.placement.instance.incarnation)
            return None
        return outcome

    def note_end(
        self, progress: Progress, placement: Placement, *, failed: bool
    ) -> None:
        """Note that an answer has ended.

        :param progress: the request.
        :param placement: where it ran.
        :param failed: whether the backend server broke it off.
        """
        incarnation = placement.instance.incarnation
        self._loads.end(incarnation)
        self._loads.note_outcome(incarnation, failed=failed)
        if failed:
            progress.may_have_run = True

    def _open(
        self, progress: Progress, last_event_id: str = ''
    ) -> OpenedResponse | Refused:
        """Send the request until a backend server answers it.

        :param progress: what has happened so far.
        :param last_event_id: event after which a stream goes on.
        :return: the answer, or a refusal.
        """
        while True:
            refusal = self._find_obstacle(progress)
            if refusal is not None:
                return refusal
            placement = self._place(progress)
            if isinstance(placement, Refused):
                return self._refuse(progress, placement.detail, placement)
            if placement is None:
                return self._refuse(progress, 'no backend server is left')
            if progress.sent and not self._spend_repeat(progress.service):
                return self._refuse(progress, 'the retry budget is spent')
            outcome = self._try(progress, placement, last_event_id)
            if outcome is not None:
                return outcome

    def _spend_repeat(self, service: str) -> bool:
        allowed = self._budgets.spend(service)
        counter = self._figures.repeats
        if not allowed:
            counter = self._figures.denied_repeats
        counter.labels(service).inc()
        return allowed

    def _place(self, progress: Progress) -> Placement | Refused | None:
        request = progress.admitted.request
        if request.prompt.tokens:
            ask = self._create_ask(progress)
            granted = self._prompts.place(progress.service, ask)
            if granted is not None:
                return granted
        return self._placer.place(
            progress.service,
            request.prompt,
            progress.avoided,
            spread_key=request.request_id,
        )

    def _create_ask(self, progress: Progress) -> Ask:
        admitted = progress.admitted
        prompt = admitted.request.prompt
        part = prompt.find_affinity()
        return Ask(
            admitted.request.request_id,
            admitted.route.name,
            admitted.organisation,
            prompt_tokens=prompt.tokens,
            maximum_tokens=prompt.maximum_output,
            prefix=0 if part is None else fold_identity(part.identity),
            avoided=[
                *progress.avoided,
                *self._placer.list_suspended(progress.service),
            ],
            shared_tokens=prompt.count_shared(),
            urgency=admitted.urgency,
            target_ms=convert_to_ms(admitted.route.target_s),
            left_ms=convert_to_ms(self._admission.measure_left(admitted)),
            pause_ms=convert_to_ms(admitted.route.pause_target_s),
        )

    def _find_obstacle(self, progress: Progress) -> Refused | None:
        route = progress.admitted.route
        stale = self._admission.find_staleness(progress.admitted)
        if stale is not None:
            return self._refuse(progress, stale.detail, stale)
        if progress.sent >= route.maximum_attempts:
            return self._refuse(progress, 'no attempt is left')
        if progress.may_have_run and not route.is_repeatable():
            return self._refuse(progress, 'the request must not run twice')
        left_s = self._admission.measure_left(progress.admitted)
        if left_s < _WORTHWHILE_S:
            return self._refuse(progress, 'no time is left')
        return None

    def _try(
        self, progress: Progress, placement: Placement, last_event_id: str
    ) -> OpenedResponse | Refused | None:
        instance = placement.instance
        admitted = progress.admitted
        attempt = ForwardAttempt(
            admitted.request,
            instance,
            admitted.organisation,
            self._admission.measure_left(admitted),
            admitted.urgency,
            last_event_id,
        )
        progress.avoided.append(instance.name)
        sent_at = self._clock()
        outcome = self._exchange(attempt, placement, sent_at)
        self._recorder.record(progress, placement, outcome, sent_at)
        match outcome:
            case NotRun():
                self._loads.suspend(instance.incarnation)
            case MaybeRun():
                progress.sent += 1
                progress.may_have_run = True
                self._loads.note_outcome(instance.incarnation, failed=True)
            case _:
                progress.sent += 1
                return self._judge(progress, placement, outcome)
        return None

    def _exchange(
        self,
        attempt: ForwardAttempt,
        placement: Placement,
        sent_at: float,
    ) -> ForwardResponse | NotRun | MaybeRun:
        incarnation = placement.instance.incarnation
        self._loads.begin(incarnation, placement.prefill_tokens)
        opened = False
        try:
            outcome = self._client.open(attempt)
            opened = not isinstance(outcome, NotRun | MaybeRun)
        finally:
            self._loads.note_first_byte(incarnation, placement.prefill_tokens)
            if attempt.request.prompt.tokens:
                first_s = self._clock() - sent_at
                self._prompts.note_first_token(
                    attempt.request.request_id,
                    convert_to_ms(first_s) if opened else -1,
                )
            if not opened:
                self._loads.end(incarnation)
        return outcome

    def _judge(
        self,
        progress: Progress,
        placement: Placement,
        response: ForwardResponse,
    ) -> OpenedResponse | Refused | None:
        """Decide what becomes of an answer.

        :param progress: the request.
        :param placement: where the answer comes from.
        :param response: the answer.
        :return: the answer to pass on; ``None`` to try again.
        """
        incarnation = placement.instance.incarnation
        if response.not_run:
            response.close()
            self._loads.end(incarnation)
            return None
        progress.may_have_run = True
        if not response.sealed:
            response.close()
            self._loads.end(incarnation)
            self._loads.note_outcome(incarnation, failed=True)
            return None
        failed = response.status >= _SERVER_ERROR
        if failed and self._may_try_again(progress):
            response.close()
            self._loads.end(incarnation)
            self._loads.note_outcome(incarnation, failed=True)
            return None
        self._placer.note(placement, progress.admitted.request.prompt)
        return OpenedResponse(response, placement)

    def _may_try_again(self, progress: Progress) -> bool:
        route = progress.admitted.route
        if not route.is_repeatable():
            return False
        if progress.sent >= route.maximum_attempts:
            return False
        if self._admission.find_staleness(progress.admitted) is not None:
            return False
        left_s = self._admission.measure_left(progress.admitted)
        if left_s < route.target_s / 2:
            return False
        return self._budgets.has_room(progress.service)

    def _refuse(
        self, progress: Progress, detail: str, refusal: Refused | None = None
    ) -> Refused:
        if progress.may_have_run:
            return Refused(Reason.OUTCOME_UNKNOWN, Ran.UNKNOWN, detail=detail)
        if refusal is not None:
            return refusal
        retry_s = _FULL_RETRY_S if progress.sent else _NO_BACKEND_RETRY_S
        return Refused(Reason.NO_BACKEND_SERVER, Ran.NO, retry_s, detail)
