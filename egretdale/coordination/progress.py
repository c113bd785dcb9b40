"""What has happened to a forwarded request so far."""

from __future__ import annotations

from dataclasses import dataclass, field

from egretdale.coordination.admission import Admitted
from egretdale.coordination.exchanges import ForwardResponse
from egretdale.coordination.placing import Placement


@dataclass(slots=True)
class Progress:
    """A request on its way.

    :ivar admitted: the decision to take it.
    :ivar service: service that it goes to.
    :ivar avoided: backend servers that it was sent to or that were
        unreachable.
    :ivar sent: number of backend servers that it was sent to.
    :ivar may_have_run: whether one of them may have run it.
    """

    admitted: Admitted
    service: str
    avoided: list[str] = field(default_factory=list)
    sent: int = 0
    may_have_run: bool = False


@dataclass(slots=True, frozen=True)
class OpenedResponse:
    """An answer that can be passed on.

    :ivar response: the answer.
    :ivar placement: where it comes from.
    """

    response: ForwardResponse
    placement: Placement
