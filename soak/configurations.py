"""The configurations that the operator of a soak test writes."""

from __future__ import annotations

from collections.abc import Callable

import eventlet

from egretdale.util.clocks import read_hub_clock
from soak.clients import Client
from soak.daemons import Terms, put_configuration
from standins.objects import ObjectStoreProgram

#: Seconds for which some clients keep using a revoked key.
_REVOKED_KEY_USE_S = 8.0
#: Seconds for which a daemon may not know a change.
_SPREAD_S = 5.0


class ConfigurationWriter:
    """Writes configurations and tells the clients what changes for them.

    :ivar key: the only valid API key.
    :ivar revoked_at: times of revocation, by API key.
    """

    def __init__(
        self,
        store: ObjectStoreProgram,
        revoked_at: dict[str, float],
        list_clients: Callable[[], list[Client]],
    ) -> None:
        """Write the first configuration.

        :param store: the platform's store.
        :param revoked_at: times of revocation, by API key.
        :param list_clients: lists the clients.
        """
        self.key = 'key-0'
        self.revoked_at = revoked_at
        self._store = store
        self._list_clients = list_clients
        self._version = 0
        self._terms = Terms()
        self._replaced: list[Terms] = []
        self._write()

    def change_key(self) -> None:
        """Revoke the key, which some clients keep using for a while."""
        revoked = self.key
        self.key = f'key-{self._version + 1}'
        self._write()
        self.revoked_at[revoked] = read_hub_clock()
        # The other half of the clients keeps using the revoked key for a while.
        for client in self._list_clients()[::2]:
            client.key = self.key
        eventlet.spawn_after(_REVOKED_KEY_USE_S, self._distribute_key)

    def change_terms(self, terms: Terms) -> None:
        """Change timeouts or routes.

        :param terms: what the configuration holds from then on.
        """
        self._replaced.append(self._terms)
        self._terms = terms
        self._distribute_terms()
        self._write()
        eventlet.spawn_after(_SPREAD_S, self._forget_terms)

    def _write(self) -> None:
        self._version += 1
        put_configuration(
            self._store, self._version, (self.key,), terms=self._terms
        )

    def _distribute_key(self) -> None:
        for client in self._list_clients():
            client.key = self.key

    def _forget_terms(self) -> None:
        self._replaced.pop(0)
        self._distribute_terms()

    def _distribute_terms(self) -> None:
        shortest = min(
            terms.idle_timeout_s for terms in (*self._replaced, self._terms)
        )
        for client in self._list_clients():
            client.idle_timeout_s = shortest
