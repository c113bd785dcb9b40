# flake8: noqa
"""A part of long prompts crashes each engine that begins to answer it."""

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

#: Parts of each prompt; the first one may be the one that crashes engines.
PARTS = 20
DEADLY = 'deadbeef'
CONTACT_S = 3.0
SECONDS = 40
#: Seconds between two requests, and which of them has the part.
GAP_S = 0.1
EACH = 5


def send(system: System, number: int, is_deadly: bool, served: list) -> None:
    daemon = system.daemons[number % len(system.daemons)]
    identity = f'{number:016x}'
    first = DEADLY if is_deadly else f'{number:08x}'
    others = [f'{number * 64 + index:08x}:60' for index in range(1, PARTS)]
    headers = {
        'Attempt-Id': identity,
        'Deadline-Ms': 3000,
        'Model': 'm',
        'Token-Counts': '1460,80',
        'Prompt-Prefix': ','.join([f'{first}:320', *others]),
    }
    system.note('sent', id=identity, daemon=daemon.name, deadly=is_deadly)
    try:
        client = Client(daemon.bind['front'], 5)
        status, _, _ = client.send(
            'POST', '/llm/x', headers, b'{"n": %d}' % number
        )
        client.close()
    except (OSError, ValueError) as failed:
        status = f'broken({failed})'
    system.note('answered', id=identity, status=status)
    if not is_deadly:
        served.append(status == 200)


def play() -> bool:
    with System(Path(__file__).resolve().parent, 3) as system:
        system.put_configuration(
            [create_route('llm', 'idempotent', 's1', max_attempts=2)]
        )
        engines = [
            Engine(system.store, f'i-{index}', 's1', system.note)
            for index in range(3)
        ]
        for engine in engines:
            engine.crashes = lambda call: (
                DEADLY in call.headers.get('prompt-prefix', '')
            )
            engine.back_s = 2.0
            engine.start()
        system.start()
        deadly: set[str] = set()
        served: list[bool] = []
        began = time.monotonic()
        number = 0
        while time.monotonic() < began + SECONDS:
            number += 1
            is_deadly = TROUBLE and number % EACH == 0
            if is_deadly:
                deadly.add(f'{number:016x}')
            threading.Thread(
                target=send,
                args=(system, number, is_deadly, served),
                daemon=True,
            ).start()
            time.sleep(GAP_S)
        time.sleep(4)
    crashes = sorted(at for engine in engines for at, _ in engine.crash_times)
    reached = [
        at for engine in engines for at, identity in engine.runs
        if identity in deadly
    ]  # fmt: skip
    late = 0
    if len(crashes) >= 5:
        late = sum(at > crashes[4] + CONTACT_S for at in reached)
    print(
        f'{len(deadly)} requests with the part, {len(crashes)} crashes; {late} '
        f'reached engines later than contact_ms after the fifth; '
        f'{sum(served)} of {len(served)} sound requests served'
    )
    return late > 3


run(play)
