"""Links to the daemons of the other entry hosts."""

from __future__ import annotations

from collections.abc import Callable

import eventlet
from eventlet.event import Event

from egretdale.coordination.ports import Delivered, Network
from egretdale.errors import Ambiguous, Unreachable
from egretdale.state.members import MemberTable
from egretdale.state.messages import Batch, GroupAsk, GroupReply
from egretdale.util.buckets import TokenBucket
from egretdale.util.clocks import Clock
from egretdale.util.logs import get_logger

logger = get_logger(__name__)

_COALESCE_S = 0.02
_BUDGET_BURST_S = 4.0
_RETRY_S = 0.01

#: Handles a batch from a peer and returns the immediate answer.
BatchHandler = Callable[[Batch], Batch]


class MeshListener:
    """Base of classes that add to batches and process them."""

    __slots__ = ()

    def fill(self, host: str, batch: Batch) -> None:
        """Add updates to an outgoing batch.

        :param host: receiving host.
        :param batch: the batch.
        """

    def receive(self, batch: Batch) -> None:
        """Process a batch from a peer or the answer to one.

        :param batch: the batch.
        """

    def note_answer(self, answer: Batch, sent_at: float) -> None:
        """Process data of an answer whose age is counted from the request.

        :param answer: answer of a peer.
        :param sent_at: when the batch was sent, on the mesh's clock.
        """

    def note_reply(self, host: str) -> None:
        """Record that a host has answered or sent a batch.

        :param host: name of the host.
        """

    def note_failure(self, host: str) -> None:
        """Record that a host could not be reached.

        :param host: name of the host.
        """


class PeerLink:
    """The send queue of one peer and the task that drains it.

    :ivar host: name of the peer.
    :ivar failing: whether the last delivery failed.
    """

    __slots__ = ('_asks', '_event', '_mesh', '_replies', 'failing', 'host')

    def __init__(self, host: str, mesh: Mesh) -> None:
        """Create an idle link.

        :param host: name of the peer.
        :param mesh: the mesh that owns it.
        """
        self.host = host
        self.failing = False
        self._mesh = mesh
        self._event = Event()
        self._asks: list[GroupAsk] = []
        self._replies: list[GroupReply] = []

    def post(self, ask: GroupAsk | None, reply: GroupReply | None) -> None:
        """Queue messages; without any, a probe is sent.

        :param ask: message to the peer as an allocator.
        :param reply: message to the peer as an entry host.
        """
        if ask is not None:
            self._asks.append(ask)
        if reply is not None:
            self._replies.append(reply)
        if not self._event.ready():
            self._event.send(None)

    def run(self) -> None:
        """Send batches until the peer is no longer in the member table."""
        try:
            self._run()
        finally:
            self._mesh.drop_link(self)

    def _run(self) -> None:
        while self._mesh.knows(self.host):
            self._event.wait()
            self._mesh.wait_for_budget()
            self._event = Event()
            batch = self._mesh.create_batch(self.host)
            batch.asks = self._asks
            batch.replies = self._replies
            self._asks = []
            self._replies = []
            self.failing = not self._mesh.send(self.host, batch)


