"""Simulates calls between nodes, with latency, partitions and pauses."""

from __future__ import annotations

from typing import TYPE_CHECKING

import eventlet
import greenlet
import msgspec

from egretdale.coordination.ports import Delivered
from egretdale.errors import Ambiguous, Cause, Unreachable
from egretdale.state.messages import Batch
from egretdale.state.queries import ClaimAsk, ClaimReply, DocumentCopy

if TYPE_CHECKING:
    from egretdale.coordination.node import Node

_TIMEOUT_S = 0.15


class HostFaults:
    """Faults of entry hosts and of the network between them.

    :ivar dead: hosts whose processes have been killed.
    :ivar frozen: hosts whose processes are paused.
    :ivar cut: pairs of hosts that cannot reach each other.
    :ivar latency_s: one-way latency between hosts in seconds.
    """

    __slots__ = ('cut', 'dead', 'frozen', 'latency_s')

    def __init__(self, latency_s: float = 0.001) -> None:
        """Start without faults.

        :param latency_s: one-way latency between hosts in seconds.
        """
        self.dead: set[str] = set()
        self.frozen: set[str] = set()
        self.cut: set[frozenset[str]] = set()
        self.latency_s = latency_s

    def pause_or_exit(self, host: str) -> None:
        """Block the calling task while its host is frozen; exit if it is dead.

        :param host: host of the calling task.
        :raises greenlet.GreenletExit: the host is dead.
        """
        while host in self.frozen and host not in self.dead:
            eventlet.sleep(0.05)
        if host in self.dead:
            raise greenlet.GreenletExit

    def reaches(self, source: str, target: str) -> bool:
        """Tell whether messages from one host reach another.

        :param source: sending host.
        :param target: receiving host.
        """
        return frozenset((source, target)) not in self.cut


class VirtualNetwork:
    """Client of one host for calls to its peers."""

    __slots__ = ('_faults', '_host', '_nodes')

    def __init__(
        self, host: str, nodes: dict[str, Node], faults: HostFaults
    ) -> None:
        """Create the client of a host.

        :param host: name of the host.
        :param nodes: nodes by peer address.
        :param faults: faults of hosts.
        """
        self._host = host
        self._nodes = nodes
        self._faults = faults

    def deliver(
        self, address: str, batch: Batch
    ) -> Delivered | Unreachable | Ambiguous:
        """Deliver a batch."""
        node = self._send_request(address)
        if isinstance(node, Unreachable | Ambiguous):
            return node
        answer = node.mesh.handle(_copy(batch))
        lost = self._await_reply(node)
        if lost is not None:
            return lost
        return Delivered(_copy(answer), 0)

    def claim(
        self, address: str, question: ClaimAsk
    ) -> ClaimReply | Unreachable | Ambiguous:
        """Ask the issuer of a key for its decision."""
        node = self._send_request(address)
        if isinstance(node, Unreachable | Ambiguous):
            return node
        reply = node.issuer.decide(question)
        return self._await_reply(node) or reply

    def settle(
        self, address: str, key: str, *, ran: bool
    ) -> bool | Unreachable | Ambiguous:
        """Tell the issuer of a key how its request ended."""
        node = self._send_request(address)
        if isinstance(node, Unreachable | Ambiguous):
            return node
        node.issuer.settle(key, ran=ran)
        return self._await_reply(node) or True

    def fetch(
        self, address: str, service: str
    ) -> DocumentCopy | Unreachable | Ambiguous:
        """Fetch a peer's copy of a document."""
        node = self._send_request(address)
        if isinstance(node, Unreachable | Ambiguous):
            return node
        reply = node.replica.copy(service)
        return self._await_reply(node) or reply

    def _send_request(self, address: str) -> Node | Unreachable | Ambiguous:
        self._faults.pause_or_exit(self._host)
        node = self._nodes.get(address)
        target = node.settings.host if node else ''
        reachable = self._faults.reaches(self._host, target)
        if node is None or target in self._faults.dead:
            eventlet.sleep(self._faults.latency_s)
            return Unreachable(Cause.REFUSED)
        if not reachable or target in self._faults.frozen:
            eventlet.sleep(_TIMEOUT_S)
            return Ambiguous(Cause.SILENT)
        eventlet.sleep(self._faults.latency_s)
        self._faults.pause_or_exit(self._host)
        return node

    def _await_reply(self, node: Node) -> Ambiguous | None:
        eventlet.sleep(self._faults.latency_s)
        self._faults.pause_or_exit(self._host)
        target = node.settings.host
        lost = target in self._faults.dead or target in self._faults.frozen
        if lost or not self._faults.reaches(self._host, target):
            eventlet.sleep(_TIMEOUT_S)
            return Ambiguous(Cause.SILENT)
        return None


def _copy(batch: Batch) -> Batch:
    return msgspec.msgpack.decode(msgspec.msgpack.encode(batch), type=Batch)
