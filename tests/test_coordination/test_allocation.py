"""Tests of the allocator of one group."""

from __future__ import annotations

import random

from egretdale.coordination.allocation import GroupAllocator
from egretdale.state.backends import BackendAddress, LoadReport
from egretdale.state.messages import (
    Ask,
    Done,
    GroupAsk,
    GroupReply,
    Running,
)
from egretdale.state.outcomes import Reason
from tests.fixtures import create_document
from tests.functions import create_loader

load_tests = create_loader(__name__)

_HOST = 'host-0'


class _Clock:
    """A clock that tests set.

    :ivar now: monotonic seconds.
    """

    def __init__(self) -> None:
        self.now = float(100)

    def __call__(self) -> float:
        return self.now


def _create_allocator(clock: _Clock, engines: int = 1) -> GroupAllocator:
    allocator = GroupAllocator(
        'claims/0',
        create_document(),
        1,
        clock=clock,
        source=random.Random(1),
    )
    allocator.replace_backends(
        [
            BackendAddress('claims', f'engine-{number}', f'e{number}', 1)
            for number in range(engines)
        ]
    )
    for view in allocator.pool.views.values():
        view.accept_report(LoadReport(0, 0, 0, 100000), clock.now)
    return allocator


def _ask(request_id: str, class_name: str = 'counter') -> Ask:
    return Ask(request_id, class_name, 'small', prompt_tokens=100)


def _send(allocator: GroupAllocator, message: GroupAsk) -> GroupReply:
    allocator.accept(_HOST, message)
    allocator.dispatch()
    return allocator.take_replies().get(_HOST, GroupReply('claims/0'))


def _list_granted(reply: GroupReply) -> list[str]:
    return [grant.request_id for grant in reply.grants]


def _fill(allocator: GroupAllocator, class_name: str) -> list[str]:
    asks = [_ask(f'{class_name}-{number}', class_name) for number in range(4)]
    return _list_granted(_send(allocator, GroupAsk('claims/0', asks=asks)))


def test_slots_are_granted_up_to_the_limit() -> None:
    """The fifth request waits for one of four slots."""
    allocator = _create_allocator(_Clock())
    assert len(_fill(allocator, 'summary')) == 4
    fifth = _ask('fifth', 'summary')
    waiting = _send(allocator, GroupAsk('claims/0', asks=[fifth]))
    assert not waiting.grants
    done = Done('summary-0', 'engine-0', 20, 50, 500)
    freed = _send(allocator, GroupAsk('claims/0', done=[done]))
    assert _list_granted(freed) == ['fifth']


def test_unreachable_target_is_refused_at_once() -> None:
    """A request behind a long queue is refused with a retry time."""
    allocator = _create_allocator(_Clock())
    asks = [_ask(f'counter-{number}') for number in range(40)]
    reply = _send(allocator, GroupAsk('claims/0', asks=asks))
    assert reply.denials
    denial = reply.denials[-1]
    assert denial.reason == Reason.TARGET_UNREACHABLE
    assert denial.retry_after_ms >= 500
    assert denial.wait_ms > 0


def test_retry_times_are_spaced() -> None:
    """Refused callers of one organisation get different retry times."""
    allocator = _create_allocator(_Clock())
    asks = [_ask(f'counter-{number}') for number in range(200)]
    reply = _send(allocator, GroupAsk('claims/0', asks=asks))
    times = [denial.retry_after_ms for denial in reply.denials]
    assert len(set(times)) > len(times) * 0.9
    assert max(times) > min(times) * 2


def test_returning_caller_is_admitted() -> None:
    """A caller who returns at its retry time is not refused again."""
    allocator = _create_allocator(_Clock())
    asks = [_ask(f'counter-{number}') for number in range(40)]
    _send(allocator, GroupAsk('claims/0', asks=asks))
    returning = _ask('returning')
    returning.returning = True
    reply = _send(allocator, GroupAsk('claims/0', asks=[returning]))
    assert not reply.denials


def test_lower_tiers_do_not_count_in_admission() -> None:
    """Waiting drafts do not prevent the admission of a counter request."""
    allocator = _create_allocator(_Clock())
    drafts = [_ask(f'draft-{number}', 'draft') for number in range(100)]
    _send(allocator, GroupAsk('claims/0', asks=drafts))
    reply = _send(allocator, GroupAsk('claims/0', asks=[_ask('counter')]))
    assert not reply.denials


