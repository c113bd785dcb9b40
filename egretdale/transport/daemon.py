"""The daemon process: servers, clients and graceful shutdown."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Iterable
from functools import partial
from typing import Any

import eventlet
from eventlet import hubs, wsgi

from egretdale.config import Settings
from egretdale.coordination.node import Node, NodeDependencies
from egretdale.protocol.completions import continue_body
from egretdale.state.memory import MemoryAccount, Source
from egretdale.transport.backends import HttpBackendClient
from egretdale.transport.callers import CallerInterface, StartResponse
from egretdale.transport.connection_limits import (
    ConnectionLimits,
    ConnectionPool,
)
from egretdale.transport.operators import OperatorInterface
from egretdale.transport.peer_calls import PeerHandler
from egretdale.transport.peer_server import PeerServer
from egretdale.transport.peers import PeerClient, listen
from egretdale.transport.platform import PlatformClient
from egretdale.transport.process_exit import ProcessExit
from egretdale.transport.refusals import RefusalRegistry
from egretdale.transport.strict_server import StrictProtocol
from egretdale.util.clocks import read_hub_clock, read_wall_clock
from egretdale.util.logs import get_logger
from egretdale.util.tasks import TaskGroup

logger = get_logger(__name__)

_DRAIN_POLL_S = 0.05
_FLUSH_S = 0.2
_URL_LIMIT = 16384
_MAXIMUM_PEERS = 1024


class _DiscardedLog:
    """Discards the access log of the WSGI server."""

    def write(self, line: str) -> None:
        """Ignore a line.

        :param line: access log line.
        """


class Daemon:
    """One ``egretdaled`` process.

    :ivar node: coordination components.
    """

    __slots__ = (
        '_account',
        '_callers',
        '_end',
        '_listener',
        '_operators',
        '_peer_listener',
        '_settings',
        '_stopping',
        '_tasks',
        'node',
    )

    def __init__(self, settings: Settings) -> None:
        """Open the listeners and create the components.

        :param settings: settings of this host.
        """
        self._settings = settings
        self._account = MemoryAccount(
            settings.caller_memory_bytes, read_hub_clock
        )
        self._listener = listen(settings.caller_address)
        self._peer_listener = listen(settings.peer_address)
        self._end = ProcessExit()
        self._stopping = False
        self._tasks = TaskGroup(self._end.crash)
        self.node = Node(settings, self._create_dependencies())
        refusals = RefusalRegistry(self.node)
        self._callers = CallerInterface(self.node, refusals)
        self._operators = OperatorInterface(
            self.node, refusals, self.request_stop
        )

    def run(self) -> int:
        """Serve until a shutdown has completed.

        :return: exit status; 0 if no request was aborted.
        """
        self.node.start(self._tasks)
        self._tasks.start(
            PeerServer(
                self._peer_listener,
                self._create_handler(),
                self._create_limits(Source.PEER),
                _MAXIMUM_PEERS,
            ).run
        )
        self._tasks.start(self._publish_load)
        server = eventlet.spawn(self._serve)
        logger.info(
            'started',
            host=self._settings.host,
            caller_address=self._settings.caller_address,
            peer_address=self._settings.peer_address,
        )
        status = self._end.wait()
        server.kill()
        self._tasks.stop()
        return status

    def request_stop(self) -> None:
        """Start a graceful shutdown; a second call ends the process at once."""
        if self._stopping:
            logger.warning('stop-forced', cut_off=self._callers.active.count)
            status = 1 if self._callers.active.count else 0
            self._callers.stopping.close()
            self._callers.stopping.end_all()
            # The server has to send the last answers.
            hubs.get_hub().schedule_call_global(
                _FLUSH_S, self._end.finish, status
            )
            return
        self._stopping = True
        eventlet.spawn(self._drain)

    def _drain(self) -> None:
        clock = self.node.dependencies.clock
        started_at = clock()
        limit_at = started_at + self._settings.drain_limit_s
        logger.info('drain-started', active=self._callers.active.count)
        self.node.membership.leave()
        # Peers may list this host until they learn that it is leaving, and
        # callers may use such a list for its lifetime.
        answers_expire_at = (
            started_at
            + self._settings.answer_lifetime_s
            + self._settings.probe_period_s * 2
        )
        while clock() < min(answers_expire_at, limit_at):
            eventlet.sleep(_DRAIN_POLL_S)
        self._callers.stopping.close()
        while self._callers.active.count and clock() < limit_at:
            eventlet.sleep(_DRAIN_POLL_S)
        cut_off = self._callers.active.count
        self._callers.stopping.end_all()
        # Tasks of the server may still be sending the last responses.
        eventlet.sleep(_FLUSH_S)
        logger.info(
            'drain-ended',
            cut_off=cut_off,
            drained_s=round(clock() - started_at, 3),
        )
        if not self.node.claims.store_decisions():
            logger.warning('decisions-not-stored')
        self._end.finish(1 if cut_off else 0)

    def _create_limits(self, source: Source) -> ConnectionLimits:
        return ConnectionLimits(
            self._account, read_hub_clock, Counter(), source
        )

    def _serve(self) -> None:
        limits = self._create_limits(Source.CALLER)
        wsgi.server(
            self._listener,
            self._dispatch,
            log=_DiscardedLog(),
            custom_pool=ConnectionPool(
                self._settings.maximum_connections, limits
            ),
            protocol=partial(StrictProtocol, limits),
            url_length_limit=_URL_LIMIT,
            socket_timeout=None,
            debug=False,
        )

    def _dispatch(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        # Otherwise the server buffers small events until they fill a chunk.
        environ['eventlet.minimum_write_chunk_size'] = 1
        environ['egretdale.connection'].note_serving()
        if self._callers.handles(environ['PATH_INFO']):
            return self._callers.serve(environ, start_response)
        return self._operators.serve(environ, start_response)

    def _create_handler(self) -> PeerHandler:
        node = self.node
        return PeerHandler(node.mesh, node.replica.copy, node.issuer)

    def _publish_load(self) -> None:
        while True:
            eventlet.sleep(self._settings.probe_period_s)
            self.node.membership.publish_load(self._callers.active.count)

    def _create_dependencies(self) -> NodeDependencies:
        settings = self._settings
        platform = PlatformClient(
            settings.platform_url,
            timeout_s=settings.platform_timeout_s,
            calls_per_s=settings.platform_calls_per_s,
            clock=read_hub_clock,
            count=self._count_platform_call,
        )
        return NodeDependencies(
            platform,
            PeerClient(settings.peer_timeout_s, self._count_peer_bytes),
            HttpBackendClient(settings.progress_timeout_s),
            read_hub_clock,
            read_wall_clock,
            random.Random(),
            continue_body,
        )

    def _count_platform_call(self, call: str, outcome: str) -> None:
        self.node.metrics.platform_calls.labels(call, outcome).inc()

    def _count_peer_bytes(self, size: int) -> None:
        self.node.metrics.peer_bytes.inc(size)
