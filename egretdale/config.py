"""Settings of the daemon, each declared once with its default and type."""

from __future__ import annotations

from typing import Annotated, Literal, TypeVar

import msgspec

from egretdale.errors import Invalid
from egretdale.util.validation import split_validation_error

_Address = Annotated[str, msgspec.Meta(pattern=r'^[0-9.]+:[0-9]{1,5}$')]
_Name = Annotated[str, msgspec.Meta(pattern='^[a-z0-9][a-z0-9-]*$')]
_Seconds = Annotated[float, msgspec.Meta(gt=0)]
_Rate = Annotated[float, msgspec.Meta(gt=0)]

#: Type of the settings that are decoded.
_Kind = TypeVar('_Kind')


class Seed(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A peer that is known before the platform has answered.

    :ivar host: name of the entry host.
    :ivar peer_address: ``address:port`` of its daemon for peers.
    """

    host: _Name
    peer_address: _Address


class Settings(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True
):
    """Settings of a daemon.

    :ivar host: name of this entry host.
    :ivar data_centre: data centre of this host.
    :ivar caller_address: ``address:port`` for callers and operators.
    :ivar peer_address: ``address:port`` for the other daemons.
    :ivar platform_url: base URL of the platform's object API.
    :ivar seeds: peers that are known before the platform has answered.
    :ivar log_level: least severe lines that are logged.
    :ivar answer_lifetime_s: seconds that callers keep a list of hosts.
    :ivar drain_limit_s: longest planned stop in seconds.
    :ivar probe_period_s: seconds between probes of peers.
    :ivar suspicion_s: seconds from suspicion of a peer to its removal.
    :ivar peer_timeout_s: longest wait for a peer's answer in seconds.
    :ivar peer_bytes_per_s: bytes a second to peers above which messages are
        held back a little to share a batch.
    :ivar platform_timeout_s: longest wait for the platform in seconds.
    :ivar platform_calls_per_s: calls a second that this host may make.
    :ivar isolation_s: seconds without platform and peers after which this
        host refuses new work.
    :ivar first_byte_timeout_s: longest wait for the first byte of a backend
        server in seconds.
    :ivar progress_timeout_s: longest silence of a running stream in seconds.
    :ivar maximum_body_bytes: longest request body in bytes.
    :ivar body_timeout_s: longest wait for a request body in seconds.
    :ivar maximum_connections: connections of callers at one time.
    """

    host: _Name
    data_centre: _Name
    caller_address: _Address
    peer_address: _Address
    platform_url: str
    seeds: tuple[Seed, ...] = ()
    log_level: Literal['info', 'warning', 'error'] = 'info'
    answer_lifetime_s: _Seconds = 10.0
    drain_limit_s: _Seconds = 600.0
    probe_period_s: _Seconds = 0.5
    suspicion_s: _Seconds = 1.0
    peer_timeout_s: _Seconds = 0.15
    peer_bytes_per_s: _Rate = 4096.0
    platform_timeout_s: _Seconds = 2.0
    platform_calls_per_s: _Rate = 50.0
    isolation_s: _Seconds = 6.0
    first_byte_timeout_s: _Seconds = 120.0
    progress_timeout_s: _Seconds = 3.0
    maximum_body_bytes: Annotated[int, msgspec.Meta(ge=1024)] = 4 * 1024 * 1024
    body_timeout_s: _Seconds = 10.0
    maximum_connections: Annotated[int, msgspec.Meta(ge=8)] = 4096


class GatewaySettings(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True
):
    """Settings of a host that forwards requests by routes.

    :ivar host: name of this entry host.
    :ivar data_centre: data centre of this host.
    :ivar caller_address: ``address:port`` for callers.
    :ivar peer_address: ``address:port`` for the other daemons.
    :ivar readiness_address: ``address:port`` that tells whether this host is
        ready; several purposes may share one address.
    :ivar directory_address: ``address:port`` that tells callers where to
        connect.
    :ivar metrics_address: ``address:port`` of the metrics.
    :ivar seeds: peer addresses that are known before the platform answers.
    :ivar answer_lifetime_s: seconds that callers keep a list of hosts.
    :ivar drain_limit_s: longest planned stop in seconds.
    :ivar probe_period_s: seconds between probes of peers.
    :ivar suspicion_s: seconds from suspicion of a peer to its removal.
    :ivar peer_timeout_s: longest wait for a peer's answer in seconds.
    :ivar peer_bytes_per_s: bytes a second to peers above which messages are
        held back a little to share a batch.
    :ivar denial_age_s: greatest age of the configuration at which a missing
        route or key is the caller's fault, in seconds.
    :ivar key_age_s: greatest age of the configuration at which keys are
        accepted, in seconds.
    :ivar retry_ratio: repeats of a service for each first attempt.
    :ivar retry_allowance: repeats of a service in each window besides, by
        all hosts together.
    :ivar retry_window_s: length of the window in seconds.
    :ivar expected_hosts: least number of hosts that share the allowance.
    :ivar capacity: share of a processor that this host has, in percent; 0
        when it is not known.
    :ivar maximum_connections: connections of callers at one time.
    :ivar log_lines_per_s: log lines a second above which lines are left out.
    """

    host: _Name
    data_centre: str
    caller_address: _Address
    peer_address: _Address
    readiness_address: _Address
    directory_address: _Address
    metrics_address: _Address
    seeds: tuple[_Address, ...] = ()
    answer_lifetime_s: _Seconds = 2.0
    drain_limit_s: _Seconds = 8.0
    probe_period_s: _Seconds = 0.5
    suspicion_s: _Seconds = 1.0
    peer_timeout_s: _Seconds = 0.3
    peer_bytes_per_s: _Rate = 32768.0
    denial_age_s: _Seconds = 2.0
    key_age_s: _Seconds = 5.0
    retry_ratio: float = 0.1
    retry_allowance: float = 20.0
    retry_window_s: _Seconds = 10.0
    expected_hosts: int = 8
    capacity: int = 0
    maximum_connections: Annotated[int, msgspec.Meta(ge=8)] = 2048
    log_lines_per_s: _Rate = 200.0


def parse_settings(source: bytes) -> Settings | Invalid:
    """Decode and check settings of a daemon.

    :param source: YAML text.
    :return: the settings, or the path of the first wrong field.
    """
    settings = _decode(source, Settings)
    if isinstance(settings, Invalid):
        return settings
    if not settings.platform_url.startswith('http://'):
        return Invalid('$.platform_url', 'must start with http://')
    return find_clash(settings) or settings


def parse_gateway_settings(source: bytes) -> GatewaySettings | Invalid:
    """Decode and check settings of a host that forwards requests.

    :param source: YAML text.
    :return: the settings, or the path of the first wrong field.
    """
    settings = _decode(source, GatewaySettings)
    if isinstance(settings, Invalid):
        return settings
    return find_clash(settings) or settings


def find_clash(settings: Settings | GatewaySettings) -> Invalid | None:
    """Find settings that contradict each other.

    :param settings: settings of well-formed fields.
    :return: the path of the first of them, or ``None``.
    """
    if settings.caller_address == settings.peer_address:
        return Invalid('$.peer_address', 'must differ from caller_address')
    if settings.drain_limit_s < settings.answer_lifetime_s:
        return Invalid('$.drain_limit_s', 'must not be below answer_lifetime_s')
    if settings.suspicion_s < settings.probe_period_s:
        return Invalid('$.suspicion_s', 'must not be below probe_period_s')
    return None


def _decode(source: bytes, kind: type[_Kind]) -> _Kind | Invalid:
    try:
        return msgspec.yaml.decode(source, type=kind)
    except msgspec.ValidationError as wrong:
        return split_validation_error(wrong)
    except (msgspec.DecodeError, ValueError) as malformed:
        return Invalid('$', f'not well formed: {malformed}')
