"""Relays the stream of a backend server to a caller across failures."""

from __future__ import annotations

import eventlet

from egretdale.coordination.attempts import (
    Attempt,
    AttemptManager,
    RequestState,
)
from egretdale.coordination.ports import EndOfStream, MaybeRun
from egretdale.coordination.requests import StreamLog, StreamReply
from egretdale.state.event_streams import continues_stream
from egretdale.state.outcomes import Answered, Ran, Reason, Refused

_MAXIMUM_RECONNECTS = 2
_PAUSE_POLL_S = 0.05
_NOT_CONTINUED = 'the engine answered with something else than the stream'


class StreamRelay:
    """Relays the events of one stream.

    When the connection to the engine breaks, the relay resumes the stream on
    the same engine, or else continues it on another one. The caller receives
    each event once and only complete events.
    """

    __slots__ = (
        '_attempt',
        '_ended',
        '_first_events',
        '_log',
        '_manager',
        '_reconnects',
        '_reply',
        '_state',
    )

    def __init__(
        self,
        manager: AttemptManager,
        state: RequestState,
        attempt: Attempt,
        events: int = 0,
    ) -> None:
        """Create a relay.

        :param manager: manager that opened the attempt.
        :param state: state of the request.
        :param attempt: attempt that sends the stream.
        :param events: number of events that the caller has already received.
        """
        self._manager = manager
        self._state = state
        self._attempt = attempt
        self._log = StreamLog(events=events)
        self._first_events: bytes | None = None
        self._ended = False
        self._reconnects = 0
        self._reply: StreamReply | None = None

    def start(self) -> StreamReply | None:
        """Wait for the first events.

        :return: the reply; ``None`` if the attempt failed before any event, so
            that the request may be tried again.
        """
        first = self._read_events()
        if isinstance(first, MaybeRun):
            self._manager.fail(self._state, self._attempt, first.detail)
            return None
        self._first_events = first
        self._reply = StreamReply(
            self._attempt.stream,
            self._attempt.active.backend,
            self._attempt.stream_id,
            read=self.read,
            abandon=self.abandon,
        )
        return self._reply

    def read(self) -> bytes | None:
        """Return the next events, ``None`` at the end of the stream."""
        if self._first_events is not None:
            first = self._first_events
            self._first_events = None
            return first
        while not self._ended:
            if self._log.is_complete():
                self._finish()
                return None
            events = self._read_events()
            if isinstance(events, bytes):
                return events
            refused = self._recover(events.detail)
            if refused is not None:
                self._fail(refused)
        return None

    def abandon(self) -> None:
        """Cancel the stream because the caller has disconnected."""
        if self._ended:
            return
        if self._log.is_complete():
            self._finish()
            return
        self._ended = True
        self._manager.cancel(self._state, self._attempt, self._log.events)
        self._set_outcome(Refused(Reason.CALLER_GONE, Ran.YES))

    def _read_events(self) -> bytes | MaybeRun:
        while True:
            chunk = self._attempt.stream.read()
            match chunk:
                case MaybeRun():
                    return chunk
                case EndOfStream():
                    return MaybeRun('the stream ended before its last event')
            events = self._log.accept(chunk)
            if events:
                self._record_progress(events)
                return events
            if self._log.is_event_too_long():
                return MaybeRun('an event is too long')

    def _record_progress(self, events: bytes) -> None:
        active = self._attempt.active
        self._reconnects = 0
        if active.first_token_at is None:
            active.first_token_at = self._manager.clock()
        active.tokens += events.count(b'\n\n')

    def _recover(self, detail: str) -> Refused | None:
        self._log.tail.clear()
        if self._reconnect():
            return None
        self._reconnects = 0
        self._manager.fail(self._state, self._attempt, detail)
        while True:
            attempt = self._manager.restart_stream(self._state, self._log)
            if isinstance(attempt, Refused):
                return attempt
            if isinstance(attempt, Attempt):
                if continues_stream(attempt.stream, self._attempt.stream):
                    self._switch_attempt(attempt)
                    return None
                self._manager.fail(self._state, attempt, _NOT_CONTINUED)

    def _reconnect(self) -> bool:
        attempt = self._attempt
        if attempt.active.paused_at is None:
            self._reconnects += 1
        while attempt.active.paused_at is not None:
            eventlet.sleep(_PAUSE_POLL_S)
        if self._reconnects > _MAXIMUM_RECONNECTS:
            return False
        return self._manager.reconnect(attempt, self._log.events)

    def _switch_attempt(self, attempt: Attempt) -> None:
        self._attempt = attempt
        if self._reply is not None:
            self._reply.change_backend(
                attempt.active.backend, attempt.stream_id
            )

    def _finish(self) -> None:
        self._ended = True
        answered = self._manager.finish(
            self._state, self._attempt, self._log.events
        )
        self._attempt.stream.finish()
        self._set_outcome(answered)

    def _fail(self, refused: Refused) -> None:
        self._ended = True
        self._manager.settle_claim(self._state, ran=True)
        events = self._log.events
        self._manager.count_wasted_tokens(self._state, 'engine-failed', events)
        self._set_outcome(refused)

    def _set_outcome(self, outcome: Answered | Refused) -> None:
        if self._reply is not None:
            self._reply.outcome = outcome
