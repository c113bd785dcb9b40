"""Records of membership: stored members and updates to be gossiped."""

from __future__ import annotations

import msgspec

from egretdale.state.messages import MemberUpdate


class StoredMember(msgspec.Struct):
    """A member object in the platform.

    :ivar update: latest update that the host published about itself.
    """

    update: MemberUpdate


class PendingBroadcast(msgspec.Struct):
    """An update that still has to be sent to peers.

    :ivar host: host that the update is about.
    :ivar left: number of batches in which it is still to be included.
    """

    host: str
    left: int
