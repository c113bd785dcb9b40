"""Tests of calls between daemons."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from types import SimpleNamespace

import eventlet
from hypothesis import given, settings, strategies
from thrift.transport.TTransport import TMemoryBuffer

from egretdale.errors import Ambiguous, Unreachable
from egretdale.protocol.gen import Peer, ttypes
from egretdale.protocol.wire import create_protocol, encode_structure
from egretdale.state.messages import Batch
from egretdale.state.queries import (
    ChangeAsk,
    Changes,
    ObjectCopy,
    OriginAsk,
    OriginReply,
)
from egretdale.transport.frames import receive_frame, send_frame
from egretdale.transport.peer_calls import GatewayHandler
from egretdale.transport.peer_server import PeerServer
from egretdale.transport.peers import PeerClient, listen
from tests.functions import create_loader
from tests.limited import create_limits

load_tests = create_loader(__name__)

_TIMEOUT_S = 0.2
_PEERS = 8


@contextmanager
def _open_peer(
    follow: Callable[[ChangeAsk], Changes] | None = None,
    find_origin: Callable[[OriginAsk], OriginReply] | None = None,
) -> Iterator[tuple[PeerClient, str]]:
    listener = listen('127.0.0.1:0')
    handler = GatewayHandler(None, None, follow, find_origin)
    server = PeerServer(listener, handler, create_limits(), _PEERS)
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
    server = PeerServer(listener, handler, create_limits(), _PEERS)
    task = eventlet.spawn(server.run)
    address = f'127.0.0.1:{listener.getsockname()[1]}'
    client = PeerClient(_TIMEOUT_S, lambda size: None)
    asked = ChangeAsk('kind', 5, 100)
    assert isinstance(client.follow(address, asked), Ambiguous)
    assert isinstance(client.deliver(address, Batch('h1', 1)), Ambiguous)
    task.kill()


@contextmanager
def _open_raw_peer(payloads: list[bytes]) -> Iterator[str]:
    """Serve frames that a test sets."""
    listener = listen('127.0.0.1:0')

    def serve() -> None:
        while True:
            connection, _ = listener.accept()
            receive_frame(connection)
            send_frame(connection, payloads[-1])
            connection.close()

    task = eventlet.spawn(serve)
    yield f'127.0.0.1:{listener.getsockname()[1]}'
    task.kill()


def _encode_answer() -> bytes:
    """Encode a sound answer to a request for changes."""
    call = TMemoryBuffer()
    changes = Changes(
        'kind', 7, 30, 400, whole=True, entries=[ObjectCopy('a', 7, '{}')]
    )
    processor = Peer.Processor(
        GatewayHandler(None, None, lambda ask: changes, None)
    )
    asked = TMemoryBuffer()
    client = Peer.Client(create_protocol(asked))
    client.send_follow(encode_structure(ChangeAsk('kind', 5, 0)))
    processor.process(
        create_protocol(TMemoryBuffer(asked.getvalue())), create_protocol(call)
    )
    return call.getvalue()


@settings(max_examples=150, derandomize=True, database=None, deadline=None)
@given(
    strategies.binary(max_size=80),
    strategies.integers(0, 200),
    strategies.integers(0, 200),
)
def test_any_answer_of_a_peer_is_an_outcome(
    inserted: bytes, begin: int, end: int
) -> None:
    """Answers of another build, cut short or of any bytes, raise nothing."""
    sound = _encode_answer()
    head = sound[: begin % len(sound)]
    tail = sound[end % len(sound) :]
    answer = head + inserted + tail
    with _open_raw_peer([answer]) as address, eventlet.Timeout(5):
        client = PeerClient(_TIMEOUT_S, lambda size: None)
        outcome = client.follow(address, ChangeAsk('kind', 5, 0))
        assert isinstance(outcome, Changes | Ambiguous)
        calls = (
            client.fetch(address, 'kind'),
            client.deliver(address, Batch('h1', 1)),
        )
        assert None not in calls


def test_a_peer_without_a_usable_address_is_unreachable() -> None:
    """An update of another build may name any address."""
    client = PeerClient(_TIMEOUT_S, lambda size: None)
    for address in ('', 'h1', 'h1:x', '127.0.0.1:70000', '127.0.0.1:-1'):
        outcome = client.fetch(address, 'kind')
        assert isinstance(outcome, Unreachable), address
