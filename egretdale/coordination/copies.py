"""Fetches copies of stored state from peers."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

import eventlet

from egretdale.coordination.ports import Network
from egretdale.state.members import MemberTable
from egretdale.state.messages import DocumentCopy

#: Takes in a copy; the second argument is the host that it came from.
CopyReceiver = Callable[[DocumentCopy, str], None]


@dataclass(slots=True, frozen=True)
class PeerAccess:
    """How to reach the daemons of other hosts.

    :ivar network: calls to peers.
    :ivar members: view of the hosts.
    """

    network: Network
    members: MemberTable


class CopyFetcher:
    """Fetches one kind of copy, from one peer at a time."""

    __slots__ = ('_fetching', '_kind', '_peers', '_take')

    def __init__(
        self, kind: str, peers: PeerAccess, take: CopyReceiver
    ) -> None:
        """Create an idle fetcher.

        :param kind: kind of the copies.
        :param peers: how to reach other hosts.
        :param take: takes in a copy.
        """
        self._kind = kind
        self._peers = peers
        self._take = take
        self._fetching = False

    def start(self, host: str) -> None:
        """Fetch a copy unless a fetch is under way.

        :param host: name of the peer.
        """
        if not self._fetching:
            self._fetching = True
            eventlet.spawn_n(self._fetch, host)

    def _fetch(self, host: str) -> None:
        member = self._peers.members.find(host)
        if member is not None:
            address = member.update.peer_address
            outcome = self._peers.network.fetch(address, self._kind)
            if isinstance(outcome, DocumentCopy) and outcome.revision:
                self._take(outcome, host)
        self._fetching = False
