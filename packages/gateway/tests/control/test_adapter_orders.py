import dataclasses
import unittest

import anyio
from wagtailtide_gateway.control import adapter_orders
from wagtailtide_gateway.control import messages
from wagtailtide_testing import virtual_time

from tests import builders
from tests.control import engine_world

WISH = messages.AdapterWish(engine_world.SERVICE, 'a', 'a9')


def make_world(*adapters):
    residency = builders.make_residency(['a'])
    model = dataclasses.replace(
        residency.models['a'], adapters=frozenset(adapters)
    )
    residency = dataclasses.replace(residency, models={'a': model})
    world = engine_world.World(builders.make_server('e1', residency=residency))
    world.learn()
    return world


async def start(world, age_s=0.0):
    """Start the orders for one wish of an age; let them end."""
    orders = adapter_orders.AdapterOrders(
        world.config, world.fleet, world.hub, world.calls
    )
    now = anyio.current_time()
    world.hub.adapter_wishes[WISH] = now - age_s
    async with anyio.create_task_group() as tg:
        orders.start(tg, now)
    return [(load, name) for _, _, load, _, name in world.calls.given]


class AdapterOrdersTest(unittest.TestCase):
    @virtual_time.run_without_io
    async def test_adapter_is_loaded_where_its_model_is(self):
        world = make_world()
        self.assertEqual([(True, 'a9')], await start(world))
        held = world.fleet.engines['e1'].residency.models['a']
        self.assertEqual({'a9'}, held.adapters)
        self.assertEqual({}, world.hub.adapter_wishes)

    @virtual_time.run_without_io
    async def test_adapter_asked_for_longest_ago_makes_room(self):
        # Guards the limit on adapters of an engine; beyond it, it crashes.
        world = make_world('a1', 'a2')
        used_at = world.fleet.engines['e1'].adapter_used_at
        used_at[('a', 'a1')], used_at[('a', 'a2')] = 5.0, 3.0
        self.assertEqual([(False, 'a2'), (True, 'a9')], await start(world))

    @virtual_time.run_without_io
    async def test_nothing_is_loaded_where_no_adapter_gave_way(self):
        world = make_world('a1', 'a2')
        world.calls.statuses = [409]
        self.assertEqual([(False, 'a1')], await start(world))

    @virtual_time.run_without_io
    async def test_wish_whose_requests_were_answered_is_void(self):
        world = make_world()
        age_s = adapter_orders.WISH_VALID_S + 0.1
        self.assertEqual([], await start(world, age_s))
        self.assertEqual({}, world.hub.adapter_wishes)

    @virtual_time.run_without_io
    async def test_engine_with_a_model_order_is_left_out(self):
        # It would answer 409 and delay the model order's next step.
        world = make_world()
        world.fleet.engines['e1'].busy = True
        self.assertEqual([], await start(world))
        self.assertIn(WISH, world.hub.adapter_wishes)