def test_lower_tier_stream_is_paused_for_a_higher_one() -> None:
    """A counter request takes the slot of a draft, which resumes later."""
    clock = _Clock()
    allocator = _create_allocator(clock)
    _fill(allocator, 'draft')
    clock.now += 5
    asks = [_ask('first'), _ask('second')]
    reply = _send(allocator, GroupAsk('claims/0', asks=asks))
    assert _list_granted(reply) == ['first', 'second']
    assert [pause.paused for pause in reply.pauses] == [True]
    done = Done('first', 'engine-0', 20, 50, 500)
    resumed = _send(allocator, GroupAsk('claims/0', done=[done]))
    assert [pause.paused for pause in resumed.pauses] == [False]


def test_paused_stream_resumes_under_endless_load() -> None:
    """A paused draft resumes when its class has less than its share."""
    clock = _Clock()
    allocator = _create_allocator(clock)
    _fill(allocator, 'draft')
    clock.now += 5
    counters = [_ask(f'counter-{number}') for number in range(4)]
    _send(allocator, GroupAsk('claims/0', asks=counters))
    clock.now += 11
    reply = _send(allocator, GroupAsk('claims/0'))
    assert [pause.paused for pause in reply.pauses] == [False]


def test_lost_release_is_corrected_by_the_next_report() -> None:
    """A slot that its host no longer reports is freed."""
    clock = _Clock()
    allocator = _create_allocator(clock)
    _fill(allocator, 'counter')
    clock.now += 2
    full = GroupAsk('claims/0', full=True, asks=[_ask('next')])
    assert _list_granted(_send(allocator, full)) == ['next']


def test_grant_in_transit_survives_a_report() -> None:
    """A slot that was just granted is kept although it is not reported yet."""
    allocator = _create_allocator(_Clock())
    _fill(allocator, 'counter')
    _send(allocator, GroupAsk('claims/0', full=True))
    assert len(allocator.pool.held) == 4


def test_state_is_rebuilt_from_reports() -> None:
    """A new allocator takes over the slots that hosts report."""
    allocator = _create_allocator(_Clock())
    running = [
        Running(_ask(f'counter-{number}'), 'engine-0', 5, 300, 40)
        for number in range(4)
    ]
    full = GroupAsk('claims/0', full=True, asks=[_ask('x')], running=running)
    assert not _send(allocator, full).grants
    assert allocator.pool.count_busy() == 4


def test_gone_host_frees_its_slots() -> None:
    """Slots of a host that is gone are freed."""
    allocator = _create_allocator(_Clock())
    _fill(allocator, 'counter')
    allocator.drop_host(_HOST)
    assert not allocator.pool.held


def test_failed_engine_is_avoided_then_probed() -> None:
    """An engine that failed gets nothing, then a single request."""
    clock = _Clock()
    allocator = _create_allocator(clock)
    _send(allocator, GroupAsk('claims/0', asks=[_ask('first')]))
    failed = Done('first', 'engine-0', whole=False, failed=True)
    asks = [_ask('second'), _ask('third')]
    reply = _send(allocator, GroupAsk('claims/0', done=[failed], asks=asks))
    assert not reply.grants
    clock.now += 0.6
    allocator.dispatch()
    probed = allocator.take_replies()[_HOST]
    assert len(probed.grants) == 1


def test_slow_engine_gets_less() -> None:
    """The slot limit of an engine falls while its tokens come too slowly."""
    clock = _Clock()
    allocator = _create_allocator(clock)
    _fill(allocator, 'counter')
    view = allocator.pool.views['engine-0']
    for second in range(1, 6):
        clock.now += 1
        running = [
            Running(_ask(f'counter-{number}'), 'engine-0', second * 4, 1, 1)
            for number in range(4)
        ]
        _send(allocator, GroupAsk('claims/0', running=running))
    assert view.limit < 4


def test_leaving_engine_gets_nothing() -> None:
    """An engine marked as leaving gets no new work."""
    allocator = _create_allocator(_Clock())
    leaving = BackendAddress('claims', 'engine-0', 'e0', 1, leaving=True)
    allocator.replace_backends([leaving])
    reply = _send(allocator, GroupAsk('claims/0', asks=[_ask('first')]))
    assert not reply.grants


def test_unknown_class_is_refused() -> None:
    """A class that the document does not have is refused without a retry."""
    allocator = _create_allocator(_Clock())
    reply = _send(allocator, GroupAsk('claims/0', asks=[_ask('a', 'other')]))
    assert reply.denials[0].reason == Reason.UNKNOWN_CLASS
    assert reply.denials[0].retry_after_ms == -1
