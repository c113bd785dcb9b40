"""Tests of calls between daemons."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from types import SimpleNamespace

import eventlet

from egretdale.errors import Ambiguous
from egretdale.protocol.gen import ttypes
from egretdale.state.messages import Batch
from egretdale.state.queries import (
    ChangeAsk,
    Changes,
    ObjectCopy,
    OriginAsk,
    OriginReply,
)
from egretdale.transport.peer_calls import GatewayHandler
from egretdale.transport.peers import PeerClient, PeerServer, listen
from tests.functions import create_loader

load_tests = create_loader(__name__)

_TIMEOUT_S = 0.2


@contextmanager
def _open_peer(
    follow: Callable[[ChangeAsk], Changes] | None = None,
    find_origin: Callable[[OriginAsk], OriginReply] | None = None,
) -> Iterator[tuple[PeerClient, str]]:
    listener = listen('127.0.0.1:0')
    handler = GatewayHandler(None, None, follow, find_origin)
    server = PeerServer(listener, handler)
    task = eventlet.spawn(server.run)
    address = f'127.0.0.1:{listener.getsockname()[1]}'
    yield PeerClient(_TIMEOUT_S, lambda size: None), address
    task.kill()


def test_follow_may_wait_longer_than_other_calls() -> None:
    """The requested wait is added to the usual timeout."""

    def follow(ask: ChangeAsk) -> Changes:
        eventlet.sleep(2 * _TIMEOUT_S)
        copy = ObjectCopy('a', 7, '{}')
        return Changes(ask.kind, 7, 30, 400, whole=True, entries=[copy])

    with _open_peer(follow) as (client, address):
        for _ in range(2):
            changes = client.follow(address, ChangeAsk('kind', 5, 1000))
            assert isinstance(changes, Changes)
            assert changes.entries == [ObjectCopy('a', 7, '{}')]
            assert (changes.age_ms, changes.waited_ms) == (30, 400)


def test_unresponsive_reader_ends_the_wait() -> None:
    """The usual timeout still applies after the requested wait."""
    with _open_peer(lambda ask: eventlet.sleep(5)) as (client, address):
        outcome = client.follow(address, ChangeAsk('kind', 5, 100))
        assert isinstance(outcome, Ambiguous)


def test_peers_tell_where_a_stream_began() -> None:
    """The question and the reply keep their fields."""
    asked = []

    def find_origin(ask: OriginAsk) -> OriginReply:
        asked.append(ask)
        return OriginReply('claims', 'v1', several_versions=True)

    with _open_peer(find_origin=find_origin) as (client, address):
        reply = client.find_origin(address, OriginAsk('r1', 'claims'))
    assert reply == OriginReply('claims', 'v1', several_versions=True)
    assert asked == [OriginAsk('r1', 'claims')]


def test_a_malformed_answer_of_a_peer_is_a_failure() -> None:
    """It lacks fields that have no default."""
    handler = SimpleNamespace(
        follow=lambda ask: ttypes.Changes(),
        deliver=lambda batch: ttypes.Batch(),
        find_origin=lambda ask: ttypes.OriginReply(),
    )
    listener = listen('127.0.0.1:0')
    task = eventlet.spawn(PeerServer(listener, handler).run)
    address = f'127.0.0.1:{listener.getsockname()[1]}'
    client = PeerClient(_TIMEOUT_S, lambda size: None)
    asked = ChangeAsk('kind', 5, 100)
    assert isinstance(client.follow(address, asked), Ambiguous)
    assert isinstance(client.deliver(address, Batch('h1', 1)), Ambiguous)
    task.kill()
