"""The gateway daemon, which forwards requests by routes."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass

import eventlet
from prometheus_client import make_wsgi_app

from egretdale.config import GatewaySettings
from egretdale.coordination.configuration import RoutingDecoder
from egretdale.coordination.duty_calls import DutySender
from egretdale.coordination.gateway import Gateway, GatewayDependencies
from egretdale.coordination.instances import InstanceDecoder
from egretdale.coordination.ports import Platform
from egretdale.protocol.forwarding import HeaderCodec
from egretdale.state.memory import MemoryAccount, Source
from egretdale.transport.connection_limits import (
    SHORT_GRACE_S,
    ConnectionLimits,
)
from egretdale.transport.forwarding import HttpForwardClient
from egretdale.transport.ingress import Ingress
from egretdale.transport.peer_calls import GatewayHandler
from egretdale.transport.peer_server import PeerServer
from egretdale.transport.peers import PeerClient, listen
from egretdale.transport.process_exit import ProcessExit
from egretdale.transport.stopping import StopTimes
from egretdale.transport.strict_server import serve_auxiliary
from egretdale.util.clocks import read_boot_clock, read_wall_clock
from egretdale.util.logs import get_logger
from egretdale.util.tasks import TaskGroup

logger = get_logger(__name__)

_DRAIN_POLL_S = 0.05
#: Callers may cache responses of the directory for up to this multiple of their
#: lifetime.
_CACHE_FACTOR = 3
#: Fraction of a graceful shutdown in which requests are still accepted; later
#: ones could be aborted at its end.
_ACCEPTING_SHARE = 0.35
#: Part of the shutdown that is reserved for ending the process, in seconds.
_EXIT_MARGIN_S = 0.4
#: Time in seconds for the last answers, before the processes of a host end.
_ANSWER_MARGIN_S = 0.3
#: Seconds from the start of a shutdown in which most callers cannot know of it.
#: Those of requests that last longer than the shutdown are not turned away.
_UNAWARE_S = 2.5
_FLUSH_S = 0.1

#: A WSGI application.
Application = Callable[..., Iterable[bytes]]


@dataclass(slots=True, frozen=True)
class GatewayInterface:
    """The deployment-specific protocols of a gateway.

    :ivar platform: client of the object API.
    :ivar codec: codec of request and response headers.
    :ivar decode_routing: decodes the configuration.
    :ivar decode_instance: decodes the platform entry of a backend server.
    :ivar create_readiness: creates the application that tells whether the
        host is ready.
    :ivar create_directory: creates the application that tells callers where
        to connect.
    :ivar duty_sender: sends the calls that one host makes on behalf of all.
    """

    platform: Platform
    codec: HeaderCodec
    decode_routing: RoutingDecoder
    decode_instance: InstanceDecoder
    create_readiness: Callable[[Gateway], Application]
    create_directory: Callable[[Gateway], Application]
    duty_sender: DutySender | None = None


class GatewayDaemon:
    """One gateway process.

    :ivar gateway: coordination components.
    """

    __slots__ = (
        '_end',
        '_account',
        '_closed',
        '_ingress',
        '_listeners',
        '_settings',
        '_stopping',
        '_tasks',
        'gateway',
    )

    def __init__(
        self, settings: GatewaySettings, interface: GatewayInterface
    ) -> None:
        """Open the listeners and create the components.

        :param settings: settings of this host.
        :param interface: deployment-specific protocols.
        """
        self._settings = settings
        self._end = ProcessExit()
        self._stopping = False
        self._tasks = TaskGroup(self._end.crash)
        clock = read_boot_clock
        client = HttpForwardClient(interface.codec, clock)
        self._account = MemoryAccount(settings.caller_memory_bytes, clock)
        self._closed: Counter[str] = Counter()
        self.gateway = Gateway(
            settings,
            GatewayDependencies(
                interface.platform,
                PeerClient(settings.peer_timeout_s, self._ignore_bytes),
                client,
                clock,
                read_wall_clock,
                random.Random(),
                interface.decode_routing,
                interface.decode_instance,
                interface.duty_sender,
            ),
        )
        self._ingress = Ingress(
            interface.codec,
            self.gateway.forwarder,
            self.gateway.limits,
            clock,
            settings.maximum_connections,
            self.gateway.metrics,
            self._create_limits(Source.CALLER),
        )
        self.gateway.metrics.add_memory(self._account, self._closed)
        self.gateway.metrics.add_gauge(
            'requests_in_progress',
            'Requests in progress',
            lambda: self._ingress.active,
        )
        self.gateway.metrics.add_gauge(
            'late_answers_skipped',
            'Answers of backend servers to earlier requests that were skipped',
            lambda: client.pool.skipped,
        )
        self.gateway.metrics.add_gauge(
            'answers_within_bodies',
            'Answers of backend servers within the body of another one',
            lambda: client.pool.embedded,
        )
        self._listeners = {
            address: listen(address) for address in self._list_addresses()
        }
        self._start_servers(interface)

    def run(self) -> int:
        """Serve until a shutdown has completed.

        :return: exit status; 0 if no request was aborted.
        """
        self.gateway.start(self._tasks)
        logger.info(
            'started',
            host=self._settings.host,
            caller_address=self._settings.caller_address,
            peer_address=self._settings.peer_address,
        )
        status = self._end.wait()
        # Stopping the servers would wait for their open connections to end.
        for listener in self._listeners.values():
            listener.close()
        logger.info('stopped', status=status, active=self._ingress.active)
        return status

    def request_stop(self) -> None:
        """Start a graceful shutdown; further calls have no effect."""
        if not self._stopping:
            self._stopping = True
            eventlet.spawn(self._drain)

    def _list_addresses(self) -> set[str]:
        settings = self._settings
        return {
            settings.caller_address,
            settings.peer_address,
            settings.readiness_address,
            settings.directory_address,
            settings.metrics_address,
        }

    def _start_servers(self, interface: GatewayInterface) -> None:
        settings = self._settings
        handler = GatewayHandler(
            self.gateway.mesh,
            self.gateway.copy,
            self.gateway.follow,
            self.gateway.find_origin,
        )
        peers = PeerServer(
            self._listeners[settings.peer_address],
            handler,
            self._create_limits(Source.PEER),
            settings.maximum_peer_connections,
        )
        self._tasks.start(peers.run)
        self._tasks.start(
            self._ingress.run, self._listeners[settings.caller_address]
        )
        applications = {
            settings.readiness_address: interface.create_readiness(
                self.gateway
            ),
            settings.directory_address: interface.create_directory(
                self.gateway
            ),
            settings.metrics_address: make_wsgi_app(
                self.gateway.metrics.registry
            ),
        }
        for address, application in applications.items():
            self._tasks.start(
                serve_auxiliary,
                self._listeners[address],
                application,
                self._create_limits(Source.CALLER, grace_s=SHORT_GRACE_S),
                settings.maximum_auxiliary_connections,
            )

    def _create_limits(
        self, source: Source, **grace: float
    ) -> ConnectionLimits:
        return ConnectionLimits(
            self._account, read_boot_clock, self._closed, source, **grace
        )

    def _drain(self) -> None:
        clock = read_boot_clock
        started_at = clock()
        accepting_s, limit_s = plan_shutdown(self._settings)
        limit_at = started_at + limit_s
        times = plan_stop_times(self._settings, started_at)
        logger.info('drain-started', active=self._ingress.active)
        self._ingress.start_draining(times)
        self.gateway.membership.leave()
        while clock() < started_at + accepting_s:
            eventlet.sleep(_DRAIN_POLL_S)
        self._ingress.close_listener()
        self._ingress.stop_accepting()
        while self._ingress.connections.is_busy() and clock() < limit_at:
            eventlet.sleep(_DRAIN_POLL_S)
        eventlet.sleep(_FLUSH_S)
        aborted = self._ingress.active + self._ingress.stopping.aborted
        logger.info('drain-ended', aborted=aborted)
        self._end.finish(1 if aborted else 0)

    def _ignore_bytes(self, size: int) -> None:
        """Ignore the size of a message; the mesh counts sent bytes itself."""


def plan_shutdown(settings: GatewaySettings) -> tuple[float, float]:
    """Plan the phases of a graceful shutdown.

    :param settings: settings of the host.
    :return: seconds in which requests are still accepted, and maximum
        duration of the shutdown in seconds.
    """
    cached_s = settings.answer_lifetime_s * _CACHE_FACTOR
    accepting_s = min(cached_s, settings.drain_limit_s * _ACCEPTING_SHARE)
    return accepting_s, settings.drain_limit_s - _EXIT_MARGIN_S


def plan_stop_times(settings: GatewaySettings, started_at: float) -> StopTimes:
    """Plan what happens to requests during a graceful shutdown.

    :param settings: settings of the host.
    :param started_at: clock time at which it starts.
    """
    accepting_s, limit_s = plan_shutdown(settings)
    return StopTimes(
        started_at + min(accepting_s, _UNAWARE_S),
        started_at + limit_s - _ANSWER_MARGIN_S,
    )
