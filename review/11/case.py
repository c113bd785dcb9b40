# flake8: noqa
"""Engines are replaced in place, one after the other, by another version."""

from __future__ import annotations

import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins3.engine import Engine  # noqa: E402
from standins3.system import (  # noqa: E402
    TROUBLE,
    Client,
    System,
    create_route,
    run,
)

STREAMS = 24
#: Seconds between two steps, and for which an engine is down.
GAP_S = 1.0
DOWN_S = 0.3


def read_events(client: Client, events: list[str]) -> bool:
    """Read events until the answer ends; tell whether it is whole."""
    status, _ = client.read_head()
    if status != 200:
        return False
    while chunk := client.read_chunk():
        events += [
            line.decode().removeprefix('data: ')
            for line in chunk.split(b'\n')
            if line.startswith(b'data: ')
        ]
    return True


def read_stream(system: System, number: int, seen: dict) -> None:
    """Read a stream, and take it up again after a broken connection."""
    events: list[str] = []
    first = ''
    began = time.monotonic()
    for attempt in range(3):
        daemon = system.daemons[(number + attempt) % len(system.daemons)]
        identity = f'{number * 16 + attempt + 256:016x}'
        left_ms = 8000 - round((time.monotonic() - began) * 1000)
        headers = {
            'Attempt-Id': identity,
            'Deadline-Ms': left_ms,
            'Model': 'm',
            'Token-Counts': '1460,200',
            'Prompt-Prefix': f'{number + 1:x}:1460',
        }
        if events:
            last = events[-1].split(' ')[1]
            headers |= {'Last-Event-Id': last, 'Resumes': first}
        system.note('sent', id=identity, daemon=daemon.name, after=len(events))
        had = len(events)
        whole = False
        client = Client(daemon.bind['front'])
        try:
            client.write('POST', '/stream/x', headers, b'{}')
            whole = read_events(client, events)
        except (OSError, ValueError) as failed:
            system.note('answer-broken', id=identity, detail=failed)
        client.close()
        if events and not had:
            first = identity
        system.note('answered', id=identity, events=','.join(events[had:]))
        if whole:
            break
        time.sleep(0.1)
    seen[number] = events


def play() -> bool:
    with System(Path(__file__).resolve().parent, 3) as system:
        system.put_configuration(
            [
                create_route(
                    'stream', 'streaming', 's1', resumable=True, max_attempts=3
                )
            ]
        )
        engines = [
            Engine(system.store, f'i-{index}', 's1', system.note)
            for index in range(2)
        ]
        for engine in engines:
            engine.start()
        system.start()
        seen: dict[int, list[str]] = {}
        tasks = []
        for number in range(STREAMS):
            task = threading.Thread(
                target=read_stream, args=(system, number, seen), daemon=True
            )
            task.start()
            tasks.append(task)
        time.sleep(1.0)
        if TROUBLE:
            for engine in engines:
                # The first entry of a life follows within a heartbeat.
                engine.register_s = 1.2
                began = time.monotonic()
                engine.restart(DOWN_S, 'v2')
                time.sleep(began + GAP_S - time.monotonic())
        for task in tasks:
            task.join(12)
    mixed = [
        number
        for number, events in seen.items()
        if len({event.split(' ')[0] for event in events}) > 1
    ]
    whole = sum(len(events) == 40 for events in seen.values())
    print(f'{STREAMS} streams, {whole} whole, {len(mixed)} of two versions')
    return len(mixed) > 2


run(play)
