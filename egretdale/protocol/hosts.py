"""The answer to a caller who asks which entry hosts to use."""

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


class HostsAnswer(msgspec.Struct, frozen=True):
    """Entry hosts in the order of preference.

    :ivar hosts: the hosts.
    :ivar keep_s: seconds that the answer may be kept.
    :ivar keys: idempotency keys, each for one request.
    """

    hosts: tuple[EntryHost, ...]
    keep_s: float
    keys: tuple[str, ...]


def order_hosts(
    members: list[Member], data_centre: str, spread_key: str
) -> tuple[EntryHost, ...]:
    """Order entry hosts for a caller.

    Hosts of the caller's data centre go first. Within a data centre each
    caller prefers its own host, weighted by how idle the hosts are, so an
    organisation's requests stay together while load allows.

    :param members: hosts that serve.
    :param data_centre: data centre of the caller.
    :param spread_key: text that spreads callers, such as the organisation.
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
