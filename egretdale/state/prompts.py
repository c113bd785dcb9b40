"""Prompts that wait for an engine, and those that run at one."""

from __future__ import annotations

import bisect
from collections.abc import Iterator
from dataclasses import dataclass, field

from egretdale.state.messages import Ask
from egretdale.state.speeds import PrefillWork, measure_work
from egretdale.util.clocks import convert_to_seconds

#: Time in seconds for which a kind of request counts as present in a group.
_CLASS_MEMORY_S = 20.0
#: Share of the requests of a size band that are served at least, as a part of
#: that of all requests of their urgency.
_FAIR_SHARE = 0.6
#: Requests of a size band after which older ones count half.
_COUNTED_REQUESTS = 200
#: Targets up to this multiple of the shortest one count as short.
_SHORT_TARGET_FACTOR = 1.25


@dataclass(slots=True)
class WaitingPrompt:
    """A request that waits for an engine.

    :ivar ask: the request.
    :ivar host: entry host of the request.
    :ivar arrived_at: clock time of its arrival at the allocator.
    :ivar reports_end: whether the host will report its end.
    :ivar own_work: work of prefilling what is not shared.
    :ivar full_work: work of prefilling the whole prompt.
    :ivar preferred: name of the engine that all hosts prefer for it, empty
        until it is first needed.
    :ivar size_band: urgency and approximate length.
    :ivar entitled: whether it goes before the others of its urgency.
    """

    ask: Ask
    host: str
    arrived_at: float
    reports_end: bool = False
    preferred: str = ''
    entitled: bool = False
    size_band: SizeBand = field(init=False)
    own_work: PrefillWork = field(init=False)
    full_work: PrefillWork = field(init=False)

    def __post_init__(self) -> None:
        """Measure the work of the prefill."""
        tokens = self.ask.prompt_tokens
        self.size_band = SizeBand(
            self.ask.urgency, self.own_tokens.bit_length()
        )
        self.own_work = measure_work(self.own_tokens, tokens)
        self.full_work = measure_work(tokens, tokens)

    @property
    def own_tokens(self) -> int:
        """Prompt tokens outside shared parts, which are never cached."""
        return self.ask.prompt_tokens - self.ask.shared_tokens

    @property
    def rank(self) -> tuple[int, bool, int]:
        """Sort key among the waiting requests; the lowest goes first.

        Higher tiers always go first. Within a tier, the prompt with the fewest
        tokens outside its shared part goes first: in a burst most requests are
        then served in time, and the late ones are the few that need the most
        prefill. Shared parts do not count, as an allocator that has just
        started does not know where they are cached. Requests of a length that
        is refused far more often than others go first instead.
        """
        return self.ask.urgency, not self.entitled, self.own_tokens


@dataclass(slots=True)
class GrantedPrompt:
    """A request that was granted an engine and has not ended.

    :ivar engine: name of the engine's incarnation.
    :ivar class_name: class of the request.
    :ivar maximum_tokens: output limit of the request.
    :ivar expires_at: clock time after which it has certainly ended.
    :ivar immediate: whether it was granted at once, regardless of the
        engine's backlog.
    :ivar first_token_s: seconds from the grant to the first token, ``None``
        before it.
    :ivar prefilled_s: prefill of the engine in seconds until then.
    """

    engine: str
    class_name: str
    maximum_tokens: int
    expires_at: float
    immediate: bool
    first_token_s: float | None = None
    prefilled_s: float = 0


@dataclass(slots=True, frozen=True)
class SizeBand:
    """Urgency and approximate length of requests.

    :ivar urgency: urgency, 0 is the highest.
    :ivar bits: binary digits of the number of tokens outside shared parts, -1
        for any.
    """

    urgency: int
    bits: int = -1


@dataclass(slots=True)
class SizeCounts:
    """Recent requests of a size band.

    :ivar arrived: requests.
    :ivar refused: those that were refused because of overload.
    """

    arrived: float = 0
    refused: float = 0


@dataclass(slots=True, frozen=True)
class PromptKind:
    """Urgency and target of requests.

    :ivar urgency: urgency, 0 is the highest.
    :ivar target_ms: target for the first token in milliseconds.
    """

    urgency: int
    target_ms: int


