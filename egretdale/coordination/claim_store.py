"""Claims on keys that are kept in the platform."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass, replace

import eventlet
import msgspec

from egretdale.coordination.eras import EraConfirmation
from egretdale.coordination.keys import ClaimVerdict
from egretdale.coordination.ports import (
    ABSENT,
    Platform,
    Position,
    StoredObject,
    Written,
)
from egretdale.errors import Ambiguous, Invalid, Missing, Unreachable
from egretdale.state.queries import ClaimAsk, ClaimReply
from egretdale.util.clocks import Clock
from egretdale.util.json_text import decode_json
from egretdale.util.logs import get_logger

logger = get_logger(__name__)

CLAIM_KIND = 'claims'

_ATTEMPTS = 4
_RETRY_DELAY_S = 0.1
#: Seconds after a restoration of the platform in which no key is claimed, as
#: hosts write the claims again that it has lost.
_RESTORATION_S = 5.0
#: Seconds for which a finished claim is kept to be written again.
_RETENTION_S = 60.0
_MAXIMUM_KEPT = 10000


class StoredClaim(msgspec.Struct, frozen=True):
    """A claim object in the platform.

    :ivar nonce: attempt that holds the claim; empty when it was released.
    :ivar host: entry host of the attempt.
    :ivar fingerprint: hash of the request.
    :ivar finished: whether the request has ended and may have run.
    """

    nonce: str
    host: str
    fingerprint: int
    finished: bool = False


@dataclass(slots=True, frozen=True)
class _KeptClaim:
    """A claim that this process has written.

    :ivar name: name of the object.
    :ivar claim: the claim.
    :ivar era: era of the platform in which it is known to stand there.
    :ivar kept_until: time after which every copy has it, once it is finished.
    """

    name: str
    claim: StoredClaim
    era: int
    kept_until: float


class ClaimStore:
    """Claims keys with conditional creates in the platform.

    A platform that is restored from an older copy may have lost claims. Each
    process writes its own again, and no key is claimed until all had the time.
    """

    __slots__ = (
        '_blocked_until',
        '_clock',
        '_confirmation',
        '_kept',
        '_platform',
    )

    def __init__(self, platform: Platform, clock: Clock) -> None:
        """Create a store without claims.

        :param platform: object API.
        :param clock: monotonic clock.
        """
        self._platform = platform
        self._clock = clock
        self._confirmation = EraConfirmation(platform)
        self._blocked_until = float('-inf')
        self._kept: dict[str, _KeptClaim] = {}

    def claim(self, question: ClaimAsk) -> ClaimReply | None:
        """Claim a key.

        :param question: the key and the request that claims it.
        :return: the decision, ``None`` if it is unknown whether the claim was
            stored, so that it has to be settled later.
        """
        if self._is_blocked():
            return ClaimReply(ClaimVerdict.UNAVAILABLE)
        reply = self._claim(question)
        if reply is not None and reply.verdict == ClaimVerdict.RUN:
            # The platform may have been restored meanwhile.
            if self._is_blocked():
                return None
            self._keep(question, finished=False)
        return reply

    def settle(self, question: ClaimAsk, *, ran: bool) -> bool:
        """Record how a claimed request ended.

        :param question: the claim.
        :param ran: whether a backend server may have run the request.
        :return: whether that is stored.
        """
        if ran and question.nonce in self._kept:
            self._keep(question, finished=True)
        elif not ran:
            self._kept.pop(question.nonce, None)
        name = _name_claim(question.key)
        claim = _create_ended(question, ran=ran)
        stored = self._platform.read(CLAIM_KIND, name)
        match stored:
            case Missing() if ran:
                return self._write(name, claim, ABSENT)
            case StoredObject() if _holds(stored, question.nonce):
                return self._write(name, claim, stored.position)
        return not isinstance(stored, Unreachable)

    def restore(self) -> None:
        """Write the claims again that a restored platform has lost.

        The newest are first, as a copy lacks them most likely.
        """
        self._is_blocked()
        now = self._clock()
        era = self._confirmation.read_era()
        for nonce, kept in reversed(list(self._kept.items())):
            if kept.claim.finished and kept.kept_until < now:
                self._kept.pop(nonce)
            elif kept.era != era:
                self._restore(nonce, kept)

    def _is_blocked(self) -> bool:
        """Tell whether lost claims may be missing in the platform."""
        era = self._confirmation.read_era()
        if self._confirmation.is_outdated():
            self._blocked_until = self._clock() + _RESTORATION_S
            logger.warning('claims-blocked', era=era, kept=len(self._kept))
        if era:
            self._confirmation.confirm(era)
        return self._clock() < self._blocked_until

    def _claim(self, question: ClaimAsk) -> ClaimReply | None:
        claim = StoredClaim(question.nonce, question.host, question.fingerprint)
        name = _name_claim(question.key)
        expected = ABSENT
        for _ in range(_ATTEMPTS):
            outcome = self._platform.write(
                CLAIM_KIND, name, msgspec.json.encode(claim), expected
            )
            if isinstance(outcome, Written):
                return ClaimReply(ClaimVerdict.RUN, question.host)
            if isinstance(outcome, Unreachable):
                break
            if isinstance(outcome, Ambiguous):
                eventlet.sleep(_RETRY_DELAY_S)
                continue
            stored = self._platform.read(CLAIM_KIND, name)
            reply = _interpret(question, stored)
            if reply is not None:
                return reply
            expected = _read_position(stored)
        return None

    def _keep(self, question: ClaimAsk, *, finished: bool) -> None:
        if len(self._kept) >= _MAXIMUM_KEPT:
            self._kept.pop(next(iter(self._kept)))
        claim = StoredClaim(
            question.nonce, question.host, question.fingerprint, finished
        )
        self._kept.pop(question.nonce, None)
        self._kept[question.nonce] = _KeptClaim(
            _name_claim(question.key),
            claim,
            self._confirmation.read_era(),
            self._clock() + _RETENTION_S,
        )

    def _restore(self, nonce: str, kept: _KeptClaim) -> None:
        era = self._confirmation.read_era()
        # The request may have ended meanwhile, which is written by itself.
        if self._find_or_write(kept) and self._kept.get(nonce) == kept:
            self._kept[nonce] = replace(kept, era=era)

    def _find_or_write(self, kept: _KeptClaim) -> bool:
        """Write a claim again unless it stands there.

        :param kept: the claim.
        :return: whether it stands there, or another one for good.
        """
        stored = self._platform.read(CLAIM_KIND, kept.name)
        match stored:
            case Unreachable():
                return False
            case Missing():
                return self._write(kept.name, kept.claim, ABSENT)
        held = decode_json(stored.body, StoredClaim)
        if isinstance(held, Invalid) or held == kept.claim:
            return True
        if held.nonce in {'', kept.claim.nonce}:
            return self._write(kept.name, kept.claim, stored.position)
        logger.warning('claim-lost', name=kept.name, nonce=kept.claim.nonce)
        # One that is not finished may still be released.
        return held.finished

    def _write(self, name: str, claim: StoredClaim, expected: Position) -> bool:
        outcome = self._platform.write(
            CLAIM_KIND, name, msgspec.json.encode(claim), expected
        )
        return isinstance(outcome, Written)


def _create_ended(question: ClaimAsk, *, ran: bool) -> StoredClaim:
    """Create the claim of a request that has ended, or its release."""
    nonce = question.nonce if ran else ''
    return StoredClaim(nonce, question.host, question.fingerprint, finished=ran)


def _holds(stored: StoredObject, nonce: str) -> bool:
    held = decode_json(stored.body, StoredClaim)
    return not isinstance(held, Invalid) and held.nonce == nonce


def _interpret(
    question: ClaimAsk, stored: StoredObject | Missing | Unreachable
) -> ClaimReply | None:
    if not isinstance(stored, StoredObject):
        return None
    claim = decode_json(stored.body, StoredClaim)
    if isinstance(claim, Invalid):
        return report_malformed(stored.name, claim)
    if claim.nonce == question.nonce:
        return ClaimReply(ClaimVerdict.RUN, question.host)
    if claim.fingerprint != question.fingerprint:
        return ClaimReply(ClaimVerdict.REUSED, claim.host)
    if not claim.nonce:
        return None
    verdict = ClaimVerdict.RAN if claim.finished else ClaimVerdict.RUNNING
    return ClaimReply(verdict, claim.host)


def _read_position(stored: StoredObject | Missing | Unreachable) -> Position:
    return stored.position if isinstance(stored, StoredObject) else ABSENT


def _name_claim(key: str) -> str:
    return hashlib.sha256(key.encode()).hexdigest()


def report_malformed(name: str, malformed: Invalid) -> ClaimReply:
    """Log an object that tells nothing of its key.

    :param name: name of the object.
    :param malformed: why it cannot be read.
    :return: the decision on the key.
    """
    logger.warning('claim-malformed', name=name, detail=malformed.message)
    return ClaimReply(ClaimVerdict.UNKNOWN)
