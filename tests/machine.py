"""A Hypothesis state machine that fuzzes a simulated system."""

from __future__ import annotations

import contextlib
from typing import Any

import eventlet
from hypothesis import strategies
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)

from egretdale.coordination.submission import Accepted, Submission
from egretdale.state.outcomes import Ran, Reason, Refused
from standins.replay import DecisionLog, record_decisions
from standins.virtual.world import RequestResult, World
from tests.fixtures import (
    DOCUMENT_SOURCE,
    count_runs,
    create_model_request,
    create_reference,
    open_world,
)

_HOSTS = 3
_ENGINES = 3
_LEAVE_GRACE_S = 3.0
_PROPAGATION_S = 0.2
_RECOVERY_S = 12.0
_RESYNC_S = 13.0
_DRAIN_S = 400.0
_TIERS = {'counter': 0, 'summary': 1, 'draft': 3}

_hosts = strategies.integers(0, _HOSTS - 1).map('host-{}'.format)
_engines = strategies.integers(0, _ENGINES - 1).map('claims-{}'.format)
_classes = strategies.sampled_from(sorted(_TIERS))
_organisations = strategies.sampled_from(['large', 'small'])


class SystemMachine(RuleBasedStateMachine):
    """Combines requests, operator actions and faults in any order.

    The oracle uses only what each backend server ran, what each caller
    received and which documents were accepted.

    Hypothesis orders rules by name, so renaming a rule changes which examples
    a reproducible run generates.
    """

    def __init__(self) -> None:
        """Start a simulated system."""
        super().__init__()
        self._stack = contextlib.ExitStack()
        self.world: World = self._stack.enter_context(
            open_world(hosts=_HOSTS, engines=_ENGINES)
        )
        self.log: DecisionLog = self._stack.enter_context(
            record_decisions(self.world.clock)
        )
        self.pool = eventlet.GreenPool(1000)
        self.identity_count = 0
        self.sent_count = 0
        self.keys: list[str] = []
        self.accepted_revision = 0
        self.highest_revisions: dict[str, int] = {}
        self.leaving: dict[str, float] = {}
        self.runs_after_leaving: dict[str, int] = {}
        self.cut_requests = 0
        self.stopping: set[str] = set()

    def teardown(self) -> None:
        """Remove all faults, let all requests end and check the guarantees."""
        try:
            self._remove_faults()
            self._drain()
            self._check_endings()
            self._check_priorities()
            self._check_documents()
            self._check_served()
            assert self.cut_requests == 0, (
                f'{self.cut_requests} requests cut by a graceful stop'
            )
        finally:
            self._stack.close()

    # Requests

    @rule(
        class_name=_classes,
        organisation=_organisations,
        output=strategies.integers(1, 120),
    )
    def ask(self, class_name: str, organisation: str, output: int) -> None:
        """Send a request to the model service."""
        prompt = 2000 if class_name == 'draft' else 100
        demand = create_model_request(
            self._create_identity(),
            class_name,
            prompt=prompt,
            output=output,
            organisation=organisation,
        )
        self._make(demand)

    @rule(count=strategies.integers(5, 40), organisation=_organisations)
    def burst(self, count: int, organisation: str) -> None:
        """Send many requests of the class ``counter`` at once."""
        for _ in range(count):
            self._make(
                create_model_request(
                    self._create_identity(), organisation=organisation
                )
            )

    @rule()
    def call_unkeyed(self) -> None:
        """Make a non-idempotent call without a key."""
        self._make(create_reference(self._create_identity()))

    @rule(engine=_engines)
    def crash_under_streams(self, engine: str) -> None:
        """Crash an engine while streams run."""
        for _ in range(8):
            demand = create_model_request(
                self._create_identity(), 'summary', output=120
            )
            self._make(demand)
        eventlet.sleep(0.6)
        self.world.backends[engine].crash()

    @rule(host=_hosts)
    def call_with_lost_replies(self, host: str) -> None:
        """Make non-idempotent calls whose replies are lost."""
        for name in ('web-0', 'web-1'):
            self.world.backends[name].lose_replies = True
        self.call_unkeyed()
        self.call_with_issued_key(host)
        eventlet.sleep(0.5)
        for name in ('web-0', 'web-1'):
            self.world.backends[name].lose_replies = False

    @rule(host=_hosts)
    def call_with_issued_key(self, host: str) -> None:
        """Make a non-idempotent call with a key that a host issued."""
        if host in self.world.list_alive():
            key = self.world.nodes[host].issuer.issue()
            self._call_from_two_hosts(key)

    @rule()
    def call_with_own_key(self) -> None:
        """Make a non-idempotent call with a key that the caller chose."""
        self._call_from_two_hosts(f'own-{self.identity_count}')

    # Faults of hosts

    @rule(host=_hosts)
    def kill(self, host: str) -> None:
        """Kill the process of a host unless no other one is running."""
        if host in self.world.list_alive() and self._may_lose_host():
            self.world.kill_host(host)

    @rule(host=_hosts)
    def start(self, host: str) -> None:
        """Restart a dead host."""
        if host in self.world.faults.dead and host not in self.stopping:
            self.world.start_host(host)

    @rule(host=_hosts, seconds=strategies.sampled_from([0.5, 3, 8]))
    def freeze(self, host: str, seconds: float) -> None:
        """Pause a host for a while."""
        if host in self.world.list_alive() and self._may_lose_host():
            self.world.pause_host(host)
            eventlet.spawn_after(seconds, self.world.resume_host, host)

    @rule(first=_hosts, second=_hosts)
    def cut_path(self, first: str, second: str) -> None:
        """Cut the network path between two hosts."""
        if first != second:
            self.world.faults.cut.add(frozenset((first, second)))

    @rule()
    def heal_paths(self) -> None:
        """Restore all network paths."""
        self.world.faults.cut.clear()
        self.world.platform.cut.clear()

    @rule(host=_hosts)
    def stop(self, host: str) -> None:
        """Stop a host gracefully and restart it."""
        busy = self.stopping or self.world.faults.frozen
        alive = host in self.world.list_alive()
        if alive and not busy and self._may_lose_host():
            self.stopping.add(host)
            eventlet.spawn(self._stop, host)

    # Faults of the platform

    @rule(down=strategies.booleans())
    def switch_platform(self, *, down: bool) -> None:
        """Take the platform down or bring it back."""
        self.world.platform.down = down

    @rule(lost=strategies.booleans())
    def lose_replies(self, *, lost: bool) -> None:
        """Lose the replies of writes, or stop losing them."""
        self.world.platform.lose_replies = lost

    @rule(frozen=strategies.booleans())
    def freeze_listings(self, *, frozen: bool) -> None:
        """Freeze the listings of the platform, or unfreeze them."""
        self.world.platform.store.freeze_listings(frozen=frozen)

    @rule(host=_hosts)
    def silence_watches(self, host: str) -> None:
        """Let the watches of a host miss all changes."""
        self.world.platform.silent.add(host)

    # Faults of backend servers

    @rule(engine=_engines, speed=strategies.sampled_from([0.25, 1.0]))
    def change_speed(self, engine: str, speed: float) -> None:
        """Slow down an engine or restore its speed."""
        self.world.backends[engine].set_speed(speed)

    @rule(engine=_engines)
    def crash(self, engine: str) -> None:
        """Crash an engine with its streams."""
        self.world.backends[engine].crash()

    @rule(engine=_engines)
    def restart(self, engine: str) -> None:
        """Restart a crashed engine."""
        self.world.backends[engine].down = False

    @rule(engine=_engines, silent=strategies.booleans())
    def silence(self, engine: str, *, silent: bool) -> None:
        """Let an engine stop responding, or respond again."""
        self.world.backends[engine].silent = silent

    @rule(engine=_engines, lying=strategies.booleans())
    def lie(self, engine: str, *, lying: bool) -> None:
        """Let an engine falsely report that it is idle, or stop that."""
        self.world.backends[engine].lying = lying

    @rule(lost=strategies.booleans())
    def lose_calls(self, *, lost: bool) -> None:
        """Let a plain service lose the replies of its calls, or stop that."""
        self.world.backends['web-0'].lose_replies = lost

    @rule(refusing=strategies.booleans())
    def refuse_calls(self, *, refusing: bool) -> None:
        """Let a plain service refuse calls as not run, or stop that."""
        self.world.backends['web-1'].refusing = refusing

    @precondition(lambda self: not self.leaving)
    @rule(engine=_engines)
    def leave(self, engine: str) -> None:
        """List an engine as leaving."""
        reachable = not (
            self.world.platform.down
            or self.world.platform.silent
            or self.world.platform.cut
            or self.world.faults.cut
            or self.world.faults.frozen
        )
        if reachable:
            self.world.platform.store.freeze_listings(frozen=False)
            self.world.list_backend(engine, state='leaving')
            # Hosts can read the new state before the next fault.
            eventlet.sleep(_PROPAGATION_S)
            self.leaving[engine] = self.world.clock()
            eventlet.spawn_after(_LEAVE_GRACE_S, self._record_runs, engine)

    # Operators

    @rule(host=_hosts, other=_hosts)
    def submit(self, host: str, other: str) -> None:
        """Let two operators submit documents with the same base revision."""
        alive = self.world.list_alive()
        if host in alive and other in alive:
            threads = [
                eventlet.spawn(
                    self._submit, name, f'{self._create_identity()}-{name}'
                )
                for name in sorted({host, other})
            ]
            outcomes = [thread.wait() for thread in threads]
            wins = [
                outcome for outcome in outcomes if isinstance(outcome, Accepted)
            ]
            assert len({win.revision for win in wins}) == len(wins)
            for win in wins:
                self.accepted_revision = max(
                    self.accepted_revision, win.revision
                )

    @rule(host=_hosts)
    def submit_with_old_lists(self, host: str) -> None:
        """Submit while listings are frozen, and let all hosts read them."""
        self.world.platform.store.freeze_listings(frozen=True)
        self.submit(host, host)
        eventlet.sleep(_RESYNC_S)

    @rule(seconds=strategies.sampled_from([0.05, 0.5, 2, 10]))
    def pass_time(self, seconds: float) -> None:
        """Let time pass."""
        eventlet.sleep(seconds)

    @invariant()
    def check_revisions(self) -> None:
        """No process ever goes back to an older revision."""
        for name, node in self.world.nodes.items():
            process = f'{name}/{id(node)}'
            active = node.replica.find('claims')
            revision = active.revision if active else 0
            assert revision >= self.highest_revisions.get(process, 0), (
                'reverted'
            )
            self.highest_revisions[process] = revision

    # Steps

    def _create_identity(self) -> str:
        self.identity_count += 1
        return f'n{self.identity_count}'

    def _make(self, demand: Any, host: str | None = None) -> None:
        self.sent_count += 1
        self.pool.spawn_n(self.world.send, demand, host)

    def _call_from_two_hosts(self, key: str) -> None:
        demand = create_reference(self._create_identity(), key)
        for host in self.world.list_alive()[:2]:
            self._make(demand, host)

    def _may_lose_host(self) -> bool:
        return len(self.world.list_alive()) > 1 and not self.stopping

    def _stop(self, host: str) -> None:
        node = self.world.nodes[host]
        self.cut_requests += self.world.stop_host(host)
        self.stopping.discard(host)
        if self.world.nodes[host] is node:
            self.world.start_host(host)

    def _submit(self, host: str, nonce: str) -> object:
        active = self.world.nodes[host].replica.find('claims')
        base = active.revision if active else 0
        submission = Submission(
            'claims', DOCUMENT_SOURCE, base, nonce, 'operator'
        )
        with contextlib.suppress(BaseException):
            return self.world.nodes[host].documents.submit(submission)
        return None

    def _record_runs(self, engine: str) -> None:
        if engine in self.leaving:
            runs = self.world.backends[engine].runs
            self.runs_after_leaving[engine] = sum(runs.values())

    def _remove_faults(self) -> None:
        for engine, runs in self.runs_after_leaving.items():
            current_runs = sum(self.world.backends[engine].runs.values())
            assert current_runs == runs, (
                f'{engine} got work after {_LEAVE_GRACE_S} s'
            )
        world = self.world
        world.faults.cut.clear()
        world.platform.cut.clear()
        world.platform.silent.clear()
        world.platform.down = False
        world.platform.lose_replies = False
        world.platform.store.freeze_listings(frozen=False)
        for host in sorted(world.faults.frozen):
            world.resume_host(host)
        for name, backend in world.backends.items():
            backend.down = False
            backend.silent = False
            backend.lying = False
            backend.lose_replies = False
            backend.refusing = False
            backend.set_speed(1)
            world.list_backend(name, incarnation=2)
        self.leaving.clear()
        eventlet.sleep(_RECOVERY_S)
        while self.stopping:
            eventlet.sleep(1)
        for host in sorted(world.faults.dead):
            world.start_host(host)
        eventlet.sleep(_RECOVERY_S)

    def _drain(self) -> None:
        with eventlet.Timeout(_DRAIN_S, False):
            self.pool.waitall()
        assert len(self.world.endings) == self.sent_count, (
            'a request has no end'
        )

    def _check_endings(self) -> None:
        for ending in self.world.endings:
            if ending.is_whole():
                self._check_whole(ending)
            elif isinstance(ending.outcome, Refused):
                self._check_refused(ending, ending.outcome)
            if not ending.demand.streams:
                runs = count_runs(self.world, ending.demand.identity)
                assert runs <= 1, f'{ending.demand.identity} ran {runs} times'

    def _check_whole(self, ending: RequestResult) -> None:
        identity = ending.demand.identity
        assert count_runs(self.world, identity) >= 1, f'{identity} never ran'
        if ending.demand.streams:
            expected = ending.demand.work.output + 1
            assert ending.events == expected, f'{ending} is not whole'

    def _check_refused(self, ending: RequestResult, refused: Refused) -> None:
        identity = ending.demand.identity
        runs = count_runs(self.world, identity)
        # A caller that retried was refused only for its last request.
        single = ending.tries <= 1 and not self._shares_key(ending)
        if refused.ran == Ran.NO and single:
            assert runs == 0, f'{ending} was refused as not run'
        if refused.ran == Ran.YES:
            assert runs >= 1, f'{identity} was refused as run'
        waits = {Reason.TARGET_UNREACHABLE, Reason.PATIENCE_EXCEEDED}
        if refused.reason in waits:
            assert refused.retry_after_s, f'{identity} has no time to return'

    def _shares_key(self, ending: RequestResult) -> bool:
        # Another call with the same key may have run.
        same = [
            other
            for other in self.world.endings
            if other.demand.identity == ending.demand.identity
        ]
        return len(same) > 1

    def _check_priorities(self) -> None:
        grants = [
            decision
            for decision in self.log.decisions
            if decision.event == 'grant'
            and decision.fields['reason'] != 'minimum-share'
        ]
        for refusal in self.log.decisions:
            name = refusal.fields.get('request_class', '')
            if refusal.event != 'refuse' or name not in _TIERS:
                continue
            started = refusal.at - refusal.fields['waited_ms'] / 1000
            lower = [
                grant
                for grant in grants
                if started < grant.at <= refusal.at
                and grant.fields['group'] == refusal.fields['group']
                and grant.fields['term'] == refusal.fields['term']
                and _TIERS.get(grant.fields['request_class'], 0) > _TIERS[name]
            ]
            assert not lower, f'{refusal} although granted: {lower[0]}'

    def _check_documents(self) -> None:
        for name, node in self.world.nodes.items():
            active = node.replica.find('claims')
            assert active is not None, f'{name} has no document'
            assert active.revision >= self.accepted_revision, (
                f'{name} is behind'
            )

    def _check_served(self) -> None:
        for class_name in _TIERS:
            demand = create_model_request(f'last-{class_name}', class_name)
            ending = self.world.send(demand)
            assert ending.is_whole(), f'{class_name} is not served: {ending}'
