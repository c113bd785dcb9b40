"""Stutters in a soak test: servers that send some responses twice."""

from __future__ import annotations

import random
from collections.abc import Iterable, Iterator
from dataclasses import dataclass

import eventlet
from eventlet.green import socket

from standins.web import Application, Environ, StartResponse

#: Seconds from the start to the first stutter.
_MAXIMUM_START_S = 2.0
#: Mean interval between two stutters in seconds.
_MEAN_INTERVAL_S = 1.5
_MINIMUM_DURATION_S = 2.0
_MAXIMUM_DURATION_S = 6.0
#: Fraction of the responses that are sent twice.
_MINIMUM_SHARE = 0.02
_MAXIMUM_SHARE = 0.1
#: Maximum seconds from the end of a response to its copy.
_MAXIMUM_DELAY_S = 0.3
_CHUNKED = ('Transfer-Encoding', 'chunked')


@dataclass(slots=True, frozen=True)
class Stutter:
    """Servers that send some of their responses twice for a while.

    :ivar at_s: seconds from the start of the phase to its start.
    :ivar for_s: duration in seconds.
    :ivar targets: indices of the servers.
    :ivar share: fraction of their responses.
    """

    at_s: float
    for_s: float
    targets: tuple[int, ...]
    share: float

    def describe(self) -> str:
        """Describe the stutter in one line."""
        return (
            f'{self.at_s:7.2f} s  servers {self.targets} send {self.share:.0%}'
            f' of their responses twice for {self.for_s:.2f} s'
        )


def draw_stutters(
    source: random.Random, length_s: float, servers: int
) -> list[Stutter]:
    """Draw the stutters of a phase of a soak test, at least one.

    :param source: random number generator.
    :param length_s: length of the phase in which they start, in seconds.
    :param servers: number of servers.
    :return: the stutters in order of their start; they do not overlap.
    """
    stutters: list[Stutter] = []
    at_s = source.uniform(0, _MAXIMUM_START_S)
    while not stutters or at_s < length_s:
        for_s = source.uniform(_MINIMUM_DURATION_S, _MAXIMUM_DURATION_S)
        stutters.append(
            Stutter(
                round(at_s, 2),
                round(for_s, 2),
                draw_servers(source, servers),
                round(source.uniform(_MINIMUM_SHARE, _MAXIMUM_SHARE), 3),
            )
        )
        at_s += for_s + source.expovariate(1 / _MEAN_INTERVAL_S)
    return stutters


def draw_servers(source: random.Random, servers: int) -> tuple[int, ...]:
    """Draw one or more servers, up to all.

    :param source: random number generator.
    :param servers: number of servers.
    :return: their indices in order.
    """
    count = source.randint(1, servers)
    return tuple(sorted(source.sample(range(servers), count)))


class StutteringServer:
    """WSGI application that sends some responses of another one twice.

    A copy is sent between two responses of its connection, never within one.

    :ivar share: fraction of the responses that are sent twice.
    :ivar copies: number of copies that were sent.
    """

    def __init__(self, application: Application, source: random.Random) -> None:
        """Send each response once.

        :param application: the application.
        :param source: random number generator.
        """
        self.share = float(0)
        self.copies = 0
        self._application = application
        self._random = source
        self._responding: dict[socket.socket, bytes] = {}

    def __call__(
        self, environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        """Respond as the application does."""
        connection = environ['eventlet.input'].get_socket()
        head: list[tuple[str, str]] = []

        def start(status: str, headers: list[tuple[str, str]]) -> object:
            head.extend([('', status), *headers])
            return start_response(status, headers)

        chunks = self._application(environ, start)
        return _CopiedResponse(self, connection, head, chunks)

    def begin(self, connection: socket.socket) -> None:
        """Hold back copies while a response is sent.

        :param connection: its connection.
        """
        self._responding.setdefault(connection, b'')

    def end(self, connection: socket.socket, copy: bytes) -> None:
        """Send copies that are due, and perhaps one of a response later.

        :param connection: its connection.
        :param copy: the response that has ended.
        """
        self._send(connection, self._responding.pop(connection, b''))
        if self._random.random() < self.share:
            delay_s = self._random.uniform(0, _MAXIMUM_DELAY_S)
            eventlet.spawn_after(delay_s, self._copy, connection, copy)

    def _copy(self, connection: socket.socket, copy: bytes) -> None:
        self.copies += 1
        if connection in self._responding:
            self._responding[connection] += copy
        else:
            self._send(connection, copy)

    def _send(self, connection: socket.socket, copies: bytes) -> None:
        try:
            connection.sendall(copies)
        except OSError:
            # The connection has been closed since.
            return


class _CopiedResponse:
    """The chunks of a response, of which a copy may be sent."""

    __slots__ = ('_body', '_chunks', '_connection', '_head', '_server')

    def __init__(
        self,
        server: StutteringServer,
        connection: socket.socket,
        head: list[tuple[str, str]],
        chunks: Iterable[bytes],
    ) -> None:
        self._server = server
        self._connection = connection
        self._head = head
        self._chunks = chunks
        self._body: list[bytes] = []

    def __iter__(self) -> Iterator[bytes]:
        for chunk in self._chunks:
            self._server.begin(self._connection)
            self._body.append(chunk)
            yield chunk

    def close(self) -> None:
        """End the response."""
        self._server.end(self._connection, _encode(self._head, self._body))


def _encode(head: list[tuple[str, str]], body: list[bytes]) -> bytes:
    (_, status), *headers = head
    names = {name for name, _ in headers}
    if 'Content-Length' not in names:
        headers.append(_CHUNKED)
        body = [b'%x\r\n%s\r\n' % (len(chunk), chunk) for chunk in body]
        body.append(b'0\r\n\r\n')
    lines = [
        f'HTTP/1.1 {status}',
        *(f'{name}: {text}' for name, text in headers),
    ]
    return '\r\n'.join([*lines, '', '']).encode() + b''.join(body)
