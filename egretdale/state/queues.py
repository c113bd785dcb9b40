"""Queues of waiting requests, by class and by organisation.

Organisations share a class by start-time fair queueing: each has a start tag
in virtual time, and the one with the lowest tag goes next.
"""

from __future__ import annotations

import bisect
from collections.abc import Iterator
from dataclasses import dataclass, field

from egretdale.state.documents import RequestClass
from egretdale.state.messages import Ask

_MINIMUM_WAIT_SHARE = 0.25
_LATE_SHARE = 0.25
_MAXIMUM_TAGS = 1024


@dataclass(slots=True, eq=False)
class WaitingRequest:
    """A request that waits at the allocator.

    :ivar ask: the request.
    :ivar host: entry host of the request.
    :ivar request_class: class of the request.
    :ivar weight: weight of its organisation.
    :ivar arrival: monotonic time of its arrival at the entry host in seconds.
    :ivar cost: expected slot-seconds.
    :ivar first_token_s: expected seconds from a grant to the first token.
    :ivar offered_at: monotonic time of its arrival at the allocator in
        seconds.
    :ivar tier: tier of the class.
    :ivar deadline: monotonic time in seconds at which the first token is due.
    :ivar rank: sort key within the class; the lowest goes first.
    :ivar expiry: monotonic time in seconds at which the request is refused.
    :ivar latest_start: monotonic time in seconds after which a grant is too
        late to meet the target.
    """

    ask: Ask
    host: str
    request_class: RequestClass
    weight: float
    arrival: float
    cost: float
    first_token_s: float = float(0)
    offered_at: float = float(0)
    tier: int = field(init=False)
    deadline: float = field(init=False)
    rank: float = field(init=False)
    expiry: float = field(init=False)
    latest_start: float = field(init=False)

    def __post_init__(self) -> None:
        """Compute the times that follow from the class."""
        patience_s = self.request_class.patience_s
        shortest_s = patience_s * _MINIMUM_WAIT_SHARE
        wait_s = max(patience_s - self.first_token_s, shortest_s)
        self.tier = self.request_class.tier
        target_s = self.request_class.first_token_s
        self.deadline = self.arrival + target_s
        self.rank = self.deadline
        if self.ask.returning:
            # A caller who retries at the scheduled time precedes new requests.
            self.rank -= target_s
        self.expiry = self.arrival + wait_s
        self.latest_start = self.deadline - self.first_token_s

    def is_late(self, now: float) -> bool:
        """Return whether the target can no longer be met.

        :param now: monotonic seconds.
        """
        return now > self.latest_start


class OrganisationQueue:
    """Waiting requests of one organisation within a class.

    :ivar weight: weight of the organisation.
    :ivar cost: expected slot-seconds of all requests in the queue.
    :ivar tag: start tag of the first request, in virtual slot-seconds.
    """

    __slots__ = ('_entries', 'cost', 'tag', 'weight')

    def __init__(self, weight: float, tag: float) -> None:
        """Create an empty queue.

        :param weight: weight of the organisation.
        :param tag: virtual time of the class.
        """
        self.weight = weight
        self.tag = tag
        self.cost = float(0)
        self._entries: list[WaitingRequest] = []

    def __len__(self) -> int:
        """Count the waiting requests."""
        return len(self._entries)

    def __iter__(self) -> Iterator[WaitingRequest]:
        """Iterate in order of rank."""
        return iter(self._entries)

    def add(self, waiting: WaitingRequest) -> None:
        """Insert a request by its rank.

        :param waiting: the request.
        """
        bisect.insort(self._entries, waiting, key=_read_rank)
        self.cost += waiting.cost

    def remove(self, waiting: WaitingRequest) -> None:
        """Remove a request.

        :param waiting: the request.
        """
        self._entries.remove(waiting)
        self.cost -= waiting.cost

    def peek(self) -> WaitingRequest:
        """Return the request with the lowest rank."""
        return self._entries[0]


def _read_rank(waiting: WaitingRequest) -> float:
    return waiting.rank


