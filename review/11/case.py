# flake8: noqa
"""Engines are replaced in place, one after the other, by another version."""

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
#: Seconds between two steps, and for which an engine is down.
GAP_S = 1.0
DOWN_S = 0.3
#: Pauses of a client before its tries, and its deadline, in seconds.
PAUSES_S = (0, 0.1, 0.1)
DEADLINE_S = 8


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
        streams = [Stream(number) for number in range(STREAMS)]
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
    mixed = sum(len(stream.list_versions()) > 1 for stream in streams)
    whole = sum(len(stream.events) == 40 for stream in streams)
    print(f'{STREAMS} streams, {whole} whole, {mixed} of two versions')
    return mixed > 2


run(play)
