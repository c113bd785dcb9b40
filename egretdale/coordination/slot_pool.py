"""The slots of one group of backend servers."""

from __future__ import annotations

from egretdale.state.backends import BackendAddress, BackendView, HeldSlot
from egretdale.state.documents import RequestClass, ServiceDocument
from egretdale.state.estimates import ClassEstimate
from egretdale.state.messages import Ask, Done, Running
from egretdale.state.order import Choice
from egretdale.state.queues import WaitingRequest
from egretdale.state.prefixes import PrefixIndex
from egretdale.util.clocks import Clock, convert_to_seconds

#: Prompt tokens that a backend server is assumed to prefill in a second.
_PREFILL_RATE = 4000.0
#: Part of a prompt that still has to be prefilled when its prefix is cached.
_CACHED_SHARE = 0.25
#: Seconds added to the score of a fully loaded backend server.
_LOAD_WEIGHT_S = 0.05
#: Part of the KV cache that a request leaves free for each tier that it is
#: below the highest.
_KV_HEADROOM = 0.04
#: Part of the expected output from which on a stream is not paused any more.
_PAUSE_PROGRESS_LIMIT = 0.7
#: Pause in seconds after which a stream resumes if its class has less than
#: its minimum share.
_PAUSE_LIMIT_S = 10.0


