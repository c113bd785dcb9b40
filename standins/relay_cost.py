"""Compares requests through one daemon with requests to its engine."""

from __future__ import annotations

import contextlib
import json
import statistics
import time
from concurrent.futures import ProcessPoolExecutor
from multiprocessing import get_context

import click
import urllib3

from standins.fleet import Fleet, FleetPlan
from standins.proof_run import CLAIMS, EXAMPLES

_LATENCY_SAMPLES = 400
_WORKERS = 4
_CALLERS_PER_WORKER = 8
_MEASUREMENT_S = 5.0
_STREAM_TOKENS = 20000


def measure_relay() -> None:
    """Print added latency, requests per second and events per second."""
    plan = FleetPlan(
        hosts=1,
        engines={CLAIMS: 1},
        settings={'log_level': 'warning'},
        engine_options=('--instant',),
    )
    with contextlib.closing(Fleet(plan)) as fleet:
        fleet.start()
        path = fleet.logs / 'wide.yaml'
        text = (EXAMPLES / f'{CLAIMS}.yaml').read_text()
        path.write_text(
            text.replace('backend_concurrency: 16', 'backend_concurrency: 256')
        )
        fleet.submit(path)
        daemon = fleet.hosts['host-0'].address
        engine = fleet.backends[f'{CLAIMS}-0'].address
        _measure_latency(daemon, engine)
        for name, address in (('direct', engine), ('daemon', daemon)):
            requests = _run_workers(address, 1)
            click.echo(f'{name}: {requests:.0f} requests/s')
        for name, address in (('direct', engine), ('daemon', daemon)):
            events = _run_workers(address, _STREAM_TOKENS) * _STREAM_TOKENS
            click.echo(f'{name}: {events:.0f} events/s')


def _measure_latency(daemon: str, engine: str) -> None:
    pool = urllib3.PoolManager(retries=False)
    direct = []
    relayed = []
    for _ in range(_LATENCY_SAMPLES):
        direct.append(_time_request(pool, engine))
        relayed.append(_time_request(pool, daemon))
    for name, times in (('direct', direct), ('daemon', relayed)):
        click.echo(
            f'{name}: median {statistics.median(times) * 1000:.2f} ms, '
            f'p99 {_compute_p99(times) * 1000:.2f} ms'
        )
    added = statistics.median(relayed) - statistics.median(direct)
    tail = _compute_p99(relayed) - _compute_p99(direct)
    click.echo(
        f'added: median {added * 1000:.2f} ms (target 2), '
        f'p99 {tail * 1000:.2f} ms (target 10)'
    )


def _time_request(pool: urllib3.PoolManager, address: str) -> float:
    started_at = time.perf_counter()
    _request(pool, address, 1)
    return time.perf_counter() - started_at


def _compute_p99(times: list[float]) -> float:
    return statistics.quantiles(times, n=100)[98]


def _request(pool: urllib3.PoolManager, address: str, tokens: int) -> int:
    body = json.dumps(
        {
            'model': CLAIMS,
            'stream': True,
            'prompt': 'hello',
            'standin_output': tokens,
        }
    )
    headers = {
        'Content-Type': 'application/json',
        'Egret-Class': 'counter',
        'Egret-Organisation': 'kingston-parish',
    }
    response = pool.request(
        'POST',
        f'http://{address}/v1/completions',
        body=body,
        headers=headers,
    )
    return 1 if response.data.endswith(b'data: [DONE]\n\n') else 0


def _run_workers(address: str, tokens: int) -> float:
    context = get_context('spawn')
    with ProcessPoolExecutor(_WORKERS, mp_context=context) as executor:
        work = [(address, tokens) for _ in range(_WORKERS)]
        return sum(executor.map(run_callers, work))


def run_callers(work: tuple[str, int]) -> float:
    """Make requests from several green threads of a worker process.

    :param work: address to call and tokens of each response.
    :return: complete responses per second.
    """
    # The parent process is monkey-patched; a spawned worker is not yet.
    from egretdale.util import greening  # noqa: F401, PLC0415
    import eventlet  # noqa: PLC0415

    address, tokens = work
    pool = urllib3.PoolManager(retries=False, maxsize=_CALLERS_PER_WORKER)
    end_at = time.monotonic() + _MEASUREMENT_S

    def call() -> int:
        done = 0
        while time.monotonic() < end_at:
            done += _request(pool, address, tokens)
        return done

    threads = [eventlet.spawn(call) for _ in range(_CALLERS_PER_WORKER)]
    return sum(thread.wait() for thread in threads) / _MEASUREMENT_S
