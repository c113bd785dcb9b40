"""Tests of the record of the software versions that served."""

from __future__ import annotations

import random
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field

import eventlet
from eventlet.greenthread import GreenThread

from egretdale.coordination.ports import StoredObject
from egretdale.coordination.version_record import (
    RECORD_KIND,
    RECORD_NAME,
    VersionRecorder,
)
from egretdale.state.members import MemberTable
from egretdale.state.messages import MemberUpdate
from egretdale.state.software_versions import VersionHistory
from standins.virtual.hub import VirtualHub, use_virtual_time
from tests.functions import create_loader
from tests.version_store import VersionStore

load_tests = create_loader(__name__)

_SERVICE = 'claims'
_WALL_S = 1_700_000_000


@dataclass
class _Scene:
    """Hosts that keep a record in one store."""

    hub: VirtualHub
    store: VersionStore = field(default_factory=VersionStore)
    histories: dict[str, VersionHistory] = field(default_factory=dict)
    recorders: dict[str, VersionRecorder] = field(default_factory=dict)
    tasks: dict[str, GreenThread] = field(default_factory=dict)

    def start(self, name: str, members: MemberTable) -> None:
        """Start a host."""
        history = VersionHistory(self.hub.read_now)
        self.histories[name] = history
        recorder = VersionRecorder(
            self.store,
            members,
            history,
            lambda: True,
            clock=self.hub.read_now,
            wall_clock=lambda: _WALL_S + self.hub.now,
            source=random.Random(name),
        )
        self.recorders[name] = recorder
        self.tasks[name] = eventlet.spawn(recorder.run)

    def list_versions(self, *versions: str) -> None:
        """Give all hosts a list with an engine of each version."""
        for history in self.histories.values():
            history.update((_SERVICE, version) for version in versions)


@contextmanager
def _open_scene(hosts: int = 6) -> Iterator[_Scene]:
    with use_virtual_time() as hub:
        scene = _Scene(hub)
        names = [f'h{index}' for index in range(hosts)]
        for own in names:
            members = MemberTable(own)
            for name in names:
                update = MemberUpdate(name, 1, 0, 0, 'dc', name, name)
                members.apply(update, hub.now)
            scene.start(own, members)
        yield scene


def _restart(scene: _Scene, *versions: str) -> VersionHistory:
    """Start a host anew that knows only its list, and let it restore."""
    scene.start('new', MemberTable('new'))
    history = scene.histories['new']
    history.update((_SERVICE, version) for version in versions)
    assert not history.is_complete()
    assert scene.recorders['new'].restore()
    assert history.is_complete()
    return history


def test_the_versions_of_an_upgrade_are_recorded_with_few_calls() -> None:
    """Also by many hosts; nothing is called while versions stay the same."""
    for hosts in (6, 195):
        with _open_scene(hosts) as scene:
            for versions in (('v1',), ('v1', 'v2'), ('v2',)):
                before = scene.store.calls
                scene.list_versions(*versions)
                eventlet.sleep(20)
                assert scene.store.calls - before <= 8, scene.store.calls
                serving = {
                    version
                    for version, serves in scene.store.list_versions().items()
                    if serves
                }
                assert serving == set(versions)
            assert scene.store.writes == 3
            before = scene.store.calls
            eventlet.sleep(600)
            assert scene.store.calls == before


def test_other_hosts_record_when_the_first_one_does_not() -> None:
    """It is lost, or a daemon of an earlier build."""
    with _open_scene() as scene:
        first = scene.recorders['h0']._members.rank_live(RECORD_KIND)[0]
        scene.histories.pop(first)
        scene.list_versions('v1', 'v2')
        eventlet.sleep(10)
        assert scene.store.list_versions() == {'v1': True, 'v2': True}


def test_the_record_is_written_once_the_store_is_back() -> None:
    """A write whose reply was lost is not repeated."""
    with _open_scene() as scene:
        scene.store.is_down = True
        scene.list_versions('v1')
        eventlet.sleep(60)
        assert scene.store.calls < 3 * 20, scene.store.calls
        scene.store.is_down = False
        scene.store.loses_replies = True
        eventlet.sleep(12)
        assert scene.store.writes == 1
        assert scene.store.list_versions() == {'v1': True}


