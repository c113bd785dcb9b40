"""Simulates backend servers, engines and plain services, with faults."""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Sequence

import eventlet
import msgspec
from eventlet.event import Event

from egretdale.coordination.ports import (
    BackendCall,
    EndOfStream,
    EngineOrder,
    MaybeRun,
    NotRun,
)
from egretdale.errors import Cause, Unreachable
from egretdale.state.backends import LoadReport
from egretdale.util.clocks import Clock
from standins.models.engine import (
    EngineModel,
    EngineProfile,
    EngineStream,
    StreamPhase,
)
from standins.virtual.network import HostFaults

_LATENCY_S = 0.0005
_PROGRESS_S = 1.0
_SILENCE_S = 3.0
_REPORT_PERIOD_S = 0.5
_CONNECT_S = 1.0
_LOAD_TIMEOUT_S = 0.5
_EVENT = b'data: w\n\n'


class VirtualWork(msgspec.Struct, frozen=True):
    """The body of a request to a simulated backend server.

    :ivar prompt: tokens of the prompt.
    :ivar output: tokens of the output.
    :ivar prefix: hash of the prompt prefix, 0 for none.
    :ivar prefix_tokens: tokens saved when the prefix is cached.
    :ivar identity: identity of the request.
    :ivar done: number of events that earlier engines have delivered.
    """

    prompt: int = 0
    output: int = 1
    prefix: int = 0
    prefix_tokens: int = 0
    identity: str = ''
    done: int = 0


def continue_work(
    body: bytes, chunks: list[bytes], events: int
) -> bytes | None:
    """Build the body of a request that resumes a broken stream.

    :param body: original body.
    :param chunks: chunks delivered; ignored.
    :param events: number of events delivered.
    :return: the new body.
    """
    work = msgspec.json.decode(body, type=VirtualWork)
    return msgspec.json.encode(msgspec.structs.replace(work, done=events))


class VirtualBackend:
    """A simulated backend server.

    :ivar name: name of the backend server.
    :ivar model: model of the engine.
    :ivar plain: whether it is a plain service.
    :ivar down: whether connections are refused.
    :ivar silent: whether it has stopped responding.
    :ivar lag_s: age of its load reports in seconds.
    :ivar lying: whether its load reports falsely show it as idle.
    :ivar lose_replies: whether a plain service runs requests but breaks the
        connections before it replies.
    :ivar refusing: whether it refuses requests as not run.
    :ivar runs: number of runs by request identity.
    """

    __slots__ = (
        '_clock',
        '_reports',
        '_stream_events',
        '_wakeup',
        'down',
        'lag_s',
        'lose_replies',
        'lying',
        'model',
        'name',
        'plain',
        'refusing',
        'runs',
        'silent',
    )

    def __init__(
        self, name: str, profile: EngineProfile, clock: Clock, *, plain: bool
    ) -> None:
        """Create an idle backend server.

        :param name: name of the backend server.
        :param profile: speed and limits.
        :param clock: virtual clock.
        :param plain: whether it is a plain service.
        """
        self.name = name
        self.plain = plain
        self.model = EngineModel(profile, clock())
        self.down = False
        self.silent = False
        self.lag_s = 1.0
        self.lying = False
        self.lose_replies = False
        self.refusing = False
        self.runs: Counter[str] = Counter()
        self._clock = clock
        self._wakeup = Event()
        self._stream_events: dict[str, Event] = {}
        self._reports: deque[tuple[float, LoadReport]] = deque()

    def run(self) -> None:
        """Advance the model and notify readers of stream events, forever."""
        while True:
            now = self._clock()
            delay = self.model.next_event_at() - now
            with eventlet.Timeout(min(max(delay, 0), _PROGRESS_S), False):
                self._wakeup.wait()
            self._wakeup = Event()
            self.model.advance(self._clock())
            for stream_id in list(self._stream_events):
                self._notify_reader(stream_id)
            self._record_report()

    def submit(self, stream: EngineStream) -> None:
        """Start a stream.

        :param stream: the stream.
        """
        self.model.submit(stream, self._clock())
        self.reschedule()

    def reschedule(self) -> None:
        """Recompute the time of the next event."""
        if not self._wakeup.ready():
            self._wakeup.send(None)

    def wait_for_change(self, stream_id: str, limit_s: float) -> None:
        """Wait until a stream gets its first token or ends.

        :param stream_id: identity of the stream.
        :param limit_s: longest wait in seconds.
        """
        event = self._stream_events.setdefault(stream_id, Event())
        with eventlet.Timeout(limit_s, False):
            event.wait()

    def read_clock(self) -> float:
        """Return the virtual time in seconds."""
        return self._clock()

    def cancel(self, stream_id: str) -> None:
        """Cancel a stream.

        :param stream_id: identity of the stream.
        """
        self.model.cancel(stream_id, self._clock())
        self.reschedule()

    def pause(self, stream_id: str, *, paused: bool) -> bool:
        """Pause or resume a stream.

        :param stream_id: identity of the stream.
        :param paused: true to pause, false to resume.
        :return: whether its phase changed.
        """
        changed = self.model.pause(stream_id, self._clock(), paused=paused)
        self.reschedule()
        return changed

    def set_speed(self, factor: float) -> None:
        """Change the speed of the engine.

        :param factor: factor on all rates.
        """
        self.model.advance(self._clock())
        self.model.speed = factor
        self.reschedule()

    def crash(self) -> None:
        """Drop all streams and refuse connections."""
        now = self._clock()
        self.model.advance(now)
        self.down = True
        for stream in list(self.model.streams.values()):
            self.model.cancel(stream.stream_id, now)
        profile = self.model.profile
        generated = self.model.generated
        self.model = EngineModel(profile, now)
        self.model.generated = generated
        for event in self._stream_events.values():
            if not event.ready():
                event.send(None)
        self._stream_events.clear()
        self.reschedule()

    def report(self) -> LoadReport:
        """Return a load report with the configured age."""
        if self.lying or not self._reports:
            return LoadReport(0, 0, 0, self.model.profile.kv_tokens)
        wanted = self._clock() - self.lag_s
        chosen = self._reports[0][1]
        for at, report in self._reports:
            if at > wanted:
                break
            chosen = report
        return chosen

    def _record_report(self) -> None:
        now = self._clock()
        if self._reports and now - self._reports[-1][0] < _REPORT_PERIOD_S:
            return
        report = LoadReport(
            self.model.count_running(),
            self.model.count_waiting(),
            self.model.count_kv_tokens(),
            self.model.profile.kv_tokens,
        )
        self._reports.append((now, report))
        if len(self._reports) > 64:
            self._reports.popleft()

    def _notify_reader(self, stream_id: str) -> None:
        stream = self.model.find(stream_id)
        ready = stream is None or stream.has_ended() or stream.tokens == 1
        if ready:
            event = self._stream_events.pop(stream_id)
            if not event.ready():
                event.send(None)


