"""Tests of forwarding: retries, resumed streams and refusals."""

from __future__ import annotations

import unittest

from egretdale.coordination.exchanges import ForwardReply, IncompleteResponse
from egretdale.coordination.ports import MaybeRun, NotRun
from egretdale.state.outcomes import Ran, Reason, Refused
from egretdale.state.routing import RequestKind
from tests.forwarding import (
    ScriptedClient,
    ScriptedResponse,
    create_prompt,
    create_request,
    create_route,
    create_table,
    open_scene,
)
from tests.functions import create_loader

load_tests = create_loader(__name__)

_case = unittest.TestCase()
_SAFE = create_route('/safe/', RequestKind.IDEMPOTENT)
_UNSAFE = create_route('/unsafe/', RequestKind.NON_IDEMPOTENT)
_STREAM = create_route('/stream/', RequestKind.STREAM, resumable=True)
_ONCE = create_route('/once/', RequestKind.STREAM)
_TABLE = create_table(_SAFE, _UNSAFE, _STREAM, _ONCE)


def _event(number: int) -> bytes:
    return b'id: %d\ndata: x\n\n' % number


def test_requests_that_did_not_run_are_retried_elsewhere() -> None:
    """A request is retried after an unreachable and a full backend server."""
    full = ScriptedResponse(status=503, sealed=False, not_run=True)
    client = ScriptedClient(NotRun('refused'), full, ScriptedResponse())
    with open_scene(_TABLE, client) as scene:
        reply = scene.forward(create_request('/unsafe/'))
        assert reply.status == 200
        names = [attempt.instance.name for attempt in client.attempts]
        assert len(set(names)) == 3
        assert full.closed


def test_a_server_that_had_no_time_to_connect_is_not_suspended() -> None:
    """The request had too little time left, which says nothing of it."""
    for at_fault in (False, True):
        client = ScriptedClient(
            NotRun('late', at_fault=at_fault), ScriptedResponse()
        )
        with open_scene(_TABLE, client, servers=2) as scene:
            assert scene.forward(create_request('/unsafe/')).status == 200
            instance = client.attempts[0].instance
            is_suspended = scene.loads.is_suspended(instance.incarnation)
            assert is_suspended is at_fault


def test_non_idempotent_requests_run_at_most_once() -> None:
    """A request that may have run is not retried; its outcome is unknown."""
    client = ScriptedClient(MaybeRun('reset'))
    with open_scene(_TABLE, client) as scene:
        refused = scene.forward(create_request('/unsafe/'))
        assert refused.reason == Reason.OUTCOME_UNKNOWN
        assert refused.ran == Ran.UNKNOWN
        assert refused.retry_after_s is None
        assert len(client.attempts) == 1


def test_idempotent_requests_are_retried_elsewhere() -> None:
    """An idempotent request is retried after a reset and a server error."""
    error = ScriptedResponse(status=500)
    client = ScriptedClient(MaybeRun('reset'), error, ScriptedResponse())
    with open_scene(_TABLE, client) as scene:
        assert scene.forward(create_request('/safe/')).status == 200
        assert error.closed


def test_the_error_of_the_last_attempt_is_relayed() -> None:
    """Without attempts left, the caller gets the signed error response."""
    once = create_route('/safe/', RequestKind.IDEMPOTENT, maximum_attempts=1)
    client = ScriptedClient(ScriptedResponse(status=500))
    with open_scene(create_table(once), client) as scene:
        assert scene.forward(create_request('/safe/')).status == 500


def test_unsigned_responses_are_not_relayed() -> None:
    """A success without a signature may not come from the backend server."""
    forged = ScriptedResponse(sealed=False)
    with open_scene(_TABLE, ScriptedClient(forged)) as scene:
        refused = scene.forward(create_request('/unsafe/'))
        assert refused.ran == Ran.UNKNOWN
        assert forged.closed


def test_attempts_are_limited_by_the_route() -> None:
    """A request is sent to no more backend servers than its route allows."""
    client = ScriptedClient(*[MaybeRun('reset') for _ in range(9)])
    with open_scene(_TABLE, client, servers=6) as scene:
        assert isinstance(scene.forward(create_request('/safe/')), Refused)
        assert len(client.attempts) == 3


def test_an_exhausted_budget_stops_retries() -> None:
    """With an exhausted retry budget, only first attempts are made."""
    client = ScriptedClient(*[MaybeRun('reset') for _ in range(200)])
    with open_scene(_TABLE, client, servers=6) as scene:
        for _ in range(50):
            scene.forward(create_request('/safe/'))
        retries = len(client.attempts) - 50
        # This host's quarter of the allowance and one retry per five requests.
        assert 1 <= retries <= 10 + 0.2 * 50


def test_refusals_without_a_run_say_when_to_come_back() -> None:
    """If all backend servers are full, the refusal has a retry time."""
    client = ScriptedClient(
        *[ScriptedResponse(503, not_run=True) for _ in range(3)]
    )
    with open_scene(_TABLE, client) as scene:
        refused = scene.forward(create_request('/unsafe/'))
        assert refused.ran == Ran.NO
        assert refused.retry_after_s > 0


def test_a_broken_stream_goes_on_after_its_last_whole_event() -> None:
    """The caller gets each event once, from two backend servers in turn."""
    first = ScriptedResponse(
        steps=[_event(1), _event(2) + b'id: 3\nda', MaybeRun('reset')]
    )
    second = ScriptedResponse(steps=[_event(3), _event(4)])
    client = ScriptedClient(first, second)
    with open_scene(_TABLE, client) as scene:
        reply = scene.forward(create_request('/stream/'))
        body = b''.join(reply.chunks)
        assert body == b''.join(_event(number) for number in range(1, 5))
        assert client.attempts[1].last_event_id == '2'
        assert scene.loads.find(('b0', 0)).running == 0


