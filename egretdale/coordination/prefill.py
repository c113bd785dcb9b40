"""Admission of prompts to the engines of a service, for all hosts.

The load that this answers: long prompts of lower tiers that arrive together.
An engine prefills what it was sent in turn, so a short prompt of the top tier
that arrives behind them misses its target. One host keeps the waiting order
and lets long prompts in as engines come to their end of earlier ones.
"""

from __future__ import annotations

import eventlet

from egretdale.coordination.mesh import Mesh, MeshListener
from egretdale.state.backlogs import BacklogTable, predict_prefill
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
from egretdale.state.prefixes import PrefixIndex
from egretdale.state.prompts import GrantedPrompt, ServiceQueue, WaitingPrompt
from egretdale.util.clocks import (
    Clock,
    convert_to_ms,
    convert_to_seconds,
)
from egretdale.util.hashing import rank_by_rendezvous
from egretdale.util.logs import get_logger

logger = get_logger(__name__)

#: Reason of a denial that only says that the request waits.
HELD = 'held'
#: Reason of a denial for a request that would miss its deadline.
OVERLOADED = 'overloaded'

_TICK_S = 0.01
#: Requests with a shorter target in seconds go to an engine at once.
_SHORT_TARGET_S = 0.3
#: Prefill in seconds that an engine has ahead of it when it gets the next
#: prompt: enough to keep it busy, little for a short prompt to wait for.
_AHEAD_S = 0.08
#: Part of the time left that a request may spend waiting.
_WAIT_SHARE = 0.4
#: Weight of shared tokens that an engine does not hold: a second copy also
#: drives out parts that other requests need.
_COPY_WEIGHT = 3.0
#: The same for the engine that all hosts prefer for a part.
_PREFERRED_WEIGHT = 1.0
#: Shortest time after which a denied request may come back, in seconds.
_DENIED_RETRY_S = 0.3


