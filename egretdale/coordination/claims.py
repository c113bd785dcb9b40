"""Claims on idempotency keys, so that a keyed request runs at most once."""

from __future__ import annotations

from dataclasses import dataclass

import eventlet
import msgspec

from egretdale.coordination.claim_store import ClaimStore, report_malformed
from egretdale.coordination.keys import (
    ISSUED_PREFIX,
    ClaimVerdict,
    KeyIssuer,
    StoredDecisions,
    read_issue_age,
    read_issuer,
)
from egretdale.coordination.ports import (
    ABSENT,
    Network,
    Platform,
    StoredObject,
    Written,
)
from egretdale.errors import (
    Conflict,
    Invalid,
)
from egretdale.state.members import MemberStatus, MemberTable
from egretdale.state.queries import ClaimAsk, ClaimReply
from egretdale.util.clocks import Clock
from egretdale.util.json_text import decode_json
from egretdale.util.logs import get_logger

logger = get_logger(__name__)

DECISION_KIND = 'decisions'

_ATTEMPTS = 4
_RETRY_DELAY_S = 0.1
_SETTLE_PERIOD_S = 2.0


@dataclass(slots=True, frozen=True)
class _UnsettledClaim:
    question: ClaimAsk
    ran: bool


class ClaimClient:
    """Claims keys on behalf of requests on this host.

    Issued keys are claimed at the process that issued them, keys made by
    callers with a conditional create in the platform.
    """

    __slots__ = (
        '_issuer',
        '_network',
        '_platform',
        '_store',
        '_stored',
        '_table',
        '_unsettled',
    )

    def __init__(
        self,
        issuer: KeyIssuer,
        table: MemberTable,
        network: Network,
        platform: Platform,
        clock: Clock,
    ) -> None:
        """Create a client without claims.

        :param issuer: issuer of this host.
        :param table: view of the entry hosts.
        :param network: calls to peers.
        :param platform: object API that stores claims and decisions.
        :param clock: monotonic clock.
        """
        self._issuer = issuer
        self._table = table
        self._network = network
        self._platform = platform
        self._unsettled: dict[str, _UnsettledClaim] = {}
        self._store = ClaimStore(platform, clock)
        self._stored: set[str] = set()

    def claim(self, question: ClaimAsk) -> ClaimReply:
        """Claim a key.

        :param question: the key and the request that claims it.
        :return: the decision.
        """
        if question.key.startswith(ISSUED_PREFIX):
            return self._claim_issued(question)
        return self._claim_stored(question)

    def settle(self, question: ClaimAsk, *, ran: bool) -> None:
        """Record how a claimed request ended.

        The claim is kept if the request may have run and released otherwise;
        what fails now is repeated by :meth:`run_settling`.

        :param question: the claim, which was answered with ``run``.
        :param ran: whether a backend server may have run the request.
        """
        if not self._try_settle(question, ran=ran):
            self._unsettled[question.nonce] = _UnsettledClaim(question, ran)

    def _claim_issued(self, question: ClaimAsk) -> ClaimReply:
        issuer = read_issuer(question.key)
        if issuer == self._table.own_host:
            return self._issuer.decide(question)
        member = self._table.find(issuer)
        if member is None or member.status == MemberStatus.GONE:
            return self._claim_without_issuer(question)
        # The nonce makes the claim idempotent, so it can be sent again.
        for _ in range(_ATTEMPTS):
            outcome = self._network.claim(member.update.peer_address, question)
            if isinstance(outcome, ClaimReply):
                if outcome.verdict == ClaimVerdict.UNKNOWN:
                    return self._claim_without_issuer(question)
                return outcome
            eventlet.sleep(_RETRY_DELAY_S)
        return self._claim_without_issuer(question)

    def _claim_without_issuer(self, question: ClaimAsk) -> ClaimReply:
        # A process that shut down gracefully has stored its decisions.
        process = f'{question.key.rsplit(".", 2)[0]}.'
        stored = self._platform.read(DECISION_KIND, process)
        if not isinstance(stored, StoredObject):
            return ClaimReply(ClaimVerdict.UNKNOWN)
        decisions = decode_json(stored.body, StoredDecisions)
        if isinstance(decisions, Invalid):
            return report_malformed(process, decisions)
        suffix = question.key.removeprefix(process)
        if suffix in decisions.finished:
            return ClaimReply(ClaimVerdict.RAN)
        if (
            suffix in decisions.running
            or read_issue_age(suffix) < decisions.floor_age
        ):
            return ClaimReply(ClaimVerdict.UNKNOWN)
        return self._claim_stored(question)

    def store_decisions(self) -> bool:
        """Stop deciding on issued keys and store the decisions made.

        :return: whether they are stored.
        """
        body = msgspec.json.encode(self._issuer.close())
        for _ in range(_ATTEMPTS):
            outcome = self._platform.write(
                DECISION_KIND, self._issuer.process, body, ABSENT
            )
            # A conflict means that an earlier attempt was stored.
            if isinstance(outcome, Written | Conflict):
                return True
            eventlet.sleep(_RETRY_DELAY_S)
        return False

    def _settle_issued(self, key: str, *, ran: bool) -> bool:
        issuer = read_issuer(key)
        if issuer == self._table.own_host:
            self._issuer.settle(key, ran=ran)
            return True
        member = self._table.find(issuer)
        if member is None:
            return False
        for _ in range(_ATTEMPTS):
            address = member.update.peer_address
            outcome = self._network.settle(address, key, ran=ran)
            if isinstance(outcome, bool):
                return True
            eventlet.sleep(_RETRY_DELAY_S)
        return False

    def _claim_stored(self, question: ClaimAsk) -> ClaimReply:
        reply = self._store.claim(question)
        if reply is None or reply.verdict == ClaimVerdict.RUN:
            self._stored.add(question.nonce)
        if reply is None:
            # The claim may have been stored; settling it releases it.
            self.settle(question, ran=False)
            return ClaimReply(ClaimVerdict.UNAVAILABLE)
        return reply

    def run_settling(self) -> None:
        """Settle claims that could not be settled at once.

        Also writes those again that a restored platform has lost.
        """
        while True:
            eventlet.sleep(_SETTLE_PERIOD_S)
            self._store.restore()
            for nonce, entry in list(self._unsettled.items()):
                if self._try_settle(entry.question, ran=entry.ran):
                    self._unsettled.pop(nonce, None)

    def _try_settle(self, question: ClaimAsk, *, ran: bool) -> bool:
        if question.nonce not in self._stored:
            return self._settle_issued(question.key, ran=ran)
        settled = self._store.settle(question, ran=ran)
        if settled:
            self._stored.discard(question.nonce)
        return settled
