"""The system under a soak test and the injection of faults into it."""

from __future__ import annotations

import random
import signal
from dataclasses import dataclass
from pathlib import Path

import eventlet

from egretdale.util.clocks import read_hub_clock
from soak.clients import Attempt, Client
from soak.configurations import ConfigurationWriter
from soak.daemons import Daemon, choose_place, create_daemon
from soak.departures import Departure, DepartureLog
from soak.evidence import Absence, Evidence, Stop
from soak.faults import Fault, FaultKind
from soak.incidents import CrashingServers, Incident, repeat_request
from soak.proxies import FaultProxy, Harm
from soak.server_list import ServerList
from soak.servers import SealedServer
from soak.silences import KEEP_ALIVES_S, Silence
from soak.stutters import Stutter, StutteringServer
from standins.addresses import choose_ip
from standins.objects import ObjectStoreProgram
from standins.web import listen, serve


@dataclass(slots=True, frozen=True)
class Size:
    """Size of a soak test.

    :ivar daemons: number of daemons.
    :ivar servers: number of backend servers.
    :ivar clients: number of clients.
    """

    daemons: int = 3
    servers: int = 3
    clients: int = 12


_POLL_INTERVAL_S = 0.02
_LARGE_DAEMONS = 40
_LARGE_SERVERS = 12
_LARGE_CLIENTS = 200

#: A few processes, for runs during development.
SMALL = Size()
#: As many processes as a small machine can run.
LARGE = Size(_LARGE_DAEMONS, _LARGE_SERVERS, _LARGE_CLIENTS)


