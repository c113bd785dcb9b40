"""A model engine with continuous batching, as a fluid model.

Between two events every stream advances at a constant rate, so the model
is exact whatever the size of a time step.
"""

from __future__ import annotations

import enum
from collections import OrderedDict
from dataclasses import dataclass

_EPSILON = 1e-9
_FINISHED_KEPT = 512


@dataclass(slots=True, frozen=True)
class EngineProfile:
    """Speed and limits of an engine.

    :ivar sequences: streams that run at once.
    :ivar kv_tokens: tokens that the KV cache holds.
    :ivar prefill_rate: prompt tokens a second.
    :ivar decode_rate: tokens a second of a stream that runs alone.
    :ivar batch_penalty: slowdown of a stream by each other one.
    :ivar prefill_share: part of the decode rate left during a prefill.
    :ivar cached_prefixes: prefixes that the cache holds.
    """

    sequences: int = 16
    kv_tokens: int = 80000
    prefill_rate: float = 8000.0
    decode_rate: float = 60.0
    batch_penalty: float = 0.04
    prefill_share: float = 0.5
    cached_prefixes: int = 8


class StreamPhase(enum.Enum):
    """Phase of a stream."""

    WAITING = 'waiting'
    PREFILL = 'prefill'
    DECODE = 'decode'
    PAUSED = 'paused'
    FINISHED = 'finished'
    CANCELLED = 'cancelled'


@dataclass(slots=True, eq=False)
class EngineStream:
    """A completion that the engine works on.

    :ivar stream_id: identity given by the caller.
    :ivar prompt_tokens: length of the prompt.
    :ivar output_tokens: length of the whole output.
    :ivar priority: 0 is the highest.
    :ivar prefix: hash of the leading part of the prompt, 0 for none.
    :ivar prefix_tokens: tokens saved when the prefix is cached.
    :ivar offset: events that an earlier engine delivered of the answer.
    :ivar emitted: tokens generated, in fractions.
    :ivar phase: phase of the stream.
    :ivar prefill_left: prompt tokens still to be processed.
    :ivar first_at: time of the first token, ``None`` before.
    """

    stream_id: str
    prompt_tokens: int
    output_tokens: int
    priority: int = 0
    prefix: int = 0
    prefix_tokens: int = 0
    offset: int = 0
    emitted: float = float(0)
    phase: StreamPhase = StreamPhase.WAITING
    prefill_left: float = float(0)
    first_at: float | None = None

    @property
    def kv_tokens(self) -> int:
        """KV tokens set aside."""
        return self.prompt_tokens + self.output_tokens

    @property
    def tokens(self) -> int:
        """Whole tokens generated."""
        return int(self.emitted + _EPSILON)

    def has_ended(self) -> bool:
        """Tell whether nothing more will come."""
        return self.phase in {StreamPhase.FINISHED, StreamPhase.CANCELLED}


