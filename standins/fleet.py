"""Runs a complete system as separate processes on loopback addresses."""

from __future__ import annotations

import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import urllib3

from standins.addresses import choose_addresses, choose_ip

_READY_TIMEOUT_S = 20.0
_POLL_S = 0.05
_ROOT = Path(__file__).resolve().parent.parent


@dataclass(slots=True)
class RunningProcess:
    """A process that the fleet started.

    :ivar name: name of the host or backend server, or ``platform``.
    :ivar address: ``address:port`` that it listens on.
    :ivar process: the process.
    :ivar command: its command line, used to restart it.
    """

    name: str
    address: str
    process: subprocess.Popen[bytes]
    command: list[str]

    def is_alive(self) -> bool:
        """Return whether the process is running."""
        return self.process.poll() is None


@dataclass(slots=True)
class FleetPlan:
    """The processes that make up a system.

    :ivar hosts: number of entry hosts.
    :ivar engines: number of engines by service.
    :ivar plain: number of plain backend servers by service.
    :ivar data_centres: number of data centres.
    :ivar settings: additional settings of every daemon.
    :ivar engine_options: additional options of every engine.
    """

    hosts: int = 3
    engines: dict[str, int] = field(default_factory=dict)
    plain: dict[str, int] = field(default_factory=dict)
    data_centres: int = 3
    settings: dict[str, Any] = field(default_factory=dict)
    engine_options: tuple[str, ...] = ()


