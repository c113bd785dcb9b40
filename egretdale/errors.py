"""Sentinel values with a reason for errors."""

from __future__ import annotations

import enum
from dataclasses import dataclass


class Cause(enum.StrEnum):
    """Why a call between processes did not give its normal answer."""

    REFUSED = 'connection-refused'
    SILENT = 'silent'
    BROKEN = 'connection-broken'
    SLOW = 'timed-out'
    STATUS = 'unexpected-status'
    MALFORMED = 'malformed'
    THROTTLED = 'throttled'
    BREAKER = 'breaker-open'


@dataclass(slots=True, frozen=True)
class Unreachable:
    """A call that certainly had no effect on the other side.

    :ivar cause: what was seen.
    :ivar detail: free text for a log line.
    """

    cause: Cause
    detail: str = ''


@dataclass(slots=True, frozen=True)
class Ambiguous:
    """A call that may have taken effect although its reply was lost.

    :ivar cause: what was seen.
    :ivar detail: free text for a log line.
    """

    cause: Cause
    detail: str = ''


@dataclass(slots=True, frozen=True)
class Missing:
    """The object that was asked for does not exist.

    :ivar name: the name that was looked up.
    """

    name: str


@dataclass(slots=True, frozen=True)
class Conflict:
    """A conditional write that lost against another version.

    :ivar version: the version that is stored, 0 when unknown.
    """

    version: int


@dataclass(slots=True, frozen=True)
class Invalid:
    """Input that does not have the form that is required.

    :ivar path: path of the wrong field, such as ``classes[0].tier``.
    :ivar message: what is wrong and what is allowed.
    """

    path: str
    message: str
