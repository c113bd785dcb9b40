"""Tests of how a host finds out where a stream began."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field

import eventlet

from egretdale.coordination.mesh import Mesh
from egretdale.coordination.ports import Delivered
from egretdale.coordination.stream_origins import (
    ListKnowledge,
    StreamOrigins,
)
from egretdale.errors import Cause, Unreachable
from egretdale.state.instances import Instance, InstanceTable
from egretdale.state.members import MemberStatus, MemberTable
from egretdale.state.messages import Batch, MemberUpdate, StreamOrigin
from egretdale.state.queries import OriginAsk, OriginReply
from egretdale.state.software_versions import RecordedVersion
from egretdale.state.stream_origins import Origin
from standins.virtual.hub import VirtualHub, use_virtual_time
from tests.functions import create_loader

load_tests = create_loader(__name__)

_SERVICE = 'claims'
_ALONE = Origin(_SERVICE, 'v1')


@dataclass
class _Peers:
    """Peers with scripted replies, by address.

    :ivar replies: replies; peers without one cannot be reached.
    :ivar asked: addresses of the peers that were asked.
    :ivar told: origins that peers were told, by address.
    """

    replies: dict[str, OriginReply] = field(default_factory=dict)
    asked: list[str] = field(default_factory=list)
    told: dict[str, list[StreamOrigin]] = field(default_factory=dict)

    def find_origin(
        self, address: str, ask: OriginAsk
    ) -> OriginReply | Unreachable:
        self.asked.append(address)
        eventlet.sleep(0.002)
        return self.replies.get(address) or Unreachable(Cause.SILENT)

    def deliver(self, address: str, batch: Batch) -> Delivered:
        self.told.setdefault(address, []).extend(batch.origins)
        return Delivered(Batch(address, 0), 0)


@dataclass
class _Scene:
    """The component of one host and its peers."""

    hub: VirtualHub
    peers: _Peers
    members: MemberTable
    instances: InstanceTable
    origins: StreamOrigins
    is_list_current: bool = True
    recorded: list[RecordedVersion] | None = None
    reads: int = 0

    def restore_history(self) -> bool:
        """Read the record of the versions, if there is one."""
        self.reads += 1
        if self.recorded is None:
            return False
        now_ms = round(self.hub.now * 1000)
        self.instances.versions.restore(self.recorded, now_ms)
        return True

    def list_versions(self, *versions: str) -> None:
        """Replace the list by an engine for each version."""
        entries = {
            version: Instance(version, _SERVICE, '', software_version=version)
            for version in versions
        }
        self.instances.replace(entries, after_outage=False)

    def find(self) -> Origin | None:
        """Look for a stream that this host has not begun."""
        return self.origins.find('r1', 'r0', _SERVICE)


@contextmanager
def _open_scene(
    *versions: str, peers: int = 2, age_s: float = 60
) -> Iterator[_Scene]:
    with use_virtual_time() as hub:
        network = _Peers()
        members = MemberTable('own')
        for name in ('own', *(f'p{index}' for index in range(peers))):
            members.apply(MemberUpdate(name, 1, 0, 0, 'dc', name, name), 0)
        mesh = Mesh(members, network, hub.read_now, 4096)
        instances = InstanceTable(hub.read_now, 2)
        scene = _Scene(hub, network, members, instances, None)
        scene.origins = StreamOrigins(
            mesh,
            instances,
            hub.read_now,
            ListKnowledge(
                lambda: scene.is_list_current, scene.restore_history, float
            ),
        )
        mesh.add_listener(scene.origins)
        scene.list_versions(*versions)
        eventlet.sleep(age_s)
        yield scene


def test_the_only_version_needs_no_question() -> None:
    """Nobody is asked or told while one version serves."""
    with _open_scene('v1') as scene:
        scene.origins.note_start(
            Instance('v1', _SERVICE, ''), 'r1', is_split=False
        )
        assert scene.find() == _ALONE
        eventlet.sleep(5)
        assert not scene.peers.asked
        assert not scene.peers.told


def test_a_version_that_has_left_counts_for_a_while() -> None:
    """Its streams may be resumed after its last engine has gone."""
    with _open_scene('v0', 'v1') as scene:
        scene.list_versions('v1')
        eventlet.sleep(20)
        assert scene.find() is None
        eventlet.sleep(20)
        assert scene.find() == _ALONE


def test_a_new_host_asks_as_it_may_have_missed_a_version() -> None:
    """A peer knows the stream, or which version alone has served."""
    with _open_scene('v2', age_s=1) as scene:
        scene.peers.replies['p1'] = OriginReply(_SERVICE, 'v1', False, True)
        assert scene.find() == _ALONE
    with _open_scene('v1', age_s=1) as scene:
        scene.peers.replies['p1'] = OriginReply(only_version='v1')
        assert scene.find() == _ALONE
        assert not scene.reads


def test_no_stream_goes_on_at_the_version_of_a_list_that_is_behind() -> None:
    """The list of this host or of a peer lacks the other one's version."""
    for reply in (
        OriginReply(only_version='v1'),
        OriginReply(_SERVICE, 'v1'),
        OriginReply(several_versions=True),
    ):
        for is_confirmed in (False, True):
            with _open_scene('v2', age_s=1) as scene:
                scene.is_list_current = is_confirmed
                scene.recorded = []
                scene.peers.replies.update(p0=reply, p1=OriginReply())
                assert scene.find() is None, (reply, is_confirmed)


