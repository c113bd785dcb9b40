"""Orders of engines, repeated until the platform has carried them out."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from egretdale.util.clocks import Clock

#: Seconds beyond the boot time until which ordered engines are listed.
_LISTING_S = 3.0
#: Seconds until an order is repeated that the platform did not accept, and
#: until engines are asked for again where there were none; both double.
_RETRY_S = 1.0
_UNAVAILABLE_S = 8.0
_MAXIMUM_DELAY_S = 60.0
#: Reason of orders that replace reclaimed engines.
_RECLAIM = 'reclaim'


@dataclass(slots=True, frozen=True)
class EngineCounts:
    """Listed engines of a service in a data centre.

    :ivar ordinary: ordinary engines that take requests.
    :ivar spot: spot engines that take requests.
    :ivar reclaimed: spot engines that are leaving.
    """

    ordinary: int = 0
    spot: int = 0
    reclaimed: int = 0

    @property
    def serving(self) -> int:
        """Engines of both kinds that take requests."""
        return self.ordinary + self.spot

    def count(self, *, is_spot: bool) -> int:
        """Count the engines of a kind that take requests.

        :param is_spot: the kind.
        """
        return self.spot if is_spot else self.ordinary


@dataclass(slots=True, frozen=True)
class PlannedOrder:
    """An order to make.

    :ivar data_centre: data centre of the engines.
    :ivar is_spot: whether spot engines are ordered.
    :ivar desired: number of engines of the kind.
    :ivar listed: number that is listed.
    :ivar reason: what the order answers.
    """

    data_centre: str
    is_spot: bool
    desired: int
    listed: int
    reason: str


@dataclass(slots=True)
class OrderState:
    """What was ordered of one kind of engine in a data centre.

    :ivar desired: number of engines that should run.
    :ivar accepted: number that the platform has accepted, ``None`` before the
        first order.
    :ivar pending: order without a usable response, which is repeated as it is.
    :ivar reason: what the last change answered.
    :ivar settled_at: clock time at which the list was as desired.
    :ivar due_at: clock time from which an order may be made.
    :ivar delay_s: seconds of the last delay.
    :ivar unavailable_until: clock time until which there are no engines.
    :ivar listed: number of engines that are listed.
    :ivar was_reclaimed: spot engines that were leaving before.
    """

    desired: int
    accepted: int | None = None
    pending: PlannedOrder | None = None
    reason: str = ''
    settled_at: float = 0
    due_at: float = 0
    delay_s: float = 0
    unavailable_until: float = 0
    listed: int = 0
    was_reclaimed: int = 0


class OrderBook:
    """Orders of a service by data centre and kind of engine."""

    __slots__ = ('_clock', '_states')

    def __init__(self, clock: Clock) -> None:
        """Create an empty book.

        :param clock: monotonic clock.
        """
        self._clock = clock
        self._states: dict[tuple[str, bool], OrderState] = {}

    def note_listed(
        self, engines: Mapping[str, EngineCounts], boot_s: float
    ) -> None:
        """Update the listed engines.

        Where nothing was ordered, the listed number is the desired one.

        :param engines: listed engines by data centre.
        :param boot_s: seconds until a new engine serves.
        """
        for name in engines.keys() | {known for known, _ in self._states}:
            counts = engines.get(name, EngineCounts())
            for is_spot in (True, False):
                state = self._find(name, is_spot=is_spot)
                self._update(state, counts.count(is_spot=is_spot))
            spot = self._find(name, is_spot=True)
            if counts.reclaimed and spot.listed < spot.desired:
                # The platform does not replace what it has reclaimed.
                late_at = self._clock() - boot_s - _LISTING_S
                if spot.was_reclaimed != counts.reclaimed:
                    spot.settled_at = late_at
                    spot.reason = _RECLAIM
            spot.was_reclaimed = counts.reclaimed

    def find_desired(self, data_centre: str, *, is_spot: bool) -> int:
        """Return the number of engines of a kind that should run.

        :param data_centre: the data centre.
        :param is_spot: the kind.
        """
        return self._find(data_centre, is_spot=is_spot).desired

    def count_desired(self, data_centre: str) -> int:
        """Count the engines of both kinds that should run.

        :param data_centre: the data centre.
        """
        return sum(
            self.find_desired(data_centre, is_spot=is_spot)
            for is_spot in (True, False)
        )

    def count_expected(self, data_centre: str, boot_s: float) -> int:
        """Count the engines that serve now or probably will after booting.

        :param data_centre: the data centre.
        :param boot_s: seconds until a new engine serves.
        """
        states = [
            self._find(data_centre, is_spot=is_spot)
            for is_spot in (True, False)
        ]
        return sum(
            state.listed
            if self._is_overdue(state, boot_s)
            else max(state.listed, state.desired)
            for state in states
        )

    def is_changing(self, data_centre: str) -> bool:
        """Tell whether the listed engines differ from the desired ones.

        :param data_centre: the data centre.
        """
        return any(
            state.listed != state.desired
            for (name, _), state in self._states.items()
            if name == data_centre
        )

    def has_orders(self, data_centre: str) -> bool:
        """Tell whether anything was ordered in a data centre.

        :param data_centre: the data centre.
        """
        return any(
            state.accepted is not None or state.pending is not None
            for (name, _), state in self._states.items()
            if name == data_centre
        )

    def is_available(
        self, data_centre: str, *, is_spot: bool | None = None
    ) -> bool:
        """Tell whether there were engines when they were last ordered.

        :param data_centre: the data centre.
        :param is_spot: the kind, ``None`` for any.
        """
        kinds = (True, False) if is_spot is None else (is_spot,)
        now = self._clock()
        return any(
            self._find(data_centre, is_spot=kind).unavailable_until <= now
            for kind in kinds
        )

    def plan(
        self, data_centre: str, desired: int, reason: str, *, is_spot: bool
    ) -> None:
        """Set the number of engines that should run.

        :param data_centre: the data centre.
        :param desired: the number.
        :param reason: what it answers.
        :param is_spot: the kind.
        """
        state = self._find(data_centre, is_spot=is_spot)
        if state.desired != desired:
            state.desired = desired
            state.reason = reason
            state.settled_at = self._clock()

    def list_due(self, boot_s: float) -> list[PlannedOrder]:
        """List the orders to make now.

        :param boot_s: seconds until a new engine serves.
        :return: orders, those for spot engines first.
        """
        due = []
        for is_spot in (True, False):
            for name in sorted({known for known, _ in self._states}):
                order = self._find_due(name, boot_s, is_spot=is_spot)
                if order is not None:
                    due.append(order)
        return due

    def note_accepted(self, order: PlannedOrder) -> None:
        """Record that the platform has accepted an order.

        :param order: the order.
        """
        state = self._find(order.data_centre, is_spot=order.is_spot)
        state.accepted = order.desired
        state.pending = None
        state.settled_at = self._clock()
        state.reason = ''
        state.delay_s = 0

    def note_unavailable(self, order: PlannedOrder) -> None:
        """Record that there are no engines of a kind in a data centre.

        :param order: the order.
        """
        state = self._find(order.data_centre, is_spot=order.is_spot)
        state.pending = None
        if state.accepted is None:
            state.accepted = state.listed
        state.desired = state.accepted
        state.delay_s = min(
            max(_UNAVAILABLE_S, state.delay_s * 2), _MAXIMUM_DELAY_S
        )
        state.unavailable_until = self._clock() + state.delay_s

    def note_failure(self, order: PlannedOrder, *, is_unknown: bool) -> None:
        """Record that an order may not have been accepted.

        :param order: the order.
        :param is_unknown: whether it may have been accepted nevertheless.
        """
        state = self._find(order.data_centre, is_spot=order.is_spot)
        if is_unknown:
            state.pending = order
        state.delay_s = min(max(_RETRY_S, state.delay_s * 2), _MAXIMUM_DELAY_S)
        state.due_at = self._clock() + state.delay_s

    def list_numbers(self) -> list[tuple[str, bool, int, int]]:
        """List the numbers of engines, for metrics.

        :return: data centre, whether spot, desired and listed number.
        """
        return [
            (name, is_spot, state.desired, state.listed)
            for (name, is_spot), state in self._states.items()
        ]

    def _update(self, state: OrderState, listed: int) -> None:
        state.listed = listed
        if state.accepted is None and state.pending is None:
            state.desired = listed
        if listed == state.desired:
            state.settled_at = self._clock()

    def _find_due(
        self, name: str, boot_s: float, *, is_spot: bool
    ) -> PlannedOrder | None:
        state = self._find(name, is_spot=is_spot)
        if self._clock() < max(state.due_at, state.unavailable_until):
            return None
        if state.pending is not None:
            return state.pending
        known = state.listed if state.accepted is None else state.accepted
        is_changed = state.desired != known
        if not is_changed and not self._is_overdue(state, boot_s):
            return None
        is_reclaim = state.reason == _RECLAIM
        reason = state.reason if is_changed or is_reclaim else 'restated'
        return PlannedOrder(name, is_spot, state.desired, state.listed, reason)

    def _is_overdue(self, state: OrderState, boot_s: float) -> bool:
        late_at = state.settled_at + boot_s + _LISTING_S
        return state.listed != state.desired and self._clock() >= late_at

    def _find(self, data_centre: str, *, is_spot: bool) -> OrderState:
        key = (data_centre, is_spot)
        state = self._states.get(key)
        if state is None:
            state = OrderState(0, settled_at=self._clock())
            self._states[key] = state
        return state
