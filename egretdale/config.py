"""Settings of the daemons, with their types and defaults."""

from __future__ import annotations

from typing import Annotated, Literal, TypeVar

import msgspec

from egretdale.errors import Invalid
from egretdale.util.validation import split_validation_error

_Address = Annotated[str, msgspec.Meta(pattern=r'^[0-9.]+:[0-9]{1,5}$')]
_Name = Annotated[str, msgspec.Meta(pattern='^[a-z0-9][a-z0-9-]*$')]
_Seconds = Annotated[float, msgspec.Meta(gt=0)]
_Rate = Annotated[float, msgspec.Meta(gt=0)]

#: Type of the settings to decode.
_SettingsType = TypeVar('_SettingsType')


class Seed(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A peer to contact before the platform has responded.

    :ivar host: name of the entry host.
    :ivar peer_address: ``address:port`` at which it accepts peers.
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
    :ivar seeds: peers to contact before the platform has responded.
    :ivar log_level: minimum severity of logged lines.
    :ivar answer_lifetime_s: seconds that callers may cache a list of hosts.
    :ivar drain_limit_s: maximum duration of a graceful shutdown in seconds.
    :ivar probe_period_s: seconds between probes of peers.
    :ivar suspicion_s: seconds from suspicion of a peer to its removal.
    :ivar peer_timeout_s: timeout of calls to peers in seconds.
    :ivar peer_bytes_per_s: bytes per second to peers above which messages are
        delayed slightly so that they share a batch.
    :ivar platform_timeout_s: timeout of calls to the platform in seconds.
    :ivar platform_calls_per_s: maximum rate of calls to the platform.
    :ivar isolation_s: seconds without contact to the platform and to peers
        after which this host refuses new requests.
    :ivar first_byte_timeout_s: longest wait for the first byte of a backend
        server in seconds.
    :ivar progress_timeout_s: longest wait for the next bytes of a running
        stream in seconds.
    :ivar maximum_body_bytes: maximum size of a request body in bytes.
    :ivar body_timeout_s: longest wait for a request body in seconds.
    :ivar maximum_connections: maximum number of connections of callers.
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


class DutySettings(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True
):
    """Settings of the calls that one host makes on behalf of all.

    :ivar address: ``address:port`` of the interface that takes the calls.
    :ivar calls_per_s: calls per second of all hosts together.
    :ivar reports_usage: whether usage is reported.
    :ivar orders_engines: whether engines are ordered.
    :ivar lease_s: lifetime of the lease in seconds. Calls of two hosts do not
        alternate within it.
    :ivar call_timeout_s: longest duration of a call in seconds.
    :ivar window_s: length of a window of usage in seconds.
    :ivar late_s: seconds after a window's end until which its usage is due.
    """

    address: _Address
    calls_per_s: _Rate = 10.0
    reports_usage: bool = False
    orders_engines: bool = False
    lease_s: _Seconds = 3.0
    call_timeout_s: _Seconds = 0.6
    window_s: _Seconds = 5.0
    late_s: _Seconds = 10.0


class GatewaySettings(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True
):
    """Settings of a gateway, a host that forwards requests by routes.

    :ivar host: name of this entry host.
    :ivar data_centre: data centre of this host.
    :ivar caller_address: ``address:port`` for callers.
    :ivar peer_address: ``address:port`` for the other daemons.
    :ivar readiness_address: ``address:port`` of the readiness check; several
        servers may share one address.
    :ivar directory_address: ``address:port`` of the directory that tells
        callers where to connect.
    :ivar metrics_address: ``address:port`` of the metrics.
    :ivar seeds: peer addresses to contact before the platform has responded.
    :ivar answer_lifetime_s: seconds that callers may cache a list of hosts.
    :ivar drain_limit_s: maximum duration of a graceful shutdown in seconds.
    :ivar probe_period_s: seconds between probes of peers.
    :ivar suspicion_s: seconds from suspicion of a peer to its removal.
    :ivar peer_timeout_s: timeout of calls to peers in seconds.
    :ivar peer_bytes_per_s: bytes per second to peers above which messages are
        delayed slightly so that they share a batch.
    :ivar denial_age_s: maximum age of the configuration at which a missing
        route or key counts as an error of the caller, in seconds.
    :ivar key_age_s: maximum age of the configuration at which keys are
        accepted, in seconds.
    :ivar retry_ratio: retries allowed per first attempt, by service.
    :ivar retry_allowance: retries allowed in addition in each window, by
        service, for all hosts together.
    :ivar retry_window_s: length of the window in seconds.
    :ivar expected_hosts: minimum number of hosts that share the allowance.
    :ivar capacity: processor share of this host in percent, 0 if unknown.
    :ivar maximum_connections: maximum number of connections of callers.
    :ivar log_lines_per_s: log lines per second above which lines are dropped.
    :ivar duties: calls that one host makes on behalf of all, ``None`` if there
        are none.
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
    duties: DutySettings | None = None


def parse_settings(source: bytes) -> Settings | Invalid:
    """Decode and validate the settings of a daemon.

    :param source: YAML text.
    :return: the settings, or the path of the first invalid field.
    """
    settings = _decode(source, Settings)
    if isinstance(settings, Invalid):
        return settings
    if not settings.platform_url.startswith('http://'):
        return Invalid('$.platform_url', 'must start with http://')
    return find_clash(settings) or settings


def parse_gateway_settings(source: bytes) -> GatewaySettings | Invalid:
    """Decode and validate the settings of a gateway.

    :param source: YAML text.
    :return: the settings, or the path of the first invalid field.
    """
    settings = _decode(source, GatewaySettings)
    if isinstance(settings, Invalid):
        return settings
    return find_clash(settings) or settings


def find_clash(settings: Settings | GatewaySettings) -> Invalid | None:
    """Find settings that contradict each other.

    :param settings: settings whose fields are valid by themselves.
    :return: the path of the first such field, or ``None``.
    """
    if settings.caller_address == settings.peer_address:
        return Invalid('$.peer_address', 'must differ from caller_address')
    if settings.drain_limit_s < settings.answer_lifetime_s:
        return Invalid('$.drain_limit_s', 'must not be below answer_lifetime_s')
    if settings.suspicion_s < settings.probe_period_s:
        return Invalid('$.suspicion_s', 'must not be below probe_period_s')
    return None


def _decode(
    source: bytes, settings_type: type[_SettingsType]
) -> _SettingsType | Invalid:
    try:
        return msgspec.yaml.decode(source, type=settings_type)
    except msgspec.ValidationError as wrong:
        return split_validation_error(wrong)
    except (msgspec.DecodeError, ValueError, RecursionError) as malformed:
        return Invalid('$', f'not well formed: {malformed}')
