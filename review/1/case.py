# flake8: noqa
"""One entry of another writer ends all daemons, again and again."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins import (  # noqa: E402
    TENANTS,
    Answer,
    Daemon,
    Engine,
    Head,
    Record,
    Store,
    build_request_headers,
    create_configuration,
    create_route,
    encode_response,
    exchange_on,
    run_case,
)

DAEMONS = 3
CLIENTS_PER_DAEMON = 12
WORK_S = 0.09
BODY = b'{"claim": "HB-20391"}'
CALM_S = 3.0
TROUBLED_S = 12.0
#: Seconds after which the platform starts a process that has ended again.
RESTART_S = 0.5
#: Depth of the lists in a field of the entry, which makes 2 KB of JSON text.
DEPTH = 1100


class RawStore(Store):
    """A store that can hold an entry which is given as JSON text."""

    marker = '@other-writer@'
    text = '[' * DEPTH + ']' * DEPTH

    def encode(self, body: object) -> bytes:
        return (
            super()
            .encode(body)
            .replace(f'"{self.marker}"'.encode(), self.text.encode())
        )


class Case:
    """Daemons, engines and clients."""

    def __init__(self, record: Record, scratch: Path) -> None:
        self.record = record
        self.store = RawStore(record)
        self.engines = [
            Engine(record, f'i-{index}', self._run) for index in range(3)
        ]
        seeds: list[str] = []
        self.daemons = [
            Daemon(f'front-{index}', scratch, self.store, seeds)
            for index in range(DAEMONS)
        ]
        seeds += [daemon.bind['control'] for daemon in self.daemons]
        self.lost: dict[str, list[str]] = {
            daemon.name: [] for daemon in self.daemons
        }
        self.ends = dict.fromkeys(self.lost, 0)
        self.served: list[float] = []
        self.ran: set[str] = set()
        self.stopping = False
        self._count = 0

    async def _run(
        self,
        engine: Engine,
        head: Head,
        body: bytes,
        writer: asyncio.StreamWriter,
    ) -> None:
        self.ran.add(head.headers['attempt-id'])
        await asyncio.sleep(WORK_S)
        headers = engine.build_headers(head)
        writer.write(encode_response('200 OK', b'filed', headers))
        await writer.drain()

    async def keep_running(self, daemon: Daemon) -> None:
        """Start a process that has ended again, like the platform."""
        while not self.stopping:
            status = daemon.process.poll()
            if status is not None:
                self.ends[daemon.name] += 1
                self.record.note(
                    f'{daemon.name} has ended by itself, status {status}'
                )
                await asyncio.sleep(RESTART_S)
                daemon.start()
            await asyncio.sleep(0.05)

    async def run_client(self, daemon: Daemon) -> None:
        """Send requests over a kept connection, and open it again."""
        while not self.stopping:
            host, port = daemon.bind['front'].split(':')
            try:
                reader, writer = await asyncio.open_connection(host, int(port))
            except OSError:
                await asyncio.sleep(0.2)
                continue
            while not self.stopping:
                if not await self._send(daemon, reader, writer):
                    break
            writer.close()
            await asyncio.sleep(0.1)

    async def _send(
        self,
        daemon: Daemon,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        self._count += 1
        identity = f'9c41d07be2{self._count:06}'
        answer = Answer()
        headers = build_request_headers(identity, **{'Deadline-Ms': '3000'})
        try:
            await asyncio.wait_for(
                exchange_on(
                    answer, reader, writer, 'POST', '/puxa403/2f', headers, BODY
                ),
                4,
            )
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            if identity in self.ran:
                self.lost[daemon.name].append(identity)
                self.record.note(
                    f'client got no answer to {identity}, which an engine ran: '
                    f'{daemon.name} closed the connection'
                )
            return False
        if answer.status == 200:
            self.served.append(self.record.now())
            return True
        return 'close' not in answer.headers.get('connection', '')

    async def play(self) -> int:
        await self.store.start()
        for engine in self.engines:
            await engine.start()
            self.store.put('servers', engine.name, engine.describe())
        route = create_route('puxa403', 'non_idempotent', timeout_ms=1500)
        configuration = create_configuration(7, [route], TENANTS)
        self.store.put('config', 'main', configuration)
        for daemon in self.daemons:
            daemon.start()
        for daemon in self.daemons:
            if not await daemon.wait_until_ready():
                self.record.note(daemon.log.read_text()[-2000:])
                return 2
        await asyncio.sleep(1)
        tasks = [
            asyncio.create_task(self.run_client(daemon))
            for daemon in self.daemons
            for _ in range(CLIENTS_PER_DAEMON)
        ]
        tasks += [
            asyncio.create_task(self.keep_running(daemon))
            for daemon in self.daemons
        ]
        await asyncio.sleep(CALM_S)
        if self.record.trouble:
            self.store.put(
                'servers',
                'w-0',
                {
                    'backend': 'huvo11a',
                    'address': self.store.marker,
                    'state': 'ready',
                },
            )
        changed_at = self.record.now()
        await asyncio.sleep(TROUBLED_S)
        self.stopping = True
        await asyncio.gather(*tasks)
        later = [at for at in self.served if at > changed_at + 1]
        self.record.note(
            f'processes that ended by themselves: {self.ends}; served in '
            f'{CALM_S} s before: '
            f'{len([at for at in self.served if at <= changed_at])}, '
            f'from 1 s after: {len(later)}'
        )
        for daemon in self.daemons:
            for line in daemon.log.read_text().splitlines():
                if 'crashed' in line or 'invariant' in line:
                    self.record.note(f'log of {daemon.name}: {line[:400]}')
                    break
        worst = max(len(entries) for entries in self.lost.values())
        self.record.note(
            'requests of kept connections that a sound engine ran and whose '
            'connection was closed without an answer, by machine: '
            f'{ {name: len(entries) for name, entries in self.lost.items()} }'
        )
        return 1 if worst > 3 else 0


async def play(record: Record, scratch: Path) -> int:
    case = Case(record, scratch)
    try:
        return await case.play()
    finally:
        case.stopping = True
        for daemon in case.daemons:
            daemon.end()


if __name__ == '__main__':
    sys.exit(run_case(FOLDER, play))
