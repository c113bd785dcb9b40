"""Tests of servers that are silent for a while, with real sockets."""

from __future__ import annotations

import socket
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from functools import partial

import eventlet

from egretdale.coordination.exchanges import ForwardAttempt
from egretdale.coordination.ports import EndOfStream, NotRun
from egretdale.protocol.forwarding import HeaderCodec, HeaderNames
from egretdale.state.instances import Instance
from egretdale.transport.forwarding import HttpForwardClient
from egretdale.util.clocks import read_boot_clock, read_hub_clock
from tests.backend_sockets import open_server, read_head
from tests.forwarding import ManualClock, create_request
from tests.functions import create_loader

load_tests = create_loader(__name__)

_HEAD = b'HTTP/1.1 200 OK\r\nEgret-Request-Id: request-1\r\nEgret-Seal: s\r\n'
#: Longer than unacknowledged data may stay on a connection.
_THINKING_S = 4.6
_PAUSE_S = 1.5


@contextmanager
def _open_server(
    serve: Callable[[socket.socket], None],
) -> Iterator[tuple[HttpForwardClient, Instance]]:
    listener = eventlet.listen(('127.0.0.1', 0))

    def accept() -> None:
        while True:
            connection, _ = listener.accept()
            connection.recv(65536)
            eventlet.spawn(serve, connection)

    task = eventlet.spawn(accept)
    host, port = listener.getsockname()
    client = HttpForwardClient(HeaderCodec(HeaderNames()), read_boot_clock)
    yield client, Instance('b0', 'claims', f'{host}:{port}')
    task.kill()
    listener.close()


def _call(client: HttpForwardClient, instance: Instance) -> bytes:
    attempt = ForwardAttempt(create_request('/'), instance, '', 9.0, urgency=0)
    received = b''
    with eventlet.Timeout(9):
        response = client.open(attempt)
        while True:
            chunk = response.read()
            if isinstance(chunk, EndOfStream):
                return received
            received += chunk


def test_a_server_that_thinks_for_long_is_not_cut_off() -> None:
    """The user timeout of a connection concerns unacknowledged data only."""

    def serve(connection: socket.socket) -> None:
        eventlet.sleep(_THINKING_S)
        connection.sendall(_HEAD + b'Content-Length: 2\r\n\r\nok')

    with _open_server(serve) as (client, instance):
        assert _call(client, instance) == b'ok'


def test_no_keep_alive_probes_end_a_connection_early() -> None:
    """A user timeout would decide when they give up, whatever their count."""

    def serve(connection: socket.socket) -> None:
        eventlet.sleep(1)

    with _open_server(serve) as (client, instance):
        connection = client.pool.connect(instance.address)
        opened = connection.sock
        probes = opened.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE)
        timeout_ms = opened.getsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT
        )
        assert not probes
        # Servers may fall silent for a second or so.
        assert timeout_ms >= 3000
        connection.close()


def test_a_stream_that_pauses_for_a_second_goes_on() -> None:
    """Its events are passed on in full."""
    events = (b'id: 1\ndata: x\n\n', b'id: 2\ndata: x\n\n')

    def serve(connection: socket.socket) -> None:
        connection.sendall(_HEAD + b'\r\n')
        for event in events:
            connection.sendall(event)
            eventlet.sleep(_PAUSE_S)
        connection.close()

    with _open_server(serve) as (client, instance):
        assert _call(client, instance) == b''.join(events)


@contextmanager
def _open_full_server() -> Iterator[tuple[HttpForwardClient, str]]:
    """Open a server that accepts no connection after the first few."""
    listener = socket.socket()
    listener.bind(('127.0.0.1', 0))
    listener.listen(0)
    host, port = listener.getsockname()
    address = f'{host}:{port}'
    client = HttpForwardClient(HeaderCodec(HeaderNames()), read_boot_clock)
    client.pool.keep(address, client.pool.connect(address), 20)
    yield client, address
    listener.close()


