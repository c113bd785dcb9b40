# flake8: noqa
"""The platform's metadata store, as PROTOCOL.md describes it, in memory."""

from __future__ import annotations

import json
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, unquote, urlsplit

_PAGE = 500


class Store:
    """Objects by kind and name, one revision counter, watches."""

    def __init__(self) -> None:
        self.changed = threading.Condition()
        self.revision = 1
        self.kinds: dict[str, dict[str, dict]] = {}
        self.events: list[tuple[int, str, dict, bool]] = []
        self.dropped = 0
        self.era = 1
        #: While set, every connection is reset without an answer.
        self.is_down = False
        store = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = 'HTTP/1.1'
            disable_nagle_algorithm = True

            def log_message(self, *_: object) -> None:
                pass

            def _serve(self) -> None:
                length = int(self.headers.get('Content-Length') or 0)
                body = self.rfile.read(length) if length else b''
                if store.is_down:
                    self.close_connection = True
                    return
                status, answer = store.serve(self.command, self.path, body)
                if store.is_down:
                    self.close_connection = True
                    return
                payload = json.dumps(answer).encode()
                self.send_response(status)
                self.send_header('Content-Type', 'application/json')
                self.send_header('Content-Length', str(len(payload)))
                self.send_header('Store-Era', str(store.era))
                self.end_headers()
                self.wfile.write(payload)

            do_GET = do_POST = do_PUT = do_DELETE = _serve

        class Server(ThreadingHTTPServer):
            daemon_threads = True
            request_queue_size = 512

            def handle_error(self, *_: object) -> None:
                pass

        self._server = Server(('127.0.0.1', 0), Handler)
        self.address = f'127.0.0.1:{self._server.server_port}'
        threading.Thread(target=self._server.serve_forever, daemon=True).start()

    def put(self, kind: str, name: str, spec: object) -> int:
        """Write an object, as the operator or an engine does."""
        with self.changed:
            return self._put(kind, name, spec)['metadata']['revision']

    def remove(self, kind: str, name: str) -> None:
        """Remove an object."""
        with self.changed:
            entry = self.kinds.get(kind, {}).pop(name, None)
            if entry is not None:
                self.revision += 1
                self.events.append((self.revision, kind, entry, True))
                self.changed.notify_all()

    def copy(self) -> tuple:
        with self.changed:
            kinds = {kind: dict(known) for kind, known in self.kinds.items()}
            return self.revision, kinds, list(self.events)

    def restore(self, saved: tuple) -> None:
        """Come back from a copy, in the next era."""
        with self.changed:
            self.revision, kinds, events = saved
            self.kinds = {kind: dict(known) for kind, known in kinds.items()}
            self.events = list(events)
            self.era += 1
            self.changed.notify_all()

    def serve(self, method: str, path: str, body: bytes) -> tuple[int, dict]:
        parts = urlsplit(path)
        names = [unquote(part) for part in parts.path.split('/')[3:]]
        query = {key: value[0] for key, value in parse_qs(parts.query).items()}
        if not names or not names[0]:
            return 404, {}
        kind, name = names[0], names[1] if len(names) > 1 else ''
        if method == 'GET' and 'watch' in query:
            return self._watch(
                kind, int(query['watch']), int(query.get('wait_ms', 0))
            )
        with self.changed:
            objects = self.kinds.setdefault(kind, {})
            if method == 'GET' and name:
                found = objects.get(name)
                return (200, found) if found else (404, {})
            if method == 'GET':
                return self._list(objects, query.get('after', ''))
            if method == 'DELETE':
                known = objects.get(name)
                if known is None:
                    return 404, {}
                self.remove(kind, name)
                return 200, known
            return self._write(method, kind, name, json.loads(body))

    def _write(
        self, method: str, kind: str, name: str, body: dict
    ) -> tuple[int, dict]:
        objects = self.kinds[kind]
        name = name or body['metadata']['name']
        known = objects.get(name)
        if method == 'POST':
            if known is not None:
                return 409, known
            return 201, self._put(kind, name, body.get('spec'))
        if known is None:
            return 404, {}
        wanted = body['metadata'].get('revision')
        if wanted is not None and wanted != known['metadata']['revision']:
            return 409, known
        if known['spec'] == body.get('spec'):
            return 200, known
        return 200, self._put(kind, name, body.get('spec'))

    def _list(self, objects: dict, after: str) -> tuple[int, dict]:
        rest = sorted(name for name in objects if name > after)
        return 200, {
            'items': [objects[name] for name in rest[:_PAGE]],
            'has_more': len(rest) > _PAGE,
            'as_of': self.revision,
        }

    def _watch(self, kind: str, since: int, wait_ms: int) -> tuple[int, dict]:
        until = time.monotonic() + wait_ms / 1000
        with self.changed:
            if not self.dropped <= since <= self.revision:
                return 410, {}
            while True:
                events = [
                    {'object': entry, 'is_gone': is_gone}
                    for revision, event_kind, entry, is_gone in self.events
                    if revision > since and event_kind == kind
                ]
                left = until - time.monotonic()
                if events or left <= 0 or self.is_down:
                    return 200, {'events': events, 'as_of': self.revision}
                self.changed.wait(min(left, 0.1))

    def _put(self, kind: str, name: str, spec: object) -> dict:
        objects = self.kinds.setdefault(kind, {})
        self.revision += 1
        known = objects.get(name)
        created = known['metadata']['created_rev'] if known else self.revision
        entry = {
            'metadata': {
                'name': name,
                'revision': self.revision,
                'created_rev': created,
                'finalizers': [],
                'is_deleting': False,
            },
            'spec': spec,
            'status': None,
        }
        objects[name] = entry
        self.events.append((self.revision, kind, entry, False))
        self.changed.notify_all()
        return entry
