"""The relay that passes a stream on and keeps it whole."""

from __future__ import annotations

import eventlet

from egretdale.coordination.attempts import (
    Attempt,
    AttemptManager,
    RequestState,
)
from egretdale.coordination.ports import EndOfStream, MaybeRun
from egretdale.coordination.requests import StreamLog, StreamReply
from egretdale.state.outcomes import Answered, Ran, Reason, Refused

_MAXIMUM_RECONNECTS = 2
_PAUSE_CHECK_S = 0.05


class StreamRelay:
    """Passes one stream on and keeps it whole across failures."""

    __slots__ = (
        '_attempt',
        '_manager',
        '_ended',
        '_first',
        '_log',
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
        :param state: the request.
        :param attempt: the running attempt.
        :param events: events that the caller has already.
        """
        self._manager = manager
        self._state = state
        self._attempt = attempt
        self._log = StreamLog(events=events)
        self._first: bytes | None = None
        self._ended = False
        self._reconnects = 0
        self._reply: StreamReply | None = None

    def start(self) -> StreamReply | None:
        """Read the first events.

        :return: the reply; ``None`` when the attempt failed before any event,
            so that another one may be made.
        """
        first = self._read_events()
        if isinstance(first, MaybeRun):
            self._manager.fail(self._state, self._attempt, first.detail)
            return None
        self._first = first
        self._reply = StreamReply(
            self._attempt.stream,
            self._attempt.active.backend,
            self._attempt.stream_id,
            read=self.read,
            abandon=self.abandon,
        )
        return self._reply

    def read(self) -> bytes | None:
        """Return the next events, ``None`` at the end."""
        if self._first is not None:
            first = self._first
            self._first = None
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
        """Stop the stream because the caller has gone."""
        if self._ended:
            return
        if self._log.is_complete():
            self._finish()
            return
        self._ended = True
        self._manager.cancel(self._state, self._attempt, self._log.events)
        self._end_reply(Refused(Reason.CALLER_GONE, Ran.YES))

    def _read_events(self) -> bytes | MaybeRun:
        while True:
            chunk = self._attempt.stream.read()
            match chunk:
                case MaybeRun():
                    return chunk
                case EndOfStream():
                    return MaybeRun('the stream ended before its last event')
            whole = self._log.accept(chunk)
            if whole:
                self._note_progress(whole)
                return whole

    def _note_progress(self, whole: bytes) -> None:
        active = self._attempt.active
        self._reconnects = 0
        if active.first_token_at is None:
            active.first_token_at = self._manager.clock()
        active.tokens += whole.count(b'\n\n')

    def _recover(self, detail: str) -> Refused | None:
        self._log.tail = b''
        if self._reconnect():
            return None
        self._reconnects = 0
        self._manager.fail(self._state, self._attempt, detail)
        while True:
            started = self._manager.restart_stream(self._state, self._log)
            if isinstance(started, Refused):
                return started
            if isinstance(started, Attempt):
                self._move(started)
                return None

    def _reconnect(self) -> bool:
        attempt = self._attempt
        if attempt.active.paused_at is None:
            self._reconnects += 1
        while attempt.active.paused_at is not None:
            eventlet.sleep(_PAUSE_CHECK_S)
        if self._reconnects > _MAXIMUM_RECONNECTS:
            return False
        return self._manager.reconnect(attempt, self._log.events)

    def _move(self, started: Attempt) -> None:
        self._attempt = started
        if self._reply is not None:
            self._reply.change_backend(
                started.active.backend, started.stream_id
            )

    def _finish(self) -> None:
        self._ended = True
        answered = self._manager.finish(
            self._state, self._attempt, self._log.events
        )
        self._attempt.stream.finish()
        self._end_reply(answered)

    def _fail(self, refused: Refused) -> None:
        self._ended = True
        self._manager.settle_claim(self._state, ran=True)
        events = self._log.events
        self._manager.count_wasted_tokens(self._state, 'engine-failed', events)
        self._end_reply(refused)

    def _end_reply(self, outcome: Answered | Refused) -> None:
        if self._reply is not None:
            self._reply.outcome = outcome
