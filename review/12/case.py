# flake8: noqa
"""All daemons are killed at once while two software versions serve."""

from __future__ import annotations

import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins3.engine import Engine  # noqa: E402
from standins3.streams import Stream, read_stream  # noqa: E402
from standins3.system import TROUBLE, System, create_route, run  # noqa: E402

STREAMS = 24
VERSIONS = ('v1', 'v1', 'v2', 'v2')
CONTACT_S = 3.0
#: Pauses of a client before its tries, and its deadline, in seconds.
PAUSES_S = (0, 0.3, 1.0, 3.0, 1.5)
DEADLINE_S = 10


def start_clients(system: System, streams: list[Stream]) -> list:
    tasks = [
        threading.Thread(
            target=read_stream,
            args=(system, stream, PAUSES_S, DEADLINE_S),
            daemon=True,
        )
        for stream in streams
    ]
    for task in tasks:
        task.start()
    return tasks


def play() -> bool:
    with System(Path(__file__).resolve().parent, 3) as system:
        system.put_configuration(
            [
                create_route(
                    'stream',
                    'streaming',
                    's1',
                    resumable=True,
                    max_attempts=3,
                    timeout_ms=10000,
                )
            ]
        )
        engines = [
            Engine(
                system.store,
                f'i-{index}',
                's1',
                system.note,
                version=version,
                events=60,
            )
            for index, version in enumerate(VERSIONS)
        ]
        for engine in engines:
            engine.start()
        system.start()
        streams = [Stream(number) for number in range(STREAMS)]
        began = time.monotonic()
        tasks = start_clients(system, streams)
        time.sleep(1.5)
        started = began - CONTACT_S
        if TROUBLE:
            system.note('all daemons are killed')
            for daemon in system.daemons:
                daemon.process.kill()
            for daemon in system.daemons:
                daemon.process.wait()
            time.sleep(0.5)
            for daemon in system.daemons:
                daemon.start()
            started = time.monotonic()
        time.sleep(began + 6 - time.monotonic())
        later = [Stream(100 + number) for number in range(STREAMS)]
        tasks += start_clients(system, later)
        for task in tasks:
            task.join(14)
    resumed = [
        entry
        for stream in streams
        for entry in stream.tries
        if entry.had and entry.sent_at >= started + CONTACT_S
    ]
    firsts = [stream.tries[0] for stream in later]
    went_on = sum(entry.got > 0 for entry in resumed)
    begun = sum(entry.got > 0 for entry in firsts)
    print(
        f'{len(resumed)} tries to take up a stream at daemons in touch, '
        f'{went_on} go on; {len(firsts)} new streams, {begun} begin'
    )
    # The rule counts 12 streams or more.
    taken_up = {
        stream.number
        for stream in streams
        if any(entry in resumed for entry in stream.tries)
    }
    if len(taken_up) < 12:
        return False
    return went_on / len(resumed) < begun / len(firsts) / 2


run(play)
