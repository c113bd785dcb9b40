"""A model engine with continuous batching, step by step.

Each step produces one token for every decoding request and prefills a chunk
of the waiting prompts, so long prompts stretch the pauses of the streams
beside them. Parts of prompts stay cached until others need their memory.
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
    :ivar kv_tokens: tokens that running requests and cached parts share.
    :ivar step_s: seconds of a step without any work.
    :ivar running_s: seconds that a decoding request adds to a step.
    :ivar context_s: seconds that 1,000 tokens of context add to a step.
    :ivar prefill_rate: prompt tokens that are prefilled in a second.
    :ivar attention_s: seconds that a million pairs of a prompt token and an
        earlier one add.
    :ivar chunk: prompt tokens that one step prefills at most.
    :ivar stride: tokens in one event of a stream.
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


@dataclass(slots=True, eq=False)
class BatchRun:
    """A request that the engine works on.

    :ivar request_id: its identity.
    :ivar parts: parts of its prompt in order; the last is its own.
    :ivar output_tokens: length of its output.
    :ivar urgency: 0 is served first.
    :ivar notify: called with the number of complete events.
    :ivar number: place in the order of arrival.
    :ivar prefill_left: prompt tokens still to be prefilled.
    :ivar emitted: tokens produced.
    :ivar memory: tokens that it holds besides cached parts.
    """

    request_id: str
    parts: tuple[PromptPart, ...]
    output_tokens: int
    urgency: int
    notify: Callable[[int], None]
    number: int = 0
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
    """What an engine has done.

    :ivar prefilled: prompt tokens prefilled.
    :ivar preempted: requests that lost their memory.
    """

    prefilled: int = 0
    preempted: int = 0


@dataclass(slots=True)
class _Step:
    prefills: list[tuple[BatchRun, int]] = field(default_factory=list)
    decoding: list[BatchRun] = field(default_factory=list)


class BatchEngine:
    """The state of an engine.

    :ivar profile: speed and limits.
    :ivar counts: what it has done.
    """

    __slots__ = (
        '_cache',
        '_number',
        '_running',
        '_step',
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
        self._number = 0
        self._step = _Step()

    def is_idle(self) -> bool:
        """Tell whether there is nothing to do."""
        return not self._running and not self._waiting

    def submit(self, run: BatchRun) -> None:
        """Take in a request.

        :param run: the request.
        """
        self._number += 1
        run.number = self._number
        self._waiting.append(run)

    def cancel(self, run: BatchRun) -> None:
        """Stop a request for good.

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
        for run in sorted(self._running, key=_rank):
            if run.prefill_left:
                tokens = min(budget, run.prefill_left)
                budget -= tokens
                if tokens:
                    step.prefills.append((run, tokens))
            else:
                step.decoding.append(run)
        self._step = step
        return self._measure(step)

    def end_step(self) -> None:
        """Do the work that was chosen and notify of complete events."""
        step = self._step
        self._step = _Step()
        for run, tokens in step.prefills:
            if run in self._running:
                self._prefill(run, tokens)
        for decoding in step.decoding:
            if decoding in self._running:
                self._decode(decoding)

    def _measure(self, step: _Step) -> float:
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
            # Shared parts that were prefilled now belong to the cache.
            run.memory -= self._cache.add(run.request_id, run.parts[:-1])
            self._emit(run)

    def _decode(self, run: BatchRun) -> None:
        run.memory += 1
        self._emit(run)

    def _emit(self, run: BatchRun) -> None:
        before = run.count_events(self.profile.stride)
        run.emitted += 1
        events = run.count_events(self.profile.stride) - before
        if run.has_ended():
            self._release(run)
        if events:
            run.notify(events)

    def _admit(self) -> None:
        self._waiting.sort(key=_rank)
        while self._waiting and self._make_room(self._waiting[0]):
            self._start(self._waiting.pop(0))
        self._shrink()

    def _make_room(self, run: BatchRun) -> bool:
        """Make room for a request, if need be by preemption.

        :param run: the request.
        :return: whether there is room.
        """
        while not self._has_room(run):
            last = max(self._running, key=_rank)
            if last.urgency <= run.urgency:
                return False
            self._preempt(last)
        return True

    def _has_room(self, run: BatchRun) -> bool:
        if not self._running:
            return True
        if len(self._running) >= self.profile.slots:
            return False
        held = sum(entry.memory for entry in self._running)
        needed = held + self._cache.count_used() + run.prompt_tokens
        return needed <= self.profile.kv_tokens

    def _start(self, run: BatchRun) -> None:
        cached = self._cache.use(run.request_id, run.parts)
        # At least the last token is computed for the first output token.
        run.prefill_left = max(1, run.prompt_tokens - cached)
        run.memory = run.prompt_tokens - cached
        run.emitted = 0
        self._running.append(run)

    def _shrink(self) -> None:
        """Give up cached parts, then requests, until the memory suffices."""
        while True:
            held = sum(entry.memory for entry in self._running)
            if self._cache.shrink(self.profile.kv_tokens - held):
                return
            if len(self._running) < 2:
                return
            self._preempt(max(self._running, key=_rank))

    def _preempt(self, run: BatchRun) -> None:
        self.counts.preempted += 1
        self._running.remove(run)
        self._cache.release(run.request_id, run.parts)
        self._waiting.append(run)

    def _release(self, run: BatchRun) -> None:
        self._running.remove(run)
        self._cache.release(run.request_id, run.parts)


def _rank(run: BatchRun) -> tuple[int, int]:
    return run.urgency, run.number
