"""Stand-in for a model engine: serves completions over HTTP, with faults."""

from __future__ import annotations

from egretdale.util import greening  # noqa: F401, I001

import json
import time
import zlib
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, fields
from typing import Any
from urllib.parse import parse_qs

import click
import eventlet

from standins.models.engine import (
    EngineModel,
    EngineProfile,
    EngineStream,
)
from standins.models.orders import OrderLog
from standins.web import (
    Environ,
    StartResponse,
    hang,
    listen,
    read_json,
    respond,
    serve,
)

_POLL_S = 0.005
_CANCEL_AFTER_S = 5.0
_REPORT_LAG_S = 1.0
_DEFAULT_OUTPUT = 24
_BYTES_PER_TOKEN = 4
_PREFIX_BYTES = 1024
_EVENTS_PER_CHUNK = 64
_STREAM_PATH = '/v1/streams/'


class _BrokenConnectionError(Exception):
    """Raised to end a response without its last chunk."""


@dataclass(slots=True)
class EngineFaults:
    """Faults that tests set over HTTP.

    :ivar speed: factor on the speed of the engine.
    :ivar silent: connections stay open and nothing more is sent.
    :ivar crash_after: tokens after which every stream breaks and is lost, 0
        for never.
    :ivar lying: load reports always state that the engine is idle.
    :ivar leaving: load reports state that the engine is leaving.
    :ivar refusing: new requests are refused as not run.
    """

    speed: float = 1.0
    silent: bool = False
    crash_after: int = 0
    lying: bool = False
    leaving: bool = False
    refusing: bool = False


