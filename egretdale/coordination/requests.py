"""Requests of callers and the replies to them, free of any protocol."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from egretdale.coordination.ports import BackendStream
from egretdale.state.outcomes import Outcome, Refused


@dataclass(slots=True, frozen=True)
class Continuation:
    """A caller's wish to go on with a stream that broke.

    :ivar backend: engine that runs the stream.
    :ivar stream_id: identity of the stream at the engine.
    :ivar after: number of the last event that the caller received.
    """

    backend: str
    stream_id: str
    after: int


@dataclass(slots=True)
class CallerRequest:
    """A request as the protocol layer understood it.

    :ivar request_id: identity of the request.
    :ivar service: service name.
    :ivar method: HTTP method.
    :ivar path: path and query at the backend server.
    :ivar headers: headers to pass on.
    :ivar body: request body.
    :ivar class_name: class that the caller named, empty for none.
    :ivar organisation: organisation of the caller.
    :ivar key: idempotency key, empty for none.
    :ivar streams: whether the answer is a stream of events.
    :ivar prompt_tokens: estimated length of the prompt.
    :ivar maximum_tokens: output limit that the caller set, 0 for none.
    :ivar prefix: hash of the leading part of the prompt, 0 for none.
    :ivar fingerprint: hash of method, path and body.
    :ivar returning: whether the caller came back at a promised time.
    :ivar continuation: stream to go on with.
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
    """An answer that was read to its end.

    :ivar status: HTTP status of the backend server.
    :ivar headers: its headers.
    :ivar body: its body.
    """

    status: int
    headers: Sequence[tuple[str, str]]
    body: bytes


class StreamReply:
    """An answer that is passed on while it arrives.

    :ivar status: HTTP status of the backend server.
    :ivar headers: its headers.
    :ivar backend: engine that runs the stream.
    :ivar stream_id: identity of the stream at the engine.
    :ivar outcome: how it ended; ``None`` while it runs.
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
        :param stream_id: identity of the stream at the engine.
        :param read: returns the next bytes, ``None`` at the end.
        :param abandon: stops the stream.
        """
        self.status = stream.status
        self.headers = stream.headers
        self.backend = backend
        self.stream_id = stream_id
        self.outcome: Outcome | None = None
        self._read = read
        self._abandon = abandon

    def change_backend(self, backend: str, stream_id: str) -> None:
        """Note that another engine goes on with the stream.

        :param backend: name of the engine.
        :param stream_id: identity of the stream there.
        """
        self.backend = backend
        self.stream_id = stream_id

    def read(self) -> bytes | None:
        """Return the next bytes, ``None`` when the stream has ended."""
        return self._read()

    def abandon(self) -> None:
        """Stop the stream because the caller has gone."""
        self._abandon()


@dataclass(slots=True, frozen=True)
class Refusal:
    """A refusal with what is needed to explain it.

    :ivar refused: the outcome.
    :ivar class_name: class of the request, empty when unknown.
    :ivar revision: document revision that decided, 0 when none was held.
    :ivar wait_ms: expected wait behind the decision, -1 when not one.
    """

    refused: Refused
    class_name: str = ''
    revision: int = 0
    wait_ms: int = -1


@dataclass(slots=True)
class StreamLog:
    """What has been passed on of a stream, for going on elsewhere.

    :ivar chunks: chunks of whole events.
    :ivar events: number of events passed on.
    :ivar tail: bytes received after the last whole event.
    """

    chunks: list[bytes] = field(default_factory=list)
    events: int = 0
    tail: bytes = b''

    def accept(self, chunk: bytes) -> bytes:
        """Take in a chunk and return what may be passed on.

        :param chunk: received bytes.
        :return: bytes up to the end of the last whole event.
        """
        pending = self.tail + chunk if self.tail else chunk
        end = pending.rfind(_EVENT_END)
        if end < 0:
            self.tail = pending
            return b''
        whole = pending[: end + len(_EVENT_END)]
        self.tail = pending[end + len(_EVENT_END) :]
        self.chunks.append(whole)
        self.events += whole.count(_EVENT_END)
        return whole

    def is_complete(self) -> bool:
        """Tell whether the terminal event has been passed on."""
        if self.tail or not self.chunks:
            return False
        return self.chunks[-1].endswith(_TERMINAL_EVENT)


_EVENT_END = b'\n\n'
_TERMINAL_EVENT = b'data: [DONE]\n\n'
