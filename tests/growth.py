"""Measures how the processor time of a task grows with its input."""

from __future__ import annotations

import time
from collections.abc import Callable

#: Growth of the input, and the bound for that of the time. The square of the
#: first is four times the second.
FACTOR = 16
MAXIMUM_GROWTH = 64
_RUNS = 5


def measure_growth(task: Callable[[int], object], size: int) -> float:
    """Return how many times longer a task runs on a longer input.

    :param task: does the work for an input of a size.
    :param size: the smaller size; the larger one is that times ``FACTOR``.
    :return: quotient of the shortest processor times of some runs.
    """
    return _measure_time_s(task, size * FACTOR) / _measure_time_s(task, size)


def _measure_time_s(task: Callable[[int], object], size: int) -> float:
    times = []
    for _ in range(_RUNS):
        began = time.thread_time()
        task(size)
        times.append(time.thread_time() - began)
    return min(times)
