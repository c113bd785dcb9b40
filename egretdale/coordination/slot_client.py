"""The entry host's side of slot allocation: a client for each group."""

from __future__ import annotations

from dataclasses import dataclass, replace

import eventlet
from eventlet.event import Event

from egretdale.coordination.allocators import AllocatorManager
from egretdale.coordination.mesh import Mesh
from egretdale.coordination.ports import BackendClient
from egretdale.state.members import find_owner
from egretdale.state.messages import (
    Ask,
    Denial,
    Done,
    Grant,
    GroupAsk,
    GroupReply,
    Running,
)
from egretdale.state.outcomes import Reason
from egretdale.util.clocks import Clock, convert_to_ms
from egretdale.util.logs import get_logger

logger = get_logger(__name__)

#: Seconds beyond the maximum wait that the allocator has to refuse a request.
_PATIENCE_MARGIN_S = 1.0
#: Retry time in milliseconds for requests that the allocator did not answer.
_FALLBACK_RETRY_MS = 2000
#: Pause in seconds after which a host resumes a stream by itself.
_PAUSE_LIMIT_S = 20.0
#: Approximate size of a request in a state report.
_ENTRY_BYTES = 70
#: Bytes a second that state reports of one group may take.
_STATE_BYTES_PER_S = 1024
_SHORTEST_PERIOD_S = 0.9


@dataclass(slots=True, eq=False)
class PendingRequest:
    """A request of this host that waits for a slot.

    :ivar ask: the request.
    :ivar arrival: monotonic seconds of its arrival.
    :ivar decision: event that carries the slot or a denial.
    """

    ask: Ask
    arrival: float
    decision: Event


@dataclass(slots=True, eq=False)
class ActiveSlot:
    """A request of this host that holds a slot.

    :ivar ask: the request.
    :ivar arrival: monotonic seconds of its arrival.
    :ivar backend: backend server of the slot.
    :ivar granted_at: monotonic seconds of the grant.
    :ivar tokens: tokens delivered so far.
    :ivar first_token_at: monotonic seconds of the first token, or ``None``.
    :ivar address: ``address:port`` of the backend server, empty until it is
        called.
    :ivar stream_id: identity of the attempt, empty until it is called.
    :ivar paused_at: monotonic seconds at which the stream was paused, ``None``
        while it runs.
    """

    ask: Ask
    arrival: float
    backend: str
    granted_at: float
    tokens: int = 0
    first_token_at: float | None = None
    address: str = ''
    stream_id: str = ''
    paused_at: float | None = None

    def describe(self, now: float) -> Running:
        """Describe the slot for an allocator.

        :param now: monotonic seconds.
        :return: the message.
        """
        first_token_ms = -1
        if self.first_token_at is not None:
            first_token_ms = convert_to_ms(
                self.first_token_at - self.granted_at
            )
        return Running(
            replace(self.ask, age_ms=convert_to_ms(now - self.arrival)),
            self.backend,
            self.tokens,
            convert_to_ms(now - self.granted_at),
            first_token_ms,
            self.paused_at is not None,
        )


