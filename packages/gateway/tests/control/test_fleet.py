import unittest

from wagtailtide_testing import virtual_time

from tests import builders
from tests.control import engine_world


def make_server(id_='e1', models=(), born_ms=1, **changes):
    residency = builders.make_residency(models, born_ms=born_ms)
    return builders.make_server(id_, residency=residency, **changes)


class FleetTest(unittest.TestCase):
    @virtual_time.run_without_io
    async def test_new_engine_is_busy_until_its_report_is_read(self):
        # Guards against orders with a count that the list does not state.
        world = engine_world.World(make_server('e1'))
        self.assertEqual(['e1'], world.fleet.follow_list())
        self.assertEqual([], world.fleet.follow_list())
        self.assertTrue(world.fleet.engines['e1'].busy)

    @virtual_time.run_without_io
    async def test_engine_that_started_again_is_a_new_one(self):
        # Guards against orders that rest on what it held before.
        world = engine_world.World(make_server('e1', ['a']))
        world.learn()
        world.list_servers(make_server('e1', born_ms=2))
        self.assertEqual(['e1'], world.fleet.follow_list())
        self.assertEqual({}, world.fleet.engines['e1'].residency.models)

    @virtual_time.run_without_io
    async def test_engine_that_is_gone_gets_no_further_order(self):
        world = engine_world.World(make_server('e1'))
        world.learn()
        engine = world.fleet.engines['e1']
        world.list_servers()
        world.fleet.follow_list()
        self.assertTrue(engine.busy)
        self.assertEqual({}, world.fleet.engines)

    @virtual_time.run_without_io
    async def test_leaving_engine_is_no_member(self):
        world = engine_world.World(
            make_server('e1'), make_server('e2', leaving=True)
        )
        world.learn()
        found = [id_ for id_, _ in world.fleet.members(world.service)]
        self.assertEqual(['e1'], found)

    @virtual_time.run_without_io
    async def test_coming_models_count_what_is_loaded_and_unloaded(self):
        world = engine_world.World(make_server('e1', ['a', 'b']))
        world.learn()
        engine = world.fleet.engines['e1']
        engine.loading, engine.victims = 'c', frozenset({'a'})
        self.assertEqual({'b', 'c'}, engine.coming_models)
