"""Deliberate breaks of the code that the fuzzing must find."""

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
from egretdale.coordination.replica import ActiveDocument, DocumentReplica
from egretdale.state import order
from egretdale.state.documents import parse_document
from egretdale.state.messages import ClaimAsk, ClaimReply
from egretdale.state.queues import WaitingRequest
from egretdale.state.outcomes import Ran, Reason, Refused
from standins.virtual.world import World


def _rank_lowest_first(waiting: WaitingRequest, now: float) -> Any:
    return -waiting.tier, waiting.deadline


def _never_expire(allocator: GroupAllocator) -> None:
    """Keep every request waiting for ever."""


def _admit_all(allocator: GroupAllocator, waiting: WaitingRequest) -> float:
    return float(0)


def _end_at_once(relay: StreamRelay, detail: str) -> None:
    relay._finish()  # noqa: SLF001


def _run_always(desk: ClaimClient, question: ClaimAsk) -> ClaimReply:
    return ClaimReply(ClaimVerdict.RUN, question.host)


def _say_not_run(
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
    replica: DocumentReplica, service: str, revision: int, source: str
) -> bool:
    document: Any = parse_document(source.encode())
    held = ActiveDocument(document, revision, source, {})
    replica._held[service] = held  # noqa: SLF001
    return True


class Break:
    """A break of one function.

    :ivar target: class or module that holds the function.
    :ivar name: name of the function.
    :ivar wrong: what replaces it.
    """

    __slots__ = ('name', 'target', 'wrong')

    def __init__(self, target: Any, name: str, wrong: Any) -> None:
        """Describe a break.

        :param target: class or module that holds the function.
        :param name: name of the function.
        :param wrong: what replaces it.
        """
        self.target = target
        self.name = name
        self.wrong = wrong


#: Breaks by the promise that they violate, in the order of the brief.
BREAKS: MappingProxyType[str, tuple[Break, ...]] = MappingProxyType(
    {
        '1-lower-tier-first': (Break(order, '_rank_head', _rank_lowest_first),),
        '2-never-ended': (
            Break(GroupAllocator, 'expire', _never_expire),
            Break(GroupAllocator, 'dispatch', _never_expire),
        ),
        '3-short-answer': (Break(StreamRelay, '_recover', _end_at_once),),
        '4-untrue-refusal': (
            Break(AttemptManager, 'check_retry', _say_not_run),
        ),
        '5-run-twice': (
            Break(ClaimClient, 'claim', _run_always),
            Break(AttemptManager, 'check_retry', _retry_always),
        ),
        '6-leaving-ignored': (
            Break(BackendDirectory, '_apply_leaving', _ignore_leaving),
        ),
        '7-stop-cuts': (Break(World, 'stop_host', _cut_streams),),
        '8-document-reverts': (Break(DocumentReplica, 'accept', _accept_any),),
    }
)


@contextmanager
def apply_break(name: str) -> Iterator[None]:
    """Run everything inside with broken code.

    :param name: a key of ``BREAKS``.
    """
    patches: list[Callable[..., Any]] = []
    active = [
        mock.patch.object(entry.target, entry.name, entry.wrong)
        for entry in BREAKS[name]
    ]
    for patch in active:
        patch.start()
        patches.append(patch.stop)
    try:
        yield
    finally:
        for stop in patches:
            stop()
