"""Tests of the order in which all hosts' prompts go to engines.

An engine here prefills what it was sent in turn, as fast as the allocator
expects, so waits can be counted without a network.
"""

from __future__ import annotations

import random
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field

import eventlet

from egretdale.coordination.mesh import Mesh
from egretdale.coordination.placing import Placement
from egretdale.coordination.prefill import HELD, PrefillAllocator
from egretdale.coordination.prompts import PromptDesk
from egretdale.errors import Cause, Unreachable
from egretdale.state.backlogs import predict_prefill
from egretdale.state.gateway_figures import GatewayFigures
from egretdale.state.instances import Instance, InstanceTable
from egretdale.state.members import MemberTable
from egretdale.state.messages import (
    Ask,
    Batch,
    Denial,
    Done,
    Grant,
    GroupAsk,
    GroupReply,
    MemberUpdate,
)
from egretdale.state.outcomes import Ran, Refused
from standins.virtual.hub import VirtualHub, use_virtual_time
from tests.functions import create_loader

load_tests = create_loader(__name__)

_SERVICE = 'claims'
_GROUP = 'claims/1/0'
_LONG = 24000
_SHORT = 600
#: Length of a stream of the top tier in seconds.
_STREAM_S = 1.5


class _SilentNetwork:
    """Calls to peers that reach nobody."""

    def deliver(self, address: str, batch: Batch) -> Unreachable:
        eventlet.sleep(0.01)
        return Unreachable(Cause.REFUSED)


@dataclass
class _Engines:
    """Engines that prefill in turn.

    :ivar free_at: time at which each has prefilled everything.
    :ivar first_tokens: seconds from arrival to first token by request.
    :ivar refused: requests that were denied.
    :ivar slowness: factors of the time that engines take.
    :ivar names: engines by request.
    :ivar granted_at: times of grants by request.
    :ivar busy: starts and ends of uninterrupted prefill by engine.
    """

    hub: VirtualHub
    allocator: PrefillAllocator
    free_at: dict[str, float] = field(default_factory=dict)
    first_tokens: dict[str, float] = field(default_factory=dict)
    arrivals: dict[str, float] = field(default_factory=dict)
    refused: list[str] = field(default_factory=list)
    slowness: dict[str, float] = field(default_factory=dict)
    names: dict[str, str] = field(default_factory=dict)
    granted_at: dict[str, float] = field(default_factory=dict)
    busy: dict[str, list[tuple[float, float]]] = field(default_factory=dict)

    def send(self, *asks: Ask) -> None:
        """Let requests of one host arrive."""
        for ask in asks:
            self.arrivals[ask.request_id] = self.hub.now
        self.take(self.allocator.take('host', _message(*asks)))

    def take(self, reply: GroupReply) -> None:
        """Run what was granted."""
        for grant in reply.grants:
            self._run(grant.request_id, grant.backend, grant.prefill_tokens)
        self.refused.extend(
            denial.request_id
            for denial in reply.denials
            if denial.reason != HELD
        )

    def _run(self, request_id: str, engine: str, tokens: int) -> None:
        start = max(self.hub.now, self.free_at.get(engine, 0))
        prefill_s = predict_prefill(tokens) * self.slowness.get(engine, 1)
        self.free_at[engine] = start + prefill_s
        self.names[request_id] = engine
        self.granted_at[request_id] = self.hub.now
        runs = self.busy.setdefault(engine, [])
        if runs and runs[-1][1] >= start:
            start = runs.pop()[0]
        runs.append((start, self.free_at[engine]))
        eventlet.spawn_after(
            self.free_at[engine] - self.hub.now, self._finish, request_id
        )

    def list_busy(self, engine: str) -> list[tuple[float, float]]:
        """List the times in which an engine prefilled without a break."""
        return self.busy[engine]

    def _finish(self, request_id: str) -> None:
        took_s = self.hub.now - self.arrivals[request_id]
        self.first_tokens[request_id] = took_s
        done = Done(request_id, '', first_token_ms=round(took_s * 1000))
        message = GroupAsk(_GROUP, done=[done])
        self.take(self.allocator.take('host', message))


class _LoopbackMesh(Mesh):
    """Hands replies straight to the engines of the test."""

    engines: _Engines

    def post_reply(self, host: str, message: GroupReply) -> None:
        self.engines.take(message)


def _message(*asks: Ask) -> GroupAsk:
    return GroupAsk(_GROUP, asks=list(asks))


def _ask(name: str, tokens: int, **changes: object) -> Ask:
    fields = {
        'prompt_tokens': tokens,
        'prefix': 0,
        'urgency': 2,
        'target_ms': 1000,
        'left_ms': 8000,
    }
    return Ask(name, 'route', '', **{**fields, **changes})


def _ask_short(name: str) -> Ask:
    return _ask(name, _SHORT, urgency=0, target_ms=250)


