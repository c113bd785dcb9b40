"""What a request takes at an engine, and what it costs other requests there.

The prefill that a cached part saves is weighed against the wait at the engine
that has it. A copy of the part elsewhere delays the requests of that engine and
evicts parts that they need.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from egretdale.state.cache_models import CacheModel
from egretdale.state.engine_slots import EngineSlots, SlotTable
from egretdale.state.instances import Instance
from egretdale.state.messages import Ask
from egretdale.state.recent_work import RecentWork
from egretdale.state.speeds import PrefillWork, SpeedTable
from egretdale.util.clocks import Clock

#: Bound on the weight of prefill that another copy of a part takes.
_MAXIMUM_COPY_WEIGHT = 4.0
#: Part of the time that engines are assumed to prefill, until that is known,
#: and the time in seconds in which the assumption loses most of its weight.
_ASSUMED_LOAD = 0.67
_ASSUMED_LOAD_S = 4.0
#: Penalty for the first copy of a part on another engine than the one that all
#: hosts prefer for it, as a part of its prefill.
_STRAY_WEIGHT = 0.3
#: Seconds until a first token is known to an allocator.
_REPORT_S = 0.05
#: Weight of the gaps that a prompt causes in concurrent streams, in s² for
#: each second of prefill and unit of sensitivity.
_INTERFERENCE_WEIGHT = 0.02
#: Seconds until the waiting requests are served at which that weight is halved.
_HALF_WEIGHT_QUEUE_S = 0.5


@dataclass(slots=True)
class EngineState:
    """Snapshot of an engine's load and cache.

    :ivar instance: its entry in the list of backend servers.
    :ivar name: name of its incarnation.
    :ivar wait_s: seconds of prefill that are outstanding.
    :ivar delay_s: seconds by which its first tokens were late recently.
    :ivar cache: model of its memory.
    :ivar recent: prefill and streams that it was sent recently.
    :ivar factor: time that a prefill takes there, as a multiple of the usual
        time.
    :ivar slots: its slots.
    :ivar limit_wait_s: seconds until its request limit allows another request.
    :ivar rejections_per_s: requests that it can reject in a second without
        falling over, ``None`` for any number.
    """

    instance: Instance
    name: str
    wait_s: float
    delay_s: float
    cache: CacheModel
    recent: RecentWork
    factor: float
    slots: EngineSlots
    limit_wait_s: float = 0
    rejections_per_s: float | None = None


@dataclass(slots=True, frozen=True)
class PromptCost:
    """A request and what it takes at an engine of usual speed.

    :ivar ask: the request.
    :ivar own_s: seconds of prefill if the shared part is cached.
    :ivar full_s: seconds of prefill if nothing is cached.
    :ivar concurrency: number of requests beside which it may run.
    :ivar immediate: whether it may preempt others.
    """

    ask: Ask
    own_s: float
    full_s: float
    concurrency: float
    immediate: bool

    @property
    def shared_s(self) -> float:
        """Seconds of prefill that a cached part saves."""
        return self.full_s - self.own_s


@dataclass(slots=True, frozen=True)
class Weighing:
    """A request whose engine is being chosen.

    :ivar prompt: the request.
    :ivar preferred: name of the engine that all hosts prefer.
    :ivar is_held: whether an engine that it may go to has its shared part.
    :ivar gap_sensitivity: how sensitive its stream is to gaps, in 1/s².
    :ivar interference_weight: weight of gaps in streams.
    :ivar now: clock time.
    """

    prompt: PromptCost
    preferred: str
    is_held: bool
    gap_sensitivity: float
    interference_weight: float
    now: float


@dataclass(slots=True, frozen=True)
class EngineCost:
    """What a request takes at an engine.

    :ivar total_s: seconds until its first token, and what others lose.
    :ivar hold_s: seconds for which it must not be sent there yet.
    """

    total_s: float
    hold_s: float


@dataclass(slots=True, frozen=True)
class Placement:
    """Why a request was placed at an engine.

    :ivar wait_s: seconds of prefill that are outstanding there.
    :ivar prefill_s: seconds of its own prefill there.
    :ivar saved_s: seconds of prefill that its cached part saves.
    :ivar evicted_tokens: tokens of other parts that it will probably cause to
        be prefilled again.
    """

    wait_s: float
    prefill_s: float
    saved_s: float
    evicted_tokens: int


class EngineCosts:
    """Weighs requests at engines."""

    __slots__ = ('_slots', '_speeds', '_started_at')

    def __init__(
        self, slots: SlotTable, speeds: SpeedTable, clock: Clock
    ) -> None:
        """Start with an assumed load.

        :param slots: slots of the engines.
        :param speeds: prefill speeds of the engines.
        :param clock: monotonic clock.
        """
        self._slots = slots
        self._speeds = speeds
        self._started_at = clock()

    def weigh(self, weighing: Weighing, state: EngineState) -> EngineCost:
        """Weigh a request at an engine.

        :param weighing: the request.
        :param state: the engine.
        :return: what it takes there.
        """
        prompt = weighing.prompt
        part = state.cache.find(prompt.ask.prefix)
        cost = self._weigh_prefill(weighing, state, is_cached=part is not None)
        if part is None or not part.reader or prompt.immediate:
            return cost
        # Another request prefills the part: wait for that, or prefill it also.
        reading_s = max(cost.hold_s, state.wait_s + _REPORT_S)
        waited_s = reading_s - max(state.wait_s, cost.hold_s)
        waiting = EngineCost(cost.total_s + waited_s, reading_s)
        again = self._weigh_prefill(weighing, state, is_cached=False)
        return min(waiting, again, key=_get_total)

    def _weigh_prefill(
        self, weighing: Weighing, state: EngineState, *, is_cached: bool
    ) -> EngineCost:
        prompt = weighing.prompt
        hold_s = self._predict_hold(prompt, state)
        prefill_s = prompt.own_s * state.factor
        lost_s = self._measure_evictions(weighing, state)
        if not is_cached:
            read_s = prompt.shared_s * state.factor
            prefill_s += read_s
            lost_s += read_s * self._weigh_copy(weighing, state)
        recent = state.recent
        interference = (
            prefill_s * recent.gap_sensitivity
            + recent.prefill_s * weighing.gap_sensitivity
        )
        total_s = (
            max(state.wait_s, hold_s)
            + state.delay_s
            + prefill_s
            + lost_s
            + interference * weighing.interference_weight
        )
        return EngineCost(total_s, hold_s)

    def _weigh_copy(self, weighing: Weighing, state: EngineState) -> float:
        """Weigh what others lose by the prefill of a shared part.

        A second of prefill lengthens the time in which an engine is busy by
        more than a second, the more so the higher its load is: that of its
        prefill or of its slots, which are held for longer.

        :param weighing: the request.
        :param state: the engine.
        :return: the loss as a multiple of the prefill.
        """
        if not weighing.is_held:
            is_preferred = state.instance.name == weighing.preferred
            return 0 if is_preferred else _STRAY_WEIGHT
        age_s = weighing.now - self._started_at
        assumed = _ASSUMED_LOAD * math.exp(-age_s / _ASSUMED_LOAD_S)
        free = 1 - max(state.recent.load, state.slots.load, assumed)
        return 1 / max(free, 1 / _MAXIMUM_COPY_WEIGHT) - 1

    def _measure_evictions(
        self, weighing: Weighing, state: EngineState
    ) -> float:
        displaced = state.cache.predict_displacement(
            weighing.prompt.ask, weighing.now
        )
        if not displaced:
            return 0
        speed = self._speeds.find(state.instance)
        return speed.predict(PrefillWork(round(displaced)))

    def _predict_hold(self, prompt: PromptCost, state: EngineState) -> float:
        if prompt.immediate:
            urgency = prompt.ask.urgency
            return self._slots.predict_urgent_wait(state.slots, urgency)
        return self._slots.predict_wait(state.slots, prompt.concurrency)


def weigh_interference(ahead_s: float) -> float:
    """Weigh the gaps in streams that prefill causes.

    Avoiding gaps counts less the more prompts wait, so that no engine is left
    idle for the sake of its streams.

    :param ahead_s: seconds until the waiting requests are served.
    :return: the weight, in s² for each second of prefill and unit of
        sensitivity.
    """
    return _INTERFERENCE_WEIGHT / (1 + ahead_s / _HALF_WEIGHT_QUEUE_S)


def _get_total(cost: EngineCost) -> float:
    return cost.total_s
