"""Fixtures shared by the tests."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager

import eventlet

from egretdale.errors import Invalid
from egretdale.state.documents import ServiceDocument, parse_document
from egretdale.state.messages import Ask
from egretdale.state.queues import WaitingRequest
from standins.virtual.backends import VirtualWork
from standins.virtual.hub import use_virtual_time
from standins.virtual.world import SimulatedRequest, World, WorldPlan

DOCUMENT_SOURCE = """
schema: 1
service: claims
owner: team
kind: model
backend_concurrency: 4
headroom: 0.1
classes:
  - name: counter
    tier: 0
    first_token_ms: 800
    between_tokens_ms: 100
    expected_output_tokens: 20
  - {name: summary, tier: 1, first_token_ms: 4000, patience_ms: 20000}
  - {name: draft, tier: 3, first_token_ms: 60000, patience_ms: 3600000}
organisations:
  - {name: large, weight: 2}
  - {name: small}
non_idempotent:
  - {method: POST, path: /references}
"""


def create_document(source: str = DOCUMENT_SOURCE) -> ServiceDocument:
    """Parse a document that must be valid.

    :param source: YAML text.
    :return: the document.
    """
    document = parse_document(source.encode())
    if isinstance(document, Invalid):
        raise AssertionError(f'{document.path}: {document.message}')
    return document


def create_waiting(
    identity: str,
    class_name: str,
    *,
    organisation: str = 'small',
    arrival: float = 0,
    cost: float = 1,
) -> WaitingRequest:
    """Create a request in the queue of an allocator.

    :param identity: identity of the request.
    :param class_name: a class of the fixture document.
    :param organisation: an organisation of the fixture document.
    :param arrival: monotonic seconds.
    :param cost: expected cost in slot-seconds.
    :return: the request.
    """
    document = create_document()
    request_class = document.find_class(class_name)
    weight = document.index_weights().get(organisation)
    if request_class is None or weight is None:
        raise AssertionError(class_name)
    ask = Ask(identity, class_name, organisation, prompt_tokens=100)
    return WaitingRequest(ask, 'host-0', request_class, weight, arrival, cost)


WEB_SOURCE = """
schema: 1
service: web
owner: team
kind: plain
backend_concurrency: 4
classes:
  - name: reference
    tier: 0
    first_token_ms: 2000
    patience_ms: 5000
    expected_output_tokens: 1
    requests: [{method: POST, path: /references}]
  - name: status
    tier: 2
    first_token_ms: 2000
    expected_output_tokens: 1
    requests: [{path: /status}]
non_idempotent:
  - {method: POST, path: /references}
"""


@contextmanager
def open_world(
    *, hosts: int = 3, engines: int = 3, seed: int = 1
) -> Iterator[World]:
    """Run a simulated system on virtual time.

    :param hosts: number of entry hosts.
    :param engines: number of engines.
    :param seed: seed of all random sources.
    :return: the system, after its hosts have discovered each other.
    """
    plan = WorldPlan(
        {'claims': DOCUMENT_SOURCE, 'web': WEB_SOURCE},
        {'claims': engines},
        {'web': 2},
        hosts,
        seed,
    )
    with use_virtual_time() as hub:
        world = World(plan, hub.read_now)
        eventlet.sleep(3)
        yield world


def create_model_request(
    identity: str,
    class_name: str = 'counter',
    *,
    prompt: int = 100,
    output: int = 20,
    organisation: str = 'small',
) -> SimulatedRequest:
    """Create a request to the model service.

    :param identity: identity of the request.
    :param class_name: class of the request.
    :param prompt: tokens of the prompt.
    :param output: tokens of the output.
    :param organisation: organisation of the caller.
    :return: the demand.
    """
    work = VirtualWork(prompt, output, identity=identity)
    return SimulatedRequest(identity, 'claims', class_name, organisation, work)


def create_reference(identity: str, key: str = '') -> SimulatedRequest:
    """Create a non-idempotent request to the plain service.

    :param identity: identity of the request.
    :param key: idempotency key, empty for none.
    :return: the demand.
    """
    return SimulatedRequest(
        identity,
        'web',
        '',
        '',
        VirtualWork(1, 1, identity=identity),
        '/references',
        key,
        streams=False,
        fails_over=False,
    )


def count_runs(world: World, identity: str) -> int:
    """Count how often backend servers ran a request.

    :param world: the simulated system.
    :param identity: identity of the request.
    :return: number of runs.
    """
    return sum(backend.runs[identity] for backend in world.backends.values())
