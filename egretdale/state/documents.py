"""Schema and validation of service documents."""

from __future__ import annotations

from typing import Literal

import msgspec

from egretdale.errors import Invalid
from egretdale.util.validation import split_validation_error

LOWEST_TIER = 3
SCHEMA_VERSION = 1
MAXIMUM_DOCUMENT_BYTES = 262144

_MAXIMUM_HEADROOM = 0.25
_MAXIMUM_SHARE = 0.5
_SUPPORTED_SCHEMAS = (SCHEMA_VERSION,)


class _Part(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Base class of the parts of a document."""


class RequestPattern(_Part, kw_only=True):
    """Pattern that matches requests by method and path.

    :ivar method: HTTP method in capitals; empty matches every method.
    :ivar path: prefix of the request path, relative to the service.
    """

    method: str = ''
    path: str = '/'


class RequestClass(_Part, kw_only=True):
    """A class of requests with common latency targets and priority.

    :ivar name: name that callers send in ``Egret-Class``.
    :ivar tier: 0 is the highest priority, 3 the lowest.
    :ivar first_token_ms: target for the time from arrival to the first byte,
        in milliseconds.
    :ivar between_tokens_ms: target for the time between two tokens of a
        stream, in milliseconds.
    :ivar patience_ms: longest wait in milliseconds before the request is
        refused; defaults to the first-token target.
    :ivar minimum_share: fraction of the service's work that is guaranteed to
        the class while its requests wait, regardless of higher tiers.
    :ivar expected_output_tokens: output length that is assumed until lengths
        have been measured.
    :ivar requests: patterns of the requests that belong to the class when
        they name none.
    """

    name: str
    tier: int
    first_token_ms: int
    between_tokens_ms: int = 200
    patience_ms: int | None = None
    minimum_share: float = 0.02
    expected_output_tokens: int = 128
    requests: tuple[RequestPattern, ...] = ()

    @property
    def first_token_s(self) -> float:
        """Target for the time from arrival to the first byte, in seconds."""
        return self.first_token_ms / 1000

    @property
    def patience_s(self) -> float:
        """Longest wait for a slot, in seconds."""
        return (self.patience_ms or self.first_token_ms) / 1000


class Organisation(_Part, kw_only=True):
    """An organisation that may use the service.

    :ivar name: name that callers send in ``Egret-Organisation``.
    :ivar weight: share relative to the other organisations within a class.
    """

    name: str
    weight: float = 1.0


class Placement(_Part, kw_only=True):
    """A model that must be loaded on a given number of engines.

    :ivar model: model name.
    :ivar version: version label.
    :ivar engines: number of engines.
    :ivar adapter: adapter name, empty for none.
    """

    model: str
    version: str
    engines: int
    adapter: str = ''


class ServiceDocument(_Part, kw_only=True):
    """Configuration of one service, written by its operators.

    :ivar schema: version of this schema.
    :ivar service: service name.
    :ivar owner: team responsible for the document.
    :ivar kind: ``model`` for inference engines, ``plain`` for other services.
    :ivar classes: classes of requests.
    :ivar organisations: organisations that may use the service; any when
        empty.
    :ivar backend_concurrency: maximum number of concurrent requests per
        backend server.
    :ivar groups: number of groups that the backend servers are divided into.
    :ivar headroom: fraction of the slots that a tier leaves free for each
        tier above it.
    :ivar pauses: whether engines pause streams in favour of higher tiers.
    :ivar non_idempotent: requests that must not be run twice.
    :ivar ignores_fencing: names of backend servers that do not check fencing
        tokens.
    :ivar placement: models to load, the most important first.
    """

    schema: int
    service: str
    owner: str
    kind: Literal['model', 'plain']
    classes: tuple[RequestClass, ...]
    organisations: tuple[Organisation, ...] = ()
    backend_concurrency: int = 8
    groups: int = 1
    headroom: float = 0.1
    pauses: bool = True
    non_idempotent: tuple[RequestPattern, ...] = ()
    ignores_fencing: tuple[str, ...] = ()
    placement: tuple[Placement, ...] = ()

    def find_class(self, name: str) -> RequestClass | None:
        """Find a class by name.

        :param name: class name.
        :return: the class, or ``None`` if it is not defined.
        """
        for request_class in self.classes:
            if request_class.name == name:
                return request_class
        return None

    def match_class(self, method: str, path: str) -> RequestClass | None:
        """Find the class whose patterns match a request.

        :param method: HTTP method.
        :param path: request path, relative to the service.
        :return: the first class that matches, or ``None``.
        """
        for request_class in self.classes:
            if _match_any(request_class.requests, method, path):
                return request_class
        return None

    def is_idempotent(self, method: str, path: str) -> bool:
        """Return whether a request may be run twice.

        :param method: HTTP method.
        :param path: request path, relative to the service.
        :return: false if a non-idempotent pattern matches.
        """
        return not _match_any(self.non_idempotent, method, path)

    def index_weights(self) -> dict[str, float]:
        """Return the weights of the organisations by name.

        :return: the weights; empty if any organisation may use the service.
        """
        return {entry.name: entry.weight for entry in self.organisations}


class HistoryEntry(msgspec.Struct, frozen=True):
    """A revision in the history of a document.

    :ivar revision: revision number.
    :ivar nonce: ID of the submission that created it.
    :ivar author: who submitted it.
    :ivar at_s: time of the submission in seconds since the Unix epoch.
    """

    revision: int
    nonce: str
    author: str
    at_s: int


def _match_any(
    patterns: tuple[RequestPattern, ...], method: str, path: str
) -> bool:
    return any(
        pattern.method in {'', method} and path.startswith(pattern.path)
        for pattern in patterns
    )


def parse_document(source: bytes) -> ServiceDocument | Invalid:
    """Decode and validate a document.

    :param source: YAML or JSON text.
    :return: the document, or the path of the first invalid field and why it
        is invalid.
    """
    if len(source) > MAXIMUM_DOCUMENT_BYTES:
        return Invalid('$', f'longer than {MAXIMUM_DOCUMENT_BYTES} bytes')
    try:
        document = msgspec.yaml.decode(source, type=ServiceDocument)
    except msgspec.ValidationError as wrong:
        return split_validation_error(wrong)
    except (msgspec.DecodeError, ValueError, RecursionError) as malformed:
        return Invalid('$', f'not well formed: {malformed}')
    return _find_problem(document) or document


def _find_problem(document: ServiceDocument) -> Invalid | None:
    checks = (
        _check_header(document),
        _check_classes(document),
        _check_organisations(document),
        _check_placement(document),
    )
    for problem in checks:
        if problem is not None:
            return problem
    return None


def _check_header(document: ServiceDocument) -> Invalid | None:
    if document.schema not in _SUPPORTED_SCHEMAS:
        return Invalid('$.schema', f'must be one of {_SUPPORTED_SCHEMAS}')
    if not document.service.replace('-', '').isalnum():
        return Invalid('$.service', 'must be letters, digits and hyphens')
    if document.backend_concurrency < 1:
        return Invalid('$.backend_concurrency', 'must be 1 or more')
    if document.groups < 1:
        return Invalid('$.groups', 'must be 1 or more')
    if not 0 <= document.headroom <= _MAXIMUM_HEADROOM:
        return Invalid('$.headroom', f'must be from 0 to {_MAXIMUM_HEADROOM}')
    return None


def _check_classes(document: ServiceDocument) -> Invalid | None:
    if not document.classes:
        return Invalid('$.classes', 'must name at least one class')
    names = [request_class.name for request_class in document.classes]
    for index, request_class in enumerate(document.classes):
        path = f'$.classes[{index}]'
        if names.count(request_class.name) > 1:
            return Invalid(f'{path}.name', 'must be unique')
        problem = _check_class(path, request_class)
        if problem is not None:
            return problem
    shares = sum(entry.minimum_share for entry in document.classes)
    if shares > _MAXIMUM_SHARE:
        return Invalid('$.classes', 'minimum shares must add up to 0.5 or less')
    return None


def _check_class(path: str, request_class: RequestClass) -> Invalid | None:
    if not request_class.name:
        return Invalid(f'{path}.name', 'must not be empty')
    if not 0 <= request_class.tier <= LOWEST_TIER:
        return Invalid(f'{path}.tier', f'must be from 0 to {LOWEST_TIER}')
    if request_class.first_token_ms < 1:
        return Invalid(f'{path}.first_token_ms', 'must be 1 or more')
    if request_class.between_tokens_ms < 1:
        return Invalid(f'{path}.between_tokens_ms', 'must be 1 or more')
    if not 0 < request_class.minimum_share <= _MAXIMUM_SHARE:
        return Invalid(
            f'{path}.minimum_share', 'must be above 0 and at most 0.5'
        )
    if request_class.expected_output_tokens < 1:
        return Invalid(f'{path}.expected_output_tokens', 'must be 1 or more')
    patience_ms = request_class.patience_ms
    if patience_ms is not None and patience_ms < request_class.first_token_ms:
        return Invalid(
            f'{path}.patience_ms', 'must not be below first_token_ms'
        )
    return None


def _check_organisations(document: ServiceDocument) -> Invalid | None:
    seen = set()
    for index, organisation in enumerate(document.organisations):
        path = f'$.organisations[{index}]'
        if organisation.name in seen:
            return Invalid(f'{path}.name', 'must be unique')
        if organisation.weight <= 0:
            return Invalid(f'{path}.weight', 'must be above 0')
        seen.add(organisation.name)
    return None


def _check_placement(document: ServiceDocument) -> Invalid | None:
    if document.placement and document.kind == 'plain':
        return Invalid('$.placement', 'is only allowed when kind is model')
    for index, placement in enumerate(document.placement):
        if placement.engines < 1:
            return Invalid(f'$.placement[{index}].engines', 'must be 1 or more')
    return None
