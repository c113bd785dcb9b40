"""Clocks of a process."""

from __future__ import annotations

import time
from collections.abc import Callable

from eventlet import hubs

#: Returns seconds that never run backwards; only differences have meaning.
Clock = Callable[[], float]

#: Returns seconds since the Unix epoch.
WallClock = Callable[[], float]

MILLISECONDS_PER_SECOND = 1000


def read_hub_clock() -> float:
    """Read the clock of the running event hub.

    :return: monotonic seconds; virtual seconds under a virtual-time hub.
    """
    return hubs.get_hub().clock()


def read_boot_clock() -> float:
    """Read the clock that also counts time during which we were suspended.

    :return: monotonic seconds since the host was started.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def read_wall_clock() -> float:
    """Read the calendar clock.

    :return: seconds since the Unix epoch.
    """
    return time.time()


def convert_to_ms(seconds: float) -> int:
    """Convert a duration.

    :param seconds: duration in seconds.
    :return: the duration in whole milliseconds.
    """
    return round(seconds * MILLISECONDS_PER_SECOND)


def convert_to_seconds(milliseconds: float) -> float:
    """Convert a duration.

    :param milliseconds: duration in milliseconds.
    :return: the duration in seconds.
    """
    return milliseconds / MILLISECONDS_PER_SECOND
