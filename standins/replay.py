"""Replays a trace through the real coordination code on virtual time."""

from __future__ import annotations

import json
from collections import Counter, defaultdict
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any

import eventlet
import msgspec

from egretdale.coordination import allocation
from egretdale.state.documents import ServiceDocument, parse_document
from egretdale.state.outcomes import Refused
from standins.baselines import POLICIES
from standins.bounds import compute_deliverable_bound, compute_cost
from standins.models.engine import EngineProfile
from standins.traces import Arrival, Fault, Trace
from standins.virtual.backends import VirtualWork
from standins.virtual.hub import use_virtual_time
from standins.virtual.world import (
    RequestResult,
    SimulatedRequest,
    World,
    WorldPlan,
)

_EXAMPLES = Path(__file__).resolve().parent.parent / 'examples'
_WARM_UP_S = 3.0
_DRAIN_S = 900.0
_PREFIX_TOKENS = 400


class ClassReport(msgspec.Struct):
    """The results of one request class.

    :ivar offered: requests made.
    :ivar whole: complete responses.
    :ivar attained: complete responses whose first token met the target.
    :ivar attainment: fraction of the offered requests that attained.
    :ivar refused: refusals by reason.
    :ivar longest_gap_s: longest time in seconds for which a request waited
        while no response of the class started or ended.
    :ivar returned: callers that retried at the time that a refusal gave.
    :ivar served: callers whose retry got a complete response.
    """

    offered: int = 0
    whole: int = 0
    attained: int = 0
    attainment: float = float(0)
    refused: dict[str, int] = {}
    longest_gap_s: float = float(0)
    returned: int = 0
    served: int = 0


class TraceReport(msgspec.Struct):
    """The results of a trace under a policy.

    :ivar trace: name of the trace.
    :ivar policy: name of the policy.
    :ivar classes: results by class.
    :ivar goodput_tokens: tokens of complete responses.
    :ivar goodput: work of complete responses, as a fraction of the work that
        the engines could have delivered.
    :ivar wasted: fraction of the generated tokens that are not part of a
        complete response.
    :ivar unfair: refusals of requests that waited while a lower tier got a
        slot beyond its minimum share.
    :ivar unended: requests without any outcome.
    :ivar cut: answered requests with missing or extra events.
    """

    trace: str
    policy: str
    classes: dict[str, ClassReport]
    goodput_tokens: int
    goodput: float
    wasted: float
    unfair: int
    unended: int
    cut: int


@dataclass(slots=True, frozen=True)
class Decision:
    """A decision that an allocator logged.

    :ivar at: virtual seconds.
    :ivar event: ``grant``, ``refuse``, ``pause`` or ``resume``.
    :ivar fields: fields of the log line.
    """

    at: float
    event: str
    fields: dict[str, Any]


class DecisionLog:
    """Logger that collects the decisions of allocators.

    :ivar decisions: decisions in the order in which they were made.
    """

    __slots__ = ('_clock', 'decisions')

    def __init__(self, clock: Any) -> None:
        """Create an empty log.

        :param clock: virtual clock.
        """
        self._clock = clock
        self.decisions: list[Decision] = []

    def info(self, event: str, **fields: Any) -> None:
        """Record a log line as a decision."""
        self.decisions.append(Decision(self._clock(), event, fields))


@contextmanager
def record_decisions(clock: Any) -> Iterator[DecisionLog]:
    """Replace the logger of allocators to record their decisions.

    :param clock: virtual clock.
    :return: context manager that returns the log.
    """
    previous = allocation.logger
    log = DecisionLog(clock)
    allocation.logger = log
    try:
        yield log
    finally:
        allocation.logger = previous


