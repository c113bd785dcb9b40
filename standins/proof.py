"""Fault-injection tests, called proofs, of real processes under load."""

from __future__ import annotations

from egretdale.util import greening  # noqa: F401, I001

import contextlib
import signal
import sys
import time
from collections.abc import Callable
from types import MappingProxyType

import click
import eventlet

from standins.callers import Call
from standins.proof_run import CLAIMS, EXAMPLES, WEB, ProofRun, create_plan

_CLAIMS_GROUP = f'{CLAIMS}/0'
_CALLS_PER_S = 25.0


def prove_host_killed(run: ProofRun) -> str:
    """Kill an entry host that is no allocator; callers use other hosts."""
    run.start_load(_CALLS_PER_S, 8)
    run.sleep(3)
    allocator = run.find_allocator(_CLAIMS_GROUP)
    victim = next(name for name in run.fleet.hosts if name != allocator)
    run.fleet.signal(victim, signal.SIGKILL)
    run.sleep(6)
    return f'kill -9 of {victim} after 3 s'


def prove_allocator_killed(run: ProofRun) -> str:
    """Kill the allocator; another one takes over within 2 s."""
    run.start_load(_CALLS_PER_S, 8)
    run.sleep(3)
    victim = run.find_allocator(_CLAIMS_GROUP)
    run.fleet.signal(victim, signal.SIGKILL)
    killed_at = time.monotonic()
    restored = None
    while restored is None and time.monotonic() - killed_at < 10:
        run.sleep(0.05)
        name = run.find_allocator(_CLAIMS_GROUP)
        if name != victim:
            restored = time.monotonic() - killed_at
    run.require(
        restored is not None and restored <= 2, f'restored after {restored} s'
    )
    run.sleep(6)
    return f'kill -9 of allocator {victim}; next one after {restored:.2f} s'


def prove_allocator_frozen(run: ProofRun) -> str:
    """Suspend the allocator for longer than every lifetime; resume it."""
    run.start_load(_CALLS_PER_S, 12)
    run.sleep(3)
    victim = run.find_allocator(_CLAIMS_GROUP)
    run.fleet.signal(victim, signal.SIGSTOP)
    run.sleep(5)
    run.fleet.signal(victim, signal.SIGCONT)
    run.sleep(5)
    status = run.fleet.get(run.fleet.hosts[victim].address, '/v1/status')
    alive = [
        member for member in status['members'] if member['status'] == 'alive'
    ]
    run.require(len(alive) == 3, f'{len(alive)} members alive afterwards')
    return f'SIGSTOP of allocator {victim} for 5 s'


def prove_engine_slow(run: ProofRun) -> str:
    """Slow an engine to a quarter; the top tier still meets its target."""
    run.start_load(_CALLS_PER_S, 10)
    run.sleep(3)
    _set_engine(run, 1, speed=0.25)
    run.sleep(8)
    _require_attainment(run, 0.97)
    return 'an engine at a quarter of its speed after 3 s'


def prove_engine_crash(run: ProofRun) -> str:
    """Kill an engine while it serves streams, and restart it."""
    run.start_load(_CALLS_PER_S, 10)
    run.sleep(4)
    run.fleet.signal(f'{CLAIMS}-1', signal.SIGKILL)
    run.sleep(3)
    run.fleet.restart_backend(f'{CLAIMS}-1')
    run.sleep(4)
    return 'kill -9 of an engine after 4 s, restart after 7 s'


def prove_engine_silent(run: ProofRun) -> str:
    """Make an engine keep its connections open and send nothing more."""
    run.start_load(_CALLS_PER_S, 10)
    run.sleep(3)
    _set_engine(run, 2, silent=True)
    run.sleep(8)
    return 'an engine that sends nothing more after 3 s'


def prove_engine_lying(run: ProofRun) -> str:
    """Make an engine always report that it is idle."""
    _set_engine(run, 3, lying=True)
    run.start_load(_CALLS_PER_S, 8)
    run.sleep(9)
    _require_attainment(run, 0.97)
    return 'an engine that always reports no load'


def prove_platform_down(run: ProofRun) -> str:
    """Take the platform down; traffic continues and no document reverts."""
    run.start_load(_CALLS_PER_S, 10)
    run.sleep(2)
    before = _read_revisions(run)
    _set_platform(run, down=True)
    path = EXAMPLES / f'{CLAIMS}.yaml'
    refused = run.fleet.submit(path)
    run.require(refused == 2, f'submit ended with {refused} in the outage')
    run.sleep(7)
    run.require(_read_revisions(run) == before, 'a document reverted')
    _set_platform(run, down=False)
    run.sleep(2)
    run.require(run.fleet.submit(path) == 0, 'submit failed after the outage')
    return 'platform answers 503 for 7 s'


