"""Prompts that engines have still to prefill, as an allocator models them."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from egretdale.util.averages import smooth
from egretdale.util.clocks import Clock

#: Prompt tokens that an engine is thought to prefill in a second. Where that
#: is wrong, the first tokens that do or do not arrive correct it.
_TOKENS_PER_S = 120000.0
#: Time in seconds by which news of a first token may be late.
_NEWS_S = 0.1
#: Time in seconds after which news of a first token is taken for lost.
_LOST_S = 1.0
#: Time to the first token without any prompt to prefill, in seconds.
_BASE_S = 0.05
#: Time in seconds in which a delay that was seen loses most of its weight.
_DELAY_MEMORY_S = 3.0
_DELAY_SMOOTHING = 0.4


@dataclass(slots=True, frozen=True)
class OutstandingPrompt:
    """A prompt without a first token.

    :ivar tokens: tokens that the engine did not hold.
    :ivar due_at: clock time at which the first token was expected.
    """

    tokens: int
    due_at: float


@dataclass(slots=True)
class Backlog:
    """The prompts that one engine has still to prefill.

    :ivar busy_until: clock time at which it should have prefilled them all.
    :ivar prompts: prompts without a first token by request, oldest first.
    :ivar tokens: sum of their tokens.
    :ivar delay_s: seconds by which first tokens came later than expected.
    :ivar delayed_at: clock time of the last such measurement.
    """

    busy_until: float = 0
    prompts: dict[str, OutstandingPrompt] = field(default_factory=dict)
    tokens: int = 0
    delay_s: float = 0
    delayed_at: float = 0


class BacklogTable:
    """Backlogs of engines by name of their incarnation."""

    __slots__ = ('_backlogs', '_clock')

    def __init__(self, clock: Clock) -> None:
        """Create an empty table.

        :param clock: monotonic clock.
        """
        self._clock = clock
        self._backlogs: dict[str, Backlog] = {}

    def forget(self, engine: str) -> None:
        """Drop an engine that has gone.

        :param engine: name of its incarnation.
        """
        self._backlogs.pop(engine, None)

    def measure_wait(self, engine: str) -> float:
        """Measure how long a new prompt waits for those before it.

        While first tokens come when they are expected, prompts count as
        prefilled by time. An engine that is behind has to prefill all prompts
        whose first tokens have not come.

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
        if now > oldest.due_at + _NEWS_S:
            return outstanding_s
        return min(max(0, backlog.busy_until - now), outstanding_s)

    def measure_delay(self, engine: str) -> float:
        """Measure by how much first tokens came later than expected lately.

        :param engine: name of its incarnation.
        :return: seconds, fading with time.
        """
        backlog = self._backlogs.get(engine)
        if backlog is None or not backlog.delay_s:
            return 0
        age_s = self._clock() - backlog.delayed_at
        return backlog.delay_s * math.exp(-age_s / _DELAY_MEMORY_S)

    def learn_delay(
        self, engine: str, tokens: int, first_token_s: float
    ) -> None:
        """Learn from the first token of a prompt that does not wait.

        :param engine: name of its incarnation.
        :param tokens: tokens that the engine did not hold.
        :param first_token_s: seconds from sending it to the first token.
        """
        late_s = first_token_s - _BASE_S - predict_prefill(tokens)
        known_s = self.measure_delay(engine)
        backlog = self._backlogs.setdefault(engine, Backlog())
        backlog.delay_s = smooth(known_s, max(0, late_s), _DELAY_SMOOTHING)
        backlog.delayed_at = self._clock()

    def add(self, engine: str, request_id: str, tokens: int) -> None:
        """Add a prompt.

        :param engine: name of its incarnation.
        :param request_id: identity of the request.
        :param tokens: prompt tokens that the engine does not hold.
        """
        backlog = self._backlogs.setdefault(engine, Backlog())
        now = self._clock()
        start = now + self.measure_wait(engine)
        backlog.busy_until = start + predict_prefill(tokens)
        self.finish(engine, request_id)
        due_at = backlog.busy_until + _BASE_S
        backlog.prompts[request_id] = OutstandingPrompt(tokens, due_at)
        backlog.tokens += tokens

    def finish(self, engine: str, request_id: str) -> int:
        """Note that a prompt has its first token, or never will have.

        :param engine: name of its incarnation.
        :param request_id: identity of the request.
        :return: its tokens, 0 when it is not known.
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
            if now <= oldest.due_at + _LOST_S:
                break
            backlog.tokens -= oldest.tokens
            backlog.prompts.pop(request_id)


def predict_prefill(tokens: int) -> float:
    """Predict how long an engine prefills a prompt.

    :param tokens: prompt tokens that it does not hold.
    :return: seconds.
    """
    return tokens / _TOKENS_PER_S
