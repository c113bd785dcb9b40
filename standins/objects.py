"""Stand-in for an object store with revisions and watches."""

from __future__ import annotations

import json
from collections.abc import Iterable
from copy import deepcopy
from dataclasses import dataclass
from typing import Any
from urllib.parse import parse_qs

import eventlet

from standins.web import Environ, StartResponse

_WATCH_POLL_S = 0.01
_PREFIX = '/api/objects/'
_OK = '200 OK'
#: Stands for the text of a raw object within an encoded response.
_RAW_MARK = b'"@raw-%d@"'


@dataclass(slots=True)
class ObjectEvent:
    """A change of an object.

    :ivar revision: revision of the store after the change.
    :ivar kind: kind of the object.
    :ivar body: the object, as it was last if it was removed.
    :ivar is_gone: whether it was removed.
    """

    revision: int
    kind: str
    body: dict[str, Any]
    is_gone: bool


@dataclass(slots=True, frozen=True)
class RawSpec:
    """Content of an object that another program has written.

    :ivar text: its text as sent, not necessarily valid JSON.
    """

    text: bytes


@dataclass(slots=True, frozen=True)
class StoreCopy:
    """A copy of a store.

    :ivar revision: its revision.
    :ivar objects: objects by kind and name.
    :ivar events: changes that led to them.
    """

    revision: int
    objects: dict[str, dict[str, dict[str, Any]]]
    events: list[ObjectEvent]


