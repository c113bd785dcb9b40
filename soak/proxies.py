"""A loopback proxy that harms the connections through it."""

from __future__ import annotations

import enum
import socket as sockets
import struct
from collections import deque

import eventlet
from eventlet.green import socket

from standins.web import listen

_CHUNK_BYTES = 16384
_CHECK_S = 0.02
_REMEMBERED = 100
_DELAY_S = 0.15
#: Closing a socket with this option sends a reset.
_RESET = struct.pack('ii', 1, 0)


class Harm(enum.StrEnum):
    """What a proxy does with the bytes of its connections."""

    NONE = 'none'
    DELAY = 'delay'
    RESET = 'reset'
    SILENCE = 'silence'
    CUT_TO = 'cut-to'
    CUT_FROM = 'cut-from'
    LOSE_ANSWER = 'lose-answer'


class FaultProxy:
    """Passes connections on to one address.

    :ivar address: address that it listens on.
    :ivar harm: what happens to bytes at present.
    :ivar ended: how the last connections ended early.
    """

    def __init__(self, target: str) -> None:
        """Listen on a free port.

        :param target: ``address:port`` that connections go on to.
        """
        self.harm = Harm.NONE
        self.ended: deque[str] = deque(maxlen=_REMEMBERED)
        self._target = target
        self._listener = listen('127.0.0.1:0')
        self.address = f'127.0.0.1:{self._listener.getsockname()[1]}'
        self._task = eventlet.spawn(self._accept)

    def close(self) -> None:
        """Stop taking connections."""
        self._task.kill()
        self._listener.close()

    def _accept(self) -> None:
        while True:
            connection, _ = self._listener.accept()
            eventlet.spawn_n(self._open, connection)

    def _open(self, connection: socket.socket) -> None:
        host, _, port = self._target.rpartition(':')
        try:
            onward = socket.create_connection((host, int(port)), 5)
        except OSError:
            _reset(connection)
            return
        onward.settimeout(None)
        eventlet.spawn_n(self._pass, connection, onward, Harm.CUT_TO)
        self._pass(onward, connection, Harm.CUT_FROM)

    def _pass(
        self, source: socket.socket, sink: socket.socket, cut: Harm
    ) -> None:
        try:
            while True:
                chunk = source.recv(_CHUNK_BYTES)
                if not self._wait(cut):
                    break
                if not chunk:
                    sink.shutdown(sockets.SHUT_WR)
                    return
                sink.sendall(chunk)
        except (OSError, EOFError) as ended:
            # The other direction may have ended the connection.
            self.ended.append(repr(ended))
        _reset(source)
        _reset(sink)

    def _wait(self, cut: Harm) -> bool:
        """Hold bytes back as the harm says.

        :param cut: harm that cuts the direction of these bytes.
        :return: whether the connection goes on.
        """
        if self.harm == Harm.DELAY:
            eventlet.sleep(_DELAY_S)
        while self.harm in {Harm.SILENCE, cut}:
            eventlet.sleep(_CHECK_S)
        if self.harm == Harm.LOSE_ANSWER:
            return cut == Harm.CUT_TO
        return self.harm != Harm.RESET


def _reset(connection: socket.socket) -> None:
    try:
        connection.setsockopt(sockets.SOL_SOCKET, sockets.SO_LINGER, _RESET)
        connection.close()
    except (OSError, EOFError):
        # It was closed by the other direction.
        return
