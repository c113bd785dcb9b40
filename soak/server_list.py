"""The backend servers' entries in the store of a soak test."""

from __future__ import annotations

from soak.daemons import put_server
from soak.proxies import FaultProxy
from standins.objects import ObjectStoreProgram


class ServerList:
    """Lists the backend servers under the addresses of their proxies.

    :ivar starts: how often each server was started anew.
    """

    def __init__(
        self, store: ObjectStoreProgram, links: list[FaultProxy]
    ) -> None:
        """List all servers.

        :param store: the platform's store.
        :param links: the proxies before the servers.
        """
        self.starts = [0 for _ in links]
        self._store = store
        self._links = links
        for number, _ in enumerate(links):
            self.add(number)

    def add(self, number: int) -> None:
        """List a server, unless it is listed.

        :param number: index of the server.
        """
        if not self._is_listed(number):
            self._put(number, 'ready')

    def note_leaving(self, number: int) -> None:
        """Write that a server leaves, if it is listed.

        :param number: index of the server.
        """
        if self._is_listed(number):
            self._put(number, 'draining')

    def note_restart(self, number: int) -> None:
        """Replace the entry of a server that was started anew.

        :param number: index of the server.
        """
        self.starts[number] += 1
        if self._is_listed(number):
            self.remove(number)
            self.add(number)

    def remove(self, number: int) -> None:
        """Remove the entry of a server, if it has one.

        :param number: index of the server.
        """
        if self._is_listed(number):
            self._store.remove('servers', f'i-{number}')

    def _is_listed(self, number: int) -> bool:
        return f'i-{number}' in self._store.list_names('servers')

    def _put(self, number: int, state: str) -> None:
        put_server(
            self._store,
            f'i-{number}',
            self._links[number].address,
            starts=self.starts[number],
            state=state,
        )
