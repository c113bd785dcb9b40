"""Connections to backend servers."""

from __future__ import annotations

import io
import re
import socket as sockets
from collections.abc import Sequence
from functools import partial
from http.client import HTTPException
from typing import Any

from egretdale.transport.carried_requests import CarriedRequests
from egretdale.transport.message_reader import MessageReader
from egretdale.transport.sockets import ResetAwareSocket
from egretdale.transport.strict_client import (
    MAXIMUM_STATUS_LINE,
    StrictConnection,
    StrictResponse,
    skip_response,
)

#: Heads after which an idle connection is not used.
_UNUSABLE_HEAD = re.compile(
    rb'HTTP/1\.(?:0|1 1)|.*\r\nconnection:[\t ]*close',
    re.DOTALL | re.IGNORECASE,
)


class BackendResponse(StrictResponse):
    """A response before which late answers to earlier requests are skipped."""

    def __init__(
        self,
        carried: CarriedRequests,
        sock: Any,
        *arguments: Any,
        **options: Any,
    ) -> None:
        """Create a response that has not been read.

        :param carried: requests that its connection has carried.
        :param sock: socket of the connection.
        """
        super().__init__(sock, *arguments, **options)
        self._carried = carried

    def find_earlier_method(
        self, status: int, fields: Sequence[tuple[str, str]]
    ) -> str | None:
        """Find the earlier request of the connection that a response answers.

        :param status: status of the response.
        :param fields: names and values of its header fields.
        :return: method of that request, ``None`` if it answers the last one.
        """
        method = self._carried.find_earlier_method(status, fields)
        if method is None:
            self._carried.head = self.fp.head
        return method


class BackendConnection(StrictConnection):
    """A connection to a backend server that reports resets as errors.

    :ivar carried: the last requests that were sent on it.
    :ivar opened_socket: its socket, also when a response has taken it over.
    :ivar requests: number of requests that were sent on it.
    :ivar idle_s: seconds for which it was idle before the last one.
    """

    requests = 0
    idle_s = float(0)

    def __init__(
        self, carried: CarriedRequests, host: str, port: int, **options: Any
    ) -> None:
        """Create a connection that is not open.

        :param carried: record of the requests that will be sent on it.
        :param host: address of the backend server.
        :param port: its port.
        """
        super().__init__(host, port, **options)
        self.carried = carried
        self.opened_socket: ResetAwareSocket | None = None
        self.response_class = partial(BackendResponse, carried)

    def skip_arrived(self) -> bool:
        """Skip late answers that have arrived as a whole while it was idle.

        :return: whether the connection is open and nothing else has arrived.
        """
        opened = self.sock
        while opened is not None and (opened.surplus or not self.is_connected):
            size = self._measure_late_answer(opened.peek_received())
            if not size:
                return False
            opened.discard(size)
        return opened is not None

    def _measure_late_answer(self, received: bytes) -> int:
        source = io.BytesIO(received)
        reader = MessageReader(source)
        line = reader.readline(MAXIMUM_STATUS_LINE)
        try:
            is_skipped = skip_response(
                line, reader, self.carried.find_earlier_method
            )
        except HTTPException:
            return 0
        if not is_skipped or _UNUSABLE_HEAD.match(reader.head):
            return 0
        return source.tell()

    def _new_conn(self) -> ResetAwareSocket:
        created = ResetAwareSocket(sockets.AF_INET, sockets.SOCK_STREAM)
        try:
            for option in self.socket_options or ():
                created.setsockopt(*option)
            created.settimeout(self.timeout)
            created.connect((self.host, self.port))
        except OSError:
            created.close()
            raise
        self.opened_socket = created
        return created
