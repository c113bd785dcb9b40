"""Bodies of responses, told from further responses that follow within them."""

from __future__ import annotations

import eventlet
from urllib3.response import HTTPResponse

from egretdale.protocol.framing import HEAD_END, is_begun_head
from egretdale.transport.backend_connections import BackendConnection

_CHUNK_BYTES = 65536
#: Longest head in bytes of a response that follows within a body.
_MAXIMUM_HEAD = 131072
#: Bytes of a body without framing with which a second one is compared.
_COMPARED_BYTES = 4096
#: Longest wait in seconds for the rest of a head with which a body ends.
_FOLLOWING_TIMEOUT_S = 0.2
_FOLLOWING_POLL_S = 0.01


class _Summary:
    """Length in bytes and beginning of a body."""

    __slots__ = ('beginning', 'length')

    def __init__(self) -> None:
        self.length = 0
        self.beginning = b''

    def add(self, content: bytes) -> None:
        """Add bytes."""
        self.length += len(content)
        missing = _COMPARED_BYTES - len(self.beginning)
        if missing:
            self.beginning += content[:missing]

    def is_beginning_of(self, whole: _Summary) -> bool:
        """Tell whether another body begins with the bytes of this one."""
        is_long = self.length > whole.length
        return not is_long and whole.beginning.startswith(self.beginning)


class ResponseBody:
    """The body of a response that is being read.

    A backend server that answers a request again may write into it.

    :ivar is_unframed: whether it ends with its connection.
    """

    __slots__ = (
        '_connection',
        '_finder',
        '_response',
        '_summary',
        'is_unframed',
    )

    def __init__(
        self,
        connection: BackendConnection,
        response: HTTPResponse,
        *,
        is_unframed: bool,
    ) -> None:
        """Create a body that has not been read.

        :param connection: connection of the response.
        :param response: the response, whose head has been read.
        :param is_unframed: whether it has neither a length nor chunks.
        """
        self.is_unframed = is_unframed
        self._connection = connection
        self._response = response
        self._finder = connection.carried.create_finder()
        self._summary = _Summary()

    @property
    def embedded_id(self) -> str:
        """ID of the request that another response within it answers."""
        return self._finder.found

    def read(self) -> bytes:
        """Read the next bytes.

        :return: the bytes; none at the end, or where another response begins.
        """
        content = b''
        while not content and not self._finder.found:
            chunk = self._response.read1(_CHUNK_BYTES)
            if not chunk:
                content = self._finish() if self._finder.is_holding else b''
                break
            content = self._finder.scan(chunk)
        if self.is_unframed:
            self._summary.add(content)
        return content

    def is_repeated(self) -> bool:
        """Tell whether what follows is the same response again.

        If the second body is longer, the first one was cut off.
        """
        if self._finder.found != self._connection.carried.current:
            return False
        received = self._finder.rest
        while HEAD_END not in received and len(received) < _MAXIMUM_HEAD:
            chunk = self._response.read1(_CHUNK_BYTES)
            if not chunk:
                break
            received += chunk
        return is_begun_head(received) and self._is_beginning(
            received.partition(HEAD_END)[2]
        )

    def _is_beginning(self, second: bytes) -> bool:
        finder = self._connection.carried.create_finder()
        summary = _Summary()
        summary.add(finder.scan(second))
        while summary.is_beginning_of(self._summary) and not finder.found:
            chunk = self._response.read1(_CHUNK_BYTES)
            if not chunk:
                summary.add(finder.finish())
                break
            summary.add(finder.scan(chunk))
        return summary.is_beginning_of(self._summary)

    def _finish(self) -> bytes:
        if self.is_unframed:
            carried = self._connection.carried
            return self._finder.finish_by_close(carried.head, carried.current)
        opened = self._connection.opened_socket
        following = opened.peek_received()
        with eventlet.Timeout(_FOLLOWING_TIMEOUT_S, False):
            while self._finder.may_go_on(following):
                eventlet.sleep(_FOLLOWING_POLL_S)
                following = opened.peek_received()
        return self._finder.finish(following)
