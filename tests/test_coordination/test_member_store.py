"""Tests of the member objects in the platform."""

from __future__ import annotations

import random
from collections.abc import Iterator
from contextlib import contextmanager

import eventlet
import msgspec

from egretdale.coordination.member_store import MEMBER_KIND, MemberStore
from egretdale.coordination.membership import Membership
from egretdale.coordination.mesh import Mesh
from egretdale.errors import Cause, Unreachable
from egretdale.state.member_records import StoredMember
from egretdale.state.members import MemberStatus
from egretdale.state.messages import Batch, MemberUpdate
from tests.functions import create_loader
from tests.readers import ReaderFleet, create_members, open_fleet

load_tests = create_loader(__name__)

#: Seconds within which a restored platform has all member objects again.
_RESTORED_S = 5.0


class _NoPeers:
    """Hosts that cannot reach each other."""

    def deliver(self, address: str, batch: Batch) -> Unreachable:
        """Deliver a batch."""
        return Unreachable(Cause.REFUSED)


def _create_membership(fleet: ReaderFleet, host: str) -> Membership:
    clock = fleet.hub.read_now
    source = random.Random(host)
    return Membership(
        MemberUpdate(host, 1, 0, 0, 'dc', '', host),
        Mesh(create_members(host, fleet.hosts), _NoPeers(), clock, 4096),
        MemberStore(host, fleet.platforms[host], clock=clock, source=source),
        clock=clock,
        source=source,
        period_s=1,
        suspicion_s=1,
    )


@contextmanager
def _open_members(
    count: int,
) -> Iterator[tuple[ReaderFleet, dict[str, Membership]]]:
    """Run hosts that follow the configuration and publish themselves."""
    with open_fleet(count) as fleet:
        members = {
            host: _create_membership(fleet, host) for host in fleet.hosts
        }
        tasks = [
            eventlet.spawn(member.run_publishing) for member in members.values()
        ]
        yield fleet, members
        for task in tasks:
            task.kill()


def _list_stored(fleet: ReaderFleet) -> dict[str, MemberUpdate]:
    entries = fleet.state.store.snapshot(MEMBER_KIND).entries
    return {
        entry.name: msgspec.json.decode(entry.text, type=StoredMember).update
        for entry in entries
    }


def test_hosts_are_written_again_after_a_restoration() -> None:
    """A platform that lost member objects has them again within seconds.

    Also at hosts that hear of the restoration from the readers only, and twice
    in a row; a host whose object stands there costs one read.
    """
    for count in (6, 195):
        with _open_members(count) as (fleet, members):
            saved = fleet.state.store.copy()
            eventlet.sleep(5)
            assert len(_list_stored(fleet)) == count
            for _ in range(2):
                fleet.state.store.restore(saved)
                assert not _list_stored(fleet)
                before = fleet.state.store.calls.copy()
                eventlet.sleep(_RESTORED_S)
                assert set(_list_stored(fleet)) == set(members), count
                calls = fleet.state.store.calls - before
                assert calls['write'] == count, calls
            saved = fleet.state.store.copy()
            fleet.state.store.restore(saved)
            before = fleet.state.store.calls.copy()
            eventlet.sleep(_RESTORED_S)
            calls = fleet.state.store.calls - before
            assert calls['write'] == 0, calls
            assert calls['read'] == count, calls


def test_a_host_that_leaves_after_a_restoration_says_so() -> None:
    """The object of the copy, or none, does not keep it from that."""
    for is_joining in (True, False):
        with _open_members(3) as (fleet, members):
            if is_joining:
                saved = fleet.state.store.copy()
            eventlet.sleep(5)
            if not is_joining:
                saved = fleet.state.store.copy()
                members['host-00'].rejoin(2)
                assert members['host-00'].store_own()
            fleet.state.store.restore(saved)
            eventlet.sleep(0.3)
            members['host-00'].leave()
            stored = _list_stored(fleet)['host-00']
            assert stored.status == MemberStatus.LEAVING, is_joining


def test_a_platform_that_is_away_is_written_to_when_it_is_back() -> None:
    """The restoration ends an outage."""
    with _open_members(20) as (fleet, members):
        saved = fleet.state.store.copy()
        eventlet.sleep(5)
        fleet.state.down = True
        eventlet.sleep(4)
        fleet.state.store.restore(saved)
        fleet.state.down = False
        eventlet.sleep(_RESTORED_S)
        assert set(_list_stored(fleet)) == set(members)
