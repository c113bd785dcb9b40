"""Gauges of a host that forwards requests."""

from __future__ import annotations

from egretdale.coordination.configuration import ConfigurationFollower
from egretdale.coordination.instances import InstanceFollower
from egretdale.coordination.mesh import Mesh
from egretdale.coordination.selection import BackendSelection
from egretdale.state.gateway_metrics import GatewayMetrics


def watch_gateway(
    metrics: GatewayMetrics,
    configuration: ConfigurationFollower,
    instances: InstanceFollower,
    selection: BackendSelection,
    mesh: Mesh,
) -> None:
    """Publish what is read on each scrape.

    :param metrics: metrics of the host.
    :param configuration: routing configuration.
    :param instances: list of backend servers.
    :param selection: selection of backend servers.
    :param mesh: links to peers.
    """
    metrics.add_gauge(
        'configuration_age_seconds',
        'Seconds since the configuration was known to be the newest',
        configuration.confirmation.measure_age,
    )
    metrics.add_gauge(
        'configuration_version',
        'Version of the configuration in force',
        lambda: configuration.version,
    )
    metrics.add_gauge(
        'backend_servers',
        'Backend servers in the list',
        instances.table.count,
    )
    metrics.add_gauge(
        'limited_backend_servers',
        'Backend servers that accept a limited rate of requests',
        selection.backpressure.table.count_limited,
    )
    metrics.add_gauge(
        'brittle_backend_servers',
        'Backend servers that fall over when they reject much',
        selection.backpressure.table.count_brittle,
    )
    metrics.add_gauge(
        'leaving_backend_servers',
        'Listed backend servers that are known to leave',
        instances.table.count_leaving,
    )
    metrics.add_gauge(
        'backends_lost',
        'Whether this host reaches no backend server',
        selection.is_cut_off,
    )
    metrics.add_gauge(
        'quarantined_fingerprints',
        'Requests and parts of prompts that crash backend servers',
        selection.quarantine.history.count_quarantines,
    )
    metrics.add_gauges(
        'prefill_tokens_per_second',
        'Speed that this host has learned as an allocator',
        selection.speeds.list_known_rates,
    )
    metrics.add_gauge(
        'peer_bytes', 'Bytes sent to peers', lambda: mesh.sent_bytes
    )
