"""Mutations of the code that the fuzz tests must detect."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from types import MappingProxyType
from typing import Any
from unittest import mock

from egretdale.coordination.allocation import GroupAllocator
from egretdale.coordination.attempts import AttemptManager, RequestState
from egretdale.coordination.backends import BackendDirectory
from egretdale.coordination.claims import ClaimClient
from egretdale.coordination.keys import ClaimVerdict
from egretdale.coordination.stream_relay import StreamRelay
from egretdale.coordination.replica import DocumentReplica
from egretdale.coordination.stored_documents import (
    ActiveDocument,
    StoredDocument,
)
from egretdale.state import order
from egretdale.state.documents import parse_document
from egretdale.state.queries import ClaimAsk, ClaimReply
from egretdale.state.queues import WaitingRequest
from egretdale.state.outcomes import Ran, Reason, Refused
from standins.virtual.world import World


def _rank_lowest_first(waiting: WaitingRequest, now: float) -> Any:
    return -waiting.tier, waiting.deadline


def _keep_waiting(allocator: GroupAllocator) -> None:
    """Keep all requests in the queue."""


def _admit_all(allocator: GroupAllocator, waiting: WaitingRequest) -> float:
    return float(0)


def _end_at_once(relay: StreamRelay, detail: str) -> None:
    relay._finish()  # noqa: SLF001


def _run_always(client: ClaimClient, question: ClaimAsk) -> ClaimReply:
    return ClaimReply(ClaimVerdict.RUN, question.host)


def _refuse_as_not_run(
    attempts: AttemptManager, state: RequestState, *, started: bool
) -> Refused:
    return Refused(Reason.OUTCOME_UNKNOWN, Ran.NO)


def _retry_always(
    attempts: AttemptManager, state: RequestState, *, started: bool
) -> None:
    """Allow every retry."""


def _ignore_leaving(directory: BackendDirectory, address: Any) -> Any:
    return type(address)(
        address.service, address.name, address.address, address.incarnation
    )


def _cut_streams(world: World, name: str) -> int:
    world.nodes[name].membership.leave()
    cut = world._count_waiters(name)  # noqa: SLF001
    world.kill_host(name)
    return cut


def _accept_any(
    replica: DocumentReplica,
    service: str,
    revision: int,
    source: str,
    stored: StoredDocument | None = None,
) -> bool:
    document: Any = parse_document(source.encode())
    active = ActiveDocument(document, revision, source, {}, stored)
    replica._held[service] = active  # noqa: SLF001
    return True


def _never_is_later(
    document: StoredDocument, other: StoredDocument, version: int
) -> bool:
    return False


class Mutation:
    """A mutation that replaces one function.

    :ivar target: class or module of the function.
    :ivar name: name of the function.
    :ivar replacement: faulty function that replaces it.
    """

    __slots__ = ('name', 'replacement', 'target')

    def __init__(self, target: Any, name: str, replacement: Any) -> None:
        """Create a mutation.

        :param target: class or module of the function.
        :param name: name of the function.
        :param replacement: faulty function that replaces it.
        """
        self.target = target
        self.name = name
        self.replacement = replacement


#: Mutations by the guarantee that they violate, in the order of the
#: specification.
MUTATIONS: MappingProxyType[str, tuple[Mutation, ...]] = MappingProxyType(
    {
        '1-lower-tier-first': (
            Mutation(order, '_rank_head', _rank_lowest_first),
        ),
        '2-never-ended': (
            Mutation(GroupAllocator, 'expire', _keep_waiting),
            Mutation(GroupAllocator, 'dispatch', _keep_waiting),
        ),
        '3-short-answer': (Mutation(StreamRelay, '_recover', _end_at_once),),
        '4-untrue-refusal': (
            Mutation(AttemptManager, 'check_retry', _refuse_as_not_run),
        ),
        '5-run-twice': (
            Mutation(ClaimClient, 'claim', _run_always),
            Mutation(AttemptManager, 'check_retry', _retry_always),
        ),
        '6-leaving-ignored': (
            Mutation(BackendDirectory, '_apply_leaving', _ignore_leaving),
        ),
        '7-stop-cuts': (Mutation(World, 'stop_host', _cut_streams),),
        '8-document-reverts': (
            Mutation(DocumentReplica, 'accept', _accept_any),
            Mutation(StoredDocument, 'is_later_than', _never_is_later),
        ),
    }
)


@contextmanager
def apply_mutation(name: str) -> Iterator[None]:
    """Run the body of the ``with`` statement with mutated code.

    :param name: a key of ``MUTATIONS``.
    """
    stops: list[Callable[..., Any]] = []
    active = [
        mock.patch.object(entry.target, entry.name, entry.replacement)
        for entry in MUTATIONS[name]
    ]
    for patch in active:
        patch.start()
        stops.append(patch.stop)
    try:
        yield
    finally:
        for stop in stops:
            stop()
