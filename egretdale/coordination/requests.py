"""Protocol-independent requests of callers and the replies to them."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from egretdale.coordination.ports import BackendStream
from egretdale.state.outcomes import Outcome, Refused


@dataclass(slots=True, frozen=True)
class Continuation:
    """Position at which a caller resumes a broken stream.

    :ivar backend: name of the engine that runs the stream.
    :ivar stream_id: ID of the stream at the engine.
    :ivar after: number of the last event that the caller received.
    """

    backend: str
    stream_id: str
    after: int


@dataclass(slots=True)
class CallerRequest:
    """A request as parsed by the protocol layer.

    :ivar request_id: ID of the request.
    :ivar service: service name.
    :ivar method: HTTP method.
    :ivar path: path and query for the backend server.
    :ivar headers: headers to forward.
    :ivar body: request body.
    :ivar class_name: request class that the caller chose, empty for none.
    :ivar organisation: organisation of the caller.
    :ivar key: idempotency key, empty for none.
    :ivar streams: whether the response is a stream of events.
    :ivar prompt_tokens: estimated length of the prompt in tokens.
    :ivar maximum_tokens: output limit set by the caller, 0 for none.
    :ivar prefix: hash of the leading part of the prompt, 0 for none.
    :ivar fingerprint: hash of method, path and body.
    :ivar returning: whether the caller retries at the time it was told.
    :ivar continuation: stream to resume, ``None`` for a new request.
    """

    request_id: str
    service: str
    method: str
    path: str
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b''
    class_name: str = ''
    organisation: str = ''
    key: str = ''
    streams: bool = False
    prompt_tokens: int = 0
    maximum_tokens: int = 0
    prefix: int = 0
    fingerprint: int = 0
    returning: bool = False
    continuation: Continuation | None = None


@dataclass(slots=True, frozen=True)
class BufferedReply:
    """A response that has been read completely.

    :ivar status: HTTP status of the backend server.
    :ivar headers: headers of the response.
    :ivar body: body of the response.
    """

    status: int
    headers: Sequence[tuple[str, str]]
    body: bytes


class StreamReply:
    """A response that is relayed while it arrives.

    :ivar status: HTTP status of the backend server.
    :ivar headers: headers of the response.
    :ivar backend: name of the engine that runs the stream.
    :ivar stream_id: ID of the stream at the engine.
    :ivar outcome: how the stream ended; ``None`` while it runs.
    """

    __slots__ = (
        '_abandon',
        '_read',
        'backend',
        'headers',
        'outcome',
        'status',
        'stream_id',
    )

    def __init__(
        self,
        stream: BackendStream,
        backend: str,
        stream_id: str,
        *,
        read: Callable[[], bytes | None],
        abandon: Callable[[], None],
    ) -> None:
        """Wrap a running stream.

        :param stream: response of the engine.
        :param backend: name of the engine.
        :param stream_id: ID of the stream at the engine.
        :param read: returns the next bytes, ``None`` at the end.
        :param abandon: cancels the stream.
        """
        self.status = stream.status
        self.headers = stream.headers
        self.backend = backend
        self.stream_id = stream_id
        self.outcome: Outcome | None = None
        self._read = read
        self._abandon = abandon

    def change_backend(self, backend: str, stream_id: str) -> None:
        """Record that another engine continues the stream.

        :param backend: name of the engine.
        :param stream_id: ID of the stream at that engine.
        """
        self.backend = backend
        self.stream_id = stream_id

    def read(self) -> bytes | None:
        """Return the next bytes, ``None`` when the stream has ended."""
        return self._read()

    def abandon(self) -> None:
        """Cancel the stream because the caller has disconnected."""
        self._abandon()


@dataclass(slots=True, frozen=True)
class Refusal:
    """A refusal with the facts that explain it.

    :ivar refused: the outcome.
    :ivar class_name: class of the request, empty if unknown.
    :ivar revision: revision of the service document, 0 without a document.
    :ivar wait_ms: expected wait that led to the refusal, -1 for none.
    """

    refused: Refused
    class_name: str = ''
    revision: int = 0
    wait_ms: int = -1


@dataclass(slots=True)
class StreamLog:
    """Events relayed so far, from which another engine can continue.

    :ivar chunks: chunks of complete events; only the last one if the stream is
        too long to be continued.
    :ivar events: number of events relayed.
    :ivar tail: bytes received after the last complete event.
    :ivar size: length of all events in bytes.
    """

    chunks: list[bytes] = field(default_factory=list)
    events: int = 0
    tail: bytearray = field(default_factory=bytearray)
    size: int = 0

    def accept(self, chunk: bytes) -> bytes:
        """Add a chunk and return the events that it completes.

        :param chunk: received bytes.
        :return: bytes up to the end of the last complete event.
        """
        # What came before holds no end of an event.
        searched = max(0, len(self.tail) - 1)
        self.tail += chunk
        end = self.tail.rfind(_EVENT_END, searched)
        if end < 0:
            return b''
        complete = bytes(self.tail[: end + len(_EVENT_END)])
        self.tail = self.tail[len(complete) :]
        self.size += len(complete)
        if self.is_too_long():
            self.chunks.clear()
        self.chunks.append(complete)
        self.events += complete.count(_EVENT_END)
        return complete

    def is_too_long(self) -> bool:
        """Tell whether the stream is too long to be continued elsewhere."""
        return self.size > _MAXIMUM_STREAM_BYTES

    def is_event_too_long(self) -> bool:
        """Tell whether the event that is being received is too long."""
        return len(self.tail) > _MAXIMUM_EVENT_BYTES

    def is_complete(self) -> bool:
        """Tell whether the terminal event has been relayed."""
        if self.tail or not self.chunks:
            return False
        return self.chunks[-1].endswith(_TERMINAL_EVENT)


#: Longest stream that is kept, and longest incomplete event, in bytes.
_MAXIMUM_STREAM_BYTES = 4194304
_MAXIMUM_EVENT_BYTES = 262144
_EVENT_END = b'\n\n'
_TERMINAL_EVENT = b'data: [DONE]\n\n'
