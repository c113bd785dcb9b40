# flake8: noqa
"""A client that reads a stream and takes it up again when it breaks off."""

from __future__ import annotations

import time
from dataclasses import dataclass, field

from .system import Client, Daemon, System


@dataclass
class Try:
    """One client attempt.

    :ivar sent_at: when it was sent, on the monotonic clock.
    :ivar daemon: name of the daemon that it was sent to.
    :ivar had: events that the client had before.
    :ivar got: events that it brought.
    :ivar outcome: status or failure.
    """

    sent_at: float
    daemon: str
    had: int
    got: int = 0
    outcome: str = ''


@dataclass
class Stream:
    """A stream over all tries of its client."""

    number: int
    events: list[str] = field(default_factory=list)
    tries: list[Try] = field(default_factory=list)
    is_whole: bool = False

    def list_versions(self) -> set[str]:
        return {event.split(' ')[0] for event in self.events}


def read_stream(
    system: System,
    stream: Stream,
    pauses_s: tuple[float, ...],
    deadline_s: float,
) -> None:
    """Read a stream; try again after each pause until it is whole."""
    began = time.monotonic()
    first = ''
    for index, pause_s in enumerate(pauses_s):
        time.sleep(pause_s)
        left_s = deadline_s - (time.monotonic() - began)
        if left_s < 0.3:
            return
        daemons = system.daemons
        daemon = daemons[(stream.number + index) % len(daemons)]
        identity = f'{stream.number * 16 + index + 256:016x}'
        headers = {
            'Attempt-Id': identity,
            'Deadline-Ms': round(left_s * 1000),
            'Model': 'm',
            'Token-Counts': '1460,200',
            'Prompt-Prefix': f'{stream.number + 1:x}:1460',
        }
        had = len(stream.events)
        if had:
            last = stream.events[-1].split(' ')[1]
            headers |= {'Last-Event-Id': last, 'Resumes': first}
        entry = Try(time.monotonic(), daemon.name, had)
        stream.tries.append(entry)
        system.note('sent', id=identity, daemon=daemon.name, after=had)
        entry.outcome = _send(daemon, headers, stream)
        entry.got = len(stream.events) - had
        if entry.got and not first:
            first = identity
        system.note(
            'answered',
            id=identity,
            outcome=entry.outcome,
            events=','.join(stream.events[had:]),
        )
        if stream.is_whole:
            return


def _send(daemon: Daemon, headers: dict, stream: Stream) -> str:
    try:
        client = Client(daemon.bind['front'])
        try:
            client.write('POST', '/stream/x', headers, b'{}')
            status, _ = client.read_head()
            if status != 200:
                return str(status)
            while chunk := client.read_chunk():
                stream.events += [
                    line.decode().removeprefix('data: ')
                    for line in chunk.split(b'\n')
                    if line.startswith(b'data: ')
                ]
        finally:
            client.close()
    except (OSError, ValueError) as failed:
        return f'broken({failed})'
    stream.is_whole = True
    return 'whole'
