"""Fetches copies of platform objects from peers."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

import eventlet

from egretdale.coordination.ports import Network
from egretdale.state.members import MemberTable
from egretdale.state.queries import DocumentCopy

#: Receives a copy and the name of the host that it came from.
CopyReceiver = Callable[[DocumentCopy, str], None]


@dataclass(slots=True, frozen=True)
class PeerAccess:
    """Access to the daemons of other hosts.

    :ivar network: calls to peers.
    :ivar members: member table.
    """

    network: Network
    members: MemberTable


class CopyFetcher:
    """Fetches copies of one kind, with at most one fetch at a time."""

    __slots__ = ('_fetching', '_kind', '_peers', '_receiver')

    def __init__(
        self, kind: str, peers: PeerAccess, receiver: CopyReceiver
    ) -> None:
        """Create an idle fetcher.

        :param kind: kind of the copies.
        :param peers: access to other hosts.
        :param receiver: called with each copy.
        """
        self._kind = kind
        self._peers = peers
        self._receiver = receiver
        self._fetching = False

    def start(self, host: str) -> None:
        """Start to fetch a copy unless a fetch is under way.

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
                self._receiver(outcome, host)
        self._fetching = False
