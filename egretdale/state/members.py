"""Views of the entry hosts of the system."""

from __future__ import annotations

import enum
from dataclasses import dataclass

from egretdale.state.messages import MemberUpdate
from egretdale.util.hashing import rank_by_rendezvous

#: Part of the largest host's capacity that a host with duties has.
_DUTY_CAPACITY_SHARE = 0.7


class MemberStatus(enum.IntEnum):
    """Status of an entry host, in order of precedence."""

    ALIVE = 0
    JOINING = 1
    SUSPECT = 2
    LEAVING = 3
    GONE = 4


@dataclass(slots=True)
class Member:
    """An entry host and when its status was last changed.

    :ivar update: newest news about the host.
    :ivar changed_at: monotonic seconds of the last change of status.
    :ivar heard_at: monotonic seconds of the last direct reply.
    """

    update: MemberUpdate
    changed_at: float
    heard_at: float

    @property
    def status(self) -> MemberStatus:
        """Status of the host."""
        return MemberStatus(self.update.status)


class MemberTable:
    """Newest news about every entry host.

    Newer incarnations win, then higher counters, then the more severe
    status.

    :ivar own_host: name of this host.
    :ivar version: number that grows when a host or its status changes.
    """

    __slots__ = (
        '_members',
        '_ranked',
        '_ranked_version',
        'own_host',
        'version',
    )

    def __init__(self, own_host: str) -> None:
        """Create an empty table.

        :param own_host: name of this host.
        """
        self.own_host = own_host
        self.version = 0
        self._members: dict[str, Member] = {}
        # Ranks of live hosts by duty, for one version of the table.
        self._ranked: dict[str, list[str]] = {}
        self._ranked_version = 0

    def find(self, host: str) -> Member | None:
        """Find a host.

        :param host: name of the host.
        :return: the member, or ``None``.
        """
        return self._members.get(host)

    def apply(self, update: MemberUpdate, now: float) -> bool:
        """Take in news about a host.

        :param update: the news.
        :param now: monotonic seconds.
        :return: whether it was news.
        """
        known = self._members.get(update.host)
        if known is None:
            self._members[update.host] = Member(update, now, now)
            self.version += 1
            return True
        if _rank_update(update) <= _rank_update(known.update):
            return False
        if update.status != known.update.status:
            known.changed_at = now
            self.version += 1
        if update.incarnation > known.update.incarnation:
            known.heard_at = now
        known.update = update
        return True

    def forget(self, host: str) -> None:
        """Remove a host that has been gone for long.

        :param host: name of the host.
        """
        self._members.pop(host, None)
        self.version += 1

    def list_members(self) -> list[Member]:
        """List all hosts that are known."""
        return list(self._members.values())

    def list_reachable(self) -> list[Member]:
        """List hosts that are not gone, without this host."""
        return [
            member
            for member in self._members.values()
            if member.status != MemberStatus.GONE
            and member.update.host != self.own_host
        ]

    def rank_live(self, duty: str, hosts_from: int) -> list[str]:
        """Rank live hosts with enough capacity for a duty.

        :param duty: key of the duty.
        :param hosts_from: number of live hosts below which there are none.
        :return: names of the hosts, the preferred one first.
        """
        if self._ranked_version != self.version:
            self._ranked_version = self.version
            self._ranked = {}
        if duty not in self._ranked:
            self._ranked[duty] = self._rank_live(duty, hosts_from)
        return self._ranked[duty]

    def list_serving(self) -> list[Member]:
        """List hosts that callers may be sent to, with this host."""
        return [
            member
            for member in self._members.values()
            if member.status in {MemberStatus.ALIVE, MemberStatus.SUSPECT}
        ]

    def _rank_live(self, duty: str, hosts_from: int) -> list[str]:
        live = [
            member.update
            for member in self._members.values()
            if member.status == MemberStatus.ALIVE
        ]
        if len(live) < hosts_from:
            return []
        largest = max((update.capacity for update in live), default=0)
        enough = largest * _DUTY_CAPACITY_SHARE
        hosts = [update.host for update in live if update.capacity >= enough]
        return rank_by_rendezvous(duty, hosts)


def _rank_update(update: MemberUpdate) -> tuple[int, int, int]:
    return update.incarnation, update.counter, update.status


def find_owner(table: MemberTable, group: str) -> str:
    """Find the host that allocates a group.

    :param table: view of the entry hosts.
    :param group: group key.
    :return: name of the host.
    """
    owners = list_owners(table, group, 1)
    return owners[0] if owners else table.own_host


def list_owners(
    table: MemberTable, duty: str, count: int, hosts_from: int = 1
) -> list[str]:
    """List the hosts that have a duty for all hosts.

    Hosts with little capacity have duties only when there are no others.

    :param table: view of the entry hosts.
    :param duty: key of the duty.
    :param count: number of hosts wanted.
    :param hosts_from: number of live hosts below which there are none.
    :return: names of the hosts, the preferred one first.
    """
    return table.rank_live(duty, hosts_from)[:count]
