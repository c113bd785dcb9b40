"""Fails stalled tests and prints the stacks of their tasks."""

from __future__ import annotations

import gc
import signal
import sys
import traceback
import unittest
from types import FrameType

from greenlet import greenlet

#: Seconds of real time after which a test counts as stalled.
_STALL_S = 180


class StallResult(unittest.TextTestResult):
    """A test result that fails stalled tests and prints all task stacks."""

    def startTest(self, test: unittest.TestCase) -> None:  # noqa: N802
        """Start the timer.

        :param test: the test that starts.
        """
        signal.signal(signal.SIGALRM, _fail)
        signal.alarm(_STALL_S)
        super().startTest(test)

    def stopTest(self, test: unittest.TestCase) -> None:  # noqa: N802
        """Stop the timer.

        :param test: the test that has ended.
        """
        signal.alarm(0)
        super().stopTest(test)


def _fail(number: int, frame: FrameType | None) -> None:
    for task in gc.get_objects():
        if isinstance(task, greenlet) and task.gr_frame is not None:
            print(f'waiting: {task!r}', file=sys.stderr)
            traceback.print_stack(task.gr_frame)
    raise AssertionError(f'stalled for {_STALL_S} s')
