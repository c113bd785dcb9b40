"""The response that tells a caller which entry hosts to use."""

from __future__ import annotations

import msgspec

from egretdale.state.members import Member
from egretdale.util.hashing import hash_text


class EntryHost(msgspec.Struct, frozen=True):
    """An entry host that a caller may use.

    :ivar host: name of the host.
    :ivar address: ``address:port`` for callers.
    :ivar data_centre: data centre of the host.
    """

    host: str
    address: str
    data_centre: str


class HostsResponse(msgspec.Struct, frozen=True):
    """Entry hosts in order of preference.

    :ivar hosts: the hosts.
    :ivar keep_s: how long the response may be cached, in seconds.
    :ivar keys: idempotency keys, each for one request.
    """

    hosts: tuple[EntryHost, ...]
    keep_s: float
    keys: tuple[str, ...]


def order_hosts(
    members: list[Member], data_centre: str, spread_key: str
) -> tuple[EntryHost, ...]:
    """Order entry hosts for a caller.

    Hosts of the caller's data centre come first. Within a data centre, hosts
    are ranked by a hash of spread key and host name divided by one plus the
    host's load, so an organisation keeps to one host while load allows.

    :param members: hosts that accept requests.
    :param data_centre: data centre of the caller.
    :param spread_key: text by which callers are spread, such as their
        organisation.
    :return: the hosts in order.
    """
    ranked = sorted(
        (member for member in members if member.update.caller_address),
        key=lambda member: (
            member.update.data_centre != data_centre,
            -_score(member, spread_key),
        ),
    )
    return tuple(
        EntryHost(
            member.update.host,
            member.update.caller_address,
            member.update.data_centre,
        )
        for member in ranked
    )


def _score(member: Member, spread_key: str) -> float:
    hashed = hash_text(f'{spread_key}|{member.update.host}') or 1
    return hashed / (1 + member.update.load)
