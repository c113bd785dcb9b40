"""Tests of streams when engines, entry hosts or callers fail."""

from __future__ import annotations

import eventlet

from egretdale.coordination.requests import CallerRequest, StreamReply
from standins.virtual.world import RequestResult, World
from tests.fixtures import create_model_request, open_world
from tests.functions import create_loader

load_tests = create_loader(__name__)


def _start_long_streams(
    world: World, count: int
) -> list[eventlet.greenthread.GreenThread]:
    return [
        eventlet.spawn(
            world.send,
            create_model_request(f's-{number}', 'summary', output=300),
        )
        for number in range(count)
    ]


def _assert_complete(ending: RequestResult) -> None:
    assert ending.is_whole(), ending
    assert ending.events == ending.demand.work.output + 1, ending


def test_streams_continue_after_an_engine_crash() -> None:
    """Streams are complete although their engine crashed on the way."""
    with open_world() as world:
        threads = _start_long_streams(world, 6)
        eventlet.sleep(2)
        world.backends['claims-0'].crash()
        world.backends['claims-1'].crash()
        for thread in threads:
            _assert_complete(thread.wait())


def test_streams_continue_after_an_engine_stalls() -> None:
    """Streams are complete although their engine stopped sending."""
    with open_world() as world:
        threads = _start_long_streams(world, 6)
        eventlet.sleep(2)
        world.backends['claims-0'].silent = True
        for thread in threads:
            _assert_complete(thread.wait())


def test_streams_continue_after_their_host_dies() -> None:
    """Another entry host takes over the streams of a dead one."""
    with open_world() as world:
        threads = _start_long_streams(world, 6)
        eventlet.sleep(2)
        world.kill_host('host-0')
        world.kill_host('host-1')
        endings = [thread.wait() for thread in threads]
        for ending in endings:
            _assert_complete(ending)
        # Streams were taken over, not run again.
        assert world.count_generated() <= 6 * 300 + 1


def test_streams_continue_after_engine_and_host_fail_together() -> None:
    """Streams are complete although an engine and an entry host failed."""
    with open_world() as world:
        threads = _start_long_streams(world, 9)
        eventlet.sleep(2)
        world.backends['claims-2'].crash()
        eventlet.sleep(0.5)
        world.kill_host('host-2')
        for thread in threads:
            _assert_complete(thread.wait())


def test_disconnected_caller_cancels_its_stream() -> None:
    """The engine stops generating once the caller has disconnected."""
    with open_world() as world:
        node = world.nodes['host-0']
        demand = create_model_request('gone', 'summary', output=1000)
        request = CallerRequest(
            'r-1',
            'claims',
            'POST',
            demand.path,
            (),
            b'{"prompt":100,"output":1000,"identity":"gone"}',
            'summary',
            'small',
            streams=True,
        )
        reply = node.router.route(request)
        assert isinstance(reply, StreamReply)
        reply.read()
        reply.abandon()
        eventlet.sleep(5)
        assert world.count_generated() < 100
        assert reply.outcome.reason == 'caller-gone'


def test_requests_are_refused_as_not_run_without_engines() -> None:
    """With every engine down, a refusal says that the request did not run."""
    with open_world() as world:
        for name in ('claims-0', 'claims-1', 'claims-2'):
            world.backends[name].crash()
        eventlet.sleep(3)
        ending = world.send(create_model_request('down'))
        assert not ending.is_whole()
        assert ending.outcome.ran == 'no'
        assert ending.outcome.retry_after_s