def replay(
    trace: Trace, policy: str, *, comes_back: bool = False
) -> TraceReport:
    """Replay a trace on virtual time.

    :param trace: the trace.
    :param policy: name of the policy of slot allocation.
    :param comes_back: whether refused callers retry once, at the time that
        the refusal gave.
    :return: the results.
    """
    text = (_EXAMPLES / trace.head.document).read_text()
    document = parse_document(text.encode())
    if not isinstance(document, ServiceDocument):
        raise TypeError(document)
    plan = WorldPlan(
        {trace.head.service: text},
        {trace.head.service: trace.head.engines},
        hosts=trace.head.hosts,
    )
    with use_virtual_time() as hub, record_decisions(hub.read_now) as log:
        world = World(plan, hub.read_now)
        world.replace_slot_clients(POLICIES[policy])
        eventlet.sleep(_WARM_UP_S)
        pool = eventlet.GreenPool(100000)
        for event in trace.events:
            eventlet.sleep(max(0, _WARM_UP_S + event.at - hub.now))
            match event:
                case Arrival():
                    demand = _create_request(trace, event)
                    demand = replace(demand, comes_back=comes_back)
                    pool.spawn_n(world.send, demand)
                case Fault():
                    _apply_fault(world, trace, event)
        with eventlet.Timeout(_DRAIN_S, False):
            pool.waitall()
        return _build_report(trace, policy, document, world, log)


def _create_request(trace: Trace, arrival: Arrival) -> SimulatedRequest:
    prefix_tokens = _PREFIX_TOKENS if arrival.prefix else 0
    work = VirtualWork(
        arrival.prompt,
        arrival.output,
        arrival.prefix,
        min(prefix_tokens, arrival.prompt),
        f'{arrival.at}',
    )
    return SimulatedRequest(
        f'{arrival.at}/{arrival.class_name}/{arrival.organisation}',
        trace.head.service,
        arrival.class_name,
        arrival.organisation,
        work,
    )


def _apply_fault(world: World, trace: Trace, fault: Fault) -> None:
    engine = world.backends.get(f'{trace.head.service}-{fault.target}')
    match fault.name:
        case 'speed' if engine:
            engine.set_speed(fault.amount)
        case 'crash' if engine:
            engine.crash()
        case 'restart' if engine:
            engine.down = False
        case 'lag' if engine:
            engine.lag_s = fault.amount
        case 'lie' if engine:
            engine.lying = bool(fault.amount)
        case 'kill-host':
            world.kill_host(f'host-{fault.target}')
        case 'kill-allocator':
            owner = world.find_allocator(f'{trace.head.service}/0')
            world.kill_host(owner or 'host-0')


def _build_report(
    trace: Trace,
    policy: str,
    document: ServiceDocument,
    world: World,
    log: DecisionLog,
) -> TraceReport:
    by_class: dict[str, list[RequestResult]] = defaultdict(list)
    for ending in world.endings:
        by_class[ending.demand.class_name].append(ending)
    classes = {}
    for request_class in document.classes:
        endings = by_class[request_class.name]
        if endings:
            target_s = request_class.first_token_ms / 1000
            classes[request_class.name] = _report_class(endings, target_s)
    whole = [ended for ended in world.endings if ended.is_whole()]
    delivered = sum(ended.demand.work.output for ended in whole)
    generated = world.count_generated()
    arrivals = sum(1 for event in trace.events if isinstance(event, Arrival))
    lost = sum(1 for ended in world.endings if ended.outcome is None)
    cut = sum(
        1 for ended in whole if ended.events != ended.demand.work.output + 1
    )
    return TraceReport(
        trace.head.name,
        policy,
        classes,
        delivered,
        round(_measure_goodput(trace, document, whole), 4),
        round((generated - delivered) / max(1, generated), 4),
        _count_unfair(document, log),
        arrivals - len(world.endings) + lost,
        cut,
    )


def _report_class(endings: list[RequestResult], target_s: float) -> ClassReport:
    whole = [ended for ended in endings if ended.is_whole()]
    attained = sum(
        1
        for ended in whole
        if ended.first_s is not None and ended.first_s <= target_s
    )
    reasons = Counter(
        str(ended.outcome.reason)
        for ended in endings
        if isinstance(ended.outcome, Refused)
    )
    return ClassReport(
        len(endings),
        len(whole),
        attained,
        round(attained / len(endings), 4),
        dict(reasons),
        round(_find_longest_gap(endings), 1),
        sum(ended.returned_s is not None for ended in endings),
        sum(ended.returned_s is not None for ended in whole),
    )


