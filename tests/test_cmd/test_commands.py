"""Tests of the command line interface."""

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
    """Valid settings are printed in full."""
    status, output = _check(_SETTINGS)
    assert status == 0
    assert 'answer_lifetime_s: 10.0' in output


def test_invalid_settings_name_the_field() -> None:
    """Each invalid setting exits with status 2 and prints its path."""
    invalid = {
        'unknown: 1': '$',
        'host: Upper': '$.host',
        'peer_address: here': '$.peer_address',
        'drain_limit_s: 1': '$.drain_limit_s',
        'platform_url: ftp://x': '$.platform_url',
        'maximum_body_bytes: 1': '$.maximum_body_bytes',
        'suspicion_s: 0.1': '$.suspicion_s',
        'log_level: loud': '$.log_level',
    }
    for line, path in invalid.items():
        name = line.partition(':')[0]
        kept = [
            entry
            for entry in _SETTINGS.splitlines()
            if not entry.startswith(f'{name}:')
        ]
        status, output = _check('\n'.join([*kept, line]))
        assert status == 2, line
        assert output.startswith(path), output


def test_gateway_settings_are_checked() -> None:
    """Gateway settings have their own fields and consistency checks."""
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
    """The output option applies to the check command."""
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / 'settings.yaml'
        path.write_text(_SETTINGS)
        outcome = CliRunner().invoke(
            main, ['--output', 'json', 'settings', 'check', str(path)]
        )
    assert json.loads(outcome.output)['answer_lifetime_s'] == 10


def test_settings_have_documented_defaults() -> None:
    """A file with only the required fields is valid."""
    settings = parse_settings(_SETTINGS.encode())
    assert isinstance(settings, Settings)
    assert isinstance(parse_settings(b'[]'), Invalid)


def test_refusal_is_explained_without_a_host() -> None:
    """The refusal ID contains the facts of the refusal."""
    record = RefusalRecord(
        'r', 'host-0', 1, 'claims', 'counter', 'small', 'no-document', 'no', 3
    )
    outcome = CliRunner().invoke(main, ['explain', encode_refusal(record)])
    assert outcome.exit_code == 0
    assert 'no-document' in outcome.output


def test_unreachable_hosts_end_with_status_3() -> None:
    """The command reports that no entry host answered."""
    arguments = ['--host', '127.0.0.1:1', 'status']
    outcome = CliRunner().invoke(main, arguments)
    assert outcome.exit_code == 3
    assert 'no entry host answered' in outcome.output


def test_invalid_refusal_id_ends_with_status_2() -> None:
    """A truncated refusal ID is rejected."""
    outcome = CliRunner().invoke(main, ['explain', 'rf1.abcd'])
    assert outcome.exit_code == 2
