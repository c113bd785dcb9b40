"""Fixtures for the tests of forwarding."""

from __future__ import annotations

import random
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field

from egretdale.coordination.admission import Admission, FreshnessLimits
from egretdale.coordination.budgets import RetryBudgets, RetryBudgetSettings
from egretdale.coordination.exchanges import (
    BackendIdentity,
    ForwardAttempt,
    ForwardRequest,
    Prompt,
    PromptPart,
    RelayAttempt,
)
from egretdale.coordination.forwarding import Forwarder
from egretdale.coordination.backend_choice import BackendChooser
from egretdale.coordination.mesh import Mesh
from egretdale.coordination.ports import EndOfStream, MaybeRun, NotRun
from egretdale.coordination.selection import BackendSelection
from egretdale.coordination.stream_origins import ListKnowledge
from egretdale.state.backpressure import BackendStatement
from egretdale.state.gateway_metrics import GatewayMetrics
from egretdale.state.freshness import Confirmation
from egretdale.state.instances import Instance, InstanceTable
from egretdale.state.loads import LoadTable
from egretdale.state.members import MemberTable
from egretdale.state.messages import MemberUpdate
from egretdale.state.routing import (
    CallerLimits,
    KeyHolder,
    RequestKind,
    Route,
    RoutingTable,
    WeightedService,
)
from standins.emulation.hosts import FixedConfiguration
from standins.emulation.policies import NoPrefillClient
from tests.prompts import SilentNetwork

HOST_NAME = 'claims.example'


class ManualClock:
    """A clock that tests set by hand.

    :ivar now: seconds.
    """

    def __init__(self) -> None:
        self.now = 100.0

    def __call__(self) -> float:
        """Return the time."""
        return self.now


def create_route(prefix: str, kind: RequestKind, **changes: object) -> Route:
    """Create a route to the service ``claims``.

    :param prefix: path prefix.
    :param kind: kind of its requests.
    :param changes: fields that differ from the defaults.
    :return: the route.
    """
    fields = {
        'name': prefix.strip('/'),
        'host_name': HOST_NAME,
        'path_prefix': prefix,
        'services': (WeightedService('claims', 1),),
        'kind': kind,
        'timeout_s': 5.0,
        'target_s': 0.4,
        'maximum_attempts': 3,
        'priority': 1,
    }
    return Route(**{**fields, **changes})


def create_table(
    *routes: Route,
    version: int = 1,
    keys: tuple[str, ...] = (),
    holder_priority: int = 0,
) -> RoutingTable:
    """Create a routing table.

    :param routes: its routes.
    :param version: its version.
    :param keys: keys of the only organisation; if empty, none are required.
    :param holder_priority: priority of the organisation.
    :return: the table.
    """
    return RoutingTable(
        version,
        str(version).encode(),
        routes,
        CallerLimits(),
        (KeyHolder('small', keys, holder_priority),) if keys else (),
        requires_keys=bool(keys),
    )


def create_request(path: str, **changes: object) -> ForwardRequest:
    """Create a request that has just arrived.

    :param path: path of the request.
    :param changes: fields that differ from the defaults.
    :return: the request.
    """
    fields = {
        'request_id': 'request-1',
        'method': 'POST',
        'target': path,
        'host_name': HOST_NAME,
        'headers': [],
        'body': b'',
        'key': '',
        'patience_s': 3.0,
        'prompt': Prompt(),
        'arrived_at': 100.0,
    }
    return ForwardRequest(**{**fields, **changes})


def create_prompt(shared: int, own: int, identity: int = 7) -> Prompt:
    """Create a prompt with one shared part and one unshared part.

    :param shared: tokens of the shared part.
    :param own: tokens of the unshared part.
    :param identity: identity of the shared part.
    :return: the prompt.
    """
    parts = (PromptPart(identity, shared), PromptPart(1, own))
    return Prompt(shared + own, 100, parts)


