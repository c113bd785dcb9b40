"""Sends attempts to backend servers and accounts for their ends."""

from __future__ import annotations

from collections.abc import Callable

from egretdale.coordination.admission import Admission, AdmittedRequest
from egretdale.coordination.attempt_recorder import AttemptRecorder
from egretdale.coordination.backend_choice import BackendChoice
from egretdale.coordination.exchanges import (
    ForwardAttempt,
    ForwardClient,
    ForwardResponse,
)
from egretdale.coordination.ports import MaybeRun, NotRun
from egretdale.coordination.progress import Progress
from egretdale.coordination.selection import BackendSelection
from egretdale.state.gateway_metrics import GatewayMetrics
from egretdale.state.instances import Incarnation, Instance
from egretdale.util.clocks import Clock, convert_to_ms

_REDIRECTION = 300

#: Called with a request and the backend server that has begun it.
BeginListener = Callable[[AdmittedRequest, Instance], None]


class AttemptSender:
    """Sends a request to the chosen backend server and notes what follows."""

    __slots__ = (
        '_activity',
        '_admission',
        '_client',
        '_clock',
        '_links',
        '_loads',
        '_on_begin',
        '_prefill_client',
        '_recorder',
        '_selection',
    )

    def __init__(
        self,
        admission: Admission,
        selection: BackendSelection,
        metrics: GatewayMetrics,
        client: ForwardClient,
        clock: Clock,
        on_begin: BeginListener | None = None,
    ) -> None:
        """Create a sender.

        :param admission: measures remaining times.
        :param selection: what is known of the backend servers.
        :param metrics: metrics.
        :param client: client of backend servers.
        :param clock: monotonic clock.
        :param on_begin: called for each request that a backend server has
            begun.
        """
        self._on_begin = on_begin
        self._admission = admission
        self._selection = selection
        self._links = selection.links
        self._loads = selection.loads
        self._activity = selection.activity
        self._prefill_client = selection.prefill_client
        self._recorder = AttemptRecorder(
            metrics,
            selection.backpressure,
            selection.list_knowledge.measure_age,
            clock,
        )
        self._client = client
        self._clock = clock

    def send(
        self, progress: Progress, choice: BackendChoice, last_event_id: str
    ) -> ForwardResponse | NotRun | MaybeRun:
        """Send a request and read the head of the response.

        :param progress: state of the request.
        :param choice: backend server that it is sent to.
        :param last_event_id: event after which to resume, empty for none.
        :return: the response, or whether the request may have run.
        """
        admitted = progress.admitted
        attempt = ForwardAttempt(
            admitted.request,
            choice.instance,
            admitted.organisation,
            self._admission.measure_remaining_time(admitted),
            admitted.urgency,
            last_event_id,
            is_repeatable=admitted.route.is_repeatable(),
        )
        progress.avoided.append(choice.instance.name)
        sent_at = self._clock()
        outcome = self._exchange(progress, attempt, choice, sent_at)
        self._recorder.record(progress, choice, outcome, sent_at, last_event_id)
        return outcome

    def note_heard(self, incarnation: Incarnation) -> None:
        """Record that a backend server has sent something.

        :param incarnation: its incarnation.
        """
        self._links.note_heard()
        self._loads.note_heard(incarnation)

    def end(
        self,
        progress: Progress,
        choice: BackendChoice,
        *,
        rejected: bool = False,
    ) -> None:
        """Record that a request no longer runs at a backend server.

        :param progress: state of the request.
        :param choice: the backend server.
        :param rejected: whether it rejected the request without running it.
        """
        self._loads.end(choice.instance.incarnation)
        self._activity.note_end(choice.instance)
        request_id = progress.admitted.request.request_id
        self._prefill_client.note_end(request_id, rejected=rejected)

    def _exchange(
        self,
        progress: Progress,
        attempt: ForwardAttempt,
        choice: BackendChoice,
        sent_at: float,
    ) -> ForwardResponse | NotRun | MaybeRun:
        incarnation = choice.instance.incarnation
        self._loads.begin(incarnation, choice.prefill_tokens)
        self._activity.note_sent(choice.instance, choice.prefill_tokens)
        opened = False
        first_token_ms = -1
        try:
            outcome = self._client.open(attempt)
            if not isinstance(outcome, NotRun | MaybeRun):
                opened = True
                self._note_opened(progress, choice, outcome)
                if outcome.status < _REDIRECTION:
                    first_token_ms = convert_to_ms(self._clock() - sent_at)
        finally:
            self._loads.note_first_byte(incarnation, choice.prefill_tokens)
            self._activity.note_head(choice.instance, choice.prefill_tokens)
            request_id = attempt.request.request_id
            self._prefill_client.note_first_token(request_id, first_token_ms)
            if not opened:
                self.end(progress, choice)
        return outcome

    def _note_opened(
        self,
        progress: Progress,
        choice: BackendChoice,
        response: ForwardResponse,
    ) -> None:
        self.note_heard(choice.instance.incarnation)
        request_id = progress.admitted.request.request_id
        self._selection.note_statement(choice.instance, response, request_id)
        if self._on_begin is not None and not response.not_run:
            self._on_begin(progress.admitted, choice.instance)