class ClassQueue:
    """Waiting requests of one class, shared fairly among organisations.

    :ivar request_class: the class.
    :ivar cost: expected slot-seconds of all requests.
    :ivar count: number of requests.
    :ivar credit: slot-seconds that the class is still owed for its minimum
        share.
    """

    __slots__ = (
        '_late',
        '_late_credit',
        '_next_late',
        '_organisations',
        '_tags',
        '_virtual_time',
        'cost',
        'count',
        'credit',
        'request_class',
    )

    def __init__(self, request_class: RequestClass) -> None:
        """Create an empty queue.

        :param request_class: the class.
        """
        self.request_class = request_class
        self.cost = float(0)
        self.count = 0
        self.credit = float(0)
        self._virtual_time = float(0)
        self._late: dict[str, WaitingRequest] = {}
        self._late_credit = float(0)
        # Non-empty queues, and the tags of queues that became empty.
        self._organisations: dict[str, OrganisationQueue] = {}
        self._tags: dict[str, float] = {}
        self._next_late = float('inf')

    def add(self, waiting: WaitingRequest) -> None:
        """Insert a request.

        :param waiting: the request.
        """
        name = waiting.ask.organisation
        queue = self._organisations.get(name)
        if queue is None:
            earlier = self._tags.get(name, float(0))
            tag = max(earlier, self._virtual_time)
            queue = OrganisationQueue(waiting.weight, tag)
            self._organisations[name] = queue
        queue.add(waiting)
        self._next_late = min(self._next_late, waiting.latest_start)
        self.count += 1
        self.cost += waiting.cost

    def remove(self, waiting: WaitingRequest) -> None:
        """Remove a request without charging its organisation.

        :param waiting: the request.
        """
        if self._late.pop(waiting.ask.request_id, None) is None:
            self._remove_queued(waiting)
        self.count -= 1
        self.cost -= waiting.cost

    def take(self, waiting: WaitingRequest) -> None:
        """Remove a request that is granted a slot and charge its organisation.

        :param waiting: the request.
        """
        if waiting.ask.request_id in self._late:
            self._late_credit = max(float(0), self._late_credit - waiting.cost)
        else:
            queue = self._organisations[waiting.ask.organisation]
            self._virtual_time = max(self._virtual_time, queue.tag)
            queue.tag += waiting.cost / waiting.weight
            if self._late:
                self._late_credit += waiting.cost * _LATE_SHARE
        self.remove(waiting)

    def peek(self, now: float) -> WaitingRequest | None:
        """Return the request that goes next within the class.

        Requests that can still meet their target go before late ones; late
        requests get a fixed share of the work.

        :param now: monotonic seconds.
        :return: the request, or ``None`` if none is waiting.
        """
        self._move_late(now)
        late = next(iter(self._late.values()), None)
        if not self._organisations:
            return late
        if late is not None and self._late_credit >= late.cost:
            return late
        return min(self._organisations.values(), key=_rank_queue).peek()

    def measure_share(self, organisation: str, weight: float) -> float:
        """Return the share of an organisation in the work of the class.

        :param organisation: the organisation.
        :param weight: its weight.
        :return: share, from 0 to 1, while the same organisations wait.
        """
        others = sum(
            queue.weight
            for name, queue in self._organisations.items()
            if name != organisation
        )
        return weight / (weight + others)

    def list_late(self) -> list[WaitingRequest]:
        """List the late requests, in the order in which they became late."""
        return list(self._late.values())

    def _move_late(self, now: float) -> None:
        if now <= self._next_late:
            return
        self._next_late = float('inf')
        for queue in list(self._organisations.values()):
            for waiting in list(queue):
                if waiting.is_late(now):
                    self._remove_queued(waiting)
                    self._late[waiting.ask.request_id] = waiting
                else:
                    self._next_late = min(self._next_late, waiting.latest_start)

    def _remove_queued(self, waiting: WaitingRequest) -> None:
        name = waiting.ask.organisation
        queue = self._organisations[name]
        queue.remove(waiting)
        if not len(queue):
            self._organisations.pop(name)
            self._store_tag(name, queue.tag)

    def _store_tag(self, name: str, tag: float) -> None:
        self._tags[name] = tag
        if len(self._tags) > _MAXIMUM_TAGS:
            self._tags = {
                other: kept
                for other, kept in self._tags.items()
                if kept > self._virtual_time
            }

    def measure_ahead(self, organisation: str, own: float) -> float:
        """Return the work that would be served before a new request.

        :param organisation: organisation of the request.
        :param own: expected slot-seconds of the request.
        :return: slot-seconds under fair sharing.
        """
        queue = self._organisations.get(organisation)
        late_share = _LATE_SHARE if self._late else float(0)
        own_cost = queue.cost if queue else float(0)
        weight = queue.weight if queue else float(1)
        level = (own_cost + own) / weight
        ahead = own_cost
        for name, other in self._organisations.items():
            if name != organisation:
                ahead += min(other.cost, level * other.weight)
        return ahead * (1 + late_share)


def _rank_queue(queue: OrganisationQueue) -> tuple[float, float]:
    return queue.tag, queue.peek().rank
