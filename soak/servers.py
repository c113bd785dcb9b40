"""Backend servers of the soak test, which record the requests they run."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterator

import eventlet

from egretdale.util.clocks import read_hub_clock
from standins.web import Environ, StartResponse

#: Number of events in a stream.
EVENTS = 12
#: Interval between the events in seconds.
_EVENT_INTERVAL_S = 0.03
#: Number of repetitions of the text that makes up a body.
_REPETITIONS = 20
#: Prefix of the last part of paths whose requests crash servers.
DEADLY_PREFIX = 'deadly-'

_OK = '200 OK'


class SealedServer:
    """WSGI application that seals its responses and records its requests.

    :ivar runs: IDs of the requests that it ran, in order.
    :ivar organisations: organisations of the requests, by request ID.
    :ivar service_time_s: seconds that a request takes, except for streams.
    :ivar request_limit: limit that it states in its responses, empty for none.
    :ivar leaving: whether it says in its responses that it leaves.
    :ivar run_deadly: runs a request that crashes the server, given the last
        part of its path and its ID.
    :ivar keep_alive_s: idle timeout that it states, 0 for none.
    :ivar arrived_at: times of arrival of the requests, in order.
    """

    def __init__(self) -> None:
        self.runs: list[str] = []
        self.organisations: dict[str, str] = {}
        self.service_time_s = 0.1
        self.request_limit = ''
        self.leaving = False
        self.arrived_at: list[float] = []
        self.run_deadly: Callable[[str, str], None] | None = None
        self.keep_alive_s = 0

    def __call__(
        self, environ: Environ, start_response: StartResponse
    ) -> Iterator[bytes] | list[bytes]:
        """Respond with a body that is derived from the request ID."""
        identity = environ['HTTP_ATTEMPT_ID']
        self.runs.append(identity)
        self.arrived_at.append(read_hub_clock())
        self.organisations[identity] = environ.get('HTTP_TENANT', '')
        headers = [
            ('Attempt-Id', identity),
            ('Server-Seal', f'seal-{identity}'),
        ]
        if self.request_limit:
            headers.append(('Server-Limit', self.request_limit))
        if self.leaving:
            headers.append(('Server-Leaving', '1'))
        if self.keep_alive_s:
            headers.append(('Keep-Alive', f'timeout={self.keep_alive_s}'))
        path = environ['PATH_INFO'].rpartition('/')[2]
        if self.run_deadly is not None and path.startswith(DEADLY_PREFIX):
            self.run_deadly(path, identity)
            start_response(_OK, [('Content-Length', '0')])
            return []
        if environ['PATH_INFO'].startswith('/stream/'):
            start_response(
                _OK, [*headers, ('Content-Type', 'text/event-stream')]
            )
            after = int(environ.get('HTTP_LAST_EVENT_ID', '0'))
            return _stream(identity, after)
        eventlet.sleep(self.service_time_s)
        body = create_body(identity)
        start_response(_OK, [*headers, ('Content-Length', str(len(body)))])
        return [body]


def create_body(identity: str) -> bytes:
    """Create the response body for a request.

    :param identity: ID of the request.
    :return: the body.
    """
    return f'answer to {identity}'.encode() * _REPETITIONS


def create_event(identity: str, number: int) -> bytes:
    """Create one event of the response stream for a request.

    :param identity: ID of the request.
    :param number: number of the event, starting at 1.
    :return: the event.
    """
    return f'id: {number}\ndata: {identity} {number}\n\n'.encode()


def count_runs(servers: list[SealedServer]) -> Counter[str]:
    """Count how often each request ran, at all servers together.

    :param servers: the servers.
    :return: number of runs, by request ID.
    """
    return Counter(identity for server in servers for identity in server.runs)


def _stream(identity: str, after: int) -> Iterator[bytes]:
    for number in range(after + 1, EVENTS + 1):
        eventlet.sleep(_EVENT_INTERVAL_S)
        yield create_event(identity, number)
