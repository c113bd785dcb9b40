"""The daemon: servers, clients and the planned stop."""

from __future__ import annotations

import random
from collections.abc import Iterable
from typing import Any

import eventlet
from eventlet import wsgi

from egretdale.config import Settings
from egretdale.coordination.node import Node, NodeDependencies
from egretdale.protocol.completions import continue_body
from egretdale.transport.backends import HttpBackendClient
from egretdale.transport.callers import CallerInterface, StartResponse
from egretdale.transport.endings import ProcessEnd
from egretdale.transport.operators import OperatorInterface
from egretdale.transport.peer_calls import PeerHandler
from egretdale.transport.peers import PeerClient, PeerServer, listen
from egretdale.transport.platform import PlatformClient
from egretdale.transport.refusals import RefusalBook
from egretdale.util.clocks import read_hub_clock, read_wall_clock
from egretdale.util.logs import get_logger
from egretdale.util.tasks import TaskGroup

logger = get_logger(__name__)

_DRAIN_CHECK_S = 0.05
_SETTLE_S = 0.2
_URL_LIMIT = 16384


class _DiscardedLog:
    """Swallows the access log of the WSGI server."""

    def write(self, line: str) -> None:
        """Ignore a line.

        :param line: access log line.
        """


class Daemon:
    """One ``egretdaled`` process.

    :ivar node: coordination parts.
    """

    __slots__ = (
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
        """Open the listeners and build the parts.

        :param settings: settings of this host.
        """
        self._settings = settings
        self._listener = listen(settings.caller_address)
        self._peer_listener = listen(settings.peer_address)
        self._end = ProcessEnd()
        self._stopping = False
        self._tasks = TaskGroup(self._end.crash)
        self.node = Node(settings, self._create_dependencies())
        refusals = RefusalBook(self.node)
        self._callers = CallerInterface(self.node, refusals)
        self._operators = OperatorInterface(
            self.node, refusals, self.request_stop
        )

    def run(self) -> int:
        """Serve until a planned stop has ended.

        :return: exit status; 0 when no request was cut off.
        """
        self.node.start(self._tasks)
        self._tasks.start(
            PeerServer(self._peer_listener, self._create_handler()).run
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
        """Begin a planned stop; a second call ends it at once."""
        if self._stopping:
            logger.warning('stop-forced', cut_off=self._callers.active.count)
            self._end.finish(1 if self._callers.active.count else 0)
            return
        self._stopping = True
        eventlet.spawn(self._drain)

    def _drain(self) -> None:
        clock = self.node.dependencies.clock
        started_at = clock()
        limit_at = started_at + self._settings.drain_limit_s
        logger.info('drain-started', active=self._callers.active.count)
        self.node.membership.leave()
        # Callers may use an answer given just before peers heard the news.
        answers_end = (
            started_at
            + self._settings.answer_lifetime_s
            + self._settings.probe_period_s * 2
        )
        while clock() < answers_end:
            eventlet.sleep(_DRAIN_CHECK_S)
        while self._callers.active.count and clock() < limit_at:
            eventlet.sleep(_DRAIN_CHECK_S)
        # The last answers may still be in the sockets of their tasks.
        eventlet.sleep(_SETTLE_S)
        cut_off = self._callers.active.count
        logger.info(
            'drain-ended',
            cut_off=cut_off,
            drained_s=round(clock() - started_at, 3),
        )
        if not self.node.claims.leave_decisions():
            logger.warning('decisions-not-stored')
        self._end.finish(1 if cut_off else 0)

    def _serve(self) -> None:
        wsgi.server(
            self._listener,
            self._dispatch,
            log=_DiscardedLog(),
            max_size=self._settings.maximum_connections,
            url_length_limit=_URL_LIMIT,
            socket_timeout=None,
            debug=False,
        )

    def _dispatch(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        # The server would hold small events back until they fill a chunk.
        environ['eventlet.minimum_write_chunk_size'] = 1
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
        self.node.figures.platform_calls.labels(call, outcome).inc()

    def _count_peer_bytes(self, size: int) -> None:
        self.node.figures.peer_bytes.inc(size)
