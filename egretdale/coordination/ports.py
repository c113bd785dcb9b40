"""Interfaces to external systems, which users of the library implement."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

from egretdale.errors import Ambiguous, Conflict, Missing, Unreachable
from egretdale.state.backends import LoadReport
from egretdale.state.messages import Batch
from egretdale.state.queries import (
    ChangeAsk,
    Changes,
    ClaimAsk,
    ClaimReply,
    DocumentCopy,
    OriginAsk,
    OriginReply,
)

#: Seconds after the longest wait of a watch in which its answer has to arrive.
WATCH_MARGIN_S = 0.5

#: Era and version of an object or a listing, by which they are ordered.
Position = tuple[int, int]

#: Position that a write expects if the object must not exist.
ABSENT: Position = (0, 0)


@dataclass(slots=True, frozen=True)
class StoredObject:
    """An object of the platform.

    :ivar name: name within its kind.
    :ivar version: version, which grows with every write within an era.
    :ivar body: stored bytes.
    :ivar era: era of the platform in which it was read, 0 if unknown and in a
        listing, which has one for all objects.
    """

    name: str
    version: int
    body: bytes
    era: int = 0

    @property
    def position(self) -> Position:
        """Position that the next write of the object expects."""
        return self.era, self.version

    def read_text(self) -> str:
        """Return the body as text, empty if it is not valid UTF-8.

        Replacement characters could make another host read a valid object.
        """
        try:
            return self.body.decode()
        except UnicodeDecodeError:
            return ''


@dataclass(slots=True, frozen=True)
class Listing:
    """All objects of a kind.

    :ivar version: version of the listing as a whole.
    :ivar entries: the objects.
    :ivar era: how often the platform was restored from an older copy, after
        which versions are given out again; 0 if unknown.
    """

    version: int
    entries: tuple[StoredObject, ...]
    era: int = 0

    @property
    def position(self) -> Position:
        """Place in the order of all listings of the kind."""
        return self.era, self.version


@dataclass(slots=True, frozen=True)
class Written:
    """A write that took effect.

    :ivar version: new version of the object.
    :ivar era: era of the platform in which it was written, 0 if unknown.
    """

    version: int
    era: int = 0

    @property
    def position(self) -> Position:
        """Position that the next write of the object expects."""
        return self.era, self.version


class Platform(Protocol):
    """The platform's object API.

    :ivar era: highest era of the platform that is known, 0 if unknown.
    """

    era: int

    def hear_era(self, era: int) -> None:
        """Take note of an era that a peer knows.

        :param era: the era.
        """

    def read(
        self, kind: str, name: str
    ) -> StoredObject | Missing | Unreachable:
        """Read one object.

        :param kind: kind of the object.
        :param name: name within the kind.
        """

    def list_objects(self, kind: str) -> Listing | Unreachable:
        """List all objects of a kind.

        :param kind: kind of the objects.
        """

    def watch(
        self, kind: str, version: int, timeout_s: float
    ) -> Listing | Unreachable:
        """Wait for a listing that is newer than a version.

        :param kind: kind of the objects.
        :param version: version that the caller has.
        :param timeout_s: longest wait in seconds, after which the present
            listing is returned.
        """

    def is_newest(
        self, kind: str, position: Position, timeout_s: float
    ) -> bool | Unreachable:
        """Tell whether no listing is newer than one, without waiting.

        :param kind: kind of the objects.
        :param position: position of a listing.
        :param timeout_s: timeout of the call in seconds.
        """

    def write(
        self, kind: str, name: str, body: bytes, expected: Position
    ) -> Written | Conflict | Unreachable | Ambiguous:
        """Write an object if its position is the expected one.

        A write that expects a position of an earlier era is not sent.

        :param kind: kind of the object.
        :param name: name within the kind.
        :param body: bytes to store.
        :param expected: expected position, ``ABSENT`` if it must not exist.
        """


@dataclass(slots=True, frozen=True)
class Delivered:
    """A batch that a peer has processed.

    :ivar answer: answer of the peer.
    :ivar sent_bytes: size of the batch on the wire.
    """

    answer: Batch
    sent_bytes: int


class Network(Protocol):
    """Calls to the daemons of other entry hosts."""

    def deliver(
        self, address: str, batch: Batch
    ) -> Delivered | Unreachable | Ambiguous:
        """Deliver a batch.

        :param address: ``address:port`` of the peer.
        :param batch: the batch.
        """

    def claim(
        self, address: str, question: ClaimAsk
    ) -> ClaimReply | Unreachable | Ambiguous:
        """Ask the issuer of a key whether a request may run.

        :param address: ``address:port`` of the peer.
        :param question: the key and the request.
        """

    def settle(
        self, address: str, key: str, *, ran: bool
    ) -> bool | Unreachable | Ambiguous:
        """Report to the issuer of a key how the request ended.

        :param address: ``address:port`` of the peer.
        :param key: the key.
        :param ran: whether a backend server may have run the request.
        """

    def fetch(
        self, address: str, service: str
    ) -> DocumentCopy | Unreachable | Ambiguous:
        """Fetch a peer's copy of a document.

        :param address: ``address:port`` of the peer.
        :param service: service name, or kind of the stored state.
        """

    def follow(
        self, address: str, ask: ChangeAsk
    ) -> Changes | Unreachable | Ambiguous:
        """Wait for a peer to report changes to the objects of a kind.

        :param address: ``address:port`` of the peer.
        :param ask: the kind and the version that this host has.
        """

    def find_origin(
        self, address: str, ask: OriginAsk
    ) -> OriginReply | Unreachable | Ambiguous:
        """Ask a peer where a stream began.

        :param address: ``address:port`` of the peer.
        :param ask: the stream.
        """


@dataclass(slots=True, frozen=True)
class BackendCall:
    """A request to a backend server.

    :ivar stream_id: identifier of the attempt on the backend server.
    :ivar method: HTTP method.
    :ivar path: path and query.
    :ivar headers: header names and values.
    :ivar body: request body.
    :ivar priority: priority of the request, 0 is the highest.
    :ivar fresh: whether a new connection must be used.
    :ivar first_byte_s: longest wait for the first byte in seconds.
    """

    stream_id: str
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    priority: int
    fresh: bool
    first_byte_s: float


@dataclass(slots=True, frozen=True)
class EngineOrder:
    """The desired state of an engine; sending it again has no further effect.

    :ivar model: model name.
    :ivar adapter: adapter name, empty for none.
    :ivar version: version label.
    :ivar fencing: fencing token of the sender's lease.
    """

    model: str
    adapter: str
    version: str
    fencing: int


class OrderSender(Protocol):
    """Sends orders to engines."""

    def send_order(self, address: str, order: EngineOrder) -> bool:
        """Send an order.

        :param address: ``address:port`` of the engine.
        :param order: the order.
        :return: whether the engine accepted it.
        """


@dataclass(slots=True, frozen=True)
class NotRun:
    """The backend server certainly did not run the request.

    :ivar detail: what was observed.
    :ivar at_fault: whether the backend server should be avoided for a while.
    :ivar is_refused: whether its host refused the connection.
    :ivar is_hanging: whether there was no reply to the connection in time.
    """

    detail: str
    at_fault: bool = True
    is_refused: bool = False
    is_hanging: bool = False


@dataclass(slots=True, frozen=True)
class MaybeRun:
    """The backend server may have run the request, or part of it.

    :ivar detail: what was observed.
    """

    detail: str


@dataclass(slots=True, frozen=True)
class EndOfStream:
    """The response ended completely, according to its framing.

    :ivar by_close: whether only the end of its connection marks the end.
    """

    by_close: bool = False


class BackendStream(Protocol):
    """A response whose body is being read.

    :ivar status: HTTP status.
    :ivar headers: header names and values.
    """

    status: int
    headers: Sequence[tuple[str, str]]

    def read(self) -> bytes | EndOfStream | MaybeRun:
        """Read the next chunk of the body."""

    def finish(self) -> None:
        """Keep the connection if the response ends now, else close it."""

    def close(self) -> None:
        """Close the connection."""


class BackendClient(OrderSender, Protocol):
    """Calls to backend servers."""

    def open(
        self, address: str, call: BackendCall
    ) -> BackendStream | NotRun | MaybeRun:
        """Send a request and read the status and headers of the response.

        :param address: ``address:port`` of the backend server.
        :param call: the request.
        """

    def continue_stream(
        self, address: str, stream_id: str, after: int
    ) -> BackendStream | NotRun | MaybeRun:
        """Resume a stream whose connection was lost.

        :param address: ``address:port`` of the engine.
        :param stream_id: identifier of the stream.
        :param after: number of the last event that was received.
        """

    def cancel(self, address: str, stream_id: str) -> None:
        """Cancel a stream whose caller has disconnected.

        :param address: ``address:port`` of the engine.
        :param stream_id: identifier of the stream.
        """

    def pause(self, address: str, stream_id: str, *, paused: bool) -> bool:
        """Pause or resume a stream.

        :param address: ``address:port`` of the engine.
        :param stream_id: identifier of the stream.
        :param paused: true to pause, false to resume.
        :return: whether the engine did so.
        """

    def read_load(self, address: str) -> LoadReport | Unreachable:
        """Request a load report.

        :param address: ``address:port`` of the backend server.
        """
