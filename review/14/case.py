# flake8: noqa
"""All daemons are killed at once after a deadly part was recognised."""

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

DEADLY = 'deadbeef'
CONTACT_S = 3.0
#: Seconds until the kill, without requests with the part after it, and in all.
LEARNING_S = 12
QUIET_S = 7
SECONDS = 32
#: Seconds between two requests, and between two with the part.
GAP_S = 0.1
DEADLY_GAP_S = 0.7


def send(system: System, number: int, is_deadly: bool) -> None:
    daemon = system.daemons[number % len(system.daemons)]
    identity = f'{number:016x}'
    first = DEADLY if is_deadly else f'{number:08x}'
    headers = {
        'Attempt-Id': identity,
        'Deadline-Ms': 3000,
        'Model': 'm',
        'Token-Counts': '1460,80',
        'Prompt-Prefix': f'{first}:800,{number * 2 + 1:08x}:410,'
        f'{number * 2:08x}:250',
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


def restart(system: System) -> None:
    system.note('all daemons are killed')
    for daemon in system.daemons:
        daemon.process.kill()
    for daemon in system.daemons:
        daemon.process.wait()
    time.sleep(0.5)
    for daemon in system.daemons:
        daemon.start()
    system.note('all daemons are started')


def play() -> bool:
    with System(Path(__file__).resolve().parent, 3) as system:
        system.put_configuration(
            [create_route('llm', 'idempotent', 's1', max_attempts=2)]
        )
        engines = [
            Engine(system.store, f'i-{index}', 's1', system.note)
            for index in range(5)
        ]
        for engine in engines:
            engine.crashes = lambda call: (
                DEADLY in call.headers.get('prompt-prefix', '')
            )
            engine.back_s = 2.0
            engine.start()
        system.start()
        deadly: set[str] = set()
        killed = started = float('inf')
        began = time.monotonic()
        number = 0
        last = began
        while (now := time.monotonic()) < began + SECONDS:
            if TROUBLE and now > began + LEARNING_S and killed > now:
                killed = now
                restart(system)
                started = now = time.monotonic()
            number += 1
            is_quiet = killed < now < started + QUIET_S
            is_deadly = not is_quiet and now > last + DEADLY_GAP_S
            if is_deadly:
                last = now
                deadly.add(f'{number:016x}')
            threading.Thread(
                target=send, args=(system, number, is_deadly), daemon=True
            ).start()
            time.sleep(GAP_S)
        time.sleep(4)
    crashes = sorted(at for engine in engines for at, _ in engine.crash_times)
    late = 0
    if len(crashes) >= 5:
        # Requests of daemons that are not in touch are left out.
        late = sum(
            at > crashes[4] + CONTACT_S
            and not killed <= at < started + CONTACT_S
            for engine in engines
            for at, identity in engine.runs
            if identity in deadly
        )
    print(
        f'{len(crashes)} crashes after '
        f'{[round(at - began, 1) for at in crashes]} s; {late} requests with '
        'the part reached engines later than contact_ms after the fifth'
    )
    return late > 3


run(play)
