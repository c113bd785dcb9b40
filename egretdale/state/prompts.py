"""Queue of the prompts that wait for an engine or for their first token."""

from __future__ import annotations

from dataclasses import dataclass, field

from egretdale.state.messages import Ask
from egretdale.state.speeds import PrefillWork, measure_work
from egretdale.util.clocks import convert_to_seconds

#: Time in seconds for which a group counts the requests of a class as usual.
_CLASS_MEMORY_S = 20.0
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
    """

    ask: Ask
    host: str
    arrived_at: float
    reports_end: bool = False
    preferred: str = ''
    own_work: PrefillWork = field(init=False)
    full_work: PrefillWork = field(init=False)

    def __post_init__(self) -> None:
        """Measure the work of the prefill."""
        tokens = self.ask.prompt_tokens
        self.own_work = measure_work(self.own_tokens, tokens)
        self.full_work = measure_work(tokens, tokens)

    @property
    def own_tokens(self) -> int:
        """Prompt tokens outside shared parts, which are never cached."""
        return self.ask.prompt_tokens - self.ask.shared_tokens


@dataclass(slots=True)
class GrantedPrompt:
    """A request that was granted an engine and has no first token yet.

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
    :ivar credit: credit of the oldest request in prompt tokens, by urgency; it
        grows when other requests are granted before it.
    :ivar seen_at: clock time of the last request of each kind.
    """

    waiting: dict[str, WaitingPrompt] = field(default_factory=dict)
    granted: dict[str, GrantedPrompt] = field(default_factory=dict)
    credit: dict[int, float] = field(default_factory=dict)
    seen_at: dict[PromptKind, float] = field(default_factory=dict)

    def note_arrival(self, waiting: WaitingPrompt) -> None:
        """Queue a request.

        :param waiting: the request.
        """
        ask = waiting.ask
        self.waiting[ask.request_id] = waiting
        self.seen_at[PromptKind(ask.urgency, ask.target_ms)] = (
            waiting.arrived_at
        )
        oldest_at = waiting.arrived_at - _CLASS_MEMORY_S
        expired = [kind for kind, at in self.seen_at.items() if at < oldest_at]
        for kind in expired:
            self.seen_at.pop(kind)

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
        short_ms = _SHORT_TARGET_FACTOR * min(
            kind.target_ms for kind in self.seen_at
        )
        urgencies = [
            kind.urgency for kind in self.seen_at if kind.target_ms <= short_ms
        ]
        if ask.target_ms > short_ms or ask.urgency > min(urgencies):
            return False
        return any(
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

    def list_oldest(self) -> dict[int, WaitingPrompt]:
        """Return the oldest waiting request of each urgency."""
        oldest: dict[int, WaitingPrompt] = {}
        for waiting in self.waiting.values():
            oldest.setdefault(waiting.ask.urgency, waiting)
        return oldest

    def has_enough_credit(self, oldest: WaitingPrompt) -> bool:
        """Return whether a request has enough credit to go next.

        :param oldest: the oldest request of its urgency.
        """
        credit = self.credit.get(oldest.ask.urgency, 0)
        return credit >= oldest.own_tokens

    def note_grant(self, granted: WaitingPrompt, share: float) -> None:
        """Update the credit when a request is granted an engine.

        :param granted: the request, still among the waiting ones.
        :param share: fraction of the granted prompt tokens that is credited
            to the oldest request.
        """
        urgency = granted.ask.urgency
        credit = self.credit.get(urgency, 0)
        if self.list_oldest()[urgency] is granted:
            self.credit[urgency] = max(0, credit - granted.own_tokens)
        else:
            self.credit[urgency] = credit + granted.own_tokens * share
