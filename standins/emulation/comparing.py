"""Compares policies over several seeds of a load."""

from __future__ import annotations

from collections.abc import Sequence
from statistics import mean, pstdev

from absl import logging as absl_logging

from standins.emulation.replay import PromptReport, play_load


def run_play(work: tuple[str, str, int]) -> PromptReport:
    """Play a load under a policy, in a process of its own.

    :param work: names of the load and the policy, and the seed.
    :return: the report.
    """
    absl_logging.set_verbosity('error')
    return play_load(*work)


def format_comparison(reports: Sequence[PromptReport]) -> str:
    """Format what callers got, as means over the seeds.

    :param reports: reports of all plays.
    :return: lines of text, one for each load and policy.
    """
    groups: dict[tuple[str, str], list[PromptReport]] = {}
    for report in reports:
        groups.setdefault((report.load, report.policy), []).append(report)
    return '\n'.join(
        _format_group(load, policy, plays)
        for (load, policy), plays in groups.items()
    )


def _format_group(load: str, policy: str, plays: Sequence[PromptReport]) -> str:
    worths = [report.worth for report in plays]
    refused = mean(report.refused for report in plays)
    prefilled = mean(report.prefilled for report in plays)
    shares = ', '.join(
        f'{name} {mean(report.classes[name].on_time for report in plays):.3f}'
        for name in plays[0].classes
    )
    return (
        f'{load} {policy}: worth {mean(worths):.3f} ± {pstdev(worths):.3f} '
        f'in {len(plays)} plays; on time {shares}; '
        f'refusals a request {refused:.3f}; prefilled {prefilled:.2f} M tokens'
    )
