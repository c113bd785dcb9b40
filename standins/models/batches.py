"""A model engine with continuous batching, simulated step by step.

Each step produces one token for every decoding request and prefills a chunk
of the admitted prompts, so long prompts delay the tokens of the streams in the
same batch. Prompt parts stay cached until their memory is needed.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from egretdale.coordination.exchanges import PromptPart
from standins.models.parts import PartCache

_TOKENS_PER_K = 1000.0
_PAIRS_PER_M = 1000000.0


@dataclass(slots=True, frozen=True)
class BatchProfile:
    """Speed and limits of an engine.

    :ivar slots: requests that run at once.
    :ivar kv_tokens: KV memory in tokens, for running requests and cached
        parts together.
    :ivar step_s: fixed seconds of each step.
    :ivar running_s: seconds that a decoding request adds to a step.
    :ivar context_s: seconds that 1,000 tokens of context add to a step.
    :ivar prefill_rate: prompt tokens that are prefilled in a second.
    :ivar attention_s: seconds that attention adds for a million pairs of a
        prompt token and an earlier one.
    :ivar chunk: maximum prompt tokens that one step prefills.
    :ivar stride: tokens in one event of a stream.
    :ivar queue: requests that wait beside the running ones before further
        ones are rejected.
    """

    slots: int = 128
    kv_tokens: int = 1300000
    step_s: float = 0.00355
    running_s: float = 0.0000462
    context_s: float = 0.00000115
    prefill_rate: float = 157000.0
    attention_s: float = 0.000109
    chunk: int = 4096
    stride: int = 5
    queue: int = 1000


@dataclass(slots=True, eq=False)
class BatchRun:
    """A request that the engine works on.

    :ivar request_id: its identity.
    :ivar parts: parts of its prompt in order; the last is not shared.
    :ivar output_tokens: length of its output.
    :ivar urgency: 0 is the most urgent.
    :ivar notify: called with the number of newly completed events.
    :ivar arrival_number: position in the order of arrival.
    :ivar prefill_left: prompt tokens still to be prefilled.
    :ivar emitted: output tokens produced.
    :ivar memory: tokens of KV memory that it uses besides cached parts.
    """

    request_id: str
    parts: tuple[PromptPart, ...]
    output_tokens: int
    urgency: int
    notify: Callable[[int], None]
    arrival_number: int = 0
    prefill_left: int = 0
    emitted: int = 0
    memory: int = 0

    @property
    def prompt_tokens(self) -> int:
        """Length of the prompt in tokens."""
        return sum(part.tokens for part in self.parts)

    def has_ended(self) -> bool:
        """Tell whether the whole output has been produced."""
        return self.emitted >= self.output_tokens

    def count_events(self, stride: int) -> int:
        """Count the complete events.

        :param stride: tokens in one event.
        """
        if self.has_ended():
            return -(-self.emitted // stride)
        return self.emitted // stride


@dataclass(slots=True)
class BatchCounts:
    """Counters of an engine.

    :ivar prefilled: prompt tokens prefilled.
    :ivar preempted: preemptions of running requests.
    """

    prefilled: int = 0
    preempted: int = 0


@dataclass(slots=True)
class _Step:
    prefills: list[tuple[BatchRun, int]] = field(default_factory=list)
    decoding: list[BatchRun] = field(default_factory=list)


class BatchEngine:
    """The queue, the batch and the cache of an engine.

    :ivar profile: speed and limits.
    :ivar counts: counters of its work.
    """

    __slots__ = (
        '_cache',
        '_running',
        '_step',
        '_submitted',
        '_waiting',
        'counts',
        'profile',
    )

    def __init__(self, profile: BatchProfile) -> None:
        """Create an idle engine with an empty cache.

        :param profile: speed and limits.
        """
        self.profile = profile
        self.counts = BatchCounts()
        self._cache = PartCache()
        self._running: list[BatchRun] = []
        self._waiting: list[BatchRun] = []
        self._submitted = 0
        self._step = _Step()

    def is_idle(self) -> bool:
        """Tell whether no request is running or waiting."""
        return not self._running and not self._waiting

    def is_full(self) -> bool:
        """Tell whether a new request would be rejected."""
        return len(self._waiting) >= self.profile.queue

    def submit(self, run: BatchRun) -> None:
        """Queue a request.

        :param run: the request.
        """
        self._submitted += 1
        run.arrival_number = self._submitted
        self._waiting.append(run)

    def cancel(self, run: BatchRun) -> None:
        """Cancel a request.

        :param run: the request.
        """
        if run in self._waiting:
            self._waiting.remove(run)
        elif run in self._running:
            self._release(run)

    def begin_step(self) -> float:
        """Admit requests and choose the work of the next step.

        :return: seconds that the step takes.
        """
        self._admit()
        step = _Step()
        budget = self.profile.chunk
        for run in sorted(self._running, key=_get_sort_key):
            if run.prefill_left:
                tokens = min(budget, run.prefill_left)
                budget -= tokens
                if tokens:
                    step.prefills.append((run, tokens))
            else:
                step.decoding.append(run)
        self._step = step
        return self._compute_duration(step)

    def end_step(self) -> None:
        """Apply the work of the step and report completed events."""
        step = self._step
        self._step = _Step()
        for run, tokens in step.prefills:
            if run in self._running:
                self._prefill(run, tokens)
        for decoding in step.decoding:
            if decoding in self._running:
                self._decode(decoding)

    def _compute_duration(self, step: _Step) -> float:
        profile = self.profile
        context = sum(run.prompt_tokens + run.emitted for run in step.decoding)
        tokens = sum(count for _, count in step.prefills)
        pairs = sum(
            count * (run.prompt_tokens - run.prefill_left)
            for run, count in step.prefills
        )
        return (
            profile.step_s
            + len(step.decoding) * profile.running_s
            + context / _TOKENS_PER_K * profile.context_s
            + tokens / profile.prefill_rate
            + pairs / _PAIRS_PER_M * profile.attention_s
        )

    def _prefill(self, run: BatchRun, tokens: int) -> None:
        run.prefill_left -= tokens
        self.counts.prefilled += tokens
        if not run.prefill_left:
            # Prefilled shared parts now count as memory of the cache.
            run.memory -= self._cache.add(run.request_id, run.parts[:-1])
            self._emit(run)

    def _decode(self, run: BatchRun) -> None:
        run.memory += 1
        self._emit(run)

    def _emit(self, run: BatchRun) -> None:
        delivered = run.count_events(self.profile.stride)
        run.emitted += 1
        events = run.count_events(self.profile.stride) - delivered
        if run.has_ended():
            self._release(run)
        if events:
            run.notify(events)

    def _admit(self) -> None:
        self._waiting.sort(key=_get_sort_key)
        while self._waiting and self._make_capacity(self._waiting[0]):
            self._start(self._waiting.pop(0))
        self._reclaim_memory()

    def _make_capacity(self, run: BatchRun) -> bool:
        """Make room for a request, preempting less urgent ones if needed.

        :param run: the request.
        :return: whether the request can be started.
        """
        while not self._has_capacity(run):
            victim = max(self._running, key=_get_sort_key)
            if victim.urgency <= run.urgency:
                return False
            self._preempt(victim)
        return True

    def _has_capacity(self, run: BatchRun) -> bool:
        if not self._running:
            return True
        if len(self._running) >= self.profile.slots:
            return False
        used = sum(entry.memory for entry in self._running)
        needed = used + self._cache.count_used() + run.prompt_tokens
        return needed <= self.profile.kv_tokens

    def _start(self, run: BatchRun) -> None:
        cached = self._cache.acquire(run.request_id, run.parts)
        # The first output token needs at least the last prompt token computed.
        run.prefill_left = max(1, run.prompt_tokens - cached)
        run.memory = run.prompt_tokens - cached
        run.emitted = 0
        self._running.append(run)

    def _reclaim_memory(self) -> None:
        """Evict cached parts, then preempt requests, until memory suffices."""
        while True:
            used = sum(entry.memory for entry in self._running)
            if self._cache.evict(self.profile.kv_tokens - used):
                return
            if len(self._running) < 2:
                return
            self._preempt(max(self._running, key=_get_sort_key))

    def _preempt(self, run: BatchRun) -> None:
        self.counts.preempted += 1
        self._running.remove(run)
        self._cache.release(run.request_id, run.parts)
        self._waiting.append(run)

    def _release(self, run: BatchRun) -> None:
        self._running.remove(run)
        self._cache.release(run.request_id, run.parts)


def _get_sort_key(run: BatchRun) -> tuple[int, int]:
    return run.urgency, run.arrival_number
