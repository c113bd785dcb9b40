"""Fixtures for the tests of connections of callers."""

from __future__ import annotations

import socket
from collections.abc import Callable, Iterator
from contextlib import contextmanager

import eventlet
from eventlet import patcher
from eventlet.greenio import GreenSocket

from egretdale.coordination.admission import AdmittedRequest
from egretdale.coordination.exchanges import ForwardReply, ForwardRequest
from egretdale.protocol.forwarding import HeaderCodec, HeaderNames
from egretdale.state.gateway_metrics import GatewayMetrics
from egretdale.state.outcomes import Refused
from egretdale.state.routing import CallerLimits, RequestKind
from egretdale.transport.connection_limits import ConnectionLimits
from egretdale.transport.ingress import Ingress
from egretdale.util.clocks import read_boot_clock
from tests.forwarding import create_route
from tests.limited import create_limits

# The cooperative version would let the server accept the connection.
_system = patcher.original('socket')

HEAD = 'Host: claims.example\r\nEgret-Request-Id: r1\r\n'
LIMITS = CallerLimits(body_bytes=1000, header_s=1.0, idle_s=0.2)


def read_fixed_limits() -> CallerLimits:
    return LIMITS


def respond_ok() -> ForwardReply:
    return ForwardReply(200, [], 2, iter((b'ok',)))


class ScriptedForwarder:
    """A forwarder that responds with a function that a test sets.

    :ivar requests: received requests.
    :ivar respond: creates the response to a request.
    :ivar failures: exceptions that interrupted a response.
    """

    def __init__(self) -> None:
        self.requests: list[ForwardRequest] = []
        self.failures: list[BaseException] = []
        self.left_s = 5.0
        self.respond = respond_ok

    def admit(self, request: ForwardRequest) -> AdmittedRequest:
        """Admit every request."""
        route = create_route('/', RequestKind.IDEMPOTENT)
        deadline_at = request.arrived_at + self.left_s
        return AdmittedRequest(
            request,
            route,
            '',
            0,
            1,
            deadline_at,
            keyed=False,
            fingerprints=(0,),
        )

    def forward(self, admitted: AdmittedRequest) -> ForwardReply | Refused:
        """Respond as the test specifies."""
        self.requests.append(admitted.request)
        try:
            return self.respond()
        except BaseException as failed:
            self.failures.append(failed)
            raise


@contextmanager
def open_ingress(
    read_limits: Callable[[], CallerLimits] = read_fixed_limits,
    connection_limits: ConnectionLimits | None = None,
) -> Iterator[tuple[ScriptedForwarder, Ingress, str]]:
    forwarder = ScriptedForwarder()
    ingress = Ingress(
        HeaderCodec(HeaderNames()),
        forwarder,
        read_limits,
        read_boot_clock,
        maximum_connections=50,
        metrics=GatewayMetrics(),
        connection_limits=connection_limits or create_limits(),
    )
    listener = eventlet.listen(('127.0.0.1', 0))
    server = eventlet.spawn(ingress.run, listener)
    yield forwarder, ingress, listener.getsockname()
    server.kill()


def connect(address: tuple[str, int]) -> socket.socket:
    connection = socket.create_connection(address)
    connection.settimeout(5)
    return connection


def connect_at_once(address: tuple[str, int]) -> socket.socket:
    connection = GreenSocket(_system.create_connection(address))
    connection.settimeout(5)
    return connection


def send(address: tuple[str, int], text: str) -> bytes:
    with connect(address) as connection:
        connection.sendall(text.encode())
        return read_all(connection)


def read_all(connection: socket.socket) -> bytes:
    received = b''
    while True:
        chunk = connection.recv(65536)
        if not chunk:
            return received
        received += chunk
