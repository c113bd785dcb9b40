"""Prompts that wait for an engine or for their first token."""

from __future__ import annotations

from dataclasses import dataclass, field

from egretdale.state.messages import Ask
from egretdale.util.clocks import convert_to_seconds


@dataclass(slots=True)
class WaitingPrompt:
    """A request that waits for an engine.

    :ivar ask: the request.
    :ivar host: entry host that holds it.
    :ivar arrived_at: clock time of its arrival here.
    :ivar preferred: name of the engine that all hosts prefer for it, once it
        was needed.
    :ivar least_tokens: least tokens that any engine had to prefill when that
        was looked at.
    """

    ask: Ask
    host: str
    arrived_at: float
    preferred: str = ''
    least_tokens: int = 0

    @property
    def target_at(self) -> float:
        """Clock time at which the first token is wanted."""
        return self.arrived_at + convert_to_seconds(self.ask.target_ms)


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
    :ivar served_at: clock time of the last look at all that wait.
    """

    waiting: dict[str, WaitingPrompt] = field(default_factory=dict)
    granted: dict[str, GrantedPrompt] = field(default_factory=dict)
    served_at: float = float('-inf')
