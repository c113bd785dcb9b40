"""Handlers for calls from other daemons."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from egretdale.coordination.keys import KeyIssuer
from egretdale.coordination.mesh import Mesh
from egretdale.protocol.wire import decode_structure, encode_structure
from egretdale.state.queries import (
    ChangeAsk,
    Changes,
    DocumentCopy,
    OriginAsk,
    OriginReply,
)


class BasePeerHandler:
    """Handles batches and requests for document copies."""

    __slots__ = ('_copy', '_mesh')

    def __init__(self, mesh: Mesh, copy: Callable[[str], DocumentCopy]) -> None:
        """Create a handler.

        :param mesh: links to peers.
        :param copy: returns the copy of a document for a service name.
        """
        self._mesh = mesh
        self._copy = copy

    def deliver(self, batch: Any) -> Any:
        """Handle a batch.

        :param batch: thrift structure of the batch.
        :return: thrift structure of the response.
        """
        return encode_structure(self._mesh.handle(decode_structure(batch)))

    def fetch(self, service_name: str) -> Any:
        """Return a copy of a document.

        :param service_name: service name.
        :return: thrift structure of the copy.
        """
        return encode_structure(self._copy(service_name))


class GatewayHandler(BasePeerHandler):
    """Handles calls from other gateways."""

    __slots__ = ('_find_origin', '_follow')

    def __init__(
        self,
        mesh: Mesh,
        copy: Callable[[str], DocumentCopy],
        follow: Callable[[ChangeAsk], Changes],
        find_origin: Callable[[OriginAsk], OriginReply],
    ) -> None:
        """Create a handler.

        :param mesh: links to peers.
        :param copy: returns the copy of a document for a service name.
        :param follow: waits for changes to platform objects of a kind.
        :param find_origin: finds where a stream began.
        """
        super().__init__(mesh, copy)
        self._follow = follow
        self._find_origin = find_origin

    def follow(self, ask: Any) -> Any:
        """Wait for changes to platform objects of a kind.

        :param ask: thrift structure of the question.
        :return: thrift structure of the changes.
        """
        return encode_structure(self._follow(decode_structure(ask)))

    def find_origin(self, ask: Any) -> Any:
        """Find where a stream began.

        :param ask: thrift structure of the question.
        :return: thrift structure of the origin.
        """
        return encode_structure(self._find_origin(decode_structure(ask)))


class PeerHandler(BasePeerHandler):
    """Handles all calls from other daemons."""

    __slots__ = ('_issuer',)

    def __init__(
        self,
        mesh: Mesh,
        copy: Callable[[str], DocumentCopy],
        issuer: KeyIssuer,
    ) -> None:
        """Create a handler.

        :param mesh: links to peers.
        :param copy: returns the copy of a document for a service name.
        :param issuer: decides on the keys of this host.
        """
        super().__init__(mesh, copy)
        self._issuer = issuer

    def claim(self, question: Any) -> Any:
        """Decide whether a request with a key of this host may run.

        :param question: thrift structure of the question.
        :return: thrift structure of the decision.
        """
        return encode_structure(self._issuer.decide(decode_structure(question)))

    def settle(self, key: str, ran: bool) -> bool:
        """Record how a request with a key of this host ended.

        :param key: the key.
        :param ran: whether a backend server may have run it.
        :return: true.
        """
        self._issuer.settle(key, ran=ran)
        return True
