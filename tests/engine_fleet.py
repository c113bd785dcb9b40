"""A fake of engines that are ordered, boot, are reclaimed and share a load."""

from __future__ import annotations

import math
import random
from collections.abc import Callable

from egretdale.state.routing import EngineBounds, Scaling
from egretdale.state.scaling import ScalingPicture, ScalingPolicy
from egretdale.state.scaling_orders import EngineCounts, PlannedOrder
from egretdale.state.service_demand import ServiceDemand

CENTRES = ('east', 'north', 'west')
SCALING = Scaling(
    EngineBounds(1, 20),
    4.0,
    0.25,
    {'east': 1.0, 'north': 0.8, 'west': 1.25},
)
_PERIOD_S = 1.0
#: Utilisation above which requests wait.
_FULL = 0.9


class EngineFleet:
    """Engines of one service that boot and are billed.

    :ivar now: seconds since the start.
    :ivar cost: price paid so far.
    :ivar calls: orders that arrived.
    :ivar closed: data centre and kind where there are no engines.
    """

    def __init__(self, engines: int = 10, seed: int = 1) -> None:
        self.now = float(0)
        self.cost = float(0)
        self.calls: list[PlannedOrder] = []
        self.closed: set[tuple[str, bool]] = set()
        self.lost: set[str] = set()
        self.reports_missing = False
        self.answers_lost = False
        self.demanded = float(0)
        self.served = float(0)
        self._queue = float(0)
        self._source = random.Random(seed)
        self._reclaimed: dict[str, float] = {}
        # Times at which engines serve, by data centre and kind.
        self.engines: dict[tuple[str, bool], list[float]] = {}
        for name in CENTRES:
            self.engines[name, True] = []
            self.engines[name, False] = [float(0) for _ in range(engines)]
        self.policy = ScalingPolicy(lambda: self.now)

    def count(self, name: str, *, is_spot: bool) -> int:
        if name in self.lost:
            return 0
        return sum(at <= self.now for at in self.engines[name, is_spot])

    def count_all(self) -> int:
        return sum(
            self.count(name, is_spot=is_spot) for name, is_spot in self.engines
        )

    def reclaim(self, name: str) -> None:
        self.engines[name, True] = []
        self._reclaimed[name] = self.now

    def order(self, order: PlannedOrder) -> bool:
        key = (order.data_centre, order.is_spot)
        self.calls.append(order)
        if key in self.closed or order.data_centre in self.lost:
            if order.desired > len(self.engines[key]):
                return False
        kept = self.engines[key][: order.desired]
        added = order.desired - len(kept)
        self.engines[key] = kept + [
            self.now + SCALING.boot_s for _ in range(added)
        ]
        return True

    def observe(self, load: float) -> ScalingPicture:
        """Take the picture of a load in engines that it keeps busy."""
        count = max(1, self.count_all())
        use = min(_FULL, (load + self._queue) / count)
        mean = count * use / (1 - use)
        starting = max(0, round(self._source.gauss(mean, math.sqrt(mean))))
        demand = ServiceDemand(
            starting * 3,
            starting,
            round(self._queue),
            0,
            100,
            not self.reports_missing,
        )
        engines = {
            name: EngineCounts(
                self.count(name, is_spot=False),
                self.count(name, is_spot=True),
                int(self._reclaimed.get(name, -9) >= self.now - 1),
            )
            for name in CENTRES
            if name not in self.lost
        }
        return ScalingPicture(demand, engines, 64)

    def serve(self, load: float) -> None:
        """Serve a load for a period, and bill it."""
        room = self.count_all() * _FULL
        at_once = min(load, max(0, room - self._queue))
        self.demanded += load
        self.served += at_once
        # Callers leave when they have waited for some seconds.
        self._queue = min(
            max(0, self._queue + load - room), self.count_all() * 2.0
        )
        for (name, is_spot), engines in self.engines.items():
            price = SCALING.prices[name]
            price *= SCALING.spot_price if is_spot else 1
            billed = 0 if name in self.lost else len(engines)
            self.cost += price * billed

    def step(self, load: float) -> None:
        for order in self.policy.decide(SCALING, self.observe(load)):
            is_taken = self.order(order)
            if is_taken and self.answers_lost:
                self.policy.orders.note_failure(order, is_unknown=True)
            elif is_taken:
                self.policy.orders.note_accepted(order)
            else:
                self.policy.orders.note_unavailable(order)
        self.serve(load)
        self.now += _PERIOD_S

    def play(
        self,
        load: Callable[[float], float],
        until: float,
        *,
        scales: bool = True,
    ) -> None:
        while self.now < until:
            if scales:
                self.step(load(self.now))
                continue
            self.serve(load(self.now))
            self.now += _PERIOD_S

    def play_share(self, load: Callable[[float], float], until: float) -> None:
        """Play with engines for a fixed share of the present load."""
        while self.now < until:
            if self.now % 5 < 1:
                each = math.ceil(load(self.now) / 0.8 / len(CENTRES))
                for name in CENTRES:
                    self.order(PlannedOrder(name, False, each, 0, 'share'))
            self.serve(load(self.now))
            self.now += _PERIOD_S

    @property
    def share(self) -> float:
        """Share of the demand that was served at once."""
        return self.served / self.demanded
