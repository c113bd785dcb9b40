"""Pace of the requests to backend servers that accept a limited rate.

This serves backend servers in need, which state how many requests per second
they accept from all hosts together.
"""

from __future__ import annotations

import math
from collections.abc import Callable

from egretdale.state.backpressure import BackpressureTable
from egretdale.state.instances import Incarnation, Instance
from egretdale.state.members import MemberTable, list_owners
from egretdale.util.buckets import TokenBucket
from egretdale.util.clocks import Clock

#: Lowest rate in requests per second at which a backend server is used, so that
#: the end of its limit is noticed.
_MINIMUM_RATE = 0.25
#: Seconds for which the unused part of a limit may be used later.
_BURST_S = 0.5
#: Part of a limit that is left to hosts that cannot reach the allocator; the
#: allocator grants the whole limit.
_FALLBACK_SHARE = 0.25

#: Returns the rate at which a host may use a backend server, given its name and
#: its limit in requests per second.
RateChooser = Callable[[str, float], float]


def choose_whole_rate(backend: str, limit_per_s: float) -> float:
    """Return the rate for an allocator, which is the whole limit.

    :param backend: name of the backend server.
    :param limit_per_s: limit in requests per second.
    :return: requests per second.
    """
    return limit_per_s


class FallbackRate:
    """Rate at which this host uses a backend server without an allocator.

    Only as many hosts as requests fit in a second get a part of the limit,
    since each of them may send one request at any time.
    """

    __slots__ = ('_members',)

    def __init__(self, members: MemberTable) -> None:
        """Create the rule.

        :param members: table of the hosts.
        """
        self._members = members

    def __call__(self, backend: str, limit_per_s: float) -> float:
        """Return the rate of this host.

        :param backend: name of the backend server.
        :param limit_per_s: limit in requests per second.
        :return: requests per second, 0 when other hosts have its part.
        """
        rate = limit_per_s * _FALLBACK_SHARE
        owners = list_owners(
            self._members, f'limit/{backend}', 1 + math.floor(rate)
        )
        if self._members.own_host not in owners:
            return 0
        return rate / len(owners)


class RequestGates:
    """Tells when the next request may be sent to a limited backend server."""

    __slots__ = (
        '_buckets',
        '_choose_rate',
        '_clock',
        '_counts_rejections',
        '_table',
    )

    def __init__(
        self,
        table: BackpressureTable,
        clock: Clock,
        choose_rate: RateChooser,
        *,
        counts_rejections: bool = False,
    ) -> None:
        """Create the gates of backend servers without limits.

        :param table: what backend servers ask for.
        :param clock: monotonic clock.
        :param choose_rate: rate at which requests may be sent.
        :param counts_rejections: whether brittle backend servers get no more
            requests than they can reject, as their load is not known.
        """
        self._counts_rejections = counts_rejections
        self._table = table
        self._clock = clock
        self._choose_rate = choose_rate
        self._buckets: dict[Incarnation, TokenBucket] = {}

    def is_limited(self, instance: Instance) -> bool:
        """Tell whether a backend server accepts a limited rate.

        :param instance: the backend server.
        """
        return self._find_limit(instance) is not None

    def find_rejection_rate(self, instance: Instance) -> float | None:
        """Find how many requests a backend server can reject.

        :param instance: the backend server.
        :return: rejections per second, ``None`` for any number.
        """
        return self._table.find_rejection_rate(instance.incarnation)

    def measure_wait(self, instance: Instance) -> float:
        """Measure the time until a request may be sent.

        :param instance: the backend server.
        :return: seconds, 0 if it may be sent now, infinite if this host may
            send none.
        """
        bucket = self._find(instance)
        return bucket.measure_wait() if bucket else 0

    def take(self, instance: Instance) -> None:
        """Record that a request is sent.

        :param instance: the backend server.
        """
        bucket = self._find(instance)
        if bucket is not None:
            bucket.charge(1)

    def find_rate(self, instance: Instance) -> float:
        """Return the rate at which requests may be sent.

        :param instance: the backend server.
        :return: requests per second, infinite without a limit.
        """
        bucket = self._find(instance)
        return bucket.rate if bucket else math.inf

    def forget(self, incarnation: Incarnation) -> None:
        """Remove a backend server that has gone.

        :param incarnation: its incarnation.
        """
        self._buckets.pop(incarnation, None)

    def _find_limit(self, instance: Instance) -> float | None:
        limits = [self._table.find_rate(instance.incarnation)]
        if self._counts_rejections:
            # Any request may be rejected.
            limits.append(self._table.find_rejection_rate(instance.incarnation))
        return min(
            (limit for limit in limits if limit is not None), default=None
        )

    def _find(self, instance: Instance) -> TokenBucket | None:
        limit_per_s = self._find_limit(instance)
        if limit_per_s is None:
            self._buckets.pop(instance.incarnation, None)
            return None
        rate = self._choose_rate(instance.name, max(_MINIMUM_RATE, limit_per_s))
        burst = max(1, rate * _BURST_S)
        bucket = self._buckets.get(instance.incarnation)
        if bucket is None:
            # Requests that were sent before the limit was known count too.
            bucket = TokenBucket(rate, burst, self._clock)
            bucket.charge(burst)
            self._buckets[instance.incarnation] = bucket
        if bucket.rate != rate:
            bucket.change_rate(rate, burst)
        return bucket
