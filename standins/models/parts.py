"""The cache of prompt parts of a model engine."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Sequence
from dataclasses import dataclass, field

from egretdale.coordination.exchanges import PromptPart


@dataclass(slots=True)
class _Cached:
    tokens: int
    users: set[str] = field(default_factory=set)


class PartCache:
    """Parts that need not be prefilled again, the oldest use first."""

    __slots__ = ('_parts', '_tokens')

    def __init__(self) -> None:
        """Create an empty cache."""
        self._parts: OrderedDict[int, _Cached] = OrderedDict()
        self._tokens = 0

    def use(self, user: str, parts: Sequence[PromptPart]) -> int:
        """Find the leading parts that are cached, and keep them for a user.

        :param user: identity of the request.
        :param parts: parts of a prompt in order.
        :return: tokens that need not be prefilled.
        """
        tokens = 0
        whole = True
        for part in parts:
            cached = self._parts.get(part.identity)
            if cached is None:
                whole = False
                continue
            cached.users.add(user)
            self._parts.move_to_end(part.identity)
            # A part counts only if all before it are cached too.
            tokens += cached.tokens * whole
        return tokens

    def add(self, user: str, parts: Sequence[PromptPart]) -> int:
        """Add parts that a user has just prefilled.

        :param user: identity of the request.
        :param parts: shared parts of its prompt.
        :return: tokens of the parts that were not cached before.
        """
        added = 0
        for part in parts:
            if part.identity not in self._parts:
                self._parts[part.identity] = _Cached(part.tokens)
                added += part.tokens
            self._parts[part.identity].users.add(user)
        self._tokens += added
        return added

    def release(self, user: str, parts: Sequence[PromptPart]) -> None:
        """End the use of parts, which stay cached.

        :param user: identity of the request.
        :param parts: parts of a prompt.
        """
        for part in parts:
            cached = self._parts.get(part.identity)
            if cached is not None:
                cached.users.discard(user)

    def count_used(self) -> int:
        """Count the tokens of parts in use."""
        return sum(
            entry.tokens for entry in self._parts.values() if entry.users
        )

    def shrink(self, tokens: int) -> bool:
        """Give up unused parts, the longest unused first.

        :param tokens: tokens that may be cached.
        :return: whether no more than that is cached now.
        """
        while self._tokens > tokens:
            oldest = next(
                (
                    name
                    for name, entry in self._parts.items()
                    if not entry.users
                ),
                None,
            )
            if oldest is None:
                return False
            self._tokens -= self._parts.pop(oldest).tokens
        return True
