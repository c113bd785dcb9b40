"""Passes the body of an answer on, and goes on elsewhere when it breaks."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Protocol

from egretdale.coordination.exchanges import IncompleteResponse
from egretdale.coordination.placing import Placement
from egretdale.coordination.ports import EndOfStream, MaybeRun
from egretdale.coordination.progress import OpenedResponse, Progress
from egretdale.state.routing import RequestKind
from egretdale.util.logs import get_logger

logger = get_logger(__name__)

_EVENT_END = b'\n\n'
_ID_FIELD = b'id:'
_REDIRECTION = 300
#: Longest event that is held back until it is complete, in bytes.
_MAXIMUM_EVENT_BYTES = 262144


class StreamOwner(Protocol):
    """Sends the requests whose answers are relayed."""

    def continue_stream(
        self, progress: Progress, last_event_id: str
    ) -> OpenedResponse | None:
        """Go on with a stream at another backend server.

        :param progress: what has happened so far.
        :param last_event_id: event that the caller received last.
        """

    def note_end(
        self, progress: Progress, placement: Placement, *, failed: bool
    ) -> None:
        """Note that an answer has ended.

        :param progress: the request.
        :param placement: where it ran.
        :param failed: whether the backend server broke it off.
        """


class EventSplitter:
    """Holds back the end of a stream until its last event is complete.

    :ivar last_event_id: identity of the last complete event.
    """

    __slots__ = ('_held', 'last_event_id')

    def __init__(self) -> None:
        """Start before the first event."""
        self.last_event_id = ''
        self._held = b''

    def split(self, chunk: bytes) -> bytes:
        """Take in bytes and return the events that they complete.

        :param chunk: the next bytes.
        :return: complete events, possibly none.
        """
        held = self._held + chunk
        end = held.rfind(_EVENT_END)
        if end < 0:
            self._held = held
            if len(held) > _MAXIMUM_EVENT_BYTES:
                raise IncompleteResponse('an event is too long')
            return b''
        end += len(_EVENT_END)
        self._held = held[end:]
        complete = held[:end]
        self._note_identity(complete)
        return complete

    def has_rest(self) -> bool:
        """Tell whether an event is incomplete."""
        return bool(self._held)

    def discard(self) -> None:
        """Drop an event that will not be completed."""
        self._held = b''

    def _note_identity(self, events: bytes) -> None:
        at = events.rfind(_ID_FIELD)
        if at < 0:
            return
        line, _, _ = events[at + len(_ID_FIELD) :].partition(b'\n')
        self.last_event_id = line.strip().decode('latin-1')


class ResponseRelay:
    """The body of an answer as the caller gets it."""

    __slots__ = (
        '_ended',
        '_opened',
        '_owner',
        '_progress',
        '_splitter',
    )

    def __init__(
        self, owner: StreamOwner, progress: Progress, opened: OpenedResponse
    ) -> None:
        """Start before the first byte.

        :param owner: sends the request elsewhere when a stream breaks.
        :param progress: the request.
        :param opened: the answer.
        """
        self._owner = owner
        self._progress = progress
        self._opened = opened
        self._ended = False
        streams = progress.admitted.route.kind == RequestKind.STREAM
        success = opened.response.status < _REDIRECTION
        self._splitter = EventSplitter() if streams and success else None

    def __iter__(self) -> Iterator[bytes]:
        """Iterate over the chunks."""
        return self

    def __next__(self) -> bytes:
        """Return the next chunk.

        :raises IncompleteResponse: the answer cannot be completed.
        """
        while not self._ended:
            complete = self._read()
            if complete:
                return complete
        raise StopIteration

    def close(self) -> None:
        """Drop an answer that nobody wants any more."""
        if self._ended:
            return
        self._ended = True
        self._opened.response.close()
        self._owner.note_end(
            self._progress, self._opened.placement, failed=False
        )

    def _read(self) -> bytes:
        chunk = self._opened.response.read()
        match chunk:
            case EndOfStream():
                self._finish()
            case MaybeRun(detail=detail):
                self._recover(detail)
            case _:
                return self._split(chunk)
        return b''

    def _split(self, chunk: bytes) -> bytes:
        if self._splitter is None:
            return chunk
        return self._splitter.split(chunk)

    def _finish(self) -> None:
        if self._splitter is not None and self._splitter.has_rest():
            self._recover('the stream ended within an event')
            return
        self._ended = True
        self._owner.note_end(
            self._progress, self._opened.placement, failed=False
        )

    def _recover(self, detail: str) -> None:
        self._opened.response.close()
        self._owner.note_end(
            self._progress, self._opened.placement, failed=True
        )
        request_id = self._progress.admitted.request.request_id
        logger.info(
            'answer-broken',
            request_id=request_id,
            backend=self._opened.placement.instance.name,
            detail=detail,
        )
        # Until another backend server has taken over, nothing is open.
        self._ended = True
        splitter = self._splitter
        resumable = self._progress.admitted.route.resumable
        if splitter is None or not resumable:
            raise IncompleteResponse(detail)
        splitter.discard()
        opened = self._owner.continue_stream(
            self._progress, splitter.last_event_id
        )
        if opened is None:
            raise IncompleteResponse(detail)
        self._opened = opened
        self._ended = False
