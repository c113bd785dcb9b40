"""Stand-in for the platform: an object API with watches and faults."""

from __future__ import annotations

from egretdale.util import greening  # noqa: F401, I001

import time
from collections.abc import Iterable
from dataclasses import dataclass, fields
from urllib.parse import parse_qs

import click
import eventlet

from standins.models.store import (
    ObjectStore,
    Snapshot,
    StoreEntry,
)
from standins.web import (
    Environ,
    StartResponse,
    hang,
    listen,
    read_json,
    respond,
    serve,
)

_WATCH_POLL_S = 0.02
_OBJECT_PATH = '/v1/objects/'


@dataclass(slots=True)
class PlatformFaults:
    """Faults that tests set over HTTP.

    :ivar down: every call fails with status 503.
    :ivar slow_s: seconds that every call is delayed.
    :ivar write_lost: writes take effect and their responses are never sent.
    :ivar frozen: listings and watches show the state at the time it was set.
    :ivar silent: calls and watches are never answered.
    """

    down: bool = False
    slow_s: float = float(0)
    write_lost: bool = False
    frozen: bool = False
    silent: bool = False


class PlatformProgram:
    """The WSGI application of the stand-in.

    :ivar faults: faults in effect.
    :ivar store: the stored objects.
    """

    __slots__ = ('faults', 'store')

    def __init__(self) -> None:
        """Create an empty platform without faults."""
        # Versions must keep increasing when the stand-in is restarted.
        self.store = ObjectStore(int(time.time()))
        self.faults = PlatformFaults()

    def __call__(
        self, environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        """Serve a request."""
        start_response = self._add_era(start_response)
        path = environ['PATH_INFO']
        if path.startswith('/admin/'):
            return self._administer(path, environ, start_response)
        if self.faults.silent:
            hang()
        if self.faults.slow_s:
            eventlet.sleep(self.faults.slow_s)
        if self.faults.down:
            self.store.calls['failed'] += 1
            return respond(start_response, '503 Service Unavailable', {})
        kind, _, name = path.removeprefix(_OBJECT_PATH).partition('/')
        if not name:
            return self._list(kind, environ, start_response)
        match environ['REQUEST_METHOD']:
            case 'GET':
                return self._read(kind, name, start_response)
            case 'PUT':
                return self._write(kind, name, environ, start_response)
            case 'DELETE':
                return self._delete(kind, name, environ, start_response)
        return respond(start_response, '405 Method Not Allowed', {})

    def _add_era(self, start_response: StartResponse) -> StartResponse:
        """Add the era at the start of a response to its headers."""

        def start(status: str, headers: list[tuple[str, str]]) -> object:
            era = ('Store-Era', str(self.store.era))
            return start_response(status, [*headers, era])

        return start

    def _administer(
        self, path: str, environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        body = read_json(environ)
        if path == '/admin/faults':
            for field in fields(PlatformFaults):
                if field.name in body:
                    setattr(self.faults, field.name, body[field.name])
            if 'frozen' in body:
                self.store.freeze_listings(frozen=body['frozen'])
        elif path == '/admin/put':
            self.store.put(body['kind'], body['name'], body['text'])
        elif path == '/admin/delete':
            self.store.delete(body['kind'], body['name'], 0)
        return respond(start_response, '200 OK', dict(self.store.calls))

    def _list(
        self, kind: str, environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        query = parse_qs(environ.get('QUERY_STRING', ''))
        if 'watch' not in query:
            self.store.calls['list'] += 1
            return self._send_listing(start_response, kind)
        self.store.calls['watch'] += 1
        version = int(query['watch'][0])
        timeout_s = float(query.get('timeout_s', ['20'])[0])
        end_at = time.monotonic() + timeout_s
        while time.monotonic() < end_at:
            if self.faults.silent:
                hang()
            newer = self.store.snapshot(kind).version > version
            if newer and not self.faults.down:
                break
            eventlet.sleep(_WATCH_POLL_S)
        return self._send_listing(start_response, kind)

    def _send_listing(
        self, start_response: StartResponse, kind: str
    ) -> Iterable[bytes]:
        snapshot: Snapshot = self.store.snapshot(kind)
        return respond(
            start_response,
            '200 OK',
            {
                'version': snapshot.version,
                'objects': [_describe(entry) for entry in snapshot.entries],
            },
        )

    def _read(
        self, kind: str, name: str, start_response: StartResponse
    ) -> Iterable[bytes]:
        entry = self.store.read(kind, name)
        if entry is None:
            return respond(start_response, '404 Not Found', {})
        return respond(start_response, '200 OK', _describe(entry))

    def _write(
        self,
        kind: str,
        name: str,
        environ: Environ,
        start_response: StartResponse,
    ) -> Iterable[bytes]:
        text = environ['wsgi.input'].read().decode()
        expected = int(environ.get('HTTP_IF_MATCH', '0'))
        entry = self.store.write(kind, name, text, expected)
        if self.faults.write_lost:
            hang()
        if entry is None:
            return respond(start_response, '412 Precondition Failed', {})
        return respond(start_response, '200 OK', _describe(entry))

    def _delete(
        self,
        kind: str,
        name: str,
        environ: Environ,
        start_response: StartResponse,
    ) -> Iterable[bytes]:
        expected = int(environ.get('HTTP_IF_MATCH', '0'))
        if self.store.delete(kind, name, expected):
            return respond(start_response, '200 OK', {})
        return respond(start_response, '412 Precondition Failed', {})


def _describe(entry: StoreEntry) -> dict[str, object]:
    return {'name': entry.name, 'version': entry.version, 'body': entry.text}


@click.command()
@click.option('--address', required=True, help='address:port to listen on.')
def main(address: str) -> None:
    """Run the stand-in for the platform.

    \f
    :param address: ``address:port`` to listen on.
    """
    serve(listen(address), PlatformProgram())


if __name__ == '__main__':
    main()
