"""Tests that non-idempotent requests run at most once."""

from __future__ import annotations

import eventlet

from egretdale.state.outcomes import Refused
from standins.models.store import StoreCopy
from standins.virtual.world import RequestResult, World
from tests.fixtures import count_runs, create_reference, open_world
from tests.functions import create_loader

load_tests = create_loader(__name__)


def _assert_refused(ending: RequestResult, reason: str, ran: str) -> None:
    assert isinstance(ending.outcome, Refused), ending
    assert ending.outcome.reason == reason, ending
    assert ending.outcome.ran == ran, ending


def _send_twice(world: World, key: str) -> list[RequestResult]:
    demand = create_reference('once', key)
    return [world.send(demand, host) for host in ('host-0', 'host-1')]


def test_issued_key_runs_once_on_any_host() -> None:
    """A second request with an issued key is told that the first ran."""
    with open_world() as world:
        first, second = _send_twice(world, world.nodes['host-2'].issuer.issue())
        assert first.is_whole()
        _assert_refused(second, 'answer-not-kept', 'yes')
        assert count_runs(world, 'once') == 1


def test_caller_key_runs_once_on_any_host() -> None:
    """A second request with a caller's key is told that the first ran."""
    with open_world() as world:
        first, second = _send_twice(world, 'my-key')
        assert first.is_whole()
        _assert_refused(second, 'answer-not-kept', 'yes')
        assert count_runs(world, 'once') == 1


def test_racing_requests_with_one_key_run_once() -> None:
    """Of concurrent requests with one key exactly one runs."""
    for key in ('my-key', ''):
        with open_world() as world:
            chosen = key or world.nodes['host-0'].issuer.issue()
            threads = [
                eventlet.spawn(
                    world.send, create_reference('once', chosen), host
                )
                for host in world.nodes
            ]
            endings = [thread.wait() for thread in threads]
            assert sum(ending.is_whole() for ending in endings) == 1
            assert count_runs(world, 'once') == 1


def test_key_of_another_request_is_refused() -> None:
    """A key that was used for another request is refused as not run."""
    with open_world() as world:
        world.send(create_reference('first', 'my-key'))
        ended = world.send(create_reference('second', 'my-key'))
        _assert_refused(ended, 'key-reused', 'no')
        assert count_runs(world, 'second') == 0


def test_key_of_a_dead_issuer_is_unknown() -> None:
    """A request runs nowhere once the issuer of its key has died."""
    with open_world() as world:
        key = world.nodes['host-2'].issuer.issue()
        world.kill_host('host-2')
        ended = world.send(create_reference('once', key), 'host-0')
        _assert_refused(ended, 'outcome-unknown', 'unknown')
        assert count_runs(world, 'once') == 0


def test_key_outlives_a_planned_stop_of_its_issuer() -> None:
    """Keys run at most once also after a graceful shutdown of the issuer."""
    with open_world() as world:
        issuer = world.nodes['host-2'].issuer
        used = issuer.issue()
        unused = issuer.issue()
        world.send(create_reference('used', used), 'host-0')
        world.stop_host('host-2')
        eventlet.sleep(5)
        again = world.send(create_reference('used', used), 'host-1')
        _assert_refused(again, 'answer-not-kept', 'yes')
        first = world.send(create_reference('unused', unused), 'host-0')
        assert first.is_whole()
        second = world.send(create_reference('unused', unused), 'host-1')
        _assert_refused(second, 'answer-not-kept', 'yes')
        assert count_runs(world, 'used') == count_runs(world, 'unused') == 1


def test_caller_key_without_platform_is_refused_as_not_run() -> None:
    """In an outage of the platform a caller's key is refused as not run."""
    with open_world() as world:
        world.platform.down = True
        ended = world.send(create_reference('once', 'my-key'))
        _assert_refused(ended, 'key-store-unavailable', 'no')
        assert ended.outcome.retry_after_s
        assert count_runs(world, 'once') == 0


def test_issued_key_needs_no_platform() -> None:
    """An issued key runs once while the platform is down."""
    with open_world() as world:
        world.platform.down = True
        first, second = _send_twice(world, world.nodes['host-2'].issuer.issue())
        assert first.is_whole()
        _assert_refused(second, 'answer-not-kept', 'yes')
        assert count_runs(world, 'once') == 1