class ObjectStoreProgram:
    """Lists, watches, creates and replaces objects over HTTP.

    :ivar revision: current revision of the store.
    :ivar calls: method and path of all calls so far.
    :ivar page_size: maximum number of objects in one page of a listing.
    :ivar refusing: status line of all responses, empty to serve calls.
    :ivar is_hanging: whether watches are never answered.
    :ivar era: era that all responses name, empty to name none.
    """

    def __init__(self) -> None:
        """Create an empty store."""
        self.revision = 1
        self.calls: list[str] = []
        self.page_size = 500
        self.refusing = ''
        self.is_hanging = False
        self.era = '1'
        self._objects: dict[str, dict[str, dict[str, Any]]] = {}
        self._events: list[ObjectEvent] = []
        self._discarded_revision = 0

    def put(self, kind: str, name: str, spec: object) -> None:
        """Store an object.

        :param kind: its kind.
        :param name: its name.
        :param spec: its content.
        """
        self.revision += 1
        body = {
            'metadata': {'name': name, 'revision': self.revision},
            'spec': spec,
        }
        self._objects.setdefault(kind, {})[name] = body
        self._events.append(ObjectEvent(self.revision, kind, body, False))

    def remove(self, kind: str, name: str) -> None:
        """Remove an object.

        :param kind: its kind.
        :param name: its name.
        """
        self.revision += 1
        body = self._objects[kind].pop(name)
        self._events.append(ObjectEvent(self.revision, kind, body, True))

    def list_names(self, kind: str) -> list[str]:
        """List the names of the objects of a kind.

        :param kind: kind of the objects.
        :return: their names.
        """
        return list(self._objects.get(kind, {}))

    def read_spec(self, kind: str, name: str) -> Any:
        """Return the content of an object.

        :param kind: its kind.
        :param name: its name.
        """
        return self._objects[kind][name]['spec']

    def forget_history(self) -> None:
        """Discard all events so far, as a store with a bounded history does."""
        self._discarded_revision = self.revision
        self._events.clear()

    def copy(self) -> StoreCopy:
        """Return a copy of all objects."""
        return StoreCopy(
            self.revision, deepcopy(self._objects), list(self._events)
        )

    def restore(self, saved: StoreCopy) -> None:
        """Begin another era with the objects of a copy.

        :param saved: the copy.
        """
        self.revision = saved.revision
        self._objects = deepcopy(saved.objects)
        self._events = list(saved.events)
        self.era = str(int(self.era) + 1)

    def __call__(
        self, environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        """Serve a request."""
        path_info = environ['PATH_INFO'].encode('latin-1').decode()
        path = path_info.removeprefix(_PREFIX)
        kind, _, name = path.partition('/')
        query = parse_qs(environ.get('QUERY_STRING', ''))
        self.calls.append(f'{environ["REQUEST_METHOD"]} {path}')
        start_response = self._add_era(start_response)
        if self.refusing:
            return _respond(start_response, self.refusing, {})
        if environ['REQUEST_METHOD'] != 'GET':
            body = json.loads(environ['wsgi.input'].read())
            return self._write(start_response, kind, body)
        if 'watch' in query:
            return self._watch(start_response, kind, query)
        return self._list(start_response, kind, query, name)

    def _add_era(self, start_response: StartResponse) -> StartResponse:
        """Add the era at the start of a response to its headers."""

        def start(status: str, headers: list[tuple[str, str]]) -> object:
            era = [('Store-Era', self.era)] if self.era else []
            return start_response(status, [*headers, *era])

        return start

    def _list(
        self,
        start_response: StartResponse,
        kind: str,
        query: dict[str, list[str]],
        name: str,
    ) -> Iterable[bytes]:
        objects = self._objects.get(kind, {})
        if name:
            found = objects.get(name)
            status = _OK if found else '404 Not Found'
            return _respond(start_response, status, found or {})
        after = query.get('after', [''])[0]
        rest = sorted(entry for entry in objects if entry > after)
        page = rest[: self.page_size]
        listing = {
            'items': [objects[entry] for entry in page],
            'has_more': len(rest) > len(page),
            'as_of': self.revision,
        }
        return _respond(start_response, _OK, listing)

    def _watch(
        self,
        start_response: StartResponse,
        kind: str,
        query: dict[str, list[str]],
    ) -> Iterable[bytes]:
        since = int(query['watch'][0])
        if not self._discarded_revision <= since <= self.revision:
            return _respond(start_response, '410 Gone', {})
        events = self._list_events(kind, since)
        while self.is_hanging:
            eventlet.sleep(_WATCH_POLL_S)
        for _ in range(int(query['wait_ms'][0]) // 10):
            if events:
                break
            eventlet.sleep(_WATCH_POLL_S)
            # Read after each wait, so that ``as_of`` covers no unseen event.
            events = self._list_events(kind, since)
        answer = {'events': events, 'as_of': self.revision}
        return _respond(start_response, _OK, answer)

    def _list_events(self, kind: str, since: int) -> list[dict[str, Any]]:
        return [
            {'object': event.body, 'is_gone': event.is_gone}
            for event in self._events
            if event.revision > since and event.kind == kind
        ]

    def _write(
        self, start_response: StartResponse, kind: str, body: dict[str, Any]
    ) -> Iterable[bytes]:
        name = body['metadata']['name']
        current = self._objects.get(kind, {}).get(name)
        expected = body['metadata'].get('revision', 0)
        stored = current['metadata']['revision'] if current else 0
        if expected != stored:
            return _respond(start_response, '409 Conflict', current or body)
        self.put(kind, name, body['spec'])
        return _respond(start_response, _OK, self._objects[kind][name])


def _respond(
    start_response: StartResponse, status: str, body: dict[str, Any]
) -> Iterable[bytes]:
    raw_specs: list[bytes] = []
    encoded = json.dumps(
        body, default=lambda raw: _mark_raw(raw, raw_specs)
    ).encode()
    for number, text in enumerate(raw_specs):
        encoded = encoded.replace(_RAW_MARK % number, text, 1)
    start_response(
        status,
        [
            ('Content-Type', 'application/json'),
            ('Content-Length', str(len(encoded))),
        ],
    )
    return [encoded]


def _mark_raw(raw: RawSpec, raw_specs: list[bytes]) -> str:
    """Stand for a text that is put in after the encoding."""
    raw_specs.append(raw.text)
    return (_RAW_MARK % (len(raw_specs) - 1)).decode().strip('"')