@dataclass(slots=True)
class GroupQueue:
    """Requests to one group of engines.

    :ivar waiting: waiting requests by ID, the oldest first.
    :ivar granted: granted requests that have not ended, by ID.
    :ivar counts: recent requests and refusals by size band.
    :ivar seen_at: clock time of the last request of each kind.
    :ivar scan_due_at: clock time from which all waiting requests are looked at
        again.
    """

    waiting: dict[str, WaitingPrompt] = field(default_factory=dict)
    granted: dict[str, GrantedPrompt] = field(default_factory=dict)
    counts: dict[SizeBand, SizeCounts] = field(default_factory=dict)
    seen_at: dict[PromptKind, float] = field(default_factory=dict)
    scan_due_at: float = float('-inf')
    _ordered: list[WaitingPrompt] = field(default_factory=list)

    def note_arrival(self, waiting: WaitingPrompt) -> None:
        """Queue a request.

        :param waiting: the request.
        """
        ask = waiting.ask
        self.waiting[ask.request_id] = waiting
        bisect.insort(self._ordered, waiting, key=_read_rank)
        self._note_size(waiting)
        self.seen_at[PromptKind(ask.urgency, ask.target_ms)] = (
            waiting.arrived_at
        )
        oldest_at = waiting.arrived_at - _CLASS_MEMORY_S
        expired = [kind for kind, at in self.seen_at.items() if at < oldest_at]
        for kind in expired:
            self.seen_at.pop(kind)

    def sort(self) -> None:
        """Put the waiting requests in order."""
        self._ordered = sorted(self.waiting.values(), key=_read_rank)

    def list_ordered(self) -> Iterator[WaitingPrompt]:
        """Iterate over the waiting requests, the next one first.

        Requests that were entitled since they were sorted keep their place.
        """
        for waiting in self._ordered:
            if self.waiting.get(waiting.ask.request_id) is waiting:
                yield waiting

    def find_shortest_target(self) -> float:
        """Return the shortest target of recent requests in seconds."""
        return convert_to_seconds(
            min((kind.target_ms for kind in self.seen_at), default=0)
        )

    def is_urgent(self, ask: Ask) -> bool:
        """Tell whether a request goes before all others.

        That is the case if it has the highest urgency of those with a short
        target, and there are others that it can go before.

        :param ask: the request.
        """
        short_ms = self._find_short_target()
        return self.is_short(ask) and ask.urgency <= min(
            kind.urgency for kind in self.seen_at if kind.target_ms <= short_ms
        )

    def is_short(self, ask: Ask) -> bool:
        """Tell whether a request has a short target and others have not.

        :param ask: the request.
        """
        short_ms = self._find_short_target()
        return ask.target_ms <= short_ms and any(
            kind.urgency > ask.urgency or kind.target_ms > short_ms
            for kind in self.seen_at
        )

    def list_expired(self, now: float) -> list[str]:
        """List the granted requests that have certainly ended.

        :param now: clock time.
        :return: their IDs.
        """
        return [
            request_id
            for request_id, granted in self.granted.items()
            if granted.expires_at <= now
        ]

    def entitle(self, waiting: WaitingPrompt) -> bool:
        """Let a request that would be refused go first, if that is fair.

        Longer prompts go last, so without this the longest ones would be
        refused far more often than the others.

        :param waiting: the request.
        :return: whether it goes before the others of its urgency.
        """
        if not waiting.entitled:
            same = self._find_counts(waiting.size_band)
            others = self._find_counts(SizeBand(waiting.ask.urgency))
            served = 1 - (same.refused + 1) / same.arrived
            fair = (1 - others.refused / others.arrived) * _FAIR_SHARE
            waiting.entitled = served < fair
        return waiting.entitled

    def note_refusal(self, waiting: WaitingPrompt) -> None:
        """Count a refusal because of overload.

        :param waiting: the request.
        """
        for band in (waiting.size_band, SizeBand(waiting.ask.urgency)):
            self._find_counts(band).refused += 1

    def _find_short_target(self) -> float:
        return _SHORT_TARGET_FACTOR * min(
            kind.target_ms for kind in self.seen_at
        )

    def _note_size(self, waiting: WaitingPrompt) -> None:
        for band in (waiting.size_band, SizeBand(waiting.ask.urgency)):
            counts = self._find_counts(band)
            counts.arrived += 1
            if counts.arrived > _COUNTED_REQUESTS:
                counts.arrived /= 2
                counts.refused /= 2

    def _find_counts(self, band: SizeBand) -> SizeCounts:
        return self.counts.setdefault(band, SizeCounts())


def _read_rank(waiting: WaitingPrompt) -> tuple[int, bool, int]:
    return waiting.rank
