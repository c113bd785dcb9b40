"""Tests of the client that requests engines for the prompts of a host."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager

import eventlet

from egretdale.coordination.mesh import Mesh
from egretdale.coordination.backend_choice import BackendChoice
from egretdale.coordination.ports import Delivered, Network
from egretdale.coordination.prefill_client import PrefillClient
from egretdale.state.gateway_metrics import GatewayMetrics
from egretdale.state.instances import Instance, InstanceTable
from egretdale.state.members import MemberTable
from egretdale.state.messages import (
    Batch,
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
    create_short_ask,
    open_engines,
)

load_tests = create_loader(__name__)


class _MuteNetwork:
    """Delivers batches to a host that never replies to requests."""

    def deliver(self, address: str, batch: Batch) -> Delivered:
        eventlet.sleep(0.01)
        return Delivered(Batch('a', 0), 0)


class _SilentAllocator:
    """An allocator that accepts messages and never replies."""

    def handle_message(self, host: str, message: GroupAsk) -> GroupReply:
        return GroupReply(message.group)


@contextmanager
def _open_client(
    allocator: object,
    own: str,
    *,
    leaving: bool = False,
    count: int = 1,
    network: Network | None = None,
) -> Iterator[tuple[PrefillClient, VirtualHub]]:
    with use_virtual_time() as hub:
        members = MemberTable(own)
        members.apply(MemberUpdate('a', 1, 0, 0, 'dc', 'a', 'a'), 0)
        mesh = Mesh(members, network or SilentNetwork(), hub.read_now, 4096)
        table = InstanceTable(hub.read_now, 2)
        engines = {
            f'e{index}': Instance(f'e{index}', SERVICE, '', leaving=leaving)
            for index in range(count)
        }
        table.replace(engines, after_outage=False)
        silent = GatewayMetrics().silent_allocators
        client = PrefillClient(mesh, allocator, table, hub.read_now, silent)
        mesh.add_listener(client)
        yield client, hub


class _ScriptedAllocator:
    """Replies to each request as the test sets."""

    def __init__(self, reply: GroupReply) -> None:
        self._reply = reply

    def handle_message(self, host: str, message: GroupAsk) -> GroupReply:
        return self._reply if message.asks else GroupReply(GROUP)


def test_a_silent_allocator_is_passed_over() -> None:
    """The client gives up on it within 0.1 s or a quarter of a long target."""
    with _open_client(_SilentAllocator(), 'a') as (client, hub):
        assert client.request_engine(SERVICE, create_short_ask('r1')) is None
        assert hub.now < 0.1
        eventlet.sleep(1)
        before = hub.now
        assert client.request_engine(SERVICE, create_ask('r2', LONG)) is None
        assert hub.now - before < 0.25


def test_an_allocator_is_avoided_longer_with_each_silence() -> None:
    """One late reply bypasses it for 0.1 s, the next one for longer."""
    mute = _MuteNetwork()
    with _open_client(_SilentAllocator(), 'b', network=mute) as (client, hub):
        assert client.request_engine(SERVICE, create_short_ask('r1')) is None
        eventlet.sleep(0.15)
        before = hub.now
        assert client.request_engine(SERVICE, create_short_ask('r2')) is None
        assert hub.now > before
        eventlet.sleep(0.15)
        before = hub.now
        assert client.request_engine(SERVICE, create_short_ask('r3')) is None
        assert hub.now == before


def test_an_unreachable_allocator_is_passed_over() -> None:
    """The client waits for an unreachable host only once."""
    with _open_client(_SilentAllocator(), 'b') as (client, hub):
        assert client.request_engine(SERVICE, create_ask('r1', LONG)) is None
        assert hub.now < 0.1
        before = hub.now
        assert client.request_engine(SERVICE, create_ask('r2', LONG)) is None
        assert hub.now == before


def test_denials_become_refusals_that_ran_nothing() -> None:
    """A denied request was not sent anywhere."""
    denial = Denial('r1', 'overloaded', 900, 10)
    allocator = _ScriptedAllocator(GroupReply(GROUP, denials=[denial]))
    with _open_client(allocator, 'a') as (client, _):
        refused = client.request_engine(SERVICE, create_ask('r1', LONG))
        assert isinstance(refused, Refused)
        assert refused.ran == Ran.NO
        assert refused.retry_after_s == 0.9


def test_grants_name_the_backend_server() -> None:
    """A grant becomes a choice at the listed backend server."""
    with open_engines(1) as engines:
        reply = engines.allocator.handle_message(
            'host', create_message(create_ask('r1', LONG))
        )
    with _open_client(_ScriptedAllocator(reply), 'a') as (client, _):
        choice = client.request_engine(SERVICE, create_ask('r1', LONG))
        assert isinstance(choice, BackendChoice)
        assert choice.instance.name == 'e0'
        assert choice.prefill_tokens == LONG


def test_grants_of_an_older_list_are_not_used() -> None:
    """Grants for unknown or leaving backend servers are ignored."""
    grants = [Grant('r1', 'e0'), Grant('r1', 'unknown')]
    for grant in grants:
        allocator = _ScriptedAllocator(GroupReply(GROUP, grants=[grant]))
        with _open_client(allocator, 'a', leaving=True) as (client, _):
            assert (
                client.request_engine(SERVICE, create_ask('r1', LONG)) is None
            )


class _FirstGroupDenied:
    """Denies requests in the first group that is asked and grants in others.

    :ivar asked: groups that were asked.
    """

    def __init__(self, wait_ms: int) -> None:
        self.asked: list[str] = []
        self._wait_ms = wait_ms

    def handle_message(self, host: str, message: GroupAsk) -> GroupReply:
        if not message.asks:
            return GroupReply(message.group)
        self.asked.append(message.group)
        if len(self.asked) > 1:
            return GroupReply(message.group, grants=[Grant('r1', 'e0')])
        eventlet.sleep(self._wait_ms / 1000)
        denial = Denial('r1', 'overloaded', 900, self._wait_ms)
        return GroupReply(message.group, denials=[denial])


def _request_among_groups(wait_ms: int) -> BackendChoice | Refused | None:
    allocator = _FirstGroupDenied(wait_ms)
    with _open_client(allocator, 'a', count=60) as (client, _):
        outcome = client.request_engine(SERVICE, create_ask('r1', LONG))
    assert len(set(allocator.asked)) == len(allocator.asked)
    return outcome


def test_an_overloaded_group_passes_requests_on_to_another() -> None:
    """A request is not refused while another group has a free engine."""
    outcome = _request_among_groups(0)
    assert isinstance(outcome, BackendChoice)


def test_a_request_that_has_waited_is_not_passed_on() -> None:
    """It is refused at once instead of waiting in a second group."""
    outcome = _request_among_groups(2000)
    assert isinstance(outcome, Refused)


class _RecordingAllocator(_ScriptedAllocator):
    """Records the released requests."""

    def __init__(self, reply: GroupReply) -> None:
        super().__init__(reply)
        self.released: list[str] = []

    def handle_message(self, host: str, message: GroupAsk) -> GroupReply:
        self.released.extend(entry.request_id for entry in message.released)
        return super().handle_message(host, message)


def test_a_grant_that_is_not_used_is_returned() -> None:
    """The engine is no longer in the newer list of this host."""
    allocator = _RecordingAllocator(
        GroupReply(GROUP, grants=[Grant('r1', 'gone')])
    )
    with _open_client(allocator, 'a') as (client, _):
        assert client.request_engine(SERVICE, create_ask('r1', LONG)) is None
        eventlet.sleep(0.1)
        assert allocator.released == ['r1']
