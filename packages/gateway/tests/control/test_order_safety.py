"""Orders never exceed what an engine holds, which would crash it."""

import random
import types
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


class Leader:
    """A leader that plans from reports of one instance."""

    def __init__(self, spec, engine):
        self.leadership = types.SimpleNamespace(fence=None, is_leader=False)
        self._fixture = leader_fixture.LeaderFixture(
            builders.make_server('e1')
        )
        service = deployment.Service(leader_fixture.SERVICE, 400, spec)
        self._fixture.config.deployment = builders.make_deployment(
            services={leader_fixture.SERVICE: service}
        )
        self._fixture.cluster._leadership = self.leadership
        cfg = builders.make_settings()
        client = simulated_engine.SimulatedClient(
            self._fixture, self.leadership, cfg, {'e1': engine}
        )
        config, fleet = self._fixture.config, self._fixture.fleet
        cluster = self._fixture.cluster
        self._models = model_orders.ModelOrders(
            config, self._fixture.servers, fleet, cluster, client, cfg
        )
        self._adapters = adapter_orders.AdapterOrders(
            config, fleet, cluster, client
        )

    def plan(self, tg, report):
        """Apply a report and start orders, as the control loop does."""
        now = anyio.current_time()
        fleet, cluster = self._fixture.fleet, self._fixture.cluster
        if fleet.fence != self.leadership.fence:
            cluster.reset_on_new_term()
            fleet.start_term(self.leadership.fence)
            self._models.start_term(10.0, now)
        for server_id in fleet.sync_with_list():
            tg.start_soon(self._models.await_idle, server_id)
        cluster.handle_report(report)
        cluster.update_rates(STEP_S)
        self._models.plan(tg, now)
        self._adapters.start(tg, now)


class Simulation:
    """Two leaders in turn, one simulated engine and changing demand.

    Args:
        seed: Seed of all random choices.
        late_share: Share of the orders that are carried out late.
        adapters_per_step: Adapters requested in each step.
        term_s: Range of the length of a term in seconds, None for one term.
        in_use_share: Share of the adapters to unload that are still in use.
    """

    def __init__(
        self,
        seed,
        late_share,
        adapters_per_step=0.0,
        term_s=None,
        in_use_share=0.0,
    ):
        self._rng = random.Random(seed)
        self._late_share = late_share
        self._adapters_per_step = adapters_per_step
        self._term_s = term_s
        self._in_use_share = in_use_share

    async def run(self):
        """Return the orders for which the engine had no room."""
        models = {name: builders.make_model(name) for name in MODELS}
        spec = deployment.Engine(24, 200_000.0, 2, 2.0, models)
        async with anyio.create_task_group() as tg:
            engine = simulated_engine.SimulatedEngine(spec, self._rng, tg)
            engine.late_share = self._late_share
            engine.in_use_share = self._in_use_share
            leaders = [Leader(spec, engine), Leader(spec, engine)]
            fence, term_ends_s = 0, 0.0
            for step in range(round(DURATION_S / STEP_S)):
                await anyio.sleep(STEP_S)
                if step * STEP_S >= term_ends_s:
                    fence += 1
                    leaders.reverse()
                    # The previous leader goes on for one term, as one does
                    # that has not heard of its successor.
                    current = leaders[0].leadership
                    current.fence, current.is_leader = fence, True
                    term_ends_s += self._term_length_s()
                report = self._report(step * STEP_S)
                for leader in leaders:
                    if leader.leadership.is_leader:
                        leader.plan(tg, report)
            tg.cancel_scope.cancel()
        return engine.overcommitted

    def _term_length_s(self):
        if self._term_s is None:
            return DURATION_S
        return self._rng.uniform(*self._term_s)

    def _report(self, elapsed_s):
        """Return demand for a model that changes every two seconds."""
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
        return builders.make_report(demand=(row,), adapters=wanted)


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

    @virtual_time.run_without_io
    async def test_new_leader_does_not_overcommit_an_engine(self):
        # Guards against a new leader that plans from a report which lags,
        # while an order of the previous leader is in progress.
        for seed in range(20):
            with self.subTest(seed=seed):
                found = await Simulation(
                    seed, 0.0, adapters_per_step=0.5, term_s=(0.5, 6.0)
                ).run()
                self.assertEqual([], found)

    @virtual_time.run_without_io
    async def test_adapters_that_are_still_in_use_count_toward_the_limit(self):
        # Guards against a load beside an adapter whose unload was accepted
        # and waits for requests; the engine is not busy meanwhile.
        for seed in range(20):
            with self.subTest(seed=seed):
                found = await Simulation(
                    seed, 0.1, 0.5, term_s=(2.0, 9.0), in_use_share=0.5
                ).run()
                self.assertEqual([], found)
