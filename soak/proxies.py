"""A TCP proxy that injects faults into the connections through it."""

from __future__ import annotations

import enum
import socket as sockets
import struct
from collections import deque

import eventlet
from eventlet.green import socket

from egretdale.util.clocks import read_hub_clock
from standins.web import listen

_CHUNK_BYTES = 16384
_POLL_INTERVAL_S = 0.02
_MAXIMUM_ERRORS = 100
_DELAY_S = 0.15
#: Number of connections that wait to be accepted.
_BACKLOG = 512
#: Value of ``SO_LINGER`` with which closing a socket sends a reset.
_RESET = struct.pack('ii', 1, 0)


class Harm(enum.StrEnum):
    """What a proxy does with the data of its connections.

    ``SILENCE`` holds back the data in both directions, ``CUT_TO`` only the data
    to the target, and ``CUT_FROM`` only the data from it. ``LOSE_ANSWER``
    forwards requests and resets the connection when the response arrives.
    """

    NONE = 'none'
    DELAY = 'delay'
    RESET = 'reset'
    SILENCE = 'silence'
    CUT_TO = 'cut-to'
    CUT_FROM = 'cut-from'
    LOSE_ANSWER = 'lose-answer'


class FaultProxy:
    """Forwards connections to one address.

    :ivar address: ``address:port`` that it listens on.
    :ivar harm: fault that is currently injected.
    :ivar silent: whether the target stands still: connections wait to be
        accepted, and nothing is read or written.
    :ivar unread: number of idle connections that were closed with data that
        had just arrived.
    :ivar errors: errors that ended the most recent connections.
    """

    def __init__(self, target: str, ip: str = '127.0.0.1') -> None:
        """Start to listen on a free port.

        :param target: ``address:port`` to forward connections to.
        :param ip: address to listen on; one that nothing else uses lets the
            port be opened again after :meth:`crash`.
        """
        self.harm = Harm.NONE
        self.silent = False
        self.unread = 0
        self.errors: deque[str] = deque(maxlen=_MAXIMUM_ERRORS)
        self._target = target
        self._connections: set[_ProxiedConnection] = set()
        self._listener = listen(f'{ip}:0')
        self.address = f'{ip}:{self._listener.getsockname()[1]}'
        self._task = eventlet.spawn(self._accept)

    def close(self) -> None:
        """Stop accepting connections."""
        self._task.kill()
        self._listener.close()

    def crash(self) -> None:
        """Reset all connections and refuse further ones."""
        self.close()
        for connection in list(self._connections):
            connection.reset()

    def restart(self) -> None:
        """Accept connections again after :meth:`crash`."""
        self._listener = listen(self.address)
        self._task = eventlet.spawn(self._accept)

    def fall_silent(self, backlog: int) -> None:
        """Make the target stand still.

        :param backlog: number of connections that may wait to be accepted.
        """
        self.silent = True
        self._set_backlog(backlog)

    def go_on(self, idle_timeout_s: float) -> None:
        """End a silence, as a server does that first looks at its timers.

        :param idle_timeout_s: seconds after which idle connections are closed,
            whatever has arrived on them in the meantime.
        """
        due = read_hub_clock() - idle_timeout_s
        for connection in list(self._connections):
            if connection.used_at < due:
                self.unread += connection.held > 0
                connection.reset()
        self._set_backlog(_BACKLOG)
        self.silent = False

    def apply_harm(self, cut: Harm) -> bool:
        """Delay or hold back received data as the injected fault demands.

        :param cut: fault that holds back data in this direction.
        :return: whether the data may be forwarded; if not, the connection is
            reset.
        """
        if self.harm == Harm.DELAY:
            eventlet.sleep(_DELAY_S)
        while self.silent or self.harm in {Harm.SILENCE, cut}:
            eventlet.sleep(_POLL_INTERVAL_S)
        if self.harm == Harm.LOSE_ANSWER:
            return cut == Harm.CUT_TO
        return self.harm != Harm.RESET

    def forget(self, connection: _ProxiedConnection) -> None:
        """Forget a connection that has ended.

        :param connection: the connection.
        """
        self._connections.discard(connection)

    def _set_backlog(self, backlog: int) -> None:
        try:
            self._listener.listen(backlog)
        except OSError as error:
            # It crashed in the meantime.
            self.errors.append(repr(error))

    def _accept(self) -> None:
        while True:
            connection, _ = self._listener.accept()
            while self.silent:
                eventlet.sleep(_POLL_INTERVAL_S)
            eventlet.spawn_n(self._connect, connection)

    def _connect(self, connection: socket.socket) -> None:
        host, _, port = self._target.rpartition(':')
        try:
            upstream = socket.create_connection((host, int(port)), 5)
        except OSError:
            _reset(connection)
            return
        upstream.settimeout(None)
        self._connections.add(_ProxiedConnection(self, connection, upstream))


class _ProxiedConnection:
    """A connection through a proxy, with a task for each direction.

    :ivar held: number of directions with data that is not forwarded yet.
    :ivar used_at: clock time at which data was last forwarded.
    """

    __slots__ = ('_proxy', '_sockets', '_tasks', 'held', 'used_at')

    def __init__(
        self,
        proxy: FaultProxy,
        connection: socket.socket,
        upstream: socket.socket,
    ) -> None:
        self.held = 0
        self.used_at = read_hub_clock()
        self._proxy = proxy
        self._sockets = (connection, upstream)
        self._tasks = {
            eventlet.spawn(self._forward, connection, upstream, Harm.CUT_TO),
            eventlet.spawn(self._forward, upstream, connection, Harm.CUT_FROM),
        }

    def reset(self) -> None:
        """Reset both sides of the connection."""
        # The hub would keep a task that reads from a closed socket, and
        # confuse its number with that of the next socket.
        for task in self._tasks - {eventlet.getcurrent()}:
            task.kill()
        self._proxy.forget(self)
        for connection in self._sockets:
            _reset(connection)

    def _forward(
        self, source: socket.socket, sink: socket.socket, cut: Harm
    ) -> None:
        if not self._copy(source, sink, cut):
            self.reset()
            return
        self._tasks.discard(eventlet.getcurrent())
        if not self._tasks:
            self._proxy.forget(self)
            for connection in self._sockets:
                connection.close()

    def _copy(
        self, source: socket.socket, sink: socket.socket, cut: Harm
    ) -> bool:
        """Forward one direction.

        :return: whether it ended in order.
        """
        try:
            while chunk := source.recv(_CHUNK_BYTES):
                self.held += 1
                if not self._proxy.apply_harm(cut):
                    return False
                self.held -= 1
                self.used_at = read_hub_clock()
                sink.sendall(chunk)
            if self._proxy.apply_harm(cut):
                sink.shutdown(sockets.SHUT_WR)
                return True
        except (OSError, EOFError) as error:
            self._proxy.errors.append(repr(error))
        return False


def _reset(connection: socket.socket) -> None:
    try:
        connection.setsockopt(sockets.SOL_SOCKET, sockets.SO_LINGER, _RESET)
        connection.close()
    except (OSError, EOFError):
        # The other direction already closed it.
        return
