"""Headers of forwarded requests and of their responses."""

from __future__ import annotations

from urllib.parse import quote
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field

from egretdale.coordination.exchanges import (
    BackendIdentity,
    ForwardAttempt,
    ForwardRequest,
    RelayAttempt,
)
from egretdale.errors import Invalid
from egretdale.protocol.header_values import (
    parse_backend,
    parse_duration,
    parse_flag,
    parse_prompt,
    parse_rate,
    parse_relayed,
)
from egretdale.state.backpressure import BackendStatement
from egretdale.util.clocks import convert_to_ms

#: Name and value of a header, as sent.
Header = tuple[str, str]

_MISDIRECTED_REQUEST = 421
#: Hop-by-hop headers and headers that each hop sets itself; not forwarded.
_HOP_HEADERS = frozenset(
    (
        'connection',
        'content-length',
        'expect',
        'host',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    )
)


@dataclass(slots=True, frozen=True)
class HeaderNames:
    """Names of the headers that the router reads or sets.

    :ivar request_id: ID of a request, repeated in its response.
    :ivar deadline_ms: time that the caller waits, in milliseconds.
    :ivar credentials: carries the API key of the caller.
    :ivar scheme: authentication scheme before the key.
    :ivar token_counts: prompt tokens and output limit.
    :ivar prompt_parts: parts of the prompt, each as hash and tokens.
    :ivar last_event_id: event after which a stream is resumed.
    :ivar resumed_request: ID of the request that brought the first event of
        the resumed stream.
    :ivar seal: signature of the backend server.
    :ivar organisation: organisation of the caller.
    :ivar expected_instance: backend server that must run the request.
    :ivar not_run: present if the backend server did not run the request.
    :ivar urgency: scheduling rank of the request at the backend server.
    :ivar request_limit: requests per second that the backend server accepts
        from all hosts together.
    :ivar rejection_limit: requests that the backend server can reject in a
        second without falling over.
    :ivar leaving: present if the backend server accepts no new work.
    :ivar relayed: present if another host has relayed the request; number of
        backend servers that it has sent it to.
    :ivar backend: backend server whose response another host has relayed, set
        by that host.
    :ivar reserved: other headers that callers must not set.
    """

    request_id: str = 'Egret-Request-Id'
    deadline_ms: str = 'Egret-Deadline-Ms'
    credentials: str = 'Authorization'
    scheme: str = 'Bearer'
    token_counts: str = 'Egret-Token-Counts'
    prompt_parts: str = 'Egret-Prompt-Parts'
    last_event_id: str = 'Last-Event-Id'
    resumed_request: str = 'Egret-Resumes'
    seal: str = 'Egret-Seal'
    organisation: str = 'Egret-Organisation'
    expected_instance: str = 'Egret-Expected-Instance'
    not_run: str = 'Egret-Not-Run'
    urgency: str = 'Egret-Urgency'
    request_limit: str = 'Egret-Request-Limit'
    rejection_limit: str = 'Egret-Rejection-Limit'
    leaving: str = 'Egret-Leaving'
    relayed: str = 'Egret-Relayed'
    backend: str = 'Egret-Backend'
    reserved: tuple[str, ...] = ()


@dataclass(slots=True, frozen=True)
class RequestHead:
    """The request line and the headers of a request, as received.

    :ivar method: HTTP method.
    :ivar target: path and query exactly as sent.
    :ivar headers: headers as sent.
    :ivar arrived_at: time at which they had been read, on the host's clock.
    """

    method: str
    target: str
    headers: Sequence[Header]
    arrived_at: float


@dataclass(slots=True, frozen=True)
class ResponseMetadata:
    """What the headers of a response state.

    :ivar matches: whether the response belongs to the request.
    :ivar sealed: whether the backend server signed it as its own.
    :ivar not_run: whether the request was not run.
    :ivar headers: headers to forward.
    :ivar statement: what the backend server says about further requests.
    :ivar backend: the backend server, if another host has relayed the response
        and says so.
    """

    matches: bool
    sealed: bool
    not_run: bool
    headers: list[Header]
    statement: BackendStatement
    backend: BackendIdentity | None


