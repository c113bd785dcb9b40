"""Fixtures for the tests of prompt scheduling.

The engines here prefill prompts one after the other, at a speed that the
allocator is not told, so that waiting times can be measured without a network.
"""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field

import eventlet

from egretdale.coordination.mesh import Mesh
from egretdale.coordination.prefill import QUEUED, PrefillAllocator
from egretdale.errors import Cause, Unreachable
from egretdale.state.backpressure import BackpressureTable
from egretdale.state.instances import Instance, InstanceTable
from egretdale.state.members import MemberTable
from egretdale.state.messages import (
    Ask,
    Batch,
    Done,
    GroupAsk,
    GroupReply,
)
from egretdale.state.request_gates import (
    RequestGates,
    choose_whole_rate,
)
from egretdale.state.speeds import SpeedTable
from standins.virtual.hub import VirtualHub, use_virtual_time

SERVICE = 'claims'
GROUP = 'claims/1/0'
#: Tokens of long and of short prompts.
LONG = 24000
SHORT = 600
_TOKENS_PER_S = 120000


class SilentNetwork:
    """Refuses all calls to peers."""

    def deliver(self, address: str, batch: Batch) -> Unreachable:
        eventlet.sleep(0.01)
        return Unreachable(Cause.REFUSED)


@dataclass
class Engines:
    """Engines that prefill one prompt at a time.

    :ivar free_at: times at which engines have prefilled all their prompts.
    :ivar first_tokens: seconds from arrival to first token by request.
    :ivar arrivals: times of arrival by request.
    :ivar refused: requests that were denied.
    :ivar slowness: factors on the usual prefill time by engine.
    :ivar names: names of engines by request.
    :ivar granted_at: times of grants by request.
    :ivar busy: starts and ends of the busy periods by engine.
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
        """Send requests of one host to the allocator."""
        for ask in asks:
            self.arrivals[ask.request_id] = self.hub.now
        self.handle_reply(
            self.allocator.handle_message('host', create_message(*asks))
        )

    def handle_reply(self, reply: GroupReply) -> None:
        """Run the granted requests and record the denied ones."""
        for grant in reply.grants:
            self._run(grant.request_id, grant.backend, grant.prefill_tokens)
        self.refused.extend(
            denial.request_id
            for denial in reply.denials
            if denial.reason != QUEUED
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
        """List the periods in which an engine was always prefilling."""
        return self.busy[engine]

    def _finish(self, request_id: str) -> None:
        self.first_tokens[request_id] = self.hub.now - self.arrivals[request_id]
        first_token_ms = round(
            (self.hub.now - self.granted_at[request_id]) * 1000
        )
        done = Done(request_id, '', first_token_ms=first_token_ms)
        message = GroupAsk(GROUP, done=[done])
        self.handle_reply(self.allocator.handle_message('host', message))


def predict_prefill(tokens: int) -> float:
    """Return how long an engine of the tests takes to prefill a prompt.

    :param tokens: tokens that are not cached.
    :return: seconds.
    """
    return tokens / _TOKENS_PER_S


class LoopbackMesh(Mesh):
    """Passes replies directly to the engines of the test."""

    engines: Engines

    def post_reply(self, host: str, message: GroupReply) -> None:
        self.engines.handle_reply(message)


def create_message(*asks: Ask) -> GroupAsk:
    """Create the message that announces requests to the allocator.

    :param asks: the requests.
    :return: the message.
    """
    return GroupAsk(GROUP, asks=list(asks))


def create_ask(name: str, tokens: int, **changes: object) -> Ask:
    """Create a request.

    :param name: its identity.
    :param tokens: tokens of its prompt.
    :param changes: fields that differ from the defaults.
    :return: the request.
    """
    fields = {
        'prompt_tokens': tokens,
        'prefix': 0,
        'urgency': 2,
        'target_ms': 1000,
        'left_ms': 8000,
    }
    return Ask(name, 'route', '', **{**fields, **changes})


def create_short_ask(name: str) -> Ask:
    """Create a short request of the top tier.

    :param name: its identity.
    :return: the request.
    """
    return create_ask(name, SHORT, urgency=0, target_ms=250)


@contextmanager
def open_engines(count: int, slots: int = 0) -> Iterator[Engines]:
    """Run an allocator and engines on virtual time.

    :param count: number of engines.
    :param slots: number of slots that each announces, 0 for none.
    :return: the engines.
    """
    with use_virtual_time() as hub:
        mesh = LoopbackMesh(
            MemberTable('own'), SilentNetwork(), hub.read_now, 4096
        )
        table = InstanceTable(hub.read_now, 2)
        table.replace(
            {
                f'e{index}': Instance(f'e{index}', SERVICE, '', slots=slots)
                for index in range(count)
            },
            after_outage=False,
        )
        allocator = PrefillAllocator(
            mesh,
            table,
            hub.read_now,
            SpeedTable(hub.read_now),
            RequestGates(BackpressureTable(), hub.read_now, choose_whole_rate),
        )
        mesh.engines = Engines(hub, allocator)
        yield mesh.engines
