"""Runs the daemon with a deliberate break, to show that the soak finds it."""

from __future__ import annotations

from egretdale.util import greening  # noqa: F401, I001

import os
import sys
from types import MappingProxyType

from egretdale.coordination.admission import Admission
from egretdale.coordination.configuration import ConfigurationFollower
from egretdale.coordination.forwarding import Forwarder
from egretdale.coordination.ports import EndOfStream, MaybeRun
from egretdale.coordination.response_relay import ResponseRelay
from egretdale.protocol import problems
from egretdale.state.outcomes import Ran, Reason, Refused
from egretdale.state.routing import Route
from egretdale.transport.forwarding import ForwardedResponse
from egretdale.transport.gateway import GatewayDaemon
from egretdale.transport.ingress import Ingress
from standins import platform_path  # noqa: F401

from egretdale_platform.daemon import main  # isort: skip

#: Requests that a daemon with some of the breaks still takes.
_SERVED = 20


def break_twice() -> None:
    """Repeat what may not be repeated."""
    Route.is_repeatable = lambda route: True
    setattr(Forwarder, '_check_attempt', lambda forwarder, progress: None)


def break_refused() -> None:
    """Say that a request has not run when that is not known."""
    statuses = dict(getattr(problems, '_STATUSES'))
    statuses[Reason.OUTCOME_UNKNOWN] = '503 Service Unavailable'
    setattr(problems, '_STATUSES', statuses)


def break_mixed() -> None:
    """End answers that broke off as if they were whole."""
    read = ForwardedResponse.read

    def read_to_any_end(answer: ForwardedResponse) -> bytes | EndOfStream:
        chunk = read(answer)
        return EndOfStream() if isinstance(chunk, MaybeRun) else chunk

    ForwardedResponse.read = read_to_any_end
    setattr(ResponseRelay, '_finish', lambda relay: relay.close())


def break_order() -> None:
    """Leave an event out of each stream."""
    split = getattr(ResponseRelay, '_split')

    def skip(relay: ResponseRelay, chunk: bytes) -> bytes:
        events = split(relay, chunk)
        return b'' if events.startswith(b'id: 5\n') else events

    setattr(ResponseRelay, '_split', skip)


def break_stop() -> None:
    """End at once when a planned stop begins."""

    def end(daemon: GatewayDaemon) -> None:
        getattr(daemon, '_end').finish(0)

    setattr(GatewayDaemon, '_drain', end)


def break_revoked() -> None:
    """Keep the first configuration for ever."""
    apply = getattr(ConfigurationFollower, '_apply')

    def apply_first(
        follower: ConfigurationFollower, source: bytes, origin: str
    ) -> int:
        if follower.table is None:
            return apply(follower, source, origin)
        return follower.version

    setattr(ConfigurationFollower, '_apply', apply_first)


def break_own_end() -> None:
    """End after some requests."""
    call = Ingress.__call__
    left = list(range(_SERVED))

    def end(ingress: Ingress, environ: object, start: object) -> object:
        if not left:
            os.abort()
        left.pop()
        return call(ingress, environ, start)

    Ingress.__call__ = end


def break_recovery() -> None:
    """Refuse everything after some requests."""
    decide = Admission.decide
    left = list(range(_SERVED))

    def refuse(admission: Admission, request: object) -> object:
        if not left:
            return Refused(Reason.CONFIGURATION_STALE, Ran.NO, 1)
        left.pop()
        return decide(admission, request)

    Admission.decide = refuse


#: Breaks by the promise that the soak finds broken.
BREAKS = MappingProxyType(
    {
        'twice': break_twice,
        'refused': break_refused,
        'mixed': break_mixed,
        'order': break_order,
        'lost': break_stop,
        'revoked': break_revoked,
        'own-end': break_own_end,
        'recovery': break_recovery,
    }
)


if __name__ == '__main__':
    BREAKS[sys.argv[1]]()
    sys.exit(main())
