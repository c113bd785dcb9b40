"""HTTP server connections that serve only complete, well-formed requests."""

from __future__ import annotations

from typing import BinaryIO

from eventlet import wsgi

from egretdale.protocol.framing import REQUEST_LINE
from egretdale.transport.message_reader import (
    MalformedMessageError,
    MessageReader,
)
from egretdale.util.logs import get_logger

logger = get_logger(__name__)

_BAD_REQUEST = (
    b'HTTP/1.1 400 Bad Request\r\n'
    b'Connection: close\r\nContent-Length: 0\r\n\r\n'
)


class StrictProtocol(wsgi.HttpProtocol):
    """A connection whose heads and chunks are verified before they are parsed.

    A malformed head is answered with status 400. Nothing that follows on its
    connection is read as a request.
    """

    _reader: MessageReader
    #: Buffered file of the connection.
    _received: BinaryIO

    def setup(self) -> None:
        """Prepare the connection."""
        super().setup()
        self._received = self.rfile
        self._reader = MessageReader(self._received)
        self.rfile = self._reader

    def handle_one_request(self) -> None:
        """Serve a request; one with a malformed body ends the connection."""
        try:
            super().handle_one_request()
        except MalformedMessageError as malformed:
            self.close_connection = True
            self.note_malformed(str(malformed))

    def parse_request(self) -> bool:
        """Read and parse a head.

        :return: whether there is a request to serve.
        """
        try:
            self._reader.read_head(self.raw_requestline, REQUEST_LINE)
        except MalformedMessageError as malformed:
            self.close_connection = True
            self.note_malformed(str(malformed))
            self._refuse()
            return False
        return bool(super().parse_request())

    def note_malformed(self, detail: str) -> None:
        """Log a malformed request.

        :param detail: what is malformed.
        """
        logger.info('request-malformed', detail=detail)

    def read_target(self) -> str:
        """Return the target of the request as it was sent.

        The parser of the library joins several leading slashes.
        """
        return REQUEST_LINE.fullmatch(self.raw_requestline)['target'].decode()

    def _read_request_line(self) -> bytes:
        self._reader.start_message()
        return super()._read_request_line()

    def _refuse(self) -> None:
        try:
            self.wfile.write(_BAD_REQUEST)
            self.wfile.flush()
        except OSError as gone:
            logger.info('caller-gone', detail=str(gone))
