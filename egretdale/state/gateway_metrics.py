"""Counters and histograms of a host that forwards requests."""

from __future__ import annotations

from collections.abc import Callable

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram

_PREFIX = 'egretdale_gateway'
_SECONDS_BUCKETS = (
    0.01,
    0.03,
    0.06,
    0.1,
    0.2,
    0.3,
    0.5,
    1.0,
    2.0,
    4.0,
    8.0,
)


class GatewayMetrics:
    """The metrics of a forwarding host.

    :ivar registry: registry that holds them all.
    :ivar ended: requests that got an answer, by how it ended.
    :ivar refused: refusals by reason and by whether the request ran.
    :ivar attempts: sendings to backend servers by service and outcome.
    :ivar repeats: attempts beyond the first, by service.
    :ivar denied_repeats: repeats that the budget did not allow, by service.
    :ivar first_byte: seconds from sending a request to the head of its
        answer, by service.
    :ivar admission_wait: seconds from the arrival of a request to its
        sending, by service.
    :ivar silent_allocators: requests whose allocator gave no word.
    :ivar platform_calls: calls to the platform by call and outcome.
    """

    __slots__ = (
        'admission_wait',
        'attempts',
        'denied_repeats',
        'ended',
        'first_byte',
        'platform_calls',
        'refused',
        'registry',
        'repeats',
        'silent_allocators',
    )

    def __init__(self) -> None:
        """Create all metrics at zero."""
        self.registry = CollectorRegistry()
        by_service = ('service',)
        self.ended = self._count('ended', 'Answered requests', ('outcome',))
        self.refused = self._count(
            'refused', 'Refused requests', ('reason', 'ran')
        )
        self.attempts = self._count(
            'attempts', 'Requests sent to backend servers', ('service', 'ended')
        )
        self.repeats = self._count(
            'repeats', 'Attempts beyond the first', by_service
        )
        self.denied_repeats = self._count(
            'denied_repeats', 'Repeats beyond the budget', by_service
        )
        self.silent_allocators = self._count(
            'silent_allocators', 'Requests without word of an allocator', ()
        )
        self.platform_calls = self._count(
            'platform_calls', 'Calls to the platform', ('call', 'outcome')
        )
        self.first_byte = self._measure(
            'first_byte', 'Seconds from sending to the head of the answer'
        )
        self.admission_wait = self._measure(
            'admission_wait', 'Seconds from arrival to sending'
        )

    def watch(self, name: str, text: str, read: Callable[[], float]) -> None:
        """Publish a figure that is read when it is asked for.

        :param name: its name without the prefix.
        :param text: what it means.
        :param read: returns the figure.
        """
        gauge = Gauge(f'{_PREFIX}_{name}', text, registry=self.registry)
        gauge.set_function(read)

    def _count(self, name: str, text: str, labels: tuple[str, ...]) -> Counter:
        return Counter(
            f'{_PREFIX}_{name}', text, labels, registry=self.registry
        )

    def _measure(self, name: str, text: str) -> Histogram:
        return Histogram(
            f'{_PREFIX}_{name}_seconds',
            text,
            ('service',),
            buckets=_SECONDS_BUCKETS,
            registry=self.registry,
        )
