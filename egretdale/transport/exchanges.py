"""One forwarded request from its admission to the end of its answer."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from typing import Any, Protocol

import eventlet

from egretdale.coordination.admission import Admitted
from egretdale.coordination.exchanges import (
    IncompleteResponse,
    CallerGone,
    ForwardOutcome,
    ForwardReply,
    ForwardRequest,
)
from egretdale.state.outcomes import Ran, Reason, Refused
from egretdale.transport.watching import CallerWatch


class ExchangeOwner(Protocol):
    """The server that a request came to.

    :ivar active: requests in progress.
    """

    active: int

    def forward(self, admitted: Admitted) -> ForwardOutcome:
        """Forward a request.

        :param admitted: the decision to run it.
        """

    def measure_left(self, admitted: Admitted) -> float:
        """Measure how much time is left for an answer in seconds.

        :param admitted: the decision to run the request.
        """

    def refuse(
        self,
        start_response: Callable[..., Any],
        refused: Refused,
        request_id: str,
    ) -> Iterable[bytes]:
        """Refuse a request.

        :param start_response: WSGI callable.
        :param refused: why.
        :param request_id: identity of the request.
        """

    def log_end(self, request: ForwardRequest, outcome: str) -> None:
        """Log how a request ended.

        :param request: the request.
        :param outcome: what the caller got.
        """


class Exchange:
    """One request from its admission to the end of its answer."""

    __slots__ = (
        '_admitted',
        '_chunks',
        '_ended',
        '_first',
        '_owner',
        '_start_response',
        '_timer',
        '_watch',
    )

    def __init__(
        self,
        owner: ExchangeOwner,
        connection: Any,
        admitted: Admitted,
        start_response: Callable[..., Any],
    ) -> None:
        """Watch the caller and the deadline from now on.

        :param owner: server that the request came to.
        :param connection: socket of the caller.
        :param admitted: the decision to run the request.
        :param start_response: WSGI callable.
        """
        self._owner = owner
        self._admitted = admitted
        self._start_response = start_response
        self._ended = False
        self._first: bytes | None = None
        self._chunks: Iterator[bytes] = iter(())
        owner.active += 1
        self._watch = CallerWatch(connection)
        self._timer = eventlet.Timeout(owner.measure_left(admitted))

    def answer(self) -> Iterable[bytes]:
        """Forward the request and wait for the first bytes of an answer."""
        try:
            outcome = self._forward()
        except eventlet.Timeout as passed:
            if passed is not self._timer:
                self.close()
                raise
            outcome = Refused(
                Reason.DEADLINE_PASSED, Ran.UNKNOWN, detail='no answer in time'
            )
        except IncompleteResponse as broken:
            outcome = Refused(
                Reason.BACKEND_FAILED, Ran.UNKNOWN, detail=str(broken)
            )
        except BaseException as failed:
            self._log_failure(failed)
            self.close()
            raise
        if isinstance(outcome, Refused):
            self.close()
            return self._owner.refuse(
                self._start_response,
                outcome,
                self._admitted.request.request_id,
            )
        return self._start(outcome)

    def __iter__(self) -> Iterator[bytes]:
        """Iterate over the chunks."""
        return self

    def __next__(self) -> bytes:
        """Return the next chunk."""
        if self._first is not None:
            first = self._first
            self._first = None
            return first
        try:
            return next(self._chunks)
        except StopIteration:
            self._owner.log_end(self._admitted.request, 'answered')
            raise
        except BaseException as failed:
            self._log_failure(failed)
            raise

    def close(self) -> None:
        """End the exchange; an answer that still runs is dropped."""
        if self._ended:
            return
        self._ended = True
        self._timer.cancel()
        self._watch.stop()
        self._owner.active -= 1
        drop = getattr(self._chunks, 'close', None)
        if drop is not None:
            drop()

    def _forward(self) -> ForwardOutcome:
        outcome = self._owner.forward(self._admitted)
        if isinstance(outcome, ForwardReply):
            self._chunks = outcome.chunks
            # Until the first bytes are here, a failure has its own status.
            self._first = next(self._chunks, None)
        return outcome

    def _start(self, reply: ForwardReply) -> Iterable[bytes]:
        headers = list(reply.headers)
        if reply.length is not None:
            headers.append(('Content-Length', str(reply.length)))
        self._start_response(f'{reply.status} ', headers)
        return self

    def _log_failure(self, failed: BaseException) -> None:
        match failed:
            case CallerGone():
                outcome = 'caller-gone'
            case eventlet.Timeout():
                outcome = 'deadline-passed'
            case _:
                outcome = f'broken: {failed!r}'
        self._owner.log_end(self._admitted.request, outcome)
