"""Prometheus metrics of a daemon."""

from __future__ import annotations

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram

_FIRST_TOKEN_BUCKETS = (
    0.01,
    0.03,
    0.1,
    0.3,
    0.6,
    1.2,
    2.5,
    5.0,
    10.0,
    30.0,
    120.0,
)
_GROUP = ('group',)


class DaemonMetrics:
    """The metrics that a daemon publishes.

    :ivar registry: registry that holds them all.
    :ivar answered: complete answers, by service and class.
    :ivar attained: complete answers within the first-token target, by
        service and class.
    :ivar refused: refusals, by service, class, reason and whether the request
        ran.
    :ivar goodput: tokens of complete answers, by service and class.
    :ivar wasted: tokens that were generated but not delivered, by service
        and cause.
    :ivar retries: attempts after the first, by service and cause.
    :ivar first_token: seconds from arrival to the first byte, by service and
        class.
    :ivar in_progress: requests in progress.
    :ivar waiting: waiting requests, by group allocated by this host.
    :ivar slots: slots, by group allocated by this host.
    :ivar busy: slots in use, by group allocated by this host.
    :ivar platform_calls: calls to the platform, by call and outcome.
    :ivar peer_bytes: bytes sent to peers.
    """

    __slots__ = (
        'answered',
        'attained',
        'busy',
        'first_token',
        'goodput',
        'in_progress',
        'peer_bytes',
        'platform_calls',
        'refused',
        'registry',
        'retries',
        'slots',
        'waiting',
        'wasted',
    )

    def __init__(self) -> None:
        """Create all metrics at zero."""
        self.registry = CollectorRegistry()
        by_class = ('service', 'request_class')
        self.answered = self._create_counter(
            'answered', 'Whole answers', by_class
        )
        self.attained = self._create_counter(
            'attained',
            'Whole answers within the first-token target',
            by_class,
        )
        self.refused = self._create_counter(
            'refused', 'Refused requests', (*by_class, 'reason', 'ran')
        )
        self.goodput = self._create_counter(
            'goodput_tokens', 'Tokens of whole answers', by_class
        )
        self.wasted = self._create_counter(
            'wasted_tokens',
            'Tokens that reached no caller',
            ('service', 'cause'),
        )
        self.retries = self._create_counter(
            'retries', 'Further attempts', ('service', 'cause')
        )
        self.platform_calls = self._create_counter(
            'platform_calls', 'Calls to the platform', ('call', 'outcome')
        )
        self.peer_bytes = self._create_counter(
            'peer_bytes', 'Bytes sent to peers', ()
        )
        self.first_token = Histogram(
            'egretdale_first_token_seconds',
            'Seconds from arrival to the first byte',
            by_class,
            buckets=_FIRST_TOKEN_BUCKETS,
            registry=self.registry,
        )
        self.in_progress = self._create_gauge(
            'requests_in_progress', 'Requests in progress', ()
        )
        self.waiting = self._create_gauge(
            'group_waiting',
            'Requests waiting in groups allocated here',
            _GROUP,
        )
        self.slots = self._create_gauge(
            'group_slots', 'Slots of groups allocated here', _GROUP
        )
        self.busy = self._create_gauge(
            'group_slots_in_use',
            'Slots in use of groups allocated here',
            _GROUP,
        )

    def _create_gauge(
        self, name: str, text: str, labels: tuple[str, ...]
    ) -> Gauge:
        return Gauge(f'egretdale_{name}', text, labels, registry=self.registry)

    def _create_counter(
        self, name: str, text: str, labels: tuple[str, ...]
    ) -> Counter:
        return Counter(
            f'egretdale_{name}', text, labels, registry=self.registry
        )