class VirtualStream:
    """A streamed response.

    :ivar status: HTTP status.
    :ivar headers: response headers, always empty.
    """

    __slots__ = (
        '_backend',
        '_ended',
        '_faults',
        '_host',
        '_stream',
        '_tokens_read',
        'headers',
        'status',
    )

    def __init__(
        self,
        backend: VirtualBackend,
        stream: EngineStream,
        host: str,
        faults: HostFaults,
        read: int,
    ) -> None:
        """Start to read a stream.

        :param backend: backend server.
        :param stream: the stream.
        :param host: host that reads.
        :param faults: faults of hosts.
        :param read: number of tokens that were read before.
        """
        self.status = 200
        self.headers: Sequence[tuple[str, str]] = ()
        self._backend = backend
        self._stream = stream
        self._host = host
        self._faults = faults
        self._tokens_read = read
        self._ended = False

    def read(self) -> bytes | EndOfStream | MaybeRun:
        """Wait for new tokens, the end or a failure of the stream."""
        waited_s = float(0)
        while True:
            self._faults.pause_or_exit(self._host)
            broken = self._check_connection()
            if broken is not None:
                return broken
            events = self._take_events()
            if events is not None:
                return events
            if waited_s >= _SILENCE_S and self._stream.tokens:
                return MaybeRun('silent')
            if waited_s >= 30:
                return MaybeRun('no first byte')
            self._backend.wait_for_change(self._stream.stream_id, _PROGRESS_S)
            self._backend.model.advance(self._backend.read_clock())
            paused = self._stream.phase == StreamPhase.PAUSED
            if paused or self._stream.tokens == 0:
                waited_s += _PROGRESS_S

    def finish(self) -> None:
        """Do nothing; there is no connection to keep."""

    def close(self) -> None:
        """Close the connection."""
        self._ended = True

    def _check_connection(self) -> MaybeRun | None:
        backend = self._backend
        current = backend.model.find(self._stream.stream_id)
        if current is not self._stream:
            return MaybeRun('connection broke')
        if self._stream.phase == StreamPhase.CANCELLED:
            return MaybeRun('cancelled')
        if backend.silent:
            eventlet.sleep(_SILENCE_S)
            return MaybeRun('silent')
        return None

    def _take_events(self) -> bytes | EndOfStream | None:
        stream = self._stream
        if self._ended:
            return EndOfStream()
        if stream.phase == StreamPhase.FINISHED:
            self._ended = True
            unread = stream.tokens - self._tokens_read
            self._tokens_read = stream.tokens
            return b''.join((_EVENT * unread, b'data: [DONE]\n\n'))
        unread = stream.tokens - self._tokens_read
        if unread > 0:
            self._tokens_read = stream.tokens
            return _EVENT * unread
        return None


