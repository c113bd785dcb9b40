"""Client of the prefill allocators, which grant engines to prompts."""

from __future__ import annotations

from dataclasses import dataclass, field

import eventlet
from eventlet.event import Event
from prometheus_client import Counter

from egretdale.coordination.mesh import Mesh, MeshListener
from egretdale.coordination.backend_choice import BackendChoice
from egretdale.coordination.prefill import QUEUED, PrefillAllocator
from egretdale.state.groups import GroupMap, find_prompt_allocator
from egretdale.state.instances import InstanceTable
from egretdale.state.messages import (
    Ask,
    Batch,
    Denial,
    Done,
    Grant,
    GroupAsk,
    GroupReply,
    Release,
)
from egretdale.state.outcomes import Ran, Reason, Refused
from egretdale.util.clocks import Clock, convert_to_ms, convert_to_seconds
from egretdale.util.logs import get_logger

logger = get_logger(__name__)

#: Part of the target for the first token that may pass until the first reply
#: of an allocator.
_REPLY_TARGET_SHARE = 0.2
#: Bounds on the timeout in seconds for that reply: an allocator may only be
#: busy.
_MINIMUM_REPLY_TIMEOUT_S = 0.08
_MAXIMUM_REPLY_TIMEOUT_S = 0.4
#: Time in seconds for which an allocator that did not reply is not asked again.
#: It doubles with every further request without a reply.
_MINIMUM_AVOID_S = 0.1
_MAXIMUM_AVOID_S = 1.0
#: Groups that are asked at most: another one when the first is overloaded.
_MAXIMUM_GROUPS = 2
#: Part of the time until the deadline within which a denial comes early enough
#: to ask another group.
_EARLY_DENIAL_SHARE = 0.05
#: Maximum delay in seconds of reports of first tokens and ends, which are sent
#: together.
_FLUSH_S = 0.04
#: The same for requests without a prompt, which end soon after they are sent,
#: so that their slots are not left empty for long.
_PLAIN_FLUSH_S = 0.005


@dataclass(slots=True)
class PendingAsk:
    """A request that waits for replies of an allocator.

    :ivar owner: host of the allocator.
    :ivar replies: unread grants and denials; ``None`` means that the host
        could not be reached.
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

        :param timeout_s: maximum wait in seconds.
        :return: the reply, ``None`` when there is none.
        """
        if not self.replies:
            with eventlet.Timeout(timeout_s, False):
                self.arrived.wait()
        self.arrived = Event()
        return self.replies.pop(0) if self.replies else None


@dataclass(slots=True, frozen=True)
class GrantedEngine:
    """An engine that was granted to a request.

    :ivar group: group of the engine.
    :ivar granted_at: clock time of the grant.
    :ivar flush_s: maximum delay in seconds of reports about the request.
    """

    group: str
    granted_at: float
    flush_s: float


