"""An allocator's model of the prompts that engines still have to prefill."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from egretdale.util.averages import smooth
from egretdale.util.clocks import Clock

#: Assumed prefill rate of an engine in prompt tokens per second. If it is
#: wrong, first tokens that arrive early or late correct the model.
_TOKENS_PER_S = 120000.0
#: Time in seconds by which the report of a first token may be delayed.
_REPORT_DELAY_S = 0.1
#: Seconds past the due time after which the report of a first token is
#: assumed to be lost.
_REPORT_LOST_S = 1.0
#: Time to the first token of an empty prompt, in seconds.
_BASE_FIRST_TOKEN_S = 0.05
#: Time constant in seconds with which a measured delay decays.
_DELAY_MEMORY_S = 3.0
_DELAY_SMOOTHING = 0.4


@dataclass(slots=True, frozen=True)
class OutstandingPrompt:
    """A prompt whose first token has not been reported.

    :ivar tokens: prompt tokens that the engine had not cached.
    :ivar due_at: clock time at which the first token is expected.
    """

    tokens: int
    due_at: float


@dataclass(slots=True)
class Backlog:
    """The prompts that one engine still has to prefill.

    :ivar busy_until: clock time at which all of them should be prefilled.
    :ivar prompts: prompts without a first token by request ID, oldest first.
    :ivar tokens: sum of their tokens.
    :ivar delay_s: smoothed delay of first tokens in seconds, as of the last
        measurement.
    :ivar delayed_at: clock time of the last measurement of the delay.
    """

    busy_until: float = 0
    prompts: dict[str, OutstandingPrompt] = field(default_factory=dict)
    tokens: int = 0
    delay_s: float = 0
    delayed_at: float = 0


class BacklogTable:
    """Backlogs of engines, by the name of their incarnation."""

    __slots__ = ('_backlogs', '_clock')

    def __init__(self, clock: Clock) -> None:
        """Create an empty table.

        :param clock: monotonic clock.
        """
        self._clock = clock
        self._backlogs: dict[str, Backlog] = {}

    def forget(self, engine: str) -> None:
        """Remove an engine that has stopped.

        :param engine: name of its incarnation.
        """
        self._backlogs.pop(engine, None)

    def measure_wait(self, engine: str) -> float:
        """Return how long a new prompt would wait for those before it.

        While first tokens arrive when they are expected, prompts count as
        prefilled as time passes. Once the oldest one is overdue, all prompts
        whose first tokens have not been reported count in full.

        :param engine: name of its incarnation.
        :return: seconds.
        """
        backlog = self._backlogs.get(engine)
        if backlog is None:
            return 0
        now = self._clock()
        self._drop_lost(backlog, now)
        if not backlog.prompts:
            return 0
        outstanding_s = predict_prefill(backlog.tokens)
        oldest = next(iter(backlog.prompts.values()))
        if now > oldest.due_at + _REPORT_DELAY_S:
            return outstanding_s
        return min(max(0, backlog.busy_until - now), outstanding_s)

    def measure_delay(self, engine: str) -> float:
        """Return the recent delay of first tokens beyond the expected time.

        :param engine: name of its incarnation.
        :return: seconds, decaying with time.
        """
        backlog = self._backlogs.get(engine)
        if backlog is None or not backlog.delay_s:
            return 0
        age_s = self._clock() - backlog.delayed_at
        return backlog.delay_s * math.exp(-age_s / _DELAY_MEMORY_S)

    def learn_delay(
        self, engine: str, tokens: int, first_token_s: float
    ) -> None:
        """Update the delay from the first token of a prompt.

        The prompt must have been sent without waiting for the backlog.

        :param engine: name of its incarnation.
        :param tokens: prompt tokens that the engine had not cached.
        :param first_token_s: seconds from sending it to the first token.
        """
        late_s = first_token_s - _BASE_FIRST_TOKEN_S - predict_prefill(tokens)
        known_s = self.measure_delay(engine)
        backlog = self._backlogs.setdefault(engine, Backlog())
        backlog.delay_s = smooth(known_s, max(0, late_s), _DELAY_SMOOTHING)
        backlog.delayed_at = self._clock()

    def add(self, engine: str, request_id: str, tokens: int) -> None:
        """Add a prompt.

        :param engine: name of its incarnation.
        :param request_id: ID of the request.
        :param tokens: prompt tokens that the engine has not cached.
        """
        backlog = self._backlogs.setdefault(engine, Backlog())
        now = self._clock()
        start = now + self.measure_wait(engine)
        backlog.busy_until = start + predict_prefill(tokens)
        self.finish(engine, request_id)
        due_at = backlog.busy_until + _BASE_FIRST_TOKEN_S
        backlog.prompts[request_id] = OutstandingPrompt(tokens, due_at)
        backlog.tokens += tokens

    def finish(self, engine: str, request_id: str) -> int:
        """Remove a prompt that has its first token or will never have one.

        :param engine: name of its incarnation.
        :param request_id: ID of the request.
        :return: its tokens, 0 if the prompt is unknown.
        """
        backlog = self._backlogs.get(engine)
        prompt = backlog and backlog.prompts.pop(request_id, None)
        if not prompt:
            return 0
        backlog.tokens -= prompt.tokens
        return prompt.tokens

    def _drop_lost(self, backlog: Backlog, now: float) -> None:
        while backlog.prompts:
            request_id, oldest = next(iter(backlog.prompts.items()))
            if now <= oldest.due_at + _REPORT_LOST_S:
                break
            backlog.tokens -= oldest.tokens
            backlog.prompts.pop(request_id)


def predict_prefill(tokens: int) -> float:
    """Predict how long an engine takes to prefill a prompt.

    :param tokens: prompt tokens that it has not cached.
    :return: seconds.
    """
    return tokens / _TOKENS_PER_S
