"""Requests that are forwarded to backend servers, and their answers."""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from typing import Protocol

from egretdale.coordination.ports import EndOfStream, MaybeRun, NotRun
from egretdale.state.instances import Instance
from egretdale.state.outcomes import Refused


@dataclass(slots=True, frozen=True)
class PromptPart:
    """A part of a prompt that other requests may share.

    :ivar identity: hash of the part.
    :ivar tokens: its length in tokens.
    """

    identity: int
    tokens: int


@dataclass(slots=True, frozen=True)
class Prompt:
    """Size and parts of a prompt.

    :ivar tokens: length of the prompt in tokens.
    :ivar maximum_output: output limit in tokens.
    :ivar parts: parts in order; the last belongs to the request alone.
    """

    tokens: int = 0
    maximum_output: int = 0
    parts: tuple[PromptPart, ...] = ()

    def find_affinity(self) -> PromptPart | None:
        """Find the last part that other requests may share."""
        if not self.parts:
            return None
        return self.parts[-2] if len(self.parts) > 1 else self.parts[0]

    def count_shared(self) -> int:
        """Count the tokens of all parts but the last."""
        return sum(part.tokens for part in self.parts[:-1])


@dataclass(slots=True)
class ForwardRequest:
    """A request to forward, as the protocol layer understood it.

    :ivar request_id: identity that the caller gave it.
    :ivar method: HTTP method.
    :ivar target: path and query exactly as sent.
    :ivar host_name: host name that the caller asked for.
    :ivar headers: headers to pass on, in order.
    :ivar body: request body.
    :ivar key: key of the caller, empty for none.
    :ivar patience_s: how long the caller waits in seconds, ``None`` when it
        did not say.
    :ivar prompt: size and parts of the prompt.
    :ivar arrived_at: when its head had been read, on the clock of the host.
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

    @property
    def path(self) -> str:
        """Path without the query."""
        return self.target.partition('?')[0]


@dataclass(slots=True, frozen=True)
class ForwardAttempt:
    """One sending of a request to a backend server.

    :ivar request: the request.
    :ivar instance: backend server that it goes to.
    :ivar organisation: organisation of the caller, empty for none.
    :ivar left_s: time that is left for the answer in seconds.
    :ivar urgency: rank for the backend server, 0 is served first.
    :ivar last_event_id: event after which a stream goes on, empty for a new
        stream.
    """

    request: ForwardRequest
    instance: Instance
    organisation: str
    left_s: float
    urgency: int
    last_event_id: str = ''


class ForwardResponse(Protocol):
    """An answer of a backend server whose head has been read.

    :ivar status: HTTP status.
    :ivar headers: headers to pass on.
    :ivar length: length of the body in bytes, ``None`` when not announced.
    :ivar sealed: whether the backend server signed it.
    :ivar not_run: whether the backend server says that it did not run the
        request.
    """

    status: int
    headers: Sequence[tuple[str, str]]
    length: int | None
    sealed: bool
    not_run: bool

    def read(self) -> bytes | EndOfStream | MaybeRun:
        """Read the next bytes of the body."""

    def close(self) -> None:
        """Drop the connection, which ends the work of the backend server."""


class ForwardClient(Protocol):
    """Sends requests to backend servers."""

    def open(
        self, attempt: ForwardAttempt
    ) -> ForwardResponse | NotRun | MaybeRun:
        """Send a request and read the head of the answer.

        :param attempt: the request and where it goes.
        """


@dataclass(slots=True, frozen=True)
class ForwardReply:
    """An answer that is passed on to the caller.

    :ivar status: HTTP status of the backend server.
    :ivar headers: headers to pass on.
    :ivar length: length of the body in bytes, ``None`` when unknown.
    :ivar chunks: body; an exception ends a body that is not complete.
    """

    status: int
    headers: Sequence[tuple[str, str]]
    length: int | None
    chunks: Iterator[bytes]


#: What a caller gets: an answer of a backend server, or a refusal.
ForwardOutcome = ForwardReply | Refused


class IncompleteResponse(Exception):
    """An answer that has begun cannot be completed."""


class CallerGone(Exception):
    """The caller closed its connection while its request was running."""
