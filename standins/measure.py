"""Measurements of the project."""

from __future__ import annotations

from egretdale.util import greening  # noqa: F401, I001

import sys
from collections.abc import Iterable, Sequence
from concurrent.futures import ProcessPoolExecutor
from itertools import product
from multiprocessing import get_context
from pathlib import Path

import click
import msgspec
from absl import logging as absl_logging

from standins.baselines import POLICIES
from standins.control_cost import measure_control
from standins.decision_cost import measure_decisions
from standins.emulation.comparing import format_comparison, run_play
from standins.emulation.loads import LOADS
from standins.emulation.policies import PROMPT_POLICIES
from standins.emulation.replay import PromptReport
from standins.relay_cost import measure_relay
from standins.replay import Report, find_misses, format_report, replay
from standins.traces import list_traces, load_trace

_WORKERS = 6


@click.group()
def main() -> None:
    """Measure egretdale."""


@main.command()
@click.argument('names', nargs=-1)
@click.option(
    '--policy',
    'policies',
    multiple=True,
    type=click.Choice(tuple({**POLICIES, **PROMPT_POLICIES})),
    help='Way to allocate slots or to place prompts; all when absent.',
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
    help='Callers refused in a trace come back once, when they were told to.',
)
@click.option(
    '--seeds',
    default=1,
    type=click.IntRange(min=1),
    help='Seeds with which each load of prompts is played.',
)
def policy(
    names: tuple[str, ...],
    policies: tuple[str, ...],
    json_path: Path | None,
    seeds: int,
    *,
    comes_back: bool,
) -> None:
    """Replay traces and loads of prompts under policies.

    The outcomes of traces are compared with the stated ones.

    \f
    :param names: names of traces and of loads of prompts, all when empty.
    :param policies: names of policies, all when empty.
    :param json_path: file for the reports as JSON.
    :param seeds: number of seeds of each load of prompts.
    :param comes_back: whether callers refused in a trace come back.
    """
    wanted = names or (*list_traces(), *LOADS)
    traces = [name for name in wanted if name not in LOADS]
    loads = [name for name in wanted if name in LOADS]
    context = get_context('spawn')
    with ProcessPoolExecutor(_WORKERS, mp_context=context) as executor:
        reports = list(
            executor.map(
                run_replay,
                product(traces, _choose(POLICIES, policies), (comes_back,)),
            )
        )
        plays = list(
            executor.map(
                run_play,
                product(
                    loads,
                    _choose(PROMPT_POLICIES, policies),
                    range(1, seeds + 1),
                ),
            )
        )
    missed = show_replays(reports)
    show_plays(plays)
    if json_path is not None:
        json_path.write_bytes(msgspec.json.encode([*reports, *plays]))
    sys.exit(1 if missed else 0)


def _choose(known: Iterable[str], wanted: Sequence[str]) -> list[str]:
    return [name for name in known if name in wanted or not wanted]


def show_replays(reports: list[Report]) -> int:
    """Print the reports of traces and what they miss.

    :param reports: reports of all policies.
    :return: number of outcomes that the product misses.
    """
    missed = 0
    for report in reports:
        click.echo(format_report(report))
        if report.policy == 'product':
            for miss in find_misses(load_trace(report.trace), report):
                click.echo(f'  MISSED: {miss}')
                missed += 1
    for line in compare_baselines(reports):
        click.echo(line)
    return missed


def show_plays(plays: list[PromptReport]) -> None:
    """Print the reports of loads of prompts.

    :param plays: reports of all policies.
    """
    if plays:
        click.echo(format_comparison(plays))


@main.command()
def relay() -> None:
    """Measure one daemon against the stand-in behind it."""
    measure_relay()


@main.command()
@click.argument('sizes', nargs=-1, type=int)
def control(sizes: tuple[int, ...]) -> None:
    """Measure the cost of control traffic for daemons at several fleet sizes.

    \f
    :param sizes: numbers of daemons.
    """
    measure_control(sizes or (3, 8, 16, 32))


@main.command()
def decisions() -> None:
    """Measure the cost of decisions and state at the planned scale."""
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
