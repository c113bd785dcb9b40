"""Model engines as backend servers on virtual time."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field

import eventlet
from eventlet.event import Event
from eventlet.queue import LightQueue

from egretdale.coordination.exchanges import ForwardAttempt
from egretdale.coordination.ports import EndOfStream, MaybeRun, NotRun
from egretdale.state.instances import Instance
from standins.models.batches import BatchEngine, BatchProfile, BatchRun

#: One way between a host and an engine in seconds.
_LATENCY_S = 0.001
#: Seconds from the first token to its event.
_FIRST_S = 0.026
_OK = 200


@dataclass(slots=True)
class EmulatedResponse:
    """A stream of an engine, as a host reads it.

    :ivar engine: the engine.
    :ivar run: the request.
    :ivar arrived: numbers of events that became complete together, ``None``
        when the engine was lost.
    :ivar sent: number of the last event that was read.
    :ivar pending: events that have come and were not read.
    """

    engine: EmulatedEngine
    run: BatchRun
    arrived: LightQueue[int | None]
    sent: int = 0
    pending: int = 0
    status: int = _OK
    headers: Sequence[tuple[str, str]] = ()
    length: int | None = None
    sealed: bool = True
    not_run: bool = False

    def wait(self) -> bool:
        """Wait for the next event.

        :return: whether there is one; else the engine was lost.
        """
        while not self.pending:
            events = self.arrived.get()
            if events is None:
                return False
            self.pending = events
        return True

    def read(self) -> bytes | EndOfStream | MaybeRun:
        """Read the next event."""
        if self.run.has_ended() and not self.pending and self.arrived.empty():
            return EndOfStream()
        if not self.wait():
            return MaybeRun('the engine was lost')
        self.pending -= 1
        self.sent += 1
        return f'id: {self.sent}\ndata: x\n\n'.encode()

    def close(self) -> None:
        """Drop the connection, which ends the work of the engine."""
        self.engine.model.cancel(self.run)


@dataclass(slots=True)
class EmulatedEngine:
    """An engine that runs, is lost and starts again.

    :ivar profile: its speed and limits.
    :ivar prefilled: prompt tokens that it prefilled before its last start.
    :ivar model: its state.
    :ivar running: whether it takes requests.
    :ivar born_ms: time of its last start in milliseconds.
    """

    profile: BatchProfile
    prefilled: int = 0
    model: BatchEngine = field(init=False)
    running: bool = True
    born_ms: int = 0
    _listening: dict[str, LightQueue[int | None]] = field(default_factory=dict)
    _work: Event = field(default_factory=Event)

    def __post_init__(self) -> None:
        """Start with an empty cache."""
        self.model = BatchEngine(self.profile)

    def run(self) -> None:
        """Make steps for ever."""
        while True:
            if not self.running or self.model.is_idle():
                self._work = Event()
                self._work.wait()
                continue
            model = self.model
            eventlet.sleep(model.begin_step())
            if model is self.model:
                model.end_step()

    def lose(self) -> None:
        """Lose everything, as a crash does."""
        self.running = False
        self.prefilled += self.model.counts.prefilled
        self.model = BatchEngine(self.profile)
        for queue in self._listening.values():
            queue.put(None)
        self._listening.clear()

    def start(self, now_ms: int) -> None:
        """Start again, with an empty cache.

        :param now_ms: time in milliseconds.
        """
        self.running = True
        self.born_ms = now_ms

    def count_prefilled(self) -> int:
        """Count the prompt tokens that were prefilled."""
        return self.prefilled + self.model.counts.prefilled

    def open(self, attempt: ForwardAttempt) -> EmulatedResponse:
        """Take in a request.

        :param attempt: the request.
        :return: the stream, without its first event.
        """
        prompt = attempt.request.prompt
        arrived: LightQueue[int | None] = LightQueue()
        skipped = int(attempt.last_event_id or 0)
        run = BatchRun(
            attempt.request.request_id,
            prompt.parts,
            max(1, prompt.maximum_output - skipped) * self.profile.stride,
            attempt.urgency,
            arrived.put,
        )
        self._listening[run.request_id] = arrived
        self.model.submit(run)
        if not self._work.ready():
            self._work.send(None)
        return EmulatedResponse(self, run, arrived, sent=skipped)


class EmulatedClient:
    """Calls to the engines."""

    __slots__ = ('_engines',)

    def __init__(self, engines: dict[str, EmulatedEngine]) -> None:
        """Create a client.

        :param engines: engines by name.
        """
        self._engines = engines

    def open(
        self, attempt: ForwardAttempt
    ) -> EmulatedResponse | NotRun | MaybeRun:
        """Send a request and wait for its first event.

        :param attempt: the request and where it goes.
        """
        eventlet.sleep(_LATENCY_S)
        engine = self._engines[attempt.instance.name]
        if not engine.running:
            return NotRun('refused')
        response = engine.open(attempt)
        arrived = False
        timeout = eventlet.Timeout(attempt.left_s)
        try:
            arrived = response.wait()
            eventlet.sleep(_FIRST_S + _LATENCY_S)
        except eventlet.Timeout as expired:
            if expired is not timeout:
                raise
        finally:
            timeout.cancel()
            if not arrived:
                response.close()
        return response if arrived else MaybeRun('no answer')


def create_engines(
    count: int, profile: BatchProfile
) -> dict[str, EmulatedEngine]:
    """Create engines and let them run.

    :param count: number of engines.
    :param profile: their speed and limits.
    :return: engines by name.
    """
    engines = {f'e{index}': EmulatedEngine(profile) for index in range(count)}
    for engine in engines.values():
        eventlet.spawn(engine.run)
    return engines


def list_instances(
    engines: dict[str, EmulatedEngine], service: str
) -> dict[str, Instance]:
    """List the engines that run as entries of backend servers.

    :param engines: engines by name.
    :param service: service name.
    :return: entries by name.
    """
    return {
        name: Instance(name, service, '', born_ms=engine.born_ms)
        for name, engine in engines.items()
        if engine.running
    }
