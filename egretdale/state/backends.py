"""Backend servers as an allocator sees them."""

from __future__ import annotations

from dataclasses import dataclass

from egretdale.state.messages import Ask
from egretdale.state.queues import WaitingRequest
from egretdale.util.averages import smooth

_LIMIT_DECREASE = 0.9
_LIMIT_INCREASE = 0.5
_LIMIT_PERIOD_S = 1.0
_INCREASE_BELOW_SHARE = 0.8
_SUSPENSION_START_S = 0.5
_SUSPENSION_MAXIMUM_S = 10.0
_SPEED_SMOOTHING = 0.3
_MINIMUM_PREDICTION_S = 0.001
_SAFETY_FACTOR = 1.5
_MAXIMUM_RATIO = 10.0
_DEFAULT_KV_TOKENS = 1000000


@dataclass(slots=True, frozen=True)
class BackendAddress:
    """An entry of the platform's list of backend servers.

    :ivar service: service that it belongs to.
    :ivar name: name of the backend server.
    :ivar address: ``address:port``.
    :ivar incarnation: incarnation number given by the list.
    :ivar data_centre: its data centre.
    :ivar leaving: whether it no longer accepts new work.
    """

    service: str
    name: str
    address: str
    incarnation: int
    data_centre: str = ''
    leaving: bool = False


@dataclass(slots=True, frozen=True)
class LoadReport:
    """A backend server's report of its load, already old when it arrives.

    :ivar running: number of running requests.
    :ivar waiting: number of queued requests.
    :ivar kv_tokens: number of tokens in its KV cache.
    :ivar kv_limit: capacity of its KV cache in tokens.
    :ivar leaving: whether it reports that it no longer accepts new work.
    """

    running: int
    waiting: int
    kv_tokens: int
    kv_limit: int
    leaving: bool = False


