"""Message bodies of the HTTP interface for operators."""

from __future__ import annotations

import msgspec

from egretdale.state.documents import HistoryEntry
from egretdale.state.identity import RefusalRecord


class SubmitBody(msgspec.Struct, frozen=True):
    """A submission of a document.

    :ivar source: text of the document.
    :ivar base_revision: revision that it was edited from, 0 for none.
    :ivar nonce: unique ID of the submission.
    :ivar author: author of the submission.
    """

    source: str
    base_revision: int
    nonce: str
    author: str


class SubmitResponse(msgspec.Struct, frozen=True):
    """The outcome of a submission.

    :ivar verdict: ``accepted``, ``outdated`` or ``undecided``.
    :ivar revision: revision that is stored.
    :ivar superseded: whether a later submission has replaced it already.
    :ivar author: author of the stored revision, if outdated.
    :ivar source: text of the stored revision, if outdated.
    :ivar detail: error that was observed, if undecided.
    """

    verdict: str
    revision: int = 0
    superseded: bool = False
    author: str = ''
    source: str = ''
    detail: str = ''


class DocumentResponse(msgspec.Struct, frozen=True):
    """An active document.

    :ivar service: service name.
    :ivar revision: revision number.
    :ivar source: text of the document.
    """

    service: str
    revision: int
    source: str


class HistoryResponse(msgspec.Struct, frozen=True):
    """The revisions of a document.

    :ivar service: service name.
    :ivar revisions: revisions, the newest last.
    """

    service: str
    revisions: tuple[HistoryEntry, ...]


class Explanation(msgspec.Struct, frozen=True):
    """A recorded refusal.

    :ivar record: main facts of the refusal.
    :ivar detail: sentence with the figures; empty if no longer stored.
    """

    record: RefusalRecord
    detail: str = ''


class HostStatus(msgspec.Struct, frozen=True):
    """The state of one entry host.

    :ivar host: name of the host.
    :ivar incarnation: incarnation of its process.
    :ivar leaving: whether it is shutting down.
    :ivar isolated: whether it can reach neither the platform nor peers.
    :ivar revisions: active document revision by service.
    :ivar groups: waiting requests by group, for groups that it allocates.
    """

    host: str
    incarnation: int
    leaving: bool
    isolated: bool
    revisions: dict[str, int]
    groups: dict[str, int]


class MemberStatusLine(msgspec.Struct, frozen=True):
    """An entry host as seen by another one.

    :ivar host: name of the host.
    :ivar status: ``alive``, ``joining``, ``suspect``, ``leaving`` or ``gone``.
    :ivar data_centre: data centre of the host.
    :ivar caller_address: ``address:port`` for callers.
    :ivar incarnation: incarnation of its process.
    :ivar load: requests in progress.
    """

    host: str
    status: str
    data_centre: str
    caller_address: str
    incarnation: int
    load: int


class StatusResponse(msgspec.Struct, frozen=True):
    """The state of a host and its view of the other hosts.

    :ivar host: state of the host itself.
    :ivar members: all entry hosts known to it.
    """

    host: HostStatus
    members: tuple[MemberStatusLine, ...]
