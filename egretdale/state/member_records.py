"""News about hosts that is still spread or is stored."""

from __future__ import annotations

import msgspec

from egretdale.state.messages import MemberUpdate


class StoredMember(msgspec.Struct):
    """A member object in the platform.

    :ivar update: newest news that the host published about itself.
    """

    update: MemberUpdate


class PendingBroadcast(msgspec.Struct):
    """News that still has to be repeated.

    :ivar host: host that the news is about.
    :ivar left: batches that it still goes into.
    """

    host: str
    left: int