class Fleet:
    """A complete system as separate processes.

    :ivar plan: the processes to start.
    :ivar platform: the platform stand-in.
    :ivar hosts: daemons by host name.
    :ivar backends: backend servers by name.
    :ivar logs: directory with the output of all processes.
    """

    __slots__ = (
        '_directory',
        '_pool',
        '_services',
        'backends',
        'hosts',
        'logs',
        'plan',
        'platform',
    )

    def __init__(self, plan: FleetPlan) -> None:
        """Start the platform stand-in; ``start`` starts the rest.

        :param plan: the processes to start.
        """
        self.plan = plan
        self._directory = tempfile.TemporaryDirectory(prefix='egretdale-')
        self.logs = Path(self._directory.name)
        self._pool = urllib3.PoolManager(
            retries=False, timeout=urllib3.Timeout(connect=2, read=10)
        )
        self.hosts: dict[str, RunningProcess] = {}
        self.backends: dict[str, RunningProcess] = {}
        self._services: dict[str, str] = {}
        self.platform = self._start_stand_in('platform')

    def start(self) -> None:
        """Start the backend servers and the daemons and wait for them."""
        self._wait_port(self.platform.address)
        for service, count in self.plan.engines.items():
            for index in range(count):
                options = self.plan.engine_options
                self._start_backend(service, 'engine', index, options)
        for service, count in self.plan.plain.items():
            for index in range(count):
                self._start_backend(service, 'plain', index, ())
        for running in self.backends.values():
            self._wait_port(running.address)
        for index in range(self.plan.hosts):
            self.start_host(f'host-{index}')
        for running in self.hosts.values():
            self._wait_healthy(running)

    def start_host(self, name: str) -> RunningProcess:
        """Start a daemon, with the same addresses if it ran before.

        :param name: name of the entry host.
        :return: the process.
        """
        earlier = self.hosts.get(name)
        if earlier is None:
            command, address = self._create_host_command(name)
        else:
            command, address = earlier.command, earlier.address
        running = self._start_process(name, address, command)
        self.hosts[name] = running
        return running

    def restart_backend(self, name: str) -> None:
        """Restart a backend server at its previous address.

        :param name: name of the backend server.
        """
        earlier = self.backends[name]
        running = self._start_process(name, earlier.address, earlier.command)
        self.backends[name] = running
        self._wait_port(running.address)

    def list_backend(
        self, name: str, *, state: str = 'live', incarnation: int = 1
    ) -> None:
        """Add a backend server to the platform's list, or update its entry.

        :param name: name of the backend server.
        :param state: ``live`` or ``leaving``.
        :param incarnation: its incarnation.
        """
        running = self.backends[name]
        text = json.dumps(
            {
                'service': self._services[name],
                'address': running.address,
                'incarnation': incarnation,
                'data_centre': 'dc-0',
                'state': state,
            }
        )
        self.post(
            self.platform.address,
            '/admin/put',
            {'kind': 'backend-servers', 'name': name, 'text': text},
        )

    def post(self, address: str, path: str, fields: Any) -> Any:
        """Post JSON to a process.

        :param address: ``address:port``.
        :param path: path of the resource.
        :param fields: body to encode.
        :return: decoded response.
        """
        response = self._pool.request(
            'POST', f'http://{address}{path}', body=json.dumps(fields)
        )
        return json.loads(response.data or b'{}')

    def get(self, address: str, path: str) -> Any:
        """Get JSON from a process.

        :param address: ``address:port``.
        :param path: path of the resource.
        :return: decoded response.
        """
        response = self._pool.request('GET', f'http://{address}{path}')
        return json.loads(response.data or b'{}')

    def get_text(self, address: str, path: str) -> str:
        """Get text from a process.

        :param address: ``address:port``.
        :param path: path of the resource.
        :return: the text.
        """
        response = self._pool.request('GET', f'http://{address}{path}')
        return response.data.decode()

    def submit(self, path: Path, host: str = 'host-0') -> int:
        """Submit a document through the command line and wait.

        :param path: YAML file.
        :param host: entry host to submit it to.
        :return: exit status of the command.
        """
        finished = self.run_command(
            host, 'document', 'submit', str(path), '--wait'
        )
        return finished.returncode

    def run_command(
        self, host: str, *arguments: str
    ) -> subprocess.CompletedProcess[str]:
        """Run the operators' command-line tool.

        :param host: entry host that it connects to.
        :param arguments: arguments of the command.
        :return: the finished process.
        """
        address = self.hosts[host].address
        command = [
            sys.executable,
            '-m',
            'egretdale.cmd.egretdale',
            '--host',
            address,
            *arguments,
        ]
        return subprocess.run(
            command, capture_output=True, text=True, check=False, cwd=_ROOT
        )

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process of the fleet.

        :param name: name of a host or backend server.
        :param number: the signal.
        """
        running = self.hosts.get(name) or self.backends[name]
        running.process.send_signal(number)

    def stop_hosts(self, timeout_s: float) -> list[int]:
        """Stop all daemons gracefully and kill those that do not end.

        :param timeout_s: maximum wait in seconds.
        :return: exit statuses.
        """
        for running in self.hosts.values():
            if running.is_alive():
                running.process.send_signal(signal.SIGTERM)
        end_at = time.monotonic() + timeout_s
        statuses = []
        for running in self.hosts.values():
            remaining_s = max(0.1, end_at - time.monotonic())
            try:
                statuses.append(running.process.wait(remaining_s))
            except subprocess.TimeoutExpired:
                running.process.kill()
                statuses.append(running.process.wait())
        return statuses

    def close(self) -> None:
        """Kill all processes and delete the directory."""
        everything = [
            *self.hosts.values(),
            *self.backends.values(),
            self.platform,
        ]
        for running in everything:
            if running.is_alive():
                running.process.send_signal(signal.SIGCONT)
                running.process.kill()
        for running in everything:
            running.process.wait()
        self._directory.cleanup()

    def read_log(self, name: str) -> str:
        """Read the output of a process.

        :param name: name of the process.
        :return: its output so far.
        """
        return (self.logs / f'{name}.log').read_text(errors='replace')

    def _create_host_command(self, name: str) -> tuple[list[str], str]:
        index = int(name.rpartition('-')[2])
        address, peer_address = choose_addresses(choose_ip(), 2)
        fields: dict[str, Any] = {
            'host': name,
            'data_centre': f'dc-{index % self.plan.data_centres}',
            'caller_address': address,
            'peer_address': peer_address,
            'platform_url': f'http://{self.platform.address}',
            **self.plan.settings,
        }
        path = self.logs / f'{name}.yaml'
        path.write_text(json.dumps(fields))
        command = [
            sys.executable,
            '-m',
            'egretdale.cmd.egretdaled',
            '--settings',
            str(path),
        ]
        return command, address

    def _start_backend(
        self, service: str, kind: str, index: int, options: tuple[str, ...]
    ) -> None:
        name = f'{service}-{index}'
        self.backends[name] = self._start_stand_in(kind, name, options)
        self._services[name] = service
        self.list_backend(name)

    def _start_stand_in(
        self, module: str, name: str = '', options: tuple[str, ...] = ()
    ) -> RunningProcess:
        address = choose_addresses(choose_ip(), 1)[0]
        command = [
            sys.executable,
            '-m',
            f'standins.{module}',
            '--address',
            address,
            *options,
        ]
        return self._start_process(name or module, address, command)

    def _start_process(
        self, name: str, address: str, command: list[str]
    ) -> RunningProcess:
        environment = dict(os.environ, PYTHONUNBUFFERED='1')
        with (self.logs / f'{name}.log').open('ab') as output:
            process = subprocess.Popen(
                command,
                stdout=output,
                stderr=output,
                cwd=_ROOT,
                env=environment,
            )
        return RunningProcess(name, address, process, command)

    def _wait_port(self, address: str) -> None:
        host, _, port = address.rpartition(':')
        end_at = time.monotonic() + _READY_TIMEOUT_S
        while time.monotonic() < end_at:
            try:
                socket.create_connection((host, int(port)), 1).close()
            except OSError:
                time.sleep(_POLL_S)
                continue
            return
        raise TimeoutError(f'{address} does not listen')

    def _wait_healthy(self, running: RunningProcess) -> None:
        end_at = time.monotonic() + _READY_TIMEOUT_S
        while time.monotonic() < end_at:
            try:
                status = self.get(running.address, '/v1/status')
            except urllib3.exceptions.HTTPError:
                time.sleep(_POLL_S)
                continue
            if len(status['members']) >= self.plan.hosts:
                return
            time.sleep(_POLL_S)
        raise TimeoutError(f'{running.name} is not ready')
