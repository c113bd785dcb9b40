"""Orders to load models, with or without a check of fencing numbers."""

from __future__ import annotations

from typing import Any


class OrderBook:
    """The models that an engine has loaded and the orders it took.

    :ivar taken: orders in the sequence in which they were taken.
    """

    __slots__ = ('_checks_fencing', '_highest', 'taken')

    def __init__(self, *, checks_fencing: bool) -> None:
        """Create an empty book.

        :param checks_fencing: whether orders with an old number are refused.
        """
        self.taken: list[dict[str, Any]] = []
        self._checks_fencing = checks_fencing
        self._highest = 0

    def take(self, order: dict[str, Any]) -> bool:
        """Take an order.

        :param order: fields ``model``, ``version``, ``adapter``, ``fencing``.
        :return: whether it was taken.
        """
        fencing = int(order.get('fencing', 0))
        if self._checks_fencing and fencing < self._highest:
            return False
        self._highest = max(self._highest, fencing)
        self.taken.append(order)
        return True

    def describe(self) -> list[dict[str, Any]]:
        """Describe the orders taken."""
        return self.taken
