"""An allocator's model of the prompts that engines still have to prefill."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from egretdale.state.instances import Instance
from egretdale.state.speeds import (
    EngineSpeed,
    PrefillSample,
    PrefillWork,
    SpeedTable,
)
from egretdale.util.averages import smooth
from egretdale.util.clocks import Clock

#: Time in seconds by which the report of a first token may be delayed.
_REPORT_DELAY_S = 0.1
#: Seconds past the due time after which the report of a first token is
#: assumed to be lost.
_REPORT_LOST_S = 1.0
#: Time constant in seconds with which a measured delay decays.
_DELAY_MEMORY_S = 3.0
_DELAY_SMOOTHING = 0.4


@dataclass(slots=True, frozen=True)
class OutstandingPrompt:
    """A prompt whose first token has not been reported.

    :ivar work: work of its prefill.
    :ivar sent_at: clock time at which it was sent.
    :ivar due_at: clock time at which the first token is expected.
    """

    work: PrefillWork
    sent_at: float
    due_at: float


@dataclass(slots=True)
class Backlog:
    """The prompts that one engine still has to prefill.

    :ivar speed: prefill speed of the engine.
    :ivar busy_until: clock time at which all of them should be prefilled.
    :ivar prompts: prompts without a first token by request ID, oldest first.
    :ivar work: sum of their work.
    :ivar first_token_at: clock time of the latest first token.
    :ivar prefilled_s: seconds of prefill of all prompts with first tokens.
    :ivar delay_s: smoothed delay of first tokens in seconds, as of the last
        measurement.
    :ivar delayed_at: clock time of the last measurement of the delay.
    """

    speed: EngineSpeed
    busy_until: float = 0
    prompts: dict[str, OutstandingPrompt] = field(default_factory=dict)
    work: PrefillWork = field(default_factory=PrefillWork)
    first_token_at: float = float('-inf')
    prefilled_s: float = 0
    delay_s: float = 0
    delayed_at: float = 0


class BacklogTable:
    """Backlogs of engines, by the name of their incarnation.

    :ivar speeds: prefill speeds of the engines.
    """

    __slots__ = ('_backlogs', '_clock', 'speeds')

    def __init__(self, clock: Clock, speeds: SpeedTable) -> None:
        """Create an empty table.

        :param clock: monotonic clock.
        :param speeds: prefill speeds of the engines.
        """
        self.speeds = speeds
        self._clock = clock
        self._backlogs: dict[str, Backlog] = {}

    def forget(self, engine: str) -> None:
        """Remove an engine that has stopped.

        :param engine: name of its incarnation.
        """
        self._backlogs.pop(engine, None)
        self.speeds.forget(engine)

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
        outstanding_s = backlog.speed.predict(backlog.work)
        oldest = next(iter(backlog.prompts.values()))
        if now > oldest.due_at + _REPORT_DELAY_S:
            return outstanding_s
        return min(max(0, backlog.busy_until - now), outstanding_s)

    def measure_prefilled(self, engine: str) -> float:
        """Return the prefill of all prompts with first tokens.

        :param engine: name of its incarnation.
        :return: seconds.
        """
        backlog = self._backlogs.get(engine)
        return backlog.prefilled_s if backlog else 0

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
        self, engine: str, work: PrefillWork, first_token_s: float
    ) -> None:
        """Update the delay from the first token of a prompt.

        The prompt must have been sent without waiting for the backlog.

        :param engine: name of its incarnation.
        :param work: work of its prefill.
        :param first_token_s: seconds from sending it to the first token.
        """
        backlog = self._backlogs.get(engine)
        if backlog is None:
            return
        speed = backlog.speed
        late_s = first_token_s - speed.shared.floor_s - speed.predict(work)
        known_s = self.measure_delay(engine)
        backlog.delay_s = smooth(known_s, max(0, late_s), _DELAY_SMOOTHING)
        backlog.delayed_at = self._clock()

    def add(
        self, instance: Instance, request_id: str, work: PrefillWork
    ) -> None:
        """Add a prompt.

        :param instance: the engine.
        :param request_id: ID of the request.
        :param work: work of its prefill.
        """
        engine = instance.incarnation_name
        backlog = self._backlogs.get(engine)
        if backlog is None:
            backlog = Backlog(self.speeds.find(instance))
            self._backlogs[engine] = backlog
        now = self._clock()
        start = now + self.measure_wait(engine)
        backlog.busy_until = start + backlog.speed.predict(work)
        self.finish(engine, request_id)
        due_at = backlog.busy_until + backlog.speed.shared.floor_s
        backlog.prompts[request_id] = OutstandingPrompt(work, now, due_at)
        backlog.work += work

    def count_outstanding(self, engine: str) -> int:
        """Count the prompts of an engine that have no first token yet.

        :param engine: name of its incarnation.
        """
        backlog = self._backlogs.get(engine)
        return 0 if backlog is None else len(backlog.prompts)

    def finish(
        self,
        engine: str,
        request_id: str,
        first_token_s: float | None = None,
    ) -> PrefillWork:
        """Remove a prompt that has its first token or will never have one.

        :param engine: name of its incarnation.
        :param request_id: ID of the request.
        :param first_token_s: seconds from sending it to the first token,
            ``None`` without one.
        :return: its work, none if the prompt is unknown.
        """
        backlog = self._backlogs.get(engine)
        if backlog is None or request_id not in backlog.prompts:
            return PrefillWork()
        if first_token_s is not None:
            _learn_speed(backlog, request_id, first_token_s)
        prompt = backlog.prompts.pop(request_id)
        backlog.work -= prompt.work
        if first_token_s is not None:
            backlog.prefilled_s += backlog.speed.predict(prompt.work)
        return prompt.work

    def _drop_lost(self, backlog: Backlog, now: float) -> None:
        while backlog.prompts:
            request_id, oldest = next(iter(backlog.prompts.items()))
            if now <= oldest.due_at + _REPORT_LOST_S:
                break
            backlog.work -= oldest.work
            backlog.prompts.pop(request_id)


def _learn_speed(
    backlog: Backlog, request_id: str, first_token_s: float
) -> None:
    """Update the speed of an engine from a first token.

    While prompts are outstanding, an engine prefills from one first token to
    the next. Prompts may overtake others or share the last step of a prefill,
    so only the sums of several times and prompts belong together.

    :param backlog: backlog of the engine.
    :param request_id: ID of the request that has its first token.
    :param first_token_s: seconds from sending it to the first token.
    """
    prompt = backlog.prompts[request_id]
    oldest = next(iter(backlog.prompts.values()))
    first_token_at = prompt.sent_at + first_token_s
    started_at = max(oldest.sent_at, backlog.first_token_at)
    sample = PrefillSample(
        prompt.work,
        max(0, first_token_at - started_at),
        queued=backlog.first_token_at > oldest.sent_at,
    )
    is_alone = len(backlog.prompts) == 1
    backlog.first_token_at = max(backlog.first_token_at, first_token_at)
    backlog.speed.learn(sample, is_alone=is_alone)
