"""Tells peers where streams began, so that streams survive lost hosts."""

from __future__ import annotations

import eventlet

from egretdale.coordination.mesh import Mesh
from egretdale.coordination.origin_peers import OriginPeers
from egretdale.state.messages import Batch, StreamOrigin
from egretdale.state.stream_origins import (
    ORIGIN_RETENTION_S,
    Origin,
    OriginRecord,
    OriginTable,
)
from egretdale.util.clocks import Clock

#: Delay in seconds within which origins are sent together.
_FLUSH_S = 0.1
#: Origins in one batch.
_ORIGINS_PER_BATCH = 200


class OriginKeepers:
    """The peers that keep the origins of streams.

    They are told once. A host that becomes a keeper later, or has started
    anew, is told by the host at which a stream began, or by the remaining
    keepers if that one is lost.
    """

    __slots__ = (
        '_clock',
        '_known',
        '_mesh',
        '_tracked_until',
        '_peers',
        '_pending',
        '_seen_version',
        '_table',
    )

    def __init__(
        self, mesh: Mesh, peers: OriginPeers, table: OriginTable, clock: Clock
    ) -> None:
        """Create a component that has told nothing.

        :param mesh: links to peers.
        :param peers: chooses the keepers.
        :param table: the streams that this host knows.
        :param clock: monotonic clock.
        """
        self._clock = clock
        self._mesh = mesh
        self._peers = peers
        self._table = table
        self._pending: dict[str, list[StreamOrigin]] = {}
        # Time until which a shared stream may be resumed.
        self._tracked_until = float('-inf')
        # Keepers by group of streams, with their incarnations, as of a version
        # of the member table.
        self._seen_version = -1
        self._known: dict[int, dict[str, int]] = {}

    def announce(self, request_id: str, record: OriginRecord) -> None:
        """Tell the keepers about a stream of this host.

        :param request_id: ID of the request that began it.
        :param record: its record.
        """
        self.note_shared()
        self.update()
        record.is_shared = True
        shard = self._peers.find_shard(request_id)
        for host in self._known.get(shard, ()):
            self._queue(host, request_id, record.origin)

    def note_shared(self) -> None:
        """Record that a stream is shared now; keepers are tracked for it."""
        self._tracked_until = self._clock() + ORIGIN_RETENTION_S

    def update(self) -> None:
        """Tell new keepers about the streams that began before."""
        is_tracking = self._clock() < self._tracked_until
        if not is_tracking or self._seen_version == self._mesh.table.version:
            return
        self._seen_version = self._mesh.table.version
        joined = {}
        for shard in self._peers.list_shards():
            keepers = self._peers.list_keepers(shard)
            known = self._known.get(shard, {})
            joined[shard] = keepers.items() - known.items()
            self._known[shard] = keepers
        if any(joined.values()):
            self._tell(joined)

    def fill(self, host: str, batch: Batch) -> None:
        """Add the origins that a keeper is told to a batch.

        :param host: receiving host.
        :param batch: the batch.
        """
        pending = self._pending.pop(host, [])
        batch.origins.extend(pending[:_ORIGINS_PER_BATCH])
        if len(pending) > _ORIGINS_PER_BATCH:
            self._pending[host] = pending[_ORIGINS_PER_BATCH:]
            eventlet.spawn_after(_FLUSH_S, self._flush, host)

    def _tell(self, joined: dict[int, set[tuple[str, int]]]) -> None:
        live = self._mesh.table.list_live().items()
        for request_id, record in self._table.list_records():
            is_told_by_others = record.source in live
            if not record.is_shared or is_told_by_others:
                continue
            for host, _ in joined[self._peers.find_shard(request_id)]:
                self._queue(host, request_id, record.origin)

    def _queue(self, host: str, request_id: str, origin: Origin) -> None:
        if host not in self._pending:
            self._pending[host] = []
            eventlet.spawn_after(_FLUSH_S, self._flush, host)
        self._pending[host].append(
            StreamOrigin(request_id, origin.service, origin.software_version)
        )

    def _flush(self, host: str) -> None:
        # A batch sent in the meantime has already carried the origins.
        if host in self._pending:
            self._mesh.probe(host)
