"""Counts of requests by window of time and organisation."""

from __future__ import annotations

from collections import defaultdict

#: Windows that are kept, beside the present one.
KEPT_WINDOWS = 6


class WindowCounts:
    """Counts of one host, which only grow."""

    __slots__ = ('_counts',)

    def __init__(self) -> None:
        """Create counts of nothing."""
        self._counts: dict[int, dict[str, int]] = defaultdict(dict)

    def add(self, window: int, organisation: str) -> None:
        """Count a request.

        :param window: number of the window.
        :param organisation: organisation of the caller.
        """
        counts = self._counts[window]
        counts[organisation] = counts.get(organisation, 0) + 1

    def raise_to(self, window: int, organisation: str, count: int) -> int:
        """Take over a count unless a higher one is known.

        :param window: number of the window.
        :param organisation: organisation of the callers.
        :param count: the count.
        :return: by how much it rose.
        """
        counts = self._counts[window]
        rise = count - counts.get(organisation, 0)
        if rise > 0:
            counts[organisation] = count
        return max(0, rise)

    def find(self, window: int) -> dict[str, int]:
        """Return the counts of a window, by organisation.

        :param window: number of the window.
        """
        return self._counts.get(window, {})

    def list_windows(self) -> list[int]:
        """List the windows that have counts."""
        return sorted(self._counts)

    def forget(self, before: int) -> None:
        """Drop old windows.

        :param before: first window to keep.
        """
        for window in self.list_windows():
            if window < before:
                self._counts.pop(window)
