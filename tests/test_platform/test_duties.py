"""Tests of the calls of duties, and of the settings that switch them on."""

from __future__ import annotations

import json
from collections.abc import Iterator
from contextlib import contextmanager

import eventlet

from egretdale.coordination.duty_calls import (
    DutyOutcome,
    ScaleOrder,
    UsageReport,
)
from egretdale.util.clocks import read_boot_clock
from standins import platform_path  # noqa: F401
from standins.web import listen
from tests.functions import create_loader

from egretdale_platform.duties import HttpDutySender  # isort: skip
from egretdale_platform.settings import (  # isort: skip
    parse_platform_settings,
    translate_settings,
)

load_tests = create_loader(__name__)

_TIMEOUT_S = 0.3
_SETTINGS = {
    'node_name': 'a1',
    'ip': '10.0.0.1',
    'zone': 'z',
    'bind': {
        'front': '10.0.0.1:1',
        'ready': '10.0.0.1:2',
        'control': '10.0.0.1:3',
        'directory': '10.0.0.1:4',
    },
    'provider': {'address': '10.0.0.9:1'},
    'bounds': {'lease_ms': 4000, 'report_window_s': 6, 'usage_late_s': 12},
}


class _Fence:
    holder = 'a1'
    token = 12

    def __init__(self, *, holds: bool = True) -> None:
        self._holds = holds

    def may_call(self) -> bool:
        return self._holds


@contextmanager
def _open_interface(
    answer: bytes, calls_per_s: float = 100
) -> Iterator[tuple[list[bytes], HttpDutySender]]:
    """Serve answers that are always the same, none if empty."""
    received: list[bytes] = []
    listener = listen('127.0.0.1:0')

    def serve() -> None:
        while True:
            connection, _ = listener.accept()
            eventlet.spawn_n(answer_call, connection)

    def answer_call(connection: object) -> None:
        received.append(connection.recv(65536))
        if answer:
            connection.sendall(answer)
        else:
            eventlet.sleep(5)
        connection.close()

    server = eventlet.spawn(serve)
    address = f'127.0.0.1:{listener.getsockname()[1]}'
    yield (
        received,
        HttpDutySender(
            address,
            timeout_s=_TIMEOUT_S,
            calls_per_s=calls_per_s,
            clock=read_boot_clock,
        ),
    )
    server.kill()


def _respond(status: str) -> bytes:
    return f'HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n'.encode()


def test_a_report_is_one_call_with_holder_and_token() -> None:
    """The same report is the same bytes, whatever the order of its counts."""
    with _open_interface(_respond('200 OK')) as (received, sender):
        for counts in ({'b': 1, 'a': 2}, {'a': 2, 'b': 1}):
            outcome = sender.send_usage(UsageReport(7, counts), _Fence())
            assert outcome == DutyOutcome.ACCEPTED
        head, _, body = received[0].partition(b'\r\n\r\n')
        assert received[0] == received[1]
    assert head.startswith(b'POST /usage HTTP/1.1\r\n'), head
    assert b'\r\nDuty-Holder: a1\r\nFencing-Token: 12\r\n' in head, head
    assert json.loads(body) == {'window_id': 7, 'counts': {'a': 2, 'b': 1}}


def test_an_order_names_the_kind_of_engines_if_told() -> None:
    """Otherwise the platform decides."""
    with _open_interface(_respond('200 OK')) as (received, sender):
        sender.send_scale(ScaleOrder('s', 'z', 4), _Fence())
        sender.send_scale(ScaleOrder('s', 'z', 2, use_spot=True), _Fence())
        bodies = [
            json.loads(call.partition(b'\r\n\r\n')[2]) for call in received
        ]
    plain = {'backend': 's', 'zone': 'z', 'desired': 4}
    assert bodies == [plain, {**plain, 'desired': 2, 'use_spot': True}]


def test_answers_and_silence_are_told_apart() -> None:
    """Without an answer the call ends in time, as unknown."""
    for answer, expected in (
        (_respond('429 Too Many'), DutyOutcome.LIMITED),
        (_respond('503 Down'), DutyOutcome.LIMITED),
        (_respond('409 Conflict'), DutyOutcome.UNAVAILABLE),
        (_respond('500 Error'), DutyOutcome.UNKNOWN),
        (b'', DutyOutcome.UNKNOWN),
    ):
        with _open_interface(answer) as (_, sender):
            started_at = read_boot_clock()
            outcome = sender.send_usage(UsageReport(7, {}), _Fence())
            took_s = read_boot_clock() - started_at
        assert outcome == expected, answer
        assert took_s < _TIMEOUT_S * 2, took_s


def test_nothing_is_sent_after_the_lease_or_above_the_rate() -> None:
    """The lease is checked once the connection is open."""
    with _open_interface(_respond('200 OK'), 0.1) as (received, sender):
        outcome = sender.send_usage(UsageReport(7, {}), _Fence(holds=False))
        assert outcome == DutyOutcome.NOT_SENT
        outcome = sender.send_usage(UsageReport(7, {}), _Fence())
        assert outcome == DutyOutcome.LIMITED
        assert not any(received), received


def test_settings_without_duties_switch_nothing_on() -> None:
    """Neither without the interface nor with duties that are not known."""
    for extra in (
        {},
        {'cloud_api': {'address': '10.0.0.8:1'}},
        {'cloud_api': {'address': '10.0.0.8:1', 'duties': ['dns']}},
    ):
        source = json.dumps({**_SETTINGS, **extra}).encode()
        translated = translate_settings(parse_platform_settings(source))
        assert translated.duties is None, extra


def test_settings_of_duties_are_translated() -> None:
    """Calls end well before the lease does."""
    cloud = {
        'address': '10.0.0.8:1',
        'duties': ['metering', 'dns'],
        'duty_per_s': 50,
    }
    source = json.dumps({**_SETTINGS, 'cloud_api': cloud}).encode()
    duties = translate_settings(parse_platform_settings(source)).duties
    assert duties.address == '10.0.0.8:1'
    assert duties.reports_usage
    assert not duties.orders_engines
    assert (duties.lease_s, duties.window_s, duties.late_s) == (4, 6, 12)
    assert duties.calls_per_s < 50
    assert duties.call_timeout_s < duties.lease_s / 4
