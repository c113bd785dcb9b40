"""An allocator's model of the prompt parts that engines have cached.

This serves engines whose memory does not hold all parts. Running requests and
cached parts share the memory of an engine, and the part that was used least
recently yields, unless a running request uses it. A model follows from what
was sent to the engine, so it may be wrong and serves only as a preference.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass, field

from egretdale.state.messages import Ask

#: Parts that are remembered of an engine whose memory is not known.
_MAXIMUM_PARTS = 2048
#: Seconds ahead for which the further use of a part is predicted.
_HORIZON_S = 10.0


@dataclass(slots=True)
class CachedPart:
    """A shared part of prompts that an engine has cached or will have.

    :ivar tokens: its length in tokens.
    :ivar used_at: clock time of its last use.
    :ivar reader: ID of the request that prefills it, empty once that has its
        first token.
    :ivar users: IDs of the running requests that use it.
    """

    tokens: int
    used_at: float
    reader: str = ''
    users: set[str] = field(default_factory=set)

    def predict_use(self, now: float) -> float:
        """Predict how likely the part is used again soon.

        The longer it was idle, the longer it will probably be.

        :param now: clock time.
        :return: probability of a use, from 0 to 1.
        """
        return _HORIZON_S / (_HORIZON_S + max(0, now - self.used_at))


@dataclass(slots=True, frozen=True)
class RunningPrompt:
    """Memory that a request takes besides the part that it shares.

    :ivar prefix: the part, 0 for none.
    :ivar tokens: tokens of its own.
    """

    prefix: int
    tokens: int


class CacheModel:
    """The parts and the running requests in the memory of one engine.

    :ivar capacity: tokens that fit into the memory, 0 if that is not known.
    """

    __slots__ = ('_parts', '_running', '_tokens', 'capacity')

    def __init__(self) -> None:
        """Create the model of an empty engine of unknown capacity."""
        self.capacity = 0
        self._parts: OrderedDict[int, CachedPart] = OrderedDict()
        self._running: dict[str, RunningPrompt] = {}
        # Of parts and running requests together.
        self._tokens = 0

    def find(self, prefix: int) -> CachedPart | None:
        """Return a part that the engine probably has or will have.

        :param prefix: hash of the part, 0 for none.
        :return: the part, ``None`` if it has to be prefilled.
        """
        return self._parts.get(prefix)

    def begin(self, ask: Ask, now: float) -> None:
        """Record that a request is sent to the engine.

        :param ask: the request.
        :param now: clock time.
        """
        self.end(ask.request_id)
        prefix = ask.prefix if ask.shared_tokens else 0
        own = count_own_tokens(ask)
        self._running[ask.request_id] = RunningPrompt(prefix, own)
        self._tokens += own
        if prefix:
            self._use(ask, now)
        self._evict()

    def note_first_token(self, request_id: str) -> None:
        """Record that the engine has prefilled the prompt of a request.

        :param request_id: ID of the request.
        """
        running = self._running.get(request_id)
        part = running and self._parts.get(running.prefix)
        if part and part.reader == request_id:
            part.reader = ''

    def end(self, request_id: str) -> None:
        """Record that a request no longer runs; its part stays cached.

        A part that it had not finished prefilling is not cached.

        :param request_id: ID of the request.
        """
        running = self._running.pop(request_id, None)
        if running is None:
            return
        self._tokens -= running.tokens
        part = self._parts.get(running.prefix)
        if part is None:
            return
        part.users.discard(request_id)
        if part.reader == request_id:
            part.reader = next(iter(part.users), '')
            if not part.reader:
                self._drop(running.prefix)

    def predict_displacement(self, ask: Ask, now: float) -> float:
        """Predict what is lost by the parts that a request would evict.

        :param ask: the request.
        :param now: clock time.
        :return: tokens that will probably be prefilled again soon. Room that
            only running requests could yield counts in full.
        """
        if not self.capacity:
            return 0
        needed = count_own_tokens(ask)
        if ask.prefix not in self._parts:
            needed += ask.shared_tokens
        missing = self._tokens + needed - self.capacity
        lost = float(0)
        if missing <= 0:
            return lost
        for prefix, part in self._list_unused():
            if prefix != ask.prefix:
                lost += part.tokens * part.predict_use(now)
                missing -= part.tokens
            if missing <= 0:
                return lost
        return lost + missing

    def _use(self, ask: Ask, now: float) -> None:
        part = self._parts.get(ask.prefix)
        if part is None:
            part = CachedPart(ask.shared_tokens, now, ask.request_id)
            self._parts[ask.prefix] = part
            self._tokens += part.tokens
        part.used_at = now
        part.users.add(ask.request_id)
        self._parts.move_to_end(ask.prefix)

    def _evict(self) -> None:
        if not self.capacity:
            if len(self._parts) > _MAXIMUM_PARTS:
                self._drop(next(iter(self._parts)))
            return
        while self._tokens > self.capacity:
            unused = next(self._list_unused(), None)
            if unused is None:
                return
            self._drop(unused[0])

    def _list_unused(self) -> Iterator[tuple[int, CachedPart]]:
        """List the parts that may be evicted, the next one first."""
        return (entry for entry in self._parts.items() if not entry[1].users)

    def _drop(self, prefix: int) -> None:
        self._tokens -= self._parts.pop(prefix).tokens


class CacheTable:
    """Models of the memory of engines, by the name of their incarnation."""

    __slots__ = ('_by_engine',)

    def __init__(self) -> None:
        """Create an empty table."""
        self._by_engine: dict[str, CacheModel] = {}

    def find(self, engine: str, capacity: int) -> CacheModel:
        """Return the model of an engine, empty if it is not known yet.

        :param engine: name of its incarnation.
        :param capacity: tokens that fit into its memory, 0 if not known.
        """
        model = self._by_engine.get(engine)
        if model is None:
            model = CacheModel()
            self._by_engine[engine] = model
        model.capacity = capacity
        return model

    def find_known(self, engine: str) -> CacheModel | None:
        """Return the model of an engine that was sent a request.

        :param engine: name of its incarnation.
        :return: the model, ``None`` if the engine is unknown or has stopped.
        """
        return self._by_engine.get(engine)

    def forget(self, engine: str) -> None:
        """Remove an engine that has stopped.

        :param engine: name of its incarnation.
        """
        self._by_engine.pop(engine, None)


def count_own_tokens(ask: Ask) -> int:
    """Count the tokens of memory that a request takes for itself alone.

    :param ask: the request.
    :return: its output limit and what it does not share of its prompt.
    """
    return ask.prompt_tokens - ask.shared_tokens + ask.maximum_tokens