def test_claim_whose_reply_was_lost_can_be_used_later() -> None:
    """A refusal as not run leaves the key usable."""
    with open_world() as world:
        world.platform.lose_replies = True
        ended = world.send(create_reference('once', 'my-key'), 'host-0')
        world.platform.lose_replies = False
        if not ended.is_whole():
            assert ended.outcome.ran == 'no'
            eventlet.sleep(6)
            ended = world.send(create_reference('once', 'my-key'), 'host-1')
        assert ended.is_whole(), ended
        assert count_runs(world, 'once') == 1


def test_lost_answer_is_not_run_again() -> None:
    """A call whose reply was lost is not retried."""
    with open_world() as world:
        for name in ('web-0', 'web-1'):
            world.backends[name].lose_replies = True
        for identity, key in (('keyed', 'my-key'), ('unkeyed', '')):
            ended = world.send(create_reference(identity, key))
            _assert_refused(ended, 'outcome-unknown', 'unknown')
            assert count_runs(world, identity) == 1


def test_call_that_was_not_run_goes_elsewhere() -> None:
    """A call that a backend server reports as not run is retried elsewhere."""
    with open_world() as world:
        world.backends['web-0'].refusing = True
        for number in range(6):
            ended = world.send(create_reference(f'r-{number}'))
            assert ended.is_whole(), ended
            assert count_runs(world, f'r-{number}') == 1


def test_paused_issuer_keeps_its_decisions() -> None:
    """An issuer that was paused still refuses the keys that were used."""
    with open_world() as world:
        key = world.nodes['host-2'].issuer.issue()
        world.send(create_reference('once', key), 'host-0')
        world.pause_host('host-2')
        eventlet.sleep(10)
        world.resume_host('host-2')
        eventlet.sleep(5)
        ended = world.send(create_reference('once', key), 'host-1')
        assert not ended.is_whole()
        assert count_runs(world, 'once') == 1


def _restore(world: World, saved: StoreCopy) -> None:
    world.platform.store.restore(saved)
    # The documents of the copy are as old as its claims.
    eventlet.sleep(0.2)


def test_a_claim_that_the_platform_lost_is_written_again() -> None:
    """A request that ran before a restoration does not run after it.

    A later request with its key is refused as not run until all claims are
    written again; the key of another request can be used after that.
    """
    with open_world() as world:
        eventlet.sleep(3)
        saved = world.platform.store.copy()
        first, second = _send_twice(world, 'my-key')
        assert first.is_whole()
        _assert_refused(second, 'answer-not-kept', 'yes')
        _restore(world, saved)
        early = world.send(create_reference('once', 'my-key'), 'host-1')
        _assert_refused(early, 'key-store-unavailable', 'no')
        eventlet.sleep(8)
        for host in ('host-0', 'host-1', 'host-2'):
            late = world.send(create_reference('once', 'my-key'), host)
            _assert_refused(late, 'answer-not-kept', 'yes')
        assert count_runs(world, 'once') == 1
        assert world.send(create_reference('other', 'other-key')).is_whole()


def test_a_claim_across_a_restoration_is_given_back() -> None:
    """Its response is the first one that names the later era."""
    with open_world() as world:
        eventlet.sleep(3)
        saved = world.platform.store.copy()
        first, _ = _send_twice(world, 'my-key')
        assert first.is_whole()
        world.platform.store.restore(saved)
        racing = world.send(create_reference('once', 'my-key'), 'host-1')
        _assert_refused(racing, 'key-store-unavailable', 'no')
        eventlet.sleep(8)
        late = world.send(create_reference('once', 'my-key'), 'host-2')
        _assert_refused(late, 'answer-not-kept', 'yes')
        assert count_runs(world, 'once') == 1


def test_a_request_that_runs_in_a_restoration_keeps_its_key() -> None:
    """Its claim is lost while a backend server works on it."""
    with open_world() as world:
        eventlet.sleep(3)
        saved = world.platform.store.copy()
        thread = eventlet.spawn(_send_twice, world, 'my-key')
        while not count_runs(world, 'once'):
            eventlet.sleep(0.001)
        _restore(world, saved)
        assert thread.wait()[0].is_whole()
        eventlet.sleep(8)
        late = world.send(create_reference('once', 'my-key'), 'host-2')
        _assert_refused(late, 'answer-not-kept', 'yes')
        assert count_runs(world, 'once') == 1
