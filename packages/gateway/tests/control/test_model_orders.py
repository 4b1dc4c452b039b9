import unittest

import anyio
from wagtailtide_gateway.control import engine_client
from wagtailtide_gateway.control import messages
from wagtailtide_gateway.control import model_orders
from wagtailtide_testing import virtual_time

from tests import builders
from tests.control import leader_fixture


def make_fixture(*models):
    residency = builders.make_residency(models, on_disk=frozenset('c'))
    fixture = leader_fixture.LeaderFixture(
        builders.make_server('e1', residency=residency)
    )
    fixture.add_listed_engines()
    orders = model_orders.ModelOrders(
        fixture.config,
        fixture.servers,
        fixture.fleet,
        fixture.cluster,
        fixture.client,
        builders.make_settings(),
    )
    return fixture, orders


async def plan_for(fixture, orders, model, seconds):
    """Plan once with requests waiting for a model while 'b' is busy.

    Returns:
        The models published to the instances after the given seconds.
    """
    await report_demand(fixture, (model, 0, 40, 0.4), ('b', 10, 0, 0.4))
    async with anyio.create_task_group() as tg:
        orders.plan(tg, anyio.current_time())
        await anyio.sleep(seconds)
        published_models = fixture.published_models('e1')
        tg.cancel_scope.cancel()
    return published_models


async def report_demand(fixture, *rows):
    """Report rows of model, running, waiting and latency target."""
    demand = tuple(
        messages.ModelDemand(
            leader_fixture.SERVICE,
            model,
            running + waiting,
            running,
            waiting,
            target_s,
        )
        for model, running, waiting, target_s in rows
    )
    fixture.cluster.handle_report(builders.make_report(demand=demand))
    await anyio.sleep(1.0)
    fixture.cluster.update_rates(1.0)


class ModelOrdersTest(unittest.TestCase):
    @virtual_time.run_without_io
    async def test_model_is_withdrawn_before_it_is_unloaded(self):
        # Guards against requests sent to an engine while it unloads their
        # model.
        fixture, orders = make_fixture('a', 'b')
        published_models = await plan_for(fixture, orders, 'c', 0.1)
        self.assertEqual({'b'}, published_models)
        self.assertEqual([], fixture.client.sent)

    @virtual_time.run_without_io
    async def test_load_follows_the_unload_of_its_victim(self):
        fixture, orders = make_fixture('a', 'b')
        published_models = await plan_for(fixture, orders, 'c', 10.0)
        loads = [(load, model) for _, _, load, model, _ in fixture.client.sent]
        self.assertEqual([(False, 'a'), (True, 'c')], loads)
        self.assertEqual({'b', 'c'}, published_models)
        self.assertFalse(fixture.fleet.engines['e1'].busy)

    @virtual_time.run_without_io
    async def test_nothing_is_loaded_if_the_unload_is_refused(self):
        # Guards against overcommitting the memory of an engine, which crashes
        # it.
        fixture, orders = make_fixture('a', 'b')
        fixture.client.statuses = [409]
        published_models = await plan_for(fixture, orders, 'c', 10.0)
        self.assertEqual(
            [(False, 'a')],
            [(load, model) for _, _, load, model, _ in fixture.client.sent],
        )
        self.assertEqual({'a', 'b'}, published_models)

    @virtual_time.run_without_io
    async def test_engine_that_refused_gets_no_order_for_a_while(self):
        fixture, orders = make_fixture('a')
        fixture.client.statuses = [409]
        await plan_for(fixture, orders, 'c', engine_client.REPORT_LAG_S + 0.1)
        engine = fixture.fleet.engines['e1']
        self.assertFalse(engine.busy)
        self.assertGreater(engine.not_before, anyio.current_time())

    @virtual_time.run_without_io
    async def test_only_serving_copy_stays_while_another_one_loads(self):
        fixture, orders = make_fixture('a', 'b')
        listed = fixture.servers.states['e1'].server
        fixture.set_listed_servers(listed, builders.make_server('e2'))
        fixture.add_listed_engines()
        loading = fixture.fleet.engines['e2']
        loading.busy, loading.loading = True, 'a'
        await report_demand(
            fixture,
            ('a', 9, 0, 0.4),
            ('b', 30, 0, 0.4),
            ('c', 0, 3, 5.0),
        )
        async with anyio.create_task_group() as tg:
            orders.plan(tg, anyio.current_time())
            await anyio.sleep(1.0)
            tg.cancel_scope.cancel()
        self.assertEqual([], fixture.client.sent)
