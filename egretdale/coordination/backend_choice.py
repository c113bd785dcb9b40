"""Choice of the backend server for a request, by this host alone."""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass

from egretdale.coordination.exchanges import Prompt
from egretdale.state.instances import Instance, InstanceTable
from egretdale.state.loads import InstanceLoad, LoadTable
from egretdale.state.outcomes import Ran, Reason, Refused
from egretdale.state.prefixes import PrefixIndex
from egretdale.state.request_gates import RequestGates
from egretdale.util.clocks import Clock
from egretdale.util.hashing import rank_by_rendezvous

#: Delay of a new request by each running one, in prompt tokens that an engine
#: prefills in that time.
_TOKENS_PER_RUNNING = 150
#: Penalty in prompt tokens for a backend server at which all requests fail.
_TOKENS_PER_FAILURE = 60000
#: Bounds on the retry time in seconds when all backend servers have reached
#: their request limits.
_MINIMUM_RETRY_S = 0.3
_MAXIMUM_RETRY_S = 2.0


@dataclass(slots=True, frozen=True)
class BackendChoice:
    """The backend server that was chosen for a request.

    :ivar instance: the backend server.
    :ivar prefill_tokens: tokens that it probably has to prefill.
    :ivar granted: whether an allocator granted it.
    """

    instance: Instance
    prefill_tokens: int
    granted: bool = False


class BackendChooser:
    """Chooses backend servers by cached prompt parts and load.

    All hosts prefer the same backend server for a shared part, so that it
    is prefilled only once, and choose others as its load grows.
    """

    __slots__ = ('_clock', '_gates', '_instances', '_loads', '_prefixes')

    def __init__(
        self,
        instances: InstanceTable,
        loads: LoadTable,
        gates: RequestGates,
        clock: Clock,
    ) -> None:
        """Create a chooser.

        :param instances: backend servers.
        :param loads: their loads.
        :param gates: pace of the requests to limited backend servers.
        :param clock: monotonic clock.
        """
        self._instances = instances
        self._loads = loads
        self._gates = gates
        self._clock = clock
        self._prefixes = PrefixIndex()

    def choose(
        self,
        service: str,
        prompt: Prompt,
        avoided: Collection[str],
        *,
        spread_key: str,
        software_version: str = '',
    ) -> BackendChoice | Refused | None:
        """Choose a backend server.

        :param service: service name.
        :param prompt: size and parts of the prompt.
        :param avoided: names of backend servers that failed the request.
        :param spread_key: hashed in place of a shared part if there is none.
        :param software_version: version that it must run, empty for any.
        :return: the choice, a refusal when all backend servers have reached
            their limits, or ``None`` when there is none.
        """
        candidates = self._list_candidates(service, avoided, software_version)
        healthy = [
            instance
            for instance in candidates
            if not self._loads.is_suspended(instance.incarnation)
        ]
        usable = self._exclude_limited(healthy) or self._exclude_limited(
            candidates
        )
        if candidates and not usable:
            return self._refuse_limited(candidates)
        part = prompt.find_affinity()
        key = spread_key if part is None else str(part.identity)
        choices = self._rate(usable, prompt, key)
        if not choices:
            return None
        choice = min(choices, key=lambda entry: entry[0])[1]
        self._gates.take(choice.instance)
        return choice

    def list_suspended(self, service: str) -> list[str]:
        """List the backend servers that are suspended after failures.

        :param service: service name.
        :return: their names.
        """
        return [
            instance.name
            for instance in self._instances.list_ready(service)
            if self._loads.is_suspended(instance.incarnation)
        ]

    def note(self, choice: BackendChoice, prompt: Prompt) -> None:
        """Record that a backend server will cache the prompt's shared part.

        :param choice: where the request was sent.
        :param prompt: its prompt.
        """
        part = prompt.find_affinity()
        if part is not None:
            name = choice.instance.incarnation_name
            self._prefixes.note(name, part.identity, self._clock())

    def forget(self, instance: Instance) -> None:
        """Drop the state of a backend server that has gone.

        :param instance: the backend server.
        """
        self._prefixes.clear(instance.incarnation_name)
        self._loads.forget(instance.incarnation)
        self._gates.forget(instance.incarnation)

    def _list_candidates(
        self, service: str, avoided: Collection[str], software_version: str
    ) -> list[Instance]:
        """List the backend servers that can serve a request.

        :param service: service name.
        :param avoided: names of backend servers that failed the request.
        :param software_version: version that they must run, empty for any.
        :return: backend servers; leaving ones only if there are no others.
        """
        for listed in (
            self._instances.list_ready(service),
            self._instances.list_last_resorts(service),
        ):
            candidates = [
                instance
                for instance in listed
                if instance.name not in avoided
                and instance.runs_version(software_version)
            ]
            if candidates:
                return candidates
        return []

    def _exclude_limited(self, candidates: list[Instance]) -> list[Instance]:
        """Exclude backend servers that accept no request of this host now.

        Limited ones are used only when all are limited, since the allocator
        grants the most part of a limit.

        :param candidates: backend servers.
        :return: backend servers that accept a request.
        """
        unlimited = [
            instance
            for instance in candidates
            if not self._gates.is_limited(instance)
        ]
        return unlimited or [
            instance
            for instance in candidates
            if not self._gates.measure_wait(instance)
        ]

    def _refuse_limited(self, candidates: list[Instance]) -> Refused:
        wait_s = min(map(self._gates.measure_wait, candidates))
        retry_s = min(max(_MINIMUM_RETRY_S, wait_s), _MAXIMUM_RETRY_S)
        return Refused(
            Reason.NO_BACKEND_SERVER,
            Ran.NO,
            retry_s,
            'all backend servers have reached their request limits',
        )

    def _rate(
        self, instances: list[Instance], prompt: Prompt, key: str
    ) -> list[tuple[tuple[float, int], BackendChoice]]:
        by_name = {entry.name: entry for entry in instances}
        ranked = [by_name[name] for name in rank_by_rendezvous(key, by_name)]
        loads = {
            entry.name: self._loads.find(entry.incarnation)
            for entry in instances
        }
        best_rate = min(
            (load.failure_rate for load in loads.values()), default=float(0)
        )
        weighted = []
        for rank, entry in enumerate(ranked):
            tokens = self._count_prefill(entry, prompt, rank)
            delay = _measure_delay(loads[entry.name], tokens, best_rate)
            weighted.append(((delay, rank), BackendChoice(entry, tokens)))
        return weighted

    def _count_prefill(
        self, instance: Instance, prompt: Prompt, rank: int
    ) -> int:
        part = prompt.find_affinity()
        if part is None or len(prompt.parts) < 2:
            return prompt.tokens
        cached = not rank or self._prefixes.is_held(
            instance.incarnation_name, part.identity, self._clock()
        )
        return prompt.tokens - cached * prompt.count_shared()


def _measure_delay(load: InstanceLoad, tokens: int, best_rate: float) -> float:
    failure_excess = max(float(0), load.failure_rate - best_rate)
    return (
        tokens
        + load.prefill_tokens
        + load.running * _TOKENS_PER_RUNNING
        + failure_excess * _TOKENS_PER_FAILURE
    )
