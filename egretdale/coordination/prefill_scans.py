"""State of one pass over the waiting requests of a group."""

from __future__ import annotations

import enum
import math
from dataclasses import dataclass, field

from egretdale.coordination.engine_choice import EngineState
from egretdale.state.engine_slots import ServiceUse
from egretdale.state.messages import Ask
from egretdale.state.prompts import GroupQueue, WaitingPrompt
from egretdale.state.speeds import ServiceSpeed
from egretdale.util.clocks import convert_to_seconds

#: Part of the time until its deadline that a request may spend waiting.
_WAIT_SHARE = 0.4
#: Lower bound on each rate of a group, so that waits are finite.
_MINIMUM_RATE = 0.01


@dataclass(slots=True)
class GroupCapacity:
    """What the engines of a group can do together.

    :ivar prefill_rate: seconds of prefill that the engines do in a second,
        more while their speed is only assumed, as they may be faster.
    :ivar hold_rate: seconds that slots can be held in a second.
    :ivar request_rate: requests per second that the engines accept.
    """

    prefill_rate: float = 0
    hold_rate: float = 0
    request_rate: float = 0

    def add(self, state: EngineState, request_rate: float) -> None:
        """Add an engine.

        :param state: the engine.
        :param request_rate: requests per second that it accepts.
        """
        use = state.slots.use
        busy_share = float(1)
        held_slots = state.slots.limit
        if math.isfinite(request_rate):
            # A limited engine is busy only with the requests that it accepts.
            held_slots = min(held_slots, request_rate * use.hold_s)
            if use.prefill_s:
                busy_share = min(1, request_rate * use.prefill_s)
        self.prefill_rate += busy_share
        self.hold_rate += held_slots
        self.request_rate += request_rate

    def predict_wait(
        self, requests: int, prefill_s: float, hold_s: float
    ) -> float:
        """Predict how long the engines take to serve waiting requests.

        :param requests: number of requests.
        :param prefill_s: their prefill in seconds.
        :param hold_s: seconds for which they will hold slots.
        :return: seconds.
        """
        return max(
            prefill_s / max(_MINIMUM_RATE, self.prefill_rate),
            hold_s / max(_MINIMUM_RATE, self.hold_rate),
            requests / max(_MINIMUM_RATE, self.request_rate),
        )


class Precedence(enum.Enum):
    """What a request goes before."""

    #: All others.
    ALL = enum.auto()
    #: Others whose prompts an engine need not have prefilled for it.
    BACKLOG = enum.auto()
    #: Only those that are behind it in the queue.
    NONE = enum.auto()


@dataclass(slots=True)
class GroupScan:
    """State of one pass over the waiting requests of a group.

    :ivar queue: the requests.
    :ivar states: engines of the group.
    :ivar speed: prefill speed of the service.
    :ivar use: what the requests of the service take.
    :ivar maximum_backlog_s: outstanding prefill in seconds of an engine that
        gets another prompt.
    :ivar short_backlog_s: the same for a prompt with a short target.
    :ivar capacity: what the engines can do together.
    :ivar passed: number of requests that stay waiting.
    :ivar prefill_s: prefill in seconds of the requests that stay waiting.
    :ivar hold_s: seconds for which these will hold slots.
    :ivar ahead_s: seconds until the engines have served them.
    :ivar is_full: whether no engine takes a prompt that is not urgent.
    :ivar is_crowded: whether none takes a long one.
    :ivar precedences: what requests of a kind go before.
    """

    queue: GroupQueue
    states: list[EngineState]
    speed: ServiceSpeed
    use: ServiceUse
    maximum_backlog_s: float
    short_backlog_s: float
    capacity: GroupCapacity
    passed: int = 0
    prefill_s: float = 0
    hold_s: float = 0
    ahead_s: float = 0
    is_full: bool = False
    is_crowded: bool = False
    precedences: dict[tuple[int, int], Precedence] = field(default_factory=dict)

    def find_precedence(self, ask: Ask) -> Precedence:
        """Find what a request goes before.

        :param ask: the request.
        """
        kind = (ask.urgency, ask.target_ms)
        if kind not in self.precedences:
            precedence = Precedence.NONE
            if self.queue.is_urgent(ask):
                precedence = Precedence.ALL
            elif self.queue.is_short(ask):
                precedence = Precedence.BACKLOG
            self.precedences[kind] = precedence
        return self.precedences[kind]

    def is_acceptable(self, waiting: WaitingPrompt, waited_s: float) -> bool:
        """Tell whether a request need not be refused.

        :param waiting: the request.
        :param waited_s: seconds that it has waited.
        """
        patience_s = convert_to_seconds(waiting.ask.left_ms) * _WAIT_SHARE
        if waited_s + self.ahead_s <= patience_s:
            return True
        return self.queue.entitle(waiting)

    def pass_over(self, waiting: WaitingPrompt, own_s: float) -> None:
        """Count a request that stays waiting.

        :param waiting: the request.
        :param own_s: seconds of prefill outside its shared part.
        """
        self.prefill_s += own_s
        self.hold_s += self.use.predict_hold(waiting.ask.class_name)
        self.passed += 1
        self.ahead_s = self.capacity.predict_wait(
            self.passed, self.prefill_s, self.hold_s
        )