@dataclass(slots=True)
class HeaderCodec:
    """Parses and builds the headers of forwarded requests.

    :ivar names: names of the headers.
    """

    names: HeaderNames
    _dropped: frozenset[str] = field(init=False, default=frozenset())
    _single: frozenset[str] = field(init=False, default=frozenset())
    _dropped_from_responses: frozenset[str] = field(
        init=False, default=frozenset()
    )

    def __post_init__(self) -> None:
        """Collect the headers that are not forwarded."""
        names = self.names
        withheld = (
            names.credentials,
            names.deadline_ms,
            names.organisation,
            names.expected_instance,
            names.urgency,
            names.relayed,
            *names.reserved,
        )
        single = (
            'Host',
            names.request_id,
            names.credentials,
            names.deadline_ms,
            names.token_counts,
            names.prompt_parts,
            names.last_event_id,
            names.resumed_request,
            names.relayed,
        )
        self._single = frozenset(name.lower() for name in single)
        self._dropped = _HOP_HEADERS | {name.lower() for name in withheld}
        self._dropped_from_responses = _HOP_HEADERS | {names.backend.lower()}

    def parse_request(self, head: RequestHead) -> ForwardRequest | Invalid:
        """Parse the head of a request.

        :param head: request line and headers.
        :return: the request without its body, or the invalid header.
        """
        present: dict[str, str] = {}
        for name, text in head.headers:
            lowered = name.lower()
            if lowered in present and lowered in self._single:
                # The backend server could read another one than this host.
                return Invalid(name, 'is given more than once')
            present[lowered] = text
        names = self.names
        request_id = present.get(names.request_id.lower(), '')
        if not request_id:
            return Invalid(names.request_id, 'is missing')
        patience_s = parse_duration(present.get(names.deadline_ms.lower()))
        if isinstance(patience_s, Invalid):
            return Invalid(names.deadline_ms, patience_s.message)
        host_name, _, _ = present.get('host', '').partition(':')
        return ForwardRequest(
            request_id,
            head.method,
            head.target,
            host_name,
            self._list_forwarded(head.headers),
            b'',
            self._parse_key(present.get(names.credentials.lower(), '')),
            patience_s,
            parse_prompt(
                present.get(names.token_counts.lower(), ''),
                present.get(names.prompt_parts.lower(), ''),
            ),
            head.arrived_at,
            present.get(names.last_event_id.lower(), ''),
            present.get(names.resumed_request.lower(), ''),
            parse_relayed(present.get(names.relayed.lower(), '')),
        )

    def build_relay_headers(self, attempt: RelayAttempt) -> list[Header]:
        """Build the headers of a request to another host.

        :param attempt: the request and the host.
        :return: the headers, without those that give the length of the body.
        """
        names = self.names
        request = attempt.request
        remaining_ms = max(1, convert_to_ms(attempt.left_s))
        headers = [
            *request.headers,
            ('Host', request.host_name),
            (names.deadline_ms, str(remaining_ms)),
            (names.relayed, str(attempt.attempts)),
        ]
        if request.key:
            headers.append((names.credentials, f'{names.scheme} {request.key}'))
        return headers

    def build_headers(self, attempt: ForwardAttempt) -> list[Header]:
        """Build the headers of a request to a backend server.

        :param attempt: the request and its backend server.
        :return: the headers, without those that give the length of the body.
        """
        names = self.names
        request = attempt.request
        last_event = names.last_event_id.lower()
        headers = [
            (name, text)
            for name, text in request.headers
            if not attempt.last_event_id or name.lower() != last_event
        ]
        headers.append(('Host', request.host_name))
        remaining_ms = max(1, convert_to_ms(attempt.left_s))
        headers.append((names.deadline_ms, str(remaining_ms)))
        headers.append((names.expected_instance, attempt.instance.name))
        if attempt.organisation:
            headers.append((names.organisation, attempt.organisation))
        if request.prompt.tokens:
            headers.append((names.urgency, str(attempt.urgency)))
        if attempt.last_event_id:
            headers.append((names.last_event_id, attempt.last_event_id))
        return headers

    def parse_response(
        self,
        request_id: str,
        status: int,
        headers: Iterable[Header],
        *,
        is_first: bool = True,
    ) -> ResponseMetadata:
        """Parse the headers of a response.

        :param request_id: ID of the request that was sent.
        :param status: HTTP status.
        :param headers: headers as the backend server sent them.
        :param is_first: whether no other request was sent on the connection;
            a response without an ID may otherwise answer an earlier one.
        :return: what the headers state.
        """
        names = self.names
        present: dict[str, str] = {}
        forwarded = []
        request_ids = []
        for name, text in headers:
            lowered = name.lower()
            present[lowered] = text
            if lowered == names.request_id.lower():
                request_ids.append(text)
            if lowered not in self._dropped_from_responses:
                forwarded.append((name, text))
        not_run = (
            names.not_run.lower() in present or status == _MISDIRECTED_REQUEST
        )
        sealed = (
            names.seal.lower() in present and 'content-encoding' not in present
        )
        return ResponseMetadata(
            request_ids == [request_id] or (is_first and not request_ids),
            sealed,
            not_run,
            forwarded,
            self._parse_statement(present),
            parse_backend(present.get(names.backend.lower(), '')),
        )

    def build_backend_header(self, backend: BackendIdentity) -> Header:
        """Build the header that tells another host who sent a response.

        :param backend: the backend server.
        :return: the header.
        """
        parts = (backend.service, backend.name, str(backend.born_ms))
        return self.names.backend, ';'.join(quote(part) for part in parts)

    def _parse_statement(self, present: Mapping[str, str]) -> BackendStatement:
        limit = self.names.request_limit
        brittle = self.names.rejection_limit
        leaving = self.names.leaving
        return BackendStatement(
            parse_rate(limit, present.get(limit.lower())),
            parse_rate(brittle, present.get(brittle.lower())),
            parse_flag(leaving, present.get(leaving.lower())),
        )

    def _list_forwarded(self, headers: Iterable[Header]) -> list[Header]:
        return [
            (name, text)
            for name, text in headers
            if name.lower() not in self._dropped
        ]

    def _parse_key(self, credentials: str) -> str:
        scheme, _, key = credentials.strip().partition(' ')
        if scheme.lower() != self.names.scheme.lower():
            return ''
        return key.strip()
