"""Problem details (RFC 9457) of refused requests."""

from __future__ import annotations

import math
from types import MappingProxyType

import msgspec

from egretdale.state.outcomes import Reason

CONTENT_TYPE = 'application/problem+json'
TYPE_PREFIX = 'urn:egretdale:refusal:'

_UNAVAILABLE = '503 Service Unavailable'
_STATUSES = MappingProxyType(
    {
        Reason.TARGET_UNREACHABLE: _UNAVAILABLE,
        Reason.PATIENCE_EXCEEDED: _UNAVAILABLE,
        Reason.NO_BACKEND_SERVER: _UNAVAILABLE,
        Reason.BACKEND_FAILED: '502 Bad Gateway',
        Reason.OUTCOME_UNKNOWN: '502 Bad Gateway',
        Reason.ALREADY_RUNNING: '409 Conflict',
        Reason.ANSWER_NOT_KEPT: '409 Conflict',
        Reason.KEY_REUSED: '422 Unprocessable Content',
        Reason.KEY_STORE_UNAVAILABLE: _UNAVAILABLE,
        Reason.NO_DOCUMENT: '404 Not Found',
        Reason.UNKNOWN_CLASS: '400 Bad Request',
        Reason.UNKNOWN_ORGANISATION: '403 Forbidden',
        Reason.HOST_ISOLATED: _UNAVAILABLE,
        Reason.HOST_STOPPING: _UNAVAILABLE,
        Reason.BAD_REQUEST: '400 Bad Request',
        Reason.TOO_LARGE: '413 Content Too Large',
        Reason.TOO_SLOW: '408 Request Timeout',
        Reason.STREAM_LOST: '410 Gone',
        Reason.CALLER_GONE: '499 Client Closed Request',
        Reason.NO_ROUTE: '404 Not Found',
        Reason.UNKNOWN_KEY: '401 Unauthorized',
        Reason.CONFIGURATION_STALE: _UNAVAILABLE,
        Reason.DEADLINE_PASSED: '504 Gateway Timeout',
        Reason.ORIGIN_UNKNOWN: _UNAVAILABLE,
        Reason.HOST_CUT_OFF: '421 Misdirected Request',
        Reason.PART_QUARANTINED: _UNAVAILABLE,
        Reason.REQUEST_QUARANTINED: _UNAVAILABLE,
        Reason.HOST_FULL: _UNAVAILABLE,
    }
)


class Problem(msgspec.Struct, frozen=True, omit_defaults=True):
    """The body of a refusal.

    :ivar type: URI that identifies the reason.
    :ivar title: the reason in words.
    :ivar status: HTTP status code.
    :ivar detail: human-readable explanation.
    :ivar request_id: ID of the request.
    :ivar refusal_id: ID by which the refusal can be explained later.
    :ivar ran: whether the request was run: ``no``, ``unknown`` or ``yes``.
    :ivar revision: document revision that the decision is based on.
    :ivar retry_after_s: seconds until the caller should retry.
    """

    type: str
    title: str
    status: int
    detail: str
    request_id: str
    refusal_id: str
    ran: str
    revision: int = 0
    retry_after_s: float | None = None


def choose_status(reason: Reason, *, may_retry: bool) -> str:
    """Choose the HTTP status line of a refusal.

    :param reason: why the request was refused.
    :param may_retry: whether a retry may succeed.
    :return: status code and reason phrase.
    """
    if reason == Reason.NO_DOCUMENT and may_retry:
        return _UNAVAILABLE
    return _STATUSES[reason]


def format_retry_after(seconds: float) -> str:
    """Format a ``Retry-After`` header.

    :param seconds: seconds until the caller should retry.
    :return: whole seconds, rounded up.
    """
    return str(max(1, math.ceil(seconds)))
