"""Views of the entry hosts of the system."""

from __future__ import annotations

import enum
from dataclasses import dataclass

from egretdale.state.messages import MemberUpdate
from egretdale.util.hashing import rank_by_rendezvous


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

    __slots__ = ('_members', 'own_host', 'version')

    def __init__(self, own_host: str) -> None:
        """Create an empty table.

        :param own_host: name of this host.
        """
        self.own_host = own_host
        self.version = 0
        self._members: dict[str, Member] = {}

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

    def list_serving(self) -> list[Member]:
        """List hosts that callers may be sent to, with this host."""
        return [
            member
            for member in self._members.values()
            if member.status in {MemberStatus.ALIVE, MemberStatus.SUSPECT}
        ]


def _rank_update(update: MemberUpdate) -> tuple[int, int, int]:
    return update.incarnation, update.counter, update.status


def find_owner(table: MemberTable, group: str) -> str:
    """Find the host that allocates a group.

    :param table: view of the entry hosts.
    :param group: group key.
    :return: name of the host.
    """
    hosts = [
        member.update.host
        for member in table.list_members()
        if member.status == MemberStatus.ALIVE
    ]
    return rank_by_rendezvous(group, hosts or [table.own_host])[0]