def _find_longest_gap(endings: list[RequestResult]) -> float:
    answered = [ended for ended in endings if ended.first_s is not None]
    firsts = [ended.started_at + (ended.first_s or 0) for ended in answered]
    ends = [ended.ended_at for ended in answered]
    served = sorted([*firsts, *ends])
    longest = float(0)
    first = min(ended.started_at for ended in endings)
    last = max(ended.started_at for ended in endings)
    marks = [first, *(at for at in served if first <= at <= last)]
    starts = sorted(ended.started_at for ended in endings)
    for before, after in zip(marks, [*marks[1:], last], strict=True):
        asked = [at for at in starts if before < at < after]
        if asked:
            longest = max(longest, after - asked[0])
    return longest


def _measure_goodput(
    trace: Trace, document: ServiceDocument, whole: list[RequestResult]
) -> float:
    profile = EngineProfile()
    done = float(0)
    for ending in whole:
        work = ending.demand.work
        done += compute_cost(work.prompt, work.output, profile)
    return done / compute_deliverable_bound(trace, document, profile)


def _count_unfair(document: ServiceDocument, log: DecisionLog) -> int:
    tiers = {entry.name: entry.tier for entry in document.classes}
    grants = [
        decision
        for decision in log.decisions
        if decision.event == 'grant'
        and decision.fields['reason'] != 'minimum-share'
    ]
    unfair = 0
    for refusal in log.decisions:
        if refusal.event != 'refuse':
            continue
        tier = tiers[refusal.fields['request_class']]
        waited_s = refusal.fields.get('waited_ms', 0) / 1000
        arrived = refusal.at - waited_s
        unfair += any(
            arrived < grant.at <= refusal.at
            and tiers[grant.fields['request_class']] > tier
            for grant in grants
        )
    return unfair


def format_report(report: TraceReport) -> str:
    """Format a report as text, with one line for each class.

    :param report: the report.
    :return: lines of text.
    """
    lines = [
        f'{report.trace} / {report.policy}: goodput {report.goodput:.3f} '
        f'({report.goodput_tokens} tokens), wasted {report.wasted:.4f}, '
        f'unfair {report.unfair}, unended {report.unended}, cut {report.cut}',
    ]
    for name, entry in report.classes.items():
        refused = json.dumps(entry.refused) if entry.refused else '-'
        lines.append(
            f'  {name:17} offered {entry.offered:5} whole {entry.whole:5} '
            f'attainment {entry.attainment:.4f} '
            f'gap {entry.longest_gap_s:6.1f} s refused {refused}'
            f' came back {entry.returned} served {entry.served}'
        )
    return '\n'.join(lines)


def find_misses(trace: Trace, report: TraceReport) -> list[str]:
    """Compare a report with the targets of its trace.

    :param trace: the trace.
    :param report: the report.
    :return: one line for each target that was missed.
    """
    stated = trace.head.stated
    misses = []
    for name, entry in report.classes.items():
        least = stated.attainment.get(name, 0)
        if entry.attainment < least:
            misses.append(f'{name} attainment {entry.attainment} below {least}')
        longest = stated.served_within_s.get(name, _DRAIN_S)
        if entry.longest_gap_s > longest:
            misses.append(f'{name} not served for {entry.longest_gap_s} s')
    if report.goodput < stated.goodput:
        misses.append(f'goodput {report.goodput} below {stated.goodput}')
    if report.wasted > stated.wasted:
        misses.append(f'wasted {report.wasted} above {stated.wasted}')
    broken = report.unfair + report.unended + report.cut
    if broken:
        misses.append(f'{broken} unfair, unended or cut requests')
    return misses