def test_a_version_that_left_counts_until_its_streams_have_ended() -> None:
    """It left before the loss of all hosts, or while none was running."""
    with _open_scene() as scene:
        scene.list_versions('v1')
        eventlet.sleep(10)
        scene.list_versions('v1', 'v2')
        eventlet.sleep(10)
        assert _restart(scene, 'v2').list_recent(_SERVICE) == {'v1', 'v2'}
        scene.list_versions('v2')
        eventlet.sleep(10)
        assert _restart(scene, 'v2').list_recent(_SERVICE) == {'v1', 'v2'}
        eventlet.sleep(35)
        assert _restart(scene, 'v2').find_only(_SERVICE) == 'v2'


def test_a_host_alone_with_the_recorded_version_knows_it() -> None:
    """Nothing else has served."""
    with _open_scene() as scene:
        scene.list_versions('v1')
        eventlet.sleep(10)
        assert _restart(scene, 'v1').find_only(_SERVICE) == 'v1'


def test_a_record_that_cannot_be_read_tells_nothing() -> None:
    """It is missing, malformed or out of reach; concurrent readers wait."""
    with _open_scene(1) as scene:
        recorder = scene.recorders['h0']
        for body in (None, b'{', b'[{"service": 1}]', b'\xff'):
            scene.store.stored = (
                None if body is None else StoredObject(RECORD_NAME, 1, body, 1)
            )
            before = scene.store.calls
            threads = [eventlet.spawn(recorder.restore) for _ in range(20)]
            assert not any(thread.wait() for thread in threads)
            assert scene.store.calls == before + 1
            eventlet.sleep(1)


def test_a_malformed_record_is_replaced() -> None:
    """The next change of the versions does not wait for an operator."""
    with _open_scene() as scene:
        scene.store.stored = StoredObject(RECORD_NAME, 3, b'{', 1)
        scene.list_versions('v1')
        eventlet.sleep(10)
        assert scene.store.list_versions() == {'v1': True}


def test_versions_are_recorded_again_after_a_restoration() -> None:
    """Also those that have left before it, or right after it."""
    for hosts in (6, 195):
        with _open_scene(hosts) as scene:
            scene.list_versions('v1')
            eventlet.sleep(10)
            saved = scene.store.stored
            scene.list_versions('v1', 'v2')
            eventlet.sleep(6)
            scene.list_versions('v1', 'v3')
            eventlet.sleep(6)
            scene.store.restore(saved)
            before = scene.store.calls
            eventlet.sleep(1)
            scene.list_versions('v1')
            eventlet.sleep(8)
            assert scene.store.calls - before <= 14, scene.store.calls
            assert scene.store.list_versions() == {
                'v1': True,
                'v2': False,
                'v3': False,
            }
            new = _restart(scene, 'v1')
            assert new.list_recent(_SERVICE) == {'v1', 'v2', 'v3'}


def test_a_record_that_the_restored_platform_holds_is_not_written() -> None:
    """It costs one read for each host that keeps it."""
    with _open_scene(195) as scene:
        scene.list_versions('v1', 'v2')
        eventlet.sleep(10)
        scene.list_versions('v2')
        eventlet.sleep(10)
        for _ in range(2):
            writes, calls = scene.store.writes, scene.store.calls
            scene.store.restore(scene.store.stored)
            eventlet.sleep(10)
            assert scene.store.writes == writes
            assert scene.store.calls - calls <= 3


def test_the_next_host_writes_a_lost_record_again() -> None:
    """The first one is lost with the platform."""
    with _open_scene() as scene:
        scene.list_versions('v1')
        eventlet.sleep(10)
        saved = scene.store.stored
        scene.list_versions('v1', 'v2')
        eventlet.sleep(10)
        first = scene.recorders['h0']._members.rank_live(RECORD_KIND)[0]
        scene.tasks[first].kill()
        scene.store.restore(saved)
        eventlet.sleep(10)
        assert scene.store.list_versions() == {'v1': True, 'v2': True}