class SoakWorld:
    """Daemons, backend servers, a metadata store and clients.

    Clients reach each daemon through a proxy, daemons reach each backend server
    through a proxy, and each daemon reaches the store through a proxy of its
    own. Faults of links are injected into these proxies.

    :ivar evidence: observations so far.
    :ivar servers: the backend servers.
    :ivar store: the metadata store.
    :ivar daemons: the daemons.
    :ivar clients: the clients.
    """

    def __init__(self, size: Size, folder: Path, seed: int) -> None:
        """Start the servers and the proxies; create daemons and clients.

        :param size: numbers of daemons, backend servers and clients.
        :param folder: folder for settings and logs of the daemons.
        :param seed: seed of the clients.
        """
        self.evidence = Evidence()
        self.servers = [SealedServer() for _ in range(size.servers)]
        self.store = ObjectStoreProgram()
        self.clients: list[Client] = []
        self._repeating: list[Client] = []
        self._writer = ConfigurationWriter(
            self.store, self.evidence.revoked_at, self._list_clients
        )
        self._expected_exits: set[int] = set()
        self._stuttering = [
            StutteringServer(server, random.Random(f'{seed}.{number}'))
            for number, server in enumerate(self.servers)
        ]
        self._server_links = [
            FaultProxy(serve_program(program), choose_ip())
            for program in self._stuttering
        ]
        self._list = ServerList(self.store, self._server_links)
        crashing = CrashingServers(
            self.servers, self._server_links, self._list.note_restart
        )
        self.evidence.crashes = crashing.logs
        for number, server in enumerate(self.servers):
            server.keep_alive_s = KEEP_ALIVES_S[number % len(KEEP_ALIVES_S)]
        store_address = serve_program(self.store)
        self._store_links = [
            FaultProxy(store_address) for _ in range(size.daemons)
        ]
        self.daemons = self._create_daemons(folder)
        self._caller_links = [
            FaultProxy(daemon.place.addresses['front'])
            for daemon in self.daemons
        ]
        self._seed = seed
        self.clients.extend(
            self._create_client(f'c{index}') for index in range(size.clients)
        )

    def start(self) -> None:
        """Start the daemons, and the clients once all daemons are ready."""
        for daemon in self.daemons:
            daemon.start()
        for daemon in self.daemons:
            daemon.wait_until_ready()
        for client in self.clients:
            eventlet.spawn(client.run)

    def use_broken_daemons(self, name: str) -> None:
        """Make the daemons run with a deliberate bug.

        :param name: name of the bug.
        """
        for daemon in self.daemons:
            daemon.program = ('-m', 'soak.broken_daemon', name)

    def close(self) -> None:
        """Stop the clients and kill the daemons of this soak test."""
        self.stop_clients()
        self.evidence.copies = sum(
            program.copies for program in self._stuttering
        )
        self.evidence.unread = sum(link.unread for link in self._server_links)
        for daemon in self.daemons:
            daemon.kill()

    def stop_clients(self) -> None:
        """Make the clients stop after their current request."""
        for client in self.clients:
            client.stopping = True

    def list_attempts(self) -> list[Attempt]:
        """Return the requests of all clients."""
        return [
            attempt
            for client in self._list_clients()
            for attempt in client.attempts
        ]

    def play(self, incident: Incident) -> None:
        """Play an incident until it is over.

        :param incident: the incident.
        """
        client = self._create_client(f'd{incident.number}')
        self._repeating.append(client)
        repeat_request(client, incident)

    def depart(self, departure: Departure) -> None:
        """Let a server leave, and start it again under its name.

        :param departure: the departure.
        """
        number = departure.target % len(self.servers)
        server = self.servers[number]
        log = DepartureLog(read_hub_clock())
        self.evidence.departures.append(log)
        life = self._list.starts[number]
        before = len(server.runs)
        server.leaving = True
        if departure.is_listed:
            self._list.note_leaving(number)
        until = log.began_at + departure.for_s
        while read_hub_clock() < until and self._list.starts[number] == life:
            eventlet.sleep(_POLL_INTERVAL_S)
        server.leaving = False
        log.arrivals = server.runs[before:]
        # A crash may have started it again already.
        if self._list.starts[number] == life:
            self._list.note_restart(number)

    def lapse(self, lapse: Stutter | Silence) -> None:
        """Let sound servers stutter or stand still until they go on.

        :param lapse: the stutter or the silence.
        """
        match lapse:
            case Stutter():
                self._stutter(lapse)
            case Silence():
                self._fall_silent(lapse)

    def _stutter(self, stutter: Stutter) -> None:
        for number in stutter.targets:
            self._stuttering[number].share = stutter.share
        eventlet.sleep(stutter.for_s)
        for number in stutter.targets:
            self._stuttering[number].share = 0

    def _fall_silent(self, silence: Silence) -> None:
        self._writer.change_terms(silence.terms)
        if silence.is_lull:
            for client in self.clients:
                client.rests_until = read_hub_clock() + silence.lead_s
        eventlet.sleep(silence.lead_s)
        links = [self._server_links[number] for number in silence.targets]
        for link in links:
            link.fall_silent(silence.backlog)
        eventlet.sleep(silence.for_s)
        for number, link in zip(silence.targets, links, strict=True):
            link.go_on(self.servers[number].keep_alive_s)

    def inject(self, fault: Fault) -> None:
        """Inject a fault and wait until it is over.

        :param fault: the fault.
        """
        number = fault.target % len(self.daemons)
        server = fault.target % len(self.servers)
        match fault.kind:
            case FaultKind.STOP:
                self._stop(number)
            case FaultKind.KILL:
                self._kill(number, fault.for_s)
            case FaultKind.PAUSE:
                self._pause(number, fault.for_s)
            case FaultKind.RELOAD:
                self.daemons[number].signal(signal.SIGHUP)
            case FaultKind.CALLER_LINK:
                _apply_harm(self._caller_links[number], fault)
            case FaultKind.SERVER_LINK:
                _apply_harm(self._server_links[server], fault)
            case FaultKind.STORE_LINK:
                _apply_harm(self._store_links[number], fault)
            case _:
                self._inject_at_store(fault, server)

    def handle_unexpected_exits(self) -> None:
        """Record and restart daemons that exited without a fault."""
        for number, daemon in enumerate(self.daemons):
            if not daemon.is_running() and number not in self._expected_exits:
                status = daemon.process.returncode if daemon.process else None
                self.evidence.unexpected_exits.append(
                    f'{daemon.place.name} exited with status {status}'
                )
                self._restart(number)

    def _inject_at_store(self, fault: Fault, server: int) -> None:
        match fault.kind:
            case FaultKind.STORE_REFUSES:
                self.store.refusing = '503 Service Unavailable'
                eventlet.sleep(fault.for_s)
                self.store.refusing = ''
            case FaultKind.STORE_FORGETS:
                self.store.forget_history()
            case FaultKind.SERVER_LEAVES:
                self._list.remove(server)
                eventlet.sleep(fault.for_s)
                self._list.add(server)
            case FaultKind.KEY_CHANGE:
                self._writer.change_key()

    def _stop(self, number: int) -> None:
        daemon = self.daemons[number]
        if not daemon.is_running() or number in self._expected_exits:
            return
        self._expected_exits.add(number)
        began_at = read_hub_clock()
        daemon.stop()
        status = daemon.wait()
        stop = Stop(number, began_at, read_hub_clock(), status)
        self.evidence.stops.append(stop)
        self._restart(number)
        self._note_absence(number, began_at, is_lost=True)

    def _kill(self, number: int, for_s: float) -> None:
        began_at = read_hub_clock()
        self._expected_exits.add(number)
        self.daemons[number].kill()
        eventlet.sleep(for_s)
        self._restart(number)
        self._note_absence(number, began_at, is_lost=True)

    def _pause(self, number: int, for_s: float) -> None:
        began_at = read_hub_clock()
        self.daemons[number].signal(signal.SIGSTOP)
        eventlet.sleep(for_s)
        self.daemons[number].signal(signal.SIGCONT)
        self._note_absence(number, began_at, is_lost=False)

    def _note_absence(
        self, number: int, began_at: float, *, is_lost: bool
    ) -> None:
        self.evidence.absences.append(
            Absence(number, began_at, read_hub_clock(), is_lost)
        )

    def _restart(self, number: int) -> None:
        daemon = self.daemons[number]
        if not daemon.is_running():
            daemon.start()
        self._expected_exits.discard(number)

    def _list_clients(self) -> list[Client]:
        return [*self.clients, *self._repeating]

    def _create_daemons(self, folder: Path) -> list[Daemon]:
        places = [
            choose_place(f'front-{number}')
            for number in range(len(self._store_links))
        ]
        seeds = tuple(place.addresses['control'] for place in places[:3])
        return [
            create_daemon(place, folder, link.address, seeds=seeds)
            for place, link in zip(places, self._store_links, strict=True)
        ]

    def _create_client(self, name: str) -> Client:
        addresses = [link.address for link in self._caller_links]
        source = random.Random(f'{self._seed}.{name.removeprefix("c")}')
        client = Client(name, addresses, source)
        client.key = self._writer.key
        return client


def serve_program(program: object) -> str:
    """Serve a WSGI application until this process ends.

    :param program: the application.
    :return: its ``address:port``.
    """
    listener = listen('127.0.0.1:0')
    eventlet.spawn(serve, listener, program)
    return f'127.0.0.1:{listener.getsockname()[1]}'


def _apply_harm(link: FaultProxy, fault: Fault) -> None:
    link.harm = fault.harm
    eventlet.sleep(fault.for_s)
    link.harm = Harm.NONE
