"""HTTP server connections that serve only complete, well-formed requests."""

from __future__ import annotations

from typing import Any, BinaryIO

import eventlet
from eventlet import wsgi

from egretdale.protocol.framing import REQUEST_LINE
from egretdale.state.memory import Holding
from egretdale.transport.connection_limits import (
    ConnectionLimits,
    ConnectionPool,
    MemoryReclaimed,
    receive_for,
)
from egretdale.transport.message_reader import (
    MalformedMessageError,
    MessageReader,
    NoMemoryError,
)
from egretdale.util.logs import get_logger

logger = get_logger(__name__)

_BAD_REQUEST = (
    b'HTTP/1.1 400 Bad Request\r\n'
    b'Connection: close\r\nContent-Length: 0\r\n\r\n'
)
_UNAVAILABLE = (
    b'HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\n'
    b'Connection: close\r\nContent-Length: 0\r\n\r\n'
)
_MAXIMUM_HEAD = 65536
#: Longest body in bytes that is skipped to keep a connection.
_SKIPPED_BYTES = 65536
#: Idle timeout of connections and longest time to send a head, in seconds.
_TIMEOUT_S = 20.0


class StrictProtocol(wsgi.HttpProtocol):
    """A connection whose heads and chunks are verified before they are parsed.

    A malformed head is answered with status 400. Nothing that follows on its
    connection is read as a request.
    """

    _reader: MessageReader
    #: Buffered file of the connection.
    _received: BinaryIO

    def __init__(
        self, limits: ConnectionLimits, conn_state: list[Any], server: Any
    ) -> None:
        """Serve the requests of a connection.

        :param limits: limits of the connections of the server.
        :param conn_state: address, socket and state of the connection.
        :param server: the WSGI server.
        """
        self.limits = limits
        self.address: str = conn_state[0][0]
        self.holding: Holding = limits.open_holding(self.address)
        super().__init__(conn_state, server)

    @property
    def reader(self) -> MessageReader:
        """The reader that verifies the messages."""
        return self._reader

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
        finally:
            self.holding.release()

    def parse_request(self) -> bool:
        """Read and parse a head.

        :return: whether there is a request to serve.
        """
        try:
            with receive_for(self.holding):
                self._read_head()
        except MalformedMessageError as malformed:
            self.close_connection = True
            self.note_malformed(str(malformed))
            self._refuse(_BAD_REQUEST)
            return False
        except (NoMemoryError, MemoryReclaimed):
            self.close_connection = True
            self.limits.note_closed('head-memory', self.address)
            self._refuse(_UNAVAILABLE)
            return False
        except TimeoutError:
            self.close_connection = True
            self.limits.note_closed('head-timeout', self.address)
            return False
        return bool(super().parse_request())

    def get_environ(self) -> dict[str, Any]:
        """Return the WSGI environment, with this connection.

        :return: the environment.
        """
        environ = super().get_environ()
        environ['egretdale.connection'] = self
        return environ

    def note_waiting(self) -> None:
        """Record that the connection is waiting for a complete request."""
        self.limits.note_waiting(self.connection, self.address)

    def note_serving(self) -> None:
        """Record that a request has been received, and is being served."""
        self.limits.note_serving(self.connection)

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

    def finish(self) -> None:
        """Close the connection."""
        self.note_serving()
        self.holding.release()
        super().finish()

    def _read_head(self) -> None:
        self._reader.limit_heads(self._get_maximum_head(), self.holding.grow)
        self._reader.read_head(self.raw_requestline, REQUEST_LINE)

    def _get_maximum_head(self) -> int:
        return _MAXIMUM_HEAD

    def _read_request_line(self) -> bytes:
        self.note_waiting()
        self._reader.start_message()
        return super()._read_request_line()

    def _refuse(self, response: bytes) -> None:
        self.connection.settimeout(_TIMEOUT_S)
        try:
            self.wfile.write(response)
            self.wfile.flush()
        except OSError as gone:
            logger.info('caller-gone', detail=str(gone))


class AuxiliaryProtocol(StrictProtocol):
    """A connection to a server whose requests have no bodies to speak of."""

    def get_environ(self) -> dict[str, Any]:
        """Return the WSGI environment of a request.

        :return: the environment.
        """
        self.note_serving()
        environ = super().get_environ()
        body = environ['eventlet.input']
        if body.chunked_input or (body.content_length or 0) > _SKIPPED_BYTES:
            # The server would read the body to keep the connection.
            self.close_connection = True
        return environ

    def _read_request_line(self) -> bytes:
        # Requests that were sent ahead must not keep other tasks waiting.
        eventlet.sleep(0)
        return super()._read_request_line()

    def _read_head(self) -> None:
        with eventlet.Timeout(_TIMEOUT_S, TimeoutError()):
            super()._read_head()


def serve_auxiliary(
    listener: Any,
    application: Any,
    limits: ConnectionLimits,
    maximum_connections: int,
) -> None:
    """Serve an application whose requests have no bodies to speak of.

    :param listener: listening socket.
    :param application: WSGI application.
    :param limits: limits of the connections.
    :param maximum_connections: maximum number of connections.
    """

    def create(conn_state: list[Any], server: Any) -> AuxiliaryProtocol:
        return AuxiliaryProtocol(limits, conn_state, server)

    wsgi.server(
        listener,
        application,
        log_output=False,
        protocol=create,
        custom_pool=ConnectionPool(maximum_connections, limits),
        socket_timeout=_TIMEOUT_S,
        debug=False,
    )
