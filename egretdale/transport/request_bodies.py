"""Reading of request bodies, piece by piece, within the memory for them."""

from __future__ import annotations

import enum
from typing import Any

import eventlet
from eventlet import wsgi

from egretdale.coordination.exchanges import ForwardRequest, HostStopped
from egretdale.state.memory import Holding
from egretdale.state.outcomes import Ran, Reason, Refused
from egretdale.state.routing import CallerLimits
from egretdale.transport.connection_limits import (
    MemoryReclaimed,
    receive_for,
)
from egretdale.transport.message_reader import (
    MalformedMessageError,
    MessageReader,
)
from egretdale.transport.stopping import StoppingRequests

_PIECE_BYTES = 65536
#: Bytes that are drawn at once for a body in chunks.
_DRAWN_BYTES = 4096
#: Parts of a body in chunks after which other tasks run.
_PARTS_PER_YIELD = 16
#: Framing of chunks in bytes, for each byte of content and in addition.
_FRAMING_FACTOR = 8
_FRAMING_BYTES = 65536
#: Time in seconds after which a caller may send its body again.
_RETRY_S = 1.0
BODY_ERRORS = (
    MalformedMessageError,
    OSError,
    ValueError,
    wsgi.ChunkReadError,
)


class BodyFault(enum.Enum):
    """Why a body was not read."""

    TOO_LARGE = enum.auto()
    NO_MEMORY = enum.auto()
    INCOMPLETE = enum.auto()


class BodyReader:
    """Reads the body of one request."""

    __slots__ = ('_drawn', '_holding', '_input', '_limit', '_source')

    def __init__(
        self, source: MessageReader, body_input: Any, holding: Holding
    ) -> None:
        """Create a reader.

        :param source: verifies the framing of the body.
        :param body_input: input of the server, which states the framing.
        :param holding: memory of the connection.
        """
        self._source = source
        self._input = body_input
        self._holding = holding
        self._drawn = 0

    def read(self, limit: int) -> bytes | BodyFault:
        """Read the body.

        :param limit: maximum size in bytes.
        :return: the body, or why it was not read.
        """
        length = self._input.content_length or 0
        is_chunked = self._input.chunked_input
        if not is_chunked and length > limit:
            return BodyFault.TOO_LARGE
        if not is_chunked and not length:
            return b''
        if self._input.should_send_hundred_continue:
            self._input.send_hundred_continue_response()
            self._input.is_hundred_continue_response_sent = True
        try:
            with receive_for(self._holding):
                if is_chunked:
                    return self._read_chunks(limit)
                return self._read_length(length)
        except MemoryReclaimed:
            return BodyFault.NO_MEMORY

    def _read_length(self, length: int) -> bytes | BodyFault:
        body = bytearray()
        while len(body) < length:
            size = min(_PIECE_BYTES, length - len(body))
            if not self._holding.grow(size):
                return BodyFault.NO_MEMORY
            if body:
                eventlet.sleep(0)
            piece = self._source.read(size)
            self._input.position += len(piece)
            if len(piece) < size:
                return BodyFault.INCOMPLETE
            if size == length:
                return piece
            body += piece
        return bytes(body)

    def _read_chunks(self, limit: int) -> bytes | BodyFault:
        body = bytearray()
        framing = 0
        parts = 0
        while not self._source.is_ended:
            fault = None
            if self._source.chunk_left:
                fault = self._read_piece(body, limit)
            else:
                framing += len(self._source.readline())
            if fault is not None:
                return fault
            if framing > len(body) * _FRAMING_FACTOR + _FRAMING_BYTES:
                return BodyFault.TOO_LARGE
            parts += 1
            if not parts % _PARTS_PER_YIELD:
                eventlet.sleep(0)
        # The server must not look for further chunks.
        self._input.chunk_length = 0
        return bytes(body)

    def _read_piece(self, body: bytearray, limit: int) -> BodyFault | None:
        size = min(self._source.chunk_left, _PIECE_BYTES)
        if len(body) + size > limit:
            return BodyFault.TOO_LARGE
        if not self._draw(len(body) + size):
            return BodyFault.NO_MEMORY
        piece = self._source.read(size)
        body += piece
        return None if len(piece) == size else BodyFault.INCOMPLETE

    def _draw(self, size: int) -> bool:
        missing = size - self._drawn
        if missing <= 0:
            return True
        missing = max(missing, _DRAWN_BYTES)
        self._drawn += missing
        return self._holding.grow(missing)


def receive_body(
    reader: BodyReader,
    request: ForwardRequest,
    limits: CallerLimits,
    stopping: StoppingRequests,
) -> Refused | None:
    """Read the body of a request that is forwarded.

    :param reader: reads the body.
    :param request: the request, which receives it.
    :param limits: limits for requests.
    :param stopping: the requests during a shutdown.
    :return: the refusal if it was not read.
    """
    limit_s = request.patience_s or max(limits.idle_s, limits.header_s)
    timer = eventlet.Timeout(limit_s, TimeoutError())
    try:
        with stopping.interrupt(), timer:
            body = reader.read(limits.body_bytes)
    except HostStopped:
        return stopping.refuse(is_relayed=request.is_relayed)
    except TimeoutError:
        detail = 'timeout while reading the body'
        return Refused(Reason.TOO_SLOW, Ran.NO, detail=detail)
    except BODY_ERRORS as error:
        return Refused(Reason.BAD_REQUEST, Ran.NO, detail=str(error))
    if isinstance(body, BodyFault):
        return _refuse(body, limits.body_bytes)
    request.body = body
    return None


def _refuse(fault: BodyFault, limit: int) -> Refused:
    match fault:
        case BodyFault.TOO_LARGE:
            detail = f'the body is longer than {limit} bytes'
            return Refused(Reason.TOO_LARGE, Ran.NO, detail=detail)
        case BodyFault.NO_MEMORY:
            detail = 'no memory for the body'
            return Refused(Reason.HOST_FULL, Ran.NO, _RETRY_S, detail)
        case BodyFault.INCOMPLETE:
            detail = 'the body is incomplete'
            return Refused(Reason.BAD_REQUEST, Ran.NO, detail=detail)
