"""Prometheus metrics of a host that forwards requests."""

from __future__ import annotations

from collections.abc import Callable, Iterator, Mapping

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily
from prometheus_client.registry import Collector

from egretdale.state.memory import MemoryAccount, Source

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


class _ServiceGauges(Collector):
    """Gauges by service whose values are read on each scrape."""

    def __init__(
        self, name: str, text: str, read: Callable[[], dict[str, float]]
    ) -> None:
        self._name = name
        self._text = text
        self._read = read

    def collect(self) -> Iterator[GaugeMetricFamily]:
        """Read the current values."""
        family = GaugeMetricFamily(self._name, self._text, labels=['service'])
        for service, current in self._read().items():
            family.add_metric([service], current)
        yield family


class _MemoryCollector(Collector):
    """Memory for messages, and what was refused or closed for limits."""

    def __init__(
        self, account: MemoryAccount, closed: Mapping[str, int]
    ) -> None:
        self._account = account
        self._closed = closed

    def collect(self) -> Iterator[GaugeMetricFamily | CounterMetricFamily]:
        """Read the current values."""
        held = GaugeMetricFamily(
            f'{_PREFIX}_message_bytes',
            'Memory held for messages',
            labels=['source'],
        )
        refused = CounterMetricFamily(
            f'{_PREFIX}_memory_refused',
            'Messages refused for want of memory',
            labels=['source'],
        )
        evicted = CounterMetricFamily(
            f'{_PREFIX}_messages_evicted',
            'Incomplete messages that gave way to others',
            labels=['source'],
        )
        for source in Source:
            held.add_metric([source], self._account.measure_source(source))
            refused.add_metric([source], self._account.refused[source])
            evicted.add_metric([source], self._account.evicted[source])
        closed = CounterMetricFamily(
            f'{_PREFIX}_connections_closed',
            'Connections closed for a limit',
            labels=['reason'],
        )
        for reason, count in self._closed.items():
            closed.add_metric([reason], count)
        yield from (held, refused, evicted, closed)


class GatewayMetrics:
    """The metrics of a forwarding host.

    :ivar registry: registry that holds them all.
    :ivar ended: answered requests, by outcome of the answer.
    :ivar refused: refusals, by reason and whether the request ran.
    :ivar attempts: attempts at backend servers, by service and outcome.
    :ivar repeats: attempts after the first, by service.
    :ivar denied_repeats: retries that the retry budget did not allow, by
        service.
    :ivar first_byte: seconds from sending a request to receiving the head of
        its answer, by service.
    :ivar admission_wait: seconds from the arrival of a request to sending it,
        by service.
    :ivar silent_allocators: requests whose allocator did not reply.
    :ivar platform_calls: calls to the platform, by call and outcome.
    :ivar scale_orders: orders of engines, by service and outcome.
    :ivar desired_engines: engines that should run, by service, data centre and
        kind; only on the host that orders them.
    :ivar listed_engines: engines that run, by the same.
    :ivar duty_calls: calls on behalf of all hosts, by duty and outcome.
    """

    __slots__ = (
        'admission_wait',
        'attempts',
        'denied_repeats',
        'desired_engines',
        'duty_calls',
        'ended',
        'first_byte',
        'listed_engines',
        'platform_calls',
        'refused',
        'registry',
        'repeats',
        'scale_orders',
        'silent_allocators',
    )

    def __init__(self) -> None:
        """Create all metrics at zero."""
        self.registry = CollectorRegistry()
        by_service = ('service',)
        self.ended = self._create_counter(
            'ended', 'Answered requests', ('outcome',)
        )
        self.refused = self._create_counter(
            'refused', 'Refused requests', ('reason', 'ran')
        )
        self.attempts = self._create_counter(
            'attempts', 'Requests sent to backend servers', ('service', 'ended')
        )
        self.repeats = self._create_counter(
            'repeats', 'Attempts beyond the first', by_service
        )
        self.denied_repeats = self._create_counter(
            'denied_repeats', 'Repeats beyond the budget', by_service
        )
        self.silent_allocators = self._create_counter(
            'silent_allocators', 'Requests without word of an allocator', ()
        )
        self.platform_calls = self._create_counter(
            'platform_calls', 'Calls to the platform', ('call', 'outcome')
        )
        self.scale_orders = self._create_counter(
            'scale_orders', 'Orders of engines', ('service', 'outcome')
        )
        by_kind = ('service', 'data_centre', 'kind')
        self.desired_engines = Gauge(
            f'{_PREFIX}_desired_engines',
            'Engines that should run',
            by_kind,
            registry=self.registry,
        )
        self.listed_engines = Gauge(
            f'{_PREFIX}_listed_engines',
            'Engines that take requests',
            by_kind,
            registry=self.registry,
        )
        self.duty_calls = self._create_counter(
            'duty_calls', 'Calls on behalf of all', ('duty', 'outcome')
        )
        self.first_byte = self._create_histogram(
            'first_byte', 'Seconds from sending to the head of the answer'
        )
        self.admission_wait = self._create_histogram(
            'admission_wait', 'Seconds from arrival to sending'
        )

    def add_gauge(
        self, name: str, text: str, read: Callable[[], float]
    ) -> None:
        """Publish a gauge whose value is read on each scrape.

        :param name: name of the metric without the prefix.
        :param text: help text of the metric.
        :param read: returns the current value.
        """
        gauge = Gauge(f'{_PREFIX}_{name}', text, registry=self.registry)
        gauge.set_function(read)

    def add_memory(
        self, account: MemoryAccount, closed: Mapping[str, int]
    ) -> None:
        """Publish the memory for messages, and what was refused for it.

        :param account: the memory for messages of callers and peers.
        :param closed: connections that were closed for a limit, by reason.
        """
        self.registry.register(_MemoryCollector(account, closed))

    def add_gauges(
        self, name: str, text: str, read: Callable[[], dict[str, float]]
    ) -> None:
        """Publish a gauge of each service, read on each scrape.

        :param name: name of the metric without the prefix.
        :param text: help text of the metric.
        :param read: returns the current values by service.
        """
        collector = _ServiceGauges(f'{_PREFIX}_{name}', text, read)
        self.registry.register(collector)

    def _create_counter(
        self, name: str, text: str, labels: tuple[str, ...]
    ) -> Counter:
        return Counter(
            f'{_PREFIX}_{name}', text, labels, registry=self.registry
        )

    def _create_histogram(self, name: str, text: str) -> Histogram:
        return Histogram(
            f'{_PREFIX}_{name}_seconds',
            text,
            ('service',),
            buckets=_SECONDS_BUCKETS,
            registry=self.registry,
        )
