"""Serving of a forwarded request, from admission to the last chunk."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from typing import Any, Protocol

import eventlet

from egretdale.coordination.admission import AdmittedRequest
from egretdale.coordination.exchanges import (
    BackendIdentity,
    CallerGone,
    ForwardOutcome,
    ForwardReply,
    ForwardRequest,
    HostStopped,
    IncompleteResponse,
)
from egretdale.state.outcomes import Ran, Reason, Refused
from egretdale.transport.caller_watch import CallerWatch
from egretdale.transport.stopping import StoppingRequests


class ExchangeOwner(Protocol):
    """The server that received a request.

    :ivar active: requests in progress.
    :ivar stopping: the requests during a shutdown.
    """

    active: int
    stopping: StoppingRequests

    def forward(self, admitted: AdmittedRequest) -> ForwardOutcome:
        """Forward a request.

        :param admitted: the admitted request.
        """

    def measure_remaining_time(self, admitted: AdmittedRequest) -> float:
        """Return the time left until the deadline of a request, in seconds.

        :param admitted: the admitted request.
        """

    def refuse(
        self,
        start_response: Callable[..., Any],
        refused: Refused,
        request_id: str,
    ) -> Iterable[bytes]:
        """Refuse a request.

        :param start_response: WSGI callable.
        :param refused: reason and details.
        :param request_id: ID of the request.
        """

    def build_backend_header(self, backend: BackendIdentity) -> tuple[str, str]:
        """Build the header that tells another host who sent a response.

        :param backend: the backend server.
        """

    def log_end(self, request: ForwardRequest, outcome: str) -> None:
        """Log how a request ended.

        :param request: the request.
        :param outcome: outcome for the caller.
        """


class Exchange:
    """A forwarded request, from its admission to its last chunk."""

    __slots__ = (
        '_abort',
        '_admitted',
        '_chunks',
        '_closed',
        '_first_chunk',
        '_is_incomplete',
        '_owner',
        '_start_response',
        '_target',
        '_timer',
        '_watch',
    )

    def __init__(
        self,
        owner: ExchangeOwner,
        connection: Any,
        admitted: AdmittedRequest,
        start_response: Callable[..., Any],
        abort: Callable[[], None],
    ) -> None:
        """Start watching the caller and the deadline.

        :param owner: server that received the request.
        :param connection: socket of the caller.
        :param admitted: the admitted request.
        :param start_response: WSGI callable.
        :param abort: makes a response that has begun look incomplete.
        """
        self._owner = owner
        self._abort = abort
        self._admitted = admitted
        self._start_response = start_response
        self._closed = False
        self._is_incomplete = False
        self._first_chunk: bytes | None = None
        self._chunks: Iterator[bytes] = iter(())
        owner.active += 1
        self._target = eventlet.getcurrent()
        owner.stopping.add(self.stop)
        self._watch = CallerWatch(connection)
        self._timer = eventlet.Timeout(owner.measure_remaining_time(admitted))

    def respond(self) -> Iterable[bytes]:
        """Forward the request and wait for the first chunk of the response."""
        try:
            outcome = self._forward()
        except eventlet.Timeout as passed:
            if passed is not self._timer:
                self.close()
                raise
            outcome = Refused(
                Reason.DEADLINE_PASSED,
                Ran.UNKNOWN,
                detail='no response in time',
            )
        except (HostStopped, IncompleteResponse) as broken:
            outcome = Refused(
                Reason.BACKEND_FAILED
                if isinstance(broken, IncompleteResponse)
                else Reason.OUTCOME_UNKNOWN,
                Ran.UNKNOWN,
                detail=str(broken),
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
        if self._first_chunk is not None:
            first_chunk = self._first_chunk
            self._first_chunk = None
            return first_chunk
        try:
            return next(self._chunks)
        except StopIteration:
            # What is ready is delivered, also late.
            self._timer.cancel()
            self._is_incomplete = False
            self._owner.log_end(self._admitted.request, 'answered')
            raise
        except BaseException as error:
            self._log_failure(error)
            self._abort_response()
            raise

    def close(self) -> None:
        """End the exchange and abort a response that is still incomplete."""
        if self._closed:
            return
        self._closed = True
        self._owner.stopping.remove(self.stop)
        self._timer.cancel()
        self._watch.stop()
        if self._is_incomplete:
            # The caller has not taken it in time.
            self._owner.log_end(self._admitted.request, 'not-delivered')
            self._abort_response()
        self._owner.active -= 1
        close_chunks = getattr(self._chunks, 'close', None)
        if close_chunks is not None:
            close_chunks()

    def stop(self) -> None:
        """End the request, as the shutdown of this host ends."""
        self._target.throw(HostStopped('this host has shut down'))

    def _forward(self) -> ForwardOutcome:
        outcome = self._owner.forward(self._admitted)
        if isinstance(outcome, ForwardReply):
            self._chunks = outcome.chunks
            # A failure before the first chunk can still set the status.
            self._first_chunk = next(self._chunks, None)
        return outcome

    def _start(self, reply: ForwardReply) -> Iterable[bytes]:
        headers = list(reply.headers)
        if reply.backend is not None:
            headers.append(self._owner.build_backend_header(reply.backend))
        if reply.length is not None:
            headers.append(('Content-Length', str(reply.length)))
        self._start_response(f'{reply.status} ', headers)
        self._is_incomplete = True
        return self

    def _abort_response(self) -> None:
        self._is_incomplete = False
        self._watch.stop()
        self._abort()

    def _log_failure(self, failed: BaseException) -> None:
        match failed:
            case CallerGone():
                outcome = 'caller-gone'
            case eventlet.Timeout():
                outcome = 'deadline-passed'
            case HostStopped():
                outcome = 'host-stopped'
            case _:
                outcome = f'broken: {failed!r}'
        self._owner.log_end(self._admitted.request, outcome)