def prove_write_lost(run: ProofRun) -> str:
    """Lose the responses to writes; submit reports a correct outcome."""
    path = EXAMPLES / f'{CLAIMS}.yaml'
    before = _read_revisions(run)
    _set_platform(run, write_lost=True)
    status = run.fleet.submit(path)
    _set_platform(run, write_lost=False)
    run.sleep(2)
    after = _read_revisions(run)
    changed = after['host-0'][CLAIMS] > before['host-0'][CLAIMS]
    # 0 means accepted, 4 means unknown; both are correct if it was stored.
    run.require(changed and status in {0, 4}, f'submit exited with {status}')
    run.start_load(_CALLS_PER_S, 2)
    run.sleep(3)
    return f'write responses lost; submit exit {status}, stored: {changed}'


def prove_two_operators(run: ProofRun) -> str:
    """Submit twice on the same base revision; one submission is rejected."""
    path = str(EXAMPLES / f'{CLAIMS}.yaml')
    base = str(_read_revisions(run)['host-0'][CLAIMS])
    arguments = ('document', 'submit', path, '--base-revision', base)
    pool = eventlet.GreenPool()
    both = [
        pool.spawn(run.fleet.run_command, host, *arguments)
        for host in ('host-0', 'host-1')
    ]
    statuses = sorted(thread.wait().returncode for thread in both)
    run.require(statuses == [0, 1], f'exit statuses {statuses}')
    run.start_load(_CALLS_PER_S, 2)
    run.sleep(3)
    return f'two submissions on revision {base}: exit statuses {statuses}'


def prove_planned_stop(run: ProofRun) -> str:
    """Stop hosts under load, one by one; no request is interrupted."""
    run.start_load(_CALLS_PER_S, 16)
    run.sleep(2)
    statuses = []
    for name in list(run.fleet.hosts):
        running = run.fleet.hosts[name]
        running.process.send_signal(signal.SIGTERM)
        while running.is_alive():
            run.sleep(0.05)
        statuses.append(running.process.returncode)
        run.fleet.start_host(name)
        run.sleep(1.5)
    run.require(not any(statuses), f'exit statuses {statuses}')
    run.wait_calls()
    resumed = sum(1 for outcome in run.outcomes if outcome.resumed)
    run.require(resumed == 0, f'{resumed} streams had to be resumed')
    refused = [
        outcome.reason for outcome in run.outcomes if outcome.kind == 'refused'
    ]
    run.require(not refused, f'refused: {refused}')
    return f'graceful stop of every host in turn: exit statuses {statuses}'


def prove_backend_leaving(run: ProofRun) -> str:
    """Mark an engine as leaving; it gets no new requests after 3 s."""
    run.start_load(_CALLS_PER_S, 10)
    run.sleep(2)
    name = f'{CLAIMS}-0'
    run.fleet.list_backend(name, state='leaving')
    run.sleep(3)
    address = run.fleet.backends[name].address
    before = sum(_read_runs(run, address).values())
    run.sleep(5)
    after = sum(_read_runs(run, address).values())
    run.require(before == after, f'{after - before} new requests after 3 s')
    return f'{name} listed as leaving; new requests after 3 s: {after - before}'


def prove_refusal_explained(run: ProofRun) -> str:
    """Explain a refusal after its host is killed and the platform is down."""
    call = Call('unknown', CLAIMS, 'no-such-class', 'kingston-parish', 10, 1)
    refused = run.start_call(call).wait()
    host = next(
        name
        for name, running in run.fleet.hosts.items()
        if running.address == refused.host
    )
    run.fleet.signal(host, signal.SIGKILL)
    _set_platform(run, down=True)
    other = next(name for name in run.fleet.hosts if name != host)
    explained = run.fleet.run_command(other, 'explain', refused.refusal_id)
    run.require(
        explained.returncode == 0 and 'unknown-class' in explained.stdout,
        explained.stdout + explained.stderr,
    )
    return f'{host} killed and platform down; explain printed the reason'


def prove_document_in_force(run: ProofRun) -> str:
    """Submit a document 20 times; it is active on all hosts within 2 s."""
    path = EXAMPLES / f'{CLAIMS}.yaml'
    delays = []
    run.start_load(10, 15)
    for _ in range(20):
        finished = run.fleet.run_command(
            'host-0', 'document', 'submit', str(path)
        )
        run.require(finished.returncode == 0, finished.stdout)
        accepted_at = time.monotonic()
        revision = int(finished.stdout.split()[3])
        while min(_list_revisions(run)) < revision:
            run.sleep(0.01)
        delays.append(time.monotonic() - accepted_at)
    slowest = max(delays)
    run.require(slowest <= 2, f'active after {slowest:.2f} s')
    return f'20 submissions, active on all hosts within {slowest:.3f} s'


