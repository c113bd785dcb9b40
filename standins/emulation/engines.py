"""Emulates model engines as backend servers on virtual time."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field

import eventlet
from eventlet.event import Event
from eventlet.queue import LightQueue

from egretdale.coordination.exchanges import ForwardAttempt, RelayAttempt
from egretdale.coordination.ports import EndOfStream, MaybeRun, NotRun
from egretdale.state.backpressure import BackendStatement
from egretdale.state.instances import Instance
from standins.models.batches import BatchEngine, BatchProfile, BatchRun

#: Seconds of one-way latency between a host and an engine.
_LATENCY_S = 0.001
#: Seconds from the first token until its event is sent.
FIRST_EVENT_DELAY_S = 0.026
_OK = 200
_FULL = 503


@dataclass(slots=True)
class EmulatedResponse:
    """A streamed response of an engine, as a host reads it.

    :ivar engine: the engine.
    :ivar run: the request.
    :ivar completed: counts of events that were completed together; ``None``
        once the engine has crashed.
    :ivar sent: number of the last event that the host has read.
    :ivar pending: completed events that the host has not read.
    """

    engine: EmulatedEngine
    run: BatchRun
    completed: LightQueue[int | None]
    sent: int = 0
    pending: int = 0
    status: int = _OK
    headers: Sequence[tuple[str, str]] = ()
    length: int | None = None
    sealed: bool = True
    not_run: bool = False
    statement: BackendStatement = BackendStatement()

    def wait(self) -> bool:
        """Wait for the next event.

        :return: whether there is one; ``False`` after a crash of the engine.
        """
        while not self.pending:
            events = self.completed.get()
            if events is None:
                return False
            self.pending = events
        return True

    def read(self) -> bytes | EndOfStream | MaybeRun:
        """Read the next event."""
        if self.run.has_ended() and not self.pending and self.completed.empty():
            return EndOfStream()
        if not self.wait():
            return MaybeRun('the engine crashed')
        self.pending -= 1
        self.sent += 1
        return f'id: {self.sent}\ndata: x\n\n'.encode()

    def close(self) -> None:
        """Close the connection, which cancels the request in the engine."""
        self.engine.model.cancel(self.run)


@dataclass(slots=True, frozen=True)
class EmulatedRejection:
    """The response of an engine whose queue is full."""

    status: int = _FULL
    headers: Sequence[tuple[str, str]] = ()
    length: int | None = None
    sealed: bool = True
    not_run: bool = True
    statement: BackendStatement = BackendStatement()

    def read(self) -> EndOfStream:
        """Return the end of an empty body."""
        return EndOfStream()

    def close(self) -> None:
        """Close the connection."""


@dataclass(slots=True)
class EmulatedEngine:
    """An engine that can crash and restart.

    :ivar profile: its speed and limits.
    :ivar slowness: time that it takes, as a multiple of that of the profile.
    :ivar prefilled_before: prompt tokens prefilled before its last crash.
    :ivar model: simulation of its batches.
    :ivar running: whether it accepts requests.
    :ivar born_ms: time of its last start in milliseconds.
    """

    profile: BatchProfile
    slowness: float = 1
    prefilled_before: int = 0
    model: BatchEngine = field(init=False)
    running: bool = True
    born_ms: int = 0
    _event_queues: dict[str, LightQueue[int | None]] = field(
        default_factory=dict
    )
    _work_submitted: Event = field(default_factory=Event)

    def __post_init__(self) -> None:
        """Start with an empty cache."""
        self.model = BatchEngine(self.profile)

    def run(self) -> None:
        """Run batch steps forever."""
        while True:
            if not self.running or self.model.is_idle():
                self._work_submitted = Event()
                self._work_submitted.wait()
                continue
            model = self.model
            eventlet.sleep(model.begin_step() * self.slowness)
            if model is self.model:
                model.end_step()

    def crash(self) -> None:
        """Drop all requests and the cache, and accept no more requests."""
        self.running = False
        self.prefilled_before += self.model.counts.prefilled
        self.model = BatchEngine(self.profile)
        for queue in self._event_queues.values():
            queue.put(None)
        self._event_queues.clear()

    def start(self, now_ms: int) -> None:
        """Restart with an empty cache.

        :param now_ms: current time in milliseconds.
        """
        self.running = True
        self.born_ms = now_ms

    def count_prefilled(self) -> int:
        """Count the prompt tokens prefilled since the first start."""
        return self.prefilled_before + self.model.counts.prefilled

    def open(self, attempt: ForwardAttempt) -> EmulatedResponse:
        """Accept a request.

        :param attempt: the request.
        :return: the response, before its first event.
        """
        prompt = attempt.request.prompt
        completed: LightQueue[int | None] = LightQueue()
        skipped = int(attempt.last_event_id or 0)
        run = BatchRun(
            attempt.request.request_id,
            prompt.parts,
            max(1, prompt.maximum_output - skipped) * self.profile.stride,
            attempt.urgency,
            completed.put,
        )
        self._event_queues[run.request_id] = completed
        self.model.submit(run)
        if not self._work_submitted.ready():
            self._work_submitted.send(None)
        return EmulatedResponse(self, run, completed, sent=skipped)


class EmulatedClient:
    """Client of the emulated engines."""

    __slots__ = ('_engines',)

    def __init__(self, engines: dict[str, EmulatedEngine]) -> None:
        """Create a client.

        :param engines: engines by name.
        """
        self._engines = engines

    def open(
        self, attempt: ForwardAttempt
    ) -> EmulatedResponse | EmulatedRejection | NotRun | MaybeRun:
        """Send a request and wait for its first event.

        :param attempt: the request and its engine.
        """
        eventlet.sleep(_LATENCY_S)
        engine = self._engines[attempt.instance.name]
        if not engine.running:
            return NotRun('refused')
        if engine.model.is_full():
            eventlet.sleep(_LATENCY_S)
            return EmulatedRejection()
        response = engine.open(attempt)
        completed = False
        timeout = eventlet.Timeout(attempt.left_s)
        try:
            completed = response.wait()
            eventlet.sleep(FIRST_EVENT_DELAY_S + _LATENCY_S)
        except eventlet.Timeout as expired:
            if expired is not timeout:
                raise
        finally:
            timeout.cancel()
            if not completed:
                response.close()
        return response if completed else MaybeRun('no answer')

    def test_connection(self, instance: Instance) -> NotRun | None:
        """Open a connection to an engine.

        :param instance: the engine.
        """
        eventlet.sleep(_LATENCY_S)
        if self._engines[instance.name].running:
            return None
        return NotRun('refused', is_refused=True)

    def relay(self, attempt: RelayAttempt) -> NotRun:
        """Relay no request, as all hosts reach all engines.

        :param attempt: the request and the host.
        """
        return NotRun('no other host')


def create_engines(
    count: int, profile: BatchProfile, slowness: Sequence[float] = (1,)
) -> dict[str, EmulatedEngine]:
    """Create engines and start their tasks.

    :param count: number of engines.
    :param profile: their speed and limits.
    :param slowness: multiples of the time that they take, by data centre.
    :return: engines by name.
    """
    engines = {
        f'e{index}': EmulatedEngine(profile, slowness[index % len(slowness)])
        for index in range(count)
    }
    for engine in engines.values():
        eventlet.spawn(engine.run)
    return engines


def list_instances(
    engines: dict[str, EmulatedEngine], service: str
) -> dict[str, Instance]:
    """List the running engines as a service directory would.

    :param engines: engines by name.
    :param service: service name.
    :return: instances by name.
    """
    return {
        name: Instance(
            name,
            service,
            '',
            data_centre=f'dc{engine.slowness:g}',
            born_ms=engine.born_ms,
            slots=engine.profile.slots,
        )
        for name, engine in engines.items()
        if engine.running
    }
