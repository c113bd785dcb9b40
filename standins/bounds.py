"""Upper bounds on the work that engines can deliver in a trace."""

from __future__ import annotations

from dataclasses import dataclass

from egretdale.state.documents import ServiceDocument
from standins.models.engine import EngineProfile
from standins.traces import Arrival, Fault, Trace


def compute_cost(prompt: int, output: int, profile: EngineProfile) -> float:
    """Compute the engine time that a request takes in a full batch.

    :param prompt: tokens of the prompt.
    :param output: tokens of the output.
    :param profile: speed and limits of the engine.
    :return: engine-seconds.
    """
    slowdown = 1 + profile.batch_penalty * (profile.sequences - 1)
    batch_rate = profile.sequences * profile.decode_rate / slowdown
    # During a prefill the other streams still decode, at a reduced rate.
    prefill_s = prompt / profile.prefill_rate * (1 - profile.prefill_share)
    return prefill_s + output / batch_rate


@dataclass(slots=True)
class _Work:
    expiry: float
    cost: float


def compute_deliverable_bound(
    trace: Trace, document: ServiceDocument, profile: EngineProfile
) -> float:
    """Compute an upper bound on the work that can be done before it expires.

    Work is treated as infinitely divisible. In each second, the engines do
    the work that expires first.

    :param trace: the trace.
    :param document: document with the patience of each class.
    :param profile: speed and limits of the engines.
    :return: bound in engine-seconds.
    """
    patience = {entry.name: entry.patience_s for entry in document.classes}
    waiting: list[_Work] = []
    done = float(0)
    second = 0
    last = int(trace.events[-1].at)
    while second <= last or waiting:
        for event in trace.events:
            if isinstance(event, Arrival) and int(event.at) == second:
                expiry = event.at + patience[event.class_name]
                cost = compute_cost(event.prompt, event.output, profile)
                waiting.append(_Work(expiry, cost))
        waiting = [work for work in waiting if work.expiry >= second]
        waiting.sort(key=_read_expiry)
        done += _serve(waiting, count_engines(trace, second))
        waiting = [work for work in waiting if work.cost > 0]
        second += 1
    return done


def count_engines(trace: Trace, second: int) -> float:
    """Count the running engines, each weighted by its speed.

    :param trace: the trace.
    :param second: seconds since the start.
    :return: number of engines at full speed that do the same work.
    """
    speeds = dict.fromkeys(range(trace.head.engines), float(1))
    for event in trace.events:
        if event.at > second:
            break
        match event:
            case Fault(name='speed'):
                speeds[event.target] = event.amount
            case Fault(name='crash'):
                speeds[event.target] = float(0)
            case Fault(name='restart'):
                speeds[event.target] = float(1)
    return sum(speeds.values())


def _read_expiry(work: _Work) -> float:
    return work.expiry


def _serve(waiting: list[_Work], capacity: float) -> float:
    done = float(0)
    for work in waiting:
        share = min(capacity - done, work.cost)
        work.cost -= share
        done += share
    return done
