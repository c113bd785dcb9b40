"""What an allocator knows of a backend server."""

from __future__ import annotations

from dataclasses import dataclass

from egretdale.state.messages import Ask
from egretdale.state.queues import WaitingRequest
from egretdale.util.averages import smooth

_LIMIT_DECREASE = 0.9
_LIMIT_INCREASE = 0.5
_LIMIT_PERIOD_S = 1.0
_RELAXED_SHARE = 0.8
_SUSPENSION_START_S = 0.5
_SUSPENSION_MAXIMUM_S = 10.0
_SPEED_SMOOTHING = 0.3
_SHORTEST_S = 0.001
_CAUTION = 1.5
_LARGEST_RATIO = 10.0
_DEFAULT_KV_TOKENS = 1000000


@dataclass(slots=True, frozen=True)
class BackendAddress:
    """A backend server in the platform's list.

    :ivar service: service that it belongs to.
    :ivar name: name of the backend server.
    :ivar address: ``address:port``.
    :ivar incarnation: incarnation given by the list.
    :ivar data_centre: its data centre.
    :ivar leaving: whether it takes no new work any more.
    """

    service: str
    name: str
    address: str
    incarnation: int
    data_centre: str = ''
    leaving: bool = False


@dataclass(slots=True, frozen=True)
class LoadReport:
    """A backend server's own report, already old when it arrives.

    :ivar running: requests that it runs.
    :ivar waiting: requests that it queues.
    :ivar kv_tokens: tokens held in its KV cache.
    :ivar kv_limit: tokens that its KV cache can hold.
    :ivar leaving: whether it says that it takes no new work any more.
    """

    running: int
    waiting: int
    kv_tokens: int
    kv_limit: int
    leaving: bool = False


@dataclass(slots=True, eq=False)
class HeldSlot:
    """A slot that is in use.

    :ivar ask: the request.
    :ivar host: entry host that holds it.
    :ivar waiting: the request as it waited.
    :ivar granted_at: monotonic seconds of the grant.
    :ivar reserved_tokens: KV tokens set aside.
    :ivar minimum_share: whether the minimum share of its class chose it.
    :ivar tokens: tokens delivered so far.
    :ivar first_token_s: seconds from grant to first token, ``None`` before.
    :ivar paused: whether its stream is paused.
    :ivar seen_at: monotonic seconds of the last progress.
    :ivar was_paused: whether it has ever been paused.
    :ivar backend: name of the backend server.
    """

    ask: Ask
    host: str
    waiting: WaitingRequest
    granted_at: float
    reserved_tokens: int
    minimum_share: bool = False
    tokens: int = 0
    first_token_s: float | None = None
    paused: bool = False
    seen_at: float = float('-inf')
    was_paused: bool = False
    backend: str = ''

    @property
    def first_token_at(self) -> float:
        """Monotonic seconds of the first token, expected or reported."""
        if self.first_token_s is None and not self.tokens:
            return self.granted_at + self.waiting.first_token_s * _CAUTION
        return self.granted_at

    @property
    def tier(self) -> int:
        """Tier of the request."""
        return self.waiting.tier


