"""Prompts that wait for an engine or for their first token."""

from __future__ import annotations

from dataclasses import dataclass, field

from egretdale.state.messages import Ask


@dataclass(slots=True)
class WaitingPrompt:
    """A request that waits for an engine.

    :ivar ask: the request.
    :ivar host: entry host that holds it.
    :ivar arrived_at: clock time of its arrival here.
    :ivar preferred: name of the engine that all hosts prefer for it, once it
        was needed.
    """

    ask: Ask
    host: str
    arrived_at: float
    preferred: str = ''

    @property
    def own_tokens(self) -> int:
        """Prompt tokens that an engine has to prefill in any case."""
        return self.ask.prompt_tokens - self.ask.shared_tokens


@dataclass(slots=True)
class GrantedPrompt:
    """A request that was sent to an engine and has no first token yet.

    :ivar engine: name of the incarnation.
    :ivar expires_at: clock time after which it has certainly ended.
    :ivar short: whether it was sent without waiting for others.
    """

    engine: str
    expires_at: float
    short: bool


@dataclass(slots=True)
class GroupQueue:
    """Requests of one group of engines.

    :ivar waiting: requests that wait, by identity.
    :ivar granted: requests that have no first token yet, by identity.
    :ivar scanned_at: clock time of the last look at all that wait.
    :ivar owed: by urgency, prompt tokens that the oldest request is owed for
        those that went before it.
    """

    waiting: dict[str, WaitingPrompt] = field(default_factory=dict)
    granted: dict[str, GrantedPrompt] = field(default_factory=dict)
    scanned_at: float = float('-inf')
    owed: dict[int, float] = field(default_factory=dict)

    def list_oldest(self) -> dict[int, WaitingPrompt]:
        """List the oldest waiting request of each urgency."""
        oldest: dict[int, WaitingPrompt] = {}
        for waiting in self.waiting.values():
            oldest.setdefault(waiting.ask.urgency, waiting)
        return oldest

    def is_owed(self, oldest: WaitingPrompt) -> bool:
        """Return whether the oldest request of its urgency goes next.

        :param oldest: the request.
        """
        owed = self.owed.get(oldest.ask.urgency, 0)
        return owed >= oldest.own_tokens

    def note_grant(self, granted: WaitingPrompt, share: float) -> None:
        """Note that a request, which still waits, gets an engine.

        :param granted: the request.
        :param share: part of the prefill that the oldest request is owed.
        """
        urgency = granted.ask.urgency
        owed = self.owed.get(urgency, 0)
        if self.list_oldest()[urgency] is granted:
            self.owed[urgency] = max(0, owed - granted.own_tokens)
        else:
            self.owed[urgency] = owed + granted.own_tokens * share
