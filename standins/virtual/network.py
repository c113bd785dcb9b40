"""Calls between nodes in memory, with latency, cuts and freezes."""

from __future__ import annotations

from typing import TYPE_CHECKING

import eventlet
import greenlet
import msgspec

from egretdale.coordination.ports import Delivered
from egretdale.errors import Ambiguous, Cause, Unreachable
from egretdale.state.messages import (
    Batch,
    ClaimAsk,
    ClaimReply,
    DocumentCopy,
)

if TYPE_CHECKING:
    from egretdale.coordination.node import Node

_TIMEOUT_S = 0.15


class HostFaults:
    """Faults of entry hosts and of the paths between them.

    :ivar dead: hosts whose processes have been killed.
    :ivar frozen: hosts whose processes are paused.
    :ivar cut: pairs of hosts that do not reach each other.
    :ivar latency_s: seconds of one way between hosts.
    """

    __slots__ = ('cut', 'dead', 'frozen', 'latency_s')

    def __init__(self, latency_s: float = 0.001) -> None:
        """Create a world without faults.

        :param latency_s: seconds of one way between hosts.
        """
        self.dead: set[str] = set()
        self.frozen: set[str] = set()
        self.cut: set[frozenset[str]] = set()
        self.latency_s = latency_s

    def check_self(self, host: str) -> None:
        """End or hold the task of a host that is dead or frozen.

        :param host: host whose task calls.
        :raises greenlet.GreenletExit: the host is dead.
        """
        while host in self.frozen and host not in self.dead:
            eventlet.sleep(0.05)
        if host in self.dead:
            raise greenlet.GreenletExit

    def reaches(self, source: str, target: str) -> bool:
        """Tell whether messages pass.

        :param source: sending host.
        :param target: receiving host.
        """
        return frozenset((source, target)) not in self.cut


class VirtualNetwork:
    """The calls of one host to its peers."""

    __slots__ = ('_faults', '_host', '_nodes')

    def __init__(
        self, host: str, nodes: dict[str, Node], faults: HostFaults
    ) -> None:
        """Create the calls of a host.

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
        node = self._reach(address)
        if isinstance(node, Unreachable | Ambiguous):
            return node
        answer = node.mesh.handle(_copy(batch))
        back = self._return(node)
        if back is not None:
            return back
        return Delivered(_copy(answer), 0)

    def claim(
        self, address: str, question: ClaimAsk
    ) -> ClaimReply | Unreachable | Ambiguous:
        """Ask the issuer of a key for its decision."""
        node = self._reach(address)
        if isinstance(node, Unreachable | Ambiguous):
            return node
        reply = node.issuer.decide(question)
        return self._return(node) or reply

    def settle(
        self, address: str, key: str, *, ran: bool
    ) -> bool | Unreachable | Ambiguous:
        """Tell the issuer of a key how its request ended."""
        node = self._reach(address)
        if isinstance(node, Unreachable | Ambiguous):
            return node
        node.issuer.settle(key, ran=ran)
        return self._return(node) or True

    def fetch(
        self, address: str, service: str
    ) -> DocumentCopy | Unreachable | Ambiguous:
        """Fetch a peer's copy of a document."""
        node = self._reach(address)
        if isinstance(node, Unreachable | Ambiguous):
            return node
        reply = node.replica.copy(service)
        return self._return(node) or reply

    def _reach(self, address: str) -> Node | Unreachable | Ambiguous:
        self._faults.check_self(self._host)
        node = self._nodes.get(address)
        target = node.settings.host if node else ''
        passes = self._faults.reaches(self._host, target)
        if node is None or target in self._faults.dead:
            eventlet.sleep(self._faults.latency_s)
            return Unreachable(Cause.REFUSED)
        if not passes or target in self._faults.frozen:
            eventlet.sleep(_TIMEOUT_S)
            return Ambiguous(Cause.SILENT)
        eventlet.sleep(self._faults.latency_s)
        self._faults.check_self(self._host)
        return node

    def _return(self, node: Node) -> Ambiguous | None:
        eventlet.sleep(self._faults.latency_s)
        self._faults.check_self(self._host)
        target = node.settings.host
        lost = target in self._faults.dead or target in self._faults.frozen
        if lost or not self._faults.reaches(self._host, target):
            eventlet.sleep(_TIMEOUT_S)
            return Ambiguous(Cause.SILENT)
        return None


def _copy(batch: Batch) -> Batch:
    return msgspec.msgpack.decode(msgspec.msgpack.encode(batch), type=Batch)
