"""Fixtures for the tests of repeated requests that crash engines."""

from __future__ import annotations

import random
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field

import eventlet

from egretdale.coordination.exchanges import (
    ForwardReply,
    IncompleteResponse,
    Prompt,
    PromptPart,
)
from egretdale.state.outcomes import Ran, Refused
from egretdale.util.hashing import hash_fields
from standins.virtual.hub import use_virtual_time
from tests.crashing_engines import CrashingEngines, EngineScene

#: Crashes after which a request has to be recognised.
COUNTED_CRASHES = 3
#: Body of the request that crashes engines, and of sound requests that are all
#: the same.
DEADLY_BODY = b'deadly'
POPULAR_BODY = b'popular'
#: Parts of prompts: those of the request that crashes engines.
_SHARED_PARTS = (7, 66)
_RARE_PARTS = 400
_PART_TOKENS = 400


@dataclass(slots=True, frozen=True)
class Load:
    """Requests that callers send.

    :ivar rate: sound requests per second.
    :ivar deadly_rate: requests per second that crash engines.
    :ivar popular_share: share of the sound requests that are all the same.
    :ivar shared_share: share of the other sound requests with the parts of the
        request that crashes engines.
    """

    rate: float = 15.0
    deadly_rate: float = 2.0
    popular_share: float = 0.2
    shared_share: float = 0.3


@dataclass(slots=True)
class Call:
    """A request of a caller and how it ended.

    :ivar sent_at: time at which it was sent.
    :ivar body: its body.
    :ivar shares_parts: whether it has the parts of the deadly request.
    :ivar is_served: whether it began to be answered.
    :ivar refused: the refusal, if it was refused.
    """

    sent_at: float
    body: bytes
    shares_parts: bool
    is_served: bool = False
    refused: Refused | None = None


@dataclass
class RepeatScene(EngineScene):
    """Hosts before engines that one repeated request crashes.

    :ivar has_prompts: whether requests have prompts.
    :ivar deadly_bodies: bodies of the requests that crash engines.
    :ivar calls: all requests.
    """

    has_prompts: bool = False
    deadly_bodies: tuple[bytes, ...] = (DEADLY_BODY,)
    calls: list[Call] = field(default_factory=list)

    def send(self, for_s: float, load: Load, seed: int = 1) -> None:
        """Send requests to random hosts.

        :param for_s: seconds in which they are sent.
        :param load: the requests.
        :param seed: seed of the hosts, kinds of requests and times.
        """
        source = random.Random(seed)
        end = self.hub.now + for_s
        total = load.rate + load.deadly_rate
        while self.hub.now < end:
            self.update_lists()
            call = self._draw_call(source, load)
            eventlet.spawn_n(self._call, call, source)
            eventlet.sleep(source.expovariate(total))

    def count_late_arrivals(self) -> int:
        """Count the arrivals of the deadly request that the rule limits."""
        return self.engines.count_late_arrivals(COUNTED_CRASHES)

    def measure_served(
        self,
        since: float,
        until: float,
        body: bytes = b'',
        *,
        sharing_parts: bool = False,
    ) -> float:
        """Measure the share of sound requests that began to be answered.

        :param since: time of the first one.
        :param until: time of the last one.
        :param body: their body, empty for any.
        :param sharing_parts: whether only those with the parts of the deadly
            request count.
        """
        counted = [
            call.is_served
            for call in self.calls
            if since <= call.sent_at < until
            and call.body not in self.deadly_bodies
            and body in {b'', call.body}
            and (call.shares_parts or not sharing_parts)
        ]
        return sum(counted) / max(1, len(counted))

    def list_refusals(self, body: bytes) -> list[Refused]:
        """List the refusals of requests with a body.

        :param body: the body.
        """
        return [
            call.refused
            for call in self.calls
            if call.body == body and call.refused is not None
        ]

    def _draw_call(self, source: random.Random, load: Load) -> Call:
        total = load.rate + load.deadly_rate
        if source.random() < load.deadly_rate / total:
            return Call(self.hub.now, self._draw_deadly(source), True)
        shares_parts = source.random() < load.shared_share
        body = b'%d' % len(self.calls)
        if source.random() < load.popular_share:
            body = POPULAR_BODY
            shares_parts = False
        return Call(self.hub.now, body, shares_parts)

    def _draw_deadly(self, source: random.Random) -> bytes:
        if len(self.deadly_bodies) == 1:
            return self.deadly_bodies[0]
        return source.choice(self.deadly_bodies)

    def _call(self, call: Call, source: random.Random) -> None:
        """Send a request, and again elsewhere if it may have run."""
        self.calls.append(call)
        self._forward(call, source)
        if call.refused is not None and call.refused.ran != Ran.NO:
            again = Call(self.hub.now, call.body, call.shares_parts)
            self.calls.append(again)
            self._forward(again, source)
            call.is_served = again.is_served

    def _forward(self, call: Call, source: random.Random) -> None:
        host = source.choice(list(self.hosts.values()))
        request = self.create_request(
            f'request-{len(self.calls)}',
            body=call.body,
            prompt=self._create_prompt(call, source),
        )
        reply = host.forwarder.forward(host.forwarder.admit(request))
        match reply:
            case Refused():
                call.refused = reply
            case ForwardReply():
                self._read(reply, call)

    def _read(self, reply: ForwardReply, call: Call) -> None:
        try:
            for _ in reply.chunks:
                call.is_served = True
        except IncompleteResponse:
            return

    def _create_prompt(self, call: Call, source: random.Random) -> Prompt:
        if not self.has_prompts:
            return Prompt()
        shared = _SHARED_PARTS
        if not call.shares_parts:
            shared = (1000 + source.randrange(_RARE_PARTS),)
        identities = (*shared, hash_fields(call.body))
        parts = tuple(
            PromptPart(identity, _PART_TOKENS) for identity in identities
        )
        return Prompt(_PART_TOKENS * len(parts), _PART_TOKENS // 10, parts)


@contextmanager
def open_repeat_scene(
    hosts: int = 6,
    engines: int = 3,
    *,
    has_prompts: bool = False,
    deadly_bodies: tuple[bytes, ...] = (DEADLY_BODY,),
) -> Iterator[RepeatScene]:
    """Run hosts before engines on virtual time.

    :param hosts: number of hosts.
    :param engines: number of engines, named ``e0``, ``e1`` and so on.
    :param has_prompts: whether requests have prompts.
    :param deadly_bodies: bodies of the requests that crash engines.
    """
    with use_virtual_time() as hub:
        scene = RepeatScene(
            hub, has_prompts=has_prompts, deadly_bodies=deadly_bodies
        )
        crashing = CrashingEngines(
            hub, deadly=set(), deadly_bodies=set(deadly_bodies)
        )
        scene.start(crashing, hosts, engines)
        yield scene
