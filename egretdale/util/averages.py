"""Moving averages."""

from __future__ import annotations

_SMOOTHING = 0.1


def smooth(previous: float, sample: float, weight: float = _SMOOTHING) -> float:
    """Move an exponentially weighted mean towards a sample.

    :param previous: mean so far.
    :param sample: new sample.
    :param weight: weight of the sample, from 0 to 1.
    :return: the new mean.
    """
    return previous + weight * (sample - previous)
