"""Tests of connections to backend servers with real sockets."""

from __future__ import annotations

import socket
import struct
import subprocess
import sys

import eventlet

from egretdale.coordination.exchanges import RelayAttempt
from egretdale.coordination.ports import EndOfStream, MaybeRun, NotRun
from egretdale.protocol.forwarding import HeaderCodec, HeaderNames
from egretdale.state.instances import Instance
from egretdale.transport.forwarding import ForwardedResponse, HttpForwardClient
from egretdale.util.clocks import read_boot_clock
from tests.forwarding import create_request
from tests.backend_sockets import (
    HEAD,
    open_response,
    open_server,
    read_all,
    read_head,
)
from tests.functions import create_loader

load_tests = create_loader(__name__)


def _reset(connection: socket.socket) -> None:
    linger = struct.pack('ii', 1, 0)
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    connection.close()


def test_response_without_length_ends_with_its_connection() -> None:
    """An orderly close of the connection completes the response."""

    def script(connection: socket.socket) -> None:
        read_head(connection)
        connection.sendall(HEAD + b'\r\nwhole')
        connection.close()

    with open_server(script) as (client, address):
        body, end = read_all(open_response(client, address))
        assert body == b'whole'
        assert isinstance(end, EndOfStream)


def test_reset_does_not_complete_a_response_without_length() -> None:
    """A response interrupted by a reset is not reported as complete."""

    def script(connection: socket.socket) -> None:
        read_head(connection)
        connection.sendall(HEAD + b'\r\npart')
        eventlet.sleep(0.1)
        _reset(connection)

    with open_server(script) as (client, address):
        body, end = read_all(open_response(client, address))
        assert body == b'part'
        assert isinstance(end, MaybeRun)


def test_incomplete_responses_are_detected() -> None:
    """Missing bytes and a missing last chunk are reported as failures."""
    for framing in (
        b'Content-Length: 9\r\n\r\nshort',
        b'Transfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n',
        b'Transfer-Encoding: chunked\r\n\r\n9\r\nshort',
    ):

        def script(connection: socket.socket) -> None:
            read_head(connection)
            connection.sendall(HEAD + framing)  # noqa: B023
            connection.close()

        with open_server(script) as (client, address):
            _, end = read_all(open_response(client, address))
            assert isinstance(end, MaybeRun), framing


def test_leftover_bytes_close_the_connection() -> None:
    """An unrequested second response is never used."""
    accepted = []

    def script(connection: socket.socket) -> None:
        accepted.append(connection)
        while read_head(connection):
            response = HEAD + b'Content-Length: 2\r\n\r\nok'
            connection.sendall(response)
            if len(accepted) == 1:
                eventlet.sleep(0.02)
                connection.sendall(response.replace(b'request-1', b'other'))

    with open_server(script) as (client, address):
        for _ in range(3):
            body, end = read_all(open_response(client, address))
            assert body == b'ok'
            assert isinstance(end, EndOfStream)
            eventlet.sleep(0.05)
        assert len(accepted) == 2
        assert client.pool.skipped == 0


def test_a_late_copy_of_an_answer_is_not_the_next_one() -> None:
    """It arrives while the next request waits on the same connection."""
    accepted = []

    def script(connection: socket.socket) -> None:
        accepted.append(connection)
        answered = []
        while read_head(connection):
            number = len(accepted) + len(answered)
            answered.append(
                b'HTTP/1.1 200 OK\r\nEgret-Request-Id: r%d\r\n'
                b'Content-Length: 2\r\n\r\na%d' % (number, number)
            )
            # The second copy of the first answer, then the answer.
            connection.sendall(b''.join(answered))

    with open_server(script) as (client, address):
        body, _ = read_all(open_response(client, address, request_id='r1'))
        assert body == b'a1'
        body, _ = read_all(open_response(client, address, request_id='r2'))
        assert body == b'a2'
        assert len(accepted) == 1