class Mesh:
    """Exchanges batches with peers, with one sending task for each.

    :ivar table: member table of the entry hosts.
    :ivar network: client of the peers.
    :ivar sent_bytes: bytes sent to peers.
    :ivar sent_batches: batches sent to peers.
    """

    __slots__ = (
        '_budget',
        '_clock',
        '_handler',
        '_links',
        '_listeners',
        'network',
        'sent_batches',
        'sent_bytes',
        'table',
    )

    def __init__(
        self,
        table: MemberTable,
        network: Network,
        clock: Clock,
        bytes_per_s: float,
    ) -> None:
        """Create a mesh without links.

        :param table: member table of the entry hosts.
        :param network: calls to peers.
        :param clock: monotonic clock.
        :param bytes_per_s: rate above which batches are delayed, so that
            more messages share one.
        """
        self.table = table
        self.sent_bytes = 0
        self.sent_batches = 0
        self.network = network
        self._clock = clock
        self._budget = TokenBucket(
            bytes_per_s, bytes_per_s * _BUDGET_BURST_S, clock
        )
        self._links: dict[str, PeerLink] = {}
        self._listeners: list[MeshListener] = []
        self._handler: BatchHandler | None = None

    def add_listener(self, listener: MeshListener) -> None:
        """Register a listener.

        :param listener: the listener.
        """
        self._listeners.append(listener)

    def attach_handler(self, handler: BatchHandler) -> None:
        """Set the function that answers batches.

        :param handler: the function.
        """
        self._handler = handler

    def post_ask(self, host: str, message: GroupAsk) -> None:
        """Send a message to an allocator.

        :param host: host of the allocator.
        :param message: the message.
        """
        if host == self.table.own_host:
            eventlet.spawn_n(self._deliver_locally, message, None)
        else:
            self._get_link(host).post(message, None)

    def post_reply(self, host: str, message: GroupReply) -> None:
        """Send a message to an entry host.

        :param host: the entry host.
        :param message: the message.
        """
        if host == self.table.own_host:
            eventlet.spawn_n(self._deliver_locally, None, message)
        else:
            self._get_link(host).post(None, message)

    def probe(self, host: str) -> None:
        """Send a batch that carries only the updates of the listeners.

        :param host: name of the host.
        """
        self._get_link(host).post(None, None)

    def drop_link(self, link: PeerLink) -> None:
        """Remove a link whose peer is no longer in the member table.

        :param link: the link.
        """
        self._links.pop(link.host, None)

    def is_failing(self, host: str) -> bool:
        """Tell whether the last delivery to a host failed.

        :param host: name of the host.
        """
        link = self._links.get(host)
        return link is not None and link.failing

    def knows(self, host: str) -> bool:
        """Tell whether a host is in the member table.

        :param host: name of the host.
        """
        return self.table.find(host) is not None

    def wait_for_budget(self) -> None:
        """Delay a batch briefly when the byte budget is overdrawn."""
        if self._budget.is_overdrawn():
            eventlet.sleep(_COALESCE_S)

    def create_batch(self, host: str) -> Batch:
        """Create a batch with the updates of all listeners.

        :param host: receiving host.
        :return: the batch.
        """
        own = self.table.find(self.table.own_host)
        incarnation = own.update.incarnation if own else 0
        batch = Batch(self.table.own_host, incarnation)
        for listener in self._listeners:
            listener.fill(host, batch)
        return batch

    def send(self, host: str, batch: Batch) -> bool:
        """Send a batch, with one retry.

        :param host: receiving host.
        :param batch: the batch.
        :return: whether the peer answered.
        """
        if self._try_send(host, batch):
            return True
        eventlet.sleep(_RETRY_S)
        if self._try_send(host, batch):
            return True
        for listener in self._listeners:
            listener.note_failure(host)
        return False

    def handle(self, batch: Batch) -> Batch:
        """Handle a batch that a peer sent.

        :param batch: the batch.
        :return: the answer.
        """
        for listener in self._listeners:
            listener.note_reply(batch.sender)
            listener.receive(batch)
        answer = self.create_batch(batch.sender)
        if self._handler is not None:
            answer.replies = self._handler(batch).replies
        return answer

    def accept_answer(self, host: str, answer: Batch, sent_at: float) -> None:
        """Process the answer to a batch.

        :param host: host that has answered.
        :param answer: the answer.
        :param sent_at: when the batch was sent, on the mesh's clock.
        """
        for listener in self._listeners:
            listener.note_reply(host)
            listener.receive(answer)
            listener.note_answer(answer, sent_at)

    def _try_send(self, host: str, batch: Batch) -> bool:
        member = self.table.find(host)
        if member is None:
            return False
        sent_at = self._clock()
        outcome = self.network.deliver(member.update.peer_address, batch)
        match outcome:
            case Delivered(answer=answer, sent_bytes=size):
                self._budget.charge(size)
                self.sent_bytes += size
                self.sent_batches += 1
                self.accept_answer(host, answer, sent_at)
                return True
            case Unreachable() | Ambiguous():
                logger.info(
                    'peer-failed',
                    host=host,
                    cause=outcome.cause,
                    detail=outcome.detail,
                )
        return False

    def _deliver_locally(
        self, ask: GroupAsk | None, reply: GroupReply | None
    ) -> None:
        own = self.table.own_host
        batch = Batch(own, 0)
        if ask is not None:
            batch.asks.append(ask)
        if reply is not None:
            batch.replies.append(reply)
        for listener in self._listeners:
            listener.receive(batch)
        if ask is not None and self._handler is not None:
            answer = self._handler(batch)
            for listener in self._listeners:
                listener.receive(answer)

    def _get_link(self, host: str) -> PeerLink:
        link = self._links.get(host)
        if link is None:
            link = PeerLink(host, self)
            self._links[host] = link
            eventlet.spawn(link.run)
        return link
