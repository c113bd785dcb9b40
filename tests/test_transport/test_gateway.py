"""Tests of the daemon of a forwarding host."""

from __future__ import annotations

from egretdale.config import GatewaySettings
from egretdale.transport.gateway import plan_shutdown
from tests.functions import create_loader

load_tests = create_loader(__name__)


def _plan(lifetime_s: float, limit_s: float) -> tuple[float, float]:
    return plan_shutdown(
        GatewaySettings(
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
    )


def test_a_stop_takes_requests_while_old_answers_are_kept() -> None:
    """Callers that kept an old answer are still served."""
    taking_s, limit_s = _plan(1, 600)
    assert taking_s == 3
    assert limit_s < 600


def test_a_short_stop_leaves_time_for_what_it_took() -> None:
    """Requests of eight seconds are not taken when five are left."""
    taking_s, limit_s = _plan(2, 8)
    assert taking_s < 3
    assert limit_s - taking_s > 4
