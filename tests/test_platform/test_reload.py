"""Tests of reloading the settings file."""

from __future__ import annotations

import json
import tempfile
from pathlib import Path
from types import SimpleNamespace

from tests import platform_path  # noqa: F401
from tests.functions import create_loader
from tests.test_platform.test_translation import SETTINGS

from egretdale_platform.daemon import reload_settings  # isort: skip

load_tests = create_loader(__name__)


def _reload(text: str) -> list[str]:
    learned: list[str] = []
    membership = SimpleNamespace(learn_seed=learned.append)
    daemon = SimpleNamespace(gateway=SimpleNamespace(membership=membership))
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / 'node.json'
        path.write_text(text)
        reload_settings(path, daemon)
    return learned


def test_new_seeds_are_learned() -> None:
    """A reload takes over the addresses of other hosts."""
    assert _reload(json.dumps(SETTINGS)) == ['10.1.0.41:3']


def test_a_wrong_file_changes_nothing() -> None:
    """The process goes on with the settings that it has."""
    assert _reload('{"node_name": 1') == []
