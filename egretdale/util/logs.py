"""Structured log lines on standard output, bounded and never blocking."""

from __future__ import annotations

import logging
import os
import sys
import time
from typing import Any

import msgspec
from absl import logging as absl_logging
from eventlet import patcher

from egretdale.util.buckets import TokenBucket

#: System calls that do not wait, unlike the cooperative ones.
_system: Any = patcher.original('os')

_encoder = msgspec.json.Encoder(enc_hook=str)

#: Seconds of the line rate that may be saved up.
_BURST_S = 2.0
#: Warnings and errors have a rate of their own, as a part of all lines.
_WARNING_SHARE = 0.25


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


class LineHandler(logging.Handler):
    """Writes lines to a descriptor while its reader keeps up.

    Lines above the rate, or for which the reader has no room, are left out
    and counted; the next line that is written says how many.

    :ivar dropped: lines left out since the last one that was written.
    """

    def __init__(self, descriptor: int, host: str, lines_per_s: float) -> None:
        """Write to a descriptor, which becomes non-blocking.

        :param descriptor: open descriptor.
        :param host: name of this host, part of each line.
        :param lines_per_s: lines a second above which lines are left out.
        """
        super().__init__()
        os.set_blocking(descriptor, False)
        self.dropped = 0
        self._descriptor = descriptor
        self._host = host
        self._rest = b''
        burst = lines_per_s * _BURST_S
        self._lines = TokenBucket(lines_per_s, burst, time.monotonic)
        self._warnings = TokenBucket(
            lines_per_s * _WARNING_SHARE,
            burst * _WARNING_SHARE,
            time.monotonic,
        )

    def emit(self, record: logging.LogRecord) -> None:
        """Write a line or leave it out.

        :param record: the line.
        """
        urgent = record.levelno >= logging.WARNING
        bucket = self._warnings if urgent else self._lines
        if not bucket.take() or not self._flush_rest():
            self.dropped += 1
            return
        text = record.getMessage()
        head = f'{{"at":{record.created:.3f},"entry_host":"{self._host}",'
        if self.dropped:
            head = f'{head}"lines_left_out":{self.dropped},'
            self.dropped = 0
        self._write(f'{head}{text[1:]}\n'.encode())

    def _flush_rest(self) -> bool:
        if self._rest:
            rest = self._rest
            self._rest = b''
            self._write(rest)
        return not self._rest

    def _write(self, line: bytes) -> None:
        try:
            written = _system.write(self._descriptor, line)
        except BlockingIOError:
            self._keep(line, 0)
        except OSError:
            # Nobody reads any more, and there is nowhere else to say so.
            self.dropped += 1
        else:
            self._keep(line, written)

    def _keep(self, line: bytes, written: int) -> None:
        self._rest = line[written:]


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


def log_to_output(host: str, lines_per_s: float) -> None:
    """Write all lines of this process to its standard output.

    :param host: name of this host.
    :param lines_per_s: lines a second above which lines are left out.
    """
    handler = LineHandler(sys.stdout.fileno(), host, lines_per_s)
    # Imported libraries log nothing that an operator could act on.
    logging.getLogger('urllib3').setLevel(logging.CRITICAL)
    target = absl_logging.get_absl_logger()
    target.handlers = [handler]
    target.propagate = False
    absl_logging.set_verbosity('info')
