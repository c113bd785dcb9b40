"""Tests of the admission of forwarded requests."""

from __future__ import annotations

from unittest import mock

from egretdale.coordination.admission import AdmittedRequest
from egretdale.coordination.exchanges import HostStopped, Prompt, PromptPart
from egretdale.state.outcomes import Ran, Reason, Refused
from egretdale.state.routing import RequestKind
from standins.emulation.policies import NoPrefillClient
from tests.forwarding import (
    ScriptedClient,
    create_prompt,
    create_request,
    create_route,
    create_table,
    open_scene,
)
from tests.functions import create_loader

load_tests = create_loader(__name__)

_ROUTE = create_route('/a/', RequestKind.IDEMPOTENT)
_PUBLIC = create_route('/open/', RequestKind.IDEMPOTENT, public=True)


def _refuse_reason(table, path: str, *, age_s: float, key: str = '') -> Reason:
    with open_scene(table, ScriptedClient()) as scene:
        scene.clock.now += age_s
        request = create_request(path, key=key, arrived_at=scene.clock.now)
        refused = scene.forwarder.admit(request)
        assert isinstance(refused, Refused), refused
        assert refused.ran == Ran.NO
        return refused.reason


def test_a_host_without_configuration_asks_for_a_retry() -> None:
    """Without a configuration requests are refused with a retry time."""
    reason = _refuse_reason(None, '/a/b', age_s=0)
    assert reason == Reason.CONFIGURATION_STALE


def test_denials_need_a_fresh_configuration() -> None:
    """A missing route or key is denied only by a fresh configuration."""
    table = create_table(_ROUTE, keys=('k',))
    stale = Reason.CONFIGURATION_STALE
    assert _refuse_reason(table, '/x/', age_s=1.9) == Reason.NO_ROUTE
    assert _refuse_reason(table, '/x/', age_s=2.1) == stale
    wrong = Reason.UNKNOWN_KEY
    assert _refuse_reason(table, '/a/', age_s=1.9, key='old') == wrong
    assert _refuse_reason(table, '/a/', age_s=2.1, key='old') == stale


def test_known_keys_are_refused_when_they_may_have_been_removed() -> None:
    """A key is accepted only while its removal cannot have been missed."""
    table = create_table(_ROUTE, _PUBLIC, keys=('k',))
    with open_scene(table, ScriptedClient()) as scene:
        scene.clock.now += 4.9
        admitted = scene.forwarder.admit(create_request('/a/', key='k'))
        assert isinstance(admitted, AdmittedRequest)
        assert admitted.organisation == 'small'
        scene.clock.now += 0.2
        refused = scene.forwarder.admit(create_request('/a/', key='k'))
        assert refused.reason == Reason.CONFIGURATION_STALE
        assert refused.retry_after_s is not None
        # Public routes do not depend on keys.
        public = scene.forwarder.admit(create_request('/open/'))
        assert isinstance(public, AdmittedRequest)


def test_keys_are_checked_again_right_before_the_request_leaves() -> None:
    """A host that was paused between admission and sending sends nothing."""
    patient = create_route('/a/', RequestKind.IDEMPOTENT, timeout_s=60.0)
    table = create_table(patient, keys=('k',))
    client = ScriptedClient()
    with open_scene(table, client) as scene:
        admitted = scene.forwarder.admit(
            create_request('/a/', key='k', patience_s=60.0)
        )
        scene.clock.now += 6
        refused = scene.forwarder.forward(admitted)
        assert refused.reason == Reason.CONFIGURATION_STALE
        assert not client.attempts


def _find_urgency(route_priority: int, holder_priority: int) -> int:
    route = create_route('/a/', RequestKind.IDEMPOTENT, priority=route_priority)
    table = create_table(route, keys=('k',), holder_priority=holder_priority)
    with open_scene(table, ScriptedClient()) as scene:
        request = create_request('/a/', key='k')
        return scene.forwarder.admit(request).urgency


