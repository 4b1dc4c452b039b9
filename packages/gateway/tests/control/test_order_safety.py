"""Orders never exceed what an engine holds, which would crash it."""

import random
import unittest

import anyio
from wagtailtide_gateway.control import adapter_orders
from wagtailtide_gateway.control import messages
from wagtailtide_gateway.control import model_orders
from wagtailtide_gateway.model import deployment
from wagtailtide_testing import virtual_time

from tests import builders
from tests.control import leader_fixture
from tests.control import simulated_engine

MODELS = ('a', 'b', 'c', 'd', 'e')
DURATION_S = 60.0
STEP_S = 0.1


class Simulation:
    """A leader with one simulated engine and changing demand."""

    def __init__(self, seed, late_share, adapters_per_step=0.0):
        self._rng = random.Random(seed)
        self._late_share = late_share
        self._adapters_per_step = adapters_per_step
        self._fixture = leader_fixture.LeaderFixture(
            builders.make_server('e1')
        )
        models = {name: builders.make_model(name) for name in MODELS}
        spec = deployment.Engine(24, 200_000.0, 2, 2.0, models)
        self._fixture.config.deployment = builders.make_deployment(
            services={
                leader_fixture.SERVICE: deployment.Service(
                    leader_fixture.SERVICE, 400, spec
                )
            }
        )
        self._spec = spec

    async def run(self):
        """Return the orders for which the engine had no room."""
        fixture, cfg = self._fixture, builders.make_settings()
        async with anyio.create_task_group() as tg:
            engine = simulated_engine.SimulatedEngine(
                self._spec, self._rng, tg
            )
            engine.late_share = self._late_share
            leadership = leader_fixture.FakeLeadership()
            fixture.fleet.start_term(leadership.fence)
            client = simulated_engine.SimulatedClient(
                fixture, leadership, cfg, {'e1': engine}
            )
            models = model_orders.ModelOrders(
                fixture.config,
                fixture.servers,
                fixture.fleet,
                fixture.cluster,
                client,
                cfg,
            )
            adapters = adapter_orders.AdapterOrders(
                fixture.config, fixture.fleet, fixture.cluster, client
            )
            for server_id in fixture.fleet.sync_with_list():
                tg.start_soon(models.await_idle, server_id)
            for step in range(round(DURATION_S / STEP_S)):
                await anyio.sleep(STEP_S)
                now = anyio.current_time()
                self._report(step * STEP_S)
                fixture.cluster.update_rates(STEP_S)
                models.plan(tg, now)
                adapters.start(tg, now)
            tg.cancel_scope.cancel()
        return engine.overcommitted

    def _report(self, elapsed_s):
        """Report demand for a model that changes every two seconds."""
        model = MODELS[int(elapsed_s / 2.0) * 3 % len(MODELS)]
        row = messages.ModelDemand(
            leader_fixture.SERVICE, model, 20, 0, 20, 4.0
        )
        wanted = ()
        if self._rng.random() < self._adapters_per_step:
            wanted = (
                messages.AdapterRequest(
                    leader_fixture.SERVICE,
                    self._rng.choice(MODELS),
                    f'a{self._rng.randrange(6)}',
                ),
            )
        self._fixture.cluster.handle_report(
            messages.Report(
                'front-1', False, 1, 0.0, 0, 0, {}, {}, (row,), wanted, (), ()
            )
        )


class OrderSafetyTest(unittest.TestCase):
    @virtual_time.run_without_io
    async def test_order_carried_out_late_does_not_overcommit_an_engine(self):
        # Guards against a load beside the model of an order that got no
        # answer and was carried out seconds later.
        for seed in range(20):
            with self.subTest(seed=seed):
                found = await Simulation(seed, late_share=0.5).run()
                self.assertEqual([], found)

    @virtual_time.run_without_io
    async def test_adapters_on_their_way_count_toward_the_limit(self):
        # Guards against a load beside adapters that an engine reports as
        # incoming or that were ordered a moment ago.
        for seed in range(20):
            with self.subTest(seed=seed):
                found = await Simulation(
                    seed, late_share=0.3, adapters_per_step=0.5
                ).run()
                self.assertEqual([], found)
