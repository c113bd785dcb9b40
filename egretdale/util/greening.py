"""Makes blocking calls of the standard library cooperative on import.

Programs import this module before any other.
"""

from __future__ import annotations

import os
import warnings

# The users chose eventlet knowing of its deprecation; see docs/clashes.md.
warnings.filterwarnings('ignore', message='[^a-z]*Eventlet is deprecated')

# All peers are named by address; the resolver takes long to import.
os.environ.setdefault('EVENTLET_NO_GREENDNS', 'yes')

import eventlet  # noqa: E402

eventlet.monkey_patch()
