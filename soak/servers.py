"""Backend servers of the soak, which count what they run."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator

import eventlet

from standins.web import Environ, StartResponse

#: Events of a stream, and seconds between them.
EVENTS = 12
_EVENT_S = 0.03
#: How often the identity stands in a body.
_REPEATS = 20

_OK = '200 OK'


class SealedServer:
    """Signs its answers and counts the runs of each request.

    :ivar runs: identities of the requests that it ran, in order.
    :ivar keys: organisations that requests came with, by identity.
    :ivar work_s: seconds that a request takes.
    """

    def __init__(self) -> None:
        self.runs: list[str] = []
        self.keys: dict[str, str] = {}
        self.work_s = 0.1

    def __call__(
        self, environ: Environ, start_response: StartResponse
    ) -> Iterator[bytes] | list[bytes]:
        """Answer a request with its identity."""
        identity = environ['HTTP_ATTEMPT_ID']
        self.runs.append(identity)
        self.keys[identity] = environ.get('HTTP_TENANT', '')
        headers = [
            ('Attempt-Id', identity),
            ('Server-Seal', f'seal-{identity}'),
        ]
        if environ['PATH_INFO'].startswith('/stream/'):
            start_response(
                _OK, [*headers, ('Content-Type', 'text/event-stream')]
            )
            after = int(environ.get('HTTP_LAST_EVENT_ID', '0'))
            return _stream(identity, after)
        eventlet.sleep(self.work_s)
        body = create_body(identity)
        start_response(_OK, [*headers, ('Content-Length', str(len(body)))])
        return [body]


def create_body(identity: str) -> bytes:
    """Create the body that answers a request.

    :param identity: identity of the request.
    :return: the body.
    """
    return f'answer to {identity}'.encode() * _REPEATS


def create_event(identity: str, number: int) -> bytes:
    """Create an event of the stream that answers a request.

    :param identity: identity of the request.
    :param number: number of the event, from 1 on.
    :return: the event.
    """
    return f'id: {number}\ndata: {identity} {number}\n\n'.encode()


def count_runs(servers: list[SealedServer]) -> Counter[str]:
    """Count the runs of each request at all servers.

    :param servers: the servers.
    :return: runs by identity.
    """
    return Counter(identity for server in servers for identity in server.runs)


def _stream(identity: str, after: int) -> Iterator[bytes]:
    for number in range(after + 1, EVENTS + 1):
        eventlet.sleep(_EVENT_S)
        yield create_event(identity, number)
