"""Eras of the platform, as its responses name them.

A platform that is restored from an older copy gives out versions again. The
era, which rises by one with each restoration, tells them apart.
"""

from __future__ import annotations

from egretdale.coordination.ports import ABSENT, Position
from egretdale.errors import Ambiguous, Cause, Conflict
from egretdale.protocol.header_values import is_number
from egretdale.util.logs import get_logger

logger = get_logger(__name__)

#: Header of all responses that names the era.
ERA_HEADER = 'Store-Era'


class EraTracker:
    """Tracks the era that the responses of the platform name.

    :ivar answered: highest era in a response, 0 if none has named one.
    """

    __slots__ = ('_heard', '_odd_header', 'answered')

    def __init__(self) -> None:
        """Create a tracker that has seen no response."""
        self.answered = 0
        # Highest era that a peer has told of.
        self._heard = 0
        # The last header that names no era or an earlier one.
        self._odd_header: str | None = None

    @property
    def newest(self) -> int:
        """Highest era that this host has heard of, 0 if unknown."""
        return max(self.answered, self._heard)

    def hear(self, era: int) -> None:
        """Record an era that a peer knows from a response.

        Responses of lower eras are still accepted.

        :param era: the era.
        """
        self._heard = max(self._heard, era)

    def accept(self, header: str) -> bool:
        """Take over the era of a response.

        :param header: its header; the era stays the same without a number.
        :return: whether the response is not of an earlier era.
        """
        is_known = is_number(header)
        era = int(header) if is_known else self.answered
        if era > self.answered:
            logger.warning('store-era', era=era, before=self.answered)
            self.answered = era
        if era == self.answered and (is_known or not (header or era)):
            self._odd_header = None
        elif header != self._odd_header:
            self._odd_header = header
            logger.warning('store-era-odd', header=header, known=self.answered)
        return era == self.answered

    def check_expected(self, expected: Position) -> Conflict | None:
        """Check a write before it is sent.

        A restored platform may have given out the expected version again.

        :param expected: position that the object must have.
        :return: ``None`` to send it, else the outcome of the write.
        """
        if expected == ABSENT or expected[0] == self.answered:
            return None
        return Conflict(0)

    def check_crossing(self, expected: Position) -> Ambiguous | None:
        """Check a write whose response has just been accepted.

        :param expected: position that the object had to have.
        :return: ``None`` if it was compared in the same era, else the outcome
            of the write.
        """
        if self.check_expected(expected) is None:
            return None
        return Ambiguous(Cause.RESTORED)
