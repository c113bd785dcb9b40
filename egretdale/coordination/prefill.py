"""Admission of prompts to the engines of a group, for all hosts.

This serves bursts of long prompts of lower tiers. An engine prefills prompts
in the order in which they were sent, so a short prompt of the top tier that
arrives behind such a burst would miss its target. One host therefore keeps the
queue of the group and sends long prompts as engines finish earlier ones.
"""

from __future__ import annotations

import eventlet

from egretdale.coordination.engine_choice import (
    EngineChooser,
    EngineState,
    find_preferred_engine,
)
from egretdale.coordination.mesh import Mesh, MeshListener
from egretdale.state.backlogs import predict_prefill
from egretdale.state.groups import GroupMap
from egretdale.state.instances import Instance, InstanceTable
from egretdale.state.messages import (
    Ask,
    Batch,
    Denial,
    Done,
    Grant,
    GroupAsk,
    GroupReply,
)
from egretdale.state.prompts import GrantedPrompt, GroupQueue, WaitingPrompt
from egretdale.util.clocks import (
    Clock,
    convert_to_ms,
    convert_to_seconds,
)
from egretdale.util.logs import get_logger

logger = get_logger(__name__)

#: Reason of a denial that only confirms that the request is queued.
QUEUED = 'held'
#: Reason of a denial for a request that no engine can serve in time.
OVERLOADED = 'overloaded'

_TICK_S = 0.01
#: Minimum time in seconds between two scans of a group's waiting requests
#: when new ones arrive.
_SCAN_INTERVAL_S = 0.005
#: Requests with at most this target in seconds go to an engine at once.
_SHORT_TARGET_S = 0.3
#: Maximum outstanding prefill in seconds of an engine that gets another
#: prompt: enough to keep it busy, little for a short prompt to wait for.
_MAXIMUM_BACKLOG_S = 0.08
#: Part of the time until its deadline that a request may spend waiting.
_WAIT_SHARE = 0.4
#: Part of the prefill of a tier that goes to its oldest request, so that long
#: prompts are not starved in a lasting overload.
_OLDEST_SHARE = 0.1
#: Minimum retry time in seconds of a denied request.
_DENIED_RETRY_S = 0.3


