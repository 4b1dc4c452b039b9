import unittest

from wagtailtide_testing import virtual_time

from tests import builders
from tests.control import leader_fixture


def make_server(id_='e1', models=(), process_start_ms=1, **changes):
    residency = builders.make_residency(
        models, process_start_ms=process_start_ms
    )
    return builders.make_server(id_, residency=residency, **changes)


class FleetTest(unittest.TestCase):
    @virtual_time.run_without_io
    async def test_new_engine_is_busy_until_its_report_is_read(self):
        # Guards against orders with a wrong order count, which only the report
        # states.
        fixture = leader_fixture.LeaderFixture(make_server('e1'))
        self.assertEqual(['e1'], fixture.fleet.sync_with_list())
        self.assertEqual([], fixture.fleet.sync_with_list())
        self.assertTrue(fixture.fleet.engines['e1'].busy)

    @virtual_time.run_without_io
    async def test_restarted_engine_counts_as_new(self):
        # Guards against orders based on the models of the previous process.
        fixture = leader_fixture.LeaderFixture(make_server('e1', ['a']))
        fixture.add_listed_engines()
        fixture.set_listed_servers(make_server('e1', process_start_ms=2))
        self.assertEqual(['e1'], fixture.fleet.sync_with_list())
        self.assertEqual({}, fixture.fleet.engines['e1'].residency.models)

    @virtual_time.run_without_io
    async def test_removed_engine_gets_no_further_order(self):
        fixture = leader_fixture.LeaderFixture(make_server('e1'))
        fixture.add_listed_engines()
        engine = fixture.fleet.engines['e1']
        fixture.set_listed_servers()
        fixture.fleet.sync_with_list()
        self.assertTrue(engine.busy)
        self.assertEqual({}, fixture.fleet.engines)

    @virtual_time.run_without_io
    async def test_leaving_engine_is_not_available(self):
        fixture = leader_fixture.LeaderFixture(
            make_server('e1'), make_server('e2', leaving=True)
        )
        fixture.add_listed_engines()
        found = [
            id_ for id_, _ in fixture.fleet.available_engines(fixture.service)
        ]
        self.assertEqual(['e1'], found)

    @virtual_time.run_without_io
    async def test_engine_in_an_evacuated_zone_is_not_available(self):
        # Guards against models whose only replica is there and that are
        # loaded nowhere else.
        fixture = leader_fixture.LeaderFixture(
            make_server('e1', zone='z1'), make_server('e2', zone='z2')
        )
        fixture.add_listed_engines()

        def available():
            engines = fixture.fleet.available_engines(fixture.service)
            return [id_ for id_, _ in engines]

        fixture.set_evacuated_zones('z2')
        self.assertEqual(['e1'], available())
        fixture.set_evacuated_zones()
        self.assertEqual(['e1', 'e2'], available())

    @virtual_time.run_without_io
    async def test_order_that_a_report_includes_is_counted_once(self):
        # Guards against an engine that refuses all further orders: its
        # reports would count as older than the leader's own count.
        fixture = leader_fixture.LeaderFixture(make_server('e1'))
        fixture.add_listed_engines()
        engine = fixture.fleet.engines['e1']
        engine.residency = builders.make_residency(order_count=4)
        engine.count_order(3)
        self.assertEqual(4, engine.residency.order_count)
        engine.count_order(4)
        self.assertEqual(5, engine.residency.order_count)

    @virtual_time.run_without_io
    async def test_planned_models_include_loads_and_exclude_victims(self):
        fixture = leader_fixture.LeaderFixture(make_server('e1', ['a', 'b']))
        fixture.add_listed_engines()
        engine = fixture.fleet.engines['e1']
        engine.loading, engine.victims = 'c', frozenset({'a'})
        self.assertEqual({'b', 'c'}, engine.planned_models)
