"""Runs the daemon with a deliberate bug that the soak test must detect."""

from __future__ import annotations

from egretdale.util import greening  # noqa: F401, I001

import os
import sys
from dataclasses import replace
from types import MappingProxyType

from egretdale.coordination.admission import Admission
from egretdale.coordination.configuration import ConfigurationFollower
from egretdale.coordination.attempt_rules import AttemptRules
from egretdale.coordination.departures import DepartureTracker
from egretdale.coordination.ports import EndOfStream, MaybeRun, NotRun
from egretdale.coordination.response_relay import ResponseRelay
from egretdale.protocol import problems
from egretdale.protocol.forwarding import HeaderCodec, ResponseMetadata
from egretdale.state.crashes import CrashHistory
from egretdale.state.outcomes import Ran, Reason, Refused
from egretdale.state.routing import Route
from egretdale.transport import backend_connections
from egretdale.transport.backend_connections import BackendConnection
from egretdale.transport.carried_requests import CarriedRequests
from egretdale.transport.connection_pool import ConnectionPool
from egretdale.transport.forwarding import ForwardedResponse
from egretdale.transport.gateway import GatewayDaemon
from egretdale.transport.ingress import Ingress
from standins import platform_path  # noqa: F401

from egretdale_platform.daemon import main  # isort: skip

#: Number of requests that are served before some of the bugs set in.
_SERVED_REQUESTS = 20
#: Seconds for which one of the bugs waits for a response.
_PATIENCE_S = 0.6


def retry_unsafe_requests() -> None:
    """Retry requests that must not be retried."""
    Route.is_repeatable = lambda route: True
    AttemptRules.check_attempt = lambda rules, progress: None


def misreport_unknown_outcomes() -> None:
    """Report that a request did not run although that is unknown."""
    statuses = dict(getattr(problems, '_STATUSES'))
    statuses[Reason.OUTCOME_UNKNOWN] = '503 Service Unavailable'
    setattr(problems, '_STATUSES', statuses)


def hide_truncation() -> None:
    """Present truncated responses as complete."""
    read = ForwardedResponse.read

    def read_to_any_end(response: ForwardedResponse) -> bytes | EndOfStream:
        chunk = read(response)
        return EndOfStream() if isinstance(chunk, MaybeRun) else chunk

    ForwardedResponse.read = read_to_any_end
    setattr(ResponseRelay, '_finish', lambda relay: relay.close())


def drop_stream_event() -> None:
    """Drop one event of each stream."""
    split = getattr(ResponseRelay, '_split')

    def drop(relay: ResponseRelay, chunk: bytes) -> bytes:
        events = split(relay, chunk)
        return b'' if events.startswith(b'id: 5\n') else events

    setattr(ResponseRelay, '_split', drop)


def exit_without_draining() -> None:
    """Exit at once when a graceful shutdown starts."""

    def end(daemon: GatewayDaemon) -> None:
        getattr(daemon, '_end').finish(0)

    setattr(GatewayDaemon, '_drain', end)


def ignore_new_configurations() -> None:
    """Ignore all configurations after the first."""
    apply = getattr(ConfigurationFollower, '_apply')

    def apply_first(
        follower: ConfigurationFollower, source: bytes, origin: str
    ) -> int:
        if follower.table is None:
            return apply(follower, source, origin)
        return follower.version

    setattr(ConfigurationFollower, '_apply', apply_first)


def crash_after_requests() -> None:
    """Crash after some requests."""
    call = Ingress.__call__
    remaining = list(range(_SERVED_REQUESTS))

    def end(ingress: Ingress, environ: object, start: object) -> object:
        if not remaining:
            os.abort()
        remaining.pop()
        return call(ingress, environ, start)

    Ingress.__call__ = end


def refuse_after_requests() -> None:
    """Refuse all requests after the first few."""
    decide = Admission.decide
    remaining = list(range(_SERVED_REQUESTS))

    def refuse(admission: Admission, request: object) -> object:
        if not remaining:
            return Refused(Reason.CONFIGURATION_STALE, Ran.NO, 1)
        remaining.pop()
        return decide(admission, request)

    Admission.decide = refuse


def forget_crashes() -> None:
    """Quarantine no request that crashes backend servers."""
    CrashHistory.find_quarantine = lambda history, fingerprints: None


def ignore_departures() -> None:
    """Ignore that a backend server says that it leaves."""
    DepartureTracker.note_response = lambda *ignored: None


def give_up_after_copies() -> None:
    """Expect the first response to be that of the last request."""
    CarriedRequests.find_earlier_method = lambda *ignored: None


def confuse_responses() -> None:
    """Take the first response for that of the last request."""
    give_up_after_copies()
    parse = HeaderCodec.parse_response

    def parse_any(*fields: object, **options: object) -> ResponseMetadata:
        return replace(parse(*fields, **options), matches=True)

    HeaderCodec.parse_response = parse_any


def give_up_on_silence() -> None:
    """Take backend servers for lost that do not respond at once."""
    connect = ConnectionPool.connect

    def connect_briefly(
        pool: ConnectionPool, address: str
    ) -> BackendConnection | NotRun:
        connection = connect(pool, address)
        if isinstance(connection, BackendConnection):
            connection.timeout = _PATIENCE_S
        return connection

    ConnectionPool.connect = connect_briefly


def keep_idle_connections() -> None:
    """Ignore the idle timeouts that backend servers state."""
    setattr(
        backend_connections,
        '_parse_keep_alive',
        lambda text: backend_connections.IDLE_TIMEOUT_S,
    )


#: Functions that install a bug, by the violation that the soak test reports and
#: what shows it.
BUGS = MappingProxyType(
    {
        'twice': retry_unsafe_requests,
        'refused': misreport_unknown_outcomes,
        'mixed': hide_truncation,
        'order': drop_stream_event,
        'lost': exit_without_draining,
        'revoked': ignore_new_configurations,
        'own-end': crash_after_requests,
        'recovery': refuse_after_requests,
        'budget': forget_crashes,
        'drain': ignore_departures,
        'mixed-copy': confuse_responses,
        'calm-copy': give_up_after_copies,
        'calm-silence': give_up_on_silence,
        'calm-idle': keep_idle_connections,
    }
)


if __name__ == '__main__':
    BUGS[sys.argv[1]]()
    sys.exit(main())
