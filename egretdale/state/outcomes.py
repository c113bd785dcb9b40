"""Outcomes of a request."""

from __future__ import annotations

import enum
from dataclasses import dataclass

_STOPPING_RETRY_S = 0.05


class Ran(enum.StrEnum):
    """Whether a backend server has run a refused request."""

    NO = 'no'
    UNKNOWN = 'unknown'
    YES = 'yes'


class Reason(enum.StrEnum):
    """Why a request was refused."""

    TARGET_UNREACHABLE = 'target-unreachable'
    PATIENCE_EXCEEDED = 'patience-exceeded'
    NO_BACKEND_SERVER = 'no-backend-server'
    BACKEND_FAILED = 'backend-failed'
    OUTCOME_UNKNOWN = 'outcome-unknown'
    ALREADY_RUNNING = 'already-running'
    ANSWER_NOT_KEPT = 'answer-not-kept'
    KEY_REUSED = 'key-reused'
    KEY_STORE_UNAVAILABLE = 'key-store-unavailable'
    NO_DOCUMENT = 'no-document'
    UNKNOWN_CLASS = 'unknown-class'
    UNKNOWN_ORGANISATION = 'unknown-organisation'
    HOST_ISOLATED = 'host-isolated'
    HOST_STOPPING = 'host-stopping'
    BAD_REQUEST = 'bad-request'
    TOO_LARGE = 'too-large'
    TOO_SLOW = 'too-slow'
    STREAM_LOST = 'stream-lost'
    CALLER_GONE = 'caller-gone'
    NO_ROUTE = 'no-route'
    UNKNOWN_KEY = 'unknown-key'
    CONFIGURATION_STALE = 'configuration-stale'
    DEADLINE_PASSED = 'deadline-passed'
    ORIGIN_UNKNOWN = 'stream-origin-unknown'
    HOST_CUT_OFF = 'host-cut-off'
    PART_QUARANTINED = 'prompt-part-quarantined'
    REQUEST_QUARANTINED = 'request-quarantined'
    HOST_FULL = 'host-full'


@dataclass(slots=True, frozen=True)
class Refused:
    """The request was refused or abandoned.

    :ivar reason: reason of the refusal.
    :ivar ran: whether a backend server has run it.
    :ivar retry_after_s: seconds after which the caller should retry, ``None``
        if a retry would not help.
    :ivar detail: human-readable explanation, with the numbers that the
        decision is based on.
    """

    reason: Reason
    ran: Ran
    retry_after_s: float | None = None
    detail: str = ''


#: Refusal by a host that is shutting down; callers retry at another host.
STOPPING_REFUSAL = Refused(
    Reason.HOST_STOPPING,
    Ran.NO,
    retry_after_s=_STOPPING_RETRY_S,
    detail='this host is shutting down; others are not',
)


@dataclass(slots=True, frozen=True)
class Answered:
    """The complete answer was delivered.

    :ivar backend: name of the backend server that completed the answer.
    :ivar tokens: number of tokens or chunks delivered.
    :ivar first_token_s: seconds from arrival to the first byte.
    :ivar duration_s: seconds from arrival to the last byte.
    """

    backend: str
    tokens: int
    first_token_s: float
    duration_s: float


Outcome = Answered | Refused
