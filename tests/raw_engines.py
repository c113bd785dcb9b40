"""Backend servers on raw sockets, whose every byte a test decides."""

from __future__ import annotations

import socket
from collections.abc import Callable
from dataclasses import dataclass, field

import eventlet

from standins.addresses import choose_addresses


@dataclass(frozen=True)
class RawRequest:
    """A request as a backend server received it.

    :ivar start: request line.
    :ivar headers: header fields by lower-case name.
    :ivar number: its number on its connection, from 0.
    """

    start: str
    headers: dict[str, str]
    number: int

    @property
    def identity(self) -> str:
        """ID of the request."""
        return self.headers.get('attempt-id', '')


#: Answers a request on its connection; returns whether the connection stays.
Answer = Callable[['RawEngine', RawRequest, socket.socket], bool]


@dataclass
class RawEngine:
    """A backend server that answers as a test says.

    :ivar answer: answers a request.
    :ivar runs: IDs of the requests that it ran, in order.
    :ivar address: its ``address:port``.
    """

    answer: Answer
    runs: list[str] = field(default_factory=list)
    address: str = ''

    def start(self) -> None:
        """Start to listen."""
        self.address = choose_addresses('127.0.0.1', 1)[0]
        host, _, port = self.address.rpartition(':')
        listener = eventlet.listen((host, int(port)))
        eventlet.spawn(self._accept, listener)

    def build_head(self, request: RawRequest, *fields: str) -> bytes:
        """Build the head of a sealed success.

        :param request: the request.
        :param fields: further header lines.
        """
        lines = (
            'HTTP/1.1 200 OK',
            f'Attempt-Id: {request.identity}',
            'Server-Seal: seal',
            *fields,
            '',
            '',
        )
        return '\r\n'.join(lines).encode()

    def run(self, request: RawRequest, connection: socket.socket) -> bool:
        """Run a request and answer it with its ID.

        :param request: the request.
        :param connection: its connection.
        """
        self.runs.append(request.identity)
        body = request.identity.encode()
        head = self.build_head(request, f'Content-Length: {len(body)}')
        connection.sendall(head + body)
        return True

    def _accept(self, listener: socket.socket) -> None:
        while True:
            connection, _ = listener.accept()
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            eventlet.spawn(self._serve, connection)

    def _serve(self, connection: socket.socket) -> None:
        number = 0
        try:
            while self._serve_one(connection, number):
                number += 1
        except OSError:
            # The daemon has closed the connection.
            number = -1
        connection.close()

    def _serve_one(self, connection: socket.socket, number: int) -> bool:
        received = b''
        while b'\r\n\r\n' not in received:
            chunk = connection.recv(65536)
            if not chunk:
                return False
            received += chunk
        lines = received.partition(b'\r\n\r\n')[0].decode('latin-1')
        start, *rest = lines.split('\r\n')
        headers = {}
        for line in rest:
            name, _, text = line.partition(':')
            headers[name.lower()] = text.strip()
        request = RawRequest(start, headers, number)
        return self.answer(self, request, connection)


@dataclass(frozen=True)
class RawReply:
    """What a caller received on one connection.

    :ivar received: all bytes.
    """

    received: bytes

    @property
    def status(self) -> int:
        """Status of the first response, 0 if there is none."""
        start = self.received.split(b' ', 2)
        return int(start[1]) if len(start) > 1 else 0

    @property
    def body(self) -> bytes:
        """Content of the chunks, or the body as it is."""
        return self._read()[0]

    @property
    def is_complete(self) -> bool:
        """Whether the body ended as it was announced, with nothing after."""
        return self._read()[1]

    def _read(self) -> tuple[bytes, bool]:
        head, _, rest = self.received.partition(b'\r\n\r\n')
        if b'content-length: ' in head.lower():
            length = head.lower().partition(b'content-length: ')[2]
            wanted = int(length.split(b'\r\n')[0])
            return rest, len(rest) == wanted
        if b'transfer-encoding: chunked' not in head.lower():
            return rest, False
        body = b''
        while rest:
            size, _, rest = rest.partition(b'\r\n')
            count = int(size or b'-1', 16)
            if count == 0:
                return body, rest == b'\r\n'
            if count < 0 or rest[count : count + 2] != b'\r\n':
                return body + rest, False
            body += rest[:count]
            rest = rest[count + 2 :]
        return body, False


def ask(address: str, sent: bytes, timeout_s: float = 5.0) -> RawReply:
    """Send bytes and read until the connection ends or is silent.

    :param address: ``address:port`` of a daemon.
    :param sent: the bytes.
    :param timeout_s: longest silence in seconds.
    """
    host, _, port = address.rpartition(':')
    received = b''
    with socket.create_connection((host, int(port))) as connection:
        connection.settimeout(timeout_s)
        connection.sendall(sent)
        while True:
            try:
                chunk = connection.recv(65536)
            except OSError:
                break
            if not chunk:
                break
            received += chunk
    return RawReply(received)
