"""Requests that an emulated host has another one forward."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, replace

import eventlet

from egretdale.coordination.exchanges import (
    BackendIdentity,
    ForwardReply,
    IncompleteResponse,
    RelayAttempt,
)
from egretdale.coordination.ports import EndOfStream, MaybeRun, NotRun
from egretdale.protocol.forwarding import HeaderCodec, HeaderNames
from egretdale.state.backpressure import BackendStatement
from egretdale.state.outcomes import Ran, Reason, Refused
from standins.emulation.hosts import LATENCY_S, EmulatedHost

_MISDIRECTED = 421
_UNAVAILABLE = 503
_codec = HeaderCodec(HeaderNames())


@dataclass(slots=True)
class HostResponse:
    """A response that a host relays to another one.

    :ivar reply: the response of the engine, ``None`` if the host refused the
        request.
    """

    reply: ForwardReply | None
    status: int = 200
    headers: Sequence[tuple[str, str]] = ()
    length: int | None = None
    sealed: bool = True
    not_run: bool = False
    statement: BackendStatement = BackendStatement()
    backend: BackendIdentity | None = None

    def read(self) -> bytes | EndOfStream | MaybeRun:
        """Read the next chunk."""
        if self.reply is None:
            return EndOfStream()
        try:
            return next(self.reply.chunks, EndOfStream())
        except IncompleteResponse as incomplete:
            return MaybeRun(str(incomplete))

    def close(self) -> None:
        """Close the connection."""
        if self.reply is not None:
            self.reply.chunks.close()


def relay_to_host(
    hosts: dict[str, EmulatedHost], attempt: RelayAttempt
) -> HostResponse | NotRun | MaybeRun:
    """Have a host forward the request of another one.

    :param hosts: hosts by name.
    :param attempt: the request and the host.
    """
    eventlet.sleep(LATENCY_S)
    host = hosts.get(attempt.host)
    if host is None:
        return NotRun('refused', is_refused=True)
    request = replace(attempt.request, relayed_attempts=attempt.attempts)
    reply = host.forwarder.forward(host.forwarder.admit(request))
    eventlet.sleep(LATENCY_S)
    match reply:
        case Refused(reason=Reason.HOST_CUT_OFF):
            return HostResponse(None, _MISDIRECTED, sealed=False, not_run=True)
        case Refused(ran=Ran.NO):
            return HostResponse(None, _UNAVAILABLE, sealed=False)
        case Refused(detail=detail):
            return MaybeRun(detail)
    metadata = _codec.parse_response(
        request.request_id, reply.status, reply.headers
    )
    return HostResponse(
        reply,
        reply.status,
        metadata.headers,
        statement=metadata.statement,
        backend=reply.backend,
    )
