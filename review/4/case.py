# flake8: noqa
"""A resumed stream goes on after a number that stood in the text of an event."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins import (  # noqa: E402
    TENANTS,
    Daemon,
    Engine,
    Head,
    Record,
    Store,
    ask,
    build_request_headers,
    create_configuration,
    create_route,
    run_case,
)

EVENTS = 12
STREAMS = 18
ENGINES = 9
#: The engine is down for as long as in the site file.
DOWN_S = 4.5
#: An entry is removed after three heartbeat intervals of silence.
SILENT_S = 3.6
EVENT_INTERVAL_S = 0.08
CRASH_AT_EVENT = 5


def create_event(number: int) -> bytes:
    """Return an event: one line of a summary of a tenancy."""
    text = f'Flat {number}: rent due monthly, months paid: 2'
    return f'id: {number}\ndata: {text}\n\n'.encode()


class Streams:
    """What the engines have written."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.running: dict[str, dict[str, int]] = {}

    async def run(
        self,
        engine: Engine,
        head: Head,
        body: bytes,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Write a stream, from the event after ``Last-Event-Id``."""
        identity = head.headers['attempt-id']
        text = head.headers.get('last-event-id', '0')
        # An ID that the engine never gave names no event.
        after = int(text) if text.isdigit() else 0
        lines = ['HTTP/1.1 200 OK', 'Transfer-Encoding: chunked']
        headers = {
            **engine.build_headers(head),
            'Content-Type': 'text/event-stream',
            'Weight-Versions': '1',
        }
        lines += [f'{name}: {value}' for name, value in headers.items()]
        writer.write('\r\n'.join((*lines, '', '')).encode())
        running = self.running.setdefault(engine.name, {})
        try:
            for number in range(after + 1, EVENTS + 1):
                event = create_event(number)
                writer.write(f'{len(event):x}\r\n'.encode() + event + b'\r\n')
                await writer.drain()
                running[identity] = number
                await asyncio.sleep(EVENT_INTERVAL_S)
            writer.write(b'0\r\n\r\n')
            await writer.drain()
        finally:
            running.pop(identity, None)

    async def crash(self, store: Store, engines: list[Engine]) -> None:
        """Let one engine crash in the middle of its streams."""
        while True:
            await asyncio.sleep(0.005)
            for engine in engines:
                events = self.running.get(engine.name, {}).values()
                if events and min(events) >= CRASH_AT_EVENT:
                    break
            else:
                continue
            break
        self.record.note(
            f'engine {engine.name} crashes, with '
            f'{sorted(self.running[engine.name])}'
        )
        await engine.exit()
        await asyncio.sleep(SILENT_S)
        store.remove('servers', engine.name)
        await asyncio.sleep(DOWN_S - SILENT_S)
        again = Engine(self.record, 'i-again', self.run)
        await again.start()
        store.put('servers', again.name, again.describe())


async def send(record: Record, daemon: Daemon, number: int) -> bool:
    """Send a request; return whether its stream keeps ORDER."""
    identity = f'9c41d07be2a35f{number:02}'
    headers = build_request_headers(
        identity,
        Model='m',
        **{
            'Token-Counts': '1460,80',
            'Prompt-Prefix': f'5c1e07a{number:02}:1210,e4402b7{number:02}:250',
        },
    )
    record.note(f'client sends {identity}')
    answer = await ask(
        daemon.bind['front'], 'POST', '/pufi791/2f', headers, b'{}'
    )
    expected = b''.join(create_event(index + 1) for index in range(EVENTS))
    # A piece is missing, comes twice, or the end comes too soon. A stream that
    # is broken off may be shorter.
    right = answer.body == expected or (
        not answer.complete and expected.startswith(answer.body)
    )
    ids = [
        line[4:]
        for line in answer.body.decode().split('\n')
        if line.startswith('id: ')
    ]
    record.note(
        f'client got for {identity}: {answer.status}, complete '
        f'{answer.complete}, events {",".join(ids)}'
        f'{"" if right or answer.status != 200 else ": ORDER is broken"}'
    )
    return right or answer.status != 200


async def play(record: Record, scratch: Path) -> int:
    store = Store(record)
    await store.start()
    streams = Streams(record)
    engines = [
        Engine(record, f'i-{index}', streams.run) for index in range(ENGINES)
    ]
    for engine in engines:
        await engine.start()
        store.put('servers', engine.name, engine.describe())
    route = create_route(
        'pufi791', 'streaming', resumable=True, max_attempts=2, gap_aim_ms=300
    )
    store.put('config', 'main', create_configuration(7, [route], TENANTS))
    daemon = Daemon('front-1', scratch, store)
    daemon.start()
    try:
        if not await daemon.wait_until_ready():
            record.note(daemon.log.read_text()[-2000:])
            return 2
        await asyncio.sleep(1)
        crash = None
        if record.trouble:
            crash = asyncio.create_task(streams.crash(store, engines))
        results = await asyncio.gather(
            *(send(record, daemon, number) for number in range(STREAMS))
        )
        if crash is not None:
            await asyncio.wait_for(crash, 20)
        # The engine has been back for a while: new streams are right.
        results += [await send(record, daemon, STREAMS)]
        record.note(f'{results.count(False)} streams were wrong')
        return 0 if all(results) else 1
    finally:
        daemon.end()


if __name__ == '__main__':
    sys.exit(run_case(FOLDER, play))
