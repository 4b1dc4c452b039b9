import unittest

import anyio
from wagtailtide_gateway.control import engine_calls
from wagtailtide_gateway.control import messages
from wagtailtide_gateway.control import model_orders
from wagtailtide_testing import virtual_time

from tests import builders
from tests.control import engine_world


def make_world(*models):
    residency = builders.make_residency(models, on_disk=frozenset('c'))
    world = engine_world.World(builders.make_server('e1', residency=residency))
    world.learn()
    orders = model_orders.ModelOrders(
        world.config,
        world.servers,
        world.fleet,
        world.hub,
        world.calls,
        builders.make_settings(),
    )
    return world, orders


async def plan_for(world, orders, model, seconds):
    """Let requests wait for a model while 'b' is busy, and plan once.

    Returns:
        The models that the instances are told of after these seconds.
    """
    demand = (
        messages.ModelDemand(engine_world.SERVICE, model, 40, 0, 40, 0.4),
        messages.ModelDemand(engine_world.SERVICE, 'b', 10, 10, 0, 0.4),
    )
    report = messages.Report(
        'front-1', False, 1, 0.0, 0, 0, {}, {}, demand, (), (), ()
    )
    world.hub.answer(report)
    await anyio.sleep(1.0)
    world.hub.advance_rates(1.0)
    async with anyio.create_task_group() as tg:
        orders.plan(tg, anyio.current_time())
        await anyio.sleep(seconds)
        published = world.published('e1')
        tg.cancel_scope.cancel()
    return published


class ModelOrdersTest(unittest.TestCase):
    @virtual_time.run_without_io
    async def test_model_is_withdrawn_before_it_is_unloaded(self):
        # Guards against requests that are sent to an engine that drops
        # their model in that moment.
        world, orders = make_world('a', 'b')
        published = await plan_for(world, orders, 'c', 0.1)
        self.assertEqual({'b'}, published)
        self.assertEqual([], world.calls.given)

    @virtual_time.run_without_io
    async def test_load_follows_the_unload_that_makes_room(self):
        world, orders = make_world('a', 'b')
        published = await plan_for(world, orders, 'c', 10.0)
        loads = [(load, model) for _, _, load, model, _ in world.calls.given]
        self.assertEqual([(False, 'a'), (True, 'c')], loads)
        self.assertEqual({'b', 'c'}, published)
        self.assertFalse(world.fleet.engines['e1'].busy)

    @virtual_time.run_without_io
    async def test_nothing_is_loaded_where_no_room_was_made(self):
        # Guards against memory of an engine that is overcommitted, which
        # crashes it.
        world, orders = make_world('a', 'b')
        world.calls.statuses = [409]
        published = await plan_for(world, orders, 'c', 10.0)
        self.assertEqual(
            [(False, 'a')],
            [(load, model) for _, _, load, model, _ in world.calls.given],
        )
        self.assertEqual({'a', 'b'}, published)

    @virtual_time.run_without_io
    async def test_engine_that_refused_is_left_alone_for_a_while(self):
        world, orders = make_world('a')
        world.calls.statuses = [409]
        await plan_for(world, orders, 'c', engine_calls.REPORT_LAG_S + 0.1)
        engine = world.fleet.engines['e1']
        self.assertFalse(engine.busy)
        self.assertGreater(engine.not_before, anyio.current_time())
