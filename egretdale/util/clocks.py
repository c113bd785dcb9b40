"""Clocks and conversions of durations."""

from __future__ import annotations

import time
from collections.abc import Callable

from eventlet import hubs

#: Monotonic clock: returns seconds, of which only differences are meaningful.
Clock = Callable[[], float]

#: Wall clock: returns seconds since the Unix epoch.
WallClock = Callable[[], float]

MILLISECONDS_PER_SECOND = 1000


def read_hub_clock() -> float:
    """Read the clock of the eventlet hub of this thread.

    :return: monotonic seconds; virtual time under a virtual-time hub.
    """
    return hubs.get_hub().clock()


def read_boot_clock() -> float:
    """Read the clock that includes time during which the host was suspended.

    :return: monotonic seconds since the host was booted.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def read_wall_clock() -> float:
    """Read the wall clock.

    :return: seconds since the Unix epoch.
    """
    return time.time()


def convert_to_ms(seconds: float) -> int:
    """Convert a duration from seconds to milliseconds.

    :param seconds: duration in seconds.
    :return: the duration in whole milliseconds.
    """
    return round(seconds * MILLISECONDS_PER_SECOND)


def convert_to_seconds(milliseconds: float) -> float:
    """Convert a duration from milliseconds to seconds.

    :param milliseconds: duration in milliseconds.
    :return: the duration in seconds.
    """
    return milliseconds / MILLISECONDS_PER_SECOND
