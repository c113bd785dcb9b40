# flake8: noqa
"""After a drill of the store, a draining engine keeps getting new requests."""

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

DAEMONS = 3
ENGINES = 5
SESSIONS = 15
EVENTS = 34
EVENT_INTERVAL_S = 0.1
HEARTBEAT_S = 1.2
#: Seconds that the copy is old, and that the store is away.
COPY_AGE_S = 4.0
AWAY_S = 1.0
#: Seconds from the end of the drill until an engine drains; contact_ms is 3 s.
CALM_S = 6.0
DRAIN_S = 2.0
#: Seconds after its draining report at which the engine exits.
EXIT_S = 4.5


async def write_stream(
    engine: Engine, head: Head, body: bytes, writer: asyncio.StreamWriter
) -> None:
    """Write a stream of a few seconds."""
    lines = ['HTTP/1.1 200 OK', 'Transfer-Encoding: chunked']
    headers = {
        **engine.build_headers(head),
        'Content-Type': 'text/event-stream',
        'Weight-Versions': '1',
    }
    lines += [f'{name}: {value}' for name, value in headers.items()]
    writer.write('\r\n'.join((*lines, '', '')).encode())
    for number in range(1, EVENTS + 1):
        event = f'id: {number}\ndata: x\n\n'.encode()
        writer.write(f'{len(event):x}\r\n'.encode() + event + b'\r\n')
        await writer.drain()
        await asyncio.sleep(EVENT_INTERVAL_S)
    writer.write(b'0\r\n\r\n')
    await writer.drain()


class Case:
    """Daemons, engines and sessions."""

    def __init__(self, record: Record, scratch: Path) -> None:
        self.record = record
        self.store = Store(record)
        self.engines = [
            Engine(record, f'i-{index}', write_stream)
            for index in range(ENGINES)
        ]
        seeds: list[str] = []
        self.daemons = [
            Daemon(f'front-{index}', scratch, self.store, seeds)
            for index in range(DAEMONS)
        ]
        seeds += [daemon.bind['control'] for daemon in self.daemons]
        self.sent_at: dict[str, float] = {}
        self.lost: list[str] = []
        self._count = 0

    async def send(self, session: int) -> str:
        """Send a request of a session; return the engine that ran it."""
        self._count += 1
        identity = f'9c41d07be2a3{self._count:04}'
        daemon = self.daemons[self._count % DAEMONS]
        headers = build_request_headers(
            identity,
            Model='m',
            **{
                'Token-Counts': '1460,170',
                'Prompt-Prefix': f'5c1e07a{session:02}:1210,'
                f'e4{self._count:06}:250',
            },
        )
        self.sent_at[identity] = self.record.now()
        self.record.note(
            f'client of session {session} sends {identity} to {daemon.name}'
        )
        answer = await ask(
            daemon.bind['front'], 'POST', '/puxa403/2f', headers, b'{}'
        )
        self.record.note(
            f'client got for {identity}: {answer.status}, complete '
            f'{answer.complete} after {answer.body.count(b"id:")} events'
        )
        if answer.status == 200 and not answer.complete:
            self.lost.append(identity)
        return answer.headers.get('server-seal', '').partition('.')[0]

    async def ask_all(self, sessions: list[int]) -> list[str]:
        """Send one request of each session."""
        return await asyncio.gather(*(self.send(entry) for entry in sessions))

    async def warm_up(self) -> None:
        """Let one engine start cold while the store makes its copy.

        Its entry changes with each heartbeat, as it has less and less left.
        """
        cold = self.engines[-1]
        saved = self.store.copy()
        steps = int(COPY_AGE_S / HEARTBEAT_S)
        for left in range(steps, -1, -1):
            self.store.put(
                'servers',
                cold.name,
                cold.describe(cold_left_ms=int(left * HEARTBEAT_S * 1000)),
            )
            await asyncio.sleep(HEARTBEAT_S)
        if not self.record.trouble:
            return
        written = [
            (name, entry['spec'])
            for name, entry in self.store.objects['servers'].items()
        ]
        self.record.note('drill: the store goes away')
        await self.store.stop()
        await asyncio.sleep(AWAY_S)
        await self.store.restore(saved)
        self.record.note(
            f'drill: the store is back at revision {self.store.revision}'
        )
        # What the operator and the engines wrote is written again.
        for name, spec in written:
            self.store.put('servers', name, spec)

    async def play(self) -> int:
        await self.store.start()
        for engine in self.engines:
            await engine.start()
            self.store.put('servers', engine.name, engine.describe())
        route = create_route('puxa403', 'streaming', gap_aim_ms=200)
        configuration = create_configuration(7, [route], TENANTS)
        self.store.put('config', 'main', configuration)
        for daemon in self.daemons:
            daemon.start()
        for daemon in self.daemons:
            if not await daemon.wait_until_ready():
                self.record.note(daemon.log.read_text()[-2000:])
                return 2
        await asyncio.sleep(2)
        await self.warm_up()
        await asyncio.sleep(CALM_S - EVENTS * EVENT_INTERVAL_S)
        sessions = list(range(SESSIONS))
        ran_at = await self.ask_all(sessions)
        if not all(ran_at):
            self.record.note('some first requests were not served')
            return 2
        await asyncio.sleep(1)
        return await self.drain(dict(zip(sessions, ran_at, strict=True)))

    async def drain(self, ran_at: dict[int, str]) -> int:
        """Let the engine of the last session drain and exit."""
        leaver = next(
            entry for entry in self.engines if entry.name == ran_at[0]
        )
        leaver.leaving = True
        self.store.put('servers', leaver.name, leaver.describe('draining'))
        acknowledged_at = self.record.now()
        own = [entry for entry, name in ran_at.items() if name == leaver.name]
        self.record.note(
            f'the store has accepted that {leaver.name} drains; its sessions '
            f'{own} come again after {DRAIN_S} s'
        )
        exits = asyncio.create_task(self._exit(leaver))
        await asyncio.sleep(DRAIN_S + 0.3)
        await self.ask_all(own)
        await exits
        late = [
            identity
            for reached_at, identity in leaver.runs
            if self.sent_at[identity] > acknowledged_at + DRAIN_S
        ]
        self.record.note(
            f'{len(late)} requests sent later than drain_ms reached '
            f'{leaver.name}: {late}'
        )
        self.record.note(f'streams that were cut: {self.lost}')
        return 1 if late else 0

    async def _exit(self, leaver: Engine) -> None:
        await asyncio.sleep(EXIT_S)
        await leaver.exit()
        self.store.remove('servers', leaver.name)


async def play(record: Record, scratch: Path) -> int:
    case = Case(record, scratch)
    try:
        return await case.play()
    finally:
        for daemon in case.daemons:
            daemon.end()


if __name__ == '__main__':
    sys.exit(run_case(FOLDER, play))
