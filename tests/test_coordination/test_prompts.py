"""Tests of the desk that gets engines for the prompts of a host."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager

import eventlet

from egretdale.coordination.mesh import Mesh
from egretdale.coordination.placing import Placement
from egretdale.coordination.prompts import PromptDesk
from egretdale.state.gateway_metrics import GatewayMetrics
from egretdale.state.instances import Instance, InstanceTable
from egretdale.state.members import MemberTable
from egretdale.state.messages import (
    Denial,
    Grant,
    GroupAsk,
    GroupReply,
    MemberUpdate,
)
from egretdale.state.outcomes import Ran, Refused
from standins.virtual.hub import VirtualHub, use_virtual_time
from tests.functions import create_loader
from tests.prompts import (
    GROUP,
    LONG,
    SERVICE,
    SilentNetwork,
    create_ask,
    create_message,
    open_engines,
)

load_tests = create_loader(__name__)


class _SilentAllocator:
    """An allocator on a host that takes messages and never answers."""

    def take(self, host: str, message: GroupAsk) -> GroupReply:
        return GroupReply(message.group)


@contextmanager
def _open_desk(
    allocator: object, own: str, *, leaving: bool = False, count: int = 1
) -> Iterator[tuple[PromptDesk, VirtualHub]]:
    with use_virtual_time() as hub:
        members = MemberTable(own)
        members.apply(MemberUpdate('a', 1, 0, 0, 'dc', 'a', 'a'), 0)
        mesh = Mesh(members, SilentNetwork(), hub.read_now, 4096)
        table = InstanceTable(hub.read_now, 2)
        engines = {
            f'e{index}': Instance(f'e{index}', SERVICE, '', leaving=leaving)
            for index in range(count)
        }
        table.replace(engines, after_outage=False)
        silent = GatewayMetrics().silent_allocators
        desk = PromptDesk(mesh, allocator, table, hub.read_now, silent)
        mesh.add_listener(desk)
        yield desk, hub


class _ScriptedAllocator:
    """Answers each request as a test says."""

    def __init__(self, reply: GroupReply) -> None:
        self._reply = reply

    def take(self, host: str, message: GroupAsk) -> GroupReply:
        return self._reply if message.asks else GroupReply(GROUP)


def test_a_silent_allocator_is_passed_over() -> None:
    """Its host chooses by itself within a tenth of a second."""
    with _open_desk(_SilentAllocator(), 'a') as (desk, hub):
        assert desk.place(SERVICE, create_ask('r1', LONG)) is None
        assert hub.now < 0.1


def test_an_unreachable_allocator_is_passed_over() -> None:
    """A host that cannot be reached holds nobody up."""
    with _open_desk(_SilentAllocator(), 'b') as (desk, hub):
        assert desk.place(SERVICE, create_ask('r1', LONG)) is None
        assert hub.now < 0.1
        before = hub.now
        assert desk.place(SERVICE, create_ask('r2', LONG)) is None
        assert hub.now == before


def test_denials_become_refusals_that_ran_nothing() -> None:
    """A denied request was not sent anywhere."""
    denial = Denial('r1', 'overloaded', 900, 10)
    allocator = _ScriptedAllocator(GroupReply(GROUP, denials=[denial]))
    with _open_desk(allocator, 'a') as (desk, _):
        refused = desk.place(SERVICE, create_ask('r1', LONG))
        assert isinstance(refused, Refused)
        assert refused.ran == Ran.NO
        assert refused.retry_after_s == 0.9


def test_grants_name_the_backend_server() -> None:
    """A grant becomes a placement at the listed backend server."""
    with open_engines(1) as engines:
        reply = engines.allocator.take(
            'host', create_message(create_ask('r1', LONG))
        )
    with _open_desk(_ScriptedAllocator(reply), 'a') as (desk, _):
        placement = desk.place(SERVICE, create_ask('r1', LONG))
        assert isinstance(placement, Placement)
        assert placement.instance.name == 'e0'
        assert placement.prefill_tokens == LONG


def test_grants_of_an_older_list_are_not_used() -> None:
    """A host that knows better sends nothing to a leaving server."""
    grants = [Grant('r1', 'e0'), Grant('r1', 'unknown')]
    for grant in grants:
        allocator = _ScriptedAllocator(GroupReply(GROUP, grants=[grant]))
        with _open_desk(allocator, 'a', leaving=True) as (desk, _):
            assert desk.place(SERVICE, create_ask('r1', LONG)) is None


class _GroupedAllocator:
    """Denies requests in all groups but one.

    :ivar asked: groups that were asked.
    """

    def __init__(self, wait_ms: int) -> None:
        self.asked: list[str] = []
        self._wait_ms = wait_ms

    def take(self, host: str, message: GroupAsk) -> GroupReply:
        if not message.asks:
            return GroupReply(message.group)
        self.asked.append(message.group)
        if len(self.asked) > 1:
            return GroupReply(message.group, grants=[Grant('r1', 'e0')])
        eventlet.sleep(self._wait_ms / 1000)
        denial = Denial('r1', 'overloaded', 900, self._wait_ms)
        return GroupReply(message.group, denials=[denial])


def _place_among_groups(wait_ms: int) -> Placement | Refused | None:
    allocator = _GroupedAllocator(wait_ms)
    with _open_desk(allocator, 'a', count=60) as (desk, _):
        outcome = desk.place(SERVICE, create_ask('r1', LONG))
    assert len(set(allocator.asked)) == len(allocator.asked)
    return outcome


def test_an_overloaded_group_passes_requests_on_to_another() -> None:
    """Nobody is refused while another group has room."""
    outcome = _place_among_groups(0)
    assert isinstance(outcome, Placement)


def test_a_request_that_has_waited_is_not_passed_on() -> None:
    """It hears at once that it was denied instead of waiting twice."""
    outcome = _place_among_groups(2000)
    assert isinstance(outcome, Refused)
