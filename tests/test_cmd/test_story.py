"""Tests that find a planted cause from nothing but logs and metrics."""

from __future__ import annotations

import logging
from collections.abc import Iterator
from contextlib import contextmanager

from absl import logging as absl_logging
from click.testing import CliRunner
from prometheus_client import generate_latest

from egretdale.cmd.egretdale import main
from egretdale.coordination.ports import MaybeRun
from egretdale.state.outcomes import Refused
from egretdale.state.routing import RequestKind
from egretdale.util.logs import get_logger
from tests.forwarding import (
    ForwardingScene,
    ScriptedClient,
    create_request,
    create_route,
    create_table,
    open_scene,
)
from tests.functions import create_loader

load_tests = create_loader(__name__)

_LOGGER = get_logger('egretdale.transport.ingress')
_UNSAFE = create_route('/unsafe/', RequestKind.NON_IDEMPOTENT)


class _Lines(logging.Handler):
    """Keeps log lines as a host would write them.

    :ivar lines: the lines.
    """

    def __init__(self, lines: list[str]) -> None:
        super().__init__()
        self.lines = lines

    def emit(self, record: logging.LogRecord) -> None:
        """Keep a line with time and host."""
        text = record.getMessage()[1:]
        at = len(self.lines)
        self.lines.append(f'{{"at":{at},"entry_host":"host-0",{text}')


@contextmanager
def _capture(lines: list[str]) -> Iterator[None]:
    handler = _Lines(lines)
    logger = absl_logging.get_absl_logger()
    before = absl_logging.get_verbosity()
    absl_logging.set_verbosity('info')
    logger.addHandler(handler)
    yield
    logger.removeHandler(handler)
    absl_logging.set_verbosity(before)


def _fail(scene: ForwardingScene, path: str, **changes: object) -> Refused:
    """Forward a request that is refused, and log it as the ingress does."""
    refused = scene.forward(create_request(path, **changes))
    assert isinstance(refused, Refused)
    _LOGGER.info(
        'refused',
        request_id='request-1',
        reason=refused.reason,
        ran=refused.ran,
        detail=refused.detail,
    )
    return refused


def _tell(lines: list[str], request_id: str = 'request-1') -> tuple[int, str]:
    outcome = CliRunner().invoke(
        main, ['story', request_id], input='\n'.join(lines)
    )
    return outcome.exit_code, outcome.output


def test_a_failure_of_a_backend_server_that_was_not_repeated() -> None:
    """The story names the backend server and why nobody tried again."""
    client = ScriptedClient(MaybeRun('connection reset'))
    lines: list[str] = []
    with _capture(lines), open_scene(_TABLE, client, servers=1) as scene:
        _fail(scene, '/unsafe/')
        metrics = generate_latest(scene.metrics.registry).decode()
    status, told = _tell(lines)
    assert status == 0
    assert 'outcome-unknown (ran: unknown)' in told
    assert 'sent to b0: may-have-run' in told
    assert 'connection reset' in told
    assert 'ended="may-have-run",service="claims"} 1.0' in metrics


def test_a_refusal_for_stale_keys() -> None:
    """The story names the age of the keys and the lost platform."""
    table = create_table(_UNSAFE, keys=('k',))
    lines: list[str] = []
    with _capture(lines), open_scene(table, ScriptedClient()) as scene:
        _LOGGER.warning('configuration-source-lost', cause='silent', version=7)
        scene.clock.now += 6
        _fail(scene, '/unsafe/', key='k')
    status, told = _tell(lines)
    assert status == 0
    assert 'configuration-stale (ran: no)' in told
    assert 'keys were last confirmed 6.00 s ago' in told
    assert 'impaired: ' in told
    assert 'configuration-source-lost cause=silent version=7' in told


def test_a_refusal_under_load() -> None:
    """The story tells that no backend server was left and none ran it."""
    lines: list[str] = []
    with (
        _capture(lines),
        open_scene(_TABLE, ScriptedClient(), servers=0) as scene,
    ):
        _fail(scene, '/unsafe/')
    _, told = _tell(lines)
    assert 'no-backend-server (ran: no)' in told
    assert 'sent nowhere' in told


def test_a_regained_platform_is_no_circumstance() -> None:
    """Only what was lacking at the time is shown."""
    lines: list[str] = []
    with _capture(lines):
        _LOGGER.warning('configuration-source-lost', cause='silent')
        _LOGGER.info('configuration-source-regained')
        _LOGGER.info('request-ended', request_id='r', outcome='answered')
    _, told = _tell(lines, 'r')
    assert 'impaired' not in told
    assert told.startswith('ended as answered')


def test_an_unknown_request_ends_with_status_one() -> None:
    """Lines of other forms and of other requests are skipped."""
    status, told = _tell(['no json', '{broken', '{"event":"x"}', '[]'])
    assert status == 1
    assert 'nothing' in told


_TABLE = create_table(_UNSAFE)
