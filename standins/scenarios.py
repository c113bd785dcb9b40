"""Generates the traces under ``traces`` from scenarios of the users."""

from __future__ import annotations

import random
from dataclasses import dataclass

from standins.traces import (
    Arrival,
    Fault,
    Targets,
    Trace,
    TraceHead,
    save_trace,
)

_MAXIMUM_FACTOR = 4
_PREFIX_COUNT = 12

MAHOE_ORGANISATIONS = (
    ('kingston-parish', 6),
    ('st-andrew-parish', 4),
    ('st-catherine-parish', 4),
    ('portland-parish', 1),
    ('st-thomas-parish', 1),
    ('clarendon-parish', 1),
    ('manchester-parish', 1),
    ('st-mary-parish', 1),
    ('st-ann-parish', 1),
    ('trelawny-parish', 1),
)
SOUSSE_ORGANISATIONS = (
    ('port-desk', 6),
    ('station-desk', 4),
    ('airport-desk', 5),
    ('hotel-marhaba', 1),
    ('hotel-el-mouradi', 1),
    ('hotel-movenpick', 1),
    ('hotel-jaz', 1),
    ('hotel-kanta', 1),
    ('hotel-riadh', 1),
    ('hotel-justinia', 1),
)


@dataclass(slots=True, frozen=True)
class Flow:
    """Requests of one class that arrive randomly at a constant mean rate.

    :ivar class_name: class of the requests.
    :ivar rate: mean requests per second.
    :ivar start: start in seconds since the start of the trace.
    :ivar end: end in seconds since the start of the trace.
    :ivar prompt: mean tokens of a prompt.
    :ivar output: mean tokens of an output.
    :ivar organisation: organisation of all requests, empty for a mix.
    """

    class_name: str
    rate: float
    start: float
    end: float
    prompt: int
    output: int
    organisation: str = ''


@dataclass(slots=True, frozen=True)
class Scenario:
    """The description from which a trace is generated.

    :ivar head: first line of the trace.
    :ivar flows: flows of requests.
    :ivar faults: faults.
    :ivar seed: random seed of arrivals and lengths.
    """

    head: TraceHead
    flows: tuple[Flow, ...]
    faults: tuple[Fault, ...] = ()
    seed: int = 1


def build_trace(scenario: Scenario) -> Trace:
    """Generate the trace of a scenario.

    :param scenario: the scenario.
    :return: the trace.
    """
    source = random.Random(scenario.seed)
    organisations = MAHOE_ORGANISATIONS
    if scenario.head.service.startswith('sousse'):
        organisations = SOUSSE_ORGANISATIONS
    events: list[Arrival | Fault] = list(scenario.faults)
    for flow in scenario.flows:
        events.extend(_draw_flow(flow, organisations, source))
    events.sort(key=lambda event: event.at)
    return Trace(scenario.head, tuple(events))


def _draw_flow(
    flow: Flow,
    organisations: tuple[tuple[str, int], ...],
    source: random.Random,
) -> list[Arrival]:
    names = [name for name, _ in organisations]
    weights = [weight for _, weight in organisations]
    arrivals = []
    at = flow.start + source.expovariate(flow.rate)
    while at < flow.end:
        organisation = flow.organisation
        if not organisation:
            organisation = source.choices(names, weights)[0]
        arrivals.append(
            Arrival(
                round(at, 3),
                flow.class_name,
                organisation,
                _draw_length(flow.prompt, source),
                _draw_length(flow.output, source),
                source.randrange(_PREFIX_COUNT + 1) if flow.prompt > 512 else 0,
            )
        )
        at += source.expovariate(flow.rate)
    return arrivals


def _draw_length(mean: int, source: random.Random) -> int:
    length = round(source.expovariate(1 / mean))
    return max(1, min(length, mean * _MAXIMUM_FACTOR))


def _head(
    name: str, about: str, stated: Targets, *, sousse: bool = False
) -> TraceHead:
    if sousse:
        return TraceHead(
            name=name,
            about=about,
            service='sousse-luggage',
            document='sousse-luggage.yaml',
            engines=6,
            hosts=8,
            stated=stated,
        )
    return TraceHead(
        name=name,
        about=about,
        service='blue-mahoe-claims',
        document='blue-mahoe-claims.yaml',
        engines=5,
        hosts=8,
        stated=stated,
    )


def _mahoe(
    name: str,
    about: str,
    stated: Targets,
    flows: tuple[Flow, ...],
    faults: tuple[Fault, ...] = (),
) -> Scenario:
    return Scenario(_head(name, about, stated), flows, faults)


def _counter(rate: float, start: float, end: float) -> Flow:
    return Flow('counter', rate, start, end, 150, 40)


def _summary(rate: float, start: float, end: float) -> Flow:
    return Flow('summary', rate, start, end, 1500, 200)


def _files(rate: float, start: float, end: float) -> Flow:
    return Flow('claim-file', rate, start, end, 5000, 400)


def _drafts(rate: float, start: float, end: float) -> Flow:
    return Flow('overnight-draft', rate, start, end, 4000, 500)