def _connect_until_it_hangs(client: HttpForwardClient, address: str) -> NotRun:
    with eventlet.Timeout(5):
        outcome = None
        # The queue of the listener takes a few connections.
        while not isinstance(outcome, NotRun):
            outcome = client.pool.connect(address)
    return outcome


def test_a_connection_that_hangs_is_given_up_soon() -> None:
    """A partition drops its packets; idle connections are closed with it."""
    with _open_full_server() as (client, address):
        began_at = read_hub_clock()
        outcome = _connect_until_it_hangs(client, address)
        assert outcome.is_hanging
        assert not outcome.is_refused
        assert read_hub_clock() - began_at < 2
        assert client.pool.take(address) is None


def test_a_connection_that_hangs_leaves_time_for_a_refusal() -> None:
    """Of a server that had less time than others nothing is said."""
    with _open_full_server() as (client, address):
        _connect_until_it_hangs(client, address)
        instance = Instance('b0', 'claims', address)
        for left_s in (0.3, 0.03):
            attempt = ForwardAttempt(
                create_request('/'), instance, '', left_s, 0
            )
            began_at = read_hub_clock()
            outcome = client.open(attempt)
            assert isinstance(outcome, NotRun)
            assert not outcome.at_fault
            assert not outcome.is_hanging
            assert read_hub_clock() - began_at < left_s


def _serve_idle(timeout_s: int, connection: socket.socket) -> None:
    announced = b'Keep-Alive: timeout=%d\r\nContent-Length: 0\r\n\r\n'
    while read_head(connection):
        connection.sendall(_HEAD + announced % timeout_s)


def test_no_connection_is_used_when_its_idle_time_may_run_out() -> None:
    """Also if it was opened for a test, and nothing was announced on it."""
    # Announced idle timeout, and seconds for which requests use a connection
    # that must not run twice, and those that may.
    for timeout_s, unrepeatable_s, repeatable_s in (
        (5, 3.0, 3.0),
        (3, 1.0, 1.5),
        (2, 0, 1.0),
    ):
        clock = ManualClock()
        with open_server(partial(_serve_idle, timeout_s)) as (_, address):
            client = HttpForwardClient(HeaderCodec(HeaderNames()), clock)
            instance = Instance('b0', 'claims', address)
            assert _call(client, instance) == b''
            for _ in range(2):
                _check_uses(client, address, unrepeatable_s, repeatable_s)
                assert client.test_connection(instance) is None


def _check_uses(
    client: HttpForwardClient,
    address: str,
    unrepeatable_s: float,
    repeatable_s: float,
) -> None:
    """Check for how long the only connection of a pool is used."""
    pool = client.pool
    clock = pool._clock  # noqa: SLF001
    for is_repeatable, limit_s in (
        (False, unrepeatable_s),
        (True, repeatable_s),
    ):
        if not limit_s:
            continue
        clock.now += limit_s - 0.1
        used = pool.take(address, is_repeatable=is_repeatable)
        assert used is not None
        pool.keep(address, used, pool.find_idle_timeout(address))
    clock.now += unrepeatable_s + 0.1
    assert pool.take(address, is_repeatable=False) is None
    clock.now += repeatable_s - unrepeatable_s
    assert pool.take(address) is None


def test_a_connection_without_a_response_carries_nothing_unrepeatable() -> None:
    """It is not known when the server closes it."""
    clock = ManualClock()
    with open_server(partial(_serve_idle, 3)) as (_, address):
        client = HttpForwardClient(HeaderCodec(HeaderNames()), clock)
        instance = Instance('b0', 'claims', address)
        assert client.test_connection(instance) is None
        assert client.pool.take(address, is_repeatable=False) is None
        clock.now += 0.9
        used = client.pool.take(address)
        assert used is not None
        client.pool.keep(address, used, 2)
        clock.now += 1.1
        assert client.pool.take(address) is None
