"""The cache of prompt parts of a model engine."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Sequence
from dataclasses import dataclass, field

from egretdale.coordination.exchanges import PromptPart


@dataclass(slots=True)
class _CachedPart:
    tokens: int
    users: set[str] = field(default_factory=set)


class PartCache:
    """An LRU cache of prompt parts; parts in use are not evicted."""

    __slots__ = ('_parts', '_tokens')

    def __init__(self) -> None:
        """Create an empty cache."""
        self._parts: OrderedDict[int, _CachedPart] = OrderedDict()
        self._tokens = 0

    def acquire(self, user: str, parts: Sequence[PromptPart]) -> int:
        """Mark the cached parts of a prompt as used by a request.

        :param user: identity of the request.
        :param parts: parts of its prompt in order.
        :return: tokens that need not be prefilled.
        """
        tokens = 0
        is_prefix_cached = True
        for part in parts:
            cached = self._parts.get(part.identity)
            if cached is None:
                is_prefix_cached = False
                continue
            cached.users.add(user)
            self._parts.move_to_end(part.identity)
            # A part saves prefill only if all parts before it are cached.
            tokens += cached.tokens * is_prefix_cached
        return tokens

    def add(self, user: str, parts: Sequence[PromptPart]) -> int:
        """Add the parts that a request has prefilled.

        :param user: identity of the request.
        :param parts: shared parts of its prompt.
        :return: tokens of the parts that were not cached before.
        """
        added = 0
        for part in parts:
            if part.identity not in self._parts:
                self._parts[part.identity] = _CachedPart(part.tokens)
                added += part.tokens
            self._parts[part.identity].users.add(user)
        self._tokens += added
        return added

    def release(self, user: str, parts: Sequence[PromptPart]) -> None:
        """End the use of parts by a request; they stay cached.

        :param user: identity of the request.
        :param parts: parts of its prompt.
        """
        for part in parts:
            cached = self._parts.get(part.identity)
            if cached is not None:
                cached.users.discard(user)

    def count_used(self) -> int:
        """Count the tokens of the parts in use."""
        return sum(
            entry.tokens for entry in self._parts.values() if entry.users
        )

    def evict(self, tokens: int) -> bool:
        """Evict unused parts, the least recently used first.

        :param tokens: maximum number of tokens to keep.
        :return: whether the cache now fits.
        """
        while self._tokens > tokens:
            unused = next(
                (
                    name
                    for name, entry in self._parts.items()
                    if not entry.users
                ),
                None,
            )
            if unused is None:
                return False
            self._tokens -= self._parts.pop(unused).tokens
        return True
