"""Decision on when a prompt is sent to which engine, and when it is refused.

This serves bursts of long prompts on engines of unknown speed and with few
slots. A prompt waits until an engine has a free slot and little to prefill,
so that urgent prompts neither wait behind others nor preempt them.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from egretdale.coordination.engine_choice import (
    EngineChooser,
    EngineState,
    PromptCost,
    find_preferred_engine,
)
from egretdale.coordination.prefill_scans import (
    GroupCapacity,
    GroupScan,
    Precedence,
)
from egretdale.state.engine_slots import PREEMPTION_PENALTY_S
from egretdale.state.messages import Ask, Denial
from egretdale.state.prompts import GroupQueue, WaitingPrompt
from egretdale.util.clocks import Clock, convert_to_ms
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
_MAXIMUM_BACKLOG_S = 0.08
#: Part of the same time that a prompt with a short target may spend on it, if
#: its tier is not the highest with such a target.
_SHORT_BACKLOG_SHARE = 0.8
#: Factor on the speed of the engines, while it is only assumed, for refusals.
_ASSUMED_SPEED_FACTOR = 2
#: Minimum retry time in seconds of a denied request.
_DENIED_RETRY_S = 0.3


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
        self, service: str, queue: GroupQueue, states: list[EngineState]
    ) -> GroupScan:
        """Start a pass over the waiting requests of a group.

        :param service: service of the group.
        :param queue: the requests.
        :param states: engines of the group.
        :return: state of the pass.
        """
        speed = self._chooser.backlogs.speeds.find_service(service)
        spare_s = queue.find_shortest_target() - speed.floor_s
        maximum_s = max(_MINIMUM_BACKLOG_S, spare_s * _BACKLOG_SHARE)
        capacity = self._measure_capacity(states)
        if not speed.is_known():
            capacity.prefill_rate *= _ASSUMED_SPEED_FACTOR
        scan = GroupScan(
            queue,
            states,
            speed,
            self._chooser.slots.find_use(service),
            min(maximum_s, _MAXIMUM_BACKLOG_S),
            max(_MINIMUM_BACKLOG_S, spare_s * _SHORT_BACKLOG_SHARE),
            capacity,
        )
        self._update_capacity(scan)
        return scan

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
        if not scan.is_acceptable(waiting, waited_s):
            scan.queue.note_refusal(waiting)
            return _deny(ask, waited_s, scan.ahead_s)
        if not any(_may_use(ask, state) for state in scan.states):
            return Denial(ask.request_id, OVERLOADED)
        own_s = scan.speed.predict(waiting.own_work)
        is_long = own_s >= scan.use.prefill_s
        must_wait = scan.is_crowded if is_long else scan.is_full
        precedence = scan.find_precedence(ask)
        if not must_wait or precedence != Precedence.NONE:
            prompt = PromptCost(
                ask,
                own_s,
                scan.speed.predict(waiting.full_work),
                scan.use.limit_concurrency() if is_long else math.inf,
                precedence != Precedence.NONE,
            )
            chosen = self._choose(scan, waiting, prompt)
            if chosen is not None:
                return chosen
        scan.pass_over(waiting, own_s)
        return None

    def note_grant(self, scan: GroupScan) -> None:
        """Update a pass after a request was sent to an engine.

        :param scan: state of the pass.
        """
        self._update_capacity(scan)

    def _choose(
        self,
        scan: GroupScan,
        waiting: WaitingPrompt,
        prompt: PromptCost,
    ) -> ChosenEngine | None:
        usable = [
            state
            for state in scan.states
            if _may_use(waiting.ask, state)
            and self._chooser.may_send(waiting.ask, state)
        ]
        if not usable:
            return None
        if not waiting.preferred:
            ready = [state.instance for state in scan.states]
            waiting.preferred = find_preferred_engine(waiting.ask, ready)
        state, slot_wait_s = self._chooser.choose(
            prompt, usable, waiting.preferred, scan.ahead_s
        )
        match scan.find_precedence(waiting.ask):
            case Precedence.ALL:
                must_wait = slot_wait_s > PREEMPTION_PENALTY_S
            case Precedence.BACKLOG:
                is_busy = state.wait_s > scan.short_backlog_s
                must_wait = is_busy or slot_wait_s > PREEMPTION_PENALTY_S
            case Precedence.NONE:
                is_busy = state.wait_s > scan.maximum_backlog_s
                must_wait = is_busy or slot_wait_s > 0
        if must_wait:
            return None
        is_first = scan.find_precedence(waiting.ask) == Precedence.ALL
        return ChosenEngine(state, is_first)

    def _measure_capacity(self, states: list[EngineState]) -> GroupCapacity:
        capacity = GroupCapacity()
        for state in states:
            capacity.add(state, self._chooser.gates.find_rate(state.instance))
        return capacity

    def _update_capacity(self, scan: GroupScan) -> None:
        idle = [
            state.slots
            for state in scan.states
            if state.wait_s <= scan.maximum_backlog_s and not state.limit_wait_s
        ]
        slots = self._chooser.slots
        limit = scan.use.limit_concurrency()
        scan.is_crowded = all(slots.is_full(entry, limit) for entry in idle)
        scan.is_full = scan.is_crowded and all(
            slots.is_full(entry, math.inf) for entry in idle
        )


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


def _may_use(ask: Ask, state: EngineState) -> bool:
    if not ask.avoided and not ask.software_version:
        return True
    instance = state.instance
    return instance.name not in ask.avoided and instance.runs_version(
        ask.software_version
    )
