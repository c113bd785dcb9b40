"""Manager of the slot allocators that this host runs."""

from __future__ import annotations

import random

import eventlet

from egretdale.coordination.allocation import GroupAllocator
from egretdale.coordination.backends import BackendDirectory
from egretdale.coordination.mesh import Mesh, MeshListener
from egretdale.coordination.ports import BackendClient
from egretdale.coordination.replica import DocumentReplica
from egretdale.errors import Unreachable
from egretdale.state.backends import BackendView
from egretdale.state.members import MemberStatus, find_owner
from egretdale.state.messages import Batch, GroupAsk, GroupReply
from egretdale.util.clocks import Clock
from egretdale.util.hashing import hash_text
from egretdale.util.logs import get_logger

logger = get_logger(__name__)

_TICK_S = 0.05
#: Time in seconds that hosts have to report their state to a new allocator
#: before it grants slots.
_REBUILD_S = 0.3
#: Time in seconds without a message after which an allocator may be dropped.
_IDLE_S = 5.0
_POLL_S = 1.0
_TERM_STEP = 1024


class HostedAllocator:
    """An allocator that runs on this host.

    :ivar allocator: the allocator.
    :ivar ready_at: monotonic seconds before which it grants nothing.
    :ivar last_message_at: monotonic seconds of the last message.
    """

    __slots__ = ('allocator', 'last_message_at', 'ready_at')

    def __init__(
        self, allocator: GroupAllocator, ready_at: float, now: float
    ) -> None:
        """Wrap an allocator.

        :param allocator: the allocator.
        :param ready_at: monotonic seconds before which it grants nothing.
        :param now: monotonic seconds.
        """
        self.allocator = allocator
        self.ready_at = ready_at
        self.last_message_at = now


