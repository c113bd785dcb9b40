"""Calls to the platform that one host makes on behalf of all."""

from __future__ import annotations

import enum
from dataclasses import dataclass
from typing import Protocol


class DutyOutcome(enum.Enum):
    """How a call ended.

    :cvar ACCEPTED: the platform has accepted it.
    :cvar LIMITED: it was not taken because of a rate limit.
    :cvar UNAVAILABLE: the platform cannot do what was asked now.
    :cvar UNKNOWN: there was no usable response, so it may have been accepted.
    :cvar NOT_SENT: nothing was sent, as the lease had ended or no connection
        could be opened.
    """

    ACCEPTED = 'accepted'
    LIMITED = 'limited'
    UNAVAILABLE = 'unavailable'
    UNKNOWN = 'unknown'
    NOT_SENT = 'not-sent'


class Fence(Protocol):
    """The right to make calls in one term of a holder.

    :ivar holder: name of the host that holds the duties.
    :ivar token: fencing token of the term.
    """

    holder: str
    token: int

    def may_call(self) -> bool:
        """Tell whether a call that is sent now ends before the lease does.

        The sender asks right before the first byte leaves.
        """


@dataclass(slots=True, frozen=True)
class UsageReport:
    """Usage in one window.

    :ivar window: number of the window.
    :ivar counts: requests that began, by organisation.
    """

    window: int
    counts: dict[str, int]


@dataclass(slots=True, frozen=True)
class ScaleOrder:
    """The number of engines that a service should have in a data centre.

    :ivar service: name of the service.
    :ivar data_centre: the data centre.
    :ivar desired: number of engines of the kind.
    :ivar use_spot: whether engines are meant that may be reclaimed, ``None``
        to leave that to the platform.
    """

    service: str
    data_centre: str
    desired: int
    use_spot: bool | None = None


class DutySender(Protocol):
    """Sends the calls of duties."""

    def send_usage(self, report: UsageReport, fence: Fence) -> DutyOutcome:
        """Report the usage in a window.

        :param report: the report.
        :param fence: term in which it is sent.
        """

    def send_scale(self, order: ScaleOrder, fence: Fence) -> DutyOutcome:
        """Order engines.

        :param order: the order.
        :param fence: term in which it is sent.
        """


class Duty(Protocol):
    """What the holder does in a loop while it holds the lease.

    :ivar name: name of the duty, for logs.
    :ivar period_s: seconds between two rounds.
    """

    name: str
    period_s: float

    def perform(self, fence: Fence) -> None:
        """Do one round; it must not take longer than a few calls.

        :param fence: term in which it runs. A later term has another token.
        """
