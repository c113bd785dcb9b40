"""Plays loads of prompts under policies and reports what callers got."""

from __future__ import annotations

import random
from collections.abc import Iterator
from dataclasses import dataclass, field

import eventlet
import msgspec

from egretdale.coordination.exchanges import (
    ForwardReply,
    ForwardRequest,
    IncompleteResponse,
)
from egretdale.coordination.admission import AdmittedRequest
from egretdale.state.outcomes import Refused
from standins.emulation.engines import (
    EmulatedClient,
    EmulatedEngine,
    create_engines,
    list_instances,
)
from standins.emulation.hosts import (
    HOST_NAME,
    SERVICE,
    EmulatedHost,
    create_hosts,
)
from standins.emulation.loads import LOADS, Arrival, Load, draw_arrivals
from standins.emulation.policies import PROMPT_POLICIES
from standins.models.batches import BatchProfile
from standins.virtual.hub import VirtualHub, use_virtual_time

#: Seconds after which hosts know that an engine was lost or has started.
_LIST_LAG_S = 0.3
#: Part of the time left up to which callers wait to come back.
_RETURN_SHARE = 1 / 3
_MS = 1000.0
_PERCENTILES = (50, 95)


@dataclass(slots=True)
class Call:
    """What a caller got.

    :ivar arrival: its request.
    :ivar first_s: seconds to the first event, ``None`` without one.
    :ivar pause_s: longest pause between events in seconds.
    :ivar complete: whether all events came.
    :ivar refused: refusals that it got.
    """

    arrival: Arrival
    first_s: float | None = None
    pause_s: float = 0
    complete: bool = False
    refused: int = 0

    def is_on_time(self) -> bool:
        """Tell whether the whole answer came as its class asks."""
        wanted = self.arrival.request_class
        if not self.complete or self.first_s is None:
            return False
        in_time = self.first_s <= wanted.target_s
        return in_time and self.pause_s <= wanted.pause_s

    def measure_worth(self) -> float:
        """Measure what the answer is worth."""
        wanted = self.arrival.request_class
        if self.is_on_time():
            return wanted.worth
        return wanted.late_worth if self.complete else 0


class ClassReport(msgspec.Struct):
    """What the callers of a class got.

    :ivar asked: number of requests.
    :ivar on_time: share with the whole answer as the class asks.
    :ivar late: share with a late answer.
    :ivar first_ms: median and 95th percentile of the time to the first event
        in milliseconds.
    """

    asked: int
    on_time: float
    late: float
    first_ms: list[int]


class PromptReport(msgspec.Struct):
    """What a play showed.

    :ivar load: name of the load.
    :ivar policy: name of the policy.
    :ivar seed: seed of the load.
    :ivar worth: worth of all answers as a share of what was asked.
    :ivar refused: refusals for each request.
    :ivar prefilled: prompt tokens that engines prefilled, in millions.
    :ivar classes: reports by class.
    """

    load: str
    policy: str
    seed: int
    worth: float
    refused: float
    prefilled: float
    classes: dict[str, ClassReport]


