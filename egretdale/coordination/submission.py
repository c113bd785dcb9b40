"""Submission of service documents to the platform."""

from __future__ import annotations

from dataclasses import dataclass

import eventlet
import msgspec

from egretdale.coordination.eras import create_token
from egretdale.coordination.ports import (
    ABSENT,
    Platform,
    Position,
    StoredObject,
    Written,
)
from egretdale.coordination.stored_documents import (
    DOCUMENT_KIND,
    StoredDocument,
)
from egretdale.errors import (
    Ambiguous,
    Conflict,
    Invalid,
    Missing,
    Unreachable,
)
from egretdale.state.documents import HistoryEntry, parse_document
from egretdale.util.clocks import WallClock
from egretdale.util.json_text import decode_json
from egretdale.util.logs import get_logger

logger = get_logger(__name__)

_HISTORY_LENGTH = 32
_SETTLE_ATTEMPTS = 4
_SETTLE_PAUSE_S = 0.25


@dataclass(slots=True, frozen=True)
class Submission:
    """A document that an operator submits.

    :ivar service: service name.
    :ivar source: text of the document.
    :ivar base_revision: revision that the operator edited, 0 for a new
        document.
    :ivar nonce: unique identifier of the submission.
    :ivar author: who submits it.
    """

    service: str
    source: str
    base_revision: int
    nonce: str
    author: str


@dataclass(slots=True, frozen=True)
class Accepted:
    """The document was accepted.

    :ivar revision: its revision number.
    :ivar superseded: whether a later submission has already replaced it.
    """

    revision: int
    superseded: bool = False


@dataclass(slots=True, frozen=True)
class Outdated:
    """Another submission was accepted first.

    :ivar revision: revision that is stored now, 0 when there is none.
    :ivar author: who submitted it.
    :ivar source: its text.
    """

    revision: int
    author: str
    source: str


@dataclass(slots=True, frozen=True)
class Undecided:
    """The write may or may not have taken effect.

    :ivar nonce: identifier of the submission, to settle it later.
    :ivar detail: why the outcome is unknown.
    """

    nonce: str
    detail: str


SubmissionOutcome = Accepted | Outdated | Undecided | Invalid | Unreachable


class DocumentStore:
    """Reads and submits documents in the platform."""

    __slots__ = ('_platform', '_wall_clock')

    def __init__(self, platform: Platform, wall_clock: WallClock) -> None:
        """Create a store.

        :param platform: object API that stores the documents.
        :param wall_clock: calendar clock.
        """
        self._platform = platform
        self._wall_clock = wall_clock

    def submit(self, submission: Submission) -> SubmissionOutcome:
        """Submit a document if its base revision is still the stored one.

        :param submission: the submission.
        :return: its outcome.
        """
        document = parse_document(submission.source.encode())
        if isinstance(document, Invalid):
            return document
        if document.service != submission.service:
            return Invalid('$.service', f'must be {submission.service}')
        current = self._platform.read(DOCUMENT_KIND, submission.service)
        match current:
            case Unreachable():
                return current
            case Missing():
                if submission.base_revision:
                    return Outdated(0, '', '')
                return self._write(submission, (), ABSENT)
            case StoredObject():
                revision = create_token(current.position)
                if revision != submission.base_revision:
                    return self._match_stored(submission, current)
                stored = _decode_document(current)
                previous = HistoryEntry(
                    revision, stored.nonce, stored.author, stored.at_s
                )
                history = (*stored.history, previous)
                return self._write(
                    submission, history[-_HISTORY_LENGTH:], current.position
                )

    def settle(self, submission: Submission) -> SubmissionOutcome:
        """Determine the outcome of an earlier submission.

        :param submission: the submission; its source is not needed.
        :return: its outcome as far as it is known.
        """
        current = self._platform.read(DOCUMENT_KIND, submission.service)
        match current:
            case Unreachable():
                return Undecided(submission.nonce, current.detail)
            case Missing():
                return Outdated(0, '', '')
            case StoredObject():
                return self._match_stored(submission, current)

    def read_history(
        self, service: str
    ) -> tuple[HistoryEntry, ...] | Missing | Unreachable:
        """Read the history of a document.

        :param service: service name.
        :return: revisions with their authors, the newest last.
        """
        current = self._platform.read(DOCUMENT_KIND, service)
        if not isinstance(current, StoredObject):
            return current
        stored = _decode_document(current)
        newest = HistoryEntry(
            create_token(current.position),
            stored.nonce,
            stored.author,
            stored.at_s,
        )
        return (*stored.history, newest)

    def _write(
        self,
        submission: Submission,
        history: tuple[HistoryEntry, ...],
        expected: Position,
    ) -> SubmissionOutcome:
        stored = StoredDocument(
            submission.source,
            submission.nonce,
            submission.author,
            int(self._wall_clock()),
            history,
        )
        body = msgspec.json.encode(stored)
        outcome: Written | Conflict | Unreachable | Ambiguous | None = None
        was_ambiguous = False
        for _ in range(_SETTLE_ATTEMPTS):
            outcome = self._platform.write(
                DOCUMENT_KIND,
                submission.service,
                body,
                expected,
            )
            match outcome:
                case Written():
                    revision = create_token(outcome.position)
                    logger.info(
                        'document-accepted',
                        service=submission.service,
                        revision=revision,
                        author=submission.author,
                    )
                    return Accepted(revision)
                case Conflict():
                    return self.settle(submission)
                case Unreachable() if not was_ambiguous:
                    return outcome
                case _:
                    was_ambiguous = True
                    eventlet.sleep(_SETTLE_PAUSE_S)
        return self._settle_ambiguous(submission)

    def _settle_ambiguous(self, submission: Submission) -> SubmissionOutcome:
        outcome = self.settle(submission)
        unchanged = (
            isinstance(outcome, Outdated)
            and outcome.revision == submission.base_revision
        )
        if unchanged:
            return Undecided(submission.nonce, 'the write may still arrive')
        return outcome

    def _match_stored(
        self, submission: Submission, current: StoredObject
    ) -> SubmissionOutcome:
        stored = _decode_document(current)
        if stored.nonce == submission.nonce:
            return Accepted(create_token(current.position))
        for entry in stored.history:
            if entry.nonce == submission.nonce:
                return Accepted(entry.revision, superseded=True)
        revision = create_token(current.position)
        return Outdated(revision, stored.author, stored.source)


def _decode_document(entry: StoredObject) -> StoredDocument:
    stored = decode_json(entry.body, StoredDocument)
    if isinstance(stored, Invalid):
        # Another writer has replaced it; it can be replaced in turn.
        return StoredDocument('', '', '', 0)
    return stored
