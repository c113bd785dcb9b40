"""Tests of the daemon as a process, from what clients and servers see."""

from __future__ import annotations

from dataclasses import dataclass, field

import eventlet
from urllib3.exceptions import HTTPError

from tests.functions import create_loader
from tests.processes import RunningDaemon, open_daemon

load_tests = create_loader(__name__)

_CLIENTS = 24
#: Connections for which the daemon of the second test has room.
_ROOM = 32
#: Descriptors and memory in MB that a daemon needs besides.
_OTHER_DESCRIPTORS = 40
_MEMORY_MB = 80


@dataclass
class _Client:
    """A client that sends until it is not served any more.

    :ivar whole: identities of the requests that were answered whole.
    :ivar statuses: statuses of the others.
    :ivar broken: identities of those without an answer.
    """

    name: str
    whole: list[str] = field(default_factory=list)
    statuses: list[int] = field(default_factory=list)
    broken: list[str] = field(default_factory=list)

    def run(self, daemon: RunningDaemon) -> None:
        """Send one request after the other until one is not answered."""
        while not self.broken:
            identity = f'{self.name}-{len(self.whole) + len(self.statuses)}'
            self.send(daemon, identity, keep=True)

    def send(self, daemon: RunningDaemon, identity: str, *, keep: bool) -> None:
        """Send a request and note what comes of it."""
        try:
            answer = daemon.ask(identity, keep=keep)
        except HTTPError:
            self.broken.append(identity)
            return
        expected = f'answer to {identity}'.encode() * 20
        if answer.status == 200 and answer.data == expected:
            self.whole.append(identity)
        else:
            self.statuses.append(answer.status)


def _list_whole(clients: list[_Client]) -> set[str]:
    return {identity for client in clients for identity in client.whole}


def test_a_planned_stop_answers_everything_that_ran() -> None:
    """Clients that keep sending lose nothing that reached a server."""
    with open_daemon() as daemon:
        clients = [_Client(f'c{index}') for index in range(_CLIENTS)]
        tasks = [eventlet.spawn(client.run, daemon) for client in clients]
        while len(daemon.server.runs) < _CLIENTS * 4:
            eventlet.sleep(0.02)
        daemon.stop()
        assert daemon.wait() == 0
        for task in tasks:
            task.wait()
        assert len(set(daemon.server.runs)) == len(daemon.server.runs)
        assert set(daemon.server.runs) == _list_whole(clients)
        assert not any(client.statuses for client in clients)


def test_connections_beyond_the_limit_wait_their_turn() -> None:
    """Four times the connections cost neither descriptors nor memory."""
    with open_daemon(max_fds=_ROOM * 3) as daemon:
        clients = [_Client(f'c{index}') for index in range(_ROOM * 4)]
        tasks = [
            eventlet.spawn(client.send, daemon, client.name, keep=False)
            for client in clients
        ]
        most = 0
        while len(daemon.server.runs) < len(clients):
            most = max(most, daemon.count_descriptors())
            eventlet.sleep(0.02)
        for task in tasks:
            task.wait()
        assert len(_list_whole(clients)) == len(clients)
        # A connection of a caller may need one to a server.
        assert most <= 2 * _ROOM + _OTHER_DESCRIPTORS
        assert daemon.read_memory_mb() < _MEMORY_MB
