"""Bounds on what engines could have delivered in a trace."""

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
    # During a prefill the other streams go on at a part of their rate.
    prefill_s = prompt / profile.prefill_rate * (1 - profile.prefill_share)
    return prefill_s + output / batch_rate


@dataclass(slots=True)
class _Work:
    expiry: float
    cost: float


def bound_deliverable(
    trace: Trace, document: ServiceDocument, profile: EngineProfile
) -> float:
    """Bound the work that could be done before it expires.

    Work is a fluid here: each second the engines do what expires first.

    :param trace: the trace.
    :param document: document with the patience of each class.
    :param profile: speed and limits of the engines.
    :return: engine-seconds.
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
    """Count the engines that run, slow ones in part.

    :param trace: the trace.
    :param second: seconds since the start.
    :return: engines.
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


def _serve(waiting: list[_Work], room: float) -> float:
    done = float(0)
    for work in waiting:
        share = min(room - done, work.cost)
        work.cost -= share
        done += share
    return done
