"""Peers that are told and asked where streams began."""

from __future__ import annotations

from collections.abc import Iterator

import eventlet
from eventlet.queue import Empty, LightQueue

from egretdale.coordination.mesh import Mesh
from egretdale.errors import Ambiguous, Unreachable
from egretdale.state.members import Member, MemberStatus, list_owners
from egretdale.state.queries import OriginAsk, OriginReply
from egretdale.state.stream_origins import ORIGIN_RETENTION_S
from egretdale.util.clocks import Clock
from egretdale.util.hashing import hash_text

#: Number of peers up to which all of them are keepers of all streams.
_SMALL_FLEET = 12
#: Keepers of a stream in a larger fleet, and groups of streams with keepers of
#: their own.
_KEEPERS = 3
_SHARDS = 16
#: Longest wait in seconds for the replies of peers.
_REPLY_TIMEOUT_S = 0.3


class OriginPeers:
    """The peers that may know where a stream began."""

    __slots__ = ('_clock', '_mesh')

    def __init__(self, mesh: Mesh, clock: Clock) -> None:
        """Create a client of the peers.

        :param mesh: links to peers.
        :param clock: monotonic clock.
        """
        self._mesh = mesh
        self._clock = clock

    def receive_replies(
        self, asked: list[Member], ask: OriginAsk
    ) -> Iterator[tuple[str, OriginReply]]:
        """Ask peers at the same time and yield their replies.

        :param asked: the peers.
        :param ask: the question.
        :return: names of the hosts and their replies, as they arrive.
        """
        replies: LightQueue[tuple[str, OriginReply | None]] = LightQueue()
        for member in asked:
            eventlet.spawn_n(self._ask_peer, member, ask, replies)
        deadline_at = self._clock() + _REPLY_TIMEOUT_S
        for _ in asked:
            left_s = max(0, deadline_at - self._clock())
            try:
                host, reply = replies.get(timeout=left_s)
            except Empty:
                return
            if reply is not None:
                yield host, reply

    def _ask_peer(
        self,
        member: Member,
        ask: OriginAsk,
        replies: LightQueue[tuple[str, OriginReply | None]],
    ) -> None:
        update = member.update
        outcome = self._mesh.network.find_origin(update.peer_address, ask)
        reached = not isinstance(outcome, Unreachable | Ambiguous)
        replies.put((update.host, outcome if reached else None))

    def choose_asked(self, request_id: str) -> list[Member]:
        """Choose the peers that are asked for the origin of a stream.

        :param request_id: ID of the request that began it.
        """
        reachable = self._mesh.table.list_reachable()
        if len(reachable) <= _SMALL_FLEET:
            return reachable
        keepers = self.list_keepers(self.find_shard(request_id))
        return [member for member in reachable if member.update.host in keepers]

    def find_shard(self, request_id: str) -> int:
        """Find the group of streams that have the same keepers.

        :param request_id: ID of the request that began a stream.
        """
        return hash_text(request_id) % _SHARDS

    def list_shards(self) -> range:
        """List the groups of streams."""
        return range(_SHARDS)

    def list_keepers(self, shard: int) -> dict[str, int]:
        """List the peers that are told the origins of a group of streams.

        :param shard: the group.
        :return: names of the hosts with their incarnations.
        """
        members = self._mesh.table
        live = members.list_live()
        live.pop(members.own_host, 0)
        if len(live) <= _SMALL_FLEET:
            return live
        owners = list_owners(members, f'streams/{shard}', _KEEPERS + 1)
        others = [host for host in owners if host != members.own_host]
        return {host: live[host] for host in others[:_KEEPERS]}

    def has_heard_all(
        self, asked: list[Member], replies: list[OriginReply]
    ) -> bool:
        """Tell whether no host can have begun a stream unknown to the replies.

        :param asked: peers that were asked.
        :param replies: their replies.
        """
        earliest = self._clock() - ORIGIN_RETENTION_S
        is_lost = any(
            member.status == MemberStatus.SUSPECT
            or (
                member.status == MemberStatus.GONE
                and member.changed_at > earliest
            )
            for member in self._mesh.table.list_members()
        )
        return bool(asked) and len(replies) == len(asked) and not is_lost
