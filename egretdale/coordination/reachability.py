"""Finds out whether this host reaches the backend servers.

A partition may leave callers, peers and the platform in reach. Connections to
backend servers then hang, are refused or reset.
"""

from __future__ import annotations

from collections.abc import Callable
from itertools import islice

import eventlet

from egretdale.coordination.exchanges import ForwardClient
from egretdale.coordination.ports import NotRun
from egretdale.coordination.selection import BackendSelection
from egretdale.state.instances import Instance
from egretdale.util.clocks import Clock
from egretdale.util.logs import get_logger

logger = get_logger(__name__)

#: Seconds between two checks.
_PERIOD_S = 0.25
#: Seconds without a byte from a backend server that has requests of this host,
#: after which a connection is opened to it.
_SILENCE_S = 0.7
#: Connections that are opened at a time to find out that servers are in reach
#: again.
_TESTED_SERVERS = 2


class ReachabilityMonitor:
    """Tests silent and unreachable backend servers with new connections."""

    __slots__ = (
        '_client',
        '_clock',
        '_instances',
        '_links',
        '_loads',
        '_next_test',
        '_on_change',
        '_selection',
        '_testing',
        '_was_cut_off',
    )

    def __init__(
        self,
        selection: BackendSelection,
        client: ForwardClient,
        clock: Clock,
        on_change: Callable[[bool], None],
    ) -> None:
        """Create a monitor.

        :param selection: what is known of the backend servers.
        :param client: client of the backend servers.
        :param clock: monotonic clock.
        :param on_change: called when this host begins or ceases to be cut
            off from all backend servers.
        """
        self._selection = selection
        self._instances = selection.instances
        self._loads = selection.loads
        self._links = selection.links
        self._client = client
        self._clock = clock
        self._on_change = on_change
        self._testing: set[str] = set()
        self._next_test = 0
        self._was_cut_off = False

    def run(self) -> None:
        """Check the backend servers for as long as the process runs."""
        while True:
            eventlet.sleep(_PERIOD_S)
            self._check()

    def _check(self) -> None:
        is_cut_off = self._selection.is_cut_off()
        if is_cut_off != self._was_cut_off:
            self._was_cut_off = is_cut_off
            event = 'backends-lost' if is_cut_off else 'backends-regained'
            logger.warning(event, backend_servers=self._instances.count())
            self._on_change(is_cut_off)
        for instance in self._choose_tested(is_cut_off=is_cut_off):
            if instance.name not in self._testing:
                self._testing.add(instance.name)
                eventlet.spawn_n(self._test, instance)

    def _choose_tested(self, *, is_cut_off: bool) -> list[Instance]:
        listed = self._instances.list_all()
        if is_cut_off:
            start = self._next_test % max(1, len(listed))
            self._next_test = start + _TESTED_SERVERS
            return list(islice(listed, start, start + _TESTED_SERVERS))
        silent_since = self._clock() - _SILENCE_S
        return [
            instance
            for instance in listed
            if self._loads.is_silent(instance.incarnation, silent_since)
        ]

    def _test(self, instance: Instance) -> None:
        began_at = self._clock()
        try:
            failure = self._client.test_connection(instance)
        finally:
            self._testing.discard(instance.name)
        incarnation = instance.incarnation
        match failure:
            case NotRun(detail=detail, is_hanging=is_hanging):
                self._selection.note_unreachable(
                    incarnation, began_at, is_hanging=is_hanging
                )
                logger.info(
                    'backend-unreachable',
                    backend=instance.name,
                    detail=detail,
                )
            case _:
                self._links.note_heard()
                self._loads.note_heard(incarnation)
