"""HTTP client connections that accept only complete, well-formed responses."""

from __future__ import annotations

from http.client import HTTPResponse
from typing import Any

from urllib3 import HTTPConnectionPool, HTTPSConnectionPool, PoolManager
from urllib3.connection import HTTPConnection

from egretdale.protocol.framing import STATUS_LINE
from egretdale.transport.message_reader import (
    MalformedMessageError,
    MessageReader,
)

_SWITCHING_PROTOCOLS = 101
_OK = 200
_MAXIMUM_STATUS_LINE = 8192


class StrictResponse(HTTPResponse):
    """A response whose head and chunks are verified before they are parsed."""

    def __init__(self, sock: Any, *arguments: Any, **options: Any) -> None:
        """Create a response that has not been read.

        :param sock: socket of the connection; if it counts the bytes that were
            received and not read, it is told of each read.
        """
        super().__init__(sock, *arguments, **options)
        on_read = getattr(sock, 'note_read', None)
        self.fp: Any = MessageReader(self.fp, on_read)

    def begin(self) -> None:
        """Read the head, skipping interim responses.

        :raises MalformedMessageError: the head is malformed or incomplete.
        """
        if self.headers is None:
            self._read_head(self.fp)
        super().begin()

    def _read_head(self, reader: MessageReader) -> None:
        status = 0
        while status < _OK:
            reader.start_message()
            line = reader.readline(_MAXIMUM_STATUS_LINE)
            if not line:
                # The parser reports that there is no response.
                return
            reader.read_head(line, STATUS_LINE)
            status = int(STATUS_LINE.fullmatch(line)['status'])
            if status == _SWITCHING_PROTOCOLS:
                raise MalformedMessageError('the protocol is switched')
        reader.push_back(line)


class StrictConnection(HTTPConnection):
    """A connection that accepts only complete, well-formed responses."""

    response_class = StrictResponse


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
