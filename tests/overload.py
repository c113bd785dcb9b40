"""Fixture of hosts whose engines are lost while callers ask for more.

Hosts run the routing code on virtual time. Engines prefill one prompt at a
time, the most urgent one first, and hold a slot until the response ends.
"""

from __future__ import annotations

import heapq
import math
import random
from collections.abc import Iterator
from dataclasses import dataclass, field

import eventlet
from eventlet.event import Event

from egretdale.coordination.exchanges import (
    ForwardAttempt,
    ForwardReply,
    IncompleteResponse,
    Prompt,
    PromptPart,
    RelayAttempt,
)
from egretdale.coordination.admission import AdmittedRequest
from egretdale.coordination.ports import EndOfStream, MaybeRun, NotRun
from egretdale.state.backpressure import BackendStatement
from egretdale.state.instances import Instance
from egretdale.state.outcomes import Refused
from standins.emulation.hosts import (
    HOST_NAME,
    SERVICE,
    EmulatedHost,
    create_hosts,
)
from standins.emulation.engines import EmulatedRejection
from standins.emulation.loads import (
    LengthDistribution,
    PromptClass,
    SharedParts,
    Workload,
)
from standins.emulation.policies import PROMPT_POLICIES
from standins.virtual.hub import VirtualHub
from tests.forwarding import create_request

_TOKENS_PER_S = 8000.0
_SLOTS = 32
_QUEUE = 64
_LATENCY_S = 0.001
#: Seconds from the first event of a response to its end.
_STREAM_S = 0.4
_PARTS = 40
#: Share of the engines' time that the callers' prompts take before the loss.
_LOAD = 0.6
#: Times of the loss and of the burst in seconds, and of the last request.
LOST_AT_S = 2.0
BURST_AT_S = 2.0
BURST_END_S = 7.0
END_S = 8.0
#: Window and bounds of the rule on tiers.
_WINDOW_S = 5.0
_UNSERVED = 10
_UNSERVED_SHARE = 1 / 12
#: A refused caller returns once, if that leaves it two thirds of its time.
_RETURN_SHARE = 1 / 3


def _create_class(
    name: str, priority: int, target_s: float, own: float, shared: float
) -> PromptClass:
    return PromptClass(
        name=name,
        rate=0,
        target_s=target_s,
        pause_s=1,
        patience_s=12 * target_s,
        worth=1,
        late_worth=0.1,
        priority=priority,
        own=LengthDistribution(own, 0.8, own * 6),
        output=LengthDistribution(1, 0, 1),
        common=None,
        shared=SharedParts(LengthDistribution(shared, 0.5, shared * 3), _PARTS),
    )


#: Classes by tier, and the parts of each that callers send.
CLASSES = (
    _create_class('query', 0, 0.25, 150, 50),
    _create_class('review', 1, 0.4, 400, 500),
    _create_class('digest', 2, 0.8, 900, 1600),
)
_MIX = (0.35, 0.25, 0.4)


@dataclass(slots=True)
class Call:
    """A request of a caller.

    :ivar tier: index of its class.
    :ivar at: time of its arrival.
    :ivar prompt: its prompt.
    :ivar first_s: seconds to the first event, ``None`` without one.
    :ivar begun_at: time at which an engine got it.
    :ivar refused: number of refusals.
    :ivar ended_at: time at which it was served or given up.
    """

    tier: int
    at: float
    prompt: Prompt
    first_s: float | None = None
    begun_at: float | None = None
    refused: int = 0
    ended_at: float = math.inf


@dataclass(slots=True)
class LightEngine:
    """An engine that prefills one prompt at a time."""

    speed: float = 1
    running: int = 0
    parts: set[int] = field(default_factory=set)
    waiting: list[tuple[int, int, Event, float]] = field(default_factory=list)
    arrived: Event = field(default_factory=Event)
    count: int = 0

    def run(self) -> None:
        """Prefill prompts forever."""
        while True:
            if not self.waiting:
                self.arrived = Event()
                self.arrived.wait()
            _, _, done, prefill_s = heapq.heappop(self.waiting)
            eventlet.sleep(prefill_s)
            done.send(None)

    def submit(self, attempt: ForwardAttempt) -> Event:
        """Queue a prompt.

        :return: sent when it is prefilled.
        """
        done = Event()
        shared, own = attempt.request.prompt.parts
        tokens = own.tokens
        if shared.identity not in self.parts:
            self.parts.add(shared.identity)
            tokens += shared.tokens
        self.count += 1
        prefill_s = tokens / _TOKENS_PER_S / self.speed
        entry = (attempt.urgency, self.count, done, prefill_s)
        heapq.heappush(self.waiting, entry)
        if not self.arrived.ready():
            self.arrived.send(None)
        return done


