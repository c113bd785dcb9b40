"""Claims that let a keyed request run at most once."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass

import eventlet
import msgspec

from egretdale.coordination.keys import (
    ISSUED_PREFIX,
    ClaimVerdict,
    KeyIssuer,
    StoredDecisions,
    read_issue_age,
    read_issuer,
)
from egretdale.coordination.ports import (
    Network,
    Platform,
    StoredObject,
    Written,
)
from egretdale.errors import Ambiguous, Conflict, Missing, Unreachable
from egretdale.state.members import MemberStatus, MemberTable
from egretdale.state.messages import ClaimAsk, ClaimReply
from egretdale.util.logs import get_logger

logger = get_logger(__name__)

CLAIM_KIND = 'claims'
DECISION_KIND = 'decisions'

_ATTEMPTS = 4
_PAUSE_S = 0.1
_SETTLE_PERIOD_S = 2.0


class StoredClaim(msgspec.Struct, frozen=True):
    """A claim object in the platform.

    :ivar nonce: attempt that holds the claim; empty when it was given back.
    :ivar host: entry host of the attempt.
    :ivar fingerprint: hash of the request.
    :ivar finished: whether the request has run to its end.
    """

    nonce: str
    host: str
    fingerprint: int
    finished: bool = False


@dataclass(slots=True, frozen=True)
class _Unsettled:
    question: ClaimAsk
    ran: bool


class ClaimClient:
    """Claims keys on behalf of requests on this host.

    Keys that this system issued go to their issuer. Keys that callers made
    go to the platform by conditional create.
    """

    __slots__ = (
        '_issuer',
        '_network',
        '_platform',
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
    ) -> None:
        """Create a desk.

        :param issuer: issuer of this host.
        :param table: view of the entry hosts.
        :param network: calls to peers.
        :param platform: object API for keys that callers made.
        """
        self._issuer = issuer
        self._table = table
        self._network = network
        self._platform = platform
        self._unsettled: dict[str, _Unsettled] = {}
        self._stored: set[str] = set()

    def claim(self, question: ClaimAsk) -> ClaimReply:
        """Claim a key.

        :param question: the question.
        :return: the decision.
        """
        if question.key.startswith(ISSUED_PREFIX):
            return self._claim_issued(question)
        return self._claim_stored(question)

    def settle(self, question: ClaimAsk, *, ran: bool) -> None:
        """Note how a claimed request ended.

        :param question: the question that was answered with ``run``.
        :param ran: whether a backend server may have run it.
        """
        if not self._settle_once(question, ran=ran):
            self._unsettled[question.nonce] = _Unsettled(question, ran)

    def _claim_issued(self, question: ClaimAsk) -> ClaimReply:
        issuer = read_issuer(question.key)
        if issuer == self._table.own_host:
            return self._issuer.decide(question)
        member = self._table.find(issuer)
        if member is None or member.status == MemberStatus.GONE:
            return self._claim_left(question)
        # The question carries a nonce, so asking again is harmless.
        for _ in range(_ATTEMPTS):
            outcome = self._network.claim(member.update.peer_address, question)
            if isinstance(outcome, ClaimReply):
                if outcome.verdict == ClaimVerdict.UNKNOWN:
                    return self._claim_left(question)
                return outcome
            eventlet.sleep(_PAUSE_S)
        return self._claim_left(question)

    def _claim_left(self, question: ClaimAsk) -> ClaimReply:
        # A process that stopped as planned has left its decisions behind.
        process = f'{question.key.rsplit(".", 2)[0]}.'
        stored = self._platform.read(DECISION_KIND, process)
        if not isinstance(stored, StoredObject):
            return ClaimReply(ClaimVerdict.UNKNOWN)
        left = msgspec.json.decode(stored.body, type=StoredDecisions)
        suffix = question.key.removeprefix(process)
        if suffix in left.finished:
            return ClaimReply(ClaimVerdict.RAN)
        if suffix in left.running or read_issue_age(suffix) < left.floor_age:
            return ClaimReply(ClaimVerdict.UNKNOWN)
        return self._claim_stored(question)

    def store_decisions(self) -> bool:
        """Stop deciding on issued keys and leave the decisions behind.

        :return: whether they are stored.
        """
        body = msgspec.json.encode(self._issuer.close())
        for _ in range(_ATTEMPTS):
            outcome = self._platform.write(
                DECISION_KIND, self._issuer.process, body, 0
            )
            # A conflict says that an earlier try was stored.
            if isinstance(outcome, Written | Conflict):
                return True
            eventlet.sleep(_PAUSE_S)
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
            eventlet.sleep(_PAUSE_S)
        return False

    def _claim_stored(self, question: ClaimAsk) -> ClaimReply:
        claim = StoredClaim(question.nonce, question.host, question.fingerprint)
        self._stored.add(question.nonce)
        name = _name_claim(question.key)
        expected = 0
        for _ in range(_ATTEMPTS):
            outcome = self._platform.write(
                CLAIM_KIND, name, msgspec.json.encode(claim), expected
            )
            if isinstance(outcome, Written):
                return ClaimReply(ClaimVerdict.RUN, question.host)
            if isinstance(outcome, Unreachable):
                break
            if isinstance(outcome, Ambiguous):
                eventlet.sleep(_PAUSE_S)
                continue
            stored = self._platform.read(CLAIM_KIND, name)
            reply = self._judge(question, stored)
            if reply is not None:
                return reply
            expected = _read_version(stored)
        # The claim may have been stored; it is given back when that is known.
        self._unsettled[question.nonce] = _Unsettled(question, ran=False)
        return ClaimReply(ClaimVerdict.UNAVAILABLE)

    def _judge(
        self,
        question: ClaimAsk,
        stored: StoredObject | Missing | Unreachable,
    ) -> ClaimReply | None:
        if not isinstance(stored, StoredObject):
            return None
        claim = msgspec.json.decode(stored.body, type=StoredClaim)
        if claim.nonce == question.nonce:
            return ClaimReply(ClaimVerdict.RUN, question.host)
        if claim.fingerprint != question.fingerprint:
            return ClaimReply(ClaimVerdict.REUSED, claim.host)
        if not claim.nonce:
            return None
        verdict = ClaimVerdict.RAN if claim.finished else ClaimVerdict.RUNNING
        return ClaimReply(verdict, claim.host)

    def run_settling(self) -> None:
        """Settle stored claims that could not be settled at once."""
        while True:
            eventlet.sleep(_SETTLE_PERIOD_S)
            for nonce, entry in list(self._unsettled.items()):
                if self._settle_once(entry.question, ran=entry.ran):
                    self._unsettled.pop(nonce, None)

    def _settle_once(self, question: ClaimAsk, *, ran: bool) -> bool:
        if question.nonce not in self._stored:
            return self._settle_issued(question.key, ran=ran)
        settled = self._settle_stored(question, ran=ran)
        if settled:
            self._stored.discard(question.nonce)
        return settled

    def _settle_stored(self, question: ClaimAsk, *, ran: bool) -> bool:
        name = _name_claim(question.key)
        stored = self._platform.read(CLAIM_KIND, name)
        match stored:
            case Unreachable():
                return False
            case Missing():
                return True
            case StoredObject(version=version, body=body):
                held = msgspec.json.decode(body, type=StoredClaim)
        if held.nonce != question.nonce:
            return True
        nonce = question.nonce if ran else ''
        claim = StoredClaim(
            nonce, question.host, question.fingerprint, finished=ran
        )
        outcome = self._platform.write(
            CLAIM_KIND, name, msgspec.json.encode(claim), version
        )
        return isinstance(outcome, Written)


def _read_version(stored: StoredObject | Missing | Unreachable) -> int:
    if isinstance(stored, StoredObject):
        return stored.version
    return 0


def _name_claim(key: str) -> str:
    return hashlib.sha256(key.encode()).hexdigest()