class AllocatorManager(MeshListener):
    """Runs an allocator for each group that hosts send messages for.

    A group may also be served locally, with a share of each backend server's
    slots, while its allocator cannot be reached.

    :ivar allocator_class: class of the allocators.
    """

    __slots__ = (
        '_backends',
        '_client',
        '_clock',
        '_hosted',
        '_local',
        '_mesh',
        '_random',
        '_replica',
        '_term',
        'allocator_class',
    )

    def __init__(
        self,
        mesh: Mesh,
        replica: DocumentReplica,
        backends: BackendDirectory,
        client: BackendClient,
        *,
        clock: Clock,
        source: random.Random,
        term: int,
    ) -> None:
        """Create a manager without allocators.

        :param mesh: links to peers.
        :param replica: documents in force.
        :param backends: directory of backend servers.
        :param client: calls to backend servers, for load reports.
        :param clock: monotonic clock.
        :param source: random source.
        :param term: number that is higher than in earlier processes of this
            host; terms start there.
        """
        self._mesh = mesh
        self._replica = replica
        self._backends = backends
        self._client = client
        self._clock = clock
        self._random = source
        # Hosts that start in the same millisecond must not share a term.
        offset = hash_text(mesh.table.own_host) % _TERM_STEP
        self._term = term * _TERM_STEP + offset
        self.allocator_class: type[GroupAllocator] = GroupAllocator
        self._hosted: dict[str, HostedAllocator] = {}
        self._local: dict[str, HostedAllocator] = {}

    def handle(self, batch: Batch) -> Batch:
        """Pass the messages of a batch to the allocators of their groups.

        :param batch: a batch from a peer.
        :return: the decisions for the sender that could be made at once.
        """
        answer = Batch(self._mesh.table.own_host, 0)
        for message in batch.asks:
            hosted = self._find_or_create(message.group)
            if hosted is None:
                continue
            hosted.last_message_at = self._clock()
            hosted.allocator.accept(batch.sender, message)
            reply = self._dispatch_and_post(hosted, batch.sender)
            if reply is not None:
                answer.replies.append(reply)
        return answer

    def serve_locally(self, message: GroupAsk) -> GroupReply | None:
        """Serve a group from this host's share of its slots.

        :param message: message of the slot client on this host.
        :return: the decisions; ``None`` without any or without a document.
        """
        own_host = self._mesh.table.own_host
        hosted = self._local.get(message.group)
        if hosted is None:
            hosts = len(self._mesh.table.list_serving())
            hosted = self._create(message.group, share=1 / max(1, hosts))
            if hosted is None:
                return None
            hosted.ready_at = float(0)
            self._local[message.group] = hosted
            logger.info('fallback-started', group=message.group, hosts=hosts)
        hosted.last_message_at = self._clock()
        hosted.allocator.accept(own_host, message)
        hosted.allocator.dispatch()
        return hosted.allocator.take_replies().get(own_host)

    def list_allocators(self) -> list[GroupAllocator]:
        """List the allocators that serve all hosts, without the local ones."""
        return [hosted.allocator for hosted in self._hosted.values()]

    def refresh(self) -> None:
        """Apply changed documents and backend lists to all allocators."""
        for hosted in (*self._hosted.values(), *self._local.values()):
            self._configure(hosted.allocator)

    def run_ticks(self) -> None:
        """Grant slots, expire requests and drop idle allocators in a loop."""
        while True:
            eventlet.sleep(_TICK_S)
            self._drop_gone_hosts()
            for allocators in (self._hosted, self._local):
                for group, hosted in list(allocators.items()):
                    # Free slots are granted before waiting requests expire.
                    self._dispatch(hosted)
                    hosted.allocator.expire()
                    self._dispatch_and_post(hosted, None)
                    self._drop_idle(allocators, group, hosted)

    def run_polls(self) -> None:
        """Poll the load of the backend servers that are allocated here."""
        while True:
            for hosted in list(self._hosted.values()):
                for view in list(hosted.allocator.pool.views.values()):
                    eventlet.spawn_n(self._poll, view)
            eventlet.sleep(_POLL_S)

    def reset(self) -> None:
        """Drop all allocators, after this process was paused."""
        self._hosted.clear()
        self._local.clear()

    def _find_or_create(self, group: str) -> HostedAllocator | None:
        hosted = self._hosted.get(group)
        if hosted is not None:
            return hosted
        hosted = self._create(group, share=1)
        if hosted is None:
            return None
        self._hosted[group] = hosted
        hosts = [
            member.update.host for member in self._mesh.table.list_reachable()
        ]
        if not hosts:
            hosted.ready_at = float(0)
        hosted.allocator.request_state([*hosts, self._mesh.table.own_host])
        logger.info('allocator-started', group=group, term=self._term)
        self._post(hosted.allocator.take_replies())
        return hosted

    def _create(self, group: str, share: float) -> HostedAllocator | None:
        service = group.rpartition('/')[0]
        in_force = self._replica.find(service)
        if in_force is None:
            return None
        allocator = self.allocator_class(
            group,
            in_force.document,
            in_force.revision,
            clock=self._clock,
            source=self._random,
            share=share,
        )
        self._term += _TERM_STEP
        allocator.term = self._term
        self._configure(allocator)
        now = self._clock()
        return HostedAllocator(allocator, now + _REBUILD_S, now)

    def _configure(self, allocator: GroupAllocator) -> None:
        service, _, index = allocator.group.rpartition('/')
        in_force = self._replica.find(service)
        if in_force is not None:
            allocator.apply_document(in_force.document, in_force.revision)
        groups = allocator.document.groups
        allocator.replace_backends(
            self._backends.list_group(service, int(index), groups)
        )

    def _dispatch_and_post(
        self, hosted: HostedAllocator, sender: str | None
    ) -> GroupReply | None:
        self._dispatch(hosted)
        replies = hosted.allocator.take_replies()
        reply = replies.pop(sender, None) if sender else None
        self._post(replies)
        return reply

    def _dispatch(self, hosted: HostedAllocator) -> None:
        if self._clock() >= hosted.ready_at:
            hosted.allocator.dispatch()

    def _post(self, replies: dict[str, GroupReply]) -> None:
        for host, reply in replies.items():
            self._mesh.post_reply(host, reply)

    def _drop_gone_hosts(self) -> None:
        for member in self._mesh.table.list_members():
            if member.status == MemberStatus.GONE:
                for hosted in self._hosted.values():
                    hosted.allocator.drop_host(member.update.host)

    def _drop_idle(
        self,
        allocators: dict[str, HostedAllocator],
        group: str,
        hosted: HostedAllocator,
    ) -> None:
        idle_s = self._clock() - hosted.last_message_at
        if idle_s < _IDLE_S:
            return
        local = allocators is self._local
        if (
            local
            or find_owner(self._mesh.table, group) != self._read_own_host()
        ):
            allocators.pop(group, None)
            logger.info('allocator-dropped', group=group, local=local)

    def _read_own_host(self) -> str:
        return self._mesh.table.own_host

    def _poll(self, view: BackendView) -> None:
        outcome = self._client.read_load(view.entry.address)
        now = self._clock()
        if isinstance(outcome, Unreachable):
            view.note_unanswered_poll(now)
        else:
            view.accept_report(outcome, now)
            if outcome.leaving:
                self._backends.note_leaving(view.name)