@dataclass(slots=True)
class _Response:
    engine: LightEngine
    status: int = 200
    headers: tuple[tuple[str, str], ...] = ()
    length: int | None = None
    sealed: bool = True
    not_run: bool = False
    statement: BackendStatement = BackendStatement()
    reads: int = 0
    ended: bool = False

    def read(self) -> bytes | EndOfStream | MaybeRun:
        self.reads += 1
        if self.reads == 1:
            return b'id: 1\ndata: x\n\n'
        eventlet.sleep(_STREAM_S)
        self.close()
        return EndOfStream()

    def close(self) -> None:
        self.engine.running -= not self.ended
        self.ended = True


class _Client:
    def __init__(self, scene: OverloadScene) -> None:
        self._scene = scene

    def open(
        self, attempt: ForwardAttempt
    ) -> _Response | EmulatedRejection | MaybeRun:
        eventlet.sleep(_LATENCY_S)
        engine = self._scene.engines[attempt.instance.name]
        if engine.running >= _SLOTS + _QUEUE:
            return EmulatedRejection()
        self._scene.note_begin(attempt.request.request_id)
        engine.running += 1
        response = _Response(engine)
        done = engine.submit(attempt)
        try:
            with eventlet.Timeout(max(0, attempt.left_s), False):
                done.wait()
                return response
        except BaseException:
            response.close()
            raise
        response.close()
        return MaybeRun('no answer')

    def test_connection(self, instance: Instance) -> NotRun | None:
        """Find no fault in any connection."""

    def relay(self, attempt: RelayAttempt) -> NotRun:
        return NotRun('no other host')


