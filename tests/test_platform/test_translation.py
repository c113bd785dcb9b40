"""Tests of the translation of settings, configurations and engine entries."""

from __future__ import annotations

import io
import json
import tempfile
from contextlib import redirect_stderr, redirect_stdout
from pathlib import Path

from egretdale.config import GatewaySettings, parse_gateway_settings
from egretdale.errors import Invalid
from egretdale.state.instances import Instance
from egretdale.state.routing import EngineBounds, RequestKind, RoutingTable
from standins import platform_path  # noqa: F401
from tests.functions import create_loader

from egretdale_platform.configuration import (  # isort: skip
    decode_configuration,
    decode_engine,
)
from egretdale_platform.daemon import check_settings  # isort: skip
from egretdale_platform.settings import (  # isort: skip
    parse_platform_settings,
    translate_settings,
)

load_tests = create_loader(__name__)

_ROUTE = {
    'name': 'r1',
    'host': 'a.example',
    'path_prefix': '/a/',
    'kind': 'streaming',
    'timeout_ms': 8000,
    'target_latency_ms': 1000,
    'priority': 2,
    'traffic_split': [{'backend': 's1', 'weight': 9}],
    'max_attempts': 2,
    'public': False,
    'resumable': True,
    'gap_aim_ms': 800,
    'a_later_field': {},
}
_ENTRY = {
    'backend': 's1',
    'address': '10.0.0.1:80',
    'zone': 'z1',
    'state': 'ready',
    'slots': 8,
    'born': 1700000000123,
    'sequence': 4,
}
SETTINGS = {
    'node_name': 'front-1',
    'ip': '10.1.0.40',
    'zone': 'z1',
    'bind': {
        'front': '10.1.0.40:1',
        'ready': '10.1.0.40:2',
        'control': '10.1.0.40:3',
        'directory': '10.1.0.40:4',
    },
    'provider': {'address': '10.2.0.1:5'},
    'seeds': ['10.1.0.40:3', '10.1.0.41:3'],
    'bounds': {'grace_s': 8, 'revoke_ms': 5000, 'config_apply_ms': 2000},
    'limits': {'memory_mb': 300, 'max_fds': 4100, 'cores': 2},
}


def _decode(**changes: object) -> RoutingTable | Invalid:
    body = {'version': 7, 'routes': [_ROUTE], 'services': [], 'limits': {}}
    return decode_configuration(json.dumps({**body, **changes}).encode())


def _decode_entry(**changes: object) -> Instance | Invalid:
    return decode_engine('i-1', json.dumps({**_ENTRY, **changes}).encode())


def test_routes_keep_their_meaning() -> None:
    """Kinds, times and splits are translated; newer fields are ignored."""
    table = _decode()
    route = table.find_route('a.example', '/a/x')
    assert route.kind == RequestKind.STREAM
    assert (route.timeout_s, route.target_s) == (8, 1)
    assert route.pause_target_s == 0.8
    assert route.services[0].service == 's1'
    assert route.is_repeatable()
    assert table.version == 7


def test_keys_are_needed_once_there_are_tenants() -> None:
    """API keys are required only if the configuration has tenants."""
    assert not _decode().requires_keys
    table = _decode(tenants=[{'name': 't1', 'api_keys': ['k'], 'priority': 1}])
    assert table.requires_keys
    assert table.find_holder('k').name == 't1'
    assert table.find_holder('other') is None


def test_a_wrong_configuration_names_the_field() -> None:
    """An unknown kind of route and malformed JSON are rejected."""
    invalid = _decode(routes=[{**_ROUTE, 'kind': 'sometimes'}])
    assert isinstance(invalid, Invalid)
    assert invalid.path == '$.routes[0].kind'
    assert isinstance(decode_configuration(b'\xff{'), Invalid)


def test_the_memory_of_engines_is_only_a_hint() -> None:
    """Services that state none, or that are invalid, leave the rest valid."""
    engine = {'slots': 64, 'kv_capacity_tokens': 480470, 'models': []}
    stated = {'name': 's1', 'engine': engine}
    for services, known in (
        ([stated, {'name': 's2'}, {'name': 7}, None], 480470),
        ([{**stated, 'engine': {**engine, 'kv_capacity_tokens': -1}}], 0),
        ([{**stated, 'engine': {**engine, 'kv_capacity_tokens': 'all'}}], 0),
        ([{**stated, 'engine': None}], 0),
        ({'s1': stated}, 0),
        (None, 0),
    ):
        table = _decode(services=services)
        assert table.find_capacity('s1').cache_tokens == known, services
        assert not table.find_capacity('s2').cache_tokens
        assert table.routes


