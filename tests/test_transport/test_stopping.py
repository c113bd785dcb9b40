"""Tests of requests at a host that is shutting down."""

from __future__ import annotations

import errno
import socket
from collections.abc import Iterator
from itertools import product

import eventlet

from egretdale.coordination.admission import AdmittedRequest
from egretdale.coordination.exchanges import ForwardReply
from egretdale.transport.gateway import plan_stop_times
from egretdale.transport.stopping import StoppingRequests, StopTimes
from egretdale.util.clocks import read_boot_clock
from tests.forwarding import ManualClock, create_request
from tests.functions import create_loader
from tests.ingress import (
    HEAD,
    ScriptedForwarder,
    connect,
    open_ingress,
    read_all,
    respond_ok,
    send,
)
from tests.test_transport.test_gateway import create_settings

load_tests = create_loader(__name__)

_REQUEST = (
    f'POST / HTTP/1.1\r\n{HEAD}Connection: close\r\nContent-Length: 2\r\n\r\n'
)
_STREAM = f'GET / HTTP/1.1\r\n{HEAD}\r\n'


def _create_times(ends_s: float, selects_s: float = 0) -> StopTimes:
    now = read_boot_clock()
    return StopTimes(now + selects_s, now + ends_s)


def _respond_late() -> ForwardReply:
    eventlet.sleep(4)
    return respond_ok()


def _respond_soon() -> ForwardReply:
    eventlet.sleep(0.3)
    return respond_ok()


def _stream_without_end() -> Iterator[bytes]:
    for number in range(100):
        yield b'id: %d\n\n' % number
        eventlet.sleep(0.05)


def _respond_without_end() -> ForwardReply:
    return ForwardReply(200, [], None, _stream_without_end())


def test_requests_that_can_outlast_a_stop_are_not_taken_late() -> None:
    """All that are taken later than three seconds after it began can end."""
    for grace_s, timeout_s in product((2, 6, 8, 20, 60), (1, 5, 30, 300)):
        clock = ManualClock()
        times = plan_stop_times(create_settings(grace_s), clock.now)
        ends_at = clock.now + grace_s
        late_at = clock.now + min(3, grace_s / 2)
        requests = StoppingRequests(clock)
        requests.begin(times)
        forwarder = ScriptedForwarder()
        forwarder.left_s = timeout_s
        while clock.now < ends_at - 0.1:
            admitted = forwarder.admit(
                create_request('/', arrived_at=clock.now)
            )
            decision = requests.check(admitted)
            can_end = admitted.deadline_at <= ends_at - 1
            is_taken = isinstance(decision, AdmittedRequest)
            assert is_taken or not can_end, (grace_s, timeout_s, clock.now)
            assert (
                clock.now < late_at
                or not is_taken
                or (decision == admitted and admitted.deadline_at < ends_at)
            ), (grace_s, timeout_s, clock.now)
            clock.now += 0.1


def test_requests_that_run_at_the_end_of_a_stop_are_answered() -> None:
    """The answer is whole and does not say that they have not run."""
    for is_earlier in (False, True):
        with open_ingress() as (forwarder, ingress, address):
            forwarder.respond = _respond_late
            times = _create_times(0.6, 0.5)
            if not is_earlier:
                ingress.start_draining(times)
            task = eventlet.spawn(send, address, f'{_REQUEST}{{}}')
            eventlet.sleep(0.1)
            if is_earlier:
                ingress.start_draining(times)
            head, _, body = task.wait().partition(b'\r\n\r\n')
            assert head[9:12] in {b'502', b'504'}, head
            assert f'Content-Length: {len(body)}'.encode() in head
            assert read_boot_clock() < times.ends_at + 0.3
            assert not ingress.connections.is_busy()


def test_responses_that_run_at_the_end_of_a_stop_look_incomplete() -> None:
    """The last chunk is missing, and old callers get a reset."""
    with open_ingress() as (forwarder, ingress, address):
        forwarder.respond = _respond_without_end
        task = eventlet.spawn(send, address, _STREAM)
        eventlet.sleep(0.1)
        old = connect(address)
        old.sendall(_STREAM.replace('1.1', '1.0').encode())
        eventlet.sleep(0.1)
        ingress.start_draining(_create_times(0.3))
        received = task.wait()
        assert b'id: 1' in received
        assert not received.endswith(b'0\r\n\r\n')
        eventlet.sleep(0.1)
        # The cooperative socket would report a reset as an end.
        error = old.fd.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        assert error == errno.ECONNRESET
        assert ingress.stopping.aborted == 2


def test_requests_that_are_read_at_the_end_of_a_stop_are_refused() -> None:
    """The rest of their body has not arrived, so they have not run."""
    with open_ingress() as (forwarder, ingress, address):
        with connect(address) as connection:
            text = f'Egret-Deadline-Ms: 5000\r\n{HEAD}Content-Length: 9'
            connection.sendall(f'POST / HTTP/1.1\r\n{text}\r\n\r\n{{'.encode())
            eventlet.sleep(0.05)
            ingress.start_draining(_create_times(0.1))
            received = read_all(connection)
        assert received.startswith(b'HTTP/1.1 503'), received
        assert b'host-stopping' in received
        assert not forwarder.requests


def test_answers_to_earlier_requests_announce_that_the_host_stops() -> None:
    """Callers do not send another request on their connections."""
    with open_ingress() as (forwarder, ingress, address):
        forwarder.respond = _respond_soon
        task = eventlet.spawn(send, address, _STREAM)
        eventlet.sleep(0.1)
        ingress.start_draining(_create_times(2))
        received = task.wait()
        assert received.startswith(b'HTTP/1.1 200')
        assert b'connection: close' in received.lower()


def test_a_host_that_relays_to_a_stopping_one_tries_another() -> None:
    """It is told that the request has not run there."""
    with open_ingress() as (forwarder, ingress, address):
        ingress.start_draining(_create_times(2))
        relayed = _STREAM.replace('\r\n\r\n', '\r\nEgret-Relayed: 0\r\n\r\n')
        assert send(address, relayed).startswith(b'HTTP/1.1 421')
        assert send(address, _STREAM).startswith(b'HTTP/1.1 503')
        forwarder.left_s = 1
        assert send(address, relayed).startswith(b'HTTP/1.1 200')