def list_scenarios() -> list[Scenario]:
    """List the scenarios of all recorded traces."""
    usual = (_counter(8, 0, 120), _summary(1, 0, 120), _files(1.5, 0, 120))
    top = {'counter': 0.99}
    degraded = {'counter': 0.97}
    served = {'counter': 20.0, 'summary': 30.0, 'claim-file': 30.0}
    calm = Targets(
        attainment=top, served_within_s=served, goodput=0.95, wasted=0.01
    )
    faulty = Targets(
        attainment=degraded, served_within_s=served, goodput=0.9, wasted=0.03
    )
    return [
        Scenario(
            _head(
                'ferry-docks',
                'A ferry docks twice; desk checks triple for 15 s.',
                Targets(
                    attainment={'desk-check': 0.99},
                    served_within_s={
                        'manifest-summary': 30.0,
                        'concierge-status': 30.0,
                    },
                    goodput=0.95,
                    wasted=0.01,
                ),
                sousse=True,
            ),
            (
                Flow('desk-check', 14, 0, 120, 120, 30),
                Flow('desk-check', 28, 40, 55, 120, 30),
                Flow('desk-check', 28, 90, 105, 120, 30),
                Flow('manifest-summary', 5, 0, 120, 900, 150),
                Flow('concierge-status', 12, 0, 120, 200, 60),
            ),
        ),
        _mahoe(
            'counter-fills',
            'The counter fills while claim files keep all engines busy.',
            calm,
            (
                _counter(10, 0, 120),
                _counter(25, 40, 60),
                _counter(25, 90, 105),
                _summary(1, 0, 120),
                _files(6, 0, 120),
            ),
        ),
        _mahoe(
            'organisation-floods',
            'One organisation sends ten times its usual counter questions.',
            Targets(served_within_s=served, goodput=0.95, wasted=0.01),
            (
                *usual,
                Flow('counter', 90, 30, 60, 150, 40, 'trelawny-parish'),
            ),
        ),
        _mahoe(
            'engine-slow',
            'One engine runs at a quarter of its speed from 30 s to 90 s.',
            faulty,
            (_counter(20, 0, 120), _summary(1, 0, 120), _files(2, 0, 120)),
            (Fault(30, 'speed', 2, 0.25), Fault(90, 'speed', 2, 1)),
        ),
        _mahoe(
            'engine-crash',
            'One engine crashes with streams running and returns later.',
            faulty,
            (_counter(20, 0, 120), _summary(1, 0, 120), _files(2, 0, 120)),
            (Fault(40, 'crash', 1), Fault(80, 'restart', 1)),
        ),
        _mahoe(
            'stale-reports',
            'Load reports are 5 s old and one engine always reports idle.',
            calm,
            (_counter(20, 0, 120), _summary(1, 0, 120), _files(3, 0, 120)),
            (
                Fault(0, 'lag', 0, 5),
                Fault(0, 'lag', 1, 5),
                Fault(0, 'lag', 2, 5),
                Fault(0, 'lag', 3, 5),
                Fault(0, 'lie', 4, 1),
            ),
        ),
        _mahoe(
            'allocator-dies',
            'The allocator is killed in the middle of a burst.',
            faulty,
            (
                _counter(10, 0, 120),
                _counter(25, 40, 60),
                _summary(1, 0, 120),
                _files(3, 0, 120),
            ),
            (Fault(48, 'kill-allocator'),),
        ),
        _mahoe(
            'overnight-drafts',
            'Drafts and files under counter load that never ends.',
            Targets(
                attainment={},
                served_within_s={
                    'counter': 20.0,
                    'claim-file': 60.0,
                    'overnight-draft': 60.0,
                },
                goodput=0.95,
                wasted=0.01,
            ),
            (
                _counter(70, 0, 120),
                _files(0.5, 0, 120),
                _drafts(1, 0, 120),
            ),
        ),
        _mahoe(
            'two-faults',
            'An engine crashes and the allocator is killed a second later.',
            faulty,
            (_counter(18, 0, 120), _summary(1, 0, 120), _files(2, 0, 120)),
            (
                Fault(40, 'crash', 1),
                Fault(41, 'kill-allocator'),
                Fault(80, 'restart', 1),
            ),
        ),
        _mahoe(
            'overload',
            'Three times what the engines can do, in every class.',
            Targets(served_within_s=served, goodput=0.95, wasted=0.01),
            (_counter(60, 0, 90), _summary(4, 0, 90), _files(6, 0, 90)),
        ),
        *(_create_mix(seed) for seed in (1, 2, 3)),
    ]


def _create_mix(seed: int) -> Scenario:
    source = random.Random(seed)
    faults = (
        Fault(30, 'speed', source.randrange(5), source.uniform(0.25, 0.8)),
        Fault(60, 'crash', source.randrange(5)),
        Fault(90, 'kill-host', source.randrange(8)),
    )
    stated = Targets(
        served_within_s={'counter': 20.0, 'claim-file': 60.0},
        goodput=0.9,
        wasted=0.03,
    )
    flows = (
        _counter(source.uniform(5, 25), 0, 120),
        _counter(source.uniform(5, 30), 50, 70),
        _summary(source.uniform(0.5, 3), 0, 120),
        _files(source.uniform(0.5, 5), 0, 120),
        _drafts(source.uniform(0.1, 1), 0, 120),
    )
    head = _head(f'mix-{seed}', f'A random mix with seed {seed}.', stated)
    return Scenario(head, flows, faults, seed)


def main() -> None:
    """Generate and write all traces."""
    for scenario in list_scenarios():
        save_trace(build_trace(scenario))


if __name__ == '__main__':
    main()
