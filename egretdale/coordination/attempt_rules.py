"""Rules on whether a forwarded request may be sent to a backend server."""

from __future__ import annotations

from egretdale.coordination.admission import Admission
from egretdale.coordination.budgets import RetryBudgets
from egretdale.coordination.progress import Progress
from egretdale.coordination.quarantine import RequestQuarantine
from egretdale.state.outcomes import Ran, Reason, Refused

#: Shortest time left in seconds with which an attempt is still made.
_MINIMUM_LEFT_S = 0.02
#: Retry-after if no backend server could be reached, in seconds.
_UNREACHABLE_RETRY_S = 0.5
#: Retry-after if all backend servers that responded were full, in seconds.
_FULL_RETRY_S = 0.3


class AttemptRules:
    """Decides whether a request may be sent, first or again."""

    __slots__ = ('_admission', '_budgets', '_quarantine')

    def __init__(
        self,
        admission: Admission,
        budgets: RetryBudgets,
        quarantine: RequestQuarantine,
    ) -> None:
        """Create the rules.

        :param admission: measures remaining times and ages of keys.
        :param budgets: retry budgets by service.
        :param quarantine: requests that crash backend servers.
        """
        self._admission = admission
        self._budgets = budgets
        self._quarantine = quarantine

    def check_attempt(self, progress: Progress) -> Refused | None:
        """Check that another attempt is allowed.

        :param progress: state of the request.
        :return: a refusal if it is not.
        """
        route = progress.admitted.route
        stale = self.check_key(progress)
        if stale is not None:
            return stale
        if progress.sent >= route.maximum_attempts:
            return refuse_attempt(progress, 'no attempts are left')
        if progress.may_have_run and not route.is_repeatable():
            return refuse_attempt(progress, 'the request must not run again')
        left_s = self._admission.measure_remaining_time(progress.admitted)
        if left_s < _MINIMUM_LEFT_S:
            return refuse_attempt(progress, 'no time is left')
        return self.check_quarantine(progress)

    def check_key(self, progress: Progress) -> Refused | None:
        """Check that the key of a request was confirmed recently.

        :param progress: state of the request.
        :return: a refusal if it was not.
        """
        stale = self._admission.check_key_age(progress.admitted)
        if stale is None:
            return None
        return refuse_attempt(progress, stale.detail, stale)

    def check_quarantine(
        self, progress: Progress, *, is_sending: bool = False
    ) -> Refused | None:
        """Check that the request is not known to crash backend servers.

        :param progress: state of the request.
        :param is_sending: whether the request is sent next.
        :return: a refusal if it is.
        """
        refusal = self._quarantine.check(
            progress.admitted, is_sending=is_sending
        )
        if refusal is None:
            return None
        return refuse_attempt(progress, refusal.detail, refusal)

    def may_retry(self, progress: Progress) -> bool:
        """Tell whether a failure response is worth another attempt.

        :param progress: state of the request.
        """
        route = progress.admitted.route
        if not route.is_repeatable():
            return False
        if progress.sent >= route.maximum_attempts:
            return False
        if self._admission.check_key_age(progress.admitted) is not None:
            return False
        left_s = self._admission.measure_remaining_time(progress.admitted)
        if left_s < route.target_s / 2:
            return False
        return self._budgets.has_room(progress.service)


def refuse_attempt(
    progress: Progress, detail: str, refusal: Refused | None = None
) -> Refused:
    """Create the refusal of a request that is not sent again.

    :param progress: state of the request.
    :param detail: why it is not sent.
    :param refusal: refusal if no backend server may have run the request,
        ``None`` for one of no available backend server.
    :return: the refusal.
    """
    if progress.may_have_run:
        return Refused(Reason.OUTCOME_UNKNOWN, Ran.UNKNOWN, detail=detail)
    if refusal is not None:
        return refusal
    retry_s = _FULL_RETRY_S if progress.sent else _UNREACHABLE_RETRY_S
    return Refused(Reason.NO_BACKEND_SERVER, Ran.NO, retry_s, detail)
