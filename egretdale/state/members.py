"""Views of the entry hosts of the system."""

from __future__ import annotations

import enum
from dataclasses import dataclass, field

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


@dataclass(slots=True)
class MemberView:
    """What follows from one version of a member table.

    :ivar version: the version.
    :ivar live: news about the hosts that are alive.
    :ivar reachable: number of hosts that are not gone, without the own one.
    :ivar ranked: names of live hosts by duty, the preferred one first.
    """

    version: int
    live: list[MemberUpdate]
    reachable: int
    ranked: dict[str, list[str]] = field(default_factory=dict)


class MemberTable:
    """Newest news about every entry host.

    Newer incarnations win, then higher counters, then the more severe
    status.

    :ivar own_host: name of this host.
    :ivar version: number that grows when a host or its status changes.
    """

    __slots__ = (
        '_members',
        '_view',
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
        self._view = MemberView(0, [], 0)

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

    def count_live(self) -> int:
        """Count the hosts that are alive."""
        return len(self._read_view().live)

    def count_reachable(self) -> int:
        """Count the hosts that are not gone, without this host."""
        return self._read_view().reachable

    def rank_live(self, duty: str) -> list[str]:
        """Rank live hosts with enough capacity for a duty.

        :param duty: key of the duty.
        :return: names of the hosts, the preferred one first.
        """
        view = self._read_view()
        if duty not in view.ranked:
            view.ranked[duty] = _rank(duty, view.live)
        return view.ranked[duty]

    def list_serving(self) -> list[Member]:
        """List hosts that callers may be sent to, with this host."""
        return [
            member
            for member in self._members.values()
            if member.status in {MemberStatus.ALIVE, MemberStatus.SUSPECT}
        ]

    def _read_view(self) -> MemberView:
        if self._view.version != self.version:
            live = [
                member.update
                for member in self._members.values()
                if member.status == MemberStatus.ALIVE
            ]
            reachable = len(self.list_reachable())
            self._view = MemberView(self.version, live, reachable)
        return self._view


def _rank(duty: str, live: list[MemberUpdate]) -> list[str]:
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


def list_owners(table: MemberTable, duty: str, count: int) -> list[str]:
    """List the hosts that have a duty for all hosts.

    Hosts with little capacity have duties only when there are no others.

    :param table: view of the entry hosts.
    :param duty: key of the duty.
    :param count: number of hosts wanted.
    :return: names of the hosts, the preferred one first.
    """
    return table.rank_live(duty)[:count]
