# flake8: noqa
"""Engines as PROTOCOL.md describes them: streams and plain answers."""

from __future__ import annotations

import os
import socket
import struct
import threading
import time
from collections.abc import Callable

from .store import Store

HEARTBEAT_S = 1.2


class Call:
    """A request that an engine has read."""

    def __init__(self, method: str, target: str, headers: dict, body: bytes):
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body
        self.identity = headers.get('attempt-id', '')


class Engine:
    """One engine; each start is a life of its own under the same id."""

    def __init__(
        self,
        store: Store,
        name: str,
        service: str,
        note: Callable[..., None],
        *,
        version: str = 'v1',
        slots: int = 64,
        events: int = 40,
        event_s: float = 0.1,
    ) -> None:
        self.store = store
        self.name = name
        self.service = service
        self.note = note
        self.version = version
        self.slots = slots
        self.events = events
        self.event_s = event_s
        self.sequence = 0
        self.life = 0
        self.runs: list[tuple[float, str]] = []
        #: Returns true if the request crashes the engine.
        self.crashes: Callable[[Call], bool] = lambda call: False
        #: Seconds of prefill between the head of an answer that crashes the
        #: engine and its first bytes; ``None`` to crash without a head.
        self.prefill_s: float | None = None
        #: Seconds of work of a plain request.
        self.work_s = 0.0
        #: Requests that may wait for a slot.
        self.room = 4
        #: ``Server-Brittle`` that all answers state, and the falls.
        self.brittle: int | None = None
        self.falls: list[float] = []
        self._held = 0
        self._rejected_at: list[float] = []
        self._slots = threading.Semaphore(slots)
        #: Replaces the answer of a plain request.
        self.answer: Callable[[Call], bytes] | None = None
        #: Seconds after a start until the first entry is written.
        self.register_s = 0.0
        #: Seconds after a crash until the engine starts again.
        self.back_s = 2.0
        self.crash_times: list[tuple[float, str]] = []
        self._lock = threading.Lock()
        self._open: set[socket.socket] = set()
        self._listener: socket.socket | None = None
        # No local connection uses a port of this address, so that it is free
        # whenever the engine starts again.
        pid = os.getpid() % 60000
        self.ip = f'127.90.{pid // 250}.{1 + pid % 250}'
        with socket.create_server((self.ip, 0)) as probe:
            self.port = probe.getsockname()[1]
        self.address = f'{self.ip}:{self.port}'

    def start(self) -> None:
        with self._lock:
            self.life += 1
            life = self.life
            self.sequence = 0
            self._held = 0
            self._rejected_at = []
            self._slots = threading.Semaphore(self.slots)
            self.born = int(time.time() * 1000)
            listener = socket.socket()
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            listener.bind((self.ip, self.port))
            listener.listen(256)
            self._listener = listener
        self.note('engine-started', name=self.name, version=self.version)
        threading.Thread(
            target=self._accept, args=(listener, life), daemon=True
        ).start()
        threading.Thread(target=self._beat, args=(life,), daemon=True).start()

    def stop(self) -> None:
        """Crash: the listener and all connections end at once."""
        with self._lock:
            self.life += 1
            listener, self._listener = self._listener, None
            opened = list(self._open)
            self._open.clear()
        if listener is not None:
            listener.shutdown(socket.SHUT_RDWR)
            listener.close()
        for connection in opened:
            try:
                connection.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
                )
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
        self.note('engine-ended', name=self.name, version=self.version)

    def restart(self, down_s: float, version: str | None = None) -> None:
        self.stop()
        time.sleep(down_s)
        if version is not None:
            self.version = version
        self.start()

    def crash(self, call: Call) -> None:
        with self._lock:
            if self._listener is None:
                return
            self.crash_times.append((time.monotonic(), call.identity))
        self.note('engine-crashed', name=self.name, by=call.identity)
        self.stop()
        timer = threading.Timer(self.back_s, self.start)
        timer.daemon = True
        timer.start()

    def write_entry(self, state: str = 'ready') -> None:
        self.sequence += 1
        self.store.put(
            'servers',
            self.name,
            {
                'backend': self.service,
                'address': self.address,
                'zone': 'z1',
                'version': self.version,
                'slots': self.slots,
                'state': state,
                'cold_left_ms': 0,
                'sequence': self.sequence,
                'born': self.born,
            },
        )

    def _beat(self, life: int) -> None:
        time.sleep(self.register_s)
        while self.life == life:
            self.write_entry()
            time.sleep(HEARTBEAT_S)

    def _accept(self, listener: socket.socket, life: int) -> None:
        while self.life == life:
            try:
                connection, _ = listener.accept()
            except OSError:
                return
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            with self._lock:
                if self.life != life:
                    connection.close()
                    return
                self._open.add(connection)
            threading.Thread(
                target=self._serve, args=(connection, life), daemon=True
            ).start()

    def _serve(self, connection: socket.socket, life: int) -> None:
        reader = connection.makefile('rb')
        try:
            while self.life == life:
                call = read_call(reader)
                if call is None or not self._answer(connection, call, life):
                    return
        except (OSError, ValueError):
            return
        finally:
            with self._lock:
                self._open.discard(connection)
            try:
                reader.close()
                connection.close()
            except OSError:
                pass

    def _answer(self, connection: socket.socket, call: Call, life: int) -> bool:
        expected = call.headers.get('expect-instance')
        if expected not in (None, self.name):
            connection.sendall(
                b'HTTP/1.1 421 Misdirected Request\r\n'
                b'Instance-Id: %b\r\nContent-Length: 0\r\n\r\n'
                % self.name.encode()
            )
            return True
        if call.target == '/health':
            connection.sendall(
                b'HTTP/1.1 200 OK\r\nInstance-Id: %b\r\n'
                b'Content-Length: 0\r\n\r\n' % self.name.encode()
            )
            return True
        if not self._take_room():
            self.note('rejected', engine=self.name, id=call.identity)
            connection.sendall(
                b'HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\n'
                b'Attempt-Id: %b\r\n%bContent-Length: 0\r\n\r\n'
                % (call.identity.encode(), self._state_brittle())
            )
            return self._count_rejection(life)
        slots = self._slots
        with slots:
            try:
                return self.life == life and self._run(connection, call, life)
            finally:
                with self._lock:
                    if self.life == life:
                        self._held -= 1

    def _take_room(self) -> bool:
        with self._lock:
            if self._held >= self.slots + self.room:
                return False
            self._held += 1
            return True

    def _state_brittle(self) -> bytes:
        if self.brittle is None:
            return b''
        return b'Server-Brittle: %d\r\n' % self.brittle

    def _count_rejection(self, life: int) -> bool:
        """Fall over if more than N requests were rejected in a second."""
        now = time.monotonic()
        with self._lock:
            if self.life != life:
                return False
            recent = [at for at in self._rejected_at if at > now - 1]
            self._rejected_at = [*recent, now]
            if self.brittle is None or len(recent) < self.brittle:
                return True
            self.falls.append(now)
        self.note('fell-over', name=self.name)
        self.stop()
        timer = threading.Timer(self.back_s, self.start)
        timer.daemon = True
        timer.start()
        return False

    def _run(self, connection: socket.socket, call: Call, life: int) -> bool:
        self.runs.append((time.monotonic(), call.identity))
        self.note(
            'run', engine=self.name, version=self.version, id=call.identity
        )
        head = (
            f'HTTP/1.1 200 OK\r\nAttempt-Id: {call.identity}\r\n'
            f'Server-Seal: seal-{call.identity}\r\n'
        ).encode() + self._state_brittle()
        if self.crashes(call):
            if self.prefill_s is not None:
                self._begin_stream(connection, head)
                time.sleep(self.prefill_s)
                if self.life == life:
                    connection.sendall(b'1a\r\nid: 1\ndata: ')
            if self.life == life:
                self.crash(call)
            return False
        if call.target.startswith('/stream/'):
            return self._stream(connection, call, head, life)
        if self.work_s:
            time.sleep(self.work_s)
            if self.life != life:
                return False
        if self.answer is not None:
            connection.sendall(self.answer(call))
            return True
        body = f'answer to {call.identity}\n'.encode()
        head += b'Content-Length: %d\r\n\r\n' % len(body)
        connection.sendall(head if call.method == 'HEAD' else head + body)
        return True

    def _begin_stream(self, connection: socket.socket, head: bytes) -> None:
        connection.sendall(
            head + b'Content-Type: text/event-stream\r\n'
            b'Transfer-Encoding: chunked\r\n\r\n'
        )

    def _stream(
        self, connection: socket.socket, call: Call, head: bytes, life: int
    ) -> bool:
        self._begin_stream(connection, head)
        after = int(call.headers.get('last-event-id') or 0)
        for number in range(after + 1, self.events + 1):
            time.sleep(self.event_s)
            if self.life != life:
                return False
            event = f'id: {number}\ndata: {self.version} {number}\n\n'.encode()
            connection.sendall(b'%x\r\n%b\r\n' % (len(event), event))
        connection.sendall(b'0\r\n\r\n')
        return True


def read_call(reader) -> Call | None:
    """Read one request."""
    line = reader.readline()
    if not line.strip():
        return None
    method, target, _ = line.decode('latin-1').split(' ', 2)
    headers: dict[str, str] = {}
    while True:
        field = reader.readline().decode('latin-1').rstrip('\r\n')
        if not field:
            break
        name, _, text = field.partition(':')
        headers[name.strip().lower()] = text.strip()
    body = reader.read(int(headers.get('content-length') or 0))
    return Call(method, target, headers, body)
