"""Calls of daemons to each other that are not batches, and the answers.

Classes and fields are bound by name to the definitions in ``peer.thrift``.
"""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(slots=True)
class ClaimAsk:
    """A claim to run a request with an idempotency key.

    :ivar key: idempotency key.
    :ivar nonce: ID of this attempt.
    :ivar host: entry host that wants to run the request.
    :ivar fingerprint: hash of the request, to detect a reused key.
    """

    key: str
    nonce: str
    host: str
    fingerprint: int


@dataclass(slots=True)
class ClaimReply:
    """The decision on a claim.

    :ivar verdict: a value of ``ClaimVerdict``.
    :ivar host: entry host that ran or runs the request.
    """

    verdict: str
    host: str = ''


@dataclass(slots=True)
class DocumentCopy:
    """A peer's copy of a document.

    :ivar service_name: name of the service.
    :ivar revision: revision number, 0 if the peer has no copy.
    :ivar source: text of the document.
    :ivar era: era of the platform that gave out the revision, 0 if unknown.
    """

    service_name: str
    revision: int
    source: str
    era: int = 0


@dataclass(slots=True)
class ObjectCopy:
    """A copy of an object that is stored in the platform.

    :ivar name: name of the object, unique within its kind.
    :ivar version: version of the object.
    :ivar body: stored text.
    """

    name: str
    version: int
    body: str


@dataclass(slots=True)
class ChangeAsk:
    """A query to a reader host for changes of objects in the platform.

    A reader watches the platform on behalf of other hosts.

    :ivar kind: kind of the objects.
    :ivar known: version of the listing that the asking host has.
    :ivar wait_ms: longest wait for a change in milliseconds.
    :ivar era: era of that listing, 0 if unknown.
    """

    kind: str
    known: int
    wait_ms: int
    era: int = 0


@dataclass(slots=True)
class Changes:
    """Changes of objects in the platform, as known to a reader host.

    :ivar kind: kind of the objects.
    :ivar revision: version of the reader's listing, 0 if it has none.
    :ivar age_ms: milliseconds since the read that confirmed the listing.
    :ivar waited_ms: milliseconds for which the answer waited for a change.
    :ivar whole: whether the entries are all objects of the kind.
    :ivar large: whether changes were omitted because of their size.
    :ivar entries: new and changed objects.
    :ivar gone: names of removed objects.
    :ivar era: era of the reader's listing, 0 if unknown.
    :ivar count: number of objects in the reader's listing, -1 if unknown.
    :ivar answered_ms: milliseconds since the platform last answered, as far as
        the reader knows, -1 if unknown.
    """

    kind: str
    revision: int
    age_ms: int = 0
    waited_ms: int = 0
    whole: bool = False
    large: bool = False
    entries: list[ObjectCopy] = field(default_factory=list)
    gone: list[str] = field(default_factory=list)
    era: int = 0
    count: int = -1
    answered_ms: int = -1


@dataclass(slots=True)
class OriginAsk:
    """A query to a peer for where a stream began.

    :ivar request_id: ID of the request that brought its first event.
    :ivar service_name: service that ran it, if only one can have.
    """

    request_id: str
    service_name: str = ''


@dataclass(slots=True)
class OriginReply:
    """The answer to a query for where a stream began.

    :ivar service_name: service that ran it, empty if unknown.
    :ivar software_version: software version of the engine, empty if unknown.
    :ivar several_versions: whether the stream may have begun at one of several
        versions.
    :ivar is_recorded: whether the peer knows the stream. Hosts of an earlier
        build leave it out, also if they only infer the version.
    :ivar only_version: the only version that has served recently according to
        the peer's list, empty if there may have been several.
    """

    service_name: str = ''
    software_version: str = ''
    several_versions: bool = False
    is_recorded: bool = False
    only_version: str = ''
