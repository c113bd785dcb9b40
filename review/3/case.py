# flake8: noqa
"""A request whose client leaves within its head is run all the same."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins import (  # noqa: E402
    HOST,
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
WORK_S = 0.06
BODY = b'{"claim": "HB-20391", "parish": "Kingston", "amount": 41200}'
#: Seconds for which clients leave, and the part of the clients that does.
LEAVING_S = 5.5
LEAVING_SHARE = 0.2
REQUESTS_PER_S = 20
#: Pause of a client between the two parts of a head.
PAUSE_S = 0.03

#: Lines of a head, and how much of the last one is sent in the first part.
CUTS = {
    # The order of the pages' example; the client leaves after its key.
    'after-key': (
        (
            'Host',
            'Attempt-Id',
            'Deadline-Ms',
            'Authorization',
        ),
        None,
    ),
    # The same, within the name of the next field.
    'within-name': (
        (
            'Host',
            'Attempt-Id',
            'Deadline-Ms',
            'Authorization',
            'Content-Length',
        ),
        len('Content-Len'),
    ),
    # Another order of the fields; the client leaves within its ID.
    'within-id': (
        (
            'Host',
            'Authorization',
            'Deadline-Ms',
            'Attempt-Id',
        ),
        len('Attempt-Id: 9c41d07b'),
    ),
}


class Case:
    """Daemons, engines and clients."""

    def __init__(self, record: Record, scratch: Path) -> None:
        self.record = record
        self.store = Store(record)
        self.engines = [
            Engine(record, f'i-{index}', self._run) for index in range(3)
        ]
        seeds: list[str] = []
        self.daemons = [
            Daemon(f'front-{index}', scratch, self.store, seeds)
            for index in range(DAEMONS)
        ]
        seeds += [daemon.bind['control'] for daemon in self.daemons]
        self.sent: set[str] = set()
        self.left: dict[str, str] = {}
        self.broken: list[str] = []
        self._count = 0

    async def _run(
        self,
        engine: Engine,
        head: Head,
        body: bytes,
        writer: asyncio.StreamWriter,
    ) -> None:
        identity = head.headers['attempt-id']
        if identity not in self.sent or body != BODY:
            self.broken.append(identity)
            self.record.note(
                f'UNASKED: engine {engine.name} runs {identity} with the body '
                f'{body!r}; no client sent that request'
            )
        await asyncio.sleep(WORK_S)
        text = f'filed {identity}'.encode()
        head_lines = engine.build_headers(head)
        lines = ['HTTP/1.1 200 OK', f'Content-Length: {len(text)}']
        lines += [f'{name}: {value}' for name, value in head_lines.items()]
        writer.write('\r\n'.join((*lines, '', '')).encode() + text)
        await writer.drain()

    async def send(self, cut: str = '') -> None:
        """Send a whole request, or leave within its head.

        :param cut: where the client pauses, and leaves if there is trouble.
        """
        self._count += 1
        identity = f'9c41d07be2a3{self._count:04}'
        address = self.daemons[self._count % DAEMONS].bind['front']
        if cut:
            await self._send_in_parts(identity, address, cut)
            return
        self.sent.add(identity)
        answer = await ask(
            address,
            'POST',
            '/puxa403/2f',
            build_request_headers(identity, **{'Deadline-Ms': '3000'}),
            BODY,
        )
        if answer.status != 200:
            self.record.note(f'client got {answer.describe()} for {identity}')

    async def _send_in_parts(
        self, identity: str, address: str, cut: str
    ) -> None:
        fields = {
            **build_request_headers(identity, **{'Deadline-Ms': '3000'}),
            'Host': HOST,
            'Content-Length': str(len(BODY)),
        }
        names, part = CUTS[cut]
        rest = [name for name in fields if name not in names]
        lines = [f'{name}: {fields[name]}' for name in (*names, *rest)]
        text = 'POST /puxa403/2f HTTP/1.1\r\n' + ''.join(
            f'{line}\r\n' for line in lines
        )
        length = text.index(lines[len(names) - 1])
        length += len(lines[len(names) - 1]) + 2 if part is None else part
        host, port = address.split(':')
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(text[:length].encode())
        await writer.drain()
        await asyncio.sleep(PAUSE_S)
        if self.record.trouble:
            self.record.note(f'client leaves {cut}: {text[:length]!r}')
            writer.close()
            return
        self.sent.add(identity)
        writer.write(text[length:].encode() + b'\r\n' + BODY)
        status = await asyncio.wait_for(reader.readline(), 8)
        self.record.note(f'client of {identity} got {status!r}')
        writer.close()

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
        tasks = []
        each = round(1 / LEAVING_SHARE)
        cuts = list(CUTS)
        for number in range(int(REQUESTS_PER_S * (LEAVING_S + 2))):
            leaves = (
                number >= REQUESTS_PER_S
                and number % each == 0
                and number < REQUESTS_PER_S * (LEAVING_S + 1)
            )
            cut = cuts[number // each % len(cuts)] if leaves else ''
            tasks.append(asyncio.create_task(self.send(cut)))
            await asyncio.sleep(1 / REQUESTS_PER_S)
        await asyncio.gather(*tasks)
        await asyncio.sleep(1)
        self.record.note(
            f'{len(self.broken)} requests were run that no client sent: '
            f'{self.broken}'
        )
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
