"""Structured logging to standard output, rate-limited and non-blocking."""

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

#: The unpatched ``os`` module: unlike the cooperative one that eventlet
#: installs, its calls on a non-blocking descriptor do not wait.
_system: Any = patcher.original('os')

_encoder = msgspec.json.Encoder(enc_hook=str)

#: Size of a burst of lines, in seconds of the line rate.
_BURST_S = 2.0
#: Rate of warnings and errors, which is limited separately, as a fraction of
#: the rate of other lines.
_WARNING_SHARE = 0.25


class Logger:
    """Writes one JSON object per line through ``absl.logging``.

    :ivar name: name of the module that logs.
    """

    __slots__ = ('name',)

    def __init__(self, name: str) -> None:
        """Create a logger.

        :param name: name of the module that logs.
        """
        self.name = name

    def info(self, event: str, **fields: object) -> None:
        """Log an informational line.

        :param event: short name of the event.
        :param fields: fields of the line; names of quantities end with a unit.
        """
        if absl_logging.vlog_is_on(0):
            absl_logging.info('%s', self._format(event, fields))

    def warning(self, event: str, **fields: object) -> None:
        """Log a warning.

        :param event: short name of the event.
        :param fields: fields of the line; names of quantities end with a unit.
        """
        absl_logging.warning('%s', self._format(event, fields))

    def _format(self, event: str, fields: dict[str, object]) -> str:
        line = {'event': event, 'module': self.name, **fields}
        return _encoder.encode(line).decode()


class LineHandler(logging.Handler):
    """Writes log lines to a file descriptor without blocking.

    Lines that exceed the rate or do not fit into the pipe are dropped and
    counted; the next line that is written reports how many.

    :ivar dropped: number of lines dropped since the last one that was
        written.
    """

    def __init__(self, descriptor: int, host: str, lines_per_s: float) -> None:
        """Create a handler for a descriptor, which becomes non-blocking.

        :param descriptor: open file descriptor.
        :param host: name of this host, included in each line.
        :param lines_per_s: lines per second above which lines are dropped.
        """
        super().__init__()
        os.set_blocking(descriptor, False)
        self.dropped = 0
        self._descriptor = descriptor
        self._host = host
        self._unwritten = b''
        burst = lines_per_s * _BURST_S
        self._lines = TokenBucket(lines_per_s, burst, time.monotonic)
        self._warnings = TokenBucket(
            lines_per_s * _WARNING_SHARE,
            burst * _WARNING_SHARE,
            time.monotonic,
        )

    def emit(self, record: logging.LogRecord) -> None:
        """Write a line or drop it.

        :param record: log record whose message is a JSON object.
        """
        urgent = record.levelno >= logging.WARNING
        bucket = self._warnings if urgent else self._lines
        if not bucket.take() or not self._flush_unwritten():
            self.dropped += 1
            return
        text = record.getMessage()
        head = f'{{"at":{record.created:.3f},"entry_host":"{self._host}",'
        if self.dropped:
            head = f'{head}"lines_left_out":{self.dropped},'
            self.dropped = 0
        self._write(f'{head}{text[1:]}\n'.encode())

    def _flush_unwritten(self) -> bool:
        if self._unwritten:
            unwritten = self._unwritten
            self._unwritten = b''
            self._write(unwritten)
        return not self._unwritten

    def _write(self, line: bytes) -> None:
        try:
            written = _system.write(self._descriptor, line)
        except BlockingIOError:
            self._keep_unwritten(line, 0)
        except OSError:
            # The reader is gone, and there is nowhere else to report it.
            self.dropped += 1
        else:
            self._keep_unwritten(line, written)

    def _keep_unwritten(self, line: bytes, written: int) -> None:
        self._unwritten = line[written:]


def get_logger(name: str) -> Logger:
    """Return the logger of a module.

    :param name: the module's ``__name__``.
    :return: a logger.
    """
    return Logger(name)


def choose_verbosity(level: str) -> None:
    """Set the lowest level that is logged.

    :param level: ``info``, ``warning`` or ``error``.
    """
    absl_logging.set_verbosity(level)


def log_to_output(host: str, lines_per_s: float) -> None:
    """Write the log of this process to its standard output.

    :param host: name of this host.
    :param lines_per_s: lines per second above which lines are dropped.
    """
    handler = LineHandler(sys.stdout.fileno(), host, lines_per_s)
    # urllib3 logs nothing that an operator could act on.
    logging.getLogger('urllib3').setLevel(logging.CRITICAL)
    target = absl_logging.get_absl_logger()
    target.handlers = [handler]
    target.propagate = False
    absl_logging.set_verbosity('info')