@dataclass(slots=True, eq=False)
class HeldSlot:
    """A slot that is in use by a request.

    :ivar ask: the request.
    :ivar host: entry host that holds the slot.
    :ivar waiting: the request as it was queued.
    :ivar granted_at: monotonic time of the grant in seconds.
    :ivar reserved_tokens: number of KV cache tokens reserved for it.
    :ivar minimum_share: whether it was granted from the minimum share of its
        class.
    :ivar tokens: tokens delivered so far.
    :ivar first_token_s: seconds from the grant to the first token, ``None``
        before the first token.
    :ivar paused: whether its stream is paused.
    :ivar progressed_at: monotonic time of the last progress in seconds.
    :ivar was_paused: whether its stream has ever been paused.
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
    progressed_at: float = float('-inf')
    was_paused: bool = False
    backend: str = ''

    @property
    def first_token_at(self) -> float:
        """Monotonic time at which the prompt counts as prefilled.

        Until the first token is reported, this is the predicted time with a
        safety factor; after that, the time of the grant.
        """
        if self.first_token_s is None and not self.tokens:
            return self.granted_at + self.waiting.first_token_s * _SAFETY_FACTOR
        return self.granted_at

    @property
    def tier(self) -> int:
        """Priority tier of the request."""
        return self.waiting.tier


class BackendView:
    """A backend server as the allocator of its group sees it.

    :ivar entry: its entry in the platform's list.
    :ivar held: slots in use by request ID; modify it only through the
        methods of this class.
    :ivar limit: number of requests that it may run at once, adapted to its
        speed.
    :ivar kv_limit: capacity of its KV cache in tokens, as last reported.
    :ivar token_s: mean seconds between two tokens of a stream; ``None``
        before the first measurement.
    :ivar first_token_factor: smoothed ratio of measured to predicted times
        to the first token.
    """

    __slots__ = (
        '_adapted_at',
        '_failures',
        '_maximum',
        '_reserved',
        '_running',
        '_suspended_until',
        'entry',
        'first_token_factor',
        'held',
        'kv_limit',
        'limit',
        'token_s',
    )

    def __init__(self, entry: BackendAddress, maximum: int) -> None:
        """Create a view without history.

        :param entry: its entry in the platform's list.
        :param maximum: concurrent requests that the document allows.
        """
        self.entry = entry
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
        return self.entry.name

    def apply_maximum(self, maximum: int) -> None:
        """Apply a changed document.

        :param maximum: concurrent requests that the document allows.
        """
        if maximum != self._maximum:
            self._maximum = maximum
            self.limit = float(maximum)

    def is_usable(self, now: float) -> bool:
        """Return whether it may be given new requests.

        :param now: monotonic seconds.
        :return: false while it is leaving, or suspended after failures.
        """
        if self.entry.leaving or now < self._suspended_until:
            return False
        # After a suspension a single request probes the backend server.
        return not (self._failures and self.count_running())

    def measure_suspension(self, now: float) -> float:
        """Return how long it remains suspended.

        :param now: monotonic seconds.
        :return: seconds, 0 if it is not suspended.
        """
        return max(float(0), self._suspended_until - now)

    def hold(self, held: HeldSlot) -> None:
        """Record a slot as in use.

        :param held: the slot.
        """
        self.held[held.ask.request_id] = held
        self._reserved += held.reserved_tokens
        self._running += not held.paused

    def release(self, request_id: str) -> None:
        """Release a slot.

        :param request_id: ID of the request.
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
        """Count the KV cache tokens that are not reserved."""
        return self.kv_limit - self._reserved

    def count_prefill_tokens(self, now: float) -> int:
        """Count the prompt tokens that still have to be prefilled.

        :param now: monotonic seconds.
        :return: tokens of requests without a first token.
        """
        return sum(
            held.ask.prompt_tokens
            for held in self.held.values()
            if now < held.first_token_at and not held.paused
        )

    def accept_report(self, report: LoadReport, now: float) -> None:
        """Apply a load report.

        :param report: the report.
        :param now: monotonic seconds.
        """
        self.kv_limit = report.kv_limit
        if now >= self._suspended_until and not self.held:
            self._failures = 0

    def learn_token_time(self, sample_s: float) -> None:
        """Update the mean time between two tokens.

        :param sample_s: measured seconds between two tokens.
        """
        previous = sample_s if self.token_s is None else self.token_s
        self.token_s = smooth(previous, sample_s, _SPEED_SMOOTHING)

    def adapt_limit(self, now: float, target_s: float) -> None:
        """Adapt the concurrency limit to the time between tokens.

        The limit is decreased by a factor and increased by a constant.

        :param now: monotonic seconds.
        :param target_s: shortest target among the requests that it runs.
        """
        if self.token_s is None or now - self._adapted_at < _LIMIT_PERIOD_S:
            return
        self._adapted_at = now
        if self.token_s > target_s:
            self.limit = max(float(1), self.limit * _LIMIT_DECREASE)
        elif self.token_s < target_s * _INCREASE_BELOW_SHARE:
            raised = self.limit + _LIMIT_INCREASE
            self.limit = min(float(self._maximum), raised)

    def learn_first_token(self, measured_s: float, predicted_s: float) -> None:
        """Update the ratio of measured to predicted first-token times.

        :param measured_s: measured seconds from the grant to the first token.
        :param predicted_s: predicted seconds.
        """
        ratio = measured_s / max(predicted_s, _MINIMUM_PREDICTION_S)
        self.first_token_factor = smooth(
            self.first_token_factor, min(ratio, _MAXIMUM_RATIO)
        )

    def note_failure(self, now: float) -> None:
        """Suspend it after a failure, with exponential backoff.

        :param now: monotonic seconds.
        """
        pause_s = _SUSPENSION_START_S * 2**self._failures
        self._suspended_until = now + min(pause_s, _SUSPENSION_MAXIMUM_S)
        self._failures += 1

    def note_unanswered_poll(self, now: float) -> None:
        """Suspend it after an unanswered poll, unless it is suspended.

        :param now: monotonic seconds.
        """
        if now >= self._suspended_until:
            self.note_failure(now)

    def note_success(self) -> None:
        """Reset the backoff after a complete answer."""
        self._failures = 0