def test_a_peer_of_an_earlier_build_is_believed_if_it_cannot_infer() -> None:
    """It infers a version from a list that is up to three seconds old."""
    for listed_s, found in ((1, None), (4, _ALONE)):
        with _open_scene('v1') as scene:
            scene.list_versions('v1', 'v2')
            eventlet.sleep(listed_s)
            scene.peers.replies['p0'] = OriginReply(_SERVICE, 'v1')
            assert scene.find() == found, listed_s


def test_a_host_without_store_and_peers_infers_nothing() -> None:
    """Other hosts may have seen another version."""
    for peers in (0, 2, 60):
        with _open_scene('v1', peers=peers) as scene:
            scene.is_list_current = False
            assert scene.find() is None, peers


def test_a_lost_host_may_have_begun_a_stream_unknown_to_the_others() -> None:
    """The store cannot tell, and the remaining hosts may be cut off too."""
    for status in (MemberStatus.SUSPECT, MemberStatus.GONE):
        with _open_scene('v1') as scene:
            scene.is_list_current = False
            scene.peers.replies['p0'] = OriginReply(only_version='v1')
            update = MemberUpdate('p1', 1, 1, int(status), 'dc', 'p1', 'p1')
            scene.members.apply(update, scene.hub.now)
            assert scene.find() is None, status


def test_hosts_that_all_started_rely_on_the_record_of_versions() -> None:
    """After an outage of all hosts no host knows more than the platform."""
    with _open_scene('v1', age_s=1) as scene:
        scene.peers.replies.update({'p0': OriginReply(), 'p1': OriginReply()})
        assert scene.find() is None
        scene.recorded = [RecordedVersion(_SERVICE, 'v1')]
        for _ in range(3):
            assert scene.find() == _ALONE
        assert scene.reads == 2


def test_a_version_that_left_with_all_hosts_is_not_forgotten() -> None:
    """The record holds a version that the list no longer has."""
    for left_ms in (0, 1):
        with _open_scene('v1', age_s=1) as scene:
            scene.peers.replies['p0'] = OriginReply()
            scene.recorded = [
                RecordedVersion(_SERVICE, 'v0', left_ms),
                RecordedVersion(_SERVICE, 'v1'),
            ]
            assert scene.find() is None
            eventlet.sleep(45)
            assert scene.find() == _ALONE


def test_an_old_list_is_not_relied_on() -> None:
    """Peers may see a version that this host does not, and an isolated host
    cannot tell.
    """
    with _open_scene('v1') as scene:
        scene.is_list_current = False
        assert scene.find() is None
        scene.peers.replies['p0'] = OriginReply(several_versions=True)
        scene.peers.replies['p1'] = OriginReply()
        assert scene.find() is None
        scene.peers.replies['p0'] = OriginReply()
        assert scene.find() == _ALONE


def test_a_silent_peer_delays_little() -> None:
    """The wait for replies is short."""
    with _open_scene('v1', 'v2') as scene:
        before = scene.hub.now
        assert scene.find() is None
        assert scene.hub.now - before < 0.31


def test_keepers_learn_earlier_streams_once_versions_differ() -> None:
    """Three hosts know them although they began beside one version only."""
    with _open_scene('v1', peers=60) as scene:
        instance = Instance('v1', _SERVICE, '', software_version='v1')
        scene.origins.note_start(instance, 'r1', is_split=False)
        scene.list_versions('v1', 'v2')
        scene.origins.note_start(instance, 'r2', is_split=False)
        eventlet.sleep(0.5)
        told = [
            entry.request_id
            for entries in scene.peers.told.values()
            for entry in entries
        ]
        assert sorted(told) == ['r1', 'r1', 'r1', 'r2', 'r2', 'r2']


def test_keepers_learn_streams_of_split_routes() -> None:
    """Such a stream may have begun at another service."""
    with _open_scene('v1', peers=60) as scene:
        instance = Instance('v1', _SERVICE, '', software_version='v1')
        scene.origins.note_start(instance, 'r1', is_split=True)
        eventlet.sleep(0.5)
        entry = StreamOrigin('r1', _SERVICE, 'v1')
        assert list(scene.peers.told.values()) == [[entry], [entry], [entry]]


def test_few_of_many_hosts_are_asked() -> None:
    """Only keepers are asked in a large fleet."""
    with _open_scene('v1', 'v2', peers=60) as scene:
        scene.find()
        assert len(scene.peers.asked) == 3


def test_keepers_answer_what_they_were_told() -> None:
    """They keep it for half a minute."""
    with _open_scene('v1', 'v2') as scene:
        entry = StreamOrigin('r0', _SERVICE, 'v2')
        scene.origins.receive(Batch('p0', 1, origins=[entry]))
        ask = OriginAsk('r0', _SERVICE)
        known = OriginReply(_SERVICE, 'v2', is_recorded=True)
        assert scene.origins.answer(ask) == known
        unknown = OriginReply(several_versions=True)
        assert scene.origins.answer(OriginAsk('r9', _SERVICE)) == unknown