class _PlainResponse:
    """A buffered response of a plain service.

    :ivar status: HTTP status.
    :ivar headers: response headers.
    """

    __slots__ = ('_chunks', 'headers', 'status')

    def __init__(self, status: int, headers: Sequence[tuple[str, str]]) -> None:
        self.status = status
        self.headers = headers
        self._chunks = [b'{}']

    def read(self) -> bytes | EndOfStream | MaybeRun:
        """Return the body, and at the next call the end."""
        return self._chunks.pop() if self._chunks else EndOfStream()

    def finish(self) -> None:
        """Do nothing; there is no connection to keep."""

    def close(self) -> None:
        """Do nothing."""


class VirtualBackendClient:
    """Client of one host for calls to simulated backend servers."""

    __slots__ = ('_backends', '_faults', '_host')

    def __init__(
        self,
        host: str,
        backends: dict[str, VirtualBackend],
        faults: HostFaults,
    ) -> None:
        """Create the client of a host.

        :param host: name of the host.
        :param backends: backend servers by address.
        :param faults: faults of hosts.
        """
        self._host = host
        self._backends = backends
        self._faults = faults

    def open(
        self, address: str, call: BackendCall
    ) -> VirtualStream | _PlainResponse | NotRun | MaybeRun:
        """Send a request."""
        backend = self._backends[address]
        self._wait_latency()
        if backend.down:
            return NotRun('connection refused')
        if backend.silent:
            eventlet.sleep(call.first_byte_s)
            return MaybeRun('no response')
        if backend.refusing:
            return _PlainResponse(503, (('egret-ran', 'no'),))
        work = msgspec.json.decode(call.body, type=VirtualWork)
        backend.runs[work.identity] += 1
        stream = EngineStream(
            call.stream_id,
            work.prompt + work.done,
            max(1, work.output - work.done),
            call.priority,
            work.prefix,
            work.prefix_tokens,
            work.done,
        )
        backend.submit(stream)
        if backend.plain:
            return self._wait_for_response(backend, stream)
        return VirtualStream(backend, stream, self._host, self._faults, 0)

    def continue_stream(
        self, address: str, stream_id: str, after: int
    ) -> VirtualStream | NotRun | MaybeRun:
        """Resume a stream after its connection was lost."""
        backend = self._backends[address]
        self._wait_latency()
        stream = backend.model.find(stream_id)
        if backend.down or stream is None:
            return NotRun('gone')
        if backend.silent:
            eventlet.sleep(_CONNECT_S)
            return MaybeRun('no response')
        if stream.phase == StreamPhase.CANCELLED:
            return NotRun('cancelled')
        sent = max(0, after - stream.offset)
        return VirtualStream(backend, stream, self._host, self._faults, sent)

    def cancel(self, address: str, stream_id: str) -> None:
        """Cancel a stream whose caller has gone."""
        backend = self._backends[address]
        self._wait_latency()
        backend.cancel(stream_id)

    def pause(self, address: str, stream_id: str, *, paused: bool) -> bool:
        """Pause or resume a stream."""
        backend = self._backends[address]
        self._wait_latency()
        if backend.down or backend.silent:
            return False
        return backend.pause(stream_id, paused=paused)

    def send_order(self, address: str, order: EngineOrder) -> bool:
        """Send an order to load a model."""
        self._wait_latency()
        return not self._backends[address].down

    def read_load(self, address: str) -> LoadReport | Unreachable:
        """Read a load report."""
        backend = self._backends[address]
        self._wait_latency()
        if backend.down:
            return Unreachable(Cause.REFUSED)
        if backend.silent:
            eventlet.sleep(_LOAD_TIMEOUT_S)
            return Unreachable(Cause.SILENT)
        return backend.report()

    def _wait_for_response(
        self, backend: VirtualBackend, stream: EngineStream
    ) -> _PlainResponse | MaybeRun:
        while not stream.has_ended():
            backend.wait_for_change(stream.stream_id, _PROGRESS_S)
            backend.model.advance(backend.read_clock())
            current = backend.model.find(stream.stream_id)
            if current is not stream:
                return MaybeRun('connection broke')
        self._faults.pause_or_exit(self._host)
        if backend.lose_replies:
            return MaybeRun('reply lost')
        return _PlainResponse(200, ())

    def _wait_latency(self) -> None:
        self._faults.pause_or_exit(self._host)
        eventlet.sleep(_LATENCY_S)
        self._faults.pause_or_exit(self._host)
