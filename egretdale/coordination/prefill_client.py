"""Asks the allocator of a service which engine gets a prompt."""

from __future__ import annotations

from dataclasses import dataclass, field

import eventlet
from eventlet.event import Event
from prometheus_client import Counter

from egretdale.coordination.mesh import Mesh, MeshListener
from egretdale.coordination.backend_choice import BackendChoice
from egretdale.coordination.prefill import HELD, PrefillAllocator
from egretdale.state.groups import GroupMap
from egretdale.state.instances import InstanceTable
from egretdale.state.members import find_owner
from egretdale.state.messages import (
    Ask,
    Batch,
    Denial,
    Done,
    Grant,
    GroupAsk,
    GroupReply,
)
from egretdale.state.outcomes import Ran, Reason, Refused
from egretdale.util.clocks import Clock, convert_to_ms, convert_to_seconds
from egretdale.util.logs import get_logger

logger = get_logger(__name__)

#: Longest wait for any word of the allocator, in seconds.
_REPLY_S = 0.08
#: How long an allocator that gave no word is not asked again, in seconds.
_AVOID_S = 1.0
#: Groups that are asked for an engine when the first one is overloaded.
_GROUPS = 2
#: Part of the time left within which a denial is early enough to ask another
#: group.
_QUICK_SHARE = 0.05
#: Longest delay of news of first tokens, in seconds.
_FLUSH_S = 0.04


@dataclass(slots=True)
class PendingAsk:
    """A request that waits for word of the allocator.

    :ivar owner: host of the allocator.
    :ivar replies: grants and denials that have not been read; ``None`` says
        that the host could not be reached.
    :ivar arrived: set when there is a reply.
    """

    owner: str
    replies: list[Grant | Denial | None] = field(default_factory=list)
    arrived: Event = field(default_factory=Event)

    def put(self, reply: Grant | Denial | None) -> None:
        """Add a reply.

        :param reply: the reply.
        """
        self.replies.append(reply)
        if not self.arrived.ready():
            self.arrived.send(None)

    def take(self, timeout_s: float) -> Grant | Denial | None:
        """Wait for a reply.

        :param timeout_s: longest wait in seconds.
        :return: the reply, ``None`` when there is none.
        """
        if not self.replies:
            with eventlet.Timeout(timeout_s, False):
                self.arrived.wait()
        self.arrived = Event()
        return self.replies.pop(0) if self.replies else None


