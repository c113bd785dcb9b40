"""Slot allocation for one group: admission, ordering and refusal."""

from __future__ import annotations

import random

from egretdale.coordination.slot_pool import SlotPool
from egretdale.state.backends import BackendAddress, BackendView, HeldSlot
from egretdale.state.demand import TierDemand
from egretdale.state.documents import ServiceDocument
from egretdale.state.messages import (
    Ask,
    Denial,
    Grant,
    GroupAsk,
    GroupReply,
    Pause,
    Running,
)
from egretdale.state.order import Choice, WaitingOrder
from egretdale.state.queues import WaitingRequest
from egretdale.state.outcomes import Reason
from egretdale.state.retry_times import RetryScheduler
from egretdale.util.clocks import Clock, convert_to_ms, convert_to_seconds
from egretdale.util.logs import get_logger

logger = get_logger(__name__)

#: Time in seconds within which a granted slot may be missing from the reports
#: of its entry host, as the grant may still be in transit.
_GRANT_TRANSIT_S = 1.0
#: Retry time in seconds while all backend servers are leaving.
_NO_BACKEND_RETRY_S = 5.0
#: Upper bound of the wait in seconds that a denial reports.
_MAXIMUM_WAIT_S = 86400.0
_PERMILLE = 1000
#: Part of the first-token target by which the estimated wait must stay below
#: the allowed one for a request to be admitted.
_ADMISSION_MARGIN = 0.2
#: Load that is reported while no backend server is usable.
_OVERLOADED_PERMILLE = 10000


