"""Tests of what a forwarding host tells callers and its peers."""

from __future__ import annotations

import random
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import replace

from egretdale.config import GatewaySettings
from egretdale.coordination.gateway import Gateway, GatewaySurroundings
from egretdale.errors import Invalid
from egretdale.state.members import MemberStatus
from egretdale.state.messages import MemberUpdate
from standins.virtual.hub import use_virtual_time
from standins.virtual.network import HostFaults
from standins.virtual.platform import PlatformState, VirtualPlatform
from tests.forwarding import ScriptedClient
from tests.functions import create_loader

load_tests = create_loader(__name__)


def _refuse(*parts: object) -> Invalid:
    return Invalid('$', 'not used')


@contextmanager
def _open_gateway() -> Iterator[Gateway]:
    settings = GatewaySettings(
        host='own',
        data_centre='dc',
        caller_address='10.0.0.1:1',
        peer_address='10.0.0.1:2',
        readiness_address='10.0.0.1:3',
        directory_address='10.0.0.1:4',
        metrics_address='10.0.0.1:5',
        seeds=('10.0.0.2:2',),
    )
    with use_virtual_time() as hub:
        outside = GatewaySurroundings(
            VirtualPlatform('own', PlatformState(), HostFaults()),
            None,
            ScriptedClient(),
            hub.read_now,
            hub.read_now,
            random.Random(1),
            _refuse,
            _refuse,
        )
        yield Gateway(settings, outside)


def _update(host: str, status: MemberStatus) -> MemberUpdate:
    address = f'{host}:1'
    return MemberUpdate(host, 1, 1, int(status), 'dc', address, f'{host}:2')


def test_only_hosts_that_answer_are_offered() -> None:
    """Suspects and leaving hosts are offered when there are no others."""
    with _open_gateway() as gateway:
        assert gateway.list_addresses() == []
        gateway.membership.learn(_update('c', MemberStatus.LEAVING))
        assert gateway.list_addresses() == ['c:1']
        gateway.membership.learn(_update('b', MemberStatus.SUSPECT))
        assert gateway.list_addresses() == ['b:1']
        gateway.membership.learn(_update('a', MemberStatus.ALIVE))
        assert gateway.list_addresses() == ['a:1']


def test_a_seed_is_replaced_by_its_host() -> None:
    """The address of a seed is not kept beside the host's own entry."""
    with _open_gateway() as gateway:
        table = gateway.mesh.table
        assert table.find('10.0.0.2:2') is not None
        named = replace(
            _update('a', MemberStatus.ALIVE), peer_address='10.0.0.2:2'
        )
        gateway.membership.learn(named)
        assert table.find('10.0.0.2:2') is None
        assert table.find('a') is not None


def test_seeds_of_others_are_not_taken_for_hosts() -> None:
    """News about a seed whose name the sender does not know is ignored."""
    with _open_gateway() as gateway:
        seed = replace(
            _update('10.0.0.9:2', MemberStatus.SUSPECT),
            peer_address='10.0.0.9:2',
        )
        gateway.membership.learn(seed)
        assert gateway.mesh.table.find('10.0.0.9:2') is None


def test_a_host_without_configuration_is_not_ready() -> None:
    """Nothing is served before the first configuration."""
    with _open_gateway() as gateway:
        assert not gateway.is_ready()
        assert gateway.limits().idle_s > 0
