"""Forwarded requests and the responses of backend servers."""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from typing import Protocol

from egretdale.coordination.ports import EndOfStream, MaybeRun, NotRun
from egretdale.state.backpressure import BackendStatement
from egretdale.state.instances import Instance
from egretdale.state.outcomes import Refused

#: Parts of a prompt that are logged.
_SHOWN_PARTS = 8


@dataclass(slots=True, frozen=True)
class PromptPart:
    """A part of a prompt that other requests may share.

    :ivar identity: hash of the part.
    :ivar tokens: length of the part in tokens.
    """

    identity: int
    tokens: int


@dataclass(slots=True, frozen=True)
class Prompt:
    """Size and parts of a prompt.

    :ivar tokens: length of the prompt in tokens.
    :ivar maximum_output: output limit in tokens.
    :ivar parts: parts in order; the last one is specific to the request.
    """

    tokens: int = 0
    maximum_output: int = 0
    parts: tuple[PromptPart, ...] = ()

    def find_affinity(self) -> PromptPart | None:
        """Return the part by which similar requests are placed together.

        This is the last shared part, or the only part of the prompt.
        """
        if not self.parts:
            return None
        return self.parts[-2] if len(self.parts) > 1 else self.parts[0]

    def format_parts(self) -> str:
        """Return the identities of the first parts, as written by callers."""
        shown = self.parts[:_SHOWN_PARTS]
        return ','.join(f'{part.identity:x}' for part in shown)

    def count_shared(self) -> int:
        """Count the tokens of all parts but the last."""
        return sum(part.tokens for part in self.parts[:-1])


@dataclass(slots=True)
class ForwardRequest:
    """A request to forward, as parsed by the protocol layer.

    :ivar request_id: ID that the caller gave the request.
    :ivar method: HTTP method.
    :ivar target: path and query exactly as received.
    :ivar host_name: host name of the request, without the port.
    :ivar headers: headers to forward, in order.
    :ivar body: request body.
    :ivar key: API key of the caller, empty for none.
    :ivar patience_s: how long the caller waits in seconds, ``None`` if not
        given.
    :ivar prompt: size and parts of the prompt.
    :ivar arrived_at: time at which the request head was read, on the
        monotonic clock of the host.
    :ivar last_event_id: event after which the caller resumes a stream, empty
        for a new one.
    :ivar resumed_id: ID of the request that brought the first event of that
        stream.
    :ivar relayed_attempts: number of backend servers that another host has
        sent it to before it relayed it, -1 for a request of a caller.
    """

    request_id: str
    method: str
    target: str
    host_name: str
    headers: list[tuple[str, str]]
    body: bytes
    key: str
    patience_s: float | None
    prompt: Prompt
    arrived_at: float
    last_event_id: str = ''
    resumed_id: str = ''
    relayed_attempts: int = -1

    @property
    def is_relayed(self) -> bool:
        """Whether another host has relayed the request to this one."""
        return self.relayed_attempts >= 0

    @property
    def path(self) -> str:
        """Path of the request without the query."""
        return self.target.partition('?')[0]


@dataclass(slots=True, frozen=True)
class ForwardAttempt:
    """One attempt to run a request on a backend server.

    :ivar request: the request.
    :ivar instance: backend server that the request is sent to.
    :ivar organisation: organisation of the caller, empty for none.
    :ivar left_s: time left for the response in seconds.
    :ivar urgency: rank for the backend server, 0 is served first.
    :ivar last_event_id: event after which to resume a stream, empty for a
        new response.
    :ivar is_repeatable: whether it may run twice.
    """

    request: ForwardRequest
    instance: Instance
    organisation: str
    left_s: float
    urgency: int
    last_event_id: str = ''
    is_repeatable: bool = True


@dataclass(slots=True, frozen=True)
class RelayAttempt:
    """One attempt to have a request forwarded by another host.

    :ivar request: the request.
    :ivar host: name of the host.
    :ivar address: ``address:port`` of the host for callers.
    :ivar left_s: time left for the response in seconds.
    :ivar attempts: number of backend servers that it was sent to already.
    :ivar is_repeatable: whether the request may run more than once.
    """

    request: ForwardRequest
    host: str
    address: str
    left_s: float
    attempts: int
    is_repeatable: bool


@dataclass(slots=True, frozen=True)
class BackendIdentity:
    """The backend server that sent a response which a host relays.

    :ivar service: its service.
    :ivar name: its name.
    :ivar born_ms: its start time in milliseconds.
    """

    service: str
    name: str
    born_ms: int


class ForwardResponse(Protocol):
    """A response of a backend server whose head has been read.

    :ivar status: HTTP status.
    :ivar headers: headers to forward.
    :ivar length: length of the body in bytes, ``None`` if not announced.
    :ivar sealed: whether the response carries the signature header of the
        backend server.
    :ivar not_run: whether the backend server reports that it did not run the
        request.
    :ivar statement: what the backend server says about further requests.
    :ivar backend: the backend server, if another host has relayed the response
        and says so.
    """

    status: int
    headers: Sequence[tuple[str, str]]
    length: int | None
    sealed: bool
    not_run: bool
    statement: BackendStatement
    backend: BackendIdentity | None

    def read(self) -> bytes | EndOfStream | MaybeRun:
        """Read the next bytes of the body."""

    def close(self) -> None:
        """Close the connection, which makes the backend server stop."""


class ForwardClient(Protocol):
    """Sends requests to backend servers."""

    def open(
        self, attempt: ForwardAttempt
    ) -> ForwardResponse | NotRun | MaybeRun:
        """Send a request and read the head of the response.

        :param attempt: the request and the backend server.
        """

    def test_connection(self, instance: Instance) -> NotRun | None:
        """Open a connection, which is kept for a later request.

        :param instance: the backend server.
        :return: the failure, ``None`` if there was none.
        """

    def relay(
        self, attempt: RelayAttempt
    ) -> ForwardResponse | NotRun | MaybeRun:
        """Send a request to another host and read the head of the response.

        :param attempt: the request and the host.
        """


@dataclass(slots=True, frozen=True)
class ForwardReply:
    """A response that is relayed to the caller.

    :ivar status: HTTP status of the backend server.
    :ivar headers: headers to forward.
    :ivar length: length of the body in bytes, ``None`` if unknown.
    :ivar chunks: chunks of the body; raises :class:`IncompleteResponse` if
        the body cannot be completed.
    :ivar backend: the backend server, if another host has relayed the request
        to this one.
    """

    status: int
    headers: Sequence[tuple[str, str]]
    length: int | None
    chunks: Iterator[bytes]
    backend: BackendIdentity | None = None


#: Outcome of forwarding a request: a response to relay, or a refusal.
ForwardOutcome = ForwardReply | Refused


class IncompleteResponse(Exception):
    """A response that has started cannot be completed."""


class HostStopped(Exception):
    """The shutdown of this host has ended while a request was running."""


class CallerGone(Exception):
    """The caller closed its connection while its request was running."""
