"""Fixture for tests of the store client."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager

import eventlet

from standins import platform_path  # noqa: F401
from standins.objects import ObjectStoreProgram
from standins.web import listen, serve

from egretdale_platform.store import StoreClient  # isort: skip


@contextmanager
def open_store() -> Iterator[tuple[ObjectStoreProgram, StoreClient]]:
    """Serve an empty store until the end of the context."""
    program = ObjectStoreProgram()
    listener = listen('127.0.0.1:0')
    server = eventlet.spawn(serve, listener, program)
    yield program, StoreClient(f'127.0.0.1:{listener.getsockname()[1]}')
    server.kill()