def test_the_organisation_precedes_the_route_in_urgency() -> None:
    """Each route of a higher organisation precedes all of a lower one."""
    assert _find_urgency(2, 0) < _find_urgency(0, 1)
    assert _find_urgency(0, 1) < _find_urgency(1, 1)
    assert _find_urgency(2, 1) < _find_urgency(0, 2)
    assert _find_urgency(2, 5) <= 9


def test_the_route_timeout_bounds_the_deadline() -> None:
    """The deadline is the earlier of the caller's and the route's timeout."""
    short = create_route('/a/', RequestKind.IDEMPOTENT, timeout_s=1.0)
    with open_scene(create_table(short), ScriptedClient()) as scene:
        admitted = scene.forwarder.admit(create_request('/a/'))
        assert admitted.deadline_at == 101.0
        hasty = create_request('/a/', patience_s=0.5)
        assert scene.forwarder.admit(hasty).deadline_at == 100.5


def test_keys_are_checked_again_after_the_wait_for_an_engine() -> None:
    """A host that was paused while its request was queued sends nothing."""
    patient = create_route('/a/', RequestKind.IDEMPOTENT, timeout_s=60.0)
    client = ScriptedClient()
    with open_scene(create_table(patient, keys=('k',)), client) as scene:
        request = create_request(
            '/a/', key='k', patience_s=60.0, prompt=create_prompt(100, 10)
        )
        admitted = scene.forwarder.admit(request)

        def wait(*question: object) -> None:
            scene.clock.now += 6

        with mock.patch.object(NoPrefillClient, 'request_engine', wait):
            refused = scene.forwarder.forward(admitted)
        assert refused.reason == Reason.CONFIGURATION_STALE
        assert refused.ran == Ran.NO
        assert not client.attempts


def test_requests_that_wait_at_the_end_of_a_stop_are_refused() -> None:
    """They were not sent to an engine, so they have not run."""
    route = create_route('/a/', RequestKind.NON_IDEMPOTENT)
    client = ScriptedClient()
    with open_scene(create_table(route), client) as scene:
        request = create_request('/a/', prompt=create_prompt(100, 10))
        admitted = scene.forwarder.admit(request)
        with mock.patch.object(
            NoPrefillClient, 'request_engine', side_effect=HostStopped
        ):
            refused = scene.forwarder.forward(admitted)
        assert refused.reason == Reason.HOST_STOPPING
        assert refused.ran == Ran.NO
        assert refused.retry_after_s > 0
        assert not client.attempts


def test_requests_with_many_parts_have_few_fingerprints() -> None:
    """They are kept and told to all hosts after a crash."""
    parts = tuple(PromptPart(number, 10) for number in range(1000))
    with open_scene(create_table(_PUBLIC), ScriptedClient()) as scene:
        request = create_request('/open/', prompt=Prompt(10000, 10, parts))
        fingerprints = scene.forwarder.admit(request).fingerprints
        assert len(fingerprints) <= 32
        assert parts[-2].identity in fingerprints


def test_requests_of_one_path_caller_and_body_have_one_fingerprint() -> None:
    """IDs, times and keys differ between repetitions of a request."""
    table = create_table(_ROUTE, _PUBLIC, keys=('k', 'k2'))
    with open_scene(table, ScriptedClient()) as scene:
        requests = (
            create_request('/a/b', key='k', body=b'x'),
            create_request('/a/b', key='k2', body=b'x', request_id='again'),
            create_request('/a/b', key='k', body=b'y'),
            create_request('/a/c', key='k', body=b'x'),
            create_request('/a/b', key='k', body=b'x', method='PUT'),
            create_request('/open/', body=b'x'),
        )
        fingerprints = [
            scene.forwarder.admit(request).fingerprint for request in requests
        ]
        assert fingerprints[0] == fingerprints[1]
        assert len(set(fingerprints)) == len(requests) - 1
