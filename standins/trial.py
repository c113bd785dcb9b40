"""Runs a complete system, sends requests and checks their outcomes."""

from __future__ import annotations

from egretdale.util import greening  # noqa: F401, I001

import random
import sys
import time
from collections import Counter
from pathlib import Path

import click
import eventlet

from standins.callers import Call, Caller, CallOutcome
from standins.fleet import Fleet, FleetPlan

_EXAMPLES = Path(__file__).resolve().parent.parent / 'examples'
_LOAD_S = 10.0
_STOP_TIMEOUT_S = 40.0


def create_plan(hosts: int) -> FleetPlan:
    """Plan the systems of both example users at their current size.

    :param hosts: number of entry hosts.
    :return: the plan.
    """
    return FleetPlan(
        hosts=hosts,
        engines={'blue-mahoe-claims': 5, 'sousse-luggage': 6},
        plain={'blue-mahoe-web': 3, 'sousse-messages': 3},
        settings={'answer_lifetime_s': 2.0, 'drain_limit_s': 30.0},
    )


def create_calls(source: random.Random, count: int) -> list[Call]:
    """Create a random mix of calls of both example users.

    :param source: random source.
    :param count: number of calls.
    :return: the calls.
    """
    kinds = [
        ('blue-mahoe-claims', 'counter', 'kingston-parish', 150, 40),
        ('blue-mahoe-claims', 'summary', 'st-andrew-parish', 1500, 60),
        ('blue-mahoe-claims', 'claim-file', 'portland-parish', 5000, 120),
        ('sousse-luggage', 'desk-check', 'port-desk', 120, 30),
        ('sousse-luggage', 'manifest-summary', 'airport-desk', 900, 60),
        ('sousse-luggage', 'concierge-status', 'hotel-jaz', 200, 40),
        ('blue-mahoe-web', '/references', '', 0, 0),
        ('sousse-messages', '/notices', '', 0, 0),
    ]
    weights = [30, 8, 4, 30, 8, 10, 20, 20]
    calls = []
    for index in range(count):
        kind = source.choices(kinds, weights)[0]
        service, name, organisation, prompt, output = kind
        identity = f'trial-{index}'
        if prompt:
            call = Call(identity, service, name, organisation, prompt, output)
        else:
            call = Call(identity, service, path=name, keyed=index % 2 == 0)
        calls.append(call)
    return calls


def run_calls(
    caller: Caller, calls: list[Call], duration_s: float
) -> list[CallOutcome]:
    """Make calls that start evenly over a period.

    :param caller: the caller.
    :param calls: the calls.
    :param duration_s: seconds over which they start.
    :return: their outcomes.
    """
    pool = eventlet.GreenPool(len(calls))
    threads = []
    pause_s = duration_s / len(calls)
    for call in calls:
        threads.append(pool.spawn(caller.make, call))
        eventlet.sleep(pause_s)
    return [thread.wait() for thread in threads]


def print_outcomes(outcomes: list[CallOutcome]) -> None:
    """Print the outcomes of calls by class.

    :param outcomes: the outcomes.
    """
    kinds: Counter[tuple[str, str]] = Counter()
    slowest: dict[str, float] = {}
    for outcome in outcomes:
        name = outcome.call.request_class or outcome.call.path
        kinds[name, outcome.kind] += 1
        slowest[name] = max(slowest.get(name, 0), outcome.first_s)
    click.echo(
        f'{"class":20} {"whole":>7} {"refused":>7} {"broken":>7} slowest'
    )
    for name in sorted(slowest):
        counts = [kinds[name, kind] for kind in ('whole', 'refused', 'broken')]
        columns = ' '.join(f'{count:7}' for count in counts)
        click.echo(f'{name:20} {columns} {slowest[name]:.3f} s')


def _provoke_refusal(fleet: Fleet, caller: Caller) -> CallOutcome:
    # A burst of one organisation overloads its class, so calls are refused.
    burst = [
        Call(
            f'burst-{index}',
            'blue-mahoe-claims',
            'counter',
            'trelawny-parish',
            200,
            150,
        )
        for index in range(250)
    ]
    outcomes = run_calls(caller, burst, 0.5)
    refused = [outcome for outcome in outcomes if outcome.kind == 'refused']
    print_outcomes(outcomes)
    return refused[0] if refused else outcomes[0]


def _count_repeated_runs(fleet: Fleet) -> int:
    runs: Counter[str] = Counter()
    for name, running in fleet.backends.items():
        if name.startswith(('blue-mahoe-web', 'sousse-messages')):
            runs.update(fleet.post(running.address, '/admin/runs', {}))
    return sum(1 for count in runs.values() if count > 1)


@click.command()
@click.option('--hosts', default=3, help='Number of entry hosts.')
@click.option('--seed', default=1, help='Random seed of the requests.')
def main(hosts: int, seed: int) -> None:
    """Run the complete system under load for about ten seconds.

    \f
    :param hosts: number of entry hosts.
    :param seed: random seed of the requests.
    """
    source = random.Random(seed)
    fleet = Fleet(create_plan(hosts))
    started_at = time.monotonic()
    try:
        problems = _run(fleet, source)
    finally:
        fleet.close()
    click.echo(f'took {time.monotonic() - started_at:.1f} s')
    for problem in problems:
        click.echo(f'PROBLEM: {problem}')
    sys.exit(1 if problems else 0)


def _run(fleet: Fleet, source: random.Random) -> list[str]:
    problems: list[str] = []
    fleet.start()
    for path in sorted(_EXAMPLES.glob('*.yaml')):
        status = fleet.submit(path)
        click.echo(f'submitted {path.name}: exit {status}')
        if status:
            problems.append(f'{path.name} was not accepted')
    seeds = [running.address for running in fleet.hosts.values()]
    caller = Caller(seeds, 'dc-0', source)
    outcomes = run_calls(caller, create_calls(source, 300), _LOAD_S)
    print_outcomes(outcomes)
    problems += [
        f'{outcome.call.identity} {outcome.kind}: {outcome.reason}'
        for outcome in outcomes
        if outcome.kind == 'broken'
    ]
    refused = _provoke_refusal(fleet, caller)
    if refused.kind == 'refused':
        explained = fleet.run_command('host-1', 'explain', refused.refusal_id)
        click.echo(explained.stdout)
    else:
        problems.append('no request of the burst was refused')
    repeated = _count_repeated_runs(fleet)
    if repeated:
        problems.append(f'{repeated} non-idempotent requests ran twice')
    statuses = fleet.stop_hosts(_STOP_TIMEOUT_S)
    click.echo(f'daemons stopped with exit statuses {statuses}')
    if any(statuses):
        problems.append('a daemon did not exit with status 0')
    return problems


if __name__ == '__main__':
    main()
