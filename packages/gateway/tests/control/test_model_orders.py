import unittest

import anyio
from wagtailtide_gateway.control import engine_client
from wagtailtide_gateway.control import messages
from wagtailtide_gateway.control import model_orders
from wagtailtide_gateway.decisions import server_limits
from wagtailtide_gateway.model import deployment
from wagtailtide_testing import virtual_time

from tests import builders
from tests.control import leader_fixture


def make_fixture(*models, engine=None):
    residency = builders.make_residency(models, on_disk=frozenset('c'))
    fixture = leader_fixture.LeaderFixture(
        builders.make_server('e1', residency=residency), engine=engine
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
    async def test_load_waits_while_the_window_of_the_weight_store_is_full(
        self,
    ):
        # Guards against loads that were planned in several windows and start
        # in the same one, because their engines had to unload models first.
        models = {name: builders.make_model(name) for name in 'abd'}
        spec = deployment.Engine(24, 200_000.0, 2, 2.0, models)
        fixture, orders = make_fixture('a', 'b', engine=spec)
        begun_at = anyio.current_time()
        for _ in range(10):
            orders.store_load_limiter.reserve_start(
                fixture.config.deployment, begun_at
            )
        await plan_for(fixture, orders, 'd', 10.0)
        loads_at = [at for at, _, load, *_ in fixture.client.sent if load]
        self.assertEqual([begun_at + 5.0], loads_at)

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
    async def test_nothing_is_loaded_beside_a_model_found_meanwhile(self):
        # Guards against overcommitting an engine on which another leader has
        # unloaded the victim and loaded a model in its place.
        models = {name: builders.make_model(name) for name in 'abcd'}
        spec = deployment.Engine(24, 200_000.0, 2, 2.0, models)
        fixture, orders = make_fixture('a', 'b', engine=spec)
        fixture.client.statuses = [409]
        fixture.client.replace_models('e1', 'b', 'd')
        published_models = await plan_for(fixture, orders, 'c', 10.0)
        self.assertEqual(
            [(False, 'a')],
            [(load, model) for _, _, load, model, _ in fixture.client.sent],
        )
        self.assertEqual({'b', 'd'}, published_models)

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

    @virtual_time.run_without_io
    async def test_engine_with_an_overdue_order_gets_no_further_order(self):
        # Guards against a load beside the model of the overdue order, which
        # would not fit.
        fixture, orders = make_fixture('a')
        fixture.client.busy = True
        engine = fixture.fleet.engines['e1']
        async with anyio.create_task_group() as tg:
            tg.start_soon(plan_for, fixture, orders, 'c', 30.0)
            await anyio.sleep(25.0)
            self.assertTrue(engine.busy)
            fixture.client.busy = False
            await anyio.sleep(1.0)
            self.assertFalse(engine.busy)

    @virtual_time.run_without_io
    async def test_engine_that_may_carry_out_an_order_gets_no_other(self):
        # Guards against the same after an order without an answer.
        fixture, orders = make_fixture('a')
        fixture.client.statuses = [None]
        fixture.client.busy = True
        engine = fixture.fleet.engines['e1']
        async with anyio.create_task_group() as tg:
            tg.start_soon(plan_for, fixture, orders, 'c', 30.0)
            await anyio.sleep(25.0)
            self.assertTrue(engine.busy)
            tg.cancel_scope.cancel()

    @virtual_time.run_without_io
    async def test_model_does_not_count_as_loading_on_a_crashed_engine(self):
        # Guards against requests that wait for a load that has ended.
        fixture, orders = make_fixture('a')
        fixture.client.busy = True
        async with anyio.create_task_group() as tg:
            tg.start_soon(plan_for, fixture, orders, 'c', 30.0)
            await anyio.sleep(2.5)
            self.assertTrue(fixture.cluster._loading)
            residency = builders.make_residency(process_start_ms=2)
            fixture.set_listed_servers(
                builders.make_server('e1', residency=residency)
            )
            fixture.fleet.sync_with_list()
            await anyio.sleep(0.5)
            self.assertEqual({}, fixture.cluster._loading)
            tg.cancel_scope.cancel()

    @virtual_time.run_without_io
    async def test_later_leader_preloads_nothing(self):
        # A new leader has no reports at first. It took this for a start
        # without requests and blocked the engines with loads of models that
        # nobody asked for.
        fixture, orders = make_fixture('a')
        fixture.cluster._leadership.fence = 2
        fixture.cluster.reset_on_new_term()
        async with anyio.create_task_group() as tg:
            orders.plan(tg, anyio.current_time())
        self.assertEqual([], fixture.client.sent)

    @virtual_time.run_without_io
    async def test_step_of_an_earlier_term_publishes_nothing(self):
        # Guards against models of an earlier term that replace the ones that
        # the engine has been found to hold.
        fixture, orders = make_fixture('a', 'b')
        fixture.fleet.fence = 1
        await report_demand(fixture, ('c', 0, 40, 0.4), ('b', 10, 0, 0.4))
        async with anyio.create_task_group() as tg:
            orders.plan(tg, anyio.current_time())
            await anyio.sleep(1.0)
            fixture.fleet.start_term(2)
            fixture.add_listed_engines()
            engine = fixture.fleet.engines['e1']
            found = builders.make_residency(['x'], order_count=9)
            fixture.fleet.update_residency('e1', engine, found)
            await anyio.sleep(15.0)
            tg.cancel_scope.cancel()
        self.assertEqual(fixture.published_models('e1'), {'x'})


class LimitedEngineTest(unittest.TestCase):
    def make_fixture(self, *limited):
        """Return three engines, some of which state a limit, and orders."""
        fixture = leader_fixture.LeaderFixture(
            *(
                builders.make_server(
                    id_, residency=builders.make_residency([model])
                )
                for id_, model in (('e1', 'a'), ('e2', 'b'), ('e3', 'c'))
            )
        )
        fixture.add_listed_engines()
        for id_ in limited:
            fixture.servers.states[id_].limit.update(
                server_limits.Statement(1.0, anyio.current_time())
            )
        orders = model_orders.ModelOrders(
            fixture.config,
            fixture.servers,
            fixture.fleet,
            fixture.cluster,
            fixture.client,
            builders.make_settings(),
        )
        return fixture, orders

    async def loads(self, fixture, orders):
        """Return server and model of each load while 'a' runs requests."""
        rows = [(name, 3, 0, 0.4) for name in ('a', 'b', 'c')]
        await report_demand(fixture, *rows)
        async with anyio.create_task_group() as tg:
            orders.plan(tg, anyio.current_time())
            await anyio.sleep(1.0)
            tg.cancel_scope.cancel()
        return [
            (server, model)
            for _, server, load, model, _ in fixture.client.sent
            if load
        ]

    @virtual_time.run_without_io
    async def test_model_of_an_engine_with_a_limit_is_loaded_elsewhere(self):
        # Guards against requests that are refused for as long as the only
        # engine with their model states a limit.
        fixture, orders = self.make_fixture('e1')
        loads = await self.loads(fixture, orders)
        self.assertEqual([model for _, model in loads], ['a'])
        self.assertNotEqual(loads[0][0], 'e1')

    @virtual_time.run_without_io
    async def test_model_that_the_limit_covers_stays(self):
        # Guards against loads that rarely requested models do not need.
        fixture, orders = self.make_fixture('e1')
        fixture.servers.states['e1'].limit.update(
            server_limits.Statement(4.0, anyio.current_time() + 0.1)
        )
        self.assertEqual(await self.loads(fixture, orders), [])

    @virtual_time.run_without_io
    async def test_models_stay_if_most_engines_state_limits(self):
        # Guards against loads of all models on the few engines that are left.
        fixture, orders = self.make_fixture('e1', 'e2')
        self.assertEqual(await self.loads(fixture, orders), [])


class EvacuatedZoneTest(unittest.TestCase):
    def make_fixture(self, *models_by_engine):
        """Return engines in zones of their own, z1 the first, and orders."""
        fixture = leader_fixture.LeaderFixture(
            *(
                builders.make_server(
                    f'e{number}',
                    zone=f'z{number}',
                    residency=builders.make_residency(models),
                )
                for number, models in enumerate(models_by_engine, 1)
            )
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

    @virtual_time.run_without_io
    async def test_model_with_its_only_replica_there_is_loaded_elsewhere(self):
        fixture, orders = self.make_fixture(['a'], ['b'])
        await report_demand(fixture, ('a', 3, 0, 0.4), ('b', 3, 0, 0.4))
        async with anyio.create_task_group() as tg:
            orders.plan(tg, anyio.current_time())
            await anyio.sleep(0.1)
            self.assertEqual([], fixture.client.sent)
            fixture.set_evacuated_zones('z1')
            orders.plan(tg, anyio.current_time())
            await anyio.sleep(0.1)
            tg.cancel_scope.cancel()
        self.assertEqual(
            [('e2', True, 'a')],
            [row[1:4] for row in fixture.client.sent],
        )

    @virtual_time.run_without_io
    async def test_loads_after_an_evacuation_keep_to_the_weight_store(self):
        # Guards against a burst of loads that makes each of them slower.
        models = {f'm{n}': builders.make_model(f'm{n}') for n in range(20)}
        engine = deployment.Engine(24, 200_000.0, 2, 1.0, models)
        held = [[f'm{2 * n}', f'm{2 * n + 1}'] for n in range(10)]
        fixture = leader_fixture.LeaderFixture(
            *(
                builders.make_server(
                    f'e{n}',
                    zone='z1' if n < 10 else 'z2',
                    residency=builders.make_residency(
                        held[n] if n < 10 else ()
                    ),
                )
                for n in range(20)
            ),
            engine=engine,
        )
        fixture.add_listed_engines()
        cfg = builders.make_settings()
        orders = model_orders.ModelOrders(
            fixture.config,
            fixture.servers,
            fixture.fleet,
            fixture.cluster,
            fixture.client,
            cfg,
        )
        rows = [(name, 3, 0, 0.4) for name in models]
        await report_demand(fixture, *rows)
        fixture.set_evacuated_zones('z1')
        started_at = anyio.current_time()
        async with anyio.create_task_group() as tg:
            while anyio.current_time() < started_at + 4.0:
                orders.plan(tg, anyio.current_time())
                await anyio.sleep(0.1)
            tg.cancel_scope.cancel()
        loads = [row for row in fixture.client.sent if row[2]]
        self.assertTrue(loads)
        self.assertLessEqual(len(loads), cfg.load_window_s * 1.0)
        self.assertEqual(
            {fixture.servers.states[row[1]].server.zone for row in loads},
            {'z2'},
        )

    @virtual_time.run_without_io
    async def test_load_in_progress_there_is_not_waited_for(self):
        # Guards against requests that wait for a load whose end nobody sees,
        # and against a place at the weight store that it keeps for hours.
        fixture, orders = self.make_fixture(['b'], ['b'])
        fixture.client.busy = True
        engine = fixture.fleet.engines['e1']
        fixture.fleet.engines['e2'].busy = True
        await report_demand(fixture, ('c', 0, 40, 0.4))
        async with anyio.create_task_group() as tg:
            orders.plan(tg, anyio.current_time())
            await anyio.sleep(0.1)
            self.assertEqual('c', engine.loading)
            self.assertIn(('engines', 'c'), fixture.cluster._loading)
            fixture.set_evacuated_zones('z1')
            orders.plan(tg, anyio.current_time())
            self.assertNotIn(('engines', 'c'), fixture.cluster._loading)
            with self.assertNoLogs(model_orders.LOG, 'WARNING'):
                await anyio.sleep(60.0)
            self.assertTrue(engine.busy)
            self.assertFalse(engine.from_store)
            # It is ready for orders again after its zone has returned.
            fixture.set_evacuated_zones()
            fixture.client.busy = False
            await anyio.sleep(1.0)
            self.assertFalse(engine.busy)
            tg.cancel_scope.cancel()

    @virtual_time.run_without_io
    async def test_load_of_the_same_model_elsewhere_is_still_waited_for(self):
        fixture, orders = self.make_fixture(['b'], ['b'])
        fixture.client.busy = True
        await report_demand(fixture, ('c', 0, 40, 0.4))
        async with anyio.create_task_group() as tg:
            orders.plan(tg, anyio.current_time())
            await anyio.sleep(0.1)
            for engine in fixture.fleet.engines.values():
                engine.loading = 'c'
            fixture.set_evacuated_zones('z1')
            orders.plan(tg, anyio.current_time())
            self.assertIn(('engines', 'c'), fixture.cluster._loading)
            self.assertEqual('c', fixture.fleet.engines['e2'].loading)
            tg.cancel_scope.cancel()
