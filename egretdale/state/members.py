"""Membership table of the entry hosts."""

from __future__ import annotations

import enum
from dataclasses import dataclass, field

from egretdale.state.messages import MemberUpdate
from egretdale.util.hashing import rank_by_rendezvous

#: A host can own keys if it has at least this fraction of the capacity of the
#: largest host.
_OWNER_CAPACITY_SHARE = 0.7


class MemberStatus(enum.IntEnum):
    """Status of an entry host; of two statuses, the higher one wins."""

    ALIVE = 0
    JOINING = 1
    SUSPECT = 2
    LEAVING = 3
    GONE = 4

    @classmethod
    def is_known(cls, number: int) -> bool:
        """Tell whether a number is the status of a host.

        :param number: any number.
        """
        return number in set(map(int, cls))


@dataclass(slots=True)
class Member:
    """An entry host in the membership table.

    :ivar update: latest update about the host.
    :ivar changed_at: monotonic time of its last change of status in seconds.
    :ivar heard_at: monotonic time of its last direct reply in seconds.
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
    """Cached values that are derived from one version of a member table.

    :ivar version: version of the table.
    :ivar live: updates about the hosts that are alive.
    :ivar reachable: number of hosts that are not gone, excluding this host.
    :ivar ranked: names of live hosts by key, the preferred one first.
    """

    version: int
    live: list[MemberUpdate]
    reachable: int
    ranked: dict[str, list[str]] = field(default_factory=dict)


class MemberTable:
    """Latest update about every entry host.

    Of two updates, the one with the newer incarnation wins, then the one with
    the higher counter, then the one with the more severe status.

    :ivar own_host: name of this host.
    :ivar version: number that increases when a host is added or removed,
        starts anew or changes its status.
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
        :return: the member, or ``None`` if it is unknown.
        """
        return self._members.get(host)

    def apply(self, update: MemberUpdate, now: float) -> bool:
        """Apply an update about a host.

        :param update: the update.
        :param now: monotonic seconds.
        :return: whether the update was newer than what was known.
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
            self.version += 1
        known.update = update
        return True

    def forget(self, host: str) -> None:
        """Remove a host.

        :param host: name of the host.
        """
        self._members.pop(host, None)
        self.version += 1

    def list_members(self) -> list[Member]:
        """List all known hosts."""
        return list(self._members.values())

    def list_reachable(self) -> list[Member]:
        """List the hosts that are not gone, excluding this host."""
        return [
            member
            for member in self._members.values()
            if member.status != MemberStatus.GONE
            and member.update.host != self.own_host
        ]

    def list_live(self) -> dict[str, int]:
        """List the hosts that are alive with their incarnations."""
        return {
            update.host: update.incarnation for update in self._read_view().live
        }

    def count_live(self) -> int:
        """Count the hosts that are alive."""
        return len(self._read_view().live)

    def count_reachable(self) -> int:
        """Count the hosts that are not gone, excluding this host."""
        return self._read_view().reachable

    def rank_live(self, key: str) -> list[str]:
        """Rank the live hosts with enough capacity to own a key.

        :param key: the key.
        :return: names of the hosts, the preferred one first.
        """
        view = self._read_view()
        if key not in view.ranked:
            view.ranked[key] = _rank(key, view.live)
        return view.ranked[key]

    def list_serving(self) -> list[Member]:
        """List the hosts that callers may be sent to, including this host."""
        return [
            member
            for member in self._members.values()
            if member.status in {MemberStatus.ALIVE, MemberStatus.SUSPECT}
        ]

    def find_last_contact(self) -> float | None:
        """Return when a peer was last heard from, ``None`` without peers."""
        heard = [
            member.heard_at
            for member in self._members.values()
            if member.update.host != self.own_host
            and member.status != MemberStatus.LEAVING
        ]
        return max(heard, default=None)

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


def _rank(key: str, live: list[MemberUpdate]) -> list[str]:
    largest = max((update.capacity for update in live), default=0)
    enough = largest * _OWNER_CAPACITY_SHARE
    hosts = [update.host for update in live if update.capacity >= enough]
    return rank_by_rendezvous(key, hosts)


def _rank_update(update: MemberUpdate) -> tuple[int, int, int]:
    return update.incarnation, update.counter, update.status


def find_owner(table: MemberTable, group: str) -> str:
    """Find the host that allocates a group.

    :param table: membership table.
    :param group: group key.
    :return: name of the host; this host if no host is alive.
    """
    owners = list_owners(table, group, 1)
    return owners[0] if owners else table.own_host


def list_owners(table: MemberTable, key: str, count: int) -> list[str]:
    """List the hosts that own a key on behalf of all hosts.

    A host owns no key if its capacity is far below that of the largest host.

    :param table: membership table.
    :param key: key, such as a group key or the name of a role.
    :param count: maximum number of hosts.
    :return: names of the hosts, the preferred one first.
    """
    return table.rank_live(key)[:count]
