"""Tests of the waiting order."""

from __future__ import annotations

from egretdale.state.order import WaitingOrder
from tests.fixtures import create_document, create_waiting
from tests.functions import create_loader

load_tests = create_loader(__name__)


def _take_next(order: WaitingOrder) -> str:
    choice = order.list_candidates(0)[0]
    order.take(choice)
    return choice.waiting.ask.request_id


def test_higher_tiers_go_first() -> None:
    """A request of a higher tier goes first even if it arrived later."""
    order = WaitingOrder(create_document())
    order.add(create_waiting('draft', 'draft', arrival=0, cost=1))
    order.add(create_waiting('counter', 'counter', arrival=5, cost=1))
    assert _take_next(order) == 'counter'
    assert _take_next(order) == 'draft'


def test_organisations_share_a_class_by_weight() -> None:
    """Many requests of one organisation leave others their weighted share."""
    order = WaitingOrder(create_document())
    for number in range(90):
        flood = create_waiting(
            f'large-{number}', 'counter', organisation='large'
        )
        order.add(flood)
    for number in range(10):
        order.add(create_waiting(f'small-{number}', 'counter', arrival=1))
    taken = [_take_next(order) for _ in range(30)]
    small = sum(1 for request_id in taken if request_id.startswith('small'))
    assert small == 10


def test_minimum_share_serves_the_lowest_tier() -> None:
    """A class is served within the bound that follows from its share."""
    order = WaitingOrder(create_document())
    order.add(create_waiting('draft', 'draft', cost=2))
    taken = []
    while 'draft' not in taken and len(taken) < 1000:
        order.add(create_waiting(f'counter-{len(taken)}', 'counter', cost=1))
        taken.append(_take_next(order))
    # At a share of 0.02, two slot-seconds of credit take a hundred to earn.
    assert taken[-1] == 'draft'
    assert len(taken) <= 102


def test_lower_tiers_are_not_ahead() -> None:
    """Work of lower tiers does not count towards the wait of a higher one."""
    order = WaitingOrder(create_document())
    for number in range(50):
        order.add(create_waiting(f'draft-{number}', 'draft', cost=10))
    ahead = order.measure_ahead(create_waiting('counter', 'counter'))
    assert ahead == 0


def test_light_organisation_is_not_behind_a_flood() -> None:
    """Work of another organisation counts only up to its fair share."""
    order = WaitingOrder(create_document())
    for number in range(100):
        order.add(
            create_waiting(f'large-{number}', 'counter', organisation='large')
        )
    ahead = order.measure_ahead(create_waiting('one', 'counter', cost=1))
    assert ahead == 2
