"""Admission of prompts to the engines of a group, for all hosts.

The load that this answers: long prompts of lower tiers that arrive together.
An engine prefills what it was sent in turn, so a short prompt of the top tier
that arrives behind them misses its target. One host keeps the waiting order
and lets long prompts in as engines come to their end of earlier ones.
"""

from __future__ import annotations

import eventlet

from egretdale.coordination.engine_choice import (
    EngineChooser,
    EngineState,
    find_preferred,
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

#: Reason of a denial that only says that the request waits.
HELD = 'held'
#: Reason of a denial for a request that would miss its deadline.
OVERLOADED = 'overloaded'

_TICK_S = 0.01
#: Shortest time between two looks at all waiting requests of a group.
_PAUSE_S = 0.005
#: Requests with a shorter target in seconds go to an engine at once.
_SHORT_TARGET_S = 0.3
#: Prefill in seconds that an engine has ahead of it when it gets the next
#: prompt: enough to keep it busy, little for a short prompt to wait for.
_AHEAD_S = 0.08
#: Part of the time left that a request may spend waiting.
_WAIT_SHARE = 0.4
#: Part of the prefill of a tier that goes to its oldest request, so that long
#: prompts get a turn in a lasting overload.
_OLDEST_SHARE = 0.1
#: Shortest time after which a denied request may come back, in seconds.
_DENIED_RETRY_S = 0.3


class PrefillAllocator(MeshListener):
    """Grants engines to the requests of all hosts.

    It may lose its state at any time: engines are then thought idle, and
    hosts whose requests were forgotten choose by themselves.
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
        """Handle the requests in a batch.

        :param batch: batch of a host.
        :return: a batch with the replies that can be given at once.
        """
        answer = Batch(self._mesh.table.own_host, 0)
        for message in batch.asks:
            answer.replies.append(self.take(batch.sender, message))
        return answer

    def take(self, host: str, message: GroupAsk) -> GroupReply:
        """Handle the requests of a host for one group.

        :param host: name of the host.
        :param message: its requests.
        :return: grants, and word of the requests that wait.
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
        own = self._serve_now(message, queue, host)
        for ask in message.asks:
            if ask.request_id in queue.waiting:
                own.denials.append(Denial(ask.request_id, HELD))
        if queue.waiting:
            self._start_ticks()
        return own

    def forget(self, instance: Instance) -> None:
        """Drop what is known of an engine that has gone.

        :param instance: the engine.
        """
        self._chooser.forget(instance.incarnation_name)

    # Grants

    def _start_ticks(self) -> None:
        if not self._ticking:
            self._ticking = True
            eventlet.spawn_n(self._run_ticks)

    def _run_ticks(self) -> None:
        while any(queue.waiting for queue in self._queues.values()):
            eventlet.sleep(_TICK_S)
            for group, queue in list(self._queues.items()):
                if queue.waiting:
                    self._post(self._serve(group, queue))
        self._ticking = False

    def _post(self, replies: dict[str, GroupReply]) -> None:
        for host, reply in replies.items():
            self._mesh.post_reply(host, reply)

    def _serve_now(
        self, message: GroupAsk, queue: GroupQueue, host: str
    ) -> GroupReply:
        """Decide on requests that have just arrived.

        While requests come faster than all can be looked at, only those that
        never wait are decided on; the others follow with the next tick.

        :param message: the new requests.
        :param queue: all requests of the group.
        :param host: the host that sent them.
        :return: the reply to this host.
        """
        only_new = len(queue.waiting) <= len(message.asks)
        if only_new or self._clock() >= queue.scanned_at + _PAUSE_S:
            replies = self._serve(message.group, queue)
        else:
            short = [
                queue.waiting[ask.request_id]
                for ask in message.asks
                if _is_short(ask)
            ]
            replies = self._decide_all(message.group, queue, short)
        own = replies.pop(host, GroupReply(message.group))
        self._post(replies)
        return own

    def _serve(self, group: str, queue: GroupQueue) -> dict[str, GroupReply]:
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
        ahead = 0
        for waiting in ordered:
            ahead_s = predict_prefill(ahead) / max(1, len(states))
            decision = self._decide(queue, waiting, states, ahead_s)
            if decision is None:
                ahead += waiting.own_tokens
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
        usable = _list_usable(ask, states)
        if not usable:
            return Denial(ask.request_id, OVERLOADED)
        if not _is_short(ask) and not _has_room(usable):
            return None
        if not waiting.preferred:
            ready = [state.instance for state in usable]
            waiting.preferred = find_preferred(ask, ready)
        state = self._chooser.choose(ask, usable, waiting.preferred, ahead_s)
        if state.wait_s > _AHEAD_S and not _is_short(ask):
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


def _list_usable(ask: Ask, states: list[EngineState]) -> list[EngineState]:
    if not ask.avoided:
        return states
    return [state for state in states if state.instance.name not in ask.avoided]


def _has_room(usable: list[EngineState]) -> bool:
    return any(state.wait_s <= _AHEAD_S for state in usable)


def _is_short(ask: Ask) -> bool:
    return convert_to_seconds(ask.target_ms) <= _SHORT_TARGET_S


def _order(queue: GroupQueue) -> list[WaitingPrompt]:
    """Order the waiting requests of a group.

    Tiers go strictly first. Within one, the prompt with the fewest tokens of
    its own goes first: in a burst most requests are then served in time, and
    those that are not are the few that take the most of the engines. Shared
    parts do not count, as an allocator that has just started does not know
    which are held. A part of the prefill goes to the oldest.

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
