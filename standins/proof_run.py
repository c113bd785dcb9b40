"""A system under load, with the checks that every proof makes."""

from __future__ import annotations

import random
from collections import Counter
from pathlib import Path

import eventlet
from eventlet.greenthread import GreenThread

from standins.callers import Call, Caller, CallOutcome
from standins.fleet import Fleet, FleetPlan

EXAMPLES = Path(__file__).resolve().parent.parent / 'examples'
CLAIMS = 'blue-mahoe-claims'
WEB = 'blue-mahoe-web'

_CALLERS = 8
_ORGANISATIONS = (
    'kingston-parish',
    'st-andrew-parish',
    'st-catherine-parish',
    'portland-parish',
)


def create_plan(hosts: int = 3) -> FleetPlan:
    """Plan a system of Blue Mahoe, one of the example users.

    :param hosts: number of entry hosts.
    :return: the plan.
    """
    return FleetPlan(
        hosts=hosts,
        engines={CLAIMS: 5},
        plain={WEB: 3},
        settings={
            'answer_lifetime_s': 2.0,
            'drain_limit_s': 60.0,
            'platform_timeout_s': 1.0,
        },
        engine_options=('--speed', '2'),
    )


class ProofRun:
    """A fleet, its callers and the outcomes of their calls.

    :ivar fleet: the processes of the system.
    :ivar outcomes: outcomes of the calls that ended.
    :ivar problems: descriptions of failed checks.
    """

    __slots__ = (
        '_callers',
        '_random',
        '_threads',
        'fleet',
        'outcomes',
        'problems',
    )

    def __init__(self, plan: FleetPlan, seed: int = 1) -> None:
        """Start the fleet and submit the documents.

        :param plan: the processes to start.
        :param seed: random seed of the load.
        """
        self.fleet = Fleet(plan)
        self.outcomes: list[CallOutcome] = []
        self.problems: list[str] = []
        self._random = random.Random(seed)
        self._threads: list[GreenThread] = []
        self.fleet.start()
        for service in (*plan.engines, *plan.plain):
            status = self.fleet.submit(EXAMPLES / f'{service}.yaml')
            self.require(status == 0, f'{service} was not accepted')
        seeds = [running.address for running in self.fleet.hosts.values()]
        self._callers = [
            Caller(seeds, f'dc-{number % 3}', random.Random(number))
            for number in range(_CALLERS)
        ]

    def require(self, holds: bool, problem: str) -> None:
        """Record a problem unless a condition holds.

        :param holds: whether the condition holds.
        :param problem: description of the problem.
        """
        if not holds:
            self.problems.append(problem)

    def start_call(self, call: Call) -> GreenThread:
        """Make a call in the background.

        :param call: the call.
        :return: green thread that returns the outcome.
        """
        thread = eventlet.spawn(self._make_call, call)
        self._threads.append(thread)
        return thread

    def start_load(self, rate: float, duration_s: float) -> GreenThread:
        """Make a random mix of calls in the background.

        :param rate: calls per second.
        :param duration_s: seconds over which calls start.
        :return: green thread that ends after the last call has started.
        """
        return eventlet.spawn(self._make_calls, rate, duration_s)

    def wait_calls(self) -> None:
        """Wait until all calls that were started have ended."""
        while self._threads:
            self._threads.pop().wait()

    def sleep(self, seconds: float) -> None:
        """Wait while the load runs.

        :param seconds: seconds to wait.
        """
        eventlet.sleep(seconds)

    def find_allocator(self, group: str) -> str:
        """Find the host that runs the allocator of a group.

        :param group: group key.
        :return: name of the host, ``host-0`` if none runs it.
        """
        for name, running in self.fleet.hosts.items():
            if running.is_alive():
                status = self.fleet.get(running.address, '/v1/status')
                if group in status['host']['groups']:
                    return name
        return 'host-0'

    def count_runs(self) -> Counter[str]:
        """Count the runs of each request at all running backend servers."""
        runs: Counter[str] = Counter()
        for running in self.fleet.backends.values():
            if not running.is_alive():
                continue
            answer = self.fleet.post(running.address, '/admin/runs', {})
            runs.update(answer.get('runs', answer))
        return runs

    def check(self) -> None:
        """Check the conditions that must hold in every proof."""
        runs = self.count_runs()
        for outcome in self.outcomes:
            call = outcome.call
            self.require(
                outcome.kind != 'broken',
                f'{call.identity} {call.request_class}{call.path} broken: '
                f'{outcome.reason}',
            )
            if outcome.kind == 'refused' and outcome.ran == 'no':
                self.require(
                    runs[call.identity] == 0,
                    f'{call.identity} was refused as not run, but ran',
                )
            self.require(
                bool(call.prompt_tokens) or runs[call.identity] <= 1,
                f'{call.identity} ran {runs[call.identity]} times',
            )

    def describe(self) -> list[str]:
        """Summarise the outcomes as lines of text."""
        kinds = Counter(outcome.kind for outcome in self.outcomes)
        reasons = Counter(
            f'{outcome.reason} (ran {outcome.ran})'
            for outcome in self.outcomes
            if outcome.kind == 'refused'
        )
        runs = self.count_runs()
        plain = [
            outcome.call.identity
            for outcome in self.outcomes
            if not outcome.call.prompt_tokens
        ]
        repeated = sum(1 for identity in plain if runs[identity] > 1)
        resumed = sum(1 for outcome in self.outcomes if outcome.resumed)
        return [
            f'requests {len(self.outcomes)}, whole {kinds["whole"]}, '
            f'refused {kinds["refused"]}, broken {kinds["broken"]}, '
            f'resumed {resumed}',
            f'refusals: {dict(reasons)}',
            f'non-idempotent calls {len(plain)}, run twice {repeated}',
        ]

    def _make_call(self, call: Call) -> CallOutcome:
        outcome = self._random.choice(self._callers).make(call)
        self.outcomes.append(outcome)
        return outcome

    def _make_calls(self, rate: float, duration_s: float) -> None:
        for number in range(round(rate * duration_s)):
            self.start_call(self._create_call(len(self._threads) + number))
            eventlet.sleep(1 / rate)

    def _create_call(self, number: int) -> Call:
        identity = f'{number}-{self._random.getrandbits(48):x}'
        organisation = self._random.choice(_ORGANISATIONS)
        match self._random.choices(range(4), (45, 10, 5, 40))[0]:
            case 0:
                return Call(identity, CLAIMS, 'counter', organisation, 150, 60)
            case 1:
                return Call(identity, CLAIMS, 'summary', organisation, 900, 150)
            case 2:
                return Call(
                    identity, CLAIMS, 'claim-file', organisation, 4000, 300
                )
        return self._create_reference_call(identity)

    def _create_reference_call(self, identity: str) -> Call:
        own_key = ''
        kind = self._random.randrange(3)
        if kind == 0:
            own_key = f'key-{identity}'
        return Call(
            identity, WEB, path='/references', keyed=kind == 1, own_key=own_key
        )
