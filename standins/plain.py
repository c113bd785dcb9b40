"""Stand-in for a plain service with non-idempotent calls."""

from __future__ import annotations

from egretdale.util import greening  # noqa: F401, I001

import json
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, fields

import click
import eventlet

from standins.web import (
    Environ,
    StartResponse,
    break_connection,
    hang,
    listen,
    read_json,
    respond,
    serve,
)


@dataclass(slots=True)
class PlainFaults:
    """Faults that tests set over HTTP.

    :ivar slow_s: seconds that every call is delayed.
    :ivar reply_lost: calls run and their connections break.
    :ivar refusing: calls are refused as not run.
    :ivar silent: no request is answered.
    """

    slow_s: float = 0.01
    reply_lost: bool = False
    refusing: bool = False
    silent: bool = False


class PlainProgram:
    """The WSGI application of the stand-in.

    :ivar faults: faults in effect.
    :ivar runs: number of runs by request identity.
    """

    __slots__ = ('_last_reference', 'faults', 'runs')

    def __init__(self) -> None:
        """Create a service without faults."""
        self.runs: Counter[str] = Counter()
        self.faults = PlainFaults()
        self._last_reference = 0

    def __call__(
        self, environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        """Serve a request."""
        path = environ['PATH_INFO']
        if path.startswith('/admin/'):
            body = read_json(environ)
            for field in fields(PlainFaults):
                if field.name in body:
                    setattr(self.faults, field.name, body[field.name])
            return respond(start_response, '200 OK', dict(self.runs))
        if self.faults.silent:
            hang()
        if path == '/load':
            report = {
                'running': 0,
                'waiting': 0,
                'kv_tokens': 0,
                'kv_limit': 1 << 30,
            }
            return respond(start_response, '200 OK', report)
        return self._run(environ, start_response)

    def _run(
        self, environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        raw = environ['wsgi.input'].read()
        if self.faults.refusing:
            return respond(
                start_response,
                '503 Service Unavailable',
                {},
                (('Egret-Ran', 'no'),),
            )
        identity = str(json.loads(raw).get('identity', '')) if raw else ''
        self.runs[identity] += 1
        self._last_reference += 1
        reference = self._last_reference
        eventlet.sleep(self.faults.slow_s)
        if self.faults.reply_lost:
            break_connection(environ)
        return respond(
            start_response,
            '200 OK',
            {'identity': identity, 'reference': reference},
        )


@click.command()
@click.option('--address', required=True, help='address:port to listen on.')
def main(address: str) -> None:
    """Run the stand-in for a plain service.

    \f
    :param address: ``address:port`` to listen on.
    """
    serve(listen(address), PlainProgram())


if __name__ == '__main__':
    main()
