"""Tests of the choice of listening addresses."""

from __future__ import annotations

import socket
from typing import Self
from unittest import mock

from soak.daemons import choose_place
from tests.functions import create_loader

load_tests = create_loader(__name__)

_FIRST_PORT = 40000


class _FakeListener:
    """A listener with the lowest port that is free."""

    held: set[int] = set()

    def __init__(self, address: tuple[str, int]) -> None:
        self._port = _FIRST_PORT
        while self._port in self.held:
            self._port += 1
        self.held.add(self._port)

    def __enter__(self) -> Self:
        return self

    def __exit__(self, *reason: object) -> None:
        self.held.remove(self._port)

    def getsockname(self) -> tuple[str, int]:
        return '', self._port


def test_a_daemon_does_not_get_the_same_port_twice() -> None:
    """The system gives out a released port again at once."""
    with mock.patch.object(socket, 'create_server', _FakeListener):
        place = choose_place('front-0')
    addresses = place.addresses.values()
    assert len(set(addresses)) == len(addresses), addresses
