"""Outcomes of a request."""

from __future__ import annotations

import enum
from dataclasses import dataclass


class Ran(enum.StrEnum):
    """Whether a refused request was run by a backend server."""

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


@dataclass(slots=True, frozen=True)
class Refused:
    """The request was given up.

    :ivar reason: why.
    :ivar ran: whether a backend server ran it.
    :ivar retry_after_s: seconds until a new try is worth while; ``None``
        when trying again would not help.
    :ivar detail: sentence for a person, with the figures of the decision.
    """

    reason: Reason
    ran: Ran
    retry_after_s: float | None = None
    detail: str = ''


@dataclass(slots=True, frozen=True)
class Answered:
    """The whole answer was delivered.

    :ivar backend: name of the backend server that finished the answer.
    :ivar tokens: tokens or chunks delivered.
    :ivar first_token_s: seconds from arrival to the first byte.
    :ivar duration_s: seconds from arrival to the last byte.
    """

    backend: str
    tokens: int
    first_token_s: float
    duration_s: float


Outcome = Answered | Refused
