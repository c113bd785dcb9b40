# flake8: noqa
"""A server answers with bytes that are no answer, in a body, without end."""

import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'standins2'))

from rig import *  # noqa: E402, F403

#: Timeout of the route whose requests are judged, in ms.
TIMEOUT_MS = 1500
GRACE_S = 0.5
PERIOD_S = 0.1
TROUBLE_AT_S = 3.0
LENGTH_S = 20.0
#: Chunks of one byte that never end an event.
NO_ANSWER = b'1\r\n.\r\n' * 10000
STREAMS = 3


def main(rig):
    put_config(
        rig.store,
        1,
        [
            route('/status/', 'non_idempotent', 'web', timeout_ms=TIMEOUT_MS),
            route('/stream/', 'streaming', 'llm', timeout_ms=8000),
        ],
    )
    for index in range(2):
        Server(rig.store, f'web-{index}', 'web', rig.record)

    def answer_badly(server, connection, request, run):
        if not rig.trouble:
            return None
        run()
        lines = ['HTTP/1.1 200 OK', 'Content-Type: text/event-stream']
        identity = request.get('Attempt-Id')
        lines += [f'{name}: {text}' for name, text in server.seal(identity)]
        lines.append('Transfer-Encoding: chunked')
        connection.sendall('\r\n'.join(lines).encode() + b'\r\n\r\n')
        server.note('sends bytes that are no answer, without end')
        sent = 0
        try:
            while True:
                connection.sendall(NO_ANSWER)
                sent += len(NO_ANSWER)
        finally:
            server.note(f'was closed by the caller after {sent} bytes')

    Server(rig.store, 'llm-0', 'llm', rig.record, behave=answer_badly)
    rig.start()
    daemon = rig.daemons[0]
    answers = []
    threads = []

    def ask_status():
        sent_at = rig.record.now()
        answer = rig.ask(
            daemon,
            '/status/x',
            TIMEOUT_MS / 1000 + GRACE_S + 8,
            Deadline_Ms=TIMEOUT_MS + 1500,
        )
        answers.append((sent_at, answer))

    def ask_stream():
        rig.ask(daemon, '/stream/x', 8.5, Deadline_Ms=8000)

    def check_ready():
        began = rig.record.now()
        ready = daemon.is_ready(15)
        rig.record.note(
            f'readiness check: {ready} after {rig.record.now() - began:.3f} s'
        )

    began = time.monotonic()
    sent = 0
    streamed = False
    while time.monotonic() - began < LENGTH_S:
        threads.append(start(ask_status))
        sent += 1
        if not sent % 10:
            threads.append(start(check_ready))
        if not streamed and time.monotonic() - began > TROUBLE_AT_S:
            streamed = True
            for _ in range(STREAMS):
                threads.append(start(ask_stream))
        time.sleep(PERIOD_S)
    for thread in threads:
        thread.join(20)
    late = [a for _, a in answers if a.took_s > TIMEOUT_MS / 1000]
    very_late = [a for a in late if a.took_s > TIMEOUT_MS / 1000 + GRACE_S]
    rig.record.say(
        f'{len(answers)} requests at the daemon, {len(late)} unanswered at'
        f' timeout_ms, {len(very_late)} of them half a second later'
    )
    longest = max(a.took_s for _, a in answers)
    rig.record.say(f'longest wait of a caller: {longest:.1f} s')
    running = daemon.process.poll() is None
    rig.record.say(f'daemon is running: {running}')
    return len(very_late) >= 8 and len(very_late) * 2 > len(late)


main.options = {'daemons': 3}

if __name__ == '__main__':
    run(main, HERE)
