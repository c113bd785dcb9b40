"""Tests of the duty that orders engines and of the reports it is based on."""

from __future__ import annotations

from dataclasses import dataclass, field

from egretdale.coordination.duties import DUTIES
from egretdale.coordination.duty_calls import DutyOutcome
from egretdale.coordination.scaling import ScalingDuty, ScalingSources
from egretdale.coordination.service_loads import LoadReporter, ServiceLoadTable
from egretdale.state.duty_messages import ServiceLoad
from egretdale.state.gateway_metrics import GatewayMetrics
from egretdale.state.instances import Instance, InstanceTable
from egretdale.state.members import MemberStatus, MemberTable, find_owner
from egretdale.state.messages import Batch, MemberUpdate
from egretdale.state.routing import CallerLimits, RoutingTable
from egretdale.state.service_activity import ServiceActivity
from tests.engine_fleet import CENTRES, SCALING
from tests.functions import create_loader

load_tests = create_loader(__name__)

_HOSTS = ('h1', 'h2')


@dataclass(slots=True)
class Term:
    holder: str = 'h1'
    token: int = 1

    def may_call(self) -> bool:
        return True


@dataclass(slots=True)
class Sender:
    outcome: DutyOutcome = DutyOutcome.ACCEPTED
    orders: list = field(default_factory=list)

    def send_usage(self, report, fence):
        raise AssertionError(report, fence)

    def send_scale(self, order, fence):
        self.orders.append((order, fence.token))
        return self.outcome


class World:
    """A duty over a list of engines and the reports of two hosts."""

    def __init__(self) -> None:
        self.now = float(0)
        self.reporting = set(_HOSTS)
        self.is_list_current = True
        self.sender = Sender()
        self.instances = InstanceTable(self.read, 2)
        self.loads = ServiceLoadTable(self.read)
        self.metrics = GatewayMetrics()
        routing = RoutingTable(
            1,
            b'',
            (),
            CallerLimits(),
            (),
            requires_keys=False,
            scaling={'model': SCALING},
        )
        sources = ScalingSources(
            self.loads,
            self.instances,
            lambda: routing,
            lambda: _HOSTS,
            lambda: self.is_list_current,
        )
        self.duty = ScalingDuty(self.sender, sources, self.metrics, self.read)
        engines = [
            Instance(f'{centre}{index}', 'model', '1:1', centre, 1, 64)
            for centre in CENTRES
            for index in range(6)
        ]
        self.instances.replace(
            {engine.name: engine for engine in engines}, after_outage=False
        )

    def read(self) -> float:
        return self.now

    def play(self, seconds: int, term: Term, running: int = 0) -> None:
        for _ in range(seconds):
            for host in self.reporting:
                load = ServiceLoad('model', 'east', running, running)
                self.loads.note(host, [load])
            self.duty.perform(term)
            self.now += 1


def test_busy_engines_get_more():
    world = World()
    world.play(6, Term(), running=90)
    orders = [order for order, _ in world.sender.orders]
    assert {order.data_centre for order in orders} <= set(CENTRES)
    assert orders[0].use_spot
    # The mean demand is that of a sustained load, so both kinds are ordered.
    assert {order.use_spot for order in orders} == {True, None}
    assert max(order.desired for order in orders) > 6
    scraped = world.metrics.registry.get_sample_value(
        'egretdale_gateway_desired_engines',
        {'service': 'model', 'data_centre': 'north', 'kind': 'spot'},
    )
    assert scraped > 0
    listed = world.metrics.registry.get_sample_value(
        'egretdale_gateway_listed_engines',
        {'service': 'model', 'data_centre': 'north', 'kind': 'ordinary'},
    )
    assert listed == 6


def test_nothing_is_ordered_before_all_hosts_reported():
    world = World()
    world.reporting = {'h1'}
    world.play(30, Term())
    assert not world.sender.orders


def test_nothing_is_ordered_by_an_old_list():
    world = World()
    world.is_list_current = False
    world.play(30, Term(), running=90)
    assert not world.sender.orders


