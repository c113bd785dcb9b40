"""Fixtures shared by the tests."""

from __future__ import annotations

from egretdale.errors import Invalid
from egretdale.state.documents import ServiceDocument, parse_document
from egretdale.state.messages import Ask
from egretdale.state.order import Waiting

DOCUMENT_SOURCE = """
schema: 1
service: claims
owner: team
kind: model
backend_concurrency: 4
headroom: 0.1
classes:
  - {name: counter, tier: 0, first_token_ms: 800, between_tokens_ms: 100}
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
) -> Waiting:
    """Create a request that waits at an allocator.

    :param identity: identity of the request.
    :param class_name: a class of the fixture document.
    :param organisation: an organisation of the fixture document.
    :param arrival: monotonic seconds.
    :param cost: expected slot-seconds.
    :return: the request.
    """
    document = create_document()
    request_class = document.find_class(class_name)
    weight = document.weigh_organisation(organisation)
    if request_class is None or weight is None:
        raise AssertionError(class_name)
    ask = Ask(identity, class_name, organisation, prompt_tokens=100)
    return Waiting(ask, 'host-0', request_class, weight, arrival, cost)
