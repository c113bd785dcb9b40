"""Document objects in the platform, and their return after a restoration."""

from __future__ import annotations

import random
from dataclasses import dataclass

import eventlet
import msgspec

from egretdale.coordination.eras import read_version
from egretdale.coordination.ports import (
    ABSENT,
    Platform,
    Position,
    StoredObject,
    Written,
)
from egretdale.errors import Invalid, Missing
from egretdale.state.documents import HistoryEntry, ServiceDocument
from egretdale.util.json_text import decode_json
from egretdale.util.logs import get_logger

logger = get_logger(__name__)

DOCUMENT_KIND = 'documents'

#: Seconds between two looks for documents that the platform has lost.
_PERIOD_S = 0.5
#: Seconds over which hosts spread the calls for a lost document.
_SPREAD_S = 3.0


class StoredDocument(msgspec.Struct, frozen=True):
    """A document object in the platform.

    :ivar source: text of the document.
    :ivar nonce: unique identifier of the submission.
    :ivar author: who submitted it.
    :ivar at_s: time of the submission in seconds since the Unix epoch.
    :ivar history: earlier revisions, the newest last.
    """

    source: str
    nonce: str
    author: str
    at_s: int
    history: tuple[HistoryEntry, ...] = ()

    def is_later_than(self, other: StoredDocument, version: int) -> bool:
        """Tell whether this document has replaced another one.

        :param other: the other one.
        :param version: version of its object, which a copy keeps. It tells
            documents of other writers apart, which may have no nonce.
        """
        return any(
            entry.nonce == other.nonce
            and (entry.nonce or read_version(entry.revision) == version)
            for entry in self.history
        )


@dataclass(slots=True, frozen=True)
class ActiveDocument:
    """A document in force on this host, with its revision.

    :ivar document: parsed document.
    :ivar revision: revision number.
    :ivar source: text of the document.
    :ivar weights: weights of the organisations by name.
    :ivar stored: its object in the platform, ``None`` if a peer sent it.
    """

    document: ServiceDocument
    revision: int
    source: str
    weights: dict[str, float]
    stored: StoredDocument | None = None

    def may_use(self, organisation: str) -> bool:
        """Tell whether an organisation may use the service.

        :param organisation: organisation name.
        :return: whether it may.
        """
        return not self.weights or organisation in self.weights


class LostDocuments:
    """Documents in force that a restored platform lacks.

    They were accepted, so hosts write them again, unless another one has been
    submitted since.
    """

    __slots__ = ('_lost', '_platform', '_random')

    def __init__(self, platform: Platform, source: random.Random) -> None:
        """Create a list without documents.

        :param platform: object API.
        :param source: random source.
        """
        self._platform = platform
        self._random = source
        self._lost: dict[str, StoredDocument] = {}

    def add(self, service: str, document: StoredDocument) -> None:
        """Record that the platform lacks a document.

        :param service: service name.
        :param document: the document that is in force.
        """
        if service not in self._lost:
            logger.warning('document-lost', service=service)
        self._lost[service] = document

    def discard(self, service: str) -> None:
        """Record that the platform has the document, or a later one.

        :param service: service name.
        """
        self._lost.pop(service, None)

    def is_lost(self, service: str) -> bool:
        """Tell whether the platform lacks the document of a service.

        :param service: service name.
        """
        return service in self._lost

    def run(self) -> None:
        """Write lost documents again."""
        while True:
            eventlet.sleep(_PERIOD_S)
            if self._lost:
                eventlet.sleep(self._random.uniform(0, _SPREAD_S))
            for service, document in list(self._lost.items()):
                if self._restore(service, document):
                    self.discard(service)

    def _restore(self, service: str, document: StoredDocument) -> bool:
        """Write a document unless the platform has it or another one.

        :param service: service name.
        :param document: the document.
        :return: whether the platform lacks it no longer.
        """
        stored = self._platform.read(DOCUMENT_KIND, service)
        match stored:
            case Missing():
                return self._write(service, document, ABSENT)
            case StoredObject():
                held = decode_json(stored.body, StoredDocument)
                if isinstance(held, Invalid) or document.is_later_than(
                    held, stored.version
                ):
                    return self._write(service, document, stored.position)
                return True
        return False

    def _write(
        self, service: str, document: StoredDocument, expected: Position
    ) -> bool:
        outcome = self._platform.write(
            DOCUMENT_KIND, service, msgspec.json.encode(document), expected
        )
        is_written = isinstance(outcome, Written)
        logger.info('document-restored', service=service, written=is_written)
        return is_written
