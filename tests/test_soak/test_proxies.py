"""Tests of the proxy that injects faults into connections."""

from __future__ import annotations

import eventlet
from eventlet.green import os, socket

from soak.proxies import FaultProxy, Harm
from standins.web import listen
from tests.functions import create_loader

load_tests = create_loader(__name__)

_PAUSE_S = 0.1
_PIPES = 8


def _connect(address: str) -> socket.socket:
    host, _, port = address.rpartition(':')
    return socket.create_connection((host, int(port)), 5)


def test_a_reset_leaves_no_reader_of_a_closed_socket() -> None:
    """A pipe that gets its number could not be read otherwise."""
    target = listen('127.0.0.1:0')
    proxy = FaultProxy(f'127.0.0.1:{target.getsockname()[1]}')
    caller = _connect(proxy.address)
    accepted, _ = target.accept()
    pipe, writing = os.pipe()
    os.set_blocking(pipe, False)
    eventlet.sleep(_PAUSE_S)
    proxy.harm = Harm.RESET
    caller.sendall(b'x')
    eventlet.sleep(_PAUSE_S)
    readers = [eventlet.spawn(os.read, os.dup(pipe), 1) for _ in range(_PIPES)]
    eventlet.sleep(_PAUSE_S)
    os.write(writing, b'y' * _PIPES)
    assert [reader.wait() for reader in readers] == [b'y' for _ in readers]
    proxy.close()


def test_a_proxy_that_crashes_resets_its_connections() -> None:
    """Further ones are refused until it is started again."""
    target = listen('127.0.0.1:0')
    proxy = FaultProxy(f'127.0.0.1:{target.getsockname()[1]}', '127.0.0.2')
    caller = _connect(proxy.address)
    accepted, _ = target.accept()
    proxy.crash()
    try:
        received = caller.recv(1)
    except ConnectionError:
        received = b''
    assert not received
    try:
        _connect(proxy.address)
    except ConnectionRefusedError:
        refused = True
    assert refused
    proxy.restart()
    _connect(proxy.address).sendall(b'x')
    assert target.accept()[0].recv(1) == b'x'
    proxy.close()


def _open(*, backlog: int) -> tuple[FaultProxy, socket.socket, socket.socket]:
    target = listen('127.0.0.1:0')
    proxy = FaultProxy(f'127.0.0.1:{target.getsockname()[1]}')
    caller = _connect(proxy.address)
    accepted, _ = target.accept()
    proxy.fall_silent(backlog)
    return proxy, caller, accepted


def test_a_silent_target_goes_on_with_what_has_arrived() -> None:
    """Nothing is read or written in between."""
    proxy, caller, accepted = _open(backlog=5)
    caller.sendall(b'x')
    accepted.settimeout(_PAUSE_S)
    try:
        received = accepted.recv(1)
    except TimeoutError:
        received = b''
    assert not received
    proxy.go_on(5)
    assert accepted.recv(1) == b'x'
    proxy.close()


def test_a_target_that_goes_on_closes_idle_connections() -> None:
    """What has arrived on them in the meantime is not read."""
    proxy, caller, accepted = _open(backlog=5)
    caller.sendall(b'x')
    eventlet.sleep(_PAUSE_S)
    proxy.go_on(_PAUSE_S / 2)
    accepted.settimeout(1)
    try:
        received = accepted.recv(1)
    except ConnectionError:
        received = b''
    assert not received
    assert proxy.unread == 1
    proxy.close()


def test_a_silent_target_has_a_bounded_backlog() -> None:
    """Further connections hang until it goes on."""
    proxy, _, _ = _open(backlog=1)
    callers = [socket.socket() for _ in range(5)]
    host, _, port = proxy.address.rpartition(':')
    hanging = []
    for caller in callers:
        caller.settimeout(_PAUSE_S)
        try:
            caller.connect((host, int(port)))
        except TimeoutError:
            hanging.append(caller)
    assert hanging
    proxy.go_on(5)
    proxy.close()
