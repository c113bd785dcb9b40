"""Orders to load models, with an optional check of fencing tokens."""

from __future__ import annotations

from typing import Any


class OrderLog:
    """The orders to load models that an engine has accepted.

    :ivar taken: accepted orders in sequence.
    """

    __slots__ = ('_checks_fencing', '_highest', 'taken')

    def __init__(self, *, checks_fencing: bool) -> None:
        """Create an empty log.

        :param checks_fencing: whether to refuse orders with a lower fencing
            token than an accepted one.
        """
        self.taken: list[dict[str, Any]] = []
        self._checks_fencing = checks_fencing
        self._highest = 0

    def take(self, order: dict[str, Any]) -> bool:
        """Accept an order, unless its fencing token is outdated.

        :param order: fields ``model``, ``version``, ``adapter``, ``fencing``.
        :return: whether it was accepted.
        """
        fencing = int(order.get('fencing', 0))
        if self._checks_fencing and fencing < self._highest:
            return False
        self._highest = max(self._highest, fencing)
        self.taken.append(order)
        return True

    def describe(self) -> list[dict[str, Any]]:
        """Return the accepted orders."""
        return self.taken
