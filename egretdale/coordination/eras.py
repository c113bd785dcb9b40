"""What holds for one era of the platform."""

from __future__ import annotations

from egretdale.coordination.ports import Platform, Position

#: Bits of a token below its era.
_VERSION_BITS = 40


def create_token(position: Position) -> int:
    """Return a number that grows with each write, across eras too.

    :param position: position of the written object.
    :return: the version in the first era and on a platform that names none.
    """
    era, version = position
    return (max(era - 1, 0) << _VERSION_BITS) + version


def read_version(token: int) -> int:
    """Return the version that a token was created from.

    :param token: the token.
    """
    return token & ((1 << _VERSION_BITS) - 1)


class EraConfirmation:
    """Tells whether what was read or written still stands in the platform.

    A restoration from an older copy undoes what was written since. Whoever
    remembers that something is stored confirms it after each call, and calls
    again when the confirmation is outdated.
    """

    __slots__ = ('_era', '_platform')

    def __init__(self, platform: Platform) -> None:
        """Create a confirmation of nothing, which is never outdated.

        :param platform: object API.
        """
        self._platform = platform
        self._era: int | None = None

    def read_era(self) -> int:
        """Return the present era, before a call that confirms something."""
        return self._platform.era

    def confirm(self, era: int) -> None:
        """Record that a call has shown what is stored.

        :param era: era before the call. If the call itself shows a higher
            one, it may have been answered before the restoration.
        """
        # The first response names an era, which is no restoration.
        self._era = era or self._platform.era

    def is_outdated(self) -> bool:
        """Tell whether the platform was restored since."""
        return self._era is not None and self._era != self._platform.era
