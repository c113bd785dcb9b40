# flake8: noqa
"""Three of six daemons are killed at once; callers take up their streams."""

import hashlib
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'standins2'))

from rig import *  # noqa: E402, F403

DAEMONS = 6
#: Part of the daemons that are killed, at most that of the site file (0.55).
KILLED = 3
STREAMS = 24
EVENTS = 30
EVENT_S = 0.2
RECEIVED = 5
TIMEOUT_MS = 10000
#: A caller's tries to take a stream up again.
TRIES = 4
CONTACT_S = 3.0


def choose_killed(daemons):
    """Choose the daemons that keep where the streams of each other began."""

    def rank(daemon):
        text = f'streams/0|{daemon.name}'.encode()
        return hashlib.blake2b(text, digest_size=8).digest()

    return sorted(daemons, key=rank, reverse=True)[:KILLED]


class Caller:
    """A caller that reads a stream, loses its connection and takes it up."""

    def __init__(self, rig, daemon):
        self.rig = rig
        self.daemon = daemon
        self.identity = new_id()
        self.events = []
        self.tries = []
        self.goes_on = False
        self.connection = None
        self.deadline = time.monotonic() + TIMEOUT_MS / 1000

    def begin(self):
        ip, _, port = self.daemon.addresses['front'].rpartition(':')
        self.connection = socket.create_connection((ip, int(port)), 2)
        self.connection.sendall(
            build_request('/stream/x', self.identity, Deadline_Ms=TIMEOUT_MS)
        )
        self.connection.settimeout(5)
        stream = self.connection.makefile('rb')
        read_head(stream)
        while len(self.events) < RECEIVED:
            line = stream.readline()
            if not line:
                break
            if line.startswith(b'data: '):
                self.events.append(line.decode().split()[2])
        self.rig.record.note(
            f'caller began {self.identity} at {self.daemon.name}: '
            f'{len(self.events)} events of version {self.events[:1]}'
        )

    def lose(self):
        self.connection.close()

    def take_up(self, daemons):
        for _ in range(TRIES):
            left_ms = round((self.deadline - time.monotonic()) * 1000)
            if left_ms < 500:
                return
            answer = self.rig.ask(
                random.choice(daemons),
                '/stream/x',
                left_ms / 1000 + 0.5,
                Deadline_Ms=left_ms,
                Resumes=self.identity,
                Last_Event_Id=RECEIVED,
            )
            self.tries.append(answer.status)
            if answer.status == 200:
                self.goes_on = answer.is_complete
                return
            time.sleep(min(float(answer.get('Retry-After') or 0.5), 1.0))


def main(rig):
    put_config(
        rig.store,
        1,
        [route('/stream/', 'streaming', 'llm', timeout_ms=TIMEOUT_MS)],
    )
    for number in range(4):
        Server(
            rig.store,
            f'llm-{number}',
            'llm',
            rig.record,
            version=f'v{1 + number % 2}',
            events=EVENTS,
            event_s=EVENT_S,
        )
    rig.start(settle_s=4.0)
    killed = choose_killed(rig.daemons)
    calm = [daemon for daemon in rig.daemons if daemon not in killed]
    callers = [
        Caller(rig, killed[number % KILLED]) for number in range(STREAMS)
    ]
    for thread in [start(caller.begin) for caller in callers]:
        thread.join()
    for daemon in killed:
        if rig.trouble:
            daemon.send(signal.SIGKILL)
    for caller in callers:
        caller.lose()
    threads = [start(caller.take_up, calm) for caller in callers]
    begun = []

    def begin_new(daemon):
        answer = rig.ask(
            daemon, '/stream/x', TIMEOUT_MS / 1000, Deadline_Ms=TIMEOUT_MS
        )
        begun.append(answer.status == 200)

    for number in range(STREAMS):
        threads.append(start(begin_new, calm[number % len(calm)]))
        time.sleep(0.1)
    for thread in threads:
        thread.join(20)
    taken_up = sum(caller.goes_on for caller in callers)
    rig.record.say(
        f'{taken_up} of {len(callers)} streams go on that callers took up'
        f' again; {sum(begun)} of {len(begun)} new streams begin'
    )
    for caller in callers:
        rig.record.note(f'{caller.identity}: {caller.tries}')
    share = taken_up / len(callers)
    return share < sum(begun) / len(begun) / 2


main.options = {'daemons': DAEMONS}

if __name__ == '__main__':
    run(main, HERE)
