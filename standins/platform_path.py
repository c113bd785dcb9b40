"""Makes the adapter in ``platform/`` importable for tests and soak runs."""

from __future__ import annotations

import sys
from pathlib import Path

sys.path.append(str(Path(__file__).resolve().parent.parent / 'platform'))
