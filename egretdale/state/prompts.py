"""Queue of the prompts that wait for an engine or for their first token."""

from __future__ import annotations

from dataclasses import dataclass, field

from egretdale.state.messages import Ask


@dataclass(slots=True)
class WaitingPrompt:
    """A request that waits for an engine.

    :ivar ask: the request.
    :ivar host: entry host of the request.
    :ivar arrived_at: clock time of its arrival at the allocator.
    :ivar preferred: name of the engine that all hosts prefer for it, empty
        until it is first needed.
    """

    ask: Ask
    host: str
    arrived_at: float
    preferred: str = ''

    @property
    def own_tokens(self) -> int:
        """Prompt tokens outside shared parts, which are never cached."""
        return self.ask.prompt_tokens - self.ask.shared_tokens


@dataclass(slots=True)
class GrantedPrompt:
    """A request that was granted an engine and has no first token yet.

    :ivar engine: name of the engine's incarnation.
    :ivar expires_at: clock time after which it has certainly ended.
    :ivar short: whether its target was so short that it was granted at once,
        regardless of the engine's backlog.
    """

    engine: str
    expires_at: float
    short: bool


@dataclass(slots=True)
class GroupQueue:
    """Requests to one group of engines.

    :ivar waiting: waiting requests by ID, the oldest first.
    :ivar granted: granted requests without a first token, by ID.
    :ivar scanned_at: clock time of the last scan of all waiting requests.
    :ivar credit: credit of the oldest request in prompt tokens, by urgency; it
        grows when other requests are granted before it.
    """

    waiting: dict[str, WaitingPrompt] = field(default_factory=dict)
    granted: dict[str, GrantedPrompt] = field(default_factory=dict)
    scanned_at: float = float('-inf')
    credit: dict[int, float] = field(default_factory=dict)

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