@contextmanager
def _open_engines(count: int) -> Iterator[_Engines]:
    with use_virtual_time() as hub:
        mesh = _LoopbackMesh(
            MemberTable('own'), _SilentNetwork(), hub.read_now, 4096
        )
        table = InstanceTable(hub.read_now, 2)
        table.replace(
            {
                f'e{index}': Instance(f'e{index}', _SERVICE, '')
                for index in range(count)
            },
            after_outage=False,
        )
        allocator = PrefillAllocator(mesh, table, hub.read_now)
        mesh.engines = _Engines(hub, allocator)
        yield mesh.engines


def test_short_prompts_do_not_wait_behind_a_burst_of_long_ones() -> None:
    """A burst of long prompts leaves the top tier its target."""
    with _open_engines(2) as engines:
        engines.send(*(_ask(f'long{index}', _LONG) for index in range(20)))
        for index in range(10):
            eventlet.sleep(0.1)
            engines.send(_ask_short(f'short{index}'))
        eventlet.sleep(8)
        short = [
            took_s
            for name, took_s in engines.first_tokens.items()
            if name.startswith('short')
        ]
        assert len(short) == 10
        # At most what is ahead and one long prompt.
        assert max(short) < 0.3, short


def test_engines_stay_busy_while_prompts_wait() -> None:
    """Holding prompts back costs no throughput, and all are served."""
    with _open_engines(2) as engines:
        engines.send(*(_ask(f'long{index}', _LONG) for index in range(20)))
        eventlet.sleep(8)
        assert len(engines.first_tokens) == 20
        ideal_s = predict_prefill(_LONG) * 10
        assert max(engines.first_tokens.values()) < ideal_s * 1.1


def test_tiers_go_strictly_first_once_a_target_is_missed() -> None:
    """In overload the higher tier is served before the lower one."""
    with _open_engines(1) as engines:
        engines.send(*(_ask(f'low{index}', _LONG) for index in range(8)))
        eventlet.sleep(1.2)
        engines.send(_ask('high', _LONG, urgency=1, target_ms=400))
        eventlet.sleep(8)
        finished = list(engines.first_tokens)
        assert finished.index('high') <= 7
        assert engines.first_tokens['high'] < 0.6


def test_hopeless_requests_are_denied_at_once() -> None:
    """What would wait too long is told so on arrival, not at the end."""
    with _open_engines(1) as engines:
        engines.send(*(_ask(f'r{index}', _LONG) for index in range(40)))
        assert 15 <= len(engines.refused) <= 30
        eventlet.sleep(10)
        assert len(engines.first_tokens) + len(engines.refused) == 40
        assert max(engines.first_tokens.values()) < 4


def test_a_denied_request_learns_when_to_come_back() -> None:
    """The time grows with the work that is ahead."""
    with _open_engines(1) as engines:
        asks = [_ask(f'r{index}', _LONG) for index in range(40)]
        reply = engines.allocator.take('host', _message(*asks))
        waits = [
            denial.retry_after_ms
            for denial in reply.denials
            if denial.reason != HELD
        ]
        assert min(waits) >= 3000


def test_shared_parts_stay_where_they_are() -> None:
    """Requests of one part share an engine until it is far behind."""
    with _open_engines(4) as engines:
        for index in range(12):
            engines.send(_ask(f'r{index}', 7000, shared_tokens=6000, prefix=99))
            eventlet.sleep(0.05)
        eventlet.sleep(1)
        assert len(set(engines.names.values())) == 1


def test_a_slow_engine_gets_less() -> None:
    """An engine that is behind its prompts is passed over."""
    with _open_engines(2) as engines:
        engines.slowness['e0'] = 8
        for index in range(40):
            engines.send(_ask(f'r{index}', 6000))
            eventlet.sleep(0.06)
        eventlet.sleep(4)
        names = list(engines.names.values())
        assert names.count('e0') < names.count('e1') / 3


def test_lost_news_of_first_tokens_block_an_engine_only_briefly() -> None:
    """Engines whose hosts have died are used again after a second."""
    with _open_engines(1) as engines:
        engines.allocator.take('dead', _message(_ask('lost', _LONG)))
        eventlet.sleep(0.5)
        engines.send(_ask('next', _LONG))
        eventlet.sleep(4)
        assert engines.first_tokens['next'] < 1.5


