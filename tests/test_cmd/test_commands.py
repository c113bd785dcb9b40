"""Tests of the command lines."""

from __future__ import annotations

import json
import tempfile
from pathlib import Path

from click.testing import CliRunner

from egretdale.cmd.egretdale import main
from egretdale.config import Settings, parse_settings
from egretdale.errors import Invalid
from egretdale.state.identity import RefusalRecord, encode_refusal
from tests.functions import create_loader

load_tests = create_loader(__name__)

_SETTINGS = """
host: host-0
data_centre: dc-0
caller_address: 127.0.0.1:8080
peer_address: 127.0.0.1:8081
platform_url: http://127.0.0.1:9000
"""


_GATEWAY_SETTINGS = """
host: host-0
data_centre: dc-0
caller_address: 127.0.0.1:8080
peer_address: 127.0.0.1:8081
readiness_address: 127.0.0.1:8082
directory_address: 127.0.0.1:8083
metrics_address: 127.0.0.1:8084
"""


def _check(source: str, *options: str) -> tuple[int, str]:
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / 'settings.yaml'
        path.write_text(source)
        command = ['settings', 'check', *options, str(path)]
        outcome = CliRunner().invoke(main, command)
    return outcome.exit_code, outcome.output


def test_good_settings_are_shown_with_defaults() -> None:
    """Checked settings are printed whole."""
    status, output = _check(_SETTINGS)
    assert status == 0
    assert 'answer_lifetime_s: 10.0' in output


def test_wrong_settings_name_the_field() -> None:
    """Each wrong setting ends with status 2 and its path."""
    wrong = {
        'unknown: 1': '$',
        'host: Upper': '$.host',
        'peer_address: here': '$.peer_address',
        'drain_limit_s: 1': '$.drain_limit_s',
        'platform_url: ftp://x': '$.platform_url',
        'maximum_body_bytes: 1': '$.maximum_body_bytes',
        'suspicion_s: 0.1': '$.suspicion_s',
        'log_level: loud': '$.log_level',
    }
    for line, path in wrong.items():
        name = line.partition(':')[0]
        kept = [
            entry
            for entry in _SETTINGS.splitlines()
            if not entry.startswith(f'{name}:')
        ]
        status, output = _check('\n'.join([*kept, line]))
        assert status == 2, line
        assert output.startswith(path), output


def test_settings_of_a_forwarding_host_are_checked() -> None:
    """The other form has fields and clashes of its own."""
    status, output = _check(_GATEWAY_SETTINGS, '--form', 'gateway')
    assert status == 0
    assert 'key_age_s: 5.0' in output
    for line, path in (
        ('platform_url: http://x', '$'),
        ('key_age_s: -1', '$.key_age_s'),
        ('suspicion_s: 0.1', '$.suspicion_s'),
    ):
        status, output = _check(
            f'{_GATEWAY_SETTINGS}{line}\n', '--form', 'gateway'
        )
        assert status == 2, line
        assert output.startswith(path), output


def test_checked_settings_can_be_json() -> None:
    """The form of the output is chosen as for all commands."""
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / 'settings.yaml'
        path.write_text(_SETTINGS)
        outcome = CliRunner().invoke(
            main, ['--output', 'json', 'settings', 'check', str(path)]
        )
    assert json.loads(outcome.output)['answer_lifetime_s'] == 10


def test_settings_have_documented_defaults() -> None:
    """A file with only the required fields is complete."""
    settings = parse_settings(_SETTINGS.encode())
    assert isinstance(settings, Settings)
    assert isinstance(parse_settings(b'[]'), Invalid)


def test_refusal_is_explained_without_any_host() -> None:
    """The facts of a refusal are in its identity."""
    record = RefusalRecord(
        'r', 'host-0', 1, 'claims', 'counter', 'small', 'no-document', 'no', 3
    )
    outcome = CliRunner().invoke(main, ['explain', encode_refusal(record)])
    assert outcome.exit_code == 0
    assert 'no-document' in outcome.output


def test_unreachable_hosts_end_with_status_3() -> None:
    """Without an entry host that answers the command says so."""
    arguments = ['--host', '127.0.0.1:1', 'status']
    outcome = CliRunner().invoke(main, arguments)
    assert outcome.exit_code == 3
    assert 'no entry host answered' in outcome.output


def test_wrong_refusal_identity_ends_with_status_2() -> None:
    """A cut identity is not explained."""
    outcome = CliRunner().invoke(main, ['explain', 'rf1.abcd'])
    assert outcome.exit_code == 2
