"""Membership of the entry hosts: probes, suspicion, refutation and gossip."""

from __future__ import annotations

import random
from collections import deque
from dataclasses import replace

import eventlet

from egretdale.coordination.member_store import MemberStore
from egretdale.coordination.mesh import Mesh, MeshListener
from egretdale.coordination.ports import Written
from egretdale.errors import Unreachable
from egretdale.state.member_records import PendingBroadcast
from egretdale.state.members import Member, MemberStatus, MemberTable
from egretdale.state.messages import Batch, MemberUpdate
from egretdale.util.clocks import Clock
from egretdale.util.logs import get_logger

logger = get_logger(__name__)

_PROBE_FANOUT = 7
_FULL_FANOUT_PEERS = 3
_SPARSE_FANOUT = 2
_UPDATES_PER_BATCH = 8
_UPDATE_REPEATS = 6
_GONE_RETENTION_S = 60.0
_JITTER_SHARE = 0.2


class Membership(MeshListener):
    """Maintains the member table and publishes the status of this host.

    :ivar table: newest update about every host.
    :ivar own: newest update about this host.
    """

    __slots__ = (
        '_clock',
        '_mesh',
        '_pending',
        '_period_s',
        '_random',
        '_store',
        '_suspicion_s',
        'own',
        'table',
    )

    def __init__(
        self,
        own: MemberUpdate,
        mesh: Mesh,
        store: MemberStore,
        *,
        clock: Clock,
        source: random.Random,
        period_s: float,
        suspicion_s: float,
    ) -> None:
        """Create a membership that knows only this host.

        :param own: first update about this host.
        :param mesh: links to peers.
        :param store: member objects in the platform.
        :param clock: monotonic clock.
        :param source: random source.
        :param period_s: seconds between probes.
        :param suspicion_s: seconds from suspicion to being declared gone.
        """
        self.own = own
        self.table: MemberTable = mesh.table
        self._mesh = mesh
        self._store = store
        self._clock = clock
        self._random = source
        self._period_s = period_s
        self._suspicion_s = suspicion_s
        self._pending: deque[PendingBroadcast] = deque()
        self.table.apply(own, clock())
        self._queue_update(own.host)

    # Batches

    def fill(self, host: str, batch: Batch) -> None:
        """Add the status of this host and recent updates to a batch.

        :param host: receiving host.
        :param batch: the batch.
        """
        batch.members.append(self.own)
        receiver = self.table.find(host)
        if receiver is not None and receiver.status != MemberStatus.ALIVE:
            # Lets the receiver refute a status that does not hold.
            batch.members.append(receiver.update)
        for entry in list(self._pending)[:_UPDATES_PER_BATCH]:
            member = self.table.find(entry.host)
            if member is not None and entry.host != self.own.host:
                batch.members.append(member.update)
            entry.left -= 1
        while self._pending and self._pending[0].left <= 0:
            self._pending.popleft()

    def receive(self, batch: Batch) -> None:
        """Apply the member updates of a batch.

        :param batch: a batch from a peer.
        """
        for update in batch.members:
            # A later version may send a status that this one doesn't know.
            if MemberStatus.is_known(update.status):
                self.learn(update)

    def learn(self, update: MemberUpdate) -> None:
        """Apply an update about one host.

        :param update: the update.
        """
        if update.host == self.own.host:
            self._refute(update)
            return
        if update.host == update.peer_address:
            # A placeholder for a seed whose host name the sender does not know.
            return
        known = self.table.find(update.host)
        if known is None and update.status == MemberStatus.GONE:
            return
        before = None if known is None else known.status
        if not self.table.apply(update, self._clock()):
            return
        if known is None and self.table.find(update.peer_address) is not None:
            self.table.forget(update.peer_address)
        if before != update.status:
            self._queue_update(update.host)
            self._log(update)

    def learn_seed(self, peer_address: str) -> None:
        """Add a peer whose host name is not known yet.

        :param peer_address: ``address:port`` for other daemons.
        """
        known = {
            member.update.peer_address for member in self.table.list_members()
        }
        if peer_address not in known:
            # The address replaces the host name until the host answers.
            self.table.apply(
                MemberUpdate(
                    peer_address,
                    0,
                    0,
                    int(MemberStatus.SUSPECT),
                    '',
                    '',
                    peer_address,
                ),
                self._clock(),
            )

    def note_reply(self, host: str) -> None:
        """Record that a host has answered or sent a batch.

        :param host: name of the host.
        """
        member = self.table.find(host)
        if member is not None:
            member.heard_at = self._clock()

    def note_failure(self, host: str) -> None:
        """Mark a host that could not be reached as suspect.

        :param host: name of the host.
        """
        member = self.table.find(host)
        if member is not None and member.status < MemberStatus.SUSPECT:
            self.learn(replace(member.update, status=MemberStatus.SUSPECT))

    @property
    def platform_seen_at(self) -> float:
        """Monotonic seconds of the last reply of the platform."""
        return self._store.answered_at

    # This host

    def publish_load(self, load: int) -> None:
        """Publish the number of requests in progress.

        :param load: requests in progress on this host.
        """
        if load != self.own.load:
            self._publish(load=load)

    def join(self) -> None:
        """Announce to peers that this host is ready to serve."""
        self._publish(status=int(MemberStatus.ALIVE))
        self._probe_all()

    def leave(self) -> None:
        """Mark this host as leaving and notify peers and the platform."""
        self._publish(status=int(MemberStatus.LEAVING))
        self._probe_all()
        self.store_own()

    def rejoin(self, incarnation: int) -> None:
        """Start a new incarnation after this process was paused.

        :param incarnation: number of the new incarnation.
        """
        self._publish(incarnation=incarnation, counter=0)
        self._probe_all()

    def announce_link(self, *, cut_off: bool) -> None:
        """Tell peers whether this host reaches the backend servers.

        :param cut_off: whether it reaches none of them.
        """
        self._publish(cut_off=cut_off)
        self._probe_all()

    def is_leaving(self) -> bool:
        """Tell whether this host is leaving."""
        return self.own.status == MemberStatus.LEAVING

    # Tasks

    def run_probes(self) -> None:
        """Probe peers and declare those that do not answer gone."""
        while True:
            for host in self._choose_probed():
                self._mesh.probe(host)
            self._remove_unresponsive()
            jitter = self._random.uniform(1 - _JITTER_SHARE, 1 + _JITTER_SHARE)
            eventlet.sleep(self._period_s * jitter)

    def run_publishing(self) -> None:
        """Store this host's member object and read those of other hosts."""
        is_restored = False
        while True:
            stored = self.store_own()
            if stored and not is_restored:
                # After a restoration peers tell more than its older objects.
                self.read_stored()
            is_restored = self._store.wait(is_written=stored)

    def store_own(self) -> bool:
        """Write this host's member object.

        :return: whether the platform has confirmed the write.
        """
        match self._store.write(self.own):
            case Written():
                return True
            case Unreachable():
                # Nothing was written, so the stored version is unchanged.
                return False
            case _:
                self.read_stored()
                return False

    def read_stored(self) -> None:
        """Read the member objects of all other hosts."""
        for update in self._store.read_all():
            self.learn(update)

    def _publish(self, **changes: int) -> None:
        changes.setdefault('counter', self.own.counter + 1)
        self.own = replace(self.own, **changes)
        self.table.apply(self.own, self._clock())
        self._queue_update(self.own.host)

    def _refute(self, update: MemberUpdate) -> None:
        if update.incarnation != self.own.incarnation:
            return
        if update.status == self.own.status:
            return
        if update.counter >= self.own.counter:
            self._publish(counter=update.counter + 1)

    def _choose_probed(self) -> list[str]:
        peers = [member.update.host for member in self.table.list_reachable()]
        if len(peers) <= _FULL_FANOUT_PEERS:
            return peers
        return self._random.sample(peers, _SPARSE_FANOUT)

    def _probe_all(self) -> None:
        for member in self.table.list_reachable()[:_PROBE_FANOUT]:
            self._mesh.probe(member.update.host)

    def _remove_unresponsive(self) -> None:
        now = self._clock()
        for member in self.table.list_members():
            if member.update.host == self.own.host:
                continue
            unchanged_s = now - member.changed_at
            if member.status == MemberStatus.GONE:
                if unchanged_s > _GONE_RETENTION_S:
                    self.table.forget(member.update.host)
                    # Wakes the task of the link, which then ends.
                    self._mesh.probe(member.update.host)
            elif self._is_overdue(member, unchanged_s):
                self.learn(replace(member.update, status=MemberStatus.GONE))

    def _is_overdue(self, member: Member, unchanged_s: float) -> bool:
        if unchanged_s < self._suspicion_s:
            return False
        if member.status == MemberStatus.SUSPECT:
            return True
        leaving = member.status == MemberStatus.LEAVING
        return leaving and self._mesh.is_failing(member.update.host)

    def _queue_update(self, host: str) -> None:
        for entry in self._pending:
            if entry.host == host:
                entry.left = _UPDATE_REPEATS
                return
        self._pending.append(PendingBroadcast(host, _UPDATE_REPEATS))

    def _log(self, update: MemberUpdate) -> None:
        logger.info(
            'member-changed',
            host=update.host,
            status=MemberStatus(update.status).name.lower(),
            incarnation=update.incarnation,
        )