def test_entries_identify_an_incarnation_of_an_engine() -> None:
    """An engine that restarts under the same ID is another incarnation."""
    entry = _decode_entry()
    again = _decode_entry(born=1700000009999)
    assert entry.incarnation != again.incarnation
    assert not entry.leaving
    assert _decode_entry(state='draining').leaving
    assert _decode_entry(version='v1.1').software_version == 'v1.1'


def test_invalid_entries_are_rejected() -> None:
    """Other programs may write entries that are invalid in any way."""
    for changes in (
        {'state': 'asleep'},
        {'state': 3},
        {'address': 'nowhere'},
        {'address': None},
        {'backend': ['s1']},
        {'slots': 'many'},
        {'version': 3},
    ):
        assert isinstance(_decode_entry(**changes), Invalid), changes
    for source in (b'', b'\xff\xfe', b'[]', b'null', b'{"backend": "s1"}'):
        assert isinstance(decode_engine('i-1', source), Invalid), source


def test_settings_are_translated() -> None:
    """Limits of the platform become settings, with a safety margin."""
    given = parse_platform_settings(json.dumps(SETTINGS).encode())
    settings = translate_settings(given)
    assert settings.host == 'front-1'
    assert settings.seeds == ('10.1.0.41:3',)
    assert settings.key_age_s < 5
    assert settings.denial_age_s < 2
    assert settings.drain_limit_s == 8


def test_wrong_settings_name_the_field() -> None:
    """A missing address is reported with the path of its parent."""
    broken = {**SETTINGS, 'bind': {'front': '10.1.0.40:1'}}
    invalid = parse_platform_settings(json.dumps(broken).encode())
    assert isinstance(invalid, Invalid)
    assert invalid.path == '$.bind'


def _check_file(fields: dict[str, object]) -> tuple[int, str, str]:
    output, errors = io.StringIO(), io.StringIO()
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / 'node.json'
        path.write_text(json.dumps(fields))
        with redirect_stdout(output), redirect_stderr(errors):
            status = check_settings(path)
    return status, output.getvalue(), errors.getvalue()


def test_settings_of_the_platform_are_checked() -> None:
    """The check prints the product's settings, or the invalid field."""
    status, printed, _ = _check_file(SETTINGS)
    assert status == 0
    assert isinstance(parse_gateway_settings(printed.encode()), GatewaySettings)
    status, _, errors = _check_file({**SETTINGS, 'zone': 7})
    assert status == 2
    assert errors.startswith('$.zone')


def test_capacity_is_the_share_of_all_cores() -> None:
    """The capacity reflects the number of cores, not only their share."""
    limits = {'memory_mb': 552, 'max_fds': 8192, 'cpu_share': 0.717, 'cores': 3}
    given = parse_platform_settings(
        json.dumps({**SETTINGS, 'limits': limits}).encode()
    )
    assert translate_settings(given).capacity == 215


def test_scaling_is_translated() -> None:
    scaled = {
        'name': 'm',
        'autoscaling': {
            'min': 1,
            'max': 20,
            'boot_time_s': 4.0,
            'spot_price': 0.22,
            'zone_prices': {'a': 1.0},
            'zone_limits': {'a': {'min': 4, 'max': 4}, 'b': {'max': 30}},
        },
    }
    # Services that are not scaled or malformed do not stop requests.
    services = [scaled, {'name': 'plain'}, {'name': 3}, 'odd']
    table = decode_configuration(
        json.dumps({'version': 1, 'services': services}).encode()
    )
    assert isinstance(table, RoutingTable)
    assert list(table.scaling) == ['m']
    scaling = table.scaling['m']
    assert scaling.boot_s == 4
    assert scaling.has_spot()
    assert scaling.find_bounds('a') == EngineBounds(4, 4)
    assert scaling.find_bounds('b') == EngineBounds(1, 20)
    odd = decode_configuration(b'{"version":1,"services":5}')
    assert isinstance(odd, RoutingTable)
    assert not odd.scaling


def test_spot_engines_are_marked() -> None:
    entry = {
        'backend': 'm',
        'address': '10.0.0.1:80',
        'zone': 'a',
        'state': 'ready',
        'use_spot': True,
    }
    engine = decode_engine('e', json.dumps(entry).encode())
    assert isinstance(engine, Instance)
    assert engine.is_spot
