"""Greening of the standard library by eventlet.

Importing this module makes blocking calls of the standard library
cooperative. Programs import it before any other module.
"""

from __future__ import annotations

import os
import warnings

# Eventlet was chosen despite its deprecation; see docs/clashes.md.
warnings.filterwarnings('ignore', message='[^a-z]*Eventlet is deprecated')

# Eventlet's DNS resolver is slow to import and not needed: all peers are given
# by address.
os.environ.setdefault('EVENTLET_NO_GREENDNS', 'yes')

import eventlet  # noqa: E402

eventlet.monkey_patch()
