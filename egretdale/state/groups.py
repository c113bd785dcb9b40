"""Groups of backend servers that share one allocator.

A single allocator handles a few dozen engines. Larger services are split into
groups, so that no host has to decide on the requests of all engines.
"""

from __future__ import annotations

import re
from dataclasses import dataclass, field

from egretdale.state.instances import Instance, InstanceTable
from egretdale.state.members import MemberTable, find_owner
from egretdale.util.hashing import hash_text, rank_by_rendezvous

#: Number of engines from which a service is split into two groups; the number
#: of groups doubles whenever the number of engines does.
_SPLIT_FROM = 24
#: Affinity keys whose ranking is cached until the list of engines changes.
_CACHED_KEYS = 4096
_KEY = re.compile(r'[^/].*/[1-9]\d{0,5}/\d{1,6}', re.DOTALL | re.ASCII)


def is_group_key(text: str) -> bool:
    """Tell whether a text is the key of a group, ``service/groups/index``.

    :param text: any text.
    """
    return _KEY.fullmatch(text) is not None


@dataclass(slots=True)
class ServiceGroups:
    """The groups of one service, computed for one list of its engines.

    :ivar ready: the list of engines; these groups are valid only for it.
    :ivar count: number of groups.
    :ivar members: engines by group key.
    :ivar rankings: cached group keys by affinity key, the preferred one
        first.
    """

    ready: list[Instance]
    count: int
    members: dict[str, list[Instance]]
    rankings: dict[str, tuple[str, ...]] = field(default_factory=dict)


class GroupMap:
    """Finds the group of a request and the engines of a group."""

    __slots__ = ('_by_service', '_instances')

    def __init__(self, instances: InstanceTable) -> None:
        """Create a map.

        :param instances: backend servers.
        """
        self._instances = instances
        self._by_service: dict[str, ServiceGroups] = {}

    def list_engines(self, group: str) -> list[Instance]:
        """List the engines of a group that accept new work.

        :param group: group key, ``service/groups/index``.
        :return: the engines.
        """
        service, count, _ = group.rsplit('/', 2)
        groups = self._find(service)
        if groups.count == int(count):
            return groups.members.get(group, [])
        # The host that asks has a different list of engines.
        return _split(service, int(count), groups.ready).get(group, [])

    def list_groups(self, service: str) -> list[str]:
        """List the groups of a service.

        :param service: service name.
        :return: group keys; at least one, also without engines.
        """
        return list(self._find(service).members) or [f'{service}/1/0']

    def rank(self, service: str, key: str) -> tuple[str, ...]:
        """Rank the groups for a request.

        The first group contains the engine that all hosts prefer for the key,
        so each group gets requests in proportion to its number of engines.

        :param service: service name.
        :param key: affinity key of the request.
        :return: group keys, the preferred one first.
        """
        groups = self._find(service)
        if groups.count == 1:
            return tuple(groups.members)
        ranking = groups.rankings.get(key)
        if ranking is None:
            ranking = _rank_groups(service, groups, key)
            if len(groups.rankings) < _CACHED_KEYS:
                groups.rankings[key] = ranking
        return ranking

    def _find(self, service: str) -> ServiceGroups:
        ready = self._instances.list_ready(service)
        groups = self._by_service.get(service)
        if groups is None or groups.ready is not ready:
            count = _count_groups(len(ready))
            groups = ServiceGroups(ready, count, _split(service, count, ready))
            self._by_service[service] = groups
        return groups


def find_prompt_allocator(table: MemberTable, group: str) -> str:
    """Find the host that allocates the engines of a group to prompts.

    :param table: membership table.
    :param group: group key.
    :return: name of the host.
    """
    return find_owner(table, f'prefill/{group}')


def _rank_groups(
    service: str, groups: ServiceGroups, key: str
) -> tuple[str, ...]:
    names = [entry.name for entry in groups.ready]
    ranked = rank_by_rendezvous(key, names)
    keys = (_name_group(service, groups.count, name) for name in ranked)
    return tuple(dict.fromkeys(keys))


def _count_groups(engines: int) -> int:
    count = 1
    while engines >= _SPLIT_FROM * count:
        count *= 2
    return count


def _split(
    service: str, count: int, ready: list[Instance]
) -> dict[str, list[Instance]]:
    members: dict[str, list[Instance]] = {}
    for instance in ready:
        key = _name_group(service, count, instance.name)
        members.setdefault(key, []).append(instance)
    return members


def _name_group(service: str, count: int, engine: str) -> str:
    index = hash_text(engine) % count
    return f'{service}/{count}/{index}'