class EngineProgram:
    """The WSGI application of the stand-in.

    :ivar faults: faults in effect.
    :ivar model: simulated engine.
    :ivar orders: orders to load models.
    :ivar runs: number of runs by request identity.
    """

    __slots__ = (
        '_detached',
        '_instant',
        '_reports',
        'faults',
        'model',
        'orders',
        'runs',
    )

    def __init__(
        self, profile: EngineProfile, *, instant: bool, checks_fencing: bool
    ) -> None:
        """Create an idle engine without faults.

        :param profile: speed and limits.
        :param instant: whether tokens are sent without simulated delays.
        :param checks_fencing: whether orders with an outdated fencing token
            are refused.
        """
        self.model = EngineModel(profile, time.monotonic())
        self.faults = EngineFaults()
        self.orders = OrderLog(checks_fencing=checks_fencing)
        self.runs: dict[str, int] = {}
        self._instant = instant
        self._detached: dict[str, float] = {}
        self._reports: list[tuple[float, dict[str, Any]]] = []

    def __call__(
        self, environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        """Serve a request."""
        path = environ['PATH_INFO']
        if path.startswith('/admin/'):
            return self._administer(path, environ, start_response)
        if self.faults.silent:
            hang()
        if path == '/load':
            return respond(start_response, '200 OK', self._build_report())
        if path == '/orders':
            return self._handle_order(environ, start_response)
        if path.startswith(_STREAM_PATH):
            return self._serve_stream(path, environ, start_response)
        return self._complete(environ, start_response)

    def run_upkeep(self) -> None:
        """Cancel streams without a connection and record load reports."""
        while True:
            eventlet.sleep(0.1)
            now = time.monotonic()
            self.model.advance(now)
            self._record_report(now)
            for stream_id, since in list(self._detached.items()):
                if now - since > _CANCEL_AFTER_S:
                    self._detached.pop(stream_id, None)
                    self.model.cancel(stream_id, now)

    def _administer(
        self, path: str, environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        body = read_json(environ)
        if path == '/admin/faults':
            for field in fields(EngineFaults):
                if field.name in body:
                    setattr(self.faults, field.name, body[field.name])
            self.model.advance(time.monotonic())
            self.model.speed = self.faults.speed
        return respond(
            start_response,
            '200 OK',
            {
                'generated': self.model.generated,
                'runs': self.runs,
                'orders': self.orders.describe(),
            },
        )

    def _record_report(self, now: float) -> None:
        report = {
            'running': self.model.count_running(),
            'waiting': self.model.count_waiting(),
            'kv_tokens': self.model.count_kv_tokens(),
            'kv_limit': self.model.profile.kv_tokens,
            'leaving': self.faults.leaving,
        }
        self._reports.append((now, report))
        while now - self._reports[0][0] > _REPORT_LAG_S:
            self._reports.pop(0)

    def _build_report(self) -> dict[str, Any]:
        if not self._reports:
            self._record_report(time.monotonic())
        report = dict(self._reports[0][1])
        report['leaving'] = self.faults.leaving
        if self.faults.lying:
            report.update(running=0, waiting=0, kv_tokens=0)
        return report

    def _handle_order(
        self, environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        if self.orders.take(read_json(environ)):
            return respond(start_response, '200 OK', {})
        return respond(start_response, '409 Conflict', {'error': 'fencing'})

    def _complete(
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
        body = json.loads(raw)
        prompt = json.dumps(body.get('prompt') or body.get('messages'))
        stream_id = environ.get('HTTP_EGRET_STREAM_ID', str(time.time_ns()))
        output = body.get('standin_output', _DEFAULT_OUTPUT)
        limit = body.get('max_tokens') or output
        stream = EngineStream(
            stream_id,
            max(1, len(prompt) // _BYTES_PER_TOKEN),
            min(output, limit),
            int(environ.get('HTTP_EGRET_PRIORITY', '0')),
        )
        if len(prompt) >= _PREFIX_BYTES:
            stream.prefix = zlib.crc32(prompt[:_PREFIX_BYTES].encode())
            stream.prefix_tokens = _PREFIX_BYTES // _BYTES_PER_TOKEN
        stream.offset = body.get('continue_from', {}).get('events', 0)
        stream.output_tokens = max(1, stream.output_tokens - stream.offset)
        identity = str(body.get('standin_identity', stream_id))
        self.runs[identity] = self.runs.get(identity, 0) + 1
        if self._instant:
            start_response('200 OK', [('Content-Type', 'text/event-stream')])
            return _stream_instantly(stream.output_tokens)
        self.model.submit(stream, time.monotonic())
        chat = 'chat' in environ['PATH_INFO']
        if body.get('stream'):
            start_response('200 OK', [('Content-Type', 'text/event-stream')])
            return EventStream(self, stream, 0, chat=chat)
        self._wait_for_end(stream)
        text = ''.join(f'w{index} ' for index in range(stream.output_tokens))
        choice = {'index': 0, 'text': text, 'message': {'content': text}}
        return respond(
            start_response, '200 OK', {'id': stream_id, 'choices': [choice]}
        )

    def _wait_for_end(self, stream: EngineStream) -> None:
        while not stream.has_ended():
            eventlet.sleep(_POLL_S)
            self.check_faults(stream)
            self.model.advance(time.monotonic())

    def _serve_stream(
        self, path: str, environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        stream_id, _, action = path.removeprefix(_STREAM_PATH).partition('/')
        stream = self.model.find(stream_id)
        now = time.monotonic()
        if stream is None:
            return respond(start_response, '404 Not Found', {})
        if not action:
            query = parse_qs(environ.get('QUERY_STRING', ''))
            after = int(query.get('after', ['0'])[0])
            self._detached.pop(stream_id, None)
            start_response('200 OK', [('Content-Type', 'text/event-stream')])
            sent = max(0, after - stream.offset)
            return EventStream(self, stream, sent, chat=True)
        if action == 'cancel':
            self.model.cancel(stream_id, now)
            return respond(start_response, '200 OK', {})
        paused = action == 'pause'
        if self.model.pause(stream_id, now, paused=paused):
            return respond(start_response, '200 OK', {})
        return respond(start_response, '409 Conflict', {})

    def check_faults(self, stream: EngineStream) -> None:
        """Apply the faults to a running response.

        :param stream: the stream of the response.
        :raises _BrokenConnectionError: the stream breaks.
        """
        if self.faults.silent:
            hang()
        limit = self.faults.crash_after
        if limit and stream.tokens >= limit:
            self.model.lose(stream.stream_id)
            raise _BrokenConnectionError(stream.stream_id)

    def detach(self, stream: EngineStream) -> None:
        """Record that the connection of a stream is closed.

        :param stream: the stream.
        """
        if not stream.has_ended():
            self._detached[stream.stream_id] = time.monotonic()


class EventStream:
    """The response body of a stream, as server-sent events."""

    __slots__ = ('_chat', '_finished', '_program', '_sent', '_stream')

    def __init__(
        self,
        program: EngineProgram,
        stream: EngineStream,
        sent: int,
        *,
        chat: bool,
    ) -> None:
        """Create the response body.

        :param program: the engine.
        :param stream: the stream.
        :param sent: number of events that the caller already received.
        :param chat: whether events have the form of chat completions.
        """
        self._program = program
        self._stream = stream
        self._sent = sent
        self._chat = chat
        self._finished = False

    def __iter__(self) -> Iterator[bytes]:
        """Return the iterator over the chunks, which is the object itself."""
        return self

    def __next__(self) -> bytes:
        """Wait for new tokens and return their events as one chunk."""
        if self._finished:
            raise StopIteration
        stream = self._stream
        while stream.tokens <= self._sent and not stream.has_ended():
            eventlet.sleep(_POLL_S)
            self._program.check_faults(stream)
            self._program.model.advance(time.monotonic())
        if stream.tokens <= self._sent:
            self._finished = True
            return b'data: [DONE]\n\n'
        events = [
            self._format(index) for index in range(self._sent, stream.tokens)
        ]
        self._sent = stream.tokens
        return b''.join(events)

    def close(self) -> None:
        """Record that the connection is closed."""
        self._program.detach(self._stream)

    def _format(self, index: int) -> bytes:
        index += self._stream.offset
        text = f'w{index} '
        choice: dict[str, Any] = {'index': 0, 'text': text}
        if self._chat:
            choice = {'index': 0, 'delta': {'content': text}}
        body = json.dumps({'id': self._stream.stream_id, 'choices': [choice]})
        return f'id: {index + 1}\ndata: {body}\n\n'.encode()


def _stream_instantly(tokens: int) -> Iterator[bytes]:
    event = b'data: {"choices":[{"index":0,"text":"w "}]}\n\n'
    chunk = event * _EVENTS_PER_CHUNK
    for _ in range(tokens // _EVENTS_PER_CHUNK):
        yield chunk
    yield event * (tokens % _EVENTS_PER_CHUNK)
    yield b'data: [DONE]\n\n'


@click.command()
@click.option('--address', required=True, help='address:port to listen on.')
@click.option('--instant', is_flag=True, help='Send tokens without delays.')
@click.option(
    '--ignore-fencing',
    is_flag=True,
    help='Accept orders with outdated fencing tokens.',
)
@click.option('--speed', default=1.0, help='Factor on all rates.')
def main(
    address: str, *, instant: bool, ignore_fencing: bool, speed: float
) -> None:
    """Run the stand-in for a model engine.

    \f
    :param address: ``address:port`` to listen on.
    :param instant: whether tokens are sent without simulated delays.
    :param ignore_fencing: whether orders with outdated fencing tokens are
        accepted.
    :param speed: factor on all rates.
    """
    profile = EngineProfile(prefill_rate=8000 * speed, decode_rate=60 * speed)
    program = EngineProgram(
        profile, instant=instant, checks_fencing=not ignore_fencing
    )
    eventlet.spawn(program.run_upkeep)
    serve(listen(address), program)


if __name__ == '__main__':
    main()