class SlotClient:
    """Acquires and releases slots of one group.

    Requests go to the host that runs the group's allocator. While it cannot
    be reached, an allocator on this host serves them.

    :ivar group: group key.
    :ivar load_permille: load of the group as last reported.
    """

    __slots__ = (
        '_active',
        '_allocators',
        '_backend_client',
        '_clock',
        '_mesh',
        '_owner',
        '_pending',
        '_reported_at',
        '_term',
        'group',
        'load_permille',
    )

    def __init__(
        self,
        group: str,
        mesh: Mesh,
        allocators: AllocatorManager,
        backend_client: BackendClient,
        clock: Clock,
    ) -> None:
        """Create a client without requests.

        :param group: group key.
        :param mesh: links to peers.
        :param allocators: allocators on this host, for the fallback.
        :param backend_client: client of the backend servers, for pausing.
        :param clock: monotonic clock.
        """
        self.group = group
        self.load_permille = 0
        self._mesh = mesh
        self._allocators = allocators
        self._backend_client = backend_client
        self._clock = clock
        self._pending: dict[str, PendingRequest] = {}
        self._active: dict[str, ActiveSlot] = {}
        self._reported_at = float('-inf')
        self._owner = ''
        self._term = 0

    def acquire(
        self, ask: Ask, arrival: float, patience_s: float
    ) -> ActiveSlot | Denial:
        """Wait for a slot.

        :param ask: the request.
        :param arrival: monotonic seconds of its arrival.
        :param patience_s: maximum wait in seconds since the arrival.
        :return: the slot, or why there is none.
        """
        pending = PendingRequest(ask, arrival, Event())
        self._pending[ask.request_id] = pending
        self._send(GroupAsk(self.group, asks=[self._describe(pending)]))
        limit_s = arrival + patience_s + _PATIENCE_MARGIN_S - self._clock()
        with eventlet.Timeout(max(limit_s, _PATIENCE_MARGIN_S), False):
            return pending.decision.wait()
        self._pending.pop(ask.request_id, None)
        self._send(GroupAsk(self.group, withdrawn=[ask.request_id]))
        return Denial(
            ask.request_id, Reason.PATIENCE_EXCEEDED, _FALLBACK_RETRY_MS
        )

    def adopt(self, ask: Ask, backend: str) -> ActiveSlot:
        """Take over the slot of a request whose entry host has gone.

        :param ask: the request.
        :param backend: backend server that runs it.
        :return: the slot.
        """
        now = self._clock()
        active = ActiveSlot(ask, now, backend, now)
        self._active[ask.request_id] = active
        running = [active.describe(now)]
        self._send(GroupAsk(self.group, running=running))
        return active

    def release(self, active: ActiveSlot, *, whole: bool, failed: bool) -> None:
        """Release a slot.

        :param active: the slot.
        :param whole: whether the response was completed.
        :param failed: whether the backend server failed the request.
        """
        self._active.pop(active.ask.request_id, None)
        running = active.describe(self._clock())
        done = Done(
            active.ask.request_id,
            active.backend,
            active.tokens,
            running.first_token_ms,
            running.running_ms,
            whole,
            failed,
        )
        self._send(GroupAsk(self.group, done=[done]))

    def handle_reply(self, reply: GroupReply) -> None:
        """Apply the decisions of the allocator.

        A reply with a new term comes from a new allocator, which gets the
        whole state.

        :param reply: the decisions.
        """
        self.load_permille = reply.load_permille
        for grant in reply.grants:
            self._accept_grant(grant)
        for denial in reply.denials:
            pending = self._pending.pop(denial.request_id, None)
            if pending is not None:
                pending.decision.send(denial)
        if reply.term != self._term:
            self._term = reply.term
            self.report_state()
        for pause in reply.pauses:
            active = self._active.get(pause.request_id)
            if active is not None:
                eventlet.spawn_n(self._pause, active, paused=pause.paused)

    def report_state(self) -> None:
        """Report the whole state of this host to the allocator."""
        self._reported_at = self._clock()
        self._send_full()

    def report_state_if_due(self) -> None:
        """Report the whole state when its period is over.

        The period grows with the state, so that reports stay within a fixed
        part of the bandwidth between hosts.
        """
        entries = self.count()
        period_s = entries * _ENTRY_BYTES / _STATE_BYTES_PER_S
        due_at = self._reported_at + max(_SHORTEST_PERIOD_S, period_s)
        if entries and self._clock() >= due_at:
            self.report_state()

    def check_owner(self) -> None:
        """Report the state when another host serves the group."""
        owner = self._choose_owner()
        if owner != self._owner:
            logger.info(
                'allocator-chosen', group=self.group, owner=owner or 'local'
            )
            self._owner = owner
            self._send_full()

    def count(self) -> int:
        """Count the requests that wait or hold a slot."""
        return len(self._pending) + len(self._active)

    def clear(self) -> None:
        """Drop all slots, after this process was paused."""
        self._active.clear()
        self._term = 0

    def resume_overdue_streams(self) -> None:
        """Resume streams that the allocator has left paused for too long."""
        now = self._clock()
        for active in self._active.values():
            paused_at = active.paused_at
            if paused_at is not None and now - paused_at > _PAUSE_LIMIT_S:
                eventlet.spawn_n(self._pause, active, paused=False)

    def _pause(self, active: ActiveSlot, *, paused: bool) -> None:
        if not active.stream_id:
            return
        succeeded = self._backend_client.pause(
            active.address, active.stream_id, paused=paused
        )
        if not paused:
            active.paused_at = None
        elif succeeded:
            active.paused_at = self._clock()

    def _describe(self, pending: PendingRequest) -> Ask:
        age_s = self._clock() - pending.arrival
        return replace(pending.ask, age_ms=convert_to_ms(age_s))

    def _accept_grant(self, grant: Grant) -> None:
        pending = self._pending.pop(grant.request_id, None)
        if pending is None:
            if grant.request_id not in self._active:
                unused = Done(grant.request_id, grant.backend, whole=False)
                self._send(GroupAsk(self.group, done=[unused]))
            return
        active = ActiveSlot(
            pending.ask, pending.arrival, grant.backend, self._clock()
        )
        self._active[grant.request_id] = active
        pending.decision.send(active)

    def _choose_owner(self) -> str:
        owner = find_owner(self._mesh.table, self.group)
        return '' if self._mesh.is_failing(owner) else owner

    def _send(self, message: GroupAsk) -> None:
        owner = self._choose_owner()
        if owner != self._owner:
            self._owner = owner
            self._send_full()
            return
        self._send_to_owner(message)

    def _send_full(self) -> None:
        now = self._clock()
        message = GroupAsk(
            self.group,
            full=True,
            asks=[self._describe(entry) for entry in self._pending.values()],
            running=[entry.describe(now) for entry in self._active.values()],
        )
        self._send_to_owner(message)

    def _send_to_owner(self, message: GroupAsk) -> None:
        if self._owner:
            self._mesh.post_ask(self._owner, message)
            return
        reply = self._allocators.serve_locally(message)
        if reply is not None:
            eventlet.spawn_n(self.handle_reply, reply)
