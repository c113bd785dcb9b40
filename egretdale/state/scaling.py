"""Decision on how many engines of a service run where, and of which kind.

It answers demand that swings over the day and rises by a multiple within
seconds, while new engines need seconds to boot, a data centre may be lost and
all spot engines of a data centre may be reclaimed at once.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass, field

from egretdale.state.routing import Scaling
from egretdale.state.scaling_orders import EngineCounts, OrderBook, PlannedOrder
from egretdale.state.service_demand import DemandEstimate, ServiceDemand
from egretdale.util.clocks import Clock

#: Utilisation of all engines above which more are ordered.
_SCALE_OUT_USE = 0.7
#: Utilisation that an order aims at.
_TARGET_USE = 0.6
#: Rise of the demand above its mean that has to be served without new engines.
_BURST = 2.5
#: Utilisation that is acceptable in a burst and after a loss.
_STRAINED_USE = 0.85
#: Part of the engines in each data centre that may be spot engines, as they may
#: be reclaimed everywhere at once.
_SPOT_SHARE = 0.5
#: Utilisation of the ordinary engines without any spot engine.
_ORDINARY_USE = 0.7
#: Seconds between two reductions, in which parts of prompts that were cached
#: on the engines are prefilled elsewhere.
_REDUCTION_INTERVAL_S = 10.0
#: Part of the engines that a reduction or an exchange of kinds covers.
_REDUCTION_SHARE = 0.1
#: Growth of the prefill per request after which nothing is reduced.
_PREFILL_GROWTH = 1.2
#: Seconds for which such a growth is ascribed to the last reduction.
_PREFILL_MEMORY_S = 60.0
#: Seconds after which a new holder acts on incomplete reports.
_PATIENCE_S = 10.0


@dataclass(slots=True, frozen=True)
class ScalingPicture:
    """What a decision is based on.

    :ivar demand: requests of all hosts.
    :ivar engines: listed engines by data centre.
    :ivar slots: slots of an engine, 0 if unknown.
    """

    demand: ServiceDemand
    engines: Mapping[str, EngineCounts] = field(default_factory=dict)
    slots: float = 0

    def count_serving(self) -> int:
        """Count the engines that take requests."""
        return sum(counts.serving for counts in self.engines.values())


class ScalingPolicy:
    """Plans the engines of one service.

    :ivar orders: orders that were made.
    """

    __slots__ = (
        '_base',
        '_began_at',
        '_clock',
        '_complete_at',
        '_estimate',
        '_prefill_tokens',
        '_reduced_at',
        '_targets',
        'orders',
    )

    def __init__(self, clock: Clock) -> None:
        """Start without knowledge of the service.

        :param clock: monotonic clock.
        """
        self._clock = clock
        self._began_at = clock()
        self._complete_at: float | None = None
        self._estimate = DemandEstimate(clock)
        self._reduced_at = float('-inf')
        self._prefill_tokens = float(0)
        # Engines of both kinds by data centre.
        self._targets: dict[str, int] = {}
        # Those of them that are ordinary ones if there are no spot engines.
        self._base: dict[str, int] = {}
        self.orders = OrderBook(clock)

    def decide(
        self, scaling: Scaling, picture: ScalingPicture
    ) -> list[PlannedOrder]:
        """Decide which orders to make now.

        :param scaling: how the service may be scaled.
        :param picture: the present state.
        :return: the orders, those for spot engines first.
        """
        self.orders.note_listed(picture.engines, scaling.boot_s)
        self._estimate.update(
            picture.demand, picture.count_serving(), picture.slots
        )
        if not self._is_settled(scaling, picture):
            self._targets = self._count_desired(picture)
            self._base = dict(self._targets)
            return []
        reason = self._plan_totals(scaling, picture)
        self._update_base(scaling)
        for data_centre in self._targets:
            self._plan_kinds(scaling, picture, data_centre, reason)
        return self.orders.list_due(scaling.boot_s)

    def describe(self) -> str:
        """Describe the demand for the log."""
        estimate = self._estimate
        return (
            f'busy {estimate.recent:.1f}, mean {estimate.mean:.1f}, '
            f'peak {estimate.find_peak():.1f}'
        )

    def _is_settled(self, scaling: Scaling, picture: ScalingPicture) -> bool:
        """Tell whether orders of an earlier holder show in the list."""
        now = self._clock()
        if self._complete_at is None and picture.demand.is_complete:
            self._complete_at = now
        if self._complete_at is None:
            return now >= self._began_at + max(_PATIENCE_S, scaling.boot_s)
        return now >= self._complete_at + scaling.boot_s

    def _count_desired(self, picture: ScalingPicture) -> dict[str, int]:
        return {
            data_centre: self.orders.count_desired(data_centre)
            for data_centre in picture.engines
        }

    # Number of engines

    def _plan_totals(self, scaling: Scaling, picture: ScalingPicture) -> str:
        self._update_targets(scaling, picture)
        total = sum(self._targets.values())
        expected = min(total, self._count_expected(scaling.boot_s))
        predicted = self._estimate.predict(scaling.boot_s)
        if predicted > expected * _SCALE_OUT_USE:
            wanted = max(
                self._estimate.recent / _TARGET_USE, predicted / _STRAINED_USE
            )
            self._grow(scaling, math.ceil(wanted) - expected)
            self._reduced_at = self._clock()
            return 'demand'
        if self._may_reduce(picture) and self._estimate.covers_demand():
            surplus = total - self._count_needed()
            step = max(1, int(total * _REDUCTION_SHARE))
            if surplus > step:
                self._shrink(scaling, step)
                self._note_reduction(picture.demand)
                return 'idle'
        return 'engines'

    def _update_targets(
        self, scaling: Scaling, picture: ScalingPicture
    ) -> None:
        for data_centre in picture.engines:
            desired = self.orders.count_desired(data_centre)
            known = self._targets.get(data_centre)
            if known is None or not self.orders.has_orders(data_centre):
                known = desired
            serving = picture.engines[data_centre].serving
            if not self.orders.is_available(data_centre):
                known = min(known, serving)
            elif not self.orders.is_available(data_centre, is_spot=True):
                # What a burst would have needed isn't ordered after it.
                base = self._base.get(data_centre, 0)
                known = min(known, max(base, serving))
            bounds = scaling.find_bounds(data_centre)
            self._targets[data_centre] = bounds.clamp(known)

    def _update_base(self, scaling: Scaling) -> None:
        """Raise the base only to what the mean demand needs.

        A burst is over before ordinary engines are worth their price.
        """
        total = max(1, sum(self._targets.values()))
        needed = self._estimate.mean / _ORDINARY_USE / total
        for name, target in self._targets.items():
            least = scaling.find_bounds(name).minimum
            known = self._base.get(name, 0)
            base = max(known, least, math.ceil(needed * target))
            self._base[name] = min(base, target)

    def _count_expected(self, boot_s: float) -> int:
        return sum(
            self.orders.count_expected(data_centre, boot_s)
            for data_centre in self._targets
        )

    def _count_needed(self) -> int:
        """Count the engines for a burst and for the loss of a data centre."""
        estimate = self._estimate
        most = max(self._targets.values(), default=0)
        total = max(1, sum(self._targets.values()))
        left_share = 1 - most / total or 1
        return math.ceil(
            max(
                estimate.find_peak() / _STRAINED_USE,
                estimate.mean * _BURST / _STRAINED_USE,
                estimate.mean / _STRAINED_USE / left_share,
            )
        )

    def _may_reduce(self, picture: ScalingPicture) -> bool:
        demand = picture.demand
        if not demand.is_complete or demand.lacks_engines():
            return False
        passed_s = self._clock() - self._reduced_at
        if passed_s < _REDUCTION_INTERVAL_S:
            return False
        if passed_s > _PREFILL_MEMORY_S:
            return True
        grown = self._prefill_tokens * _PREFILL_GROWTH
        return not (grown and demand.prefill_tokens > grown)

    def _note_reduction(self, demand: ServiceDemand) -> None:
        self._reduced_at = self._clock()
        self._prefill_tokens = demand.prefill_tokens

    def _grow(self, scaling: Scaling, count: int) -> None:
        for _ in range(count):
            weights = {
                name: _weigh(scaling, name, total + 1)
                for name, total in self._targets.items()
                if total < scaling.find_bounds(name).maximum
                and self.orders.is_available(name)
            }
            if not weights:
                return
            self._targets[min(weights, key=weights.__getitem__)] += 1

    def _shrink(self, scaling: Scaling, count: int) -> None:
        for _ in range(count):
            weights = {
                name: _weigh(scaling, name, total)
                for name, total in self._targets.items()
                if total > scaling.find_bounds(name).minimum
            }
            if not weights:
                return
            self._targets[max(weights, key=weights.__getitem__)] -= 1

    # Kinds of engines

    def _plan_kinds(
        self, scaling: Scaling, picture: ScalingPicture, name: str, reason: str
    ) -> None:
        """Divide the engines of a data centre between the kinds.

        Ordinary engines are given back only when spot engines serve.
        """
        total = self._targets[name]
        counts = picture.engines.get(name, EngineCounts())
        ordinary = self.orders.find_desired(name, is_spot=False)
        spot = self._plan_spot(scaling, picture, name)
        ordinary_left = total - min(spot, counts.spot)
        if spot > counts.spot:
            # Spot engines that boot are not replaced by ordinary ones.
            ordinary_left = min(ordinary_left, max(ordinary, total - spot))
        if scaling.has_spot():
            ordinary_left = min(ordinary_left, max(ordinary, self._base[name]))
        if ordinary_left < ordinary:
            self._note_reduction(picture.demand)
        self.orders.plan(name, spot, reason, is_spot=True)
        self.orders.plan(name, ordinary_left, reason, is_spot=False)

    def _plan_spot(
        self, scaling: Scaling, picture: ScalingPicture, name: str
    ) -> int:
        total = self._targets[name]
        most = int(total * _SPOT_SHARE)
        if not scaling.has_spot():
            most = 0
        if not self.orders.is_available(name, is_spot=True):
            counts = picture.engines.get(name, EngineCounts())
            most = min(most, counts.spot)
        spot = self.orders.find_desired(name, is_spot=True)
        ordinary = self.orders.find_desired(name, is_spot=False)
        room = scaling.find_bounds(name).maximum - ordinary
        most = min(most, max(spot, room))
        missing = total - ordinary - spot
        exchanged = 0
        if missing >= 0 and not self.orders.is_changing(name):
            exchanged = self._limit_exchange(picture, total)
        raised = spot + max(0, missing, exchanged)
        # Spot engines that run stay when the demand varies.
        return min(most, max(spot, min(raised, self._limit_spot(total))))

    def _limit_spot(self, total: int) -> int:
        """Limit new spot engines, so that the others can serve the demand."""
        everywhere = max(1, sum(self._targets.values()))
        needed = self._estimate.mean / _ORDINARY_USE * total / everywhere
        return total - min(total, math.ceil(needed))

    def _limit_exchange(self, picture: ScalingPicture, total: int) -> int:
        """Limit the engines whose kind may change now."""
        is_known = self._estimate.covers_demand()
        if not is_known or not self._may_reduce(picture):
            return 0
        return max(1, int(total * _REDUCTION_SHARE))


def _weigh(scaling: Scaling, data_centre: str, count: int) -> float:
    """Weigh a data centre, so that the cheaper ones get more engines."""
    return scaling.prices.get(data_centre, 1) * count
