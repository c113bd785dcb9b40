"""Requests that a connection has carried.

A backend server may answer a request again after its answer was read.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

from egretdale.protocol.embedded_heads import EmbeddedHeadFinder

#: Requests that are remembered for each connection, and the longest ID.
_MAXIMUM_REQUESTS = 64
_MAXIMUM_ID_LENGTH = 256


class CarriedRequests:
    """IDs and methods of the last requests on a connection.

    :ivar current: ID of the request whose response is expected.
    :ivar head: head of the last response, except for skipped ones.
    """

    __slots__ = ('_header', '_methods', '_on_late', 'current', 'head')

    def __init__(self, on_late: Callable[[str, str, int], None]) -> None:
        """Create an empty record.

        :param on_late: called with the IDs of the current and of the earlier
            request and the status of each late response.
        """
        self.current = ''
        self.head = b''
        self._header = ''
        self._methods: dict[str, str] = {}
        self._on_late = on_late

    def create_finder(self) -> EmbeddedHeadFinder:
        """Create a finder of further responses to the requests."""
        return EmbeddedHeadFinder(self._header, self._methods.keys())

    def note(self, header: str, identity: str, method: str) -> None:
        """Record a request that is about to be sent.

        :param header: name of the header that carries IDs.
        :param identity: its ID.
        :param method: its HTTP method.
        """
        self.current = identity
        self._header = header.lower()
        self._methods.pop(identity, '')
        if len(identity) <= _MAXIMUM_ID_LENGTH:
            self._methods[identity] = method
        while len(self._methods) > _MAXIMUM_REQUESTS:
            self._methods.pop(next(iter(self._methods)))

    def end_exchange(self) -> None:
        """Expect no response; further ones to the last request are late."""
        self.current = ''
        self.head = b''

    def find_earlier_method(
        self, status: int, fields: Iterable[tuple[str, str]]
    ) -> str | None:
        """Find the earlier request that a response answers.

        :param status: status of the response.
        :param fields: names and values of its header fields.
        :return: method of that request, ``None`` if there is none.
        """
        identities = [
            text.strip()
            for name, text in fields
            if name.lower() == self._header
        ]
        if len(identities) != 1 or identities[0] == self.current:
            return None
        method = self._methods.get(identities[0])
        if method is not None:
            self._on_late(self.current, identities[0], status)
        return method
