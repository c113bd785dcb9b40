"""Bodies of the operators' HTTP interface."""

from __future__ import annotations

import msgspec

from egretdale.state.documents import HistoryEntry
from egretdale.state.identity import RefusalRecord


class SubmitBody(msgspec.Struct, frozen=True):
    """A submission of a document.

    :ivar source: text of the document.
    :ivar base_revision: revision that it was edited from, 0 for none.
    :ivar nonce: identity of the submission.
    :ivar author: who submits it.
    """

    source: str
    base_revision: int
    nonce: str
    author: str


class SubmitAnswer(msgspec.Struct, frozen=True):
    """What became of a submission.

    :ivar verdict: ``accepted``, ``outdated`` or ``undecided``.
    :ivar revision: revision that is stored.
    :ivar superseded: whether a later submission has replaced it already.
    :ivar author: who submitted the stored revision, when outdated.
    :ivar source: text of the stored revision, when outdated.
    :ivar detail: what was seen, when undecided.
    """

    verdict: str
    revision: int = 0
    superseded: bool = False
    author: str = ''
    source: str = ''
    detail: str = ''


class DocumentAnswer(msgspec.Struct, frozen=True):
    """A document in force.

    :ivar service: service name.
    :ivar revision: its number.
    :ivar source: its text.
    """

    service: str
    revision: int
    source: str


class HistoryAnswer(msgspec.Struct, frozen=True):
    """The revisions of a document.

    :ivar service: service name.
    :ivar revisions: revisions, the newest last.
    """

    service: str
    revisions: tuple[HistoryEntry, ...]


class Explanation(msgspec.Struct, frozen=True):
    """A refusal that is read back.

    :ivar record: facts of the refusal.
    :ivar detail: sentence with the figures; empty when not kept any more.
    """

    record: RefusalRecord
    detail: str = ''


class HostStatus(msgspec.Struct, frozen=True):
    """The state of one entry host.

    :ivar host: name of the host.
    :ivar incarnation: incarnation of its process.
    :ivar leaving: whether it is stopping.
    :ivar isolated: whether it reaches neither platform nor peers.
    :ivar revisions: document revisions in force by service.
    :ivar groups: groups that it allocates, with the requests waiting.
    """

    host: str
    incarnation: int
    leaving: bool
    isolated: bool
    revisions: dict[str, int]
    groups: dict[str, int]


class MemberStatusLine(msgspec.Struct, frozen=True):
    """An entry host as another one sees it.

    :ivar host: name of the host.
    :ivar status: ``alive``, ``suspect``, ``leaving`` or ``gone``.
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


class StatusAnswer(msgspec.Struct, frozen=True):
    """The state of one host and of the others as it sees them.

    :ivar host: its own state.
    :ivar members: all entry hosts that it knows.
    """

    host: HostStatus
    members: tuple[MemberStatusLine, ...]