def test_response_to_another_request_is_not_forwarded() -> None:
    """A response with another request ID is reported as a failure."""

    def script(connection: socket.socket) -> None:
        read_head(connection)
        connection.sendall(
            b'HTTP/1.1 200 OK\r\nEgret-Request-Id: old\r\n'
            b'Content-Length: 0\r\n\r\n'
        )

    with open_server(script) as (client, address):
        assert isinstance(open_response(client, address), MaybeRun)


def test_invalid_response_leaves_the_outcome_unknown() -> None:
    """After an invalid response, the request may have run."""

    def script(connection: socket.socket) -> None:
        read_head(connection)
        connection.sendall(b'\x00\x01nonsense\r\n\r\n')
        connection.close()

    with open_server(script) as (client, address):
        assert isinstance(open_response(client, address), MaybeRun)


def test_refused_connection_ran_nothing() -> None:
    """If the connection is refused, nothing was sent."""
    with open_server(_reset) as (client, _):
        assert isinstance(open_response(client, '127.0.0.1:1'), NotRun)


def test_a_crashed_server_is_told_from_a_reachable_one() -> None:
    """Its host refuses connections; an open one is kept for a request."""

    def script(connection: socket.socket) -> None:
        while read_head(connection):
            connection.sendall(HEAD + b'Content-Length: 2\r\n\r\nok')

    with open_server(script) as opened:
        client, address = opened
        instance = Instance('b0', 'claims', address)
        assert client.test_connection(instance) is None
        body, _ = read_all(open_response(client, address))
        assert body == b'ok'
        assert client.pool.opened == 1
    assert client.test_connection(instance).is_refused


def test_another_host_relays_a_request() -> None:
    """Its response is read like that of a backend server."""
    heads: list[bytes] = []
    answers = [
        HEAD + b'Content-Length: 2\r\n\r\nok',
        b'HTTP/1.1 421 Misdirected Request\r\nEgret-Request-Id: request-1\r\n'
        b'Content-Length: 0\r\n\r\n',
    ]

    def script(connection: socket.socket) -> None:
        heads.append(read_head(connection))
        connection.sendall(answers.pop(0))
        connection.close()

    with open_server(script) as (client, address):
        request = create_request('/a%2Fb?q', key='secret')
        attempt = RelayAttempt(request, 'h1', address, 2.0, 1, False)
        response = client.relay(attempt)
        assert response.sealed
        assert read_all(response)[0] == b'ok'
        assert b'POST /a%2Fb?q HTTP/1.1' in heads[0]
        assert b'Egret-Relayed: 1' in heads[0]
        assert b'Authorization: Bearer secret' in heads[0]
        assert client.relay(attempt).not_run
    assert client.relay(attempt).is_refused


def test_a_relay_that_finds_no_connection_in_time_has_run_nothing() -> None:
    """Connections to a host that stands still hang."""
    with socket.create_server(('127.0.0.1', 0), backlog=0) as listener:
        place = listener.getsockname()
        waiting = [socket.socket() for _ in range(3)]
        for connection in waiting:
            connection.setblocking(False)
            connection.connect_ex(place)
        client = HttpForwardClient(HeaderCodec(HeaderNames()), read_boot_clock)
        attempt = RelayAttempt(
            create_request('/x'), 'h1', f'127.0.0.1:{place[1]}', 0.3, 1, False
        )
        with eventlet.Timeout(attempt.left_s):
            outcome = client.relay(attempt)
        assert isinstance(outcome, NotRun)
        assert not outcome.at_fault
        for connection in waiting:
            connection.close()


def test_idle_connections_survive_refused_ones() -> None:
    """A partition may refuse new connections while old ones live on."""

    def script(connection: socket.socket) -> None:
        while read_head(connection):
            connection.sendall(HEAD + b'Content-Length: 2\r\n\r\nok')

    with open_server(script) as (client, address):
        read_all(open_response(client, address))
        listener = eventlet.listen(('127.0.0.1', 0))
        refusing = f'127.0.0.1:{listener.getsockname()[1]}'
        listener.close()
        connection = client.pool.take(address)
        client.pool.keep(refusing, connection, 20)
        assert client.test_connection(Instance('b1', '', refusing)).is_refused
        assert client.pool.take(refusing) is connection


