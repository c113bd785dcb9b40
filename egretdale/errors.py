"""Result types of failed operations."""

from __future__ import annotations

import enum
from dataclasses import dataclass


class Cause(enum.StrEnum):
    """Why a call to another process failed."""

    REFUSED = 'connection-refused'
    SILENT = 'silent'
    BROKEN = 'connection-broken'
    SLOW = 'timed-out'
    STATUS = 'unexpected-status'
    MALFORMED = 'malformed'
    THROTTLED = 'throttled'
    BREAKER = 'breaker-open'
    RESTORED = 'platform-restored'


@dataclass(slots=True, frozen=True)
class Unreachable:
    """A call that certainly had no effect at the receiver.

    :ivar cause: observed failure.
    :ivar detail: additional text for the log.
    """

    cause: Cause
    detail: str = ''


@dataclass(slots=True, frozen=True)
class Ambiguous:
    """A call that failed but may have taken effect.

    :ivar cause: observed failure.
    :ivar detail: additional text for the log.
    """

    cause: Cause
    detail: str = ''


@dataclass(slots=True, frozen=True)
class Missing:
    """The requested object does not exist.

    :ivar name: name of the requested object.
    """

    name: str


@dataclass(slots=True, frozen=True)
class Conflict:
    """A conditional write that failed because of another version.

    :ivar version: the stored version, 0 if unknown.
    """

    version: int


@dataclass(slots=True, frozen=True)
class Invalid:
    """Input that is not valid.

    :ivar path: path of the invalid field, such as ``classes[0].tier``.
    :ivar message: what is invalid and what is allowed.
    """

    path: str
    message: str
