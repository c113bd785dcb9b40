"""The order in which the waiting requests of a group are granted slots."""

from __future__ import annotations

from dataclasses import dataclass

from egretdale.state.documents import ServiceDocument
from egretdale.state.queues import ClassQueue, WaitingRequest


@dataclass(slots=True, frozen=True)
class Choice:
    """A request that is proposed for the next slot.

    :ivar waiting: the request.
    :ivar minimum_share: whether it is proposed because of the minimum share
        of its class.
    """

    waiting: WaitingRequest
    minimum_share: bool


class WaitingOrder:
    """The waiting requests of a group, in the order of service.

    Requests are ordered by tier, then by deadline, with late requests last;
    within a class, slots are shared fairly among organisations. While requests
    of a class wait, the class earns credit from every grant in proportion to
    its minimum share. A class whose credit covers its next request goes
    before all others.
    """

    __slots__ = ('_by_id', '_queues')

    def __init__(self, document: ServiceDocument) -> None:
        """Create an empty order.

        :param document: document with the classes.
        """
        self._queues = {
            entry.name: ClassQueue(entry) for entry in document.classes
        }
        self._by_id: dict[str, WaitingRequest] = {}

    def __len__(self) -> int:
        """Count the waiting requests."""
        return len(self._by_id)

    def __contains__(self, request_id: str) -> bool:
        """Return whether a request is waiting.

        :param request_id: ID of the request.
        """
        return request_id in self._by_id

    def add(self, waiting: WaitingRequest) -> None:
        """Insert a request.

        :param waiting: the request; its class must be defined in the
            document.
        """
        self._by_id[waiting.ask.request_id] = waiting
        self._queues[waiting.request_class.name].add(waiting)

    def remove(self, request_id: str) -> WaitingRequest | None:
        """Remove a request without granting it a slot.

        :param request_id: ID of the request.
        :return: the request, or ``None`` if it is not waiting.
        """
        waiting = self._by_id.pop(request_id, None)
        if waiting is not None:
            self._queues[waiting.request_class.name].remove(waiting)
        return waiting

    def take(self, choice: Choice) -> None:
        """Remove a request that is granted a slot and update the credits.

        :param choice: a candidate from :meth:`list_candidates`.
        """
        waiting = choice.waiting
        self._by_id.pop(waiting.ask.request_id)
        for queue in self._queues.values():
            if queue.count:
                share = queue.request_class.minimum_share
                queue.credit += share * waiting.cost
        own = self._queues[waiting.request_class.name]
        own.take(waiting)
        own.credit = max(float(0), own.credit - waiting.cost)

    def list_candidates(self, now: float) -> list[Choice]:
        """List the requests that may be granted the next slot.

        :param now: monotonic seconds.
        :return: first the request that the minimum share of its class
            entitles to it, if any, then the request that is first in order.
        """
        candidates = []
        guaranteed = self._choose_by_credit(now)
        if guaranteed is not None:
            candidates.append(guaranteed)
        heads = [queue.peek(now) for queue in self._queues.values()]
        waiting = [head for head in heads if head is not None]
        if waiting:
            first = min(waiting, key=lambda head: _rank_head(head, now))
            candidates.append(Choice(first, minimum_share=False))
        return candidates

    def measure_ahead(self, waiting: WaitingRequest) -> float:
        """Return the work that would be served before a request.

        Work of lower tiers does not count.

        :param waiting: a request that has not been added.
        :return: slot-seconds.
        """
        ahead = float(0)
        for queue in self._queues.values():
            own_class = queue.request_class.name == waiting.request_class.name
            if own_class:
                organisation = waiting.ask.organisation
                ahead += queue.measure_ahead(organisation, waiting.cost)
            elif _goes_before(queue, waiting):
                ahead += queue.cost
        return ahead

    def measure_share(self, waiting: WaitingRequest) -> float:
        """Return the share of an organisation in the work of a class.

        :param waiting: a request of the organisation and the class.
        :return: share, from 0 to 1.
        """
        queue = self._queues[waiting.request_class.name]
        return queue.measure_share(waiting.ask.organisation, waiting.weight)

    def count_ahead(self, waiting: WaitingRequest) -> int:
        """Count the waiting requests of the same and higher tiers.

        :param waiting: a request.
        :return: number of requests.
        """
        return sum(
            queue.count
            for queue in self._queues.values()
            if queue.request_class.tier <= waiting.tier
        )

    def list_waiting(self) -> list[WaitingRequest]:
        """List all requests in no particular order."""
        return list(self._by_id.values())

    def highest_tier(self) -> int | None:
        """Return the highest tier with a waiting request, or ``None``."""
        tiers = [
            queue.request_class.tier
            for queue in self._queues.values()
            if queue.count
        ]
        return min(tiers, default=None)

    def list_late(self) -> list[list[WaitingRequest]]:
        """List the late requests of each class that has any.

        A request is late when it can no longer meet its target.
        """
        late = [queue.list_late() for queue in self._queues.values()]
        return [entries for entries in late if entries]

    def _choose_by_credit(self, now: float) -> Choice | None:
        for queue in self._queues.values():
            if queue.count and queue.credit > 0:
                head = queue.peek(now)
                if head is not None and queue.credit >= head.cost:
                    return Choice(head, minimum_share=True)
        return None


def _rank_head(waiting: WaitingRequest, now: float) -> tuple[int, bool, float]:
    return waiting.tier, waiting.is_late(now), waiting.rank


def _goes_before(queue: ClassQueue, waiting: WaitingRequest) -> bool:
    if not queue.count:
        return False
    tier = queue.request_class.tier
    if tier != waiting.tier:
        return tier < waiting.tier
    return queue.request_class.first_token_ms <= (
        waiting.request_class.first_token_ms
    )
