"""Fixtures for the tests of servers that answer a request twice."""

from __future__ import annotations

import contextlib
import itertools
import socket
from dataclasses import dataclass, field

import eventlet

from egretdale.coordination.ports import EndOfStream
from egretdale.transport.forwarding import ForwardedResponse, HttpForwardClient
from tests.backend_sockets import open_response, read_all, read_head

FRAMINGS = ('length', 'chunks', 'none')
METHODS = ('GET', 'POST', 'HEAD')
PAUSE_S = 0.01


def build_head(identity: str, *fields: str) -> bytes:
    lines = (
        'HTTP/1.1 200 OK',
        f'Egret-Request-Id: {identity}',
        'Egret-Seal: s',
        *fields,
        '',
        '',
    )
    return '\r\n'.join(lines).encode()


def build_body(identity: str) -> bytes:
    return f'answer to {identity}, '.encode() * 3


def build_answer(identity: str, framing: str, method: str = 'POST') -> bytes:
    """Build a whole answer."""
    body = build_body(identity)
    match framing:
        case 'length':
            head = build_head(identity, f'Content-Length: {len(body)}')
        case 'chunks':
            head = build_head(identity, 'Transfer-Encoding: chunked')
            body = b'8\r\n%s\r\n%x\r\n%s\r\n0\r\nX-A: b\r\n\r\n' % (
                body[:8],
                len(body) - 8,
                body[8:],
            )
        case _:
            head = build_head(identity)
    return head if method == 'HEAD' else head + body


@dataclass
class RepeatingServer:
    """Answers requests with scripted pieces of bytes, in order.

    :ivar answers: pieces that it sends after each request.
    :ivar ends: whether it closes a connection after the last answer.
    :ivar accepted: number of its connections.
    """

    answers: list[tuple[bytes, ...]]
    ends: bool = False
    accepted: int = 0
    connections: list[socket.socket] = field(default_factory=list)

    def serve(self, connection: socket.socket) -> None:
        """Serve a connection."""
        self.accepted += 1
        self.connections.append(connection)
        with contextlib.suppress(OSError):
            while self.answers and read_head(connection):
                self._send(connection, self.answers.pop(0))
        if self.ends:
            connection.close()
        else:
            eventlet.sleep(60)

    def _send(
        self, connection: socket.socket, pieces: tuple[bytes, ...]
    ) -> None:
        for piece in pieces:
            connection.sendall(piece)
            eventlet.sleep(PAUSE_S)


def ask(
    client: HttpForwardClient, address: str, identity: str, method: str = 'POST'
) -> tuple[bytes, bool]:
    """Return the body of a response and whether it seems complete."""
    response = open_response(
        client, address, request_id=identity, method=method
    )
    if not isinstance(response, ForwardedResponse):
        return b'', False
    body, end = read_all(response)
    is_complete = isinstance(end, EndOfStream)
    if not is_complete:
        response.close()
    return body, is_complete


def cut_at(content: bytes, cuts: list[int]) -> tuple[bytes, ...]:
    """Cut bytes into pieces at some places."""
    places = [0, *sorted({cut % len(content) for cut in cuts}), len(content)]
    return tuple(
        content[begin:end] for begin, end in itertools.pairwise(places)
    )
