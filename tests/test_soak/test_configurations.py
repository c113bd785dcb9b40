"""Tests of the configurations that the operator of a soak test writes."""

from __future__ import annotations

import random
from dataclasses import replace

from egretdale.util.clocks import read_hub_clock
from soak.clients import Client
from soak.configurations import ConfigurationWriter
from soak.daemons import IDLE_TIMEOUT_S, Terms
from standins.objects import ObjectStoreProgram
from tests.functions import create_loader

load_tests = create_loader(__name__)


def _create() -> tuple[ConfigurationWriter, ObjectStoreProgram, list[Client]]:
    store = ObjectStoreProgram()
    clients = [Client(f'c{index}', [], random.Random(1)) for index in (0, 1)]
    return ConfigurationWriter(store, {}, lambda: clients), store, clients


def test_clients_rely_on_the_shortest_idle_timeout_of_late() -> None:
    """A daemon may not know the newest configuration yet."""
    writer, store, clients = _create()
    assert clients[0].idle_timeout_s == IDLE_TIMEOUT_S
    writer.change_terms(Terms(idle_timeout_s=2))
    assert {client.idle_timeout_s for client in clients} == {2}
    writer.change_terms(Terms(idle_timeout_s=5))
    assert {client.idle_timeout_s for client in clients} == {2}


def test_half_of_the_clients_keep_a_revoked_key_at_first() -> None:
    """The time of its revocation is noted."""
    writer, store, clients = _create()
    for client in clients:
        client.key = writer.key
    revoked = writer.key
    writer.change_key()
    assert [client.key for client in clients] == [writer.key, revoked]
    assert writer.key != revoked
    assert writer.revoked_at[revoked] <= read_hub_clock()


def test_each_change_writes_a_new_version() -> None:
    """It keeps what the change does not concern."""
    writer, store, _ = _create()
    first = store.revision
    terms = replace(Terms(), is_split=True)
    writer.change_terms(terms)
    writer.change_key()
    assert store.revision == first + 2
    assert store.list_names('config') == ['main']
