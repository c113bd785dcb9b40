"""Fixtures for tests with real daemon processes."""

from __future__ import annotations

import tempfile
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager
from pathlib import Path

import eventlet

from soak.daemons import Daemon, choose_place, create_daemon
from soak.world import serve_program
from standins.objects import ObjectStoreProgram

_DAEMONS = 3
#: Seconds for news to reach all daemons, also on a busy machine.
_SETTLE_S = 2.0


@contextmanager
def open_daemons(store: ObjectStoreProgram) -> Iterator[list[Daemon]]:
    """Run three daemons until the end of the context.

    :param store: the platform's store.
    """
    store_address = serve_program(store)
    places = [choose_place(f'front-{index}') for index in range(_DAEMONS)]
    seeds = tuple(place.addresses['control'] for place in places)
    with ExitStack() as stack:
        folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
        daemons = [
            create_daemon(place, folder, store_address, seeds=seeds)
            for place in places
        ]
        for daemon in daemons:
            daemon.start()
            stack.callback(daemon.kill)
        for daemon in daemons:
            daemon.wait_until_ready()
        # The daemons learn of each other and of the servers.
        eventlet.sleep(_SETTLE_S)
        yield daemons