def test_withdrawn_requests_free_their_engine() -> None:
    """A host that gave up waiting takes back what was granted to it."""
    with _open_engines(1) as engines:
        engines.allocator.take('host', _message(_ask('r1', _LONG * 4)))
        withdrawal = GroupAsk(_GROUP, withdrawn=['r1'])
        engines.allocator.take('host', withdrawal)
        reply = engines.allocator.take('host', _message(_ask('r2', _LONG)))
        assert [grant.request_id for grant in reply.grants] == ['r2']


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
        mesh = Mesh(members, _SilentNetwork(), hub.read_now, 4096)
        table = InstanceTable(hub.read_now, 2)
        engines = {
            f'e{index}': Instance(f'e{index}', _SERVICE, '', leaving=leaving)
            for index in range(count)
        }
        table.replace(engines, after_outage=False)
        silent = GatewayFigures().silent_allocators
        desk = PromptDesk(mesh, allocator, table, hub.read_now, silent)
        mesh.add_listener(desk)
        yield desk, hub


class _ScriptedAllocator:
    """Answers each request as a test says."""

    def __init__(self, reply: GroupReply) -> None:
        self._reply = reply

    def take(self, host: str, message: GroupAsk) -> GroupReply:
        return self._reply if message.asks else GroupReply(_GROUP)


def test_a_silent_allocator_is_passed_over() -> None:
    """Its host chooses by itself within a tenth of a second."""
    with _open_desk(_SilentAllocator(), 'a') as (desk, hub):
        assert desk.place(_SERVICE, _ask('r1', _LONG)) is None
        assert hub.now < 0.1


def test_an_unreachable_allocator_is_passed_over() -> None:
    """A host that cannot be reached holds nobody up."""
    with _open_desk(_SilentAllocator(), 'b') as (desk, hub):
        assert desk.place(_SERVICE, _ask('r1', _LONG)) is None
        assert hub.now < 0.1
        before = hub.now
        assert desk.place(_SERVICE, _ask('r2', _LONG)) is None
        assert hub.now == before


def test_denials_become_refusals_that_ran_nothing() -> None:
    """A denied request was not sent anywhere."""
    denial = Denial('r1', 'overloaded', 900, 10)
    allocator = _ScriptedAllocator(GroupReply(_GROUP, denials=[denial]))
    with _open_desk(allocator, 'a') as (desk, _):
        refused = desk.place(_SERVICE, _ask('r1', _LONG))
        assert isinstance(refused, Refused)
        assert refused.ran == Ran.NO
        assert refused.retry_after_s == 0.9


def test_grants_name_the_backend_server() -> None:
    """A grant becomes a placement at the listed backend server."""
    with _open_engines(1) as engines:
        reply = engines.allocator.take('host', _message(_ask('r1', _LONG)))
    with _open_desk(_ScriptedAllocator(reply), 'a') as (desk, _):
        placement = desk.place(_SERVICE, _ask('r1', _LONG))
        assert isinstance(placement, Placement)
        assert placement.instance.name == 'e0'
        assert placement.prefill_tokens == _LONG


def test_grants_of_an_older_list_are_not_used() -> None:
    """A host that knows better sends nothing to a leaving server."""
    grants = [Grant('r1', 'e0'), Grant('r1', 'unknown')]
    for grant in grants:
        allocator = _ScriptedAllocator(GroupReply(_GROUP, grants=[grant]))
        with _open_desk(allocator, 'a', leaving=True) as (desk, _):
            assert desk.place(_SERVICE, _ask('r1', _LONG)) is None


def test_a_request_without_any_engine_left_is_not_held() -> None:
    """Its host hears at once that every engine has failed it."""
    with _open_engines(2) as engines:
        ask = _ask('r1', _LONG, avoided=['e0', 'e1'])
        reply = engines.allocator.take('host', _message(ask))
        assert [denial.reason for denial in reply.denials] == ['overloaded']


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
        outcome = desk.place(_SERVICE, _ask('r1', _LONG))
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


def _count_stretched(engines: _Engines, pause_s: float) -> int:
    """Count streams beside which an engine prefilled for a whole pause."""
    stretched = 0
    for name, granted_at in engines.granted_at.items():
        if not name.startswith('short'):
            continue
        ends_at = granted_at + _STREAM_S
        runs = engines.list_busy(engines.names[name])
        stretched += any(
            min(end, ends_at) - max(start, granted_at) >= pause_s
            for start, end in runs
        )
    return stretched


def test_streams_with_short_pauses_run_beside_little_prefill() -> None:
    """Long prompts at half load rarely stretch the pauses of the top tier."""
    source = random.Random(3)
    with _open_engines(6) as engines:
        for index in range(600):
            eventlet.sleep(0.03)
            long = _ask(
                f'long{index}',
                source.choice((15000, 17000, 30000)),
                prefix=source.randrange(1, 60),
                shared_tokens=13000,
                pause_ms=800,
            )
            short = _ask(
                f'short{index}', _SHORT, urgency=0, target_ms=250, pause_ms=200
            )
            engines.send(long, short)
        eventlet.sleep(8)
        assert len(engines.first_tokens) == 1200
        # One in twenty may be late for any reason.
        assert _count_stretched(engines, 0.2) <= 600 / 20
