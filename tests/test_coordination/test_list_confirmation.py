"""Tests of lists that are confirmed on demand."""

from __future__ import annotations

import eventlet

from egretdale.coordination.list_confirmation import ListConfirmer
from egretdale.coordination.ports import Position
from egretdale.state.freshness import Confirmation
from standins.virtual.hub import use_virtual_time
from tests.functions import create_loader

load_tests = create_loader(__name__)

_CALL_S = 0.01
#: Longest time in seconds until a caller has an answer.
_ANSWER_S = 1.0 + 0.2 + 0.4


class _Platform:
    """Always has a newer list."""

    def is_newest(
        self, kind: str, position: Position, timeout_s: float
    ) -> bool:
        eventlet.sleep(_CALL_S)
        return False


def test_callers_do_not_wait_for_each_other_beyond_the_timeout() -> None:
    """The list of the host does not catch up meanwhile."""
    with use_virtual_time() as hub:
        confirmer = ListConfirmer(
            'kind',
            _Platform(),
            Confirmation(hub.read_now),
            lambda: (1, 1),
            hub.read_now,
        )
        began_at = hub.now
        threads = [eventlet.spawn(confirmer.confirm) for _ in range(50)]
        assert not any([thread.wait() for thread in threads])
        assert hub.now - began_at <= _ANSWER_S, hub.now - began_at
