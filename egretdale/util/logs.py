"""Structured log lines."""

from __future__ import annotations

import msgspec
from absl import logging as absl_logging

_encoder = msgspec.json.Encoder(enc_hook=str)


class Logger:
    """Writes one JSON object a line through ``absl.logging``.

    :ivar name: module that writes.
    """

    __slots__ = ('name',)

    def __init__(self, name: str) -> None:
        """Name the logger.

        :param name: module that writes.
        """
        self.name = name

    def info(self, event: str, **fields: object) -> None:
        """Write an informational line.

        :param event: short name of what happened.
        :param fields: facts of the event; numbers carry units in their name.
        """
        if absl_logging.vlog_is_on(0):
            absl_logging.info('%s', self._format(event, fields))

    def warning(self, event: str, **fields: object) -> None:
        """Write a warning line.

        :param event: short name of what happened.
        :param fields: facts of the event; numbers carry units in their name.
        """
        absl_logging.warning('%s', self._format(event, fields))

    def _format(self, event: str, fields: dict[str, object]) -> str:
        line = {'event': event, 'module': self.name, **fields}
        return _encoder.encode(line).decode()


def get_logger(name: str) -> Logger:
    """Return the logger of a module.

    :param name: the module's ``__name__``.
    :return: a logger.
    """
    return Logger(name)


def choose_verbosity(level: str) -> None:
    """Choose which lines are written.

    :param level: ``info``, ``warning`` or ``error``.
    """
    absl_logging.set_verbosity(level)
