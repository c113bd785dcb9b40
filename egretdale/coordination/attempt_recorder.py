"""Log lines and metrics of attempts on backend servers."""

from __future__ import annotations

from collections.abc import Callable

from egretdale.coordination.backend_choice import BackendChoice
from egretdale.coordination.backpressure import BackpressureTracker
from egretdale.coordination.exchanges import ForwardResponse
from egretdale.coordination.ports import MaybeRun, NotRun
from egretdale.coordination.progress import Progress
from egretdale.state.gateway_metrics import GatewayMetrics
from egretdale.util.clocks import Clock, convert_to_ms
from egretdale.util.logs import get_logger

logger = get_logger(__name__)


class AttemptRecorder:
    """Logs and counts each attempt to run a forwarded request."""

    __slots__ = ('_backpressure', '_clock', '_measure_list_age', '_metrics')

    def __init__(
        self,
        metrics: GatewayMetrics,
        backpressure: BackpressureTracker,
        measure_list_age: Callable[[], float],
        clock: Clock,
    ) -> None:
        """Create a recorder.

        :param metrics: metrics.
        :param backpressure: what backend servers ask for.
        :param measure_list_age: returns the age of the list of backend
            servers in seconds.
        :param clock: monotonic clock.
        """
        self._metrics = metrics
        self._backpressure = backpressure
        self._measure_list_age = measure_list_age
        self._clock = clock

    def record(
        self,
        progress: Progress,
        choice: BackendChoice,
        outcome: ForwardResponse | NotRun | MaybeRun,
        sent_at: float,
        last_event_id: str,
    ) -> None:
        """Record the outcome of an attempt.

        :param progress: state of the request.
        :param choice: backend server that the request was sent to.
        :param outcome: head of the response, or how the attempt failed.
        :param sent_at: clock time at which the request was sent.
        :param last_event_id: event after which this host resumed its stream,
            empty if it did not.
        """
        label, detail = describe_outcome(outcome)
        request = progress.admitted.request
        waited_s = sent_at - request.arrived_at
        took_s = self._clock() - sent_at
        service = progress.service
        self._metrics.attempts.labels(service, label).inc()
        self._metrics.admission_wait.labels(service).observe(waited_s)
        self._metrics.first_byte.labels(service).observe(took_s)
        logger.info(
            'attempt',
            request_id=request.request_id,
            backend=choice.instance.name,
            software_version=choice.instance.software_version,
            resumed_after=last_event_id or request.last_event_id,
            resumed_id=request.resumed_id,
            service=service,
            attempt=progress.sent + 1,
            chosen_by='allocator' if choice.granted else 'host',
            limit_per_s=self._backpressure.table.find_rate(
                choice.instance.incarnation
            ),
            prefill_tokens=choice.prefill_tokens,
            parts=request.prompt.format_parts(),
            fingerprint=f'{progress.admitted.fingerprint:x}',
            urgency=progress.admitted.urgency,
            waited_ms=convert_to_ms(waited_s),
            revision=progress.admitted.revision,
            list_age_ms=self._read_list_age_ms(),
            outcome=label,
            detail=detail,
            states_leaving=_states_leaving(outcome),
            took_ms=convert_to_ms(took_s),
        )

    def _read_list_age_ms(self) -> int | None:
        """Return the age of the list, ``None`` if it was never read."""
        age_s = self._measure_list_age()
        return None if age_s == float('inf') else convert_to_ms(age_s)


def describe_outcome(
    outcome: ForwardResponse | NotRun | MaybeRun,
) -> tuple[str, str]:
    """Describe the outcome of an attempt for log lines.

    :param outcome: head of the response, or how the attempt failed.
    :return: a label and the details of a failure.
    """
    match outcome:
        case NotRun(detail=detail):
            return 'not-run', detail
        case MaybeRun(detail=detail):
            return 'may-have-run', detail
    return str(outcome.status), ''


def _states_leaving(outcome: ForwardResponse | NotRun | MaybeRun) -> bool:
    match outcome:
        case NotRun() | MaybeRun():
            return False
    return outcome.statement.leaving is True
