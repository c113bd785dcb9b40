# flake8: noqa
"""An answer that is truncated within its head reaches the client as complete."""

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

DAEMONS = 2
ENGINES = 3
WORK_S = 0.06
BODY = b'{"claim": "HB-20391"}'
REQUESTS_PER_S = 60
#: The disruption: the engine (one of three, share 0.33) truncates x of its
#: answers for some seconds.
FAULTY = 'i-0'
GARBLE_X = 0.02
GARBLE_S = 5.5
BEGINS_S = 1.0


def create_body(identity: str) -> bytes:
    """Return the body of the answer to a request."""
    return f'{{"reference": "{identity}", "state": "filed"}}'.encode() * 10


class Case:
    """Daemons, engines and clients."""

    def __init__(self, record: Record, scratch: Path) -> None:
        self.record = record
        self.store = Store(record)
        self.engines = [
            Engine(record, f'i-{index}', self._run) for index in range(ENGINES)
        ]
        seeds: list[str] = []
        self.daemons = [
            Daemon(f'front-{index}', scratch, self.store, seeds)
            for index in range(DAEMONS)
        ]
        seeds += [daemon.bind['control'] for daemon in self.daemons]
        self.truncated: set[str] = set()
        self.broken: list[str] = []
        self.served = 0
        self._answers = 0
        self._began_at = float('inf')
        self._count = 0

    async def _run(
        self,
        engine: Engine,
        head: Head,
        body: bytes,
        writer: asyncio.StreamWriter,
    ) -> None:
        identity = head.headers['attempt-id']
        await asyncio.sleep(WORK_S)
        text = create_body(identity)
        fields = {
            'Attempt-Id': identity,
            'Server-Seal': f'{engine.name}.{identity}',
            'Keep-Alive': 'timeout=30',
            'Content-Type': 'application/json',
            'Content-Length': str(len(text)),
        }
        lines = ['HTTP/1.1 200 OK']
        lines += [f'{name}: {value}' for name, value in fields.items()]
        answer = '\r\n'.join((*lines, '', '')).encode() + text
        if self._is_truncated(engine):
            # After the third field, or within the name of the fifth.
            mark = (b'Content-Type', b'Length:')[len(self.truncated) % 2]
            answer = answer[: answer.index(mark)]
            self.truncated.add(identity)
            self.record.note(
                f'engine {engine.name} truncates its answer to {identity} and '
                f'closes the connection: {answer!r}'
            )
            writer.write(answer)
            await writer.drain()
            writer.close()
            return
        writer.write(answer)
        await writer.drain()

    def _is_truncated(self, engine: Engine) -> bool:
        now = self.record.now()
        is_harmed = (
            self.record.trouble
            and engine.name == FAULTY
            and self._began_at <= now < self._began_at + GARBLE_S
        )
        if not is_harmed:
            return False
        self._answers += 1
        return not self._answers % round(1 / GARBLE_X)

    async def send(self) -> None:
        """Send a request and check its answer."""
        self._count += 1
        identity = f'9c41d07be2a3{self._count:04}'
        is_safe = self._count % 3 == 0
        answer = await ask(
            self.daemons[self._count % DAEMONS].bind['front'],
            'GET' if is_safe else 'POST',
            '/cufi504/2f' if is_safe else '/puxa403/2f',
            build_request_headers(identity, **{'Deadline-Ms': '3000'}),
            b'' if is_safe else BODY,
        )
        if answer.status == 200 and answer.body == create_body(identity):
            self.served += 1
            return
        self.record.note(
            f'client got for {identity}: {answer.describe()}, {answer.headers}'
        )
        # A success whose body isn't the engine's whole body, and which doesn't
        # look broken off.
        if 200 <= answer.status < 300 and answer.complete:
            self.broken.append(identity)
            self.record.note(f'MIXED is broken for {identity}')

    async def play(self) -> int:
        await self.store.start()
        for engine in self.engines:
            await engine.start()
            self.store.put('servers', engine.name, engine.describe())
        routes = [
            create_route('puxa403', 'non_idempotent', timeout_ms=1500),
            create_route(
                'cufi504', 'idempotent', timeout_ms=1500, max_attempts=2
            ),
        ]
        configuration = create_configuration(7, routes, TENANTS)
        self.store.put('config', 'main', configuration)
        for daemon in self.daemons:
            daemon.start()
        for daemon in self.daemons:
            if not await daemon.wait_until_ready():
                self.record.note(daemon.log.read_text()[-2000:])
                return 2
        await asyncio.sleep(1)
        self._began_at = self.record.now() + BEGINS_S
        tasks = []
        for _ in range(int(REQUESTS_PER_S * (BEGINS_S + GARBLE_S + 1))):
            tasks.append(asyncio.create_task(self.send()))
            await asyncio.sleep(1 / REQUESTS_PER_S)
        await asyncio.gather(*tasks)
        self.record.note(
            f'{self.served} of {len(tasks)} requests were served; '
            f'{len(self.truncated)} of {self._answers} answers of {FAULTY} '
            f'were truncated in {GARBLE_S} s; {len(self.broken)} of them '
            f'reached the client as a complete success: {self.broken}'
        )
        if self.record.trouble and not self.truncated:
            return 2
        return 1 if self.broken else 0


async def play(record: Record, scratch: Path) -> int:
    case = Case(record, scratch)
    try:
        return await case.play()
    finally:
        for daemon in case.daemons:
            daemon.end()


if __name__ == '__main__':
    sys.exit(run_case(FOLDER, play))
