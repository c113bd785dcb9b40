"""Reports of a soak test as text, JSON and SVG."""

from __future__ import annotations

import json
from dataclasses import asdict, dataclass
from pathlib import Path

from soak.checks import Record, Violation

_WIDTH = 900
_HEIGHT = 200
_MARGIN = 40
_PERCENT = 100


@dataclass(slots=True, frozen=True)
class Outcome:
    """The result of a soak test.

    :ivar seed: seed of the test.
    :ivar size: name of its size.
    :ivar recovered_s: seconds from the end of the faults until every client was
        served again, -1 if that did not happen in time.
    :ivar violations: violated guarantees.
    """

    seed: int
    size: str
    recovered_s: float
    violations: list[Violation]


def describe(record: Record, outcome: Outcome) -> list[str]:
    """Describe a soak test in lines of text.

    :param record: the observations.
    :param outcome: the result.
    :return: the lines.
    """
    lines = record.timeline.describe()
    served = sum(attempt.is_served() for attempt in record.attempts)
    faults = len(record.timeline.faults)
    lines.append(
        f'seed {outcome.seed} {outcome.size}: {faults} faults,'
        f' {served} of {len(record.attempts)} requests served,'
        f' {len(record.evidence.stops)} graceful shutdowns,'
        f' {_count_crashes(record)} crashes of servers,'
        f' {record.evidence.copies} responses sent twice,'
        f' {record.evidence.unread} requests unread on idle connections,'
        f' served again after {outcome.recovered_s:.1f} s'
    )
    lines.extend(
        f'BROKEN {violation.promise}: {violation.detail}'
        for violation in outcome.violations
    )
    return lines


def _count_crashes(record: Record) -> int:
    return sum(len(log.crashed_at) for log in record.evidence.crashes.values())


def write_reports(record: Record, outcome: Outcome, folder: Path) -> None:
    """Write the reports of a soak test.

    :param record: the observations.
    :param outcome: the result.
    :param folder: folder for the reports; created if missing.
    """
    folder.mkdir(parents=True, exist_ok=True)
    name = f'soak-{outcome.size}-{outcome.seed}'
    fields = {
        'outcome': asdict(outcome),
        'timeline': asdict(record.timeline),
        'began_at': record.began_at,
        'calm_at': record.calm_at,
        'evidence': asdict(record.evidence),
        'attainment': measure_attainment(record),
    }
    text = '\n'.join(describe(record, outcome))
    (folder / f'{name}.txt').write_text(f'{text}\n')
    (folder / f'{name}.json').write_text(json.dumps(fields, indent=1))
    (folder / f'{name}.svg').write_text(_plot(record))


def measure_attainment(record: Record) -> list[float]:
    """Compute the fraction of requests that were served in each second.

    :param record: the observations.
    :return: the fraction for each second from the start, by the time of
        sending; 1 where no request was sent.
    """
    sent: dict[int, list[bool]] = {}
    for attempt in record.attempts:
        second = int(attempt.sent_at - record.began_at)
        sent.setdefault(second, []).append(attempt.is_served())
    last = max(sent, default=0)
    by_second = [sent.get(second, [True]) for second in range(last + 1)]
    return [sum(served) / len(served) for served in by_second]


def _plot(record: Record) -> str:
    attainment = measure_attainment(record)
    step = (_WIDTH - 2 * _MARGIN) / max(1, len(attainment) - 1)
    points = ' '.join(
        f'{_MARGIN + second * step:.1f},'
        f'{_MARGIN + (1 - fraction) * (_HEIGHT - 2 * _MARGIN):.1f}'
        for second, fraction in enumerate(attainment)
    )
    bars = ''.join(
        f'<rect x="{_MARGIN + fault.at_s * step:.1f}" y="{_MARGIN}"'
        f' width="{max(1, fault.for_s * step):.1f}"'
        f' height="{_HEIGHT - 2 * _MARGIN}" fill="red" opacity="0.08">'
        f'<title>{fault.describe()}</title></rect>'
        for fault in record.timeline.faults
    )
    return (
        f'<svg xmlns="http://www.w3.org/2000/svg" width="{_WIDTH}"'
        f' height="{_HEIGHT}">{bars}<polyline points="{points}" fill="none"'
        f' stroke="black"/><text x="{_MARGIN}" y="{_MARGIN - 10}">fraction'
        f' of requests served, by second; {_PERCENT}% at the top'
        f'</text></svg>\n'
    )
