"""Turns of tasks that share a thread.

A task that always finds its next bytes received never waits, so that no other
task and no timer would run.
"""

from __future__ import annotations

import eventlet

#: Bytes that a task handles in a row, and what one step counts as.
_TURN_BYTES = 65536
_STEP_BYTES = 1024


class Turn:
    """The work that a task does before other tasks run."""

    __slots__ = ('_left',)

    def __init__(self) -> None:
        """Begin a turn."""
        self._left = _TURN_BYTES

    def begin_step(self) -> None:
        """Let other tasks run if the turn is used up."""
        if self._left <= 0:
            self._left = _TURN_BYTES
            eventlet.sleep(0)
        self._left -= _STEP_BYTES

    def note(self, size: int) -> None:
        """Record what a step has handled.

        :param size: number of bytes.
        """
        self._left -= size