class EngineModel:
    """The state of an engine.

    :ivar profile: speed and limits.
    :ivar speed: factor on all rates, below 1 for a slow engine.
    :ivar streams: streams that have not ended, by identity.
    :ivar generated: tokens generated in all.
    """

    __slots__ = (
        '_cache',
        '_ended',
        '_now',
        'generated',
        'profile',
        'speed',
        'streams',
    )

    def __init__(self, profile: EngineProfile, now: float) -> None:
        """Create an idle engine.

        :param profile: speed and limits.
        :param now: current time in seconds.
        """
        self.profile = profile
        self.speed = float(1)
        self.streams: dict[str, EngineStream] = {}
        self.generated = float(0)
        self._now = now
        self._cache: OrderedDict[int, None] = OrderedDict()
        self._ended: OrderedDict[str, EngineStream] = OrderedDict()

    def submit(self, stream: EngineStream, now: float) -> None:
        """Start a stream.

        :param stream: the stream.
        :param now: current time in seconds.
        """
        self.advance(now)
        self.streams[stream.stream_id] = stream
        stream.phase = StreamPhase.WAITING
        self._admit()

    def cancel(self, stream_id: str, now: float) -> None:
        """Stop a stream for good.

        :param stream_id: identity of the stream.
        :param now: current time in seconds.
        """
        self.advance(now)
        stream = self.streams.get(stream_id)
        if stream is not None:
            self._end(stream, StreamPhase.CANCELLED)
            self._admit()

    def pause(self, stream_id: str, now: float, *, paused: bool) -> bool:
        """Pause or resume a stream; its KV tokens stay set aside.

        :param stream_id: identity of the stream.
        :param now: current time in seconds.
        :param paused: true to pause, false to resume.
        :return: whether the phase changed.
        """
        self.advance(now)
        stream = self.streams.get(stream_id)
        if stream is None:
            return False
        changed = False
        if paused and stream.phase == StreamPhase.DECODE:
            stream.phase = StreamPhase.PAUSED
            changed = True
        if not paused and stream.phase == StreamPhase.PAUSED:
            stream.phase = StreamPhase.WAITING
            changed = True
        self._admit()
        return changed

    def advance(self, now: float) -> None:
        """Bring all streams up to a time.

        :param now: current time in seconds.
        """
        while self._now < now:
            step = min(now - self._now, self._time_to_event())
            self._progress(step)
            self._now += step
            self._complete()
            if step <= 0:
                break
        self._now = max(self._now, now)

    def next_event_at(self) -> float:
        """Return when a stream gets its first token or ends.

        :return: time in seconds; infinite when nothing runs.
        """
        return self._now + self._time_to_event()

    def find(self, stream_id: str) -> EngineStream | None:
        """Find a stream, also one that ended a while ago.

        :param stream_id: identity of the stream.
        :return: the stream, or ``None``.
        """
        return self.streams.get(stream_id) or self._ended.get(stream_id)

    def lose(self, stream_id: str) -> None:
        """Forget a stream as a crash would.

        :param stream_id: identity of the stream.
        """
        self.streams.pop(stream_id, None)
        self._ended.pop(stream_id, None)

    def count_running(self) -> int:
        """Count streams that are prefilled or decoded."""
        return sum(
            1
            for stream in self.streams.values()
            if stream.phase in {StreamPhase.PREFILL, StreamPhase.DECODE}
        )

    def count_waiting(self) -> int:
        """Count streams in the engine's own queue."""
        return sum(
            1
            for stream in self.streams.values()
            if stream.phase == StreamPhase.WAITING
        )

    def count_kv_tokens(self) -> int:
        """Count the KV tokens set aside."""
        return sum(
            stream.kv_tokens
            for stream in self.streams.values()
            if stream.phase != StreamPhase.WAITING
        )

    def list_cached(self) -> list[int]:
        """List the prefixes in the cache, the oldest first."""
        return list(self._cache)

    def _admit(self) -> None:
        waiting = [
            stream
            for stream in self.streams.values()
            if stream.phase == StreamPhase.WAITING
        ]
        waiting.sort(key=lambda stream: stream.priority)
        for stream in waiting:
            if self.count_running() >= self.profile.sequences:
                return
            resumed = stream.emitted > 0 and stream.first_at is not None
            if not resumed:
                used = self.count_kv_tokens()
                if used and used + stream.kv_tokens > self.profile.kv_tokens:
                    return
            self._start(stream, resumed=resumed)

    def _start(self, stream: EngineStream, *, resumed: bool) -> None:
        if resumed:
            stream.phase = StreamPhase.DECODE
            return
        left = float(stream.prompt_tokens)
        if stream.prefix:
            if stream.prefix in self._cache:
                left = max(float(1), left - stream.prefix_tokens)
            self._cache[stream.prefix] = None
            self._cache.move_to_end(stream.prefix)
            if len(self._cache) > self.profile.cached_prefixes:
                self._cache.popitem(last=False)
        stream.prefill_left = left
        stream.phase = StreamPhase.PREFILL

    def _find_prefill(self) -> EngineStream | None:
        prefills = [
            stream
            for stream in self.streams.values()
            if stream.phase == StreamPhase.PREFILL
        ]
        return min(prefills, key=lambda stream: stream.priority, default=None)

    def _decode_rate(self, decoding: int, *, prefilling: bool) -> float:
        profile = self.profile
        slowdown = 1 + profile.batch_penalty * max(0, decoding - 1)
        rate = profile.decode_rate * self.speed / slowdown
        return rate * profile.prefill_share if prefilling else rate

    def _list_decoding(self) -> list[EngineStream]:
        return [
            stream
            for stream in self.streams.values()
            if stream.phase == StreamPhase.DECODE
        ]

    def _time_to_event(self) -> float:
        if self.speed <= 0:
            return float('inf')
        prefill = self._find_prefill()
        decoding = self._list_decoding()
        shortest = float('inf')
        if prefill is not None:
            rate = self.profile.prefill_rate * self.speed
            shortest = prefill.prefill_left / rate
        if decoding:
            rate = self._decode_rate(
                len(decoding), prefilling=prefill is not None
            )
            left = min(
                stream.output_tokens - stream.emitted for stream in decoding
            )
            shortest = min(shortest, left / rate)
        return max(shortest, _EPSILON)

    def _progress(self, step: float) -> None:
        if self.speed <= 0:
            return
        prefill = self._find_prefill()
        decoding = self._list_decoding()
        if prefill is not None:
            prefill.prefill_left -= (
                step * self.profile.prefill_rate * self.speed
            )
        rate = self._decode_rate(len(decoding), prefilling=prefill is not None)
        for stream in decoding:
            stream.emitted += step * rate
        self.generated += step * rate * len(decoding)

    def _complete(self) -> None:
        changed = False
        for stream in list(self.streams.values()):
            prefilled = stream.phase == StreamPhase.PREFILL
            if prefilled and stream.prefill_left <= _EPSILON:
                stream.phase = StreamPhase.DECODE
                stream.emitted += 1
                self.generated += 1
                stream.first_at = self._now
                changed = True
            decoded = stream.phase == StreamPhase.DECODE
            if decoded and stream.emitted >= stream.output_tokens - _EPSILON:
                stream.emitted = float(stream.output_tokens)
                self._end(stream, StreamPhase.FINISHED)
                changed = True
        if changed:
            self._admit()

    def _end(self, stream: EngineStream, phase: StreamPhase) -> None:
        stream.phase = phase
        self.streams.pop(stream.stream_id, None)
        self._ended[stream.stream_id] = stream
        if len(self._ended) > _FINISHED_KEPT:
            self._ended.popitem(last=False)
