"""Admission of prompts to the engines of a group, for all hosts.

This serves bursts of long prompts of lower tiers. An engine prefills prompts
in the order in which they were sent, so a short prompt of the top tier that
arrives behind such a burst would miss its target. One host therefore keeps the
queue of the group and sends long prompts as engines finish earlier ones.
"""

from __future__ import annotations

import itertools
from collections.abc import Iterable

import eventlet

from egretdale.coordination.engine_choice import EngineChooser
from egretdale.coordination.engine_costs import EngineState
from egretdale.coordination.mesh import Mesh, MeshListener
from egretdale.coordination.prefill_policy import ChosenEngine, PrefillPolicy
from egretdale.coordination.prefill_scans import GroupScan, Precedence
from egretdale.state.groups import GroupMap
from egretdale.state.instances import Instance, InstanceTable
from egretdale.state.messages import (
    Batch,
    Denial,
    Done,
    Grant,
    GroupAsk,
    GroupReply,
    Release,
)
from egretdale.state.groups import is_group_key
from egretdale.state.prompts import GrantedPrompt, GroupQueue, WaitingPrompt
from egretdale.state.request_gates import RequestGates
from egretdale.state.routing import CapacityLookup, find_no_capacity
from egretdale.state.speeds import SpeedTable
from egretdale.util.clocks import Clock, convert_to_ms, convert_to_seconds
from egretdale.util.logs import get_logger

logger = get_logger(__name__)

#: Reason of a denial that only confirms that the request is queued.
QUEUED = 'held'

#: Bounds on the time in seconds between two looks at the first waiting
#: requests, below the outstanding prefill that keeps an engine busy.
_MINIMUM_TICK_S = 0.01
_MAXIMUM_TICK_S = 0.04
#: Seconds for each waiting request between two scans of all, so that scans take
#: a bounded part of the processor.
_SCAN_PER_REQUEST_S = 0.0002
#: Requests that have to wait after which a look at the first ones ends.
_MAXIMUM_MISSES = 32
#: Seconds between two searches for requests that have certainly ended.
_EXPIRY_INTERVAL_S = 0.2