@dataclass(slots=True)
class _Play:
    load: Load
    hub: VirtualHub
    hosts: list[EmulatedHost]
    engines: dict[str, EmulatedEngine]
    source: random.Random
    calls: list[Call] = field(default_factory=list)

    def run(self, arrivals: list[Arrival]) -> None:
        """Let all requests arrive and end."""
        self._publish()
        for start, end in self.load.list_crashes():
            eventlet.spawn_after(start, self._lose, end - start)
        tasks = []
        for arrival in arrivals:
            eventlet.sleep(max(0, arrival.at - self.hub.now))
            call = Call(arrival)
            self.calls.append(call)
            tasks.append(eventlet.spawn(self._call, call))
        for task in tasks:
            task.wait()

    def _lose(self, length_s: float) -> None:
        engine = next(iter(self.engines.values()))
        engine.lose()
        eventlet.sleep(_LIST_LAG_S)
        self._publish()
        eventlet.sleep(length_s)
        engine.start(int(self.hub.now * _MS))
        eventlet.sleep(_LIST_LAG_S)
        self._publish()

    def _publish(self) -> None:
        instances = list_instances(self.engines, SERVICE)
        for host in self.hosts:
            host.replace_instances(instances)

    def _call(self, call: Call) -> None:
        """Send a request, once more if the caller is told to come back."""
        began_at = self.hub.now
        patience_s = call.arrival.request_class.patience_s
        with eventlet.Timeout(patience_s, False):
            retry_s = self._try(call, began_at, patience_s)
            if retry_s is None:
                return
            left_s = patience_s - (self.hub.now - began_at)
            eventlet.sleep(min(retry_s, left_s * _RETURN_SHARE))
            left_s = patience_s - (self.hub.now - began_at)
            self._try(call, began_at, left_s)

    def _try(
        self, call: Call, began_at: float, patience_s: float
    ) -> float | None:
        """Send a request.

        :return: seconds after which the caller may come back, ``None`` when
            it may not.
        """
        host = self.source.choice(self.hosts)
        request = _create_request(call, patience_s, self.hub.now)
        outcome: AdmittedRequest | Refused | ForwardReply
        outcome = host.forwarder.admit(request)
        if isinstance(outcome, AdmittedRequest):
            outcome = host.forwarder.forward(outcome)
        if isinstance(outcome, ForwardReply):
            self._read(call, outcome.chunks, began_at)
            return None
        call.refused += 1
        return outcome.retry_after_s

    def _read(
        self, call: Call, chunks: Iterator[bytes], began_at: float
    ) -> None:
        last_at = None
        try:
            for _ in chunks:
                now = self.hub.now
                if last_at is None:
                    call.first_s = now - began_at
                else:
                    call.pause_s = max(call.pause_s, now - last_at)
                last_at = now
        except IncompleteResponse:
            return
        finally:
            chunks.close()
        call.complete = True


def play_load(name: str, policy: str, seed: int) -> PromptReport:
    """Play a load under a policy.

    :param name: name of the load.
    :param policy: name of the policy.
    :param seed: seed of the load.
    :return: what callers got.
    """
    load = LOADS[name]
    with use_virtual_time() as hub:
        engines = create_engines(load.engines, BatchProfile())
        client = EmulatedClient(engines)
        chosen = PROMPT_POLICIES[policy]
        hosts = create_hosts(load, chosen, client, hub.read_now)
        play = _Play(load, hub, hosts, engines, random.Random(seed))
        play.run(draw_arrivals(load, seed))
        return _report(play, policy, seed)


def _report(play: _Play, policy: str, seed: int) -> PromptReport:
    calls = play.calls
    owed = sum(call.arrival.request_class.worth for call in calls)
    prefilled = sum(
        engine.count_prefilled() for engine in play.engines.values()
    )
    return PromptReport(
        play.load.name,
        policy,
        seed,
        sum(call.measure_worth() for call in calls) / owed,
        sum(call.refused for call in calls) / len(calls),
        prefilled / 1e6,
        {
            entry.name: _report_class(
                [call for call in calls if call.arrival.request_class == entry]
            )
            for entry in play.load.classes
        },
    )


def _report_class(calls: list[Call]) -> ClassReport:
    count = len(calls)
    on_time = sum(call.is_on_time() for call in calls)
    complete = sum(call.complete for call in calls)
    first = sorted(
        call.first_s for call in calls if call.first_s is not None
    ) or [float(0)]
    return ClassReport(
        count,
        on_time / count,
        (complete - on_time) / count,
        [
            round(first[(len(first) - 1) * percentile // 100] * _MS)
            for percentile in _PERCENTILES
        ],
    )


def _create_request(
    call: Call, patience_s: float, now: float
) -> ForwardRequest:
    arrival = call.arrival
    return ForwardRequest(
        request_id=f'{arrival.request_id}-{call.refused}',
        method='POST',
        target=f'/{arrival.request_class.name}/x',
        host_name=HOST_NAME,
        headers=[],
        body=b'',
        key='',
        patience_s=patience_s,
        prompt=arrival.prompt,
        arrived_at=now,
    )
