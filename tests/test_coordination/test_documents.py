"""Tests of the submission and replication of documents."""

from __future__ import annotations

import eventlet

from egretdale.coordination.submission import (
    Accepted,
    Outdated,
    Submission,
    Undecided,
)
from egretdale.errors import Invalid, Unreachable
from standins.models.store import StoreCopy
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
    """All hosts apply a new revision within 2 s."""
    with open_world() as world:
        base = _read_revision(world, 'host-0')
        outcome = _submit(world, 'host-0', base, 'n1')
        assert isinstance(outcome, Accepted)
        eventlet.sleep(2)
        for host in world.nodes:
            assert _read_revision(world, host) == outcome.revision


def test_one_of_two_concurrent_submissions_is_accepted() -> None:
    """Of two submissions with the same base, the other is outdated."""
    with open_world() as world:
        base = _read_revision(world, 'host-0')
        first = eventlet.spawn(_submit, world, 'host-0', base, 'n1')
        second = eventlet.spawn(_submit, world, 'host-1', base, 'n2')
        kinds = {type(first.wait()), type(second.wait())}
        assert kinds == {Accepted, Outdated}


def test_lost_reply_is_settled() -> None:
    """A write that took effect although its reply was lost is accepted."""
    with open_world() as world:
        base = _read_revision(world, 'host-0')
        world.platform.lose_replies = True
        outcome = _submit(world, 'host-0', base, 'n1')
        assert isinstance(outcome, Accepted)


def test_superseded_submission_is_still_known_as_accepted() -> None:
    """Settling a submission that was replaced returns its own revision."""
    with open_world() as world:
        base = _read_revision(world, 'host-0')
        first = _submit(world, 'host-0', base, 'n1')
        assert isinstance(first, Accepted)
        _submit(world, 'host-0', first.revision, 'n2')
        settled = world.nodes['host-1'].documents.settle(
            Submission('claims', '', base, 'n1', 'operator')
        )
        assert settled == Accepted(first.revision, superseded=True)


def test_submission_is_not_accepted_in_an_outage() -> None:
    """While the platform is down, no submission is accepted."""
    with open_world() as world:
        world.platform.down = True
        outcome = _submit(world, 'host-0', 1, 'n1')
        assert isinstance(outcome, Unreachable | Undecided)


def test_invalid_document_is_rejected_with_the_path() -> None:
    """A document that fails validation is not stored."""
    with open_world() as world:
        node = world.nodes['host-0']
        invalid = DOCUMENT_SOURCE.replace('tier: 0', 'tier: 8')
        outcome = node.documents.submit(
            Submission('claims', invalid, 1, 'n', 'operator')
        )
        assert outcome == Invalid('$.classes[0].tier', 'must be from 0 to 3')


def test_stale_listings_do_not_revert_documents() -> None:
    """A stale listing does not put an older revision in force."""
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


def test_stalled_watches_do_not_hide_a_change() -> None:
    """Hosts whose watches have stalled learn of a change from peers."""
    with open_world() as world:
        world.platform.silent.update(('host-1', 'host-2'))
        eventlet.sleep(1)
        base = _read_revision(world, 'host-0')
        outcome = _submit(world, 'host-0', base, 'n1')
        assert isinstance(outcome, Accepted)
        eventlet.sleep(6)
        for host in world.nodes:
            assert _read_revision(world, host) == outcome.revision


def test_starting_host_does_not_serve_an_old_document() -> None:
    """A host that starts with a stale listing waits for its peers."""
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


def test_starting_host_fetches_from_a_peer_in_an_outage() -> None:
    """A host that starts while the platform is down asks its peers."""
    with open_world() as world:
        world.platform.down = True
        world.kill_host('host-2')
        node = world.start_host('host-2')
        # Peers of its earlier incarnation still probe its address.
        eventlet.sleep(6)
        assert node.replica.find('claims') is not None
        assert node.find_obstacle('claims') is None


def _restore(world: World, saved: StoreCopy, for_s: float) -> None:
    world.platform.store.restore(saved)
    eventlet.sleep(for_s)


def _read_sources(world: World) -> set[str]:
    return {node.replica.find('claims').source for node in world.nodes.values()}


def test_an_accepted_document_returns_to_a_restored_platform() -> None:
    """It stays in force meanwhile, and counts as a later revision.

    The copy has the document before it, or none at all.
    """
    for has_copy in (True, False):
        with open_world() as world:
            base = _read_revision(world, 'host-0')
            saved = world.platform.store.copy()
            if not has_copy:
                saved.kinds.pop('documents')
            outcome = _submit(world, 'host-0', base, 'n1')
            eventlet.sleep(2)
            world.platform.store.restore(saved)
            for _ in range(60):
                eventlet.sleep(0.1)
                assert _read_sources(world) == {_CHANGED}
            settled = world.nodes['host-1'].documents.settle(
                Submission('claims', '', base, 'n1', 'operator')
            )
            assert isinstance(settled, Accepted)
            assert settled.revision > outcome.revision
            eventlet.sleep(8)
            for host in world.nodes:
                assert _read_revision(world, host) == settled.revision


def test_a_document_submitted_after_a_restoration_is_in_force() -> None:
    """Its version is lower than that of the document before."""
    with open_world() as world:
        saved = world.platform.store.copy()
        for number in range(9):
            base = _read_revision(world, 'host-0')
            assert isinstance(
                _submit(world, 'host-0', base, f'n{number}'), Accepted
            )
            eventlet.sleep(0.5)
        _restore(world, saved, 6)
        submission = Submission(
            'claims',
            DOCUMENT_SOURCE.replace('headroom: 0.1', 'headroom: 0.05'),
            _read_revision(world, 'host-0'),
            'late',
            'operator',
        )
        outcome = world.nodes['host-0'].documents.submit(submission)
        assert isinstance(outcome, Accepted)
        eventlet.sleep(2)
        assert _read_sources(world) == {submission.source}


def test_a_base_revision_of_an_earlier_era_is_outdated() -> None:
    """Another submission was given the same version since."""
    with open_world() as world:
        base = _read_revision(world, 'host-0')
        saved = world.platform.store.copy()
        before = _submit(world, 'host-0', base, 'n1')
        world.platform.store.restore(saved)
        world.store_document('claims', DOCUMENT_SOURCE)
        outcome = _submit(world, 'host-1', before.revision, 'n2')
        assert isinstance(outcome, Outdated), outcome
