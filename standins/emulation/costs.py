"""Measures the processor time of a prefill allocator per request."""

from __future__ import annotations

import time

from egretdale.coordination.mesh import Mesh
from egretdale.coordination.prefill import PrefillAllocator
from egretdale.errors import Cause, Unreachable
from egretdale.state.backpressure import BackpressureTable
from egretdale.state.instances import Instance, InstanceTable
from egretdale.state.members import MemberTable
from egretdale.state.messages import Ask, Batch, GroupAsk
from egretdale.state.request_gates import (
    RequestGates,
    choose_whole_rate,
)
from egretdale.state.speeds import SpeedTable

_SERVICE = 'prompts'
_GROUP = f'{_SERVICE}/1/0'
_BYTES_PER_S = 4096.0
_ROUNDS = 200
#: Seconds between two requests: long enough for the allocator to scan the
#: whole queue each time.
_STEP_S = 0.005
_PROMPT_TOKENS = 17000
_SHARED_TOKENS = 13000
#: Number of different shared parts.
_SHARED_PARTS = 60
#: Prompts that fill an engine, so that further ones have to wait.
_RUNNING_PER_ENGINE = 2
_TARGET_MS = 1000
_REMAINING_MS = 1000000


class _NoNetwork:
    """Refuses all calls to peers."""

    def deliver(self, address: str, batch: Batch) -> Unreachable:
        return Unreachable(Cause.REFUSED)


class _Clock:
    def __init__(self) -> None:
        self.now = float(100)

    def __call__(self) -> float:
        return self.now


def measure_asks(engines: int, waiting: int) -> float:
    """Measure a request and its withdrawal while others wait.

    :param engines: number of engines of the group.
    :param waiting: number of requests that wait.
    :return: seconds of processor time for each pair.
    """
    clock = _Clock()
    mesh = Mesh(MemberTable('own'), _NoNetwork(), clock, _BYTES_PER_S)
    table = InstanceTable(clock, 2)
    table.replace(
        {
            f'e{index}': Instance(f'e{index}', _SERVICE, '')
            for index in range(engines)
        },
        after_outage=False,
    )
    gates = RequestGates(BackpressureTable(), clock, choose_whole_rate)
    allocator = PrefillAllocator(mesh, table, clock, SpeedTable(clock), gates)
    for index in range(engines * _RUNNING_PER_ENGINE + waiting):
        allocator.handle_message(
            'own', GroupAsk(_GROUP, asks=[_create_ask(index)])
        )
    started_at = time.process_time()
    for number in range(_ROUNDS):
        clock.now += _STEP_S
        ask = _create_ask(-number - 1)
        allocator.handle_message('own', GroupAsk(_GROUP, asks=[ask]))
        allocator.handle_message(
            'own', GroupAsk(_GROUP, withdrawn=[ask.request_id])
        )
    return (time.process_time() - started_at) / _ROUNDS


def _create_ask(number: int) -> Ask:
    return Ask(
        f'request {number}',
        'route',
        '',
        prompt_tokens=_PROMPT_TOKENS,
        prefix=number % _SHARED_PARTS + 1,
        shared_tokens=_SHARED_TOKENS,
        urgency=2,
        target_ms=_TARGET_MS,
        left_ms=_REMAINING_MS,
    )
