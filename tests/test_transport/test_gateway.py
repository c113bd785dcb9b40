"""Tests of the gateway daemon."""

from __future__ import annotations

from egretdale.config import GatewaySettings
from egretdale.transport.gateway import plan_shutdown
from tests.functions import create_loader

load_tests = create_loader(__name__)


def create_settings(limit_s: float, lifetime_s: float = 2) -> GatewaySettings:
    """Create settings of a host.

    :param limit_s: longest shutdown in seconds.
    :param lifetime_s: seconds for which callers may cache a list of hosts.
    """
    return GatewaySettings(
        host='own',
        data_centre='dc',
        caller_address='10.0.0.1:1',
        peer_address='10.0.0.1:2',
        readiness_address='10.0.0.1:3',
        directory_address='10.0.0.1:4',
        metrics_address='10.0.0.1:5',
        answer_lifetime_s=lifetime_s,
        drain_limit_s=limit_s,
    )


def _plan(lifetime_s: float, limit_s: float) -> tuple[float, float]:
    return plan_shutdown(create_settings(limit_s, lifetime_s))


def test_requests_are_accepted_while_host_lists_are_cached() -> None:
    """Requests are accepted while callers may use a cached host list."""
    accepting_s, limit_s = _plan(1, 600)
    assert accepting_s == 3
    assert limit_s < 600


def test_short_shutdown_leaves_time_for_accepted_requests() -> None:
    """Requests that may take eight seconds are refused with five left."""
    accepting_s, limit_s = _plan(2, 8)
    assert accepting_s < 3
    assert limit_s - accepting_s > 4
