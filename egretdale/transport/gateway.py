"""The daemon of a host that forwards requests."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any

import eventlet
from eventlet import wsgi
from prometheus_client import make_wsgi_app

from egretdale.config import GatewaySettings
from egretdale.coordination.configuration import RoutingDecoder
from egretdale.coordination.gateway import Gateway, GatewayDependencies
from egretdale.coordination.instances import InstanceDecoder
from egretdale.coordination.ports import Platform
from egretdale.protocol.forwarding import HeaderCodec
from egretdale.transport.endings import ProcessEnd
from egretdale.transport.forwarding import HttpForwardClient
from egretdale.transport.ingress import Ingress
from egretdale.transport.peer_calls import GatewayHandler
from egretdale.transport.peers import PeerClient, PeerServer, listen
from egretdale.util.clocks import read_boot_clock, read_wall_clock
from egretdale.util.logs import get_logger
from egretdale.util.tasks import TaskGroup

logger = get_logger(__name__)

_DRAIN_CHECK_S = 0.05
#: Callers keep answers of the directory up to this much longer than told.
_KEPT_ANSWERS = 3
#: Part of a planned stop in which requests are still taken; what comes later
#: could be cut off at its end.
_TAKING_SHARE = 0.35
#: Part of the planned stop that is left for ending the process, in seconds.
_STOP_MARGIN_S = 0.4
_SETTLE_S = 0.1
_SIDE_CONNECTIONS = 256
#: Longest idle time of a connection for other purposes, in seconds.
_SIDE_TIMEOUT_S = 20

#: A WSGI application.
Application = Callable[..., Iterable[bytes]]


@dataclass(slots=True, frozen=True)
class GatewayInterface:
    """What the world outside looks like on the wire.

    :ivar platform: object API.
    :ivar codec: headers of requests and answers.
    :ivar decode_routing: decodes the configuration.
    :ivar decode_instance: decodes the entry of a backend server.
    :ivar create_readiness: creates the application that tells whether the
        host is ready.
    :ivar create_directory: creates the application that tells callers where
        to connect.
    """

    platform: Platform
    codec: HeaderCodec
    decode_routing: RoutingDecoder
    decode_instance: InstanceDecoder
    create_readiness: Callable[[Gateway], Application]
    create_directory: Callable[[Gateway], Application]


class GatewayDaemon:
    """One process that forwards requests.

    :ivar gateway: coordination parts.
    """

    __slots__ = (
        '_end',
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
        """Open the listeners and build the parts.

        :param settings: settings of this host.
        :param interface: the world outside on the wire.
        """
        self._settings = settings
        self._end = ProcessEnd()
        self._stopping = False
        self._tasks = TaskGroup(self._end.crash)
        clock = read_boot_clock
        self.gateway = Gateway(
            settings,
            GatewayDependencies(
                interface.platform,
                PeerClient(settings.peer_timeout_s, self._ignore_bytes),
                HttpForwardClient(interface.codec, clock),
                clock,
                read_wall_clock,
                random.Random(),
                interface.decode_routing,
                interface.decode_instance,
            ),
        )
        self._ingress = Ingress(
            interface.codec,
            self.gateway.forwarder,
            self.gateway.limits,
            clock,
            settings.maximum_connections,
            self.gateway.figures,
        )
        self.gateway.figures.watch(
            'requests_in_progress',
            'Requests in progress',
            lambda: self._ingress.active,
        )
        self._listeners = {
            address: listen(address) for address in self._list_addresses()
        }
        self._start_servers(interface)

    def run(self) -> int:
        """Serve until a planned stop has ended.

        :return: exit status; 0 when no request was cut off.
        """
        self.gateway.start(self._tasks)
        logger.info(
            'started',
            host=self._settings.host,
            caller_address=self._settings.caller_address,
            peer_address=self._settings.peer_address,
        )
        status = self._end.wait()
        # The servers would wait for their open connections to end.
        for listener in self._listeners.values():
            listener.close()
        logger.info('stopped', status=status, active=self._ingress.active)
        return status

    def request_stop(self) -> None:
        """Begin a planned stop; a second call changes nothing."""
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
            self.gateway.mesh, self.gateway.copy, self.gateway.follow
        )
        peers = PeerServer(self._listeners[settings.peer_address], handler)
        self._tasks.start(peers.run)
        self._tasks.start(
            self._ingress.run, self._listeners[settings.caller_address]
        )
        sides = {
            settings.readiness_address: interface.create_readiness(
                self.gateway
            ),
            settings.directory_address: interface.create_directory(
                self.gateway
            ),
            settings.metrics_address: make_wsgi_app(
                self.gateway.figures.registry
            ),
        }
        for address, application in sides.items():
            self._tasks.start(_serve, self._listeners[address], application)

    def _drain(self) -> None:
        clock = read_boot_clock
        started_at = clock()
        taking_s, limit_s = plan_stop(self._settings)
        limit_at = started_at + limit_s
        logger.info('drain-started', active=self._ingress.active)
        self._ingress.start_closing()
        self.gateway.membership.leave()
        while clock() < started_at + taking_s:
            eventlet.sleep(_DRAIN_CHECK_S)
        self._listeners[self._settings.caller_address].close()
        self._ingress.stop_taking()
        while self._ingress.active and clock() < limit_at:
            eventlet.sleep(_DRAIN_CHECK_S)
        eventlet.sleep(_SETTLE_S)
        self._end.finish(1 if self._ingress.active else 0)

    def _ignore_bytes(self, size: int) -> None:
        """Take no account of the bytes of a message to a peer."""


def plan_stop(settings: GatewaySettings) -> tuple[float, float]:
    """Plan how long a planned stop takes requests and lasts.

    :param settings: settings of the host.
    :return: seconds in which requests are taken, and longest duration of the
        stop in seconds.
    """
    kept_s = settings.answer_lifetime_s * _KEPT_ANSWERS
    taking_s = min(kept_s, settings.drain_limit_s * _TAKING_SHARE)
    return taking_s, settings.drain_limit_s - _STOP_MARGIN_S


def _serve(listener: Any, application: Application) -> None:
    wsgi.server(
        listener,
        application,
        log_output=False,
        max_size=_SIDE_CONNECTIONS,
        socket_timeout=_SIDE_TIMEOUT_S,
        debug=False,
    )
