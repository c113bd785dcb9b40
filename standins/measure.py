"""Command line of the performance measurements."""

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
from standins.emulation.comparing import format_comparison, run_simulation
from standins.emulation.policies import PROMPT_POLICIES
from standins.emulation.replay import PromptReport
from standins.emulation.workloads import WORKLOADS
from standins.relay_cost import measure_relay
from standins.replay import TraceReport, find_misses, format_report, replay
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
    help='Policy of slot allocation or prompt placement; default: all.',
)
@click.option(
    '--json',
    'json_path',
    type=click.Path(path_type=Path),
    help='File to write the reports to as JSON.',
)
@click.option(
    '--comes-back',
    is_flag=True,
    help='Refused callers in a trace retry once, at the time they were told.',
)
@click.option(
    '--seeds',
    default=1,
    type=click.IntRange(min=1),
    help='Number of seeds with which each prompt workload is simulated.',
)
def policy(
    names: tuple[str, ...],
    policies: tuple[str, ...],
    json_path: Path | None,
    seeds: int,
    *,
    comes_back: bool,
) -> None:
    """Replay traces and simulate prompt workloads under policies.

    The outcomes of traces are compared with their targets.

    \f
    :param names: names of traces and prompt workloads, all if empty.
    :param policies: names of policies, all if empty.
    :param json_path: file to write the reports to as JSON.
    :param seeds: number of seeds of each prompt workload.
    :param comes_back: whether refused callers in a trace retry once.
    """
    wanted = names or (*list_traces(), *WORKLOADS)
    traces = [name for name in wanted if name not in WORKLOADS]
    workloads = [name for name in wanted if name in WORKLOADS]
    context = get_context('spawn')
    with ProcessPoolExecutor(_WORKERS, mp_context=context) as executor:
        reports = list(
            executor.map(
                run_replay,
                product(traces, _choose(POLICIES, policies), (comes_back,)),
            )
        )
        prompt_reports = list(
            executor.map(
                run_simulation,
                product(
                    workloads,
                    _choose(PROMPT_POLICIES, policies),
                    range(1, seeds + 1),
                ),
            )
        )
    missed = print_replays(reports)
    print_prompt_reports(prompt_reports)
    if json_path is not None:
        json_path.write_bytes(msgspec.json.encode([*reports, *prompt_reports]))
    sys.exit(1 if missed else 0)


def _choose(known: Iterable[str], wanted: Sequence[str]) -> list[str]:
    return [name for name in known if name in wanted or not wanted]


def print_replays(reports: list[TraceReport]) -> int:
    """Print the reports of traces and the targets that they miss.

    :param reports: reports of all policies.
    :return: number of targets that the product misses.
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


def print_prompt_reports(prompt_reports: list[PromptReport]) -> None:
    """Print the reports of prompt workloads.

    :param prompt_reports: reports of all policies.
    """
    if prompt_reports:
        click.echo(format_comparison(prompt_reports))


@main.command()
def relay() -> None:
    """Compare requests through a daemon with requests to its engine."""
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


def run_replay(work: tuple[str, str, bool]) -> TraceReport:
    """Replay one trace under one policy, as the task of a worker process.

    :param work: names of the trace and the policy, and whether refused
        callers retry once.
    :return: the report.
    """
    absl_logging.set_verbosity('error')
    name, chosen, comes_back = work
    return replay(load_trace(name), chosen, comes_back=comes_back)


def compare_baselines(reports: list[TraceReport]) -> list[str]:
    """List the classes for which a baseline has a higher attainment.

    :param reports: reports of all policies.
    :return: one line for each class and baseline that beats the product.
    """
    product_reports = {
        report.trace: report for report in reports if report.policy == 'product'
    }
    lines = []
    for report in reports:
        product_report = product_reports.get(report.trace)
        if product_report is None or report is product_report:
            continue
        for name, entry in report.classes.items():
            reached = product_report.classes[name].attainment
            if entry.attainment > reached:
                lines.append(
                    f'BASELINE BETTER: {report.trace} {name}: '
                    f'{report.policy} {entry.attainment} '
                    f'above product {reached}'
                )
    return lines


if __name__ == '__main__':
    main()