class GroupAllocator:
    """Decides which request of a group runs where, and which is refused.

    All state is soft: entry hosts report theirs again to a new allocator.

    :ivar group: group key, ``service/index``.
    :ivar document: service document in force.
    :ivar revision: revision of the document.
    :ivar term: number that is higher in each new allocator of the group.
    :ivar pool: slots of the group.
    """

    __slots__ = (
        '_clock',
        '_demand',
        '_order',
        '_replies',
        '_retry_times',
        '_weights',
        'document',
        'group',
        'pool',
        'revision',
        'term',
    )

    def __init__(
        self,
        group: str,
        document: ServiceDocument,
        revision: int,
        *,
        clock: Clock,
        source: random.Random,
        share: float = 1.0,
    ) -> None:
        """Create an allocator without requests and backend servers.

        :param group: group key.
        :param document: service document in force.
        :param revision: revision of the document.
        :param clock: monotonic clock.
        :param source: random source for retry times.
        :param share: part of each backend server's slots that may be used,
            from 0 to 1.
        """
        self.group = group
        self.document = document
        self.revision = revision
        self.term = 0
        self.pool = SlotPool(document, clock, share)
        self._clock = clock
        self._order = WaitingOrder(document)
        self._retry_times = RetryScheduler(source)
        self._demand = TierDemand(clock())
        self._weights = document.index_weights()
        self._replies: dict[str, GroupReply] = {}

    def count_waiting(self) -> int:
        """Count the waiting requests."""
        return len(self._order)

    def apply_document(self, document: ServiceDocument, revision: int) -> None:
        """Apply a newer revision of the document.

        Waiting requests are queued again by its classes; those whose class it
        no longer has are denied.

        :param document: the document.
        :param revision: its revision; an older one is ignored.
        """
        if revision <= self.revision:
            return
        waiting = self._order.list_waiting()
        self.document = document
        self.revision = revision
        self._order = WaitingOrder(document)
        self.pool.apply_document(document)
        self._weights = document.index_weights()
        for entry in waiting:
            renewed = self._create_waiting(entry.host, entry.ask, entry.arrival)
            if renewed is None:
                self._deny_unknown(entry.host, entry.ask)
            else:
                self._order.add(renewed)

    def replace_backends(self, entries: list[BackendAddress]) -> None:
        """Replace the list of backend servers.

        :param entries: backend servers of the group.
        """
        self.pool.replace_backends(entries)

    def accept(self, host: str, message: GroupAsk) -> None:
        """Process a message of an entry host.

        :param host: name of the entry host.
        :param message: its message.
        """
        for done in message.done:
            self._order.remove(done.request_id)
            self.pool.finish(done)
        for request_id in message.withdrawn:
            self._order.remove(request_id)
        if message.full:
            self._drop_missing(host, message)
        for running in message.running:
            self._adopt(host, running)
        now = self._clock()
        for ask in message.asks:
            known = ask.request_id in self._order
            if not known and ask.request_id not in self.pool.held:
                self._admit(host, ask, now - convert_to_seconds(ask.age_ms))

    def drop_host(self, host: str) -> None:
        """Drop the requests and free the slots of an entry host.

        :param host: name of an entry host that is gone.
        """
        for waiting in self._order.list_waiting():
            if waiting.host == host:
                self._order.remove(waiting.ask.request_id)
        for request_id, held in list(self.pool.held.items()):
            if held.host == host:
                self.pool.release(request_id)
        self._replies.pop(host, None)

    def dispatch(self) -> None:
        """Resume paused streams and grant free slots to waiting requests."""
        granted = True
        while granted:
            self._resume_paused()
            granted = self._dispatch_next()

    def expire(self) -> None:
        """Refuse requests that waited too long or cannot be served in time."""
        now = self._clock()
        for waiting in self._order.list_waiting():
            if now >= waiting.expiry:
                self._order.remove(waiting.ask.request_id)
                self._deny(waiting, Reason.PATIENCE_EXCEEDED)
        for late in self._order.list_late():
            self._refuse_unreachable(late)

    def take_replies(self) -> dict[str, GroupReply]:
        """Return and clear the decisions made since the last call.

        :return: replies by entry host.
        """
        if not self._replies:
            return {}
        replies = self._replies
        self._replies = {}
        load = self._measure_load()
        for reply in replies.values():
            reply.load_permille = load
            reply.term = self.term
        return replies

    def request_state(self, hosts: list[str]) -> None:
        """Ask entry hosts to report their whole state.

        They do so when a reply, even an empty one, has a new term.

        :param hosts: names of the hosts.
        """
        for host in hosts:
            self._reply_to(host)

    def estimate_wait(self, waiting: WaitingRequest) -> float:
        """Estimate how long a request would wait.

        :param waiting: a request that has not been added.
        :return: seconds.
        """
        slots = self.pool.count_slots(waiting.tier)
        free = slots - self.pool.count_busy()
        if free > self._order.count_ahead(waiting):
            return float(0)
        ahead = self._order.measure_ahead(waiting)
        if slots < 1:
            # All are suspended: the request waits for the first probe.
            return self.pool.measure_suspension() + ahead
        # Requests of higher tiers keep arriving during the wait.
        higher = self._demand.read_above(waiting.tier, self._clock())
        minimum_rate = slots * waiting.request_class.minimum_share
        rate = max(self.pool.measure_capacity(waiting) - higher, minimum_rate)
        return (ahead + self.pool.estimate_remaining(waiting.tier)) / rate

    # Requests

    def _admit(self, host: str, ask: Ask, arrival: float) -> None:
        waiting = self._create_waiting(host, ask, arrival)
        if waiting is None:
            self._deny_unknown(host, ask)
            return
        if self.pool.has_only_leaving():
            self._deny(waiting, Reason.NO_BACKEND_SERVER)
            return
        wait_s = self.estimate_wait(waiting)
        allowed_s = waiting.expiry - self._clock()
        margin_s = waiting.request_class.first_token_s * _ADMISSION_MARGIN
        if wait_s > allowed_s - margin_s and not ask.returning:
            self._deny(waiting, Reason.TARGET_UNREACHABLE, wait_s)
            return
        self._order.add(waiting)
        self._demand.add(waiting.tier, waiting.cost, self._clock())

    def _refuse_unreachable(self, late: list[WaitingRequest]) -> None:
        # The last ones would be served too late even with every slot.
        slots = max(1, self.pool.measure_capacity(late[0]))
        now = self._clock()
        ahead = float(0)
        for waiting in late:
            if ahead / slots > waiting.expiry - now:
                self._order.remove(waiting.ask.request_id)
                self._deny(waiting, Reason.TARGET_UNREACHABLE, ahead / slots)
            else:
                ahead += waiting.cost

    def _create_waiting(
        self, host: str, ask: Ask, arrival: float
    ) -> WaitingRequest | None:
        request_class = self.document.find_class(ask.class_name)
        if request_class is None:
            return None
        weight = self._weights.get(ask.organisation, float(1))
        estimate = self.pool.estimates[ask.class_name]
        cost = estimate.predict_hold_s(ask.prompt_tokens, ask.maximum_tokens)
        return WaitingRequest(
            ask,
            host,
            request_class,
            weight,
            arrival,
            cost,
            estimate.predict_first_token_s(ask.prompt_tokens),
            self._clock(),
        )

    def _adopt(self, host: str, running: Running) -> None:
        arrival = self._clock() - convert_to_seconds(running.ask.age_ms)
        waiting = self._create_waiting(host, running.ask, arrival)
        if waiting is not None:
            self._order.remove(running.ask.request_id)
            self.pool.adopt(waiting, running)

    def _drop_missing(self, host: str, message: GroupAsk) -> None:
        asked = {ask.request_id for ask in message.asks}
        for waiting in self._order.list_waiting():
            if waiting.host == host and waiting.ask.request_id not in asked:
                self._order.remove(waiting.ask.request_id)
        running = {entry.ask.request_id for entry in message.running}
        transit_start = self._clock() - _GRANT_TRANSIT_S
        for request_id, held in list(self.pool.held.items()):
            known = held.host != host or request_id in running
            if not known and held.granted_at < transit_start:
                self.pool.release(request_id)

    # Refusals

    def _deny_unknown(self, host: str, ask: Ask) -> None:
        denial = Denial(ask.request_id, Reason.UNKNOWN_CLASS, -1)
        self._reply_to(host).denials.append(denial)

    def _deny(
        self,
        waiting: WaitingRequest,
        reason: Reason,
        wait_s: float | None = None,
    ) -> None:
        if wait_s is None:
            wait_s = self.estimate_wait(waiting)
        wait_s = min(wait_s, _MAXIMUM_WAIT_S)
        retry_after_s = self._schedule_retry(waiting, wait_s)
        denial = Denial(
            waiting.ask.request_id,
            reason,
            convert_to_ms(retry_after_s),
            convert_to_ms(wait_s),
            self._order.count_ahead(waiting),
        )
        self._reply_to(waiting.host).denials.append(denial)
        logger.info(
            'refuse',
            request=waiting.ask.request_id,
            group=self.group,
            request_class=waiting.request_class.name,
            organisation=waiting.ask.organisation,
            reason=reason,
            waited_ms=convert_to_ms(self._clock() - waiting.offered_at),
            wait_ms=denial.wait_ms,
            ahead=denial.ahead,
            retry_after_ms=denial.retry_after_ms,
            term=self.term,
            revision=self.revision,
        )

    def _schedule_retry(self, waiting: WaitingRequest, wait_s: float) -> float:
        if self.pool.has_only_leaving():
            return _NO_BACKEND_RETRY_S
        slots = max(1, self.pool.measure_capacity(waiting))
        excess_s = wait_s - waiting.request_class.patience_s / 2
        queue_name = (waiting.request_class.name, waiting.ask.organisation)
        share = self._order.measure_share(waiting)
        spacing_s = waiting.cost / (slots * share)
        return self._retry_times.schedule(
            queue_name, self._clock(), excess_s, spacing_s
        )

    # Slots

    def _dispatch_next(self) -> bool:
        for choice in self._order.list_candidates(self._clock()):
            request_class = choice.waiting.request_class
            if choice.minimum_share and self.pool.has_minimum_share(
                request_class
            ):
                continue
            view = self.pool.find_backend(choice)
            if view is None and not choice.minimum_share:
                view = self._pause_for(choice)
            if view is not None:
                self._grant(choice, view)
                return True
        return False

    def _pause_for(self, choice: Choice) -> BackendView | None:
        paused = self.pool.pause_for(choice.waiting)
        if paused is None:
            return None
        self._send_pause(paused)
        return self.pool.find_view(paused.ask.request_id)

    def _resume_paused(self) -> None:
        resumed = self.pool.resume_one(self._order.highest_tier())
        while resumed is not None:
            self._send_pause(resumed)
            resumed = self.pool.resume_one(self._order.highest_tier())

    def _send_pause(self, held: HeldSlot) -> None:
        pause = Pause(held.ask.request_id, held.paused)
        self._reply_to(held.host).pauses.append(pause)
        logger.info(
            'pause' if held.paused else 'resume',
            request=held.ask.request_id,
            group=self.group,
            request_class=held.ask.class_name,
        )

    def _grant(self, choice: Choice, view: BackendView) -> None:
        waiting = choice.waiting
        ask = waiting.ask
        self._order.take(choice)
        held = self.pool.grant(choice, view)
        grant = Grant(ask.request_id, view.name)
        self._reply_to(waiting.host).grants.append(grant)
        logger.info(
            'grant',
            request=ask.request_id,
            group=self.group,
            request_class=ask.class_name,
            organisation=ask.organisation,
            backend=view.name,
            candidates=len(self.pool.views),
            waited_ms=convert_to_ms(held.granted_at - waiting.arrival),
            reason='minimum-share' if choice.minimum_share else 'order',
            term=self.term,
            revision=self.revision,
        )

    def _measure_load(self) -> int:
        slots = self.pool.count_slots(0)
        if slots < 1:
            return _OVERLOADED_PERMILLE
        waiting = sum(entry.cost for entry in self._order.list_waiting())
        busy = self.pool.count_busy()
        return round((busy + waiting) / slots * _PERMILLE)

    def _reply_to(self, host: str) -> GroupReply:
        reply = self._replies.get(host)
        if reply is None:
            reply = GroupReply(self.group, self.term)
            self._replies[host] = reply
        return reply
