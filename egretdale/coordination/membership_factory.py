"""Creates the membership of a host."""

from __future__ import annotations

import random
from typing import Protocol

from egretdale.coordination.member_store import MemberStore
from egretdale.coordination.membership import Membership
from egretdale.coordination.mesh import Mesh
from egretdale.coordination.ports import Platform
from egretdale.state.members import MemberStatus
from egretdale.state.messages import MemberUpdate
from egretdale.util.clocks import Clock


class HostSettings(Protocol):
    """Settings for peers, common to all kinds of hosts."""

    host: str
    data_centre: str
    caller_address: str
    peer_address: str
    probe_period_s: float
    suspicion_s: float


class HostDependencies(Protocol):
    """Injected objects that a membership needs."""

    platform: Platform
    clock: Clock
    source: random.Random


def create_membership(
    settings: HostSettings,
    dependencies: HostDependencies,
    mesh: Mesh,
    *,
    incarnation: int,
    capacity: int = 0,
) -> Membership:
    """Create the membership of a host that joins.

    :param settings: settings of the host.
    :param dependencies: injected objects.
    :param mesh: links to peers.
    :param incarnation: start time of the process in milliseconds.
    :param capacity: share of a processor in percent, 0 when not known.
    :return: membership whose only member is this host.
    """
    own = MemberUpdate(
        settings.host,
        incarnation,
        0,
        int(MemberStatus.JOINING),
        settings.data_centre,
        settings.caller_address,
        settings.peer_address,
        capacity=capacity,
    )
    return Membership(
        own,
        mesh,
        MemberStore(
            settings.host,
            dependencies.platform,
            clock=dependencies.clock,
            source=dependencies.source,
        ),
        clock=dependencies.clock,
        source=dependencies.source,
        period_s=settings.probe_period_s,
        suspicion_s=settings.suspicion_s,
    )
