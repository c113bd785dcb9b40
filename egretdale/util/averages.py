"""Moving averages."""

from __future__ import annotations

_SMOOTHING = 0.1


def smooth(previous: float, sample: float, weight: float = _SMOOTHING) -> float:
    """Update an exponentially weighted moving average.

    :param previous: previous average.
    :param sample: new sample.
    :param weight: weight of the sample, from 0 to 1.
    :return: the new average.
    """
    return previous + weight * (sample - previous)