def test_a_new_term_waits_for_orders_of_another_holder():
    world = World()
    world.play(8, Term(), running=90)
    before = len(world.sender.orders)
    assert before
    world.play(4, Term(token=3), running=90)
    assert len(world.sender.orders) == before
    world.play(3, Term(token=3), running=90)
    assert {token for _, token in world.sender.orders[before:]} == {3}


def test_limited_calls_are_repeated_with_backoff():
    world = World()
    world.sender.outcome = DutyOutcome.LIMITED
    world.play(35, Term(), running=90)
    assert len(CENTRES) < len(world.sender.orders) <= len(CENTRES) * 2 * 6


def test_reports_are_summed_and_expire():
    world = World()
    loads = world.loads
    loads.note('h1', [ServiceLoad('model', 'east', 3, 1, 10, 0, 100)])
    loads.note('h2', [ServiceLoad('model', '', 0, 2, 0, 5)])
    world.now = float(1)
    loads.note('h1', [ServiceLoad('model', 'east', 4, 1, 20, 0, 300)])
    demand = loads.sum_demand('model', _HOSTS)
    assert (demand.running, demand.starting, demand.waiting) == (4, 1, 2)
    assert demand.prefill_tokens == 20
    assert demand.is_complete
    # A host that has restarted counts from zero.
    world.now = float(2)
    loads.note('h1', [ServiceLoad('model', 'east', 1, 0, 2, 0, 20)])
    assert loads.sum_demand('model', _HOSTS).prefill_tokens > 0
    world.now = float(5.5)
    assert not loads.sum_demand('model', _HOSTS).is_complete


def test_a_host_counts_its_requests():
    activity = ServiceActivity()
    engine = Instance('e1', 'model', '1:1', 'east', 1, 64)
    with activity.wait('model'):
        assert activity.list_loads(['model'])[0].waiting == 1
    activity.note_sent(engine, 500)
    activity.note_sent(engine, 0)
    activity.note_head(engine, 500)
    activity.note_head(engine, 0)
    activity.note_end(engine)
    load = activity.list_loads(['model'])[1]
    assert (load.running, load.waiting, load.begun) == (1, 0, 2)
    assert load.prompt_tokens == 500
    assert not activity.list_loads(['other'])


class Links:
    """Links to the peers of a host, without a network."""

    def __init__(self, own_host: str) -> None:
        self.table = MemberTable(own_host)
        for host in _HOSTS:
            update = MemberUpdate(host, 1, 1, MemberStatus.ALIVE, '', '', '')
            self.table.apply(update, 0)
        self.probed: list[str] = []

    def probe(self, host: str) -> None:
        self.probed.append(host)


def test_hosts_report_to_the_holder_once_a_second():
    world = World()
    owner = find_owner(Links('h1').table, DUTIES)
    other = min(set(_HOSTS) - {owner})
    scaled = ['model']
    links = Links(other)
    reporter = LoadReporter(
        links, ServiceActivity(), lambda: scaled, world.read
    )
    reporter.step()
    assert links.probed == [owner]
    batches = [Batch(other, 1) for _ in range(3)]
    reporter.fill(other, batches[0])
    reporter.fill(owner, batches[1])
    reporter.fill(owner, batches[2])
    assert [len(batch.loads) for batch in batches] == [0, 1, 0]
    reporter.step()
    assert len(links.probed) == 1
    holder = LoadReporter(
        Links(owner), ServiceActivity(), lambda: scaled, world.read
    )
    holder.receive(batches[1])
    assert not holder.table.sum_demand('model', _HOSTS).is_complete
    holder.step()
    assert holder.table.sum_demand('model', _HOSTS).is_complete


def test_hosts_report_nothing_where_nothing_is_scaled():
    world = World()
    links = Links('h1')
    reporter = LoadReporter(links, ServiceActivity(), list, world.read)
    world.now = float(5)
    reporter.step()
    for host in _HOSTS:
        batch = Batch('h1', 1)
        reporter.fill(host, batch)
        assert not batch.loads
    assert not links.probed
