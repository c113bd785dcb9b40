"""Claims that let a keyed request run at most once."""

from __future__ import annotations

import enum
import hashlib
from collections import OrderedDict
from dataclasses import dataclass

import eventlet
import msgspec

from egretdale.coordination.ports import (
    Network,
    Platform,
    StoredObject,
    Written,
)
from egretdale.errors import Ambiguous, Conflict, Missing, Unreachable
from egretdale.state.members import MemberStatus, MemberTable
from egretdale.state.messages import ClaimAsk, ClaimReply
from egretdale.util.clocks import Clock
from egretdale.util.logs import get_logger

logger = get_logger(__name__)

CLAIM_KIND = 'claims'
DECISION_KIND = 'decisions'
ISSUED_PREFIX = 'ik1.'

_KEY_LIFETIME_S = 3600.0
_KEYS_KEPT = 100000
_ATTEMPTS = 4
_PAUSE_S = 0.1
_HEXADECIMAL = 16
_SETTLE_PERIOD_S = 2.0


class ClaimVerdict(enum.StrEnum):
    """The decision on a keyed request."""

    RUN = 'run'
    RUNNING = 'running'
    RAN = 'ran'
    UNKNOWN = 'unknown'
    REUSED = 'reused'
    UNAVAILABLE = 'unavailable'


@dataclass(slots=True)
class _Decision:
    nonce: str
    host: str
    fingerprint: int
    finished: bool = False


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


class StoredDecisions(msgspec.Struct, frozen=True):
    """The decisions that a process left behind at its planned stop.

    :ivar floor_age: keys issued before this age in seconds are unknown.
    :ivar finished: last parts of the keys whose requests have run.
    :ivar running: last parts of the keys whose requests may be running.
    """

    floor_age: int
    finished: tuple[str, ...]
    running: tuple[str, ...]


class KeyIssuer:
    """Issues keys and decides on them from memory.

    Only the process that issued a key decides on it, so no key can be
    granted twice; when the process is gone the outcome is unknown.
    """

    __slots__ = (
        '_clock',
        '_closed',
        '_decisions',
        '_floor_age',
        '_issued',
        '_process',
        '_started_at',
    )

    def __init__(self, host: str, incarnation: int, clock: Clock) -> None:
        """Create an issuer.

        :param host: name of this host.
        :param incarnation: incarnation of this process at its start.
        :param clock: monotonic clock.
        """
        self._process = f'{ISSUED_PREFIX}{host}.{incarnation:x}.'
        self._clock = clock
        self._started_at = clock()
        self._issued = 0
        self._closed = False
        self._floor_age = 0
        self._decisions: OrderedDict[str, _Decision] = OrderedDict()

    def issue(self) -> str:
        """Issue a key.

        :return: text such as ``ik1.host.18f2a.12.7``; the numbers are the
            process, its age in seconds and a count.
        """
        self._issued += 1
        return f'{self._process}{self._read_age():x}.{self._issued:x}'

    def decide(self, question: ClaimAsk) -> ClaimReply:
        """Decide whether a request may run.

        :param question: the question.
        :return: the decision.
        """
        if self._closed or not self._is_valid(question.key):
            return ClaimReply(ClaimVerdict.UNKNOWN)
        known = self._decisions.get(question.key)
        if known is None:
            self._decisions[question.key] = _Decision(
                question.nonce, question.host, question.fingerprint
            )
            while len(self._decisions) > _KEYS_KEPT:
                self._forget_oldest()
            return ClaimReply(ClaimVerdict.RUN, question.host)
        if known.fingerprint != question.fingerprint:
            return ClaimReply(ClaimVerdict.REUSED, known.host)
        if known.nonce == question.nonce:
            return ClaimReply(ClaimVerdict.RUN, known.host)
        verdict = ClaimVerdict.RAN if known.finished else ClaimVerdict.RUNNING
        return ClaimReply(verdict, known.host)

    def close(self) -> StoredDecisions:
        """Stop deciding and export the decisions for a planned stop.

        :return: every key of this process that may have run.
        """
        self._closed = True
        finished = [
            key.removeprefix(self._process)
            for key, decision in self._decisions.items()
            if decision.finished
        ]
        running = [
            key.removeprefix(self._process)
            for key, decision in self._decisions.items()
            if not decision.finished
        ]
        return StoredDecisions(self._floor_age, tuple(finished), tuple(running))

    @property
    def process(self) -> str:
        """Text that all keys of this process begin with."""
        return self._process

    def settle(self, key: str, *, ran: bool) -> None:
        """Note how a request ended.

        :param key: its key.
        :param ran: whether a backend server may have run it; the key may be
            used again when none did.
        """
        if ran and key in self._decisions:
            self._decisions[key].finished = True
        elif not ran:
            self._decisions.pop(key, None)

    def _is_valid(self, key: str) -> bool:
        if not key.startswith(self._process):
            return False
        try:
            issued_age = self._read_issue_age(key)
        except ValueError:
            return False
        age = self._read_age() - issued_age
        return 0 <= age < _KEY_LIFETIME_S and issued_age >= self._floor_age

    def _read_age(self) -> int:
        return int(self._clock() - self._started_at)

    def _read_issue_age(self, key: str) -> int:
        age_text = key.removeprefix(self._process).partition('.')[0]
        return int(age_text, _HEXADECIMAL)

    def _forget_oldest(self) -> None:
        oldest, _ = self._decisions.popitem(last=False)
        # Keys as old as a forgotten decision are not decided on any more.
        floor = self._read_issue_age(oldest) + 1
        self._floor_age = max(self._floor_age, floor)


@dataclass(slots=True, frozen=True)
class _Unsettled:
    question: ClaimAsk
    ran: bool


class ClaimDesk:
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
        issuer = _read_issuer(question.key)
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
        if suffix in left.running or _read_age(suffix) < left.floor_age:
            return ClaimReply(ClaimVerdict.UNKNOWN)
        return self._claim_stored(question)

    def leave_decisions(self) -> bool:
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
        issuer = _read_issuer(key)
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


def _read_age(suffix: str) -> int:
    """Read the age at which a key was issued, -1 when it is malformed."""
    try:
        return int(suffix.partition('.')[0], _HEXADECIMAL)
    except ValueError:
        return -1


def _read_issuer(key: str) -> str:
    return key.removeprefix(ISSUED_PREFIX).split('.')[0]


def _name_claim(key: str) -> str:
    return hashlib.sha256(key.encode()).hexdigest()