class BackendView:
    """A backend server as the allocator of its group sees it.

    :ivar address: its entry in the platform's list.
    :ivar held: slots in use by request identity; changed by methods only.
    :ivar limit: requests that it may run at once, adapted to its speed.
    :ivar kv_limit: tokens that its KV cache holds, as last reported.
    :ivar token_s: mean seconds between tokens of a stream; ``None`` before
        anything was measured.
    :ivar first_token_factor: ratio of first-token times to what was predicted.
    """

    __slots__ = (
        '_adapted_at',
        '_failures',
        '_maximum',
        '_reserved',
        '_running',
        '_suspended_until',
        'address',
        'first_token_factor',
        'held',
        'kv_limit',
        'limit',
        'token_s',
    )

    def __init__(self, address: BackendAddress, maximum: int) -> None:
        """Create a view without history.

        :param address: its entry in the platform's list.
        :param maximum: requests that the document allows at once.
        """
        self.address = address
        self.held: dict[str, HeldSlot] = {}
        self.limit = float(maximum)
        self.token_s: float | None = None
        self.first_token_factor = float(1)
        self._maximum = maximum
        self._adapted_at = float(0)
        self._failures = 0
        self._suspended_until = float(0)
        self._reserved = 0
        self._running = 0
        self.kv_limit = _DEFAULT_KV_TOKENS

    @property
    def name(self) -> str:
        """Name of the backend server."""
        return self.address.name

    def apply_maximum(self, maximum: int) -> None:
        """Apply a changed document.

        :param maximum: requests that the document allows at once.
        """
        if maximum != self._maximum:
            self._maximum = maximum
            self.limit = float(maximum)

    def is_usable(self, now: float) -> bool:
        """Tell whether it may get new work.

        :param now: monotonic seconds.
        :return: false while it is leaving or suspended after failures.
        """
        if self.address.leaving or now < self._suspended_until:
            return False
        # After a suspension a single request probes the backend server.
        return not (self._failures and self.count_running())

    def measure_suspension(self, now: float) -> float:
        """Measure how long it stays suspended.

        :param now: monotonic seconds.
        :return: seconds.
        """
        return max(float(0), self._suspended_until - now)

    def hold(self, held: HeldSlot) -> None:
        """Put a slot to use.

        :param held: the slot.
        """
        self.held[held.ask.request_id] = held
        self._reserved += held.reserved_tokens
        self._running += not held.paused

    def drop(self, request_id: str) -> None:
        """Free a slot.

        :param request_id: identity of the request.
        """
        held = self.held.pop(request_id, None)
        if held is not None:
            self._reserved -= held.reserved_tokens
            self._running -= not held.paused

    def pause(self, held: HeldSlot, *, paused: bool) -> None:
        """Mark a stream as paused or running.

        :param held: the slot.
        :param paused: whether it is paused.
        """
        if held.paused != paused:
            held.paused = paused
            self._running += -1 if paused else 1

    def count_running(self) -> int:
        """Count the slots in use whose streams are not paused."""
        return self._running

    def count_free_tokens(self) -> int:
        """Count the KV tokens that may still be set aside."""
        return self.kv_limit - self._reserved

    def count_prefill_tokens(self, now: float) -> int:
        """Count prompt tokens of requests that have no first token yet.

        :param now: monotonic seconds.
        :return: tokens.
        """
        return sum(
            held.ask.prompt_tokens
            for held in self.held.values()
            if now < held.first_token_at and not held.paused
        )

    def accept_report(self, report: LoadReport, now: float) -> None:
        """Keep a load report.

        :param report: the report.
        :param now: monotonic seconds.
        """
        self.kv_limit = report.kv_limit
        if now >= self._suspended_until and not self.held:
            self._failures = 0

    def learn_token_time(self, sample_s: float) -> None:
        """Learn the time between two tokens.

        :param sample_s: measured seconds between tokens.
        """
        previous = sample_s if self.token_s is None else self.token_s
        self.token_s = smooth(previous, sample_s, _SPEED_SMOOTHING)

    def adapt_limit(self, now: float, target_s: float) -> None:
        """Adapt the limit to the time between tokens.

        :param now: monotonic seconds.
        :param target_s: tightest target among the requests it runs.
        """
        if self.token_s is None or now - self._adapted_at < _LIMIT_PERIOD_S:
            return
        self._adapted_at = now
        if self.token_s > target_s:
            self.limit = max(float(1), self.limit * _LIMIT_DECREASE)
        elif self.token_s < target_s * _RELAXED_SHARE:
            raised = self.limit + _LIMIT_INCREASE
            self.limit = min(float(self._maximum), raised)

    def learn_first_token(self, measured_s: float, predicted_s: float) -> None:
        """Learn how first-token times compare with predictions.

        :param measured_s: seconds from grant to first token.
        :param predicted_s: seconds that were predicted.
        """
        ratio = measured_s / max(predicted_s, _SHORTEST_S)
        self.first_token_factor = smooth(
            self.first_token_factor, min(ratio, _LARGEST_RATIO)
        )

    def note_failure(self, now: float) -> None:
        """Suspend it after a failure, longer each time.

        :param now: monotonic seconds.
        """
        pause_s = _SUSPENSION_START_S * 2**self._failures
        self._suspended_until = now + min(pause_s, _SUSPENSION_MAXIMUM_S)
        self._failures += 1

    def note_unanswered_poll(self, now: float) -> None:
        """Suspend it for a short time when a load report does not come.

        :param now: monotonic seconds.
        """
        if now >= self._suspended_until:
            self.note_failure(now)

    def note_success(self) -> None:
        """Lift the suspension after an answer that was whole."""
        self._failures = 0