class PrefillAllocator(MeshListener):
    """Grants engines to the requests of all hosts.

    Its state may be lost at any time: engines are then assumed to be idle,
    and hosts that get no reply choose engines by themselves.
    """

    __slots__ = (
        '_chooser',
        '_clock',
        '_expired_at',
        '_groups',
        '_mesh',
        '_policy',
        '_queues',
        '_ticking',
    )

    def __init__(
        self,
        mesh: Mesh,
        instances: InstanceTable,
        clock: Clock,
        speeds: SpeedTable,
        gates: RequestGates,
        find_capacity: CapacityLookup = find_no_capacity,
    ) -> None:
        """Create an allocator without requests.

        :param mesh: links to the hosts.
        :param instances: backend servers.
        :param clock: monotonic clock.
        :param speeds: prefill speeds of the engines.
        :param gates: pace of the requests to limited engines.
        :param find_capacity: finds the capacity of the engines of a service.
        """
        self._mesh = mesh
        self._groups = GroupMap(instances)
        self._clock = clock
        self._chooser = EngineChooser(clock, speeds, gates, find_capacity)
        self._policy = PrefillPolicy(self._chooser, clock)
        self._queues: dict[str, GroupQueue] = {}
        self._expired_at = float('-inf')
        self._ticking = False

    def handle(self, batch: Batch) -> Batch:
        """Handle the messages of a batch.

        :param batch: batch of a host.
        :return: a batch with the immediate replies.
        """
        answer = Batch(self._mesh.table.own_host, 0)
        for message in batch.asks:
            if is_group_key(message.group):
                reply = self.handle_message(batch.sender, message)
                answer.replies.append(reply)
        return answer

    def handle_message(self, host: str, message: GroupAsk) -> GroupReply:
        """Handle a message of a host for one group.

        :param host: name of the host.
        :param message: its new and withdrawn requests, the granted ones that
            no longer wait for a first token, and those that have ended.
        :return: grants and denials, also those that only confirm a wait.
        """
        self._expire()
        queue = self._queues.setdefault(message.group, GroupQueue())
        for done in message.done:
            self._note_first_token(queue, done)
        for release in message.released:
            self._release(queue, release)
        for request_id in message.withdrawn:
            queue.waiting.pop(request_id, None)
            self._release(queue, Release(request_id))
        now = self._clock()
        for ask in message.asks:
            queue.note_arrival(
                WaitingPrompt(ask, host, now, message.reports_ends)
            )
        reply = self._decide_on_arrival(message, queue, host)
        for ask in message.asks:
            if ask.request_id in queue.waiting:
                reply.denials.append(Denial(ask.request_id, QUEUED))
        if queue.waiting:
            self._ensure_ticking()
        return reply

    def forget(self, instance: Instance) -> None:
        """Drop the state of an engine that has gone.

        :param instance: the engine.
        """
        self._chooser.forget(instance)

    # Grants

    def _ensure_ticking(self) -> None:
        if not self._ticking:
            self._ticking = True
            eventlet.spawn_n(self._run_ticks)

    def _run_ticks(self) -> None:
        while waiting := self._count_waiting():
            tick_s = max(_MINIMUM_TICK_S, waiting * _SCAN_PER_REQUEST_S)
            if self._has_prompts():
                tick_s = min(tick_s, _MAXIMUM_TICK_S)
            eventlet.sleep(tick_s)
            self._expire()
            for group, queue in list(self._queues.items()):
                if queue.waiting:
                    self._post(self._decide_waiting(group, queue))
        self._ticking = False

    def _has_prompts(self) -> bool:
        """Tell whether engines may run out of prompts to prefill."""
        return any(
            waiting.ask.prompt_tokens
            for queue in self._queues.values()
            for waiting in itertools.islice(queue.waiting.values(), 1)
        )

    def _count_waiting(self) -> int:
        return sum(len(queue.waiting) for queue in self._queues.values())

    def _post(self, replies: dict[str, GroupReply]) -> None:
        for host, reply in replies.items():
            self._mesh.post_reply(host, reply)

    def _decide_on_arrival(
        self, message: GroupAsk, queue: GroupQueue, host: str
    ) -> GroupReply:
        """Decide on requests that have just arrived.

        When earlier requests wait, only those with a short target are decided
        on; the others follow with the next tick.

        :param message: the new requests.
        :param queue: all requests of the group.
        :param host: the host that sent them.
        :return: the reply to that host.
        """
        replies: dict[str, GroupReply] = {}
        if not queue.waiting:
            return GroupReply(message.group)
        if len(queue.waiting) <= len(message.asks):
            replies = self._decide_waiting(message.group, queue)
        else:
            urgent = [
                queue.waiting[ask.request_id]
                for ask in message.asks
                if queue.is_short(ask)
            ]
            if urgent:
                replies = self._decide_all(message.group, queue, urgent)
        reply = replies.pop(host, GroupReply(message.group))
        self._post(replies)
        return reply

    def _decide_waiting(
        self, group: str, queue: GroupQueue
    ) -> dict[str, GroupReply]:
        """Decide on the waiting requests of a group.

        Between two scans of all requests only the first ones are looked at, so
        that engines do not run out of work when many wait.

        :param group: group key.
        :param queue: its requests.
        :return: replies by host.
        """
        now = self._clock()
        looks_at_all = now >= queue.scan_due_at
        if looks_at_all:
            queue.sort()
        replies = self._decide_all(
            group, queue, queue.list_ordered(), looks_at_all=looks_at_all
        )
        if looks_at_all:
            interval_s = len(queue.waiting) * _SCAN_PER_REQUEST_S
            queue.scan_due_at = now + interval_s - _MINIMUM_TICK_S / 2
        return replies

    def _decide_all(
        self,
        group: str,
        queue: GroupQueue,
        ordered: Iterable[WaitingPrompt],
        *,
        looks_at_all: bool = True,
    ) -> dict[str, GroupReply]:
        replies: dict[str, GroupReply] = {}
        states = self._chooser.measure(self._groups.list_engines(group))
        service = group.rsplit('/', 2)[0]
        scan = self._policy.begin_scan(service, queue, states)
        for waiting in ordered:
            if not looks_at_all and _may_stop(scan, waiting):
                break
            decision = self._policy.decide(scan, waiting)
            if decision is None:
                continue
            queue.waiting.pop(waiting.ask.request_id)
            reply = replies.setdefault(waiting.host, GroupReply(group))
            if isinstance(decision, ChosenEngine):
                reply.grants.append(self._grant(queue, waiting, decision))
                self._policy.note_grant(scan)
            else:
                reply.denials.append(decision)
        return replies

    def _grant(
        self, queue: GroupQueue, waiting: WaitingPrompt, chosen: ChosenEngine
    ) -> Grant:
        ask = waiting.ask
        state = chosen.state
        self._log_placement(waiting, state)
        tokens = self._chooser.reserve(ask, state)
        if waiting.reports_end:
            self._chooser.hold_slot(ask, state)
        queue.granted[ask.request_id] = GrantedPrompt(
            state.name,
            ask.class_name,
            ask.maximum_tokens,
            self._clock() + convert_to_seconds(ask.left_ms),
            chosen.immediate,
        )
        return Grant(ask.request_id, state.instance.name, tokens)

    def _log_placement(
        self, waiting: WaitingPrompt, state: EngineState
    ) -> None:
        ask = waiting.ask
        if not ask.shared_tokens:
            return
        placement = self._chooser.explain(ask, state)
        logger.info(
            'prompt-placed',
            request_id=ask.request_id,
            backend=state.instance.name,
            urgency=ask.urgency,
            waited_ms=convert_to_ms(self._clock() - waiting.arrived_at),
            wait_ms=convert_to_ms(placement.wait_s),
            prefill_ms=convert_to_ms(placement.prefill_s),
            saved_ms=convert_to_ms(placement.saved_s),
            evicted_tokens=placement.evicted_tokens,
        )

    def _note_first_token(self, queue: GroupQueue, done: Done) -> None:
        granted = queue.granted.get(done.request_id)
        if granted is None:
            return
        backlogs = self._chooser.backlogs
        if done.first_token_ms < 0:
            backlogs.finish(granted.engine, done.request_id)
            return
        self._chooser.note_first_token(granted, done.request_id)
        first_token_s = convert_to_seconds(done.first_token_ms)
        work = backlogs.finish(granted.engine, done.request_id, first_token_s)
        granted.first_token_s = first_token_s
        granted.prefilled_s = backlogs.measure_prefilled(granted.engine)
        if granted.immediate:
            backlogs.learn_delay(granted.engine, work, first_token_s)

    def _release(self, queue: GroupQueue, release: Release) -> None:
        granted = queue.granted.pop(release.request_id, None)
        if granted is None:
            return
        chooser = self._chooser
        chooser.release(granted, release.request_id)
        if release.rejected:
            chooser.slots.note_rejection(granted.engine)
        elif granted.first_token_s is not None and release.held_ms:
            held_s = convert_to_seconds(release.held_ms)
            chooser.note_stream(granted, held_s)

    def _expire(self) -> None:
        """Release the requests that have certainly ended, in all groups.

        Hosts that have died never release theirs, and the groups of a service
        change with the number of its engines.
        """
        now = self._clock()
        if now < self._expired_at + _EXPIRY_INTERVAL_S:
            return
        self._expired_at = now
        for queue in self._queues.values():
            for request_id in queue.list_expired(now):
                self._release(queue, Release(request_id))


def _may_stop(scan: GroupScan, waiting: WaitingPrompt) -> bool:
    if scan.find_precedence(waiting.ask) != Precedence.NONE:
        return False
    is_full = scan.is_full and scan.passed > 0
    return is_full or scan.passed >= _MAXIMUM_MISSES