class SlotPool:
    """Tracks the slots in use and chooses backend servers with free ones.

    :ivar views: backend servers by name.
    :ivar held: slots in use by request identity.
    :ivar estimates: estimated times and lengths by class.
    """

    __slots__ = (
        '_clock',
        '_document',
        '_paused_at',
        '_prefixes',
        '_share',
        'estimates',
        'held',
        'views',
    )

    def __init__(
        self, document: ServiceDocument, clock: Clock, share: float
    ) -> None:
        """Create a pool without backend servers.

        :param document: service document in force.
        :param clock: monotonic clock.
        :param share: part of each backend server's slots that may be used,
            from 0 to 1.
        """
        self.views: dict[str, BackendView] = {}
        self.held: dict[str, HeldSlot] = {}
        self.estimates: dict[str, ClassEstimate] = {}
        self._clock = clock
        self._share = share
        self._prefixes = PrefixIndex()
        self._paused_at: dict[str, float] = {}
        self.apply_document(document)

    def apply_document(self, document: ServiceDocument) -> None:
        """Apply another revision of the document.

        :param document: the document.
        """
        self._document = document
        streams = document.kind == 'model'
        self.estimates = {
            entry.name: self.estimates.get(entry.name)
            or ClassEstimate(entry, streams=streams)
            for entry in document.classes
        }
        for view in self.views.values():
            view.apply_maximum(self._compute_maximum())

    def replace_backends(self, entries: list[BackendAddress]) -> None:
        """Replace the list of backend servers.

        :param entries: backend servers of the group.
        """
        listed = {entry.name: entry for entry in entries}
        for gone in self.views.keys() - listed.keys():
            self.views.pop(gone)
        for name, entry in listed.items():
            view = self.views.get(name)
            same = view and view.entry.incarnation == entry.incarnation
            if view is None or not same:
                self._prefixes.clear(name)
                view = BackendView(entry, self._compute_maximum())
                self.views[name] = view
            view.entry = entry

    # Capacity

    def find_backend(self, choice: Choice) -> BackendView | None:
        """Find the best backend server with a free slot for a request.

        Backend servers that have not failed the request and are fast enough
        for its class are preferred.

        :param choice: the request.
        :return: the backend server, or ``None``.
        """
        waiting = choice.waiting
        if not choice.minimum_share:
            slots = self.count_slots(waiting.tier)
            if self.count_busy() >= slots:
                return None
        now = self._clock()
        free = [
            view
            for view in self.views.values()
            if self._has_room(view, waiting, now)
        ]
        avoided = waiting.ask.avoided
        not_failed = [view for view in free if view.name not in avoided]
        candidates = not_failed or free
        fast = [view for view in candidates if _is_fast_enough(view, waiting)]
        return min(
            fast or candidates,
            key=lambda view: self._score(view, waiting, now),
            default=None,
        )

    def count_slots(self, tier: int) -> float:
        """Count the slots that a tier may use.

        :param tier: the tier; lower tiers leave more slots free.
        :return: slots of all usable backend servers.
        """
        now = self._clock()
        total = sum(
            view.limit for view in self.views.values() if view.is_usable(now)
        )
        return total * (1 - self._document.headroom * tier)

    def count_busy(self) -> int:
        """Count the slots in use."""
        return sum(view.count_running() for view in self.views.values())

    def measure_capacity(self, waiting: WaitingRequest) -> float:
        """Measure how many slots can serve a request sooner or later.

        :param waiting: the request.
        :return: slots of backend servers that are fast enough for it, without
            those granted to lower tiers for their minimum share.
        """
        now = self._clock()
        usable = [view for view in self.views.values() if view.is_usable(now)]
        fast = [view for view in usable if _is_fast_enough(view, waiting)]
        return sum(
            max(float(0), view.limit - _count_protected(view, waiting.tier))
            for view in fast or usable
        )

    def count_class_slots(self, class_name: str) -> int:
        """Count the slots of a class whose streams are not paused.

        :param class_name: name of the class.
        :return: number of slots.
        """
        return sum(
            1
            for held in self.held.values()
            if held.ask.class_name == class_name and not held.paused
        )

    def has_minimum_share(self, request_class: RequestClass) -> bool:
        """Tell whether a class has its minimum share of the slots.

        :param request_class: the class.
        :return: whether it runs on that many slots, and on one at least.
        """
        share = request_class.minimum_share * self.count_slots(0)
        return self.count_class_slots(request_class.name) >= max(1, share)

    def estimate_remaining(self, tier: int) -> float:
        """Estimate the mean time until running slots are freed.

        :param tier: lowest tier whose slots are included.
        :return: seconds.
        """
        now = self._clock()
        remaining = [
            max(float(0), held.waiting.cost - (now - held.granted_at))
            for held in self.held.values()
            if held.tier <= tier and not held.paused
        ]
        return sum(remaining) / max(1, len(remaining))

    def has_only_leaving(self) -> bool:
        """Tell whether all backend servers are leaving, or there are none."""
        return all(view.entry.leaving for view in self.views.values())

    def measure_suspension(self) -> float:
        """Measure the time until the first backend server may be probed.

        :return: seconds; infinite when all are leaving.
        """
        now = self._clock()
        return min(
            (
                view.measure_suspension(now)
                for view in self.views.values()
                if not view.entry.leaving
            ),
            default=float('inf'),
        )

    # Slots

    def grant(self, choice: Choice, view: BackendView) -> HeldSlot:
        """Grant a slot to a request.

        :param choice: the request.
        :param view: backend server with a free slot.
        :return: the slot.
        """
        waiting = choice.waiting
        now = self._clock()
        held = HeldSlot(
            waiting.ask,
            waiting.host,
            waiting,
            now,
            self._reserve_tokens(waiting.ask),
            choice.minimum_share,
            progressed_at=now,
        )
        self._hold(held, view.name)
        self._prefixes.note(view.name, waiting.ask.prefix, now)
        return held

    def adopt(self, waiting: WaitingRequest, running: Running) -> None:
        """Record a slot that an entry host reports, or its progress.

        :param waiting: the request as it would have waited.
        :param running: report of the entry host.
        """
        held = self.held.get(running.ask.request_id)
        now = self._clock()
        if held is None:
            held = HeldSlot(
                running.ask,
                waiting.host,
                waiting,
                now - convert_to_seconds(running.running_ms),
                self._reserve_tokens(running.ask),
                tokens=running.tokens,
                paused=running.paused,
                progressed_at=now,
            )
            self._hold(held, running.backend)
            if running.paused:
                self._paused_at[running.ask.request_id] = now
        self._note_progress(held, running)

    def release(self, request_id: str) -> HeldSlot | None:
        """Free the slot of a request.

        :param request_id: identity of the request.
        :return: the slot, or ``None`` when it had none.
        """
        self._paused_at.pop(request_id, None)
        held = self.held.pop(request_id, None)
        if held is not None and held.backend in self.views:
            self.views[held.backend].release(request_id)
        return held

    def finish(self, done: Done) -> None:
        """Free a slot and update the estimates from its times.

        :param done: report of the entry host.
        """
        view = self.views.get(done.backend)
        if view is not None and done.failed:
            view.note_failure(self._clock())
        held = self.release(done.request_id)
        if held is None or view is None or not done.whole:
            return
        view.note_success()
        estimate = self.estimates.get(held.ask.class_name)
        if estimate is None:
            return
        estimate.learn_length(done.tokens)
        if not held.was_paused:
            self._learn_times(estimate, view, held, done)

    # Pausing

    def pause_for(self, waiting: WaitingRequest) -> HeldSlot | None:
        """Choose a stream of a lower tier and mark it as paused.

        :param waiting: the request that needs a slot.
        :return: the slot; ``None`` when no stream may be paused.
        """
        if not self._document.pauses or self._document.kind != 'model':
            return None
        now = self._clock()
        pausable = [
            held
            for view in self.views.values()
            if view.is_usable(now)
            and _is_fast_enough(view, waiting)
            and self._has_tokens(view, waiting)
            for held in view.held.values()
            if self._may_pause(held, waiting)
        ]
        chosen = max(pausable, key=_rank_for_pause, default=None)
        if chosen is not None:
            self.views[chosen.backend].pause(chosen, paused=True)
            chosen.was_paused = True
            self._paused_at[chosen.ask.request_id] = now
        return chosen

    def resume_one(self, highest_waiting: int | None) -> HeldSlot | None:
        """Choose a paused stream and mark it as resumed.

        A stream resumes when a slot is free and no higher tier waits, or when
        it was paused too long and its class lacks its minimum share.

        :param highest_waiting: highest tier that waits, ``None`` for none.
        :return: the slot, ``None`` when no stream may resume.
        """
        for request_id, paused_at in self._paused_at.items():
            held = self.held[request_id]
            overdue = self._is_overdue(held, paused_at)
            none_higher = (
                highest_waiting is None or highest_waiting >= held.tier
            )
            if overdue or (none_higher and self._has_slot(held)):
                self._resume(held)
                # A stream that was paused too long is not paused again.
                held.minimum_share = held.minimum_share or overdue
                return held
        return None

    def _is_overdue(self, held: HeldSlot, paused_at: float) -> bool:
        if self._clock() - paused_at <= _PAUSE_LIMIT_S:
            return False
        return not self.has_minimum_share(held.waiting.request_class)

    def _has_slot(self, held: HeldSlot) -> bool:
        view = self.views.get(held.backend)
        return view is not None and view.count_running() + 1 <= view.limit

    def _resume(self, held: HeldSlot) -> None:
        self._paused_at.pop(held.ask.request_id)
        view = self.views.get(held.backend)
        if view is None:
            held.paused = False
        else:
            view.pause(held, paused=False)

    def _may_pause(self, held: HeldSlot, waiting: WaitingRequest) -> bool:
        if held.paused or held.minimum_share or held.tier <= waiting.tier:
            return False
        if self._clock() < held.first_token_at:
            return False
        expected = max(1, held.reserved_tokens - held.ask.prompt_tokens)
        return held.tokens / expected < _PAUSE_PROGRESS_LIMIT

    # Bookkeeping

    def _hold(self, held: HeldSlot, backend: str) -> None:
        self.held[held.ask.request_id] = held
        held.backend = backend
        view = self.views.get(backend)
        if view is not None:
            view.hold(held)

    def find_view(self, request_id: str) -> BackendView | None:
        """Find the backend server on which a request holds a slot.

        :param request_id: identity of the request.
        :return: the backend server, or ``None``.
        """
        held = self.held.get(request_id)
        return None if held is None else self.views.get(held.backend)

    def _compute_maximum(self) -> int:
        return max(1, int(self._document.backend_concurrency * self._share))

    def _reserve_tokens(self, ask: Ask) -> int:
        estimate = self.estimates[ask.class_name]
        output = estimate.predict_output_tokens(ask.maximum_tokens)
        return ask.prompt_tokens + output

    def _has_room(
        self, view: BackendView, waiting: WaitingRequest, now: float
    ) -> bool:
        if not view.is_usable(now):
            return False
        if view.count_running() + 1 > view.limit:
            return False
        return not view.held or self._has_tokens(view, waiting)

    def _has_tokens(self, view: BackendView, waiting: WaitingRequest) -> bool:
        # Paused streams keep their KV tokens, so lower tiers leave some free
        # for the higher ones that pause them.
        headroom = view.kv_limit * _KV_HEADROOM * waiting.tier
        needed = self._reserve_tokens(waiting.ask) + headroom
        return view.count_free_tokens() >= needed

    def _score(
        self, view: BackendView, waiting: WaitingRequest, now: float
    ) -> float:
        ask = waiting.ask
        prompt_tokens = float(ask.prompt_tokens)
        if self._prefixes.is_held(view.name, ask.prefix, now):
            prompt_tokens *= _CACHED_SHARE
        prefill = (
            view.count_prefill_tokens(now) + prompt_tokens
        ) / _PREFILL_RATE
        load = view.count_running() / view.limit
        return (prefill + load * _LOAD_WEIGHT_S) * view.first_token_factor

    def _learn_times(
        self,
        estimate: ClassEstimate,
        view: BackendView,
        held: HeldSlot,
        done: Done,
    ) -> None:
        first_token_s = convert_to_seconds(max(0, done.first_token_ms))
        running_s = convert_to_seconds(done.running_ms)
        prompt_tokens = held.ask.prompt_tokens
        predicted_s = estimate.predict_first_token_s(prompt_tokens)
        view.learn_first_token(first_token_s, predicted_s)
        if done.tokens > 1:
            streamed_s = running_s - first_token_s
            self._learn_speed(view, streamed_s / (done.tokens - 1))
        estimate.learn(prompt_tokens, done.tokens, first_token_s, running_s)

    def _learn_speed(self, view: BackendView, token_s: float) -> None:
        view.learn_token_time(token_s)
        targets = [
            held.waiting.request_class.between_tokens_ms
            for held in view.held.values()
        ]
        if targets:
            target_s = convert_to_seconds(min(targets))
            view.adapt_limit(self._clock(), target_s)

    def _note_progress(self, held: HeldSlot, running: Running) -> None:
        now = self._clock()
        if running.first_token_ms >= 0 and held.first_token_s is None:
            held.first_token_s = convert_to_seconds(running.first_token_ms)
        gained = running.tokens - held.tokens
        if gained <= 0:
            return
        view = self.views.get(running.backend)
        measurable = held.tokens and not held.was_paused
        if view is not None and measurable:
            self._learn_speed(view, (now - held.progressed_at) / gained)
        held.tokens = running.tokens
        held.progressed_at = now


def _count_protected(view: BackendView, tier: int) -> int:
    return sum(
        1
        for held in view.held.values()
        if held.minimum_share and held.tier > tier and not held.paused
    )


def _rank_for_pause(held: HeldSlot) -> tuple[int, float]:
    return held.tier, held.granted_at


def _is_fast_enough(view: BackendView, waiting: WaitingRequest) -> bool:
    if view.token_s is None:
        return True
    target_ms = waiting.request_class.between_tokens_ms
    return view.token_s <= convert_to_seconds(target_ms)