def test_a_stream_that_ends_within_an_event_is_resumed() -> None:
    """A stream that closes cleanly within an event counts as broken."""
    first = ScriptedResponse(steps=[_event(1) + b'id: 2'])
    client = ScriptedClient(first, ScriptedResponse(steps=[_event(2)]))
    with open_scene(_TABLE, client) as scene:
        reply = scene.forward(create_request('/stream/'))
        assert b''.join(reply.chunks) == _event(1) + _event(2)


def test_streams_that_are_not_resumable_end_with_an_error() -> None:
    """The relay of such a stream raises an error when the stream breaks."""
    broken = ScriptedResponse(steps=[_event(1), MaybeRun('reset')])
    with open_scene(_TABLE, ScriptedClient(broken)) as scene:
        reply = scene.forward(create_request('/once/'))
        assert next(reply.chunks) == _event(1)
        with _case.assertRaises(IncompleteResponse):
            next(reply.chunks)
        assert broken.closed


def test_closing_a_response_releases_the_backend_server() -> None:
    """Closing the relay closes the connection and reduces the load."""
    running = ScriptedResponse(steps=[_event(1), _event(2)])
    with open_scene(_TABLE, ScriptedClient(running), servers=1) as scene:
        reply = scene.forward(create_request('/stream/'))
        assert isinstance(reply, ForwardReply)
        assert scene.loads.find(('b0', 0)).running == 1
        reply.chunks.close()
        assert running.closed
        assert scene.loads.find(('b0', 0)).running == 0


def test_requests_with_a_shared_part_are_placed_together() -> None:
    """The same backend server gets them, so it prefills the part once."""
    client = ScriptedClient(*[ScriptedResponse() for _ in range(8)])
    with open_scene(_TABLE, client, servers=5) as scene:
        for _ in range(8):
            request = create_request('/once/', prompt=create_prompt(6000, 100))
            list(scene.forward(request).chunks)
    names = {attempt.instance.name for attempt in client.attempts}
    assert len(names) == 1


def test_a_loaded_backend_server_is_no_longer_preferred() -> None:
    """While prompts are in progress there, others go to another one."""
    client = ScriptedClient(*[ScriptedResponse() for _ in range(40)])
    with open_scene(_TABLE, client, servers=2) as scene:
        for _ in range(40):
            request = create_request('/once/', prompt=create_prompt(600, 100))
            scene.forward(request)
    names = [attempt.instance.name for attempt in client.attempts]
    assert 10 <= names.count('b0') <= 30


def test_streams_are_not_resumed_with_stale_keys() -> None:
    """A stream is not resumed once its API key may have been revoked."""
    patient = create_route(
        '/stream/', RequestKind.STREAM, resumable=True, timeout_s=60.0
    )
    table = create_table(patient, keys=('k',))
    broken = ScriptedResponse(steps=[_event(1), MaybeRun('reset')])
    client = ScriptedClient(broken, ScriptedResponse())
    with open_scene(table, client) as scene:
        request = create_request('/stream/', key='k', patience_s=30.0)
        reply = scene.forward(request)
        next(reply.chunks)
        scene.clock.now += 6
        with _case.assertRaises(IncompleteResponse):
            next(reply.chunks)
        assert len(client.attempts) == 1


def test_an_error_is_relayed_if_stale_keys_forbid_a_retry() -> None:
    """The caller gets the signed error rather than an unknown outcome."""
    patient = create_route('/safe/', RequestKind.IDEMPOTENT, timeout_s=60.0)
    table = create_table(patient, keys=('k',))
    failure = ScriptedResponse(status=500)
    client = ScriptedClient(failure)
    with open_scene(table, client) as scene:
        request = create_request('/safe/', key='k', patience_s=30.0)
        admitted = scene.forwarder.admit(request)
        scene.clock.now += 4.99

        def answer_late(attempt: object) -> ScriptedResponse:
            scene.clock.now += 0.1
            return failure

        client.open = answer_late
        assert scene.forwarder.forward(admitted).status == 500


def test_a_refusal_of_another_host_is_passed_on() -> None:
    """With its status, as the request has run nowhere."""
    client = ScriptedClient(relayed=ScriptedResponse(status=503, sealed=False))
    with open_scene(_TABLE, client, servers=0) as scene:
        scene.add_peer('other')
        assert scene.forward(create_request('/safe/')).status == 503


def test_a_refusal_of_another_host_proves_nothing_after_an_attempt() -> None:
    """The request may have run at a server that fell silent."""
    refusal = ScriptedResponse(status=503, sealed=False)
    client = ScriptedClient(MaybeRun('silent'), relayed=refusal)
    with open_scene(_TABLE, client, servers=1) as scene:
        scene.add_peer('other')
        refused = scene.forward(create_request('/safe/'))
        assert refused.ran == Ran.UNKNOWN
        assert refusal.closed


def test_a_host_that_had_no_time_to_connect_is_not_avoided() -> None:
    """The request had too little time left, and has run nowhere."""
    client = ScriptedClient(relayed=NotRun('late', at_fault=False))
    with open_scene(_TABLE, client, servers=0) as scene:
        scene.add_peer('other')
        assert scene.forward(create_request('/safe/')).ran == Ran.NO
        client.relay = lambda attempt: ScriptedResponse()
        assert scene.forward(create_request('/safe/')).status == 200