class PrefillClient(MeshListener):
    """Gets engines for the prompts of this host."""

    __slots__ = (
        '_allocator',
        '_avoided_until',
        '_clock',
        '_done',
        '_granted',
        '_groups',
        '_instances',
        '_mesh',
        '_pending',
        '_silent',
    )

    def __init__(
        self,
        mesh: Mesh,
        allocator: PrefillAllocator,
        instances: InstanceTable,
        clock: Clock,
        silent: Counter,
    ) -> None:
        """Create a desk without requests.

        :param mesh: links to the hosts.
        :param allocator: allocator of this host.
        :param instances: backend servers.
        :param clock: monotonic clock.
        :param silent: counts requests whose allocator gave no word.
        """
        self._silent = silent
        self._mesh = mesh
        self._allocator = allocator
        self._instances = instances
        self._groups = GroupMap(instances)
        # Groups of the requests whose first token is awaited.
        self._granted: dict[str, str] = {}
        self._clock = clock
        self._pending: dict[str, PendingAsk] = {}
        self._done: dict[str, list[Done]] = {}
        self._avoided_until: dict[str, float] = {}

    def request_engine(
        self, service: str, ask: Ask
    ) -> BackendChoice | Refused | None:
        """Ask for an engine and wait for it.

        :param service: service name.
        :param ask: the request.
        :return: the engine or a refusal; ``None`` when the allocator gives
            no word.
        """
        key = str(ask.prefix) if ask.prefix else ask.request_id
        outcome: BackendChoice | Refused | None = None
        for group in self._groups.rank(service, key)[:_GROUPS]:
            asked_at = self._clock()
            outcome = self._place_in(group, ask)
            waited_ms = convert_to_ms(self._clock() - asked_at)
            hurried = waited_ms > ask.left_ms * _QUICK_SHARE
            if hurried or not isinstance(outcome, Refused):
                break
        return outcome

    def _place_in(self, group: str, ask: Ask) -> BackendChoice | Refused | None:
        owner = self._find_owner(group)
        if self._is_avoided(owner):
            return None
        pending = PendingAsk(owner)
        self._pending[ask.request_id] = pending
        reply: Grant | Denial | None = None
        try:
            self._send(owner, GroupAsk(group, asks=[ask]))
            reply = pending.take(_REPLY_S)
            if isinstance(reply, Denial) and reply.reason == HELD:
                reply = pending.take(convert_to_seconds(ask.left_ms))
        except BaseException:
            self._withdraw(group, owner, ask.request_id)
            raise
        finally:
            self._pending.pop(ask.request_id, None)
        if reply is None:
            self._avoided_until[owner] = self._clock() + _AVOID_S
            self._silent.inc()
            logger.info(
                'allocator-silent', owner=owner, request_id=ask.request_id
            )
            self._withdraw(group, owner, ask.request_id)
        if isinstance(reply, Grant):
            self._granted[ask.request_id] = group
        return self._translate(reply)

    def note_first_token(self, request_id: str, first_token_ms: int) -> None:
        """Note that a request has its first token, or never will have.

        :param request_id: identity of the request.
        :param first_token_ms: milliseconds from sending it to the first
            token, -1 without one.
        """
        group = self._granted.pop(request_id, None)
        if group is None:
            # This host has chosen the engine by itself.
            return
        done = Done(request_id, '', first_token_ms=first_token_ms)
        if group in self._done:
            self._done[group].append(done)
        else:
            self._done[group] = [done]
            eventlet.spawn_after(_FLUSH_S, self._flush, group)

    def receive(self, batch: Batch) -> None:
        """Take in replies of allocators.

        :param batch: a batch or an answer of a peer.
        """
        for reply in batch.replies:
            self._take_reply(reply)

    def note_failure(self, host: str) -> None:
        """Stop waiting for a host that could not be reached.

        :param host: name of the host.
        """
        for pending in self._pending.values():
            if pending.owner == host:
                pending.put(None)

    def _flush(self, group: str) -> None:
        # An ask that was sent meanwhile has taken the news along.
        if group in self._done:
            self._send(self._find_owner(group), GroupAsk(group))

    def _find_owner(self, group: str) -> str:
        return find_owner(self._mesh.table, f'prefill/{group}')

    def _is_avoided(self, owner: str) -> bool:
        if owner == self._mesh.table.own_host:
            return False
        avoided_until = self._avoided_until.get(owner, float('-inf'))
        return self._mesh.is_failing(owner) or avoided_until > self._clock()

    def _send(self, owner: str, message: GroupAsk) -> None:
        message.done = self._done.pop(message.group, [])
        if owner == self._mesh.table.own_host:
            self._take_reply(self._allocator.handle_message(owner, message))
        else:
            self._mesh.post_ask(owner, message)

    def _withdraw(self, group: str, owner: str, request_id: str) -> None:
        self._send(owner, GroupAsk(group, withdrawn=[request_id]))

    def _take_reply(self, reply: GroupReply) -> None:
        for entry in (*reply.grants, *reply.denials):
            pending = self._pending.get(entry.request_id)
            if pending is not None:
                pending.put(entry)

    def _translate(
        self, reply: Grant | Denial | None
    ) -> BackendChoice | Refused | None:
        match reply:
            case Grant(backend=backend, prefill_tokens=tokens):
                instance = self._instances.find(backend)
                if instance is None or instance.leaving:
                    # The allocator's list is older than that of this host.
                    return None
                return BackendChoice(instance, tokens)
            case Denial(reason=reason, wait_ms=wait_ms):
                if not reply.retry_after_ms:
                    return None
                return Refused(
                    Reason.TARGET_UNREACHABLE,
                    Ran.NO,
                    convert_to_seconds(reply.retry_after_ms),
                    f'{reason}: waited {wait_ms} ms for an engine',
                )
        return None
