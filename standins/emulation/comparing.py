"""Compares policies over several seeds of a workload."""

from __future__ import annotations

from collections.abc import Sequence
from statistics import mean, pstdev

from absl import logging as absl_logging

from standins.emulation.replay import PromptReport, simulate_workload


def run_simulation(work: tuple[str, str, int]) -> PromptReport:
    """Simulate a workload under a policy, in a worker process.

    :param work: names of the workload and the policy, and the seed.
    :return: the report.
    """
    absl_logging.set_verbosity('error')
    return simulate_workload(*work)


def format_comparison(reports: Sequence[PromptReport]) -> str:
    """Format the results of the callers, as means over the seeds.

    :param reports: reports of all simulations.
    :return: lines of text, one for each workload and policy.
    """
    groups: dict[tuple[str, str], list[PromptReport]] = {}
    for report in reports:
        groups.setdefault((report.load, report.policy), []).append(report)
    return '\n'.join(
        _format_reports(workload, policy, group)
        for (workload, policy), group in groups.items()
    )


def _format_reports(
    workload: str, policy: str, reports: Sequence[PromptReport]
) -> str:
    worths = [report.worth for report in reports]
    refused = mean(report.refused for report in reports)
    prefilled = mean(report.prefilled for report in reports)
    on_time = ', '.join(
        f'{name} {mean(report.classes[name].on_time for report in reports):.3f}'
        for name in reports[0].classes
    )
    return (
        f'{workload} {policy}: worth {mean(worths):.3f} ± {pstdev(worths):.3f} '
        f'in {len(reports)} runs; on time {on_time}; '
        f'refusals a request {refused:.3f}; prefilled {prefilled:.2f} M tokens'
    )
