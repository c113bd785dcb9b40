"""Tests of the memory for messages of callers and peers."""

from __future__ import annotations

from functools import partial

from egretdale.state.memory import Holding, MemoryAccount, Source
from tests.functions import create_loader

load_tests = create_loader(__name__)

_LARGE = 100_000


class _Clock:
    """A clock that a test sets."""

    def __init__(self) -> None:
        self.now = float(0)

    def __call__(self) -> float:
        """Return the time."""
        return self.now


def _fill(
    account: MemoryAccount,
    size: int,
    count: int = 1,
    ended: list[Holding] | None = None,
) -> list[Holding]:
    holdings = [account.open(Source.CALLER, '127.0.0.1') for _ in range(count)]
    for holding in holdings:
        if ended is not None:
            holding.start_receiving(partial(ended.append, holding))
        assert holding.grow(size)
    return holdings


def test_large_messages_leave_room_for_ordinary_ones_and_peers() -> None:
    """Each kind may use a larger part of the memory than the one before."""
    account = MemoryAccount(10 * _LARGE, _Clock())
    _fill(account, _LARGE, 6)
    assert not account.open(Source.CALLER, '127.0.0.2').grow(_LARGE)
    _fill(account, _LARGE // 2, 5)
    assert not account.open(Source.CALLER, '127.0.0.2').grow(1)
    assert not account.open(Source.PEER, '127.0.0.3').grow(_LARGE)
    assert account.open(Source.PEER, '127.0.0.3').grow(_LARGE // 2)


def test_the_message_that_cost_most_gives_way() -> None:
    """It is large and was begun long ago; its memory is free at once."""
    clock = _Clock()
    account = MemoryAccount(10 * _LARGE, clock)
    ended: list[Holding] = []
    _fill(account, _LARGE, ended=ended)
    costly = _fill(account, 3 * _LARGE, ended=ended)[0]
    clock.now = 5
    _fill(account, 2 * _LARGE, ended=ended)
    clock.now = 6
    fresh = account.open(Source.CALLER, '127.0.0.2')
    assert fresh.grow(_LARGE)
    assert ended == [costly]
    assert account.held == 4 * _LARGE
    assert not costly.grow(1)


def test_complete_messages_do_not_give_way() -> None:
    """The newcomer is refused."""
    account = MemoryAccount(10 * _LARGE, _Clock())
    holdings = _fill(account, _LARGE, 6)
    assert not account.open(Source.CALLER, '127.0.0.2').grow(_LARGE)
    assert account.refused[Source.CALLER] == 1
    for holding in holdings:
        holding.release()
    assert not account.held


def test_a_single_message_is_accepted_whatever_its_size() -> None:
    """Nothing else competes for the memory."""
    account = MemoryAccount(_LARGE, _Clock())
    holding = account.open(Source.CALLER, '127.0.0.1')
    assert holding.grow(_LARGE)
    assert holding.grow(_LARGE)
    assert not account.open(Source.CALLER, '127.0.0.2').grow(_LARGE)
