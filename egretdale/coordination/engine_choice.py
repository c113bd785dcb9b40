"""Choice of the engine for a prompt by cached parts and outstanding prefill.

This serves traffic in which most of each prompt is a shared part, and engines
whose memory does not hold all parts. For each request, the prefill that a
cached part saves is weighed against the wait at the engine that has it, the
prefill of others that another copy delays, and the parts that it evicts.
"""

from __future__ import annotations

from egretdale.coordination.engine_costs import (
    EngineCosts,
    EngineState,
    Placement,
    PromptCost,
    Weighing,
    weigh_interference,
)
from egretdale.state.backlogs import BacklogTable
from egretdale.state.cache_models import CacheTable
from egretdale.state.engine_slots import SlotTable, StreamTime
from egretdale.state.instances import Instance
from egretdale.state.messages import Ask
from egretdale.state.prompts import GrantedPrompt
from egretdale.state.recent_work import (
    RecentWorkTable,
    compute_gap_sensitivity,
)
from egretdale.state.request_gates import RequestGates
from egretdale.state.routing import CapacityLookup, find_no_capacity
from egretdale.state.speeds import SpeedTable, measure_work
from egretdale.util.clocks import Clock, convert_to_seconds
from egretdale.util.hashing import rank_by_rendezvous


class EngineChooser:
    """Tracks what engines have cached and have to prefill, and chooses one."""

    __slots__ = (
        '_caches',
        '_clock',
        '_costs',
        '_find_capacity',
        '_recent_work',
        'backlogs',
        'gates',
        'slots',
    )

    def __init__(
        self,
        clock: Clock,
        speeds: SpeedTable,
        gates: RequestGates,
        find_capacity: CapacityLookup = find_no_capacity,
    ) -> None:
        """Create a chooser that assumes all engines to be idle and empty.

        :param clock: monotonic clock.
        :param speeds: prefill speeds of the engines.
        :param gates: pace of the requests to limited engines.
        :param find_capacity: finds the capacity of the engines of a service.
        """
        self.gates = gates
        self.backlogs = BacklogTable(clock, speeds)
        self.slots = SlotTable(clock)
        self._clock = clock
        self._recent_work = RecentWorkTable(clock)
        self._caches = CacheTable()
        self._find_capacity = find_capacity
        self._costs = EngineCosts(self.slots, speeds, clock)

    def measure(self, ready: list[Instance]) -> list[EngineState]:
        """Take snapshots of engines for a series of decisions.

        :param ready: engines that take new work.
        :return: the snapshots.
        """
        states = []
        for instance in ready:
            name = instance.incarnation_name
            wait_s = self.backlogs.measure_wait(name)
            delay_s = self.backlogs.measure_delay(name)
            capacity = self._find_capacity(instance.service)
            cache = self._caches.find(name, capacity.cache_tokens)
            recent = self._recent_work.find(name)
            states.append(
                EngineState(
                    instance,
                    name,
                    wait_s,
                    delay_s,
                    cache,
                    recent,
                    self.backlogs.speeds.find(instance).factor,
                    self.slots.find(instance),
                    self.gates.measure_wait(instance),
                    self.gates.find_rejection_rate(instance),
                )
            )
        return states

    def choose(
        self,
        prompt: PromptCost,
        usable: list[EngineState],
        preferred: str,
        ahead_s: float,
    ) -> tuple[EngineState, float]:
        """Choose the engine with the earliest expected first token.

        The expected time is increased by what others lose: by prefill of a
        part that is cached elsewhere, by parts that are evicted and by gaps in
        streams.

        :param prompt: the request and its prefill.
        :param usable: engines that it may go to.
        :param preferred: name of the engine that all hosts prefer.
        :param ahead_s: seconds until the waiting requests are served.
        :return: the engine, which may have outstanding prefill, and the
            seconds after which it has a slot for the request and its part.
        """
        weighing = Weighing(
            prompt,
            preferred,
            any(state.cache.find(prompt.ask.prefix) for state in usable),
            compute_gap_sensitivity(convert_to_seconds(prompt.ask.pause_ms)),
            weigh_interference(ahead_s),
            self._clock(),
        )
        best, best_rank, hold_s = usable[0], None, float(0)
        for state in usable:
            cost = self._costs.weigh(weighing, state)
            # Requests without a prompt cost the same at each engine.
            is_other = state.instance.name != preferred
            rank = (cost.total_s, len(state.slots.held), is_other)
            if best_rank is None or rank < best_rank:
                best, best_rank, hold_s = state, rank, cost.hold_s
        return best, hold_s

    def may_send(self, ask: Ask, state: EngineState) -> bool:
        """Tell whether an engine takes a request now.

        A brittle one gets only requests that it has room for, as each of them
        may be rejected until it has its first token.

        :param ask: the request.
        :param state: the engine.
        """
        if state.limit_wait_s:
            return False
        if state.rejections_per_s is None:
            return True
        outstanding = 0
        if ask.prompt_tokens:
            outstanding = self.backlogs.count_outstanding(state.name)
        return self.slots.has_safe_room(
            state.slots, outstanding, state.rejections_per_s
        )

    def reserve(self, ask: Ask, state: EngineState) -> int:
        """Record that a request is sent to an engine.

        :param ask: the request.
        :param state: the engine; its outstanding prefill and its cache are
            updated.
        :return: prompt tokens that it probably has to prefill.
        """
        tokens = self.count_uncached_tokens(ask, state.name)
        work = measure_work(tokens, ask.prompt_tokens)
        self.backlogs.add(state.instance, ask.request_id, work)
        prefill_s = self.backlogs.speeds.find(state.instance).predict(work)
        state.slots.use.note_request(ask.maximum_tokens, prefill_s)
        self._recent_work.note(
            state.name, prefill_s, convert_to_seconds(ask.pause_ms)
        )
        state.cache.begin(ask, self._clock())
        self.gates.take(state.instance)
        state.limit_wait_s = self.gates.measure_wait(state.instance)
        state.wait_s = self.backlogs.measure_wait(state.name)
        return tokens

    def explain(self, ask: Ask, state: EngineState) -> Placement:
        """Explain a choice, before it is recorded.

        :param ask: the request.
        :param state: the chosen engine.
        :return: what is saved there and what is waited for.
        """
        speed = self.backlogs.speeds.find(state.instance)
        tokens = self.count_uncached_tokens(ask, state.name)
        full = measure_work(ask.prompt_tokens, ask.prompt_tokens)
        prefill_s = speed.predict(measure_work(tokens, ask.prompt_tokens))
        evicted = state.cache.predict_displacement(ask, self._clock())
        return Placement(
            state.wait_s,
            prefill_s,
            speed.predict(full) - prefill_s,
            round(evicted),
        )

    def hold_slot(self, ask: Ask, state: EngineState) -> None:
        """Record that a request holds a slot until it is released.

        :param ask: the request.
        :param state: the engine.
        """
        self.slots.begin(state.instance, ask.request_id, ask.urgency)

    def note_first_token(self, granted: GrantedPrompt, request_id: str) -> None:
        """Record that an engine has prefilled the prompt of a request.

        :param granted: the request.
        :param request_id: ID of the request.
        """
        cache = self._caches.find_known(granted.engine)
        if cache is not None:
            cache.note_first_token(request_id)

    def release(self, granted: GrantedPrompt, request_id: str) -> None:
        """Record that a request no longer runs.

        :param granted: the request.
        :param request_id: ID of the request.
        """
        self.backlogs.finish(granted.engine, request_id)
        self.slots.end(granted.engine, request_id)
        cache = self._caches.find_known(granted.engine)
        if cache is not None:
            cache.end(request_id)

    def note_stream(self, granted: GrantedPrompt, held_s: float) -> None:
        """Record that a request with a first token has ended.

        :param granted: the request.
        :param held_s: seconds for which it held a slot.
        """
        slots = self.slots.find_known(granted.engine)
        if slots is None or granted.first_token_s is None:
            return
        prefilled_s = self.backlogs.measure_prefilled(granted.engine)
        sample = StreamTime(
            granted.maximum_tokens,
            held_s,
            held_s - granted.first_token_s,
            prefilled_s - granted.prefilled_s,
        )
        slots.use.learn_stream(granted.class_name, sample)

    def count_uncached_tokens(self, ask: Ask, engine: str) -> int:
        """Count the prompt tokens that an engine probably has to prefill.

        :param ask: the request.
        :param engine: name of the incarnation.
        :return: tokens.
        """
        cache = self._caches.find_known(engine)
        held = cache is not None and cache.find(ask.prefix) is not None
        return ask.prompt_tokens - ask.shared_tokens * held

    def forget(self, instance: Instance) -> None:
        """Drop the state of an engine that has gone.

        :param instance: the engine.
        """
        engine = instance.incarnation_name
        self.gates.forget(instance.incarnation)
        self._caches.forget(engine)
        self.backlogs.forget(engine)
        self.slots.forget(engine)
        self._recent_work.forget(engine)


def find_preferred_engine(ask: Ask, ready: list[Instance]) -> str:
    """Find the engine that all hosts prefer for the shared part of a prompt.

    Rendezvous hashing gives the same engine on each host. Requests without a
    shared part are spread over the engines.

    :param ask: the request.
    :param ready: engines that take new work.
    :return: name of the engine, empty when there is none.
    """
    names = [entry.name for entry in ready if entry.name not in ask.avoided]
    key = str(ask.prefix) if ask.prefix else ask.request_id
    ranked = rank_by_rendezvous(key, names)
    return ranked[0] if ranked else ''
