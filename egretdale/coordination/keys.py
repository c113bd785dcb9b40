"""Idempotency keys that a process issues, and its decisions on them."""

from __future__ import annotations

import enum
from collections import OrderedDict
from dataclasses import dataclass

import msgspec

from egretdale.state.queries import ClaimAsk, ClaimReply
from egretdale.util.clocks import Clock

ISSUED_PREFIX = 'ik1.'

_KEY_LIFETIME_S = 3600.0
_MAXIMUM_KEYS = 100000
_HEXADECIMAL = 16


class ClaimVerdict(enum.StrEnum):
    """The decision on a request with an idempotency key."""

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


class StoredDecisions(msgspec.Struct, frozen=True):
    """The decisions that a process stores at a graceful shutdown.

    :ivar floor_age: keys issued before this age in seconds are unknown.
    :ivar finished: suffixes of the keys whose requests have run.
    :ivar running: suffixes of the keys whose requests may be running.
    """

    floor_age: int
    finished: tuple[str, ...]
    running: tuple[str, ...]


class KeyIssuer:
    """Issues keys and keeps the decisions on them in memory.

    Only the process that issued a key decides on it, so a key cannot be
    granted twice. When that process is gone, the outcome is unknown.
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
            incarnation of the process, its age in seconds and a counter,
            in hexadecimal.
        """
        self._issued += 1
        return f'{self._process}{self._read_age():x}.{self._issued:x}'

    def decide(self, question: ClaimAsk) -> ClaimReply:
        """Decide whether a request may run.

        :param question: the question.
        :return: the decision.
        """
        if self._closed or not self._may_decide(question.key):
            return ClaimReply(ClaimVerdict.UNKNOWN)
        known = self._decisions.get(question.key)
        if known is None:
            self._decisions[question.key] = _Decision(
                question.nonce, question.host, question.fingerprint
            )
            while len(self._decisions) > _MAXIMUM_KEYS:
                self._evict_oldest()
            return ClaimReply(ClaimVerdict.RUN, question.host)
        if known.fingerprint != question.fingerprint:
            return ClaimReply(ClaimVerdict.REUSED, known.host)
        if known.nonce == question.nonce:
            return ClaimReply(ClaimVerdict.RUN, known.host)
        verdict = ClaimVerdict.RAN if known.finished else ClaimVerdict.RUNNING
        return ClaimReply(verdict, known.host)

    def close(self) -> StoredDecisions:
        """Stop deciding and export the decisions for a graceful shutdown.

        :return: all keys of this process whose requests may have run.
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
        """Prefix of all keys of this process."""
        return self._process

    def settle(self, key: str, *, ran: bool) -> None:
        """Record how a request ended.

        :param key: its key.
        :param ran: whether a backend server may have run it; if none did,
            the key may be used again.
        """
        if ran and key in self._decisions:
            self._decisions[key].finished = True
        elif not ran:
            self._decisions.pop(key, None)

    def _may_decide(self, key: str) -> bool:
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

    def _evict_oldest(self) -> None:
        oldest, _ = self._decisions.popitem(last=False)
        # Keys issued at that age or earlier are no longer decided on.
        floor = self._read_issue_age(oldest) + 1
        self._floor_age = max(self._floor_age, floor)


def read_issuer(key: str) -> str:
    """Read which host issued a key.

    :param key: an issued key.
    :return: name of the host.
    """
    return key.removeprefix(ISSUED_PREFIX).split('.')[0]


def read_issue_age(suffix: str) -> int:
    """Read the age of the issuing process when a key was issued.

    :param suffix: part of an issued key after the prefix of its process.
    :return: seconds, -1 when the key is malformed.
    """
    try:
        return int(suffix.partition('.')[0], _HEXADECIMAL)
    except ValueError:
        return -1
