"""Makes blocking calls of the standard library cooperative on import.

Programs import this module before any other.
"""

from __future__ import annotations

import warnings

# The users chose eventlet knowing of its deprecation; see docs/clashes.md.
warnings.filterwarnings('ignore', message='[^a-z]*Eventlet is deprecated')

import eventlet  # noqa: E402

eventlet.monkey_patch()
