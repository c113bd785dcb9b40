"""Rates of requested work by tier, smoothed over a few seconds."""

from __future__ import annotations

import math

_WINDOW_S = 10.0
_MINIMUM_FILLED = 0.5


class RateMeter:
    """An exponentially decaying rate."""

    __slots__ = ('_amount', '_at', '_started_at')

    def __init__(self, now: float) -> None:
        """Start at zero.

        :param now: monotonic seconds.
        """
        self._amount = float(0)
        self._at = now
        self._started_at = now

    def add(self, amount: float, now: float) -> None:
        """Add an amount.

        :param amount: number of units.
        :param now: monotonic seconds.
        """
        self._decay(now)
        self._amount += amount

    def read(self, now: float) -> float:
        """Return the rate.

        :param now: monotonic seconds.
        :return: units per second.
        """
        self._decay(now)
        seen_s = now - self._started_at
        # A new meter has covered only a fraction of its window.
        filled = 1 - math.exp(-seen_s / _WINDOW_S)
        return self._amount / _WINDOW_S / max(filled, _MINIMUM_FILLED)

    def _decay(self, now: float) -> None:
        elapsed_s = now - self._at
        if elapsed_s > 0:
            self._amount *= math.exp(-elapsed_s / _WINDOW_S)
            self._at = now


class TierDemand:
    """Slot-seconds per second that the requests of each tier need."""

    __slots__ = ('_meters', '_now')

    def __init__(self, now: float) -> None:
        """Start without any demand.

        :param now: monotonic seconds.
        """
        self._now = now
        self._meters: dict[int, RateMeter] = {}

    def add(self, tier: int, cost: float, now: float) -> None:
        """Add an admitted request.

        :param tier: its tier.
        :param cost: expected slot-seconds.
        :param now: monotonic seconds.
        """
        meter = self._meters.get(tier)
        if meter is None:
            meter = RateMeter(self._now)
            self._meters[tier] = meter
        meter.add(cost, now)

    def read_above(self, tier: int, now: float) -> float:
        """Return the demand of all tiers above a tier.

        :param tier: the tier.
        :param now: monotonic seconds.
        :return: slot-seconds per second.
        """
        return sum(
            meter.read(now)
            for other, meter in self._meters.items()
            if other < tier
        )