@dataclass
class ScriptedResponse:
    """A response with scripted reads.

    :ivar steps: results of the reads; after them the response ends.
    :ivar closed: whether the connection was closed.
    """

    steps: list = field(default_factory=list)
    status: int = 200
    headers: list = field(default_factory=list)
    length: int | None = None
    sealed: bool = True
    not_run: bool = False
    statement: BackendStatement = BackendStatement()
    backend: BackendIdentity | None = None
    closed: bool = False

    def read(self) -> bytes | EndOfStream | MaybeRun:
        """Return the next scripted result, or the end."""
        return self.steps.pop(0) if self.steps else EndOfStream()

    def close(self) -> None:
        """Record that the connection was closed."""
        self.closed = True


_NO_HOST = NotRun('no other host')


class ScriptedClient:
    """A client with scripted outcomes.

    :ivar attempts: attempts that were sent.
    """

    def __init__(
        self,
        *outcomes: ScriptedResponse | NotRun | MaybeRun,
        relayed: ScriptedResponse | NotRun | MaybeRun = _NO_HOST,
    ) -> None:
        self.attempts: list[ForwardAttempt] = []
        self._relayed = relayed
        self._outcomes = list(outcomes)

    def open(
        self, attempt: ForwardAttempt
    ) -> ScriptedResponse | NotRun | MaybeRun:
        """Return the next scripted outcome."""
        self.attempts.append(attempt)
        return self._outcomes.pop(0)

    def test_connection(self, instance: Instance) -> None:
        """Connect to a server, all of which are in reach."""

    def relay(
        self, attempt: RelayAttempt
    ) -> ScriptedResponse | NotRun | MaybeRun:
        """Return the scripted response of another host."""
        return self._relayed


@dataclass
class ForwardingScene:
    """A forwarder and its dependencies."""

    clock: ManualClock
    configuration: FixedConfiguration
    instances: InstanceTable
    loads: LoadTable
    chooser: BackendChooser
    forwarder: Forwarder
    client: ScriptedClient
    metrics: GatewayMetrics
    members: MemberTable

    def add_peer(self, host: str) -> None:
        """Add another host."""
        update = MemberUpdate(host, 1, 1, 0, 'dc', f'{host}:1', f'{host}:2')
        self.members.apply(update, self.clock.now)

    def forward(self, request: ForwardRequest):
        """Admit and forward a request.

        :param request: the request.
        :return: the reply or the refusal.
        """
        admitted = self.forwarder.admit(request)
        if not hasattr(admitted, 'route'):
            return admitted
        return self.forwarder.forward(admitted)


@contextmanager
def open_scene(
    table: RoutingTable | None, client: ScriptedClient, servers: int = 3
) -> Iterator[ForwardingScene]:
    """Build a forwarder with a fresh configuration.

    :param table: routing table.
    :param client: client of the backend servers.
    :param servers: number of backend servers of ``claims``.
    """
    clock = ManualClock()
    confirmation = Confirmation(clock)
    confirmation.confirm(clock.now)
    configuration = FixedConfiguration(table, confirmation)
    instances = InstanceTable(clock, 2)
    instances.replace(
        {
            f'b{index}': Instance(f'b{index}', 'claims', f'10.0.0.{index}:80')
            for index in range(servers)
        },
        after_outage=False,
    )
    metrics = GatewayMetrics()
    mesh = Mesh(MemberTable('own'), SilentNetwork(), clock, 4096)
    selection = BackendSelection(
        mesh,
        instances,
        clock,
        metrics.silent_allocators,
        list_knowledge=ListKnowledge(lambda: True, bool, float),
    )
    selection.prefill_client = NoPrefillClient()
    forwarder = Forwarder(
        admission=Admission(configuration, FreshnessLimits(2, 5), clock),
        selection=selection,
        budgets=RetryBudgets(
            RetryBudgetSettings(0.2, 40, 10, 4), clock, lambda: 1
        ),
        metrics=metrics,
        client=client,
        clock=clock,
        source=random.Random(1),
    )
    yield ForwardingScene(
        clock,
        configuration,
        instances,
        selection.loads,
        selection.chooser,
        forwarder,
        client,
        metrics,
        mesh.table,
    )
