"""Simulates workloads of prompts under policies and reports the results."""

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
from standins.emulation.loads import Arrival, Workload, draw_arrivals
from standins.emulation.policies import PROMPT_POLICIES
from standins.emulation.workloads import WORKLOADS
from standins.virtual.hub import VirtualHub, use_virtual_time

#: Seconds until hosts learn that an engine has crashed or started.
_DISCOVERY_DELAY_S = 0.3
#: Callers wait at most this share of their remaining time before a retry.
_RETRY_WAIT_SHARE = 1 / 3
_MS = 1000.0
_PERCENTILES = (50, 95)


@dataclass(slots=True)
class CallResult:
    """The result of a caller's request.

    :ivar arrival: its request.
    :ivar first_event_s: seconds to the first event, ``None`` if there was none.
    :ivar pause_s: longest pause between events in seconds.
    :ivar complete: whether all events arrived.
    :ivar refused: number of refusals.
    """

    arrival: Arrival
    first_event_s: float | None = None
    pause_s: float = 0
    complete: bool = False
    refused: int = 0

    def is_on_time(self) -> bool:
        """Tell whether the response was complete and met its targets."""
        request_class = self.arrival.request_class
        if not self.complete or self.first_event_s is None:
            return False
        in_time = self.first_event_s <= request_class.target_s
        return in_time and self.pause_s <= request_class.pause_s

    def measure_worth(self) -> float:
        """Compute the value of the response to the caller."""
        request_class = self.arrival.request_class
        if self.is_on_time():
            return request_class.worth
        return request_class.late_worth if self.complete else 0


class ClassReport(msgspec.Struct):
    """Results of the callers of a class.

    :ivar asked: number of requests.
    :ivar on_time: share of requests whose complete response met its targets.
    :ivar late: share of requests whose complete response missed a target.
    :ivar longest_served: share of the tenth of requests with the longest
        prompts whose response was complete.
    :ivar first_ms: median and 95th percentile of the time to the first event
        in milliseconds.
    """

    asked: int
    on_time: float
    late: float
    longest_served: float
    first_ms: list[int]


class PromptReport(msgspec.Struct):
    """Results of a simulation.

    :ivar load: name of the workload.
    :ivar policy: name of the policy.
    :ivar seed: random seed.
    :ivar worth: value of all responses as a share of the maximum.
    :ivar refused: mean number of refusals for each request.
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
class _Simulation:
    workload: Workload
    hub: VirtualHub
    hosts: list[EmulatedHost]
    engines: dict[str, EmulatedEngine]
    source: random.Random
    calls: list[CallResult] = field(default_factory=list)

    def run(self, arrivals: list[Arrival]) -> None:
        """Send all requests and wait until they have ended."""
        self._publish_instances()
        for start, end in self.workload.list_crashes():
            eventlet.spawn_after(start, self._crash_engine, end - start)
        tasks = []
        for arrival in arrivals:
            eventlet.sleep(max(0, arrival.at - self.hub.now))
            call = CallResult(arrival)
            self.calls.append(call)
            tasks.append(eventlet.spawn(self._send_with_retry, call))
        for task in tasks:
            task.wait()

    def _crash_engine(self, downtime_s: float) -> None:
        engine = next(iter(self.engines.values()))
        engine.crash()
        eventlet.sleep(_DISCOVERY_DELAY_S)
        self._publish_instances()
        eventlet.sleep(downtime_s)
        engine.start(int(self.hub.now * _MS))
        eventlet.sleep(_DISCOVERY_DELAY_S)
        self._publish_instances()

    def _publish_instances(self) -> None:
        instances = list_instances(self.engines, SERVICE)
        for host in self.hosts:
            host.replace_instances(instances)

    def _send_with_retry(self, call: CallResult) -> None:
        """Send a request, and once more if the refusal has a retry time."""
        started_at = self.hub.now
        patience_s = call.arrival.request_class.patience_s
        with eventlet.Timeout(patience_s, False):
            retry_s = self._send(call, started_at, patience_s)
            if retry_s is None:
                return
            left_s = patience_s - (self.hub.now - started_at)
            eventlet.sleep(min(retry_s, left_s * _RETRY_WAIT_SHARE))
            left_s = patience_s - (self.hub.now - started_at)
            self._send(call, started_at, left_s)

    def _send(
        self, call: CallResult, started_at: float, patience_s: float
    ) -> float | None:
        """Send a request.

        :return: seconds after which the caller may retry, ``None`` if it may
            not.
        """
        host = self.source.choice(self.hosts)
        request = _create_request(call, patience_s, self.hub.now)
        outcome: AdmittedRequest | Refused | ForwardReply
        outcome = host.forwarder.admit(request)
        if isinstance(outcome, AdmittedRequest):
            outcome = host.forwarder.forward(outcome)
        if isinstance(outcome, ForwardReply):
            self._read_response(call, outcome.chunks, started_at)
            return None
        call.refused += 1
        return outcome.retry_after_s

    def _read_response(
        self, call: CallResult, chunks: Iterator[bytes], started_at: float
    ) -> None:
        last_at = None
        try:
            for _ in chunks:
                now = self.hub.now
                if last_at is None:
                    call.first_event_s = now - started_at
                else:
                    call.pause_s = max(call.pause_s, now - last_at)
                last_at = now
        except IncompleteResponse:
            return
        finally:
            chunks.close()
        call.complete = True


def simulate_workload(name: str, policy: str, seed: int) -> PromptReport:
    """Simulate a workload under a policy.

    :param name: name of the workload.
    :param policy: name of the policy.
    :param seed: random seed.
    :return: results of the callers.
    """
    workload = WORKLOADS[name]
    with use_virtual_time() as hub:
        engines = create_engines(
            workload.engines, workload.profile, workload.slowness
        )
        client = EmulatedClient(engines)
        chosen = PROMPT_POLICIES[policy]
        hosts = create_hosts(workload, chosen, client, hub.read_now)
        simulation = _Simulation(
            workload, hub, hosts, engines, random.Random(seed)
        )
        simulation.run(draw_arrivals(workload, seed))
        return _create_report(simulation, policy, seed)


def _create_report(
    simulation: _Simulation, policy: str, seed: int
) -> PromptReport:
    calls = simulation.calls
    total = sum(call.arrival.request_class.worth for call in calls)
    prefilled = sum(
        engine.count_prefilled() for engine in simulation.engines.values()
    )
    return PromptReport(
        simulation.workload.name,
        policy,
        seed,
        sum(call.measure_worth() for call in calls) / total,
        sum(call.refused for call in calls) / len(calls),
        prefilled / 1e6,
        {
            entry.name: _create_class_report(
                [call for call in calls if call.arrival.request_class == entry]
            )
            for entry in simulation.workload.classes
        },
    )


def _create_class_report(calls: list[CallResult]) -> ClassReport:
    count = len(calls)
    on_time = sum(call.is_on_time() for call in calls)
    complete = sum(call.complete for call in calls)
    by_length = sorted(calls, key=lambda call: -call.arrival.prompt.tokens)
    longest = by_length[: count // 10]
    first = sorted(
        call.first_event_s for call in calls if call.first_event_s is not None
    ) or [float(0)]
    return ClassReport(
        count,
        on_time / count,
        (complete - on_time) / count,
        sum(call.complete for call in longest) / max(1, len(longest)),
        [
            round(first[(len(first) - 1) * percentile // 100] * _MS)
            for percentile in _PERCENTILES
        ],
    )


def _create_request(
    call: CallResult, patience_s: float, now: float
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