class PrefillAllocator(MeshListener):
    """Grants engines to the requests of all hosts.

    Its state may be lost at any time: engines are then assumed to be idle,
    and hosts that get no reply choose engines by themselves.
    """

    __slots__ = (
        '_chooser',
        '_clock',
        '_groups',
        '_mesh',
        '_queues',
        '_ticking',
    )

    def __init__(
        self, mesh: Mesh, instances: InstanceTable, clock: Clock
    ) -> None:
        """Create an allocator without requests.

        :param mesh: links to the hosts.
        :param instances: backend servers.
        :param clock: monotonic clock.
        """
        self._mesh = mesh
        self._groups = GroupMap(instances)
        self._clock = clock
        self._chooser = EngineChooser(clock)
        self._queues: dict[str, GroupQueue] = {}
        self._ticking = False

    def handle(self, batch: Batch) -> Batch:
        """Handle the messages of a batch.

        :param batch: batch of a host.
        :return: a batch with the immediate replies.
        """
        answer = Batch(self._mesh.table.own_host, 0)
        for message in batch.asks:
            answer.replies.append(self.handle_message(batch.sender, message))
        return answer

    def handle_message(self, host: str, message: GroupAsk) -> GroupReply:
        """Handle a message of a host for one group.

        :param host: name of the host.
        :param message: its new and withdrawn requests and the granted ones that
            no longer wait for a first token.
        :return: grants and denials, also those that only confirm a wait.
        """
        queue = self._queues.setdefault(message.group, GroupQueue())
        for done in message.done:
            self._finish(queue, done)
        for request_id in message.withdrawn:
            queue.waiting.pop(request_id, None)
            self._finish(queue, Done(request_id, ''))
        now = self._clock()
        for ask in message.asks:
            queue.waiting[ask.request_id] = WaitingPrompt(ask, host, now)
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
        self._chooser.forget(instance.incarnation_name)

    # Grants

    def _ensure_ticking(self) -> None:
        if not self._ticking:
            self._ticking = True
            eventlet.spawn_n(self._run_ticks)

    def _run_ticks(self) -> None:
        while any(queue.waiting for queue in self._queues.values()):
            eventlet.sleep(_TICK_S)
            for group, queue in list(self._queues.items()):
                if queue.waiting:
                    self._post(self._decide_waiting(group, queue))
        self._ticking = False

    def _post(self, replies: dict[str, GroupReply]) -> None:
        for host, reply in replies.items():
            self._mesh.post_reply(host, reply)

    def _decide_on_arrival(
        self, message: GroupAsk, queue: GroupQueue, host: str
    ) -> GroupReply:
        """Decide on requests that have just arrived.

        When the group was scanned only just before, only requests that never
        wait are decided on; the others follow with the next tick.

        :param message: the new requests.
        :param queue: all requests of the group.
        :param host: the host that sent them.
        :return: the reply to that host.
        """
        only_new = len(queue.waiting) <= len(message.asks)
        if only_new or self._clock() >= queue.scanned_at + _SCAN_INTERVAL_S:
            replies = self._decide_waiting(message.group, queue)
        else:
            short = [
                queue.waiting[ask.request_id]
                for ask in message.asks
                if _is_short(ask)
            ]
            replies = self._decide_all(message.group, queue, short)
        reply = replies.pop(host, GroupReply(message.group))
        self._post(replies)
        return reply

    def _decide_waiting(
        self, group: str, queue: GroupQueue
    ) -> dict[str, GroupReply]:
        """Decide on the waiting requests of a group.

        :param group: group key.
        :param queue: its requests.
        :return: replies by host.
        """
        queue.scanned_at = self._clock()
        self._expire(queue)
        return self._decide_all(group, queue, _order(queue))

    def _decide_all(
        self, group: str, queue: GroupQueue, ordered: list[WaitingPrompt]
    ) -> dict[str, GroupReply]:
        replies: dict[str, GroupReply] = {}
        if not ordered:
            return replies
        states = self._chooser.measure(self._groups.list_engines(group))
        waiting_tokens = 0
        for waiting in ordered:
            ahead_s = predict_prefill(waiting_tokens) / max(1, len(states))
            decision = self._decide(queue, waiting, states, ahead_s)
            if decision is None:
                waiting_tokens += waiting.own_tokens
                continue
            queue.waiting.pop(waiting.ask.request_id)
            reply = replies.setdefault(waiting.host, GroupReply(group))
            if isinstance(decision, Grant):
                reply.grants.append(decision)
            else:
                reply.denials.append(decision)
        return replies

    def _decide(
        self,
        queue: GroupQueue,
        waiting: WaitingPrompt,
        states: list[EngineState],
        ahead_s: float,
    ) -> Grant | Denial | None:
        ask = waiting.ask
        waited_s = self._clock() - waiting.arrived_at
        if waited_s + ahead_s > convert_to_seconds(ask.left_ms) * _WAIT_SHARE:
            return self._deny(ask, waited_s, ahead_s)
        usable = _exclude_avoided(ask, states)
        if not usable:
            return Denial(ask.request_id, OVERLOADED)
        if not _is_short(ask) and not _has_free_engine(usable):
            return None
        if not waiting.preferred:
            ready = [state.instance for state in usable]
            waiting.preferred = find_preferred_engine(ask, ready)
        state = self._chooser.choose(ask, usable, waiting.preferred, ahead_s)
        if state.wait_s > _MAXIMUM_BACKLOG_S and not _is_short(ask):
            return None
        tokens = self._chooser.reserve(ask, state)
        if not _is_short(ask):
            queue.note_grant(waiting, _OLDEST_SHARE)
        queue.granted[ask.request_id] = GrantedPrompt(
            state.name,
            self._clock() + convert_to_seconds(ask.left_ms),
            _is_short(ask),
        )
        return Grant(ask.request_id, state.instance.name, tokens)

    def _deny(self, ask: Ask, waited_s: float, ahead_s: float) -> Denial:
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

    def _finish(self, queue: GroupQueue, done: Done) -> None:
        granted = queue.granted.pop(done.request_id, None)
        if granted is None:
            return
        tokens = self._chooser.backlogs.finish(granted.engine, done.request_id)
        if granted.short and done.first_token_ms >= 0:
            first_token_s = convert_to_seconds(done.first_token_ms)
            self._chooser.backlogs.learn_delay(
                granted.engine, tokens, first_token_s
            )

    def _expire(self, queue: GroupQueue) -> None:
        now = self._clock()
        expired = [
            request_id
            for request_id, granted in queue.granted.items()
            if granted.expires_at <= now
        ]
        for request_id in expired:
            self._finish(queue, Done(request_id, ''))


def _exclude_avoided(ask: Ask, states: list[EngineState]) -> list[EngineState]:
    if not ask.avoided:
        return states
    return [state for state in states if state.instance.name not in ask.avoided]


def _has_free_engine(usable: list[EngineState]) -> bool:
    return any(state.wait_s <= _MAXIMUM_BACKLOG_S for state in usable)


def _is_short(ask: Ask) -> bool:
    return convert_to_seconds(ask.target_ms) <= _SHORT_TARGET_S


def _order(queue: GroupQueue) -> list[WaitingPrompt]:
    """Order the waiting requests of a group.

    Higher tiers always go first. Within a tier, the prompt with the fewest
    tokens outside its shared part goes first: in a burst most requests are
    then served in time, and the late ones are the few that need the most
    prefill. Shared parts do not count, as an allocator that has just started
    does not know where they are cached. A part of the prefill of each tier
    goes to its oldest request.

    :param queue: the requests.
    :return: the requests, the next one first.
    """
    entitled = {
        oldest.ask.request_id
        for oldest in queue.list_oldest().values()
        if queue.has_enough_credit(oldest)
    }

    def rank(waiting: WaitingPrompt) -> tuple[int, bool, int]:
        ask = waiting.ask
        return (
            ask.urgency,
            ask.request_id not in entitled,
            waiting.own_tokens,
        )

    return sorted(queue.waiting.values(), key=rank)
