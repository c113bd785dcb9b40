"""Long-running tasks of a process."""

from __future__ import annotations

from collections.abc import Callable

import eventlet
from eventlet.greenthread import GreenThread

from egretdale.util.logs import get_logger

logger = get_logger(__name__)


class TaskGroup:
    """Starts tasks and stops them together.

    An exception that ends a task indicates a bug: it is reported to
    ``on_crash``, which stops the process.
    """

    __slots__ = ('_on_crash', '_tasks')

    def __init__(self, on_crash: Callable[[BaseException], None]) -> None:
        """Create an empty group.

        :param on_crash: called with the exception that ended a task.
        """
        self._on_crash = on_crash
        self._tasks: list[GreenThread] = []

    def start(self, function: Callable[..., None], *arguments: object) -> None:
        """Start a task.

        :param function: function that runs until the group is stopped.
        :param arguments: arguments of the function.
        """
        self._tasks.append(eventlet.spawn(self._guard, function, arguments))

    def stop(self) -> None:
        """Stop all tasks."""
        for task in self._tasks:
            task.kill()
        self._tasks.clear()

    def _guard(
        self, function: Callable[..., None], arguments: tuple[object, ...]
    ) -> None:
        try:
            function(*arguments)
        except Exception as error:
            logger.warning(
                'task-crashed', task=function.__name__, error=repr(error)
            )
            self._on_crash(error)
