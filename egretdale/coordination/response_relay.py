"""Relays response bodies and resumes broken streams elsewhere."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Protocol

from egretdale.coordination.exchanges import IncompleteResponse
from egretdale.coordination.ports import EndOfStream, MaybeRun
from egretdale.coordination.progress import OpenedResponse, Progress
from egretdale.state.event_streams import EventSplitter
from egretdale.state.routing import RequestKind
from egretdale.util.logs import get_logger

logger = get_logger(__name__)

_REDIRECTION = 300
#: Longest incomplete event that is buffered, in bytes.
_MAXIMUM_EVENT_BYTES = 262144


class ResponseForwarder(Protocol):
    """Interface to the forwarder that opened a relayed response."""

    def continue_stream(
        self, progress: Progress, broken: OpenedResponse, last_event_id: str
    ) -> OpenedResponse | None:
        """Resume a stream on another backend server.

        :param progress: state of the request.
        :param broken: the response that broke off.
        :param last_event_id: ID of the last event that the caller received.
        :return: the resumed response, or ``None`` if there is none.
        """

    def note_progress(self, progress: Progress, opened: OpenedResponse) -> None:
        """Record that a response goes on.

        :param progress: state of the request.
        :param opened: the response.
        """

    def note_completion(
        self, progress: Progress, opened: OpenedResponse
    ) -> None:
        """Record that a response was received completely.

        :param progress: state of the request.
        :param opened: the response.
        """

    def note_end(
        self, progress: Progress, opened: OpenedResponse, *, failed: bool
    ) -> None:
        """Record that a response has ended.

        :param progress: state of the request.
        :param opened: the response.
        :param failed: whether the backend server failed to complete it.
        """


class ResponseRelay:
    """Iterates over the body of a response for the caller.

    If a resumable stream breaks, it is resumed on another backend server
    after the last complete event.
    """

    __slots__ = (
        '_ended',
        '_forwarder',
        '_opened',
        '_progress',
        '_splitter',
    )

    def __init__(
        self,
        forwarder: ResponseForwarder,
        progress: Progress,
        opened: OpenedResponse,
    ) -> None:
        """Create a relay that has not read the body.

        :param forwarder: resumes a broken stream.
        :param progress: state of the request.
        :param opened: the response.
        """
        self._forwarder = forwarder
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

        :raises IncompleteResponse: the response cannot be completed.
        """
        while not self._ended:
            complete = self._read()
            if complete:
                return complete
        raise StopIteration

    def close(self) -> None:
        """Close a response that the caller no longer reads."""
        if self._ended:
            return
        self._ended = True
        self._opened.response.close()
        self._forwarder.note_end(self._progress, self._opened, failed=False)

    def _read(self) -> bytes:
        chunk = self._opened.response.read()
        match chunk:
            case EndOfStream(by_close=by_close):
                return self._finish(by_close=by_close)
            case MaybeRun(detail=detail):
                self._recover(detail)
            case _:
                self._forwarder.note_progress(self._progress, self._opened)
                return self._split(chunk)
        return b''

    def _split(self, chunk: bytes) -> bytes:
        if self._splitter is None:
            return chunk
        complete = self._splitter.split(chunk)
        if self._splitter.is_misplaced:
            self._recover('the resumed stream does not go on')
        elif self._splitter.buffered_bytes > _MAXIMUM_EVENT_BYTES:
            raise IncompleteResponse('an event is too long')
        return complete

    def _finish(self, *, by_close: bool) -> bytes:
        splitter = self._splitter
        rest = b''
        if splitter is not None:
            if splitter.has_incomplete_event():
                self._recover('the stream ended within an event')
                return rest
            if by_close and not splitter.has_events:
                self._recover('the stream ended before its first event')
                return rest
            rest = splitter.finish()
        self._ended = True
        self._forwarder.note_completion(self._progress, self._opened)
        return rest

    def _recover(self, detail: str) -> None:
        self._opened.response.close()
        self._forwarder.note_end(self._progress, self._opened, failed=True)
        request_id = self._progress.admitted.request.request_id
        logger.info(
            'answer-broken',
            request_id=request_id,
            backend=self._opened.choice.instance.name,
            detail=detail,
        )
        # No response is open until another backend server resumes the stream.
        self._ended = True
        splitter = self._splitter
        resumable = self._progress.admitted.route.resumable
        if splitter is None or not resumable or not splitter.can_resume():
            raise IncompleteResponse(detail)
        splitter.resume()
        opened = self._forwarder.continue_stream(
            self._progress, self._opened, splitter.last_event_id
        )
        if opened is None:
            raise IncompleteResponse(detail)
        self._opened = opened
        self._ended = False
