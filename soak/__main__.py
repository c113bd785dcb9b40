"""Command line of the soak test."""

from __future__ import annotations

from egretdale.util import greening  # noqa: F401, I001

import shutil
import sys
import tempfile
import time
from collections.abc import Callable
from pathlib import Path
from types import MappingProxyType

import click
import eventlet

from egretdale.util.clocks import read_hub_clock
from soak.checks import Record, Violation, find_violations
from soak.reports import Outcome, describe, write_reports
from soak.servers import count_runs
from soak.timelines import Disturbance, draw_disturbances
from soak.world import LARGE, SMALL, SoakWorld

_SIZES = MappingProxyType({'small': SMALL, 'large': LARGE})
_SECONDS_PER_MINUTE = 60
_POLL_INTERVAL_S = 0.1
#: Longest wait after the faults until every client is served, in seconds.
_RECOVERY_TIMEOUT_S = 60.0
#: Length of the phase after the recovery in which requests must be served, in
#: seconds.
_STEADY_PHASE_S = 4.0
#: Seconds that requests in progress have to finish.
_FINISH_S = 7.0


def run_soak(
    seed: int, length_s: float, size: str, folder: Path, broken: str = ''
) -> tuple[Record, Outcome]:
    """Run one soak test.

    :param seed: seed of the faults and the clients.
    :param length_s: length of the phase in which faults start, in seconds.
    :param size: name of the size.
    :param folder: folder for the settings and logs of the daemons.
    :param broken: name of the deliberate bug of the daemons, empty for none.
    :return: the observations, and the result.
    """
    world = SoakWorld(_SIZES[size], folder, seed)
    timeline = draw_disturbances(
        seed, length_s, len(world.daemons), len(world.servers)
    )
    if broken:
        world.use_broken_daemons(broken)
    try:
        world.start()
        began_at = read_hub_clock()
        _disturb(
            world,
            [
                *((world.inject, fault) for fault in timeline.faults),
                *((world.play, incident) for incident in timeline.incidents),
                *((world.depart, entry) for entry in timeline.departures),
                *((world.lapse, lapse) for lapse in timeline.lapses),
            ],
        )
        recovered_s = _wait_until_served(world)
        steady_at = read_hub_clock()
        eventlet.sleep(_STEADY_PHASE_S)
        calm_at = read_hub_clock()
        _disturb(
            world, [(world.lapse, lapse) for lapse in timeline.calm_lapses]
        )
        world.stop_clients()
        eventlet.sleep(_FINISH_S)
    finally:
        world.close()
    record = Record(
        began_at,
        timeline,
        world.list_attempts(),
        count_runs(world.servers),
        world.evidence,
        steady_at,
        calm_at,
    )
    violations = find_violations(record)
    if recovered_s < 0:
        violations.append(Violation('recovery', 'a client is still not served'))
    return record, Outcome(seed, size, recovered_s, violations)


def _disturb(
    world: SoakWorld, steps: list[tuple[Callable[..., None], Disturbance]]
) -> None:
    pool = eventlet.GreenPool(len(steps) + 1)
    for run, disturbance in steps:
        pool.spawn(_run_later, run, disturbance)
    while pool.running():
        world.handle_unexpected_exits()
        eventlet.sleep(_POLL_INTERVAL_S)
    world.handle_unexpected_exits()


def _run_later(run: Callable[..., None], disturbance: Disturbance) -> None:
    eventlet.sleep(disturbance.at_s)
    run(disturbance)


def _wait_until_served(world: SoakWorld) -> float:
    faults_ended_at = read_hub_clock()
    while read_hub_clock() < faults_ended_at + _RECOVERY_TIMEOUT_S:
        waiting = [
            client
            for client in world.clients
            if not any(
                attempt.sent_at > faults_ended_at and attempt.is_served()
                for attempt in reversed(client.attempts)
            )
        ]
        if not waiting:
            return read_hub_clock() - faults_ended_at
        eventlet.sleep(_POLL_INTERVAL_S)
    return -1


@click.command()
@click.option('--seed', default=1, help='Seed of the faults and the clients.')
@click.option(
    '--seeds',
    default=1,
    help='Number of consecutive seeds to run, starting at --seed.',
)
@click.option(
    '--fresh', is_flag=True, help='Use the current time as the first seed.'
)
@click.option(
    '--minutes', default=0.5, help='Minutes for which faults are injected.'
)
@click.option('--size', type=click.Choice(tuple(_SIZES)), default='small')
@click.option('--broken', default='', help='Deliberate bug of the daemons.')
@click.option('--output', type=click.Path(path_type=Path), default=None)
def main(
    seed: int,
    seeds: int,
    minutes: float,
    size: str,
    output: Path | None,
    broken: str,
    *,
    fresh: bool,
) -> None:
    """Run real daemons under injected faults and check what clients observe.

    The exit status is 1 if a guarantee was violated.

    \f
    :param seed: first seed.
    :param seeds: number of consecutive seeds.
    :param minutes: minutes of faults for each seed.
    :param size: name of the size.
    :param output: folder for reports, and for the logs of the daemons if a
        guarantee was violated; ``None`` to write none.
    :param broken: name of the deliberate bug of the daemons, empty for none.
    :param fresh: whether the current time is the first seed.
    """
    first = int(time.time()) if fresh else seed
    failed = 0
    for current in range(first, first + seeds):
        with tempfile.TemporaryDirectory() as folder:
            record, outcome = run_soak(
                current,
                minutes * _SECONDS_PER_MINUTE,
                size,
                Path(folder),
                broken,
            )
            if output is not None:
                write_reports(record, outcome, output)
            if output is not None and outcome.violations:
                logs = output / f'soak-{size}-{current}-logs'
                shutil.copytree(folder, logs, dirs_exist_ok=True)
        click.echo('\n'.join(describe(record, outcome)))
        failed += bool(outcome.violations)
    sys.exit(1 if failed else 0)


if __name__ == '__main__':
    main()