class OverloadScene:
    """Hosts, engines and callers.

    :ivar calls: requests of the callers.
    :ivar engines: engines by name.
    """

    def __init__(
        self,
        hub: VirtualHub,
        *,
        hosts: int,
        engines: int,
        policy: str = 'product',
        seed: int = 1,
    ) -> None:
        """Start hosts and engines."""
        self.hub = hub
        self.source = random.Random(seed)
        self.calls: list[Call] = []
        self.engines = {f'e{index}': LightEngine() for index in range(engines)}
        for engine in self.engines.values():
            eventlet.spawn(engine.run)
        workload = Workload('overload', CLASSES, engines, hosts, 1)
        self.hosts: list[EmulatedHost] = create_hosts(
            workload, PROMPT_POLICIES[policy], _Client(self), hub.read_now
        )
        self._calls: dict[str, Call] = {}
        self._parts = [
            [
                PromptPart(
                    self.source.getrandbits(62),
                    entry.shared.tokens.draw(self.source),
                )
                for _ in range(_PARTS)
            ]
            for entry in CLASSES
        ]
        self._list(self.engines)

    def run(self, *, lost: float, burst: float, rate: float = 0) -> None:
        """Play the load: a share of the engines is lost, and callers burst.

        :param lost: share of the engines that is lost.
        :param burst: factor on the rate of requests during the burst.
        :param rate: requests per second, by default what the engines do.
        """
        rate = rate or _measure_rate(len(self.engines))
        eventlet.spawn_after(LOST_AT_S, self._lose, lost)
        while self.hub.now < END_S:
            is_burst = BURST_AT_S <= self.hub.now < BURST_END_S
            factor = burst if is_burst else 1
            eventlet.sleep(self.source.expovariate(rate * factor))
            eventlet.spawn_n(self._call)
        eventlet.sleep(max(entry.patience_s for entry in CLASSES))

    def note_begin(self, request_id: str) -> None:
        """Record that an engine got a request."""
        call = self._calls[request_id]
        if call.begun_at is None:
            call.begun_at = self.hub.now

    def measure(self, tier: int, first_s: float = math.inf) -> float:
        """Measure the share of a tier's callers who were served.

        :param tier: the tier.
        :param first_s: latest time of the first event.
        """
        calls = [call for call in self.calls if call.tier == tier]
        served = [
            call
            for call in calls
            if call.first_s is not None and call.first_s <= first_s
        ]
        return len(served) / len(calls)

    def list_inversions(self) -> list[str]:
        """List the windows in which a tier paid for a less urgent one."""
        inversions: list[str] = []
        for tier, _ in enumerate(CLASSES[:-1]):
            for start in (LOST_AT_S, END_S - _WINDOW_S):
                inversions.extend(self._check(tier, start))
        return inversions

    def _check(self, tier: int, start: float) -> Iterator[str]:
        end = start + _WINDOW_S
        asked = [
            call
            for call in self.calls
            if call.tier == tier and start <= call.at < end
        ]
        unserved = [call for call in asked if call.first_s is None]
        bound = max(_UNSERVED, len(asked) * _UNSERVED_SHARE)
        if len(unserved) <= bound:
            return
        size = sum(call.prompt.tokens for call in unserved) / len(unserved)
        begun = [
            call
            for call in self.calls
            if call.tier > tier
            and call.prompt.tokens > 2 * size
            and start <= (call.begun_at or math.inf) < end
        ]
        if begun:
            yield (
                f'{start} s: {len(unserved)} of {len(asked)} of tier {tier}, '
                f'{len(begun)} less urgent ones'
            )

    def _lose(self, share: float) -> None:
        names = list(self.engines)
        lost = self.source.sample(names, round(len(names) * share))
        self._list(name for name in names if name not in lost)

    def _list(self, names: Iterator[str] | dict[str, LightEngine]) -> None:
        listed = {
            name: Instance(name, SERVICE, '', slots=_SLOTS) for name in names
        }
        for host in self.hosts:
            host.replace_instances(dict(listed))

    def _call(self) -> None:
        tier = self.source.choices(range(len(CLASSES)), weights=_MIX)[0]
        own = CLASSES[tier].own.draw(self.source)
        shared = self.source.choice(self._parts[tier])
        parts = (shared, PromptPart(self.source.getrandbits(62), own))
        prompt = Prompt(shared.tokens + own, 1, parts)
        call = Call(tier, self.hub.now, prompt)
        self.calls.append(call)
        patience_s = CLASSES[tier].patience_s
        with eventlet.Timeout(patience_s, False):
            retry_s = self._send(call, patience_s)
            if retry_s is not None and retry_s < patience_s * _RETURN_SHARE:
                eventlet.sleep(retry_s)
                self._send(call, call.at + patience_s - self.hub.now)
        call.ended_at = self.hub.now

    def _send(self, call: Call, patience_s: float) -> float | None:
        host = self.source.choice(self.hosts)
        request = create_request(
            f'/{CLASSES[call.tier].name}/',
            request_id=f'r{len(self._calls)}',
            host_name=HOST_NAME,
            arrived_at=self.hub.now,
            patience_s=patience_s,
            prompt=call.prompt,
        )
        self._calls[request.request_id] = call
        outcome = host.forwarder.admit(request)
        if isinstance(outcome, AdmittedRequest):
            outcome = host.forwarder.forward(outcome)
        if isinstance(outcome, Refused):
            call.refused += 1
            return outcome.retry_after_s
        self._read(call, outcome)
        return None

    def _read(self, call: Call, reply: ForwardReply) -> None:
        try:
            for _ in reply.chunks:
                if call.first_s is None:
                    call.first_s = self.hub.now - call.at
        except IncompleteResponse:
            call.first_s = None
        finally:
            reply.chunks.close()


def _measure_rate(engines: int) -> float:
    mean_tokens = sum(
        share * (entry.own.mean + entry.shared.tokens.mean / 8)
        for share, entry in zip(_MIX, CLASSES, strict=True)
    )
    return engines * _LOAD * _TOKENS_PER_S / mean_tokens