def test_requests_are_sent_unchanged() -> None:
    """Target and body are sent unchanged, with a content length."""
    heads = []

    def script(connection: socket.socket) -> None:
        heads.append(read_head(connection))
        connection.sendall(HEAD + b'Content-Length: 0\r\n\r\n')

    with open_server(script) as (client, address):
        read_all(open_response(client, address, body=b'abc'))
    head = heads[0].lower()
    assert heads[0].startswith(b'POST /a%2Fb?q HTTP/1.1\r\n')
    assert b'host: claims.example\r\n' in head
    assert b'content-length: 3\r\n' in head
    assert b'accept-encoding' not in head
    assert b'user-agent' not in head


def test_a_stated_request_limit_is_read() -> None:
    """The header of the limit is parsed and still forwarded to the caller."""

    def respond(connection: socket.socket) -> None:
        read_head(connection)
        connection.sendall(
            HEAD + b'Egret-Request-Limit: 1.9\r\nContent-Length: 0\r\n\r\n'
        )

    with open_server(respond) as (client, address):
        response = open_response(client, address)
        assert response.statement.limit_per_s == 1.9
        assert ('Egret-Request-Limit', '1.9') in response.headers
        response.close()


#: Program that sends the first argument once and then the second one until it
#: has sent 400 MB or the connection is closed.
_ENDLESS_SENDER = """
import socket, sys
listener = socket.create_server(('127.0.0.1', 0))
print(listener.getsockname()[1], flush=True)
connection, _ = listener.accept()
connection.recv(65536)
block = sys.argv[2].encode() * 4000
try:
    connection.sendall(sys.argv[1].encode())
    for _ in range(400_000_000 // len(block)):
        connection.sendall(block)
except OSError:
    pass
"""
_CHUNKED = HEAD.decode() + 'Transfer-Encoding: chunked\r\n\r\n'


def _measure_longest_stall(start: str, repeated: str) -> float:
    """Read an endless response for 0.5 s.

    :param start: first bytes of the response.
    :param repeated: bytes that follow without end.
    :return: longest time in seconds for which other tasks could not run.
    """
    command = (sys.executable, '-c', _ENDLESS_SENDER, start, repeated)
    ticks: list[float] = []

    def tick() -> None:
        while True:
            ticks.append(read_boot_clock())
            eventlet.sleep(0.01)

    with subprocess.Popen(command, stdout=subprocess.PIPE) as sender:
        port = int(sender.stdout.readline())
        client = HttpForwardClient(HeaderCodec(HeaderNames()), read_boot_clock)
        ticker = eventlet.spawn(tick)
        with eventlet.Timeout(0.5, False):
            response = open_response(client, f'127.0.0.1:{port}')
            if isinstance(response, ForwardedResponse):
                read_all(response)
        eventlet.sleep(0.05)
        ticker.kill()
        sender.kill()
    return max(
        later - earlier
        for earlier, later in zip(ticks, ticks[1:], strict=False)
    )


def test_endless_responses_do_not_stop_other_requests() -> None:
    """Deadlines pass and other tasks run while bytes arrive without end."""
    for start, repeated in (
        ('', 'x'),
        ('', 'HTTP/1.1 100 Continue\r\n\r\n'),
        (HEAD.decode(), 'X-A: b\r\n'),
        (f'{HEAD.decode()}\r\n', 'x'),
        (_CHUNKED, '0'),
        (f'{_CHUNKED}0\r\n', 'X-A: b\r\n'),
    ):
        longest_s = _measure_longest_stall(start, repeated)
        assert longest_s < 0.3, (start, repeated, longest_s)
