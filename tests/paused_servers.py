"""Backend servers in processes of their own, which tests stop and resume."""

from __future__ import annotations

import os
import signal
import socket
import subprocess
import sys
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path

import eventlet

from standins.addresses import choose_addresses, choose_ip

#: Length of the queue of new connections.
_BACKLOG = 4
_PARTS = 8
#: Seconds before the head of a response and between the parts of its body.
_STEP_S = 0.05
_START_TIMEOUT_S = 20


@dataclass
class PausedServer:
    """A backend server process.

    :ivar address: its ``address:port``.
    :ivar runs: file with the IDs of the requests that it ran, one a line.
    :ivar idle_s: seconds after which it closes idle connections.
    """

    address: str
    runs: Path
    idle_s: int
    process: subprocess.Popen[bytes] | None = None

    def find_place(self) -> tuple[str, int]:
        """Return the address and the port."""
        host, _, port = self.address.rpartition(':')
        return host, int(port)

    def start(self) -> None:
        """Start the process and wait until it listens."""
        host, port = self.find_place()
        self.process = subprocess.Popen(
            (sys.executable, '-m', 'tests.paused_servers')
            + (host, str(port), str(self.runs), str(self.idle_s)),
            cwd=Path(__file__).resolve().parent.parent,
            env={**os.environ, 'PYTHONWARNINGS': 'ignore'},
        )
        with eventlet.Timeout(_START_TIMEOUT_S):
            while not self.runs.exists():
                eventlet.sleep(0.05)

    def pause(self, for_s: float) -> None:
        """Stop the process for a while.

        :param for_s: seconds.
        """
        self.process.send_signal(signal.SIGSTOP)
        eventlet.sleep(for_s)
        self.process.send_signal(signal.SIGCONT)

    def kill(self) -> None:
        """Kill the process."""
        self.process.kill()
        self.process.wait()


@contextmanager
def start_servers(
    folder: Path, count: int, idle_s: int
) -> Iterator[list[PausedServer]]:
    """Run servers until the end of the context.

    :param folder: folder for what they ran.
    :param count: number of servers.
    :param idle_s: seconds after which they close idle connections.
    """
    servers = []
    try:
        for number in range(count):
            address = choose_addresses(choose_ip(), 1)[0]
            server = PausedServer(address, folder / f'runs-{number}', idle_s)
            servers.append(server)
            server.start()
        yield servers
    finally:
        for server in servers:
            server.kill()


def build_body(identity: str) -> bytes:
    """Build the body of the response to a request.

    :param identity: ID of the request.
    """
    return b''.join(_list_parts(identity))


def _list_parts(identity: str) -> list[bytes]:
    return [
        f'id: {number}\ndata: {identity}\n\n'.encode()
        for number in range(1, _PARTS + 1)
    ]


def _respond(connection: socket.socket, head: bytes, idle_s: float) -> bool:
    lines = head.decode().split('\r\n')
    identity = next(
        line.partition(': ')[2]
        for line in lines
        if line.lower().startswith('attempt-id: ')
    )
    print(identity, flush=True)
    parts = _list_parts(identity)
    target = lines[0].split(' ')[1]
    framing = target.rpartition('-')[2]
    started = f'HTTP/1.1 200 OK\r\nAttempt-Id: {identity}\r\nServer-Seal: s\r\n'
    match framing:
        case 'chunked':
            parts = [b'%x\r\n%s\r\n' % (len(part), part) for part in parts]
            parts.append(b'0\r\n\r\n')
            started += 'Transfer-Encoding: chunked\r\n'
        case 'close':
            started += 'Connection: close\r\n'
        case _:
            length = sum(map(len, parts))
            started += f'Content-Length: {length}\r\n'
    if idle_s and framing != 'close':
        started += f'Keep-Alive: timeout={idle_s}\r\n'
    for part in (f'{started}\r\n'.encode(), *parts):
        eventlet.sleep(_STEP_S)
        connection.sendall(part)
    return framing != 'close'


def _serve(connection: socket.socket, idle_s: int) -> None:
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    try:
        while True:
            connection.settimeout(idle_s)
            head = b''
            while not head.endswith(b'\r\n\r\n'):
                received = connection.recv(65536)
                if not received:
                    return
                head += received
            if not _respond(connection, head, idle_s):
                return
    except OSError as ended:
        print(f'connection ended: {ended}', file=sys.stderr)
    finally:
        connection.close()


def main() -> None:
    """Serve requests without bodies until the process ends."""
    host, port, runs, idle_s = sys.argv[1:]
    listener = eventlet.listen((host, int(port)), backlog=_BACKLOG)
    sys.stdout = Path(runs).open('a')
    while True:
        connection, _ = listener.accept()
        eventlet.spawn_n(_serve, connection, int(idle_s))


if __name__ == '__main__':
    main()
