"""HTTP client of backend servers."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

import eventlet
import msgspec
import urllib3
from urllib3.exceptions import (
    ConnectTimeoutError,
    HTTPError,
    NewConnectionError,
)

from egretdale.coordination.ports import (
    BackendCall,
    EndOfStream,
    EngineOrder,
    MaybeRun,
    NotRun,
)
from egretdale.errors import Cause, Invalid, Unreachable
from egretdale.state.backends import LoadReport
from egretdale.transport.strict_client import StrictPoolManager
from egretdale.util.addresses import split_address
from egretdale.util.json_text import decode_json

_CONNECTIONS_PER_POOL = 256
_MAXIMUM_POOLS = 64
_CONNECT_TIMEOUT_S = 1.0
_FINISH_TIMEOUT_S = 0.05
_LOAD_TIMEOUT_S = 0.5
_CONTROL_TIMEOUT_S = 1.0
_RESUME_TIMEOUT_S = 3.0
_CHUNK_BYTES = 65536
#: Longest answer to a call other than a request, in bytes.
_MAXIMUM_ANSWER_BYTES = 65536
_OK = 200
_STREAM_ID_HEADER = 'Egret-Stream-Id'
_HOP_HEADERS = frozenset(
    (
        'connection',
        'keep-alive',
        'transfer-encoding',
        'content-length',
        'server',
        'date',
    )
)


class HttpBackendStream:
    """A response that is being read.

    :ivar status: HTTP status.
    :ivar headers: headers without hop-by-hop headers.
    """

    __slots__ = ('_progress_s', '_remaining', '_response', 'headers', 'status')

    def __init__(
        self, response: urllib3.BaseHTTPResponse, progress_s: float
    ) -> None:
        """Wrap a response whose head has been read.

        :param response: the response.
        :param progress_s: longest wait for the next bytes in seconds.
        """
        self.status = response.status
        self.headers: Sequence[tuple[str, str]] = [
            (name, text)
            for name, text in response.headers.items()
            if name.lower() not in _HOP_HEADERS
        ]
        self._response = response
        self._progress_s = progress_s
        length = response.headers.get('content-length', '')
        self._remaining = int(length) if length.isdigit() else None

    def read(self) -> bytes | EndOfStream | MaybeRun:
        """Read the next chunk of the body.

        :return: bytes, the end of the stream, or the failure.
        """
        try:
            with eventlet.Timeout(self._progress_s):
                chunk = self._response.read1(_CHUNK_BYTES)
        except eventlet.Timeout:
            return MaybeRun(f'no data for {self._progress_s} s')
        except (HTTPError, OSError, ValueError) as error:
            return MaybeRun(f'connection failed: {error}')
        if chunk:
            if self._remaining is not None:
                self._remaining -= len(chunk)
            return chunk
        if self._remaining:
            return MaybeRun(f'{self._remaining} bytes are missing')
        self._response.release_conn()
        return EndOfStream()

    def finish(self) -> None:
        """Read the end of the response to reuse its connection, or close it."""
        with eventlet.Timeout(_FINISH_TIMEOUT_S, False):
            if isinstance(self.read(), EndOfStream):
                return
        self.close()

    def close(self) -> None:
        """Close the connection."""
        self._response.close()


@dataclass(slots=True, frozen=True)
class _Answer:
    """The answer to a call other than a request.

    :ivar status: HTTP status.
    :ivar content: its body.
    """

    status: int
    content: bytes


class HttpBackendClient:
    """Calls to backend servers over HTTP."""

    __slots__ = ('_control_pool', '_fresh_pool', '_pool', '_progress_s')

    def __init__(self, progress_s: float) -> None:
        """Create a client.

        :param progress_s: longest wait for the next bytes of a stream in
            seconds.
        """
        self._progress_s = progress_s
        self._pool = StrictPoolManager(
            num_pools=_MAXIMUM_POOLS,
            maxsize=_CONNECTIONS_PER_POOL,
            retries=False,
        )
        # Late second responses to these calls do not name a stream.
        self._control_pool = StrictPoolManager(
            num_pools=_MAXIMUM_POOLS,
            maxsize=_CONNECTIONS_PER_POOL,
            retries=False,
        )
        # Connections of this pool are closed after one request.
        self._fresh_pool = StrictPoolManager(
            num_pools=_MAXIMUM_POOLS, maxsize=1, retries=False
        )

    def open(
        self, address: str, call: BackendCall
    ) -> HttpBackendStream | NotRun | MaybeRun:
        """Send a request and read the head of the response.

        :param address: ``address:port`` of the backend server.
        :param call: the request.
        :return: the response, or whether the request may have run.
        """
        headers = dict(call.headers)
        headers[_STREAM_ID_HEADER] = call.stream_id
        headers['Egret-Priority'] = str(call.priority)
        if call.fresh:
            # The server may have closed a pooled connection, and the request
            # must not be sent twice.
            headers['Connection'] = 'close'
            return self._send(self._fresh_pool, address, call, headers)
        return self._send(self._pool, address, call, headers)

    def continue_stream(
        self, address: str, stream_id: str, after: int
    ) -> HttpBackendStream | NotRun | MaybeRun:
        """Resume a stream whose connection was lost.

        :param address: ``address:port`` of the engine.
        :param stream_id: ID of the stream.
        :param after: number of the last event that was received.
        :return: the response, or why the stream cannot be resumed.
        """
        path = f'/v1/streams/{stream_id}?after={after}'
        call = BackendCall(
            stream_id,
            'GET',
            path,
            (),
            b'',
            0,
            fresh=True,
            first_byte_s=_RESUME_TIMEOUT_S,
        )
        headers = {'Connection': 'close'}
        stream = self._send(self._fresh_pool, address, call, headers)
        if isinstance(stream, HttpBackendStream) and stream.status != _OK:
            stream.close()
            return NotRun(f'the engine answered {stream.status}')
        return stream

    def cancel(self, address: str, stream_id: str) -> None:
        """Cancel a stream whose caller has disconnected.

        :param address: ``address:port`` of the engine.
        :param stream_id: ID of the stream.
        """
        self._send_control(address, stream_id, 'cancel')

    def pause(self, address: str, stream_id: str, *, paused: bool) -> bool:
        """Pause or resume a stream.

        :param address: ``address:port`` of the engine.
        :param stream_id: ID of the stream.
        :param paused: true to pause, false to resume.
        :return: whether the engine confirmed it.
        """
        action = 'pause' if paused else 'resume'
        return self._send_control(address, stream_id, action)

    def read_load(self, address: str) -> LoadReport | Unreachable:
        """Read a load report.

        :param address: ``address:port`` of the backend server.
        :return: the report, or the reason for the failure.
        """
        answer = self._call('GET', f'http://{address}/load', _LOAD_TIMEOUT_S)
        if isinstance(answer, Unreachable):
            return answer
        report = decode_json(answer.content, LoadReport)
        if isinstance(report, Invalid):
            return Unreachable(Cause.MALFORMED, report.message)
        return report

    def send_order(self, address: str, order: EngineOrder) -> bool:
        """Send an order to load a model.

        :param address: ``address:port`` of the engine.
        :param order: the order.
        :return: whether the engine accepted it.
        """
        answer = self._call(
            'POST',
            f'http://{address}/orders',
            _CONTROL_TIMEOUT_S,
            msgspec.json.encode(order),
        )
        return not isinstance(answer, Unreachable) and answer.status == _OK

    def _send(
        self,
        pool: StrictPoolManager,
        address: str,
        call: BackendCall,
        headers: dict[str, str],
    ) -> HttpBackendStream | NotRun | MaybeRun:
        place = split_address(address)
        if isinstance(place, Invalid):
            return NotRun(f'cannot connect: {place.message}')
        timeout = urllib3.Timeout(
            connect=_CONNECT_TIMEOUT_S, read=call.first_byte_s
        )
        try:
            response = pool.request(
                call.method,
                f'http://{address}{call.path}',
                body=call.body or None,
                headers=headers,
                timeout=timeout,
                preload_content=False,
                redirect=False,
            )
        except (NewConnectionError, ConnectTimeoutError) as refused:
            return NotRun(f'cannot connect: {refused}')
        except HTTPError as broken:
            return MaybeRun(f'no response: {broken}')
        answered = response.headers.get(_STREAM_ID_HEADER, call.stream_id)
        if answered != call.stream_id:
            response.close()
            return MaybeRun(f'the response belongs to {answered}')
        return HttpBackendStream(response, self._progress_s)

    def _send_control(self, address: str, stream_id: str, action: str) -> bool:
        url = f'http://{address}/v1/streams/{stream_id}/{action}'
        answer = self._call('POST', url, _CONTROL_TIMEOUT_S)
        return not isinstance(answer, Unreachable) and answer.status == _OK

    def _call(
        self, method: str, url: str, timeout_s: float, body: bytes | None = None
    ) -> _Answer | Unreachable:
        """Make a call whose answer is short.

        The server may send bytes without end, so the whole call is limited.
        """
        with eventlet.Timeout(timeout_s, False):
            try:
                return self._receive(method, url, timeout_s, body)
            except HTTPError as failed:
                return Unreachable(Cause.BROKEN, str(failed))
        return Unreachable(Cause.SILENT, f'no answer within {timeout_s} s')

    def _receive(
        self, method: str, url: str, timeout_s: float, body: bytes | None
    ) -> _Answer | Unreachable:
        response = self._control_pool.request(
            method,
            url,
            body=body,
            timeout=timeout_s,
            preload_content=False,
        )
        try:
            content = response.read(_MAXIMUM_ANSWER_BYTES + 1)
        except BaseException:
            response.close()
            raise
        if len(content) > _MAXIMUM_ANSWER_BYTES:
            response.close()
            return Unreachable(Cause.MALFORMED, 'the answer is too long')
        response.release_conn()
        return _Answer(response.status, content)
