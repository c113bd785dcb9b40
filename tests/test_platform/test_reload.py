"""Tests of reloading the settings file."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
import tempfile
import time
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from types import SimpleNamespace

from standins import platform_path  # noqa: F401
from tests.functions import create_loader
from tests.test_platform.test_translation import SETTINGS

from egretdale_platform.daemon import reload_settings  # isort: skip

load_tests = create_loader(__name__)

_ROOT = Path(__file__).resolve().parents[2]
_START_TIMEOUT_S = 20
_POLL_INTERVAL_S = 0.02


def _reload(text: str) -> list[str]:
    learned: list[str] = []
    membership = SimpleNamespace(learn_seed=learned.append)
    daemon = SimpleNamespace(gateway=SimpleNamespace(membership=membership))
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / 'node.json'
        path.write_text(text)
        reload_settings(path, [daemon])
    return learned


def test_new_seeds_are_learned() -> None:
    """A reload adds the new seeds, without the host's own address."""
    assert _reload(json.dumps(SETTINGS)) == ['10.1.0.41:3']


def test_a_wrong_file_changes_nothing() -> None:
    """If the file is malformed, the process keeps its settings."""
    assert _reload('{"node_name": 1') == []


def _handles(process: subprocess.Popen[bytes], number: int) -> bool:
    """Return whether a process ignores or catches a signal."""
    status = Path(f'/proc/{process.pid}/status').read_text()
    masks = [
        int(line.split()[1], 16)
        for line in status.splitlines()
        if line.startswith(('SigIgn', 'SigCgt'))
    ]
    return any(mask & (1 << (number - 1)) for mask in masks)


@contextmanager
def _start_daemon(number: int) -> Iterator[subprocess.Popen[bytes]]:
    """Start a daemon that stays in its start, and wait for a handler.

    :param number: signal that has to be handled.
    """
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / 'node.json'
        # A pipe without a writer: the daemon blocks when it opens its settings.
        os.mkfifo(path)
        process = subprocess.Popen(
            (sys.executable, 'platform/daemon.py'),
            cwd=_ROOT,
            env={**os.environ, 'EGRETDALE_BOOT': str(path)},
            stdout=subprocess.DEVNULL,
        )
        try:
            deadline = time.monotonic() + _START_TIMEOUT_S
            while not _handles(process, number):
                assert time.monotonic() < deadline, (
                    f'the daemon does not handle signal {number}'
                )
                time.sleep(_POLL_INTERVAL_S)
            yield process
        finally:
            process.kill()
            process.wait()


def test_a_change_during_the_start_does_not_end_the_process() -> None:
    """SIGHUP during the start does not end the process.

    Its default action ended a daemon that received it 0.3 s after its start
    (soak test with seed 1039).
    """
    with _start_daemon(signal.SIGHUP) as process:
        process.send_signal(signal.SIGHUP)
        time.sleep(1)
        assert process.poll() is None


def test_a_stop_during_the_start_ends_with_success() -> None:
    """Nothing was taken yet (soak seeds 1796353943 and 1796386981)."""
    for delay_s in (0, 0.1, 0.2, 0.4):
        with _start_daemon(signal.SIGTERM) as process:
            time.sleep(delay_s)
            process.send_signal(signal.SIGTERM)
            assert process.wait(_START_TIMEOUT_S) == 0
