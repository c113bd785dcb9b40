"""Measures the cost of control traffic for daemons without requests."""

from __future__ import annotations

import contextlib
import os
import re
import subprocess
import sys
import time
from dataclasses import dataclass
from pathlib import Path

import click

from standins.fleet import Fleet, FleetPlan
from standins.proof_run import CLAIMS, EXAMPLES

_SETTLE_S = 8.0
_MEASUREMENT_S = 15.0
_TICKS_PER_S = os.sysconf('SC_CLK_TCK')
_KB_PER_MB = 1024
_IDLE_PROGRAM = (
    'import egretdale.cmd.egretdaled, time; '
    'print("ready", flush=True); time.sleep(60)'
)


@dataclass(slots=True, frozen=True)
class Cost:
    """Resources that daemons use for control traffic.

    As the average of one daemon, processor time, bytes and calls are rates
    and memory is the excess over an idle interpreter. As a reading of a whole
    fleet, they are totals since the start and memory is all that is used.

    :ivar hosts: number of daemons in the fleet.
    :ivar core: share of a core, or seconds of processor time.
    :ivar memory_mb: megabytes of memory.
    :ivar bytes_per_s: bytes sent to peers.
    :ivar calls_per_s: calls to the platform.
    """

    hosts: int
    core: float
    memory_mb: float
    bytes_per_s: float
    calls_per_s: float


def measure_control(sizes: tuple[int, ...]) -> None:
    """Print the cost at several fleet sizes and its growth for each daemon.

    :param sizes: numbers of daemons.
    """
    idle_mb = _measure_idle()
    click.echo(f'idle interpreter with the same imports: {idle_mb:.1f} MB')
    costs = [_measure_fleet(size, idle_mb) for size in sizes]
    for cost in costs:
        click.echo(
            f'{cost.hosts:3} daemons: core {cost.core * 100:.2f}% '
            f'(budget 1.9), memory {cost.memory_mb:.1f} MB (budget 32), '
            f'peers {cost.bytes_per_s:.0f} B/s (budget 4096), '
            f'platform {cost.calls_per_s:.2f} calls/s'
        )
    first, last = costs[0], costs[-1]
    added = max(1, last.hosts - first.hosts)
    click.echo(
        f'slope for each further daemon: '
        f'core {(last.core - first.core) / added * 100:.4f}%, '
        f'memory {(last.memory_mb - first.memory_mb) / added * 1024:.1f} KB, '
        f'peers {(last.bytes_per_s - first.bytes_per_s) / added:.1f} B/s'
    )


def _measure_fleet(size: int, idle_mb: float) -> Cost:
    plan = FleetPlan(
        hosts=size,
        engines={CLAIMS: 2},
        settings={'log_level': 'warning'},
    )
    with contextlib.closing(Fleet(plan)) as fleet:
        fleet.start()
        fleet.submit(EXAMPLES / f'{CLAIMS}.yaml')
        time.sleep(_SETTLE_S)
        before = _read_totals(fleet)
        time.sleep(_MEASUREMENT_S)
        after = _read_totals(fleet)
    return Cost(
        size,
        (after.core - before.core) / _MEASUREMENT_S / size,
        after.memory_mb / size - idle_mb,
        (after.bytes_per_s - before.bytes_per_s) / _MEASUREMENT_S / size,
        (after.calls_per_s - before.calls_per_s) / _MEASUREMENT_S / size,
    )


def _read_totals(fleet: Fleet) -> Cost:
    core = float(0)
    memory = float(0)
    sent = float(0)
    calls = float(0)
    for running in fleet.hosts.values():
        pid = running.process.pid
        core += _read_processor_s(pid)
        memory += _read_memory_mb(pid)
        page = fleet.get_text(running.address, '/metrics')
        sent += _sum_metric(page, 'egretdale_peer_bytes_total')
        calls += _sum_metric(page, 'egretdale_platform_calls_total')
    return Cost(len(fleet.hosts), core, memory, sent, calls)


def _sum_metric(page: str, name: str) -> float:
    pattern = rf'^{name}(?:{{[^}}]*}})? (\S+)$'
    return sum(float(text) for text in re.findall(pattern, page, re.MULTILINE))


def _read_processor_s(pid: int) -> float:
    fields = Path(f'/proc/{pid}/stat').read_text().rpartition(')')[2].split()
    return (int(fields[11]) + int(fields[12])) / _TICKS_PER_S


def _read_memory_mb(pid: int) -> float:
    for line in Path(f'/proc/{pid}/status').read_text().splitlines():
        if line.startswith('VmRSS:'):
            return int(line.split()[1]) / _KB_PER_MB
    return float(0)


def _measure_idle() -> float:
    with subprocess.Popen(
        [sys.executable, '-c', _IDLE_PROGRAM], stdout=subprocess.PIPE
    ) as process:
        if process.stdout is not None:
            process.stdout.readline()
        memory_mb = _read_memory_mb(process.pid)
        process.kill()
    return memory_mb
