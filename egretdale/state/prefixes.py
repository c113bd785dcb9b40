"""Estimate of the prompt prefixes that backend servers have cached."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Mapping
from types import MappingProxyType

_LIFETIME_S = 300.0
_ENTRIES_PER_BACKEND = 2048
_NO_PREFIXES: Mapping[int, float] = MappingProxyType({})


class PrefixIndex:
    """Index of recently used prefixes by backend server.

    It is derived from grants and may be wrong, so it may serve only as a
    preference.
    """

    __slots__ = ('_by_backend',)

    def __init__(self) -> None:
        """Create an empty index."""
        self._by_backend: dict[str, OrderedDict[int, float]] = {}

    def note(self, backend: str, prefix: int, now: float) -> None:
        """Record that a backend server has processed a prefix.

        :param backend: name of the backend server.
        :param prefix: hash of the prefix, 0 for none.
        :param now: monotonic seconds.
        """
        if not prefix:
            return
        known = self._by_backend.setdefault(backend, OrderedDict())
        known[prefix] = now
        known.move_to_end(prefix)
        if len(known) > _ENTRIES_PER_BACKEND:
            known.popitem(last=False)

    def clear(self, backend: str) -> None:
        """Remove all prefixes of a backend server, after a restart.

        :param backend: name of the backend server.
        """
        self._by_backend.pop(backend, None)

    def list_held(self, backend: str) -> Mapping[int, float]:
        """Return the prefixes that a backend server has processed.

        :param backend: name of the backend server.
        :return: monotonic time of the last use in seconds, by prefix.
        """
        return self._by_backend.get(backend, _NO_PREFIXES)

    def is_held(self, backend: str, prefix: int, now: float) -> bool:
        """Return whether a backend server probably has a prefix cached.

        :param backend: name of the backend server.
        :param prefix: hash of the prefix, 0 for none.
        :param now: monotonic seconds.
        :return: whether it was used recently.
        """
        noted = self._by_backend.get(backend, OrderedDict()).get(prefix)
        return noted is not None and now - noted < _LIFETIME_S
