"""Decides which responses of backend servers are relayed."""

from __future__ import annotations

from egretdale.coordination.attempt_rules import AttemptRules
from egretdale.coordination.attempt_sender import AttemptSender
from egretdale.coordination.progress import OpenedResponse, Progress
from egretdale.coordination.selection import BackendSelection

_REDIRECTION = 300
_SERVER_ERROR = 500
#: Statuses that tell callers that a request has not run and never will.
_NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))


class ResponseAcceptance:
    """Accepts the responses that a caller may get, and drops the others."""

    __slots__ = ('_chooser', '_loads', '_origins', '_rules', '_sender')

    def __init__(
        self,
        rules: AttemptRules,
        sender: AttemptSender,
        selection: BackendSelection,
    ) -> None:
        """Create an acceptance.

        :param rules: rules on further attempts.
        :param sender: accounts for the ends of attempts.
        :param selection: what is known of the backend servers.
        """
        self._rules = rules
        self._sender = sender
        self._chooser = selection.chooser
        self._loads = selection.loads
        self._origins = selection.origins

    def accept(self, progress: Progress, opened: OpenedResponse) -> bool:
        """Decide whether to relay a response or to try again.

        A response that is not relayed is closed.

        :param progress: state of the request.
        :param opened: the response.
        :return: whether to relay it.
        """
        choice = opened.choice
        response = opened.response
        if response.not_run:
            response.close()
            self._sender.end(progress, choice, rejected=True)
            return False
        progress.may_have_run = True
        if self._is_misleading(progress, response.status):
            response.close()
            self._sender.end(progress, choice)
            return False
        failed = response.status >= _SERVER_ERROR
        if not response.sealed or (failed and self._rules.may_retry(progress)):
            self.drop(progress, opened)
            return False
        self._chooser.note(choice, progress.admitted.request.prompt)
        self._note_start(progress, opened)
        return True

    def drop(self, progress: Progress, opened: OpenedResponse) -> None:
        """Close a response that is not relayed, as a failure.

        :param progress: state of the request.
        :param opened: the response.
        """
        opened.response.close()
        self._sender.end(progress, opened.choice)
        incarnation = opened.choice.instance.incarnation
        self._loads.note_outcome(incarnation, failed=True)

    def _is_misleading(self, progress: Progress, status: int) -> bool:
        """Tell whether a status would say that a request has not run.

        The backend server has not said so.

        :param progress: state of the request.
        :param status: status of the response.
        """
        is_repeatable = progress.admitted.route.is_repeatable()
        return status in _NOT_RUN_STATUSES and not is_repeatable

    def _note_start(self, progress: Progress, opened: OpenedResponse) -> None:
        route = progress.admitted.route
        if opened.response.status >= _REDIRECTION or not route.resumable:
            return
        instance = opened.choice.instance
        progress.software_version = instance.software_version
        self._origins.note_start(
            instance,
            progress.admitted.request.request_id,
            is_split=len(route.services) > 1,
        )
