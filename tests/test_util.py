"""Tests of the utilities shared by all layers."""

from __future__ import annotations

import json
import logging
import os
from collections.abc import Iterator
from contextlib import contextmanager

from eventlet import patcher

from egretdale.util.logs import LineHandler
from tests.functions import create_loader

load_tests = create_loader(__name__)

# The cooperative version of os.read would wait for data.
_system = patcher.original('os')


@contextmanager
def _open_handler(lines_per_s: float) -> Iterator[tuple[LineHandler, int]]:
    reader, writer = os.pipe()
    os.set_blocking(reader, False)
    yield LineHandler(writer, 'host-0', lines_per_s), reader
    os.close(reader)
    os.close(writer)


def _emit(handler: LineHandler, number: int, level: int = logging.INFO) -> None:
    text = json.dumps({'event': 'x', 'number': number, 'pad': 'y' * 200})
    record = logging.LogRecord('absl', level, '', 0, text, None, None)
    handler.emit(record)


def _read_lines(reader: int) -> list[dict]:
    received = b''
    while True:
        try:
            chunk = _system.read(reader, 1 << 20)
        except BlockingIOError:
            break
        if not chunk:
            break
        received += chunk
    return [json.loads(line) for line in received.splitlines()]


def test_lines_carry_time_and_host() -> None:
    """Each line is a JSON object with the time and the name of the host."""
    with _open_handler(100) as (handler, reader):
        _emit(handler, 1)
        line = _read_lines(reader)[0]
        assert line['entry_host'] == 'host-0'
        assert line['at'] > 0
        assert line['number'] == 1


def test_lines_above_the_rate_are_counted() -> None:
    """The next line reports the dropped lines; warnings are still logged."""
    with _open_handler(10) as (handler, reader):
        for number in range(50):
            _emit(handler, number)
        _emit(handler, 99, logging.WARNING)
        lines = _read_lines(reader)
        assert len(lines) < 30
        assert lines[-1]['number'] == 99
        assert lines[-1]['lines_left_out'] >= 20


def test_a_full_pipe_loses_lines_and_does_not_block() -> None:
    """A stalled reader loses lines, but no line reaches it incomplete."""
    with _open_handler(1e6) as (handler, reader):
        for number in range(1000):
            _emit(handler, number)
        assert handler.dropped > 100
        first = _read_lines_partly(reader)
        _emit(handler, 5000)
        lines = [json.loads(line) for line in first.splitlines()[:-1]]
        assert [line['number'] for line in lines] == list(range(len(lines)))
        rest = first.splitlines()[-1]
        more = rest + _system.read(reader, 1 << 20)
        assert json.loads(more.splitlines()[-1])['number'] == 5000


def _read_lines_partly(reader: int) -> bytes:
    received = b''
    while True:
        try:
            received += _system.read(reader, 1 << 20)
        except BlockingIOError:
            return received
