"""Tests that a stream holds events of one software version only."""

from __future__ import annotations

import eventlet

from egretdale.state.members import find_owner
from egretdale.state.outcomes import Ran
from tests.functions import create_loader
from tests.streams import EVENTS, ReceivedStream, StreamScene, open_stream_scene

load_tests = create_loader(__name__)

_MIXED = ('v1', 'v1', 'v2', 'v2')
_STREAMS = 40
#: Events that a caller has received when its stream breaks.
_RECEIVED = 2


def _list_joined(*streams: ReceivedStream) -> bool:
    versions = {version for stream in streams for version in stream.versions}
    return len(versions) > 1


def _begin(scene: StreamScene, host: str) -> list[ReceivedStream]:
    return [
        scene.call(host, f'first-{number}', events=_RECEIVED)
        for number in range(_STREAMS)
    ]


def _resume(
    scene: StreamScene, hosts: list[str], begun: list[ReceivedStream]
) -> list[ReceivedStream]:
    """Resume streams at several hosts, and check that none is joined."""
    resumed = [
        scene.call(
            hosts[number % len(hosts)],
            f'second-{number}',
            resumes=f'first-{number}',
            after=_RECEIVED,
        )
        for number in range(_STREAMS)
    ]
    for before, after in zip(begun, resumed, strict=True):
        assert not _list_joined(before, after), (before, after)
    return resumed


def _count_whole(resumed: list[ReceivedStream]) -> int:
    return sum(stream.is_whole(_RECEIVED) for stream in resumed)


def test_a_broken_stream_goes_on_at_its_version() -> None:
    """A host resumes it within the response at an engine of that version."""
    with open_stream_scene(*_MIXED) as scene:
        for number in range(_STREAMS):
            request_id = f'broken-{number}'
            scene.engines.breaks[request_id] = [_RECEIVED]
            stream = scene.call(f'h{number % 6}', request_id)
            assert not _list_joined(stream), stream
            assert stream.is_whole(), stream
            # The retry budget of a host is for a few streams a second.
            eventlet.sleep(1)


def test_a_stream_is_not_joined_when_its_version_has_left() -> None:
    """Without another engine of that version the response is incomplete."""
    with open_stream_scene('v1', 'v2', 'v2') as scene:
        broken = 0
        for number in range(_STREAMS):
            request_id = f'broken-{number}'
            scene.engines.breaks[request_id] = [_RECEIVED]
            stream = scene.call(f'h{number % 6}', request_id)
            assert not _list_joined(stream), stream
            broken += stream.broken
        assert 0 < broken < _STREAMS


def test_a_caller_goes_on_at_the_version_that_began_its_stream() -> None:
    """Other hosts know that version."""
    with open_stream_scene(*_MIXED) as scene:
        begun = _begin(scene, 'h0')
        eventlet.sleep(0.5)
        scene.set_versions(*reversed(_MIXED))
        resumed = _resume(scene, ['h1', 'h2', 'h0'], begun)
        assert _count_whole(resumed) == _STREAMS


def test_a_caller_goes_on_after_the_loss_of_its_host() -> None:
    """The version is known although the host that began the stream is lost."""
    for lost in ('h0', 'h1', 'h2', 'h3', 'h4', 'h5'):
        with open_stream_scene(*_MIXED) as scene:
            begun = _begin(scene, lost)
            eventlet.sleep(0.5)
            scene.lose_host(lost)
            scene.set_versions(*reversed(_MIXED))
            resumed = _resume(scene, list(scene.hosts), begun)
            assert _count_whole(resumed) == _STREAMS, lost


def test_a_caller_goes_on_after_the_loss_of_the_allocator_too() -> None:
    """At least half of the streams are known after the loss of two hosts."""
    with open_stream_scene(*_MIXED) as scene:
        table = scene.hosts['h0'].mesh.table
        owner = find_owner(table, 'prefill/prompts/1/0')
        first = next(name for name in scene.hosts if name != owner)
        begun = _begin(scene, first)
        eventlet.sleep(0.5)
        scene.lose_host(owner)
        scene.lose_host(first)
        scene.set_versions(*reversed(_MIXED))
        resumed = _resume(scene, list(scene.hosts), begun)
        assert _count_whole(resumed) >= _STREAMS / 2


def test_a_restarted_host_does_not_join_streams() -> None:
    """It asks the others, as it knows neither the streams nor the versions."""
    with open_stream_scene(*_MIXED) as scene:
        begun = _begin(scene, 'h0')
        scene.set_versions('v2', 'v2', 'v2', 'v2')
        scene.restart_host('h1', scene.engines)
        resumed = _resume(scene, ['h1'], begun)
        assert _count_whole(resumed) < _STREAMS


def test_an_engine_that_restarts_at_another_version_joins_no_stream() -> None:
    """An engine keeps its name and not its version."""
    with open_stream_scene('v1', 'v1') as scene:
        begun = _begin(scene, 'h0')
        scene.set_versions('v2', 'v2')
        resumed = _resume(scene, ['h0', 'h1'], begun)
        assert not _count_whole(resumed)


def test_unknown_streams_are_refused_beside_several_versions() -> None:
    """A host cannot tell where such a stream may go on."""
    with open_stream_scene(*_MIXED) as scene:
        stream = scene.call('h0', 'second-1', resumes='unknown-1', after=3)
        assert not stream.versions
        assert stream.refused.ran == Ran.NO
        assert stream.refused.retry_after_s > 0


def test_unknown_streams_go_on_at_the_only_version() -> None:
    """They began at that version too, as no other one has served."""
    with open_stream_scene('v1', 'v1') as scene:
        eventlet.sleep(60)
        stream = scene.call('h0', 'second-1', resumes='unknown-1', after=3)
        assert stream.is_whole(3)


def test_new_streams_begin_at_all_versions() -> None:
    """Only streams that have begun are bound to a version."""
    with open_stream_scene(*_MIXED) as scene:
        streams = [
            scene.call('h0', f'new-{number}') for number in range(_STREAMS)
        ]
        assert all(stream.is_whole() for stream in streams)
        assert len({stream.versions[0] for stream in streams}) == 2
        assert len(streams[0].versions) == EVENTS
