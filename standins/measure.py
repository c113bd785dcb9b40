"""Measurements of the project."""

from __future__ import annotations

from egretdale.util import greening  # noqa: F401, I001

import sys
from concurrent.futures import ProcessPoolExecutor
from multiprocessing import get_context
from pathlib import Path

import click
import msgspec
from absl import logging as absl_logging

from standins.baselines import POLICIES
from standins.controlling import measure_control
from standins.deciding import measure_decisions
from standins.relaying import measure_relay
from standins.replay import Report, find_misses, format_report, replay
from standins.traces import list_traces, load_trace

_WORKERS = 6


@click.group()
def main() -> None:
    """Measure egretdale."""


@main.command()
@click.argument('traces', nargs=-1)
@click.option(
    '--policy',
    'policies',
    multiple=True,
    type=click.Choice(tuple(POLICIES)),
    help='Way to allocate slots; all when absent.',
)
@click.option(
    '--json',
    'json_path',
    type=click.Path(path_type=Path),
    help='File for the reports as JSON.',
)
@click.option(
    '--comes-back',
    is_flag=True,
    help='Refused callers come back once, when they were told to.',
)
def policy(
    traces: tuple[str, ...],
    policies: tuple[str, ...],
    json_path: Path | None,
    *,
    comes_back: bool,
) -> None:
    """Replay traces under policies and compare with the stated outcomes.

    \f
    :param traces: names of traces, all when empty.
    :param policies: names of policies, all when empty.
    :param json_path: file for the reports as JSON.
    :param comes_back: whether refused callers come back.
    """
    names = traces or tuple(list_traces())
    pairs = [
        (name, chosen, comes_back)
        for name in names
        for chosen in policies or tuple(POLICIES)
    ]
    context = get_context('spawn')
    with ProcessPoolExecutor(_WORKERS, mp_context=context) as executor:
        reports = list(executor.map(run_replay, pairs))
    missed = 0
    for report in reports:
        click.echo(format_report(report))
        if report.policy == 'product':
            for miss in find_misses(load_trace(report.trace), report):
                click.echo(f'  MISSED: {miss}')
                missed += 1
    for line in compare_baselines(reports):
        click.echo(line)
    if json_path is not None:
        json_path.write_bytes(msgspec.json.encode(reports))
    sys.exit(1 if missed else 0)


@main.command()
def relay() -> None:
    """Measure one daemon against the stand-in behind it."""
    measure_relay()


@main.command()
@click.argument('sizes', nargs=-1, type=int)
def control(sizes: tuple[int, ...]) -> None:
    """Measure what control costs a daemon at several fleet sizes.

    \f
    :param sizes: numbers of daemons.
    """
    measure_control(sizes or (3, 8, 16, 32))


@main.command()
def decisions() -> None:
    """Measure decisions and state at the size that is planned for."""
    measure_decisions()


def run_replay(work: tuple[str, str, bool]) -> Report:
    """Replay one trace under one policy, in a process of its own.

    :param work: names of the trace and the policy, and whether refused
        callers come back.
    :return: the report.
    """
    absl_logging.set_verbosity('error')
    name, chosen, comes_back = work
    return replay(load_trace(name), chosen, comes_back=comes_back)


def compare_baselines(reports: list[Report]) -> list[str]:
    """List where a baseline does better on a class than the product.

    :param reports: reports of all policies.
    :return: lines of text.
    """
    own = {
        report.trace: report for report in reports if report.policy == 'product'
    }
    lines = []
    for report in reports:
        mine = own.get(report.trace)
        if mine is None or report is mine:
            continue
        for name, entry in report.classes.items():
            reached = mine.classes[name].attainment
            if entry.attainment > reached:
                lines.append(
                    f'BASELINE BETTER: {report.trace} {name}: '
                    f'{report.policy} {entry.attainment} '
                    f'above product {reached}'
                )
    return lines


if __name__ == '__main__':
    main()
