"""Membership of the entry hosts: probing, suspicion and refutation."""

from __future__ import annotations

import random
from collections import deque
from dataclasses import replace

import eventlet
import msgspec

from egretdale.coordination.mesh import Mesh, MeshListener
from egretdale.coordination.ports import Listing, Platform, Written
from egretdale.errors import Unreachable
from egretdale.state.member_records import PendingBroadcast, StoredMember
from egretdale.state.members import Member, MemberStatus, MemberTable
from egretdale.state.messages import Batch, MemberUpdate
from egretdale.util.clocks import Clock
from egretdale.util.logs import get_logger

logger = get_logger(__name__)

MEMBER_KIND = 'members'

_PROBE_FANOUT = 7
_FULL_FANOUT_PEERS = 3
_SPARSE_FANOUT = 2
_NEWS_PER_BATCH = 8
_NEWS_REPEATS = 6
_FORGET_S = 60.0
_PUBLISH_S = 30.0
_PUBLISH_RETRY_S = 2.0
_JITTER_SHARE = 0.2


class Membership(MeshListener):
    """Keeps the view of entry hosts and publishes this host.

    :ivar table: newest news about every host.
    :ivar own: news about this host.
    """

    __slots__ = (
        '_clock',
        '_mesh',
        '_news',
        '_period_s',
        '_platform',
        '_random',
        '_stored_version',
        '_suspicion_s',
        'own',
        'platform_seen_at',
        'table',
    )

    def __init__(
        self,
        own: MemberUpdate,
        mesh: Mesh,
        platform: Platform,
        *,
        clock: Clock,
        source: random.Random,
        period_s: float,
        suspicion_s: float,
    ) -> None:
        """Create a membership that knows only this host.

        :param own: news about this host.
        :param mesh: links to peers.
        :param platform: object API for first addresses.
        :param clock: monotonic clock.
        :param source: random source.
        :param period_s: seconds between probes.
        :param suspicion_s: seconds from suspicion to removal.
        """
        self.own = own
        self.table: MemberTable = mesh.table
        self.platform_seen_at = clock()
        self._mesh = mesh
        self._platform = platform
        self._clock = clock
        self._random = source
        self._period_s = period_s
        self._suspicion_s = suspicion_s
        self._news: deque[PendingBroadcast] = deque()
        self._stored_version = 0
        self.table.apply(own, clock())
        self._spread(own.host)

    # Batches

    def fill(self, host: str, batch: Batch) -> None:
        """Add this host and recent news to a batch.

        :param host: receiving host.
        :param batch: the batch.
        """
        batch.members.append(self.own)
        receiver = self.table.find(host)
        if receiver is not None and receiver.status != MemberStatus.ALIVE:
            batch.members.append(receiver.update)
        for news in list(self._news)[:_NEWS_PER_BATCH]:
            member = self.table.find(news.host)
            if member is not None and news.host != self.own.host:
                batch.members.append(member.update)
            news.left -= 1
        while self._news and self._news[0].left <= 0:
            self._news.popleft()

    def receive(self, batch: Batch) -> None:
        """Take in news about hosts.

        :param batch: a batch from a peer.
        """
        for update in batch.members:
            self.learn(update)

    def learn(self, update: MemberUpdate) -> None:
        """Take in news about one host.

        :param update: the news.
        """
        if update.host == self.own.host:
            self._refute(update)
            return
        if update.host == update.peer_address:
            # Only a seed whose name the sender does not know.
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
            self._spread(update.host)
            self._log(update)

    def learn_seed(self, peer_address: str) -> None:
        """Probe an address whose host is not known yet.

        :param peer_address: ``address:port`` of a daemon for peers.
        """
        known = {
            member.update.peer_address for member in self.table.list_members()
        }
        if peer_address not in known:
            # The address stands in for the name until the host answers.
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
        """Note that a host has answered or called.

        :param host: name of the host.
        """
        member = self.table.find(host)
        if member is not None:
            member.heard_at = self._clock()

    def note_failure(self, host: str) -> None:
        """Suspect a host that could not be reached.

        :param host: name of the host.
        """
        member = self.table.find(host)
        if member is not None and member.status < MemberStatus.SUSPECT:
            self.learn(replace(member.update, status=MemberStatus.SUSPECT))

    # This host

    def publish_load(self, load: int) -> None:
        """Publish the number of requests in progress.

        :param load: requests.
        """
        if load != self.own.load:
            self._publish(load=load)

    def join(self) -> None:
        """Tell peers that this host is ready to serve."""
        self._publish(status=int(MemberStatus.ALIVE))
        self._probe_all()

    def leave(self) -> None:
        """Mark this host as leaving and tell peers and the platform."""
        self._publish(status=int(MemberStatus.LEAVING))
        self._probe_all()
        self.store_own()

    def rejoin(self, incarnation: int) -> None:
        """Start a new incarnation after this process was paused.

        :param incarnation: number of the new incarnation.
        """
        self._publish(incarnation=incarnation, counter=0)
        self._probe_all()

    def is_leaving(self) -> bool:
        """Tell whether this host is leaving."""
        return self.own.status == MemberStatus.LEAVING

    def heard_from_peers_at(self) -> float | None:
        """Return when a peer last answered, ``None`` when none is known."""
        heard = [
            member.heard_at
            for member in self.table.list_members()
            if member.update.host != self.own.host
            and member.status != MemberStatus.LEAVING
        ]
        return max(heard, default=None)

    # Tasks

    def run_probes(self) -> None:
        """Probe peers and remove those that stay silent."""
        while True:
            for host in self._choose_probed():
                self._mesh.probe(host)
            self._remove_silent()
            jitter = self._random.uniform(1 - _JITTER_SHARE, 1 + _JITTER_SHARE)
            eventlet.sleep(self._period_s * jitter)

    def run_publishing(self) -> None:
        """Publish this host in the platform and read first addresses."""
        while True:
            stored = self.store_own()
            if stored:
                self.read_stored()
            period_s = _PUBLISH_S if stored else _PUBLISH_RETRY_S
            jitter = self._random.uniform(1 - _JITTER_SHARE, 1 + _JITTER_SHARE)
            eventlet.sleep(period_s * jitter)

    def store_own(self) -> bool:
        """Write this host's member object.

        :return: whether the platform has confirmed the write.
        """
        body = msgspec.json.encode(StoredMember(self.own))
        outcome = self._platform.write(
            MEMBER_KIND, self.own.host, body, self._stored_version
        )
        match outcome:
            case Written(version=version):
                self._stored_version = version
                self.platform_seen_at = self._clock()
                return True
            case Unreachable():
                # Nothing was written, so there is no version to look for.
                return False
            case _:
                self.read_stored()
                return False

    def read_stored(self) -> None:
        """Learn of other hosts and of the own object from the platform."""
        listing = self._platform.list_objects(MEMBER_KIND)
        if not isinstance(listing, Listing):
            return
        self.platform_seen_at = self._clock()
        for entry in listing.entries:
            if entry.name == self.own.host:
                self._stored_version = entry.version
                continue
            try:
                stored = msgspec.json.decode(entry.body, type=StoredMember)
            except msgspec.MsgspecError as malformed:
                logger.warning(
                    'member-malformed', host=entry.name, error=str(malformed)
                )
                continue
            self.learn(stored.update)

    def _publish(self, **changes: int) -> None:
        changes.setdefault('counter', self.own.counter + 1)
        self.own = replace(self.own, **changes)
        self.table.apply(self.own, self._clock())
        self._spread(self.own.host)

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

    def _remove_silent(self) -> None:
        now = self._clock()
        for member in self.table.list_members():
            if member.update.host == self.own.host:
                continue
            silent_s = now - member.changed_at
            if member.status == MemberStatus.GONE:
                if silent_s > _FORGET_S:
                    self.table.forget(member.update.host)
                    self._mesh.probe(member.update.host)
            elif self._is_overdue(member, silent_s):
                self.learn(replace(member.update, status=MemberStatus.GONE))

    def _is_overdue(self, member: Member, silent_s: float) -> bool:
        if silent_s < self._suspicion_s:
            return False
        if member.status == MemberStatus.SUSPECT:
            return True
        leaving = member.status == MemberStatus.LEAVING
        return leaving and self._mesh.is_failing(member.update.host)

    def _spread(self, host: str) -> None:
        for news in self._news:
            if news.host == host:
                news.left = _NEWS_REPEATS
                return
        self._news.append(PendingBroadcast(host, _NEWS_REPEATS))

    def _log(self, update: MemberUpdate) -> None:
        logger.info(
            'member-changed',
            host=update.host,
            status=MemberStatus(update.status).name.lower(),
            incarnation=update.incarnation,
        )