class PrefillAllocator(MeshListener):
    """Grants engines to the requests of all hosts.

    It may lose its state at any time: engines are then thought idle, and
    hosts whose requests were forgotten choose by themselves.
    """

    __slots__ = (
        '_backlogs',
        '_clock',
        '_instances',
        '_mesh',
        '_prefixes',
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
        self._instances = instances
        self._clock = clock
        self._backlogs = BacklogTable(clock)
        self._prefixes = PrefixIndex()
        self._queues: dict[str, ServiceQueue] = {}
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
        """Handle the requests of a host for one service.

        :param host: name of the host.
        :param message: its requests.
        :return: grants, and word of the requests that wait.
        """
        queue = self._queues.setdefault(message.group, ServiceQueue())
        for done in message.done:
            self._finish(queue, done)
        for request_id in message.withdrawn:
            queue.waiting.pop(request_id, None)
            self._finish(queue, Done(request_id, ''))
        now = self._clock()
        for ask in message.asks:
            queue.waiting[ask.request_id] = WaitingPrompt(ask, host, now)
        replies = self._serve(message.group, queue)
        own = replies.pop(host, GroupReply(message.group))
        self._post(replies)
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
        engine = instance.start_name
        self._prefixes.clear(engine)
        self._backlogs.forget(engine)

    # Grants

    def _start_ticks(self) -> None:
        if not self._ticking:
            self._ticking = True
            eventlet.spawn_n(self._run_ticks)

    def _run_ticks(self) -> None:
        while any(queue.waiting for queue in self._queues.values()):
            eventlet.sleep(_TICK_S)
            for service, queue in list(self._queues.items()):
                if queue.waiting:
                    self._post(self._serve(service, queue))
        self._ticking = False

    def _post(self, replies: dict[str, GroupReply]) -> None:
        for host, reply in replies.items():
            self._mesh.post_reply(host, reply)

    def _serve(
        self, service: str, queue: ServiceQueue
    ) -> dict[str, GroupReply]:
        """Decide on the waiting requests of a service.

        :param service: service name.
        :param queue: its requests.
        :return: replies by host.
        """
        replies: dict[str, GroupReply] = {}
        self._expire(queue)
        ready = self._instances.list_ready(service)
        ahead = 0
        for waiting in self._order(queue):
            ahead_s = predict_prefill(ahead) / max(1, len(ready))
            decision = self._decide(queue, waiting, ready, ahead_s)
            if decision is None:
                ahead += self._count_least(waiting.ask, ready)
                continue
            queue.waiting.pop(waiting.ask.request_id)
            reply = replies.setdefault(waiting.host, GroupReply(service))
            if isinstance(decision, Grant):
                reply.grants.append(decision)
            else:
                reply.denials.append(decision)
        return replies

    def _order(self, queue: ServiceQueue) -> list[WaitingPrompt]:
        """Order the waiting requests of a service.

        While all targets are met, the earliest goes first, so that no tier
        waits without need. Once one is missed, tiers go strictly first.

        :param queue: the requests.
        :return: the requests, the next one first.
        """
        ordered = sorted(queue.waiting.values(), key=_get_target)
        if ordered and ordered[0].target_at < self._clock():
            ordered.sort(key=_get_urgency)
        return ordered

    def _decide(
        self,
        queue: ServiceQueue,
        waiting: WaitingPrompt,
        ready: list[Instance],
        ahead_s: float,
    ) -> Grant | Denial | None:
        ask = waiting.ask
        waited_s = self._clock() - waiting.arrived_at
        if waited_s + ahead_s > convert_to_seconds(ask.left_ms) * _WAIT_SHARE:
            return self._deny(ask, waited_s, ahead_s)
        usable = [entry for entry in ready if entry.name not in ask.avoided]
        if not usable:
            return Denial(ask.request_id, OVERLOADED)
        instance = self._choose(ask, usable)
        engine = instance.start_name
        wait_s = self._backlogs.measure_wait(engine)
        if wait_s > _AHEAD_S and not _is_short(ask):
            return None
        tokens = self._count_missing(ask, engine)
        queue.granted[ask.request_id] = self._reserve(ask, engine, tokens)
        return Grant(ask.request_id, instance.name, tokens)

    def _reserve(self, ask: Ask, engine: str, tokens: int) -> GrantedPrompt:
        self._backlogs.add(engine, ask.request_id, tokens)
        now = self._clock()
        self._prefixes.note(engine, ask.prefix, now)
        expires_at = now + convert_to_seconds(ask.left_ms)
        return GrantedPrompt(engine, expires_at, _is_short(ask))

    def _choose(self, ask: Ask, usable: list[Instance]) -> Instance:
        by_name = {entry.name: entry for entry in usable}
        ranked = rank_by_rendezvous(str(ask.prefix), by_name)
        return min(
            usable,
            key=lambda entry: self._score(
                ask, entry, preferred=entry.name == ranked[0]
            ),
        )

    def _score(self, ask: Ask, instance: Instance, *, preferred: bool) -> float:
        engine = instance.start_name
        tokens = ask.prompt_tokens - ask.shared_tokens
        if not self._is_held(ask, engine):
            weight = _PREFERRED_WEIGHT if preferred else _COPY_WEIGHT
            tokens += int(ask.shared_tokens * weight)
        return (
            self._backlogs.measure_wait(engine)
            + self._backlogs.measure_delay(engine)
            + predict_prefill(tokens)
        )

    def _count_missing(self, ask: Ask, engine: str) -> int:
        held = self._is_held(ask, engine)
        return ask.prompt_tokens - ask.shared_tokens * held

    def _count_least(self, ask: Ask, ready: list[Instance]) -> int:
        engines = [instance.start_name for instance in ready]
        return min(
            (self._count_missing(ask, engine) for engine in engines),
            default=ask.prompt_tokens,
        )

    def _is_held(self, ask: Ask, engine: str) -> bool:
        return self._prefixes.is_held(engine, ask.prefix, self._clock())

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

    def _finish(self, queue: ServiceQueue, done: Done) -> None:
        granted = queue.granted.pop(done.request_id, None)
        if granted is None:
            return
        tokens = self._backlogs.finish(granted.engine, done.request_id)
        if granted.short and done.first_token_ms >= 0:
            first_token_s = convert_to_seconds(done.first_token_ms)
            self._backlogs.learn_delay(granted.engine, tokens, first_token_s)

    def _expire(self, queue: ServiceQueue) -> None:
        now = self._clock()
        expired = [
            request_id
            for request_id, granted in queue.granted.items()
            if granted.expires_at <= now
        ]
        for request_id in expired:
            self._finish(queue, Done(request_id, ''))


def _is_short(ask: Ask) -> bool:
    return convert_to_seconds(ask.target_ms) <= _SHORT_TARGET_S


def _get_target(waiting: WaitingPrompt) -> float:
    return waiting.target_at


def _get_urgency(waiting: WaitingPrompt) -> int:
    return waiting.ask.urgency
