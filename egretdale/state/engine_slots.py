"""Slots of model engines and the requests that hold them.

This serves engines with few slots, and bursts of long prompts. A request that
is sent to an engine without a free slot waits there, is rejected, or takes the
slot of a less urgent one, whose prompt has to be prefilled again. Where slots
are many, each prompt still slows down all streams of its engine: responses
then take long to finish, and a crash breaks all of them.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field

from egretdale.state.instances import Instance
from egretdale.util.averages import smooth
from egretdale.util.clocks import Clock

#: Time in seconds for which an engine that rejected a request counts as full.
_REJECTION_MEMORY_S = 0.25
#: The same for an engine that falls over when it rejects much in a second.
_BRITTLE_MEMORY_S = 1.0
#: Rejections of an engine whose times are kept.
_COUNTED_REJECTIONS = 64
#: Factor from the requests that a brittle engine runs when it rejects another
#: one to the number that it gets then.
_BRITTLE_SHARE = 0.8
#: Part of an engine's slots that is kept free for urgent requests, rounded up.
_RESERVED_SHARE = 0.05
#: Penalty in seconds for preempting a request, whose prompt has to be
#: prefilled again.
PREEMPTION_PENALTY_S = 0.1
#: Assumed seconds for which a request holds a slot, before the first sample.
_INITIAL_HOLD_S = 1.0
_HOLD_SMOOTHING = 0.05
#: Factor from the requests that an engine runs when it rejects another one to
#: the number of slots that it is assumed to have, if it does not tell.
_REJECTION_SHARE = 0.9
#: Slots by which that number grows with every request that ends.
_LIMIT_INCREASE = 0.05
#: Time that a stream may take, as a multiple of its time on an engine that
#: prefills nothing.
_MAXIMUM_SLOWDOWN = 3.0
#: Requests that an engine may always run, so that it is kept busy by prompts
#: with short responses.
_MINIMUM_CONCURRENCY = 8
#: Number of ended requests from which the concurrency is limited.
_MINIMUM_SAMPLES = 20


@dataclass(slots=True)
class EngineSlots:
    """The slots of one engine.

    :ivar use: what the requests of its service take.
    :ivar limit: number of slots.
    :ivar announced: whether the engine has announced that number.
    :ivar held: urgencies of the requests that hold slots, by request ID.
    :ivar full_until: clock time until which the engine counts as full after
        it rejected a request.
    :ivar brittle_limit: number of requests that it gets while it is brittle;
        it may have less room than slots.
    :ivar proven: requests that it has run at once without rejecting one since.
    :ivar rejected_at: times at which its latest rejections were reported.
    """

    use: ServiceUse
    limit: float
    announced: bool
    held: dict[str, int] = field(default_factory=dict)
    full_until: float = float('-inf')
    brittle_limit: float = math.inf
    proven: int = 0
    rejected_at: deque[float] = field(
        default_factory=lambda: deque(maxlen=_COUNTED_REJECTIONS)
    )

    @property
    def spare_limit(self) -> float:
        """Number of slots without the reserve for urgent requests."""
        if self.limit <= 1 or math.isinf(self.limit):
            return self.limit
        return self.limit - math.ceil(self.limit * _RESERVED_SHARE)

    @property
    def load(self) -> float:
        """Part of the slots without the reserve that are held."""
        return len(self.held) / max(1, self.spare_limit)

    def count(self, urgency: int) -> int:
        """Count the requests that a new one cannot preempt.

        :param urgency: urgency of the new request.
        :return: requests that are at least as urgent.
        """
        return sum(held <= urgency for held in self.held.values())


@dataclass(slots=True, frozen=True)
class StreamTime:
    """Measured time of a request at an engine.

    :ivar maximum_tokens: output limit of the request.
    :ivar held_s: seconds for which it held a slot.
    :ivar streamed_s: seconds from its first token to its end.
    :ivar interrupted_s: seconds that the engine prefilled in that time.
    """

    maximum_tokens: int
    held_s: float
    streamed_s: float
    interrupted_s: float


class ServiceUse:
    """What the requests of a service take from its engines, on average.

    :ivar hold_s: seconds for which a request holds a slot.
    :ivar prefill_s: seconds to prefill a prompt.
    """

    __slots__ = (
        '_alone_s',
        '_by_class',
        '_count',
        '_streamed_tokens',
        '_tokens',
        'hold_s',
        'prefill_s',
    )

    def __init__(self) -> None:
        """Start from the assumed values."""
        self.hold_s = _INITIAL_HOLD_S
        self._by_class: dict[str, float] = {}
        # Output limits of the requests that were sent and of those that have
        # ended; in the first seconds of a burst only the short ones have.
        self._tokens = float(0)
        self._streamed_tokens = float(0)
        self._alone_s = float(0)
        self.prefill_s = float(0)
        self._count = 0

    def note_request(self, maximum_tokens: int, prefill_s: float) -> None:
        """Update the mean size of requests.

        :param maximum_tokens: output limit of a request.
        :param prefill_s: seconds to prefill its prompt.
        """
        self._tokens = smooth(self._tokens, maximum_tokens, _HOLD_SMOOTHING)
        self.prefill_s = smooth(self.prefill_s, prefill_s, _HOLD_SMOOTHING)

    def learn_stream(self, class_name: str, sample: StreamTime) -> None:
        """Update the mean times from a request that has ended.

        :param class_name: class of the request.
        :param sample: its times.
        """
        self._count += 1
        weight = max(1 / self._count, _HOLD_SMOOTHING)
        alone_s = max(0, sample.streamed_s - sample.interrupted_s)
        self._alone_s = smooth(self._alone_s, alone_s, weight)
        self._streamed_tokens = smooth(
            self._streamed_tokens, sample.maximum_tokens, weight
        )
        self.hold_s = smooth(self.hold_s, sample.held_s, weight)
        known_s = self._by_class.get(class_name, sample.held_s)
        self._by_class[class_name] = smooth(
            known_s, sample.held_s, _HOLD_SMOOTHING
        )

    def predict_hold(self, class_name: str) -> float:
        """Predict for how long a request holds a slot.

        :param class_name: class of the request.
        :return: seconds.
        """
        return self._by_class.get(class_name, self.hold_s)

    def limit_concurrency(self) -> float:
        """Return the number of requests beside which a long prompt may run.

        With n requests at an engine, n prompts are prefilled while one of them
        streams its response. Only prompts of at least average length count, as
        the others hardly slow down the streams.
        """
        if self._count < _MINIMUM_SAMPLES or not self._streamed_tokens:
            return math.inf
        token_s = self._alone_s / self._streamed_tokens
        spare_s = self._tokens * token_s * (_MAXIMUM_SLOWDOWN - 1)
        return max(_MINIMUM_CONCURRENCY, spare_s / self.prefill_s)


class SlotTable:
    """Slots of engines, by the name of their incarnation."""

    __slots__ = ('_clock', '_engines', '_uses')

    def __init__(self, clock: Clock) -> None:
        """Create an empty table.

        :param clock: monotonic clock.
        """
        self._clock = clock
        self._engines: dict[str, EngineSlots] = {}
        self._uses: dict[str, ServiceUse] = {}

    def find(self, instance: Instance) -> EngineSlots:
        """Return the slots of an engine.

        :param instance: the engine.
        :return: its slots.
        """
        slots = self._engines.get(instance.incarnation_name)
        if slots is None:
            limit = instance.slots or math.inf
            slots = EngineSlots(
                self.find_use(instance.service),
                limit,
                announced=instance.slots > 0,
            )
            self._engines[instance.incarnation_name] = slots
        return slots

    def find_known(self, engine: str) -> EngineSlots | None:
        """Return the slots of an engine that has been used.

        :param engine: name of its incarnation.
        :return: its slots, ``None`` if it is unknown or has stopped.
        """
        return self._engines.get(engine)

    def begin(self, instance: Instance, request_id: str, urgency: int) -> None:
        """Record that a request is sent to an engine.

        :param instance: the engine.
        :param request_id: ID of the request.
        :param urgency: urgency of the request, 0 is the highest.
        """
        self.find(instance).held[request_id] = urgency

    def end(self, engine: str, request_id: str) -> None:
        """Record that a request has ended.

        :param engine: name of the engine's incarnation.
        :param request_id: ID of the request.
        """
        slots = self._engines.get(engine)
        if slots is None:
            return
        slots.held.pop(request_id, None)
        slots.brittle_limit += _LIMIT_INCREASE
        if not slots.announced:
            slots.limit += _LIMIT_INCREASE

    def note_rejection(self, engine: str) -> None:
        """Record that an engine rejected a request because it was full.

        :param engine: name of the engine's incarnation.
        """
        slots = self._engines.get(engine)
        if slots is None:
            return
        now = self._clock()
        slots.full_until = now + _REJECTION_MEMORY_S
        is_first = not slots.rejected_at or (
            now >= slots.rejected_at[-1] + _BRITTLE_MEMORY_S
        )
        slots.rejected_at.append(now)
        if is_first:
            slots.brittle_limit = max(1, len(slots.held) * _BRITTLE_SHARE)
            slots.proven = min(slots.proven, math.floor(slots.brittle_limit))
        if not slots.announced:
            slots.limit = max(1, len(slots.held) * _REJECTION_SHARE)

    def has_safe_room(
        self, slots: EngineSlots, outstanding: int, rejections_per_s: float
    ) -> bool:
        """Tell whether a brittle engine may get another request.

        Up to the number of requests that it has run at once it has room. Of
        those beyond, it gets no more than it can reject.

        :param slots: slots of the engine.
        :param outstanding: requests that it has not begun on.
        :param rejections_per_s: requests that it can reject in a second.
        """
        held = len(slots.held)
        slots.proven = max(slots.proven, held - outstanding)
        if held + 1 > min(slots.limit, slots.brittle_limit):
            return False
        if held < slots.proven:
            return True
        since = self._clock() - _BRITTLE_MEMORY_S
        rejected = sum(at > since for at in slots.rejected_at)
        return outstanding + rejected < max(1, rejections_per_s)

    def is_full(self, slots: EngineSlots, limit: float) -> bool:
        """Tell whether a request that does not preempt has to wait.

        :param slots: slots of an engine.
        :param limit: number of requests that may run there.
        """
        if slots.full_until > self._clock():
            return True
        return len(slots.held) + 1 > min(limit, slots.spare_limit)

    def predict_wait(self, slots: EngineSlots, limit: float) -> float:
        """Predict how long a request that does not preempt waits for a slot.

        :param slots: slots of an engine.
        :param limit: number of requests that may run there.
        :return: seconds, 0 if a slot is free.
        """
        if not self.is_full(slots, limit):
            return 0
        usable = max(1, min(limit, slots.spare_limit))
        excess = max(1, len(slots.held) + 1 - usable)
        return slots.use.hold_s * excess / usable

    def predict_urgent_wait(self, slots: EngineSlots, urgency: int) -> float:
        """Predict how long an urgent request waits for a slot.

        :param slots: slots of an engine.
        :param urgency: urgency of the request.
        :return: seconds, 0 if a slot is free, at most the penalty if the
            request preempts another one.
        """
        has_slot = len(slots.held) + 1 <= slots.limit
        if has_slot and slots.full_until <= self._clock():
            return 0
        excess = slots.count(urgency) + 1 - slots.limit
        if excess <= 0:
            return PREEMPTION_PENALTY_S
        return slots.use.hold_s * max(1, excess) / max(1, slots.limit)

    def find_use(self, service: str) -> ServiceUse:
        """Return what the requests of a service take.

        :param service: service name.
        """
        return self._uses.setdefault(service, ServiceUse())

    def forget(self, engine: str) -> None:
        """Remove an engine that has stopped.

        :param engine: name of its incarnation.
        """
        self._engines.pop(engine, None)