def prove_organisation_bursts(run: ProofRun) -> str:
    """Flood a class from one organisation; the others meet their target."""
    run.start_load(_CALLS_PER_S, 8)
    run.sleep(2)
    for number in range(400):
        flood = Call(
            f'flood-{number}', CLAIMS, 'counter', 'trelawny-parish', 150, 60
        )
        run.start_call(flood)
        run.sleep(0.005)
    run.sleep(5)
    run.wait_calls()
    run.outcomes = [
        outcome
        for outcome in run.outcomes
        if not outcome.call.identity.startswith('flood')
    ]
    _require_attainment(run, 0.97)
    return '400 counter requests of one organisation in 2 s'


def prove_reply_lost(run: ProofRun) -> str:
    """Break the responses of a plain service; no request runs twice."""
    run.start_load(_CALLS_PER_S, 6)
    run.sleep(2)
    address = run.fleet.backends[f'{WEB}-0'].address
    run.fleet.post(address, '/admin/faults', {'reply_lost': True})
    run.sleep(2)
    run.fleet.post(address, '/admin/faults', {'reply_lost': False})
    run.sleep(3)
    return 'a plain service that runs calls and breaks connections for 2 s'


#: Functions of the proofs by name.
PROOFS: MappingProxyType[str, Callable[[ProofRun], str]] = MappingProxyType(
    {
        'host-killed': prove_host_killed,
        'allocator-killed': prove_allocator_killed,
        'allocator-frozen': prove_allocator_frozen,
        'engine-slow': prove_engine_slow,
        'engine-crash': prove_engine_crash,
        'engine-silent': prove_engine_silent,
        'engine-lying': prove_engine_lying,
        'platform-down': prove_platform_down,
        'write-lost': prove_write_lost,
        'two-operators': prove_two_operators,
        'planned-stop': prove_planned_stop,
        'backend-leaving': prove_backend_leaving,
        'refusal-explained': prove_refusal_explained,
        'document-in-force': prove_document_in_force,
        'organisation-bursts': prove_organisation_bursts,
        'reply-lost': prove_reply_lost,
    }
)


def _set_engine(run: ProofRun, number: int, **faults: object) -> None:
    address = run.fleet.backends[f'{CLAIMS}-{number}'].address
    run.fleet.post(address, '/admin/faults', faults)


def _set_platform(run: ProofRun, **faults: object) -> None:
    run.fleet.post(run.fleet.platform.address, '/admin/faults', faults)


def _read_runs(run: ProofRun, address: str) -> dict[str, int]:
    return run.fleet.post(address, '/admin/runs', {})['runs']


def _read_revisions(run: ProofRun) -> dict[str, dict[str, int]]:
    revisions = {}
    for name, running in run.fleet.hosts.items():
        status = run.fleet.get(running.address, '/v1/status')
        revisions[name] = status['host']['revisions']
    return revisions


def _list_revisions(run: ProofRun) -> list[int]:
    return [held[CLAIMS] for held in _read_revisions(run).values()]


def _require_attainment(run: ProofRun, minimum: float) -> None:
    run.wait_calls()
    counter = [
        outcome
        for outcome in run.outcomes
        if outcome.call.request_class == 'counter'
    ]
    attained = sum(
        1
        for outcome in counter
        if outcome.kind == 'whole' and outcome.first_s <= 0.8
    )
    part = attained / max(1, len(counter))
    run.require(part >= minimum, f'counter attainment {part:.3f}')


def run_proof(name: str, hosts: int) -> bool:
    """Run one proof and print its fault, outcomes and problems.

    :param name: name of the proof.
    :param hosts: number of entry hosts.
    :return: whether it held, which means that no check failed.
    """
    started_at = time.monotonic()
    step = PROOFS[name]
    run = ProofRun(create_plan(hosts))
    with contextlib.closing(run.fleet):
        injected = step(run)
        run.wait_calls()
        run.check()
        lines = run.describe()
    click.echo(f'{name}: {step.__doc__}')
    for line in (f'injected: {injected}', *lines):
        click.echo(f'  {line}')
    for problem in run.problems[:10]:
        click.echo(f'  PROBLEM: {problem}')
    held = not run.problems
    took_s = time.monotonic() - started_at
    click.echo(f'  {"held" if held else "BROKEN"} after {took_s:.1f} s')
    return held


@click.command()
@click.argument('names', nargs=-1, type=click.Choice(tuple(PROOFS)))
@click.option('--all', 'everything', is_flag=True, help='Run all proofs.')
@click.option('--hosts', default=3, help='Number of entry hosts.')
def main(names: tuple[str, ...], *, everything: bool, hosts: int) -> None:
    """Run fault-injection tests of real processes under load.

    \f
    :param names: names of proofs.
    :param everything: whether to run all proofs.
    :param hosts: number of entry hosts.
    """
    chosen = tuple(PROOFS) if everything else names
    broken = [name for name in chosen if not run_proof(name, hosts)]
    click.echo(f'{len(chosen) - len(broken)} held, {len(broken)} broken')
    sys.exit(1 if broken else 0)


if __name__ == '__main__':
    main()
