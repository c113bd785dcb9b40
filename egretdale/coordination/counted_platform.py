"""Counts calls to the platform."""

from __future__ import annotations

from typing import TypeVar

from egretdale.coordination.ports import (
    Listing,
    Platform,
    Position,
    StoredObject,
    Written,
)
from egretdale.errors import Ambiguous, Conflict, Missing, Unreachable
from egretdale.state.gateway_metrics import GatewayMetrics

_Outcome = TypeVar('_Outcome')


class CountedPlatform:
    """Wraps the object API of the platform and counts the calls to it."""

    __slots__ = ('_metrics', '_platform')

    def __init__(self, platform: Platform, metrics: GatewayMetrics) -> None:
        """Wrap an object API.

        :param platform: the object API.
        :param metrics: metrics.
        """
        self._platform = platform
        self._metrics = metrics

    @property
    def era(self) -> int:
        """Highest era of the platform that is known."""
        return self._platform.era

    def hear_era(self, era: int) -> None:
        """Take note of an era that a peer knows.

        :param era: the era.
        """
        self._platform.hear_era(era)

    def read(
        self, kind: str, name: str
    ) -> StoredObject | Missing | Unreachable:
        """Read one object.

        :param kind: kind of the object.
        :param name: name within the kind.
        :return: the object, or why it could not be read.
        """
        return self._count('read', self._platform.read(kind, name))

    def list_objects(self, kind: str) -> Listing | Unreachable:
        """List all objects of a kind.

        :param kind: kind of the objects.
        :return: the listing, or why it could not be read.
        """
        return self._count('list', self._platform.list_objects(kind))

    def watch(
        self, kind: str, version: int, timeout_s: float
    ) -> Listing | Unreachable:
        """Wait until a listing is newer than a version.

        :param kind: kind of the objects.
        :param version: version of the listing that the caller has.
        :param timeout_s: longest wait in seconds.
        :return: the listing, or why it could not be read.
        """
        outcome = self._platform.watch(kind, version, timeout_s)
        return self._count('watch', outcome)

    def is_newest(
        self, kind: str, position: Position, timeout_s: float
    ) -> bool | Unreachable:
        """Tell whether no listing is newer than one, without waiting.

        :param kind: kind of the objects.
        :param position: position of a listing.
        :param timeout_s: timeout of the call in seconds.
        :return: whether none is, or why that cannot be told.
        """
        outcome = self._platform.is_newest(kind, position, timeout_s)
        return self._count('confirm', outcome)

    def write(
        self, kind: str, name: str, body: bytes, expected: Position
    ) -> Written | Conflict | Unreachable | Ambiguous:
        """Write an object if its position is the expected one.

        :param kind: kind of the object.
        :param name: name within the kind.
        :param body: bytes to store.
        :param expected: expected position, ``ABSENT`` if it must not exist.
        :return: the new version, or why the write failed.
        """
        outcome = self._platform.write(kind, name, body, expected)
        return self._count('write', outcome)

    def _count(self, call: str, outcome: _Outcome) -> _Outcome:
        label = type(outcome).__name__.lower()
        self._metrics.platform_calls.labels(call, label).inc()
        return outcome
