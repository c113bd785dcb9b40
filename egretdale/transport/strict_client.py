"""HTTP client connections that accept only complete, well-formed responses."""

from __future__ import annotations

import errno
from collections.abc import Callable, Sequence
from http.client import HTTPResponse
from typing import Any

import eventlet
from urllib3 import HTTPConnectionPool, HTTPSConnectionPool, PoolManager
from urllib3.connection import HTTPConnection

from egretdale.protocol.framing import (
    STATUS_LINE,
    find_length,
    has_body,
    is_chunked,
)
from egretdale.transport.message_reader import (
    MalformedMessageError,
    MessageReader,
)
from egretdale.transport.sockets import ResetAwareSocket

_SWITCHING_PROTOCOLS = 101
_OK = 200
_LAST_STATUS = 599
MAXIMUM_STATUS_LINE = 8192
#: Bytes of the heads of interim and late responses before a response.
_MAXIMUM_SKIPPED_BYTES = 131072
#: Longest time in seconds for reading a response that is skipped.
_SKIP_TIMEOUT_S = 2.0


class StrictResponse(HTTPResponse):
    """A response whose head and chunks are verified before they are parsed."""

    def __init__(self, sock: Any, *arguments: Any, **options: Any) -> None:
        """Create a response that has not been read.

        :param sock: socket of the connection; if it counts the bytes that were
            received and not read, it is told of each read.
        """
        super().__init__(sock, *arguments, **options)
        counting = sock if hasattr(sock, 'note_read') else None
        self.fp: Any = MessageReader(self.fp, counting)

    def begin(self) -> None:
        """Read the head, skipping interim and late responses.

        :raises MalformedMessageError: the head is malformed or incomplete.
        """
        if self.headers is None:
            self._read_head(self.fp)
        super().begin()

    def find_earlier_method(
        self, status: int, fields: Sequence[tuple[str, str]]
    ) -> str | None:
        """Find the earlier request of the connection that a response answers.

        :param status: status of the response.
        :param fields: names and values of its header fields.
        :return: method of that request, ``None`` if it answers the last one.
        """

    def _read_head(self, reader: MessageReader) -> None:
        line = b''
        is_expected = False
        skipped = 0
        while not is_expected:
            if skipped > _MAXIMUM_SKIPPED_BYTES:
                raise MalformedMessageError('interim responses do not end')
            reader.start_message()
            line = reader.readline(MAXIMUM_STATUS_LINE)
            if not line:
                # The parser reports that there is no response.
                return
            is_expected = not skip_response(
                line, reader, self.find_earlier_method
            )
            skipped += len(reader.head)
        reader.push_back(line)


class StrictConnection(HTTPConnection):
    """A connection that accepts only complete, well-formed responses."""

    response_class = StrictResponse

    def request(self, *arguments: Any, **options: Any) -> None:
        """Send a request.

        :param arguments: arguments of the library.
        :param options: options of the library.
        :raises ConnectionAbortedError: the peer ended the connection.
        """
        try:
            super().request(*arguments, **options)
        except (BrokenPipeError, ConnectionResetError) as ended:
            # Pools ignore these two and read the response. A reset is reported
            # once, so that its body would seem to end in order.
            raise ConnectionAbortedError(
                errno.ECONNABORTED, 'ended while a request was being sent'
            ) from ended

    def _new_conn(self) -> ResetAwareSocket:
        created = super()._new_conn()
        timeout_s = created.gettimeout()
        opened = ResetAwareSocket(
            created.family, created.type, created.proto, created.detach()
        )
        opened.settimeout(timeout_s)
        return opened


class StrictConnectionPool(HTTPConnectionPool):
    """A pool of strict connections to one address."""

    ConnectionCls = StrictConnection  # noqa: WPS115


class StrictPoolManager(PoolManager):
    """Pools of strict connections by address."""

    def __init__(self, **options: Any) -> None:
        """Create a manager without connections.

        :param options: options of the pools.
        """
        super().__init__(**options)
        self.pool_classes_by_scheme = {
            'http': StrictConnectionPool,
            'https': HTTPSConnectionPool,
        }


def skip_response(
    line: bytes,
    reader: MessageReader,
    find_earlier_method: Callable[[int, Sequence[tuple[str, str]]], str | None],
) -> bool:
    """Read a head, and skip an interim or a late response.

    :param line: status line, which has been read.
    :param reader: reader of what follows.
    :param find_earlier_method: returns the method of the earlier request that
        a response answers.
    :return: whether the response was skipped.
    :raises MalformedMessageError: the response is malformed or incomplete.
    """
    fields = reader.read_head(line, STATUS_LINE)
    status = int(STATUS_LINE.fullmatch(line)['status'])
    if status > _LAST_STATUS:
        raise MalformedMessageError(f'status {status} is not defined')
    if status == _SWITCHING_PROTOCOLS:
        raise MalformedMessageError('the protocol is switched')
    if status < _OK:
        return True
    method = find_earlier_method(status, fields)
    if method is None:
        return False
    if has_body(method, status):
        _skip_body(reader, fields)
    return True


def _skip_body(
    reader: MessageReader, fields: Sequence[tuple[str, str]]
) -> None:
    length = find_length(fields)
    if length is None and not is_chunked(fields):
        raise MalformedMessageError('a late response ends with its connection')
    slow = MalformedMessageError('a late response does not end')
    with eventlet.Timeout(_SKIP_TIMEOUT_S, slow):
        reader.skip_body(length)
