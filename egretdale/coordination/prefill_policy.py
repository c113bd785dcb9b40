"""Decision on when a prompt is sent to which engine, and when it is refused.

This serves bursts of long prompts on engines of unknown speed and with few
slots. A prompt waits until an engine has a free slot and little to prefill,
so that urgent prompts neither wait behind others nor preempt them.
"""

from __future__ import annotations

from dataclasses import dataclass

from egretdale.coordination.engine_choice import (
    EngineChooser,
    EngineState,
    find_preferred_engine,
)
from egretdale.state.engine_slots import PREEMPTION_PENALTY_S
from egretdale.state.messages import Ask, Denial
from egretdale.state.prompts import GroupQueue, WaitingPrompt
from egretdale.util.clocks import Clock, convert_to_ms, convert_to_seconds
from egretdale.util.logs import get_logger

logger = get_logger(__name__)

#: Reason of a denial for a request that no engine can serve in time.
OVERLOADED = 'overloaded'

#: Part of the shortest target, less the time to the first token of an empty
#: prompt, that may be spent on waiting for outstanding prefill.
_BACKLOG_SHARE = 0.4
#: Bounds on the outstanding prefill in seconds of an engine that gets another
#: prompt: enough to keep it busy, little for an urgent prompt to wait for.
_MINIMUM_BACKLOG_S = 0.03
_MAXIMUM_BACKLOG_S = 0.1
#: Part of the time until its deadline that a request may spend waiting.
_WAIT_SHARE = 0.4
#: Part of the prefill of waiting requests that counts while the speed of the
#: engines is only assumed: they may be faster.
_UNKNOWN_SHARE = 0.5
#: Minimum retry time in seconds of a denied request.
_DENIED_RETRY_S = 0.3


@dataclass(slots=True)
class GroupScan:
    """State of one pass over the waiting requests of a group.

    :ivar queue: the requests.
    :ivar states: engines of the group.
    :ivar maximum_backlog_s: outstanding prefill in seconds of an engine that
        gets another prompt.
    :ivar prefill_s: prefill in seconds of the requests that stay waiting.
    :ivar hold_s: seconds for which these will hold slots.
    """

    queue: GroupQueue
    states: list[EngineState]
    maximum_backlog_s: float
    prefill_s: float = 0
    hold_s: float = 0

    def measure_ahead(self) -> float:
        """Return the seconds until the engines have served those passed."""
        slots = sum(state.slots.limit for state in self.states)
        return max(
            self.prefill_s / max(1, len(self.states)),
            self.hold_s / max(1, slots),
        )


@dataclass(slots=True, frozen=True)
class ChosenEngine:
    """Decision to send a request to an engine.

    :ivar state: the engine.
    :ivar immediate: whether the request goes before all others.
    """

    state: EngineState
    immediate: bool


class PrefillPolicy:
    """Decides on the waiting requests of a group, one after the other."""

    __slots__ = ('_chooser', '_clock')

    def __init__(self, chooser: EngineChooser, clock: Clock) -> None:
        """Create a policy.

        :param chooser: chooses engines and knows their loads.
        :param clock: monotonic clock.
        """
        self._chooser = chooser
        self._clock = clock

    def begin_scan(
        self, queue: GroupQueue, states: list[EngineState]
    ) -> GroupScan:
        """Start a pass over the waiting requests of a group.

        :param queue: the requests.
        :param states: engines of the group.
        :return: state of the pass.
        """
        floor_s = states[0].speed.shared.floor_s if states else 0
        spare_s = queue.find_shortest_target() - floor_s
        maximum_s = max(_MINIMUM_BACKLOG_S, spare_s * _BACKLOG_SHARE)
        return GroupScan(queue, states, min(maximum_s, _MAXIMUM_BACKLOG_S))

    def decide(
        self, scan: GroupScan, waiting: WaitingPrompt
    ) -> ChosenEngine | Denial | None:
        """Decide on the next request of a pass.

        :param scan: state of the pass.
        :param waiting: the request.
        :return: an engine, a denial, or ``None`` if the request has to wait.
        """
        ask = waiting.ask
        waited_s = self._clock() - waiting.arrived_at
        ahead_s = scan.measure_ahead()
        if waited_s + ahead_s > convert_to_seconds(ask.left_ms) * _WAIT_SHARE:
            return _deny(ask, waited_s, ahead_s)
        usable = _exclude_avoided(ask, scan.states)
        if not usable:
            return Denial(ask.request_id, OVERLOADED)
        chosen = self._choose(scan, waiting, usable)
        if chosen is None:
            self._pass_over(scan, waiting)
        return chosen

    def _choose(
        self, scan: GroupScan, waiting: WaitingPrompt, usable: list[EngineState]
    ) -> ChosenEngine | None:
        ask = waiting.ask
        maximum_s = scan.maximum_backlog_s
        immediate = scan.queue.is_urgent(ask)
        if not immediate and not any(
            self._chooser.has_capacity(ask, state, maximum_s)
            for state in usable
        ):
            return None
        if not waiting.preferred:
            ready = [state.instance for state in usable]
            waiting.preferred = find_preferred_engine(ask, ready)
        state, slot_wait_s = self._chooser.choose(
            ask,
            usable,
            waiting.preferred,
            scan.measure_ahead(),
            immediate=immediate,
        )
        if immediate:
            must_wait = slot_wait_s > PREEMPTION_PENALTY_S
        else:
            must_wait = slot_wait_s > 0 or state.wait_s > maximum_s
        return None if must_wait else ChosenEngine(state, immediate)

    def _pass_over(self, scan: GroupScan, waiting: WaitingPrompt) -> None:
        if scan.states:
            state = scan.states[0]
            own_s = self._chooser.predict_own_prefill(waiting.ask, state)
            is_known = state.speed.shared.is_known()
            scan.prefill_s += own_s if is_known else own_s * _UNKNOWN_SHARE
            use = state.slots.use
            scan.hold_s += use.predict_hold(waiting.ask.class_name)


def _deny(ask: Ask, waited_s: float, ahead_s: float) -> Denial:
    logger.info(
        'prompt-denied',
        request_id=ask.request_id,
        urgency=ask.urgency,
        waited_ms=convert_to_ms(waited_s),
        ahead_ms=convert_to_ms(ahead_s),
    )
    return Denial(
        ask.request_id,
        OVERLOADED,
        convert_to_ms(max(_DENIED_RETRY_S, ahead_s)),
        convert_to_ms(waited_s),
    )


def _exclude_avoided(ask: Ask, states: list[EngineState]) -> list[EngineState]:
    if not ask.avoided:
        return states
    return [state for state in states if state.instance.name not in ask.avoided]
