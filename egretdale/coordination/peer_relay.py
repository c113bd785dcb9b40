"""Relays requests to hosts that reach the backend servers.

This answers a partition of this host from all backend servers, while callers
and other hosts still reach it. Callers keep addresses of hosts for a while.
"""

from __future__ import annotations

import random
from collections.abc import Iterator

from egretdale.coordination.admission import Admission
from egretdale.coordination.attempt_recorder import describe_outcome
from egretdale.coordination.attempt_rules import refuse_attempt
from egretdale.coordination.exchanges import (
    ForwardClient,
    ForwardReply,
    ForwardResponse,
    IncompleteResponse,
    RelayAttempt,
)
from egretdale.coordination.ports import EndOfStream, MaybeRun, NotRun
from egretdale.coordination.progress import Progress
from egretdale.coordination.selection import BackendSelection
from egretdale.state.members import Member
from egretdale.state.outcomes import Ran, Reason, Refused
from egretdale.util.clocks import Clock, convert_to_ms
from egretdale.util.logs import get_logger

logger = get_logger(__name__)

#: Hosts that a request is sent to at most.
_MAXIMUM_TRIES = 4
#: Seconds for which a host is avoided that reaches no backend server either.
_AVOID_S = 2.0
#: Retry time in seconds of a request that this host can not forward.
_RETRY_S = 0.5
_CUT_OFF = 'this host reaches no backend server'
_REFUSAL = Refused(Reason.HOST_CUT_OFF, Ran.NO, _RETRY_S, _CUT_OFF)


class PeerRelay:
    """Sends requests to other hosts, which forward them."""

    __slots__ = (
        '_admission',
        '_avoided_until',
        '_client',
        '_clock',
        '_departures',
        '_mesh',
        '_source',
    )

    def __init__(
        self,
        selection: BackendSelection,
        admission: Admission,
        client: ForwardClient,
        clock: Clock,
        source: random.Random,
    ) -> None:
        """Create a relay.

        :param selection: knows the hosts and the backend servers.
        :param admission: measures remaining times.
        :param client: client of the hosts.
        :param clock: monotonic clock.
        :param source: random source.
        """
        self._mesh = selection.mesh
        self._departures = selection.departures
        self._admission = admission
        self._client = client
        self._clock = clock
        self._source = source
        self._avoided_until: dict[str, float] = {}

    def forward(self, progress: Progress) -> ForwardReply | Refused | None:
        """Send a request to another host.

        :param progress: state of the request.
        :return: the response of the host, a refusal if the request may have
            run there or has been relayed already, or ``None`` if no host takes
            it.
        """
        if progress.admitted.request.is_relayed:
            return refuse_attempt(progress, _CUT_OFF, _REFUSAL)
        for member in self._choose_hosts():
            host = member.update.host
            sent_at = self._clock()
            outcome = self._client.relay(self._create_attempt(progress, member))
            self._record(progress, host, outcome, sent_at)
            answer = self._conclude(progress, host, outcome)
            if answer is not None:
                return answer
        return None

    def _conclude(
        self,
        progress: Progress,
        host: str,
        outcome: ForwardResponse | NotRun | MaybeRun,
    ) -> ForwardReply | Refused | None:
        """Decide what the caller gets after an attempt.

        :param progress: state of the request.
        :param host: the host that it was sent to.
        :param outcome: outcome of the attempt.
        :return: the response or a refusal, ``None`` to try a further host.
        """
        match outcome:
            case NotRun(at_fault=False, detail=detail):
                return refuse_attempt(progress, detail)
            case NotRun():
                self._avoid(host)
            case MaybeRun(detail=detail):
                progress.may_have_run = True
                return Refused(
                    Reason.OUTCOME_UNKNOWN, Ran.UNKNOWN, detail=detail
                )
            case _ if outcome.not_run:
                # That host reaches no backend server either.
                outcome.close()
                self._avoid(host)
            case _ if progress.may_have_run and not outcome.sealed:
                # That host only knows that it has not run there.
                outcome.close()
                return refuse_attempt(progress, 'another host refused it')
            case _:
                return ForwardReply(
                    outcome.status,
                    outcome.headers,
                    outcome.length,
                    RelayedBody(outcome),
                )
        return None

    def _create_attempt(
        self, progress: Progress, member: Member
    ) -> RelayAttempt:
        admitted = progress.admitted
        return RelayAttempt(
            admitted.request,
            member.update.host,
            member.update.caller_address,
            self._admission.measure_remaining_time(admitted),
            progress.sent,
            is_repeatable=admitted.route.is_repeatable(),
        )

    def _choose_hosts(self) -> list[Member]:
        """Choose hosts in random order, those of this data centre first."""
        now = self._clock()
        table = self._mesh.table
        own = table.find(table.own_host)
        data_centre = own.update.data_centre if own else ''
        hosts = [
            member
            for member in table.list_serving()
            if member.update.host != table.own_host
            and member.update.caller_address
            and not member.update.cut_off
            and self._avoided_until.get(member.update.host, 0) <= now
        ]
        self._source.shuffle(hosts)
        hosts.sort(key=lambda member: member.update.data_centre != data_centre)
        return hosts[:_MAXIMUM_TRIES]

    def _avoid(self, host: str) -> None:
        now = self._clock()
        for avoided, until in list(self._avoided_until.items()):
            if until <= now:
                self._avoided_until.pop(avoided)
        self._avoided_until[host] = now + _AVOID_S

    def _record(
        self,
        progress: Progress,
        host: str,
        outcome: ForwardResponse | NotRun | MaybeRun,
        sent_at: float,
    ) -> None:
        request_id = progress.admitted.request.request_id
        if not isinstance(outcome, NotRun | MaybeRun):
            self._departures.note_relayed(outcome, request_id)
        label, detail = describe_outcome(outcome)
        logger.info(
            'relayed',
            request_id=request_id,
            host=host,
            attempts=progress.sent,
            outcome=label,
            detail=detail,
            took_ms=convert_to_ms(self._clock() - sent_at),
        )


class RelayedBody:
    """Iterates over the body of a response that another host relays."""

    __slots__ = ('_ended', '_response')

    def __init__(self, response: ForwardResponse) -> None:
        """Create a body that has not been read.

        :param response: the response.
        """
        self._response = response
        self._ended = False

    def __iter__(self) -> Iterator[bytes]:
        """Iterate over the chunks."""
        return self

    def __next__(self) -> bytes:
        """Return the next chunk.

        :raises IncompleteResponse: the response is incomplete.
        """
        if self._ended:
            raise StopIteration
        chunk = self._response.read()
        match chunk:
            case EndOfStream():
                self._ended = True
                raise StopIteration
            case MaybeRun(detail=detail):
                self.close()
                raise IncompleteResponse(detail)
        return chunk

    def close(self) -> None:
        """Close a response that the caller no longer reads."""
        if not self._ended:
            self._ended = True
            self._response.close()
