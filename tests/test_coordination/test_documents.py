"""Tests of documents: submission, replicas and what never reverts."""

from __future__ import annotations

import eventlet

from egretdale.coordination.submission import (
    Accepted,
    Outdated,
    Submission,
    Undecided,
)
from egretdale.errors import Invalid, Unreachable
from standins.virtual.world import World
from tests.fixtures import DOCUMENT_SOURCE, open_world
from tests.functions import create_loader

load_tests = create_loader(__name__)

_CHANGED = DOCUMENT_SOURCE.replace('headroom: 0.1', 'headroom: 0.2')


def _read_revision(world: World, host: str) -> int:
    in_force = world.nodes[host].replica.find('claims')
    return in_force.revision if in_force else 0


def _submit(world: World, host: str, base: int, nonce: str) -> object:
    submission = Submission('claims', _CHANGED, base, nonce, 'operator')
    return world.nodes[host].documents.submit(submission)


def test_accepted_document_is_in_force_everywhere() -> None:
    """All hosts follow a new revision within 2 s."""
    with open_world() as world:
        base = _read_revision(world, 'host-0')
        outcome = _submit(world, 'host-0', base, 'n1')
        assert isinstance(outcome, Accepted)
        eventlet.sleep(2)
        for host in world.nodes:
            assert _read_revision(world, host) == outcome.revision


def test_loser_of_a_race_is_told() -> None:
    """Of two submissions on one base one is accepted."""
    with open_world() as world:
        base = _read_revision(world, 'host-0')
        first = eventlet.spawn(_submit, world, 'host-0', base, 'n1')
        second = eventlet.spawn(_submit, world, 'host-1', base, 'n2')
        kinds = {type(first.wait()), type(second.wait())}
        assert kinds == {Accepted, Outdated}


def test_lost_reply_is_settled() -> None:
    """A write that took effect without a reply counts as accepted."""
    with open_world() as world:
        base = _read_revision(world, 'host-0')
        world.platform.lose_replies = True
        outcome = _submit(world, 'host-0', base, 'n1')
        assert isinstance(outcome, Accepted)


def test_superseded_submission_is_still_known_as_accepted() -> None:
    """A submission that was replaced since is told its own revision."""
    with open_world() as world:
        base = _read_revision(world, 'host-0')
        first = _submit(world, 'host-0', base, 'n1')
        assert isinstance(first, Accepted)
        _submit(world, 'host-0', first.revision, 'n2')
        settled = world.nodes['host-1'].documents.settle(
            Submission('claims', '', base, 'n1', 'operator')
        )
        assert settled == Accepted(first.revision, superseded=True)


def test_outage_is_not_called_accepted() -> None:
    """While the platform is down nothing is accepted."""
    with open_world() as world:
        world.platform.down = True
        outcome = _submit(world, 'host-0', 1, 'n1')
        assert isinstance(outcome, Unreachable | Undecided)


def test_wrong_document_is_refused_with_its_path() -> None:
    """A submission that does not pass the checks is not stored."""
    with open_world() as world:
        node = world.nodes['host-0']
        wrong = DOCUMENT_SOURCE.replace('tier: 0', 'tier: 8')
        outcome = node.documents.submit(
            Submission('claims', wrong, 1, 'n', 'operator')
        )
        assert outcome == Invalid('$.classes[0].tier', 'must be from 0 to 3')


def test_old_listings_do_not_revert() -> None:
    """A stale list does not bring an old revision back."""
    with open_world() as world:
        world.platform.store.freeze_listings(frozen=True)
        base = _read_revision(world, 'host-0')
        outcome = _submit(world, 'host-0', base, 'n1')
        assert isinstance(outcome, Accepted)
        replica = world.nodes['host-0'].replica
        replica.accept('claims', outcome.revision, _CHANGED)
        eventlet.sleep(30)
        for host in world.nodes:
            assert _read_revision(world, host) == outcome.revision


def test_silent_watches_do_not_hide_a_change() -> None:
    """Hosts whose watches went silent learn of a change from peers."""
    with open_world() as world:
        world.platform.silent.update(('host-1', 'host-2'))
        eventlet.sleep(1)
        base = _read_revision(world, 'host-0')
        outcome = _submit(world, 'host-0', base, 'n1')
        assert isinstance(outcome, Accepted)
        eventlet.sleep(6)
        for host in world.nodes:
            assert _read_revision(world, host) == outcome.revision


def test_fresh_host_does_not_serve_an_old_document() -> None:
    """A host that starts with a stale list waits for its peers' news."""
    with open_world() as world:
        world.platform.store.freeze_listings(frozen=True)
        base = _read_revision(world, 'host-0')
        outcome = _submit(world, 'host-0', base, 'n1')
        assert isinstance(outcome, Accepted)
        world.nodes['host-0'].replica.accept(
            'claims', outcome.revision, _CHANGED
        )
        eventlet.sleep(6)
        world.kill_host('host-2')
        node = world.start_host('host-2')
        seen = set()
        for _ in range(100):
            eventlet.sleep(0.05)
            if node.find_obstacle('claims') is None:
                seen.add(_read_revision(world, 'host-2'))
        assert seen == {outcome.revision}, seen


def test_fresh_host_starts_from_a_peer_in_an_outage() -> None:
    """A host that starts while the platform is down asks its peers."""
    with open_world() as world:
        world.platform.down = True
        world.kill_host('host-2')
        node = world.start_host('host-2')
        # Peers of its earlier incarnation still probe its address.
        eventlet.sleep(6)
        assert node.replica.find('claims') is not None
        assert node.find_obstacle('claims') is None