class PrefillClient(MeshListener):
    """Requests engines for the prompts of this host.

    Each group of engines has an allocator on one of the hosts.
    """

    __slots__ = (
        '_allocator',
        '_avoided_until',
        '_avoided_s',
        '_clock',
        '_done',
        '_granted',
        '_groups',
        '_instances',
        '_mesh',
        '_pending',
        '_released',
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
        """Create a client without requests.

        :param mesh: links to the hosts.
        :param allocator: allocator of this host.
        :param instances: backend servers.
        :param clock: monotonic clock.
        :param silent: counts requests whose allocator did not reply.
        """
        self._silent = silent
        self._mesh = mesh
        self._allocator = allocator
        self._instances = instances
        self._groups = GroupMap(instances)
        self._granted: dict[str, GrantedEngine] = {}
        self._clock = clock
        self._pending: dict[str, PendingAsk] = {}
        self._done: dict[str, list[Done]] = {}
        self._released: dict[str, list[Release]] = {}
        self._avoided_until: dict[str, float] = {}
        self._avoided_s: dict[str, float] = {}

    def request_engine(
        self, service: str, ask: Ask
    ) -> BackendChoice | Refused | None:
        """Request an engine and wait for it.

        :param service: service name.
        :param ask: the request.
        :return: the engine or a refusal; ``None`` when the allocator does not
            reply or has no usable engine, so that the host chooses by itself.
        """
        key = str(ask.prefix) if ask.prefix else ask.request_id
        outcome: BackendChoice | Refused | None = None
        for group in self._groups.rank(service, key)[:_MAXIMUM_GROUPS]:
            asked_at = self._clock()
            outcome = self._request_in_group(group, ask)
            waited_ms = convert_to_ms(self._clock() - asked_at)
            too_late = waited_ms > ask.left_ms * _EARLY_DENIAL_SHARE
            if too_late or not isinstance(outcome, Refused):
                break
        return outcome

    def _request_in_group(
        self, group: str, ask: Ask
    ) -> BackendChoice | Refused | None:
        owner = self._find_owner(group)
        if self._is_avoided(owner):
            return None
        pending = PendingAsk(owner)
        self._pending[ask.request_id] = pending
        reply: Grant | Denial | None = None
        try:
            self._send(owner, GroupAsk(group, asks=[ask]))
            reply = pending.take(_choose_reply_timeout(ask))
            if isinstance(reply, Denial) and reply.reason == QUEUED:
                reply = pending.take(convert_to_seconds(ask.left_ms))
        except BaseException:
            self._withdraw(group, owner, ask.request_id)
            raise
        finally:
            self._pending.pop(ask.request_id, None)
        if reply is None:
            self._avoid(owner)
            self._silent.inc()
            logger.info(
                'allocator-silent', owner=owner, request_id=ask.request_id
            )
            self._withdraw(group, owner, ask.request_id)
        else:
            self._avoided_s.pop(owner, None)
        if isinstance(reply, Grant):
            self._note_grant(group, ask)
        outcome = self._interpret_reply(reply, ask.software_version)
        if outcome is None:
            self.note_end(ask.request_id)
        return outcome

    def _note_grant(self, group: str, ask: Ask) -> None:
        flush_s = _FLUSH_S if ask.prompt_tokens else _PLAIN_FLUSH_S
        self._granted[ask.request_id] = GrantedEngine(
            group, self._clock(), flush_s
        )

    def note_first_token(self, request_id: str, first_token_ms: int) -> None:
        """Record that a request has its first token, or never will have.

        :param request_id: identity of the request.
        :param first_token_ms: milliseconds from sending it to the first
            token, -1 without one.
        """
        granted = self._granted.get(request_id)
        if granted is None:
            # This host chose the engine by itself.
            return
        done = Done(request_id, '', first_token_ms=first_token_ms)
        self._schedule_flush(granted)
        self._done.setdefault(granted.group, []).append(done)

    def note_end(self, request_id: str, *, rejected: bool = False) -> None:
        """Record that a request no longer runs at the engine granted to it.

        :param request_id: identity of the request.
        :param rejected: whether the engine rejected it without running it.
        """
        granted = self._granted.pop(request_id, None)
        if granted is None:
            return
        held_ms = convert_to_ms(self._clock() - granted.granted_at)
        release = Release(request_id, held_ms, rejected)
        self._schedule_flush(granted)
        self._released.setdefault(granted.group, []).append(release)

    def receive(self, batch: Batch) -> None:
        """Pass replies of allocators to the requests that wait for them.

        :param batch: a batch or a response of a peer.
        """
        for reply in batch.replies:
            self._accept_reply(reply)

    def note_failure(self, host: str) -> None:
        """End the wait for a host that could not be reached.

        :param host: name of the host.
        """
        for pending in self._pending.values():
            if pending.owner == host:
                pending.put(None)

    def _schedule_flush(self, granted: GrantedEngine) -> None:
        group = granted.group
        if group not in self._done and group not in self._released:
            eventlet.spawn_after(granted.flush_s, self._flush, group)

    def _flush(self, group: str) -> None:
        # A message sent in the meantime has already carried the reports.
        if group in self._done or group in self._released:
            self._send(self._find_owner(group), GroupAsk(group))

    def _find_owner(self, group: str) -> str:
        return find_prompt_allocator(self._mesh.table, group)

    def _is_avoided(self, owner: str) -> bool:
        if owner == self._mesh.table.own_host:
            return False
        avoided_until = self._avoided_until.get(owner, float('-inf'))
        return self._mesh.is_failing(owner) or avoided_until > self._clock()

    def _avoid(self, owner: str) -> None:
        avoided_s = self._avoided_s.get(owner, _MINIMUM_AVOID_S)
        self._avoided_until[owner] = self._clock() + avoided_s
        self._avoided_s[owner] = min(avoided_s * 2, _MAXIMUM_AVOID_S)

    def _send(self, owner: str, message: GroupAsk) -> None:
        message.done = self._done.pop(message.group, [])
        message.released = self._released.pop(message.group, [])
        message.reports_ends = True
        if owner == self._mesh.table.own_host:
            self._accept_reply(self._allocator.handle_message(owner, message))
        else:
            self._mesh.post_ask(owner, message)

    def _withdraw(self, group: str, owner: str, request_id: str) -> None:
        self._send(owner, GroupAsk(group, withdrawn=[request_id]))

    def _accept_reply(self, reply: GroupReply) -> None:
        for entry in (*reply.grants, *reply.denials):
            pending = self._pending.get(entry.request_id)
            if pending is not None:
                pending.put(entry)

    def _interpret_reply(
        self, reply: Grant | Denial | None, software_version: str
    ) -> BackendChoice | Refused | None:
        match reply:
            case Grant(backend=backend, prefill_tokens=tokens):
                instance = self._instances.find(backend)
                if instance is None or self._instances.is_leaving(instance):
                    # This host knows more than the allocator.
                    return None
                if not instance.runs_version(software_version):
                    return None
                return BackendChoice(instance, tokens, granted=True)
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


def _choose_reply_timeout(ask: Ask) -> float:
    share_s = convert_to_seconds(ask.target_ms) * _REPLY_TARGET_SHARE
    return min(max(share_s, _MINIMUM_REPLY_TIMEOUT_S), _MAXIMUM_REPLY_TIMEOUT_S)
