import random
import unittest

import anyio
import anyio.lowlevel
import hypothesis
from hypothesis import strategies as st
from wagtailtide_core.document import schema
from wagtailtide_core.membership import view as views
from wagtailtide_core.placement import decisions
from wagtailtide_core.placement import fleet as fleets_core
from wagtailtide_server.control import adapter_fetcher
from wagtailtide_server.upstream import adapter_permits
from wagtailtide_testing import virtual_time

from tests.control import placement_fleet as fleets

# Time until a lapsed owner is replaced, with a session renewal every 10 s.
TAKEOVER_S = fleets.HORIZON_S * 1.01 + 20.0
# Memory of an order of unknown outcome stays reserved for 924 s.
LATE_ORDER_S = 924.0 + 60.0


class Chaos:
    """Random faults of engines, the store and instances."""

    def __init__(self, fleet, rng):
        self.fleet = fleet
        self.rng = rng

    def engine(self):
        return self.rng.choice(list(self.fleet.engines.values()))

    def instance(self):
        return self.rng.choice(list(self.fleet.instances.values()))

    def lose_order(self):
        self.engine().faults.lose_orders = 1

    def lose_answer(self):
        self.engine().faults.lose_order_answers = 1

    def repeat_order(self):
        faults = self.engine().faults
        faults.duplicate_orders = 1
        faults.duplicate_after_s = self.rng.choice((1.0, 20.0, 50.0))

    def delay_orders(self):
        faults = self.engine().faults
        faults.delay_order_s = self.rng.choice((0.0, 0.0, 30.0, 300.0, 900.0))

    def fail_load(self):
        self.engine().faults.fail_loads = 1

    def crash(self):
        if self.rng.random() < 0.2:
            self.engine().set_faults(crash=True)

    def store_outage(self):
        self.fleet.store.down = self.rng.random() < 0.3

    def lose_store_answer(self):
        self.fleet.store.lose_answers = 1

    def pause(self):
        self.instance().pause()

    def resume(self):
        for inst in self.fleet.instances.values():
            inst.resume()

    def cut_off(self):
        self.fleet.mark(self.instance().name, views.State.FAILED)

    def rejoin(self):
        for name in self.fleet.instances:
            self.fleet.mark(name, views.State.LIVE)

    def ask_for_model(self):
        model = self.rng.choice(list(self.fleet.models))
        self.fleet.group.start_soon(self.instance().ensurer.ensure, model)

    def clear_faults(self):
        self.resume()
        self.rejoin()
        self.fleet.store.down = False
        for engine in self.fleet.engines.values():
            engine.faults.delay_order_s = 0.0
            engine.faults.lose_orders = engine.faults.lose_order_answers = 0
            engine.faults.duplicate_orders = engine.faults.fail_loads = 0

    async def run(self, steps):
        actions = (
            self.lose_order,
            self.lose_answer,
            self.repeat_order,
            *(self.delay_orders,) * 2,
            self.fail_load,
            self.crash,
            self.store_outage,
            self.lose_store_answer,
            self.pause,
            *(self.resume,) * 2,
            self.cut_off,
            *(self.rejoin,) * 2,
            *(self.ask_for_model,) * 12,
        )
        for _ in range(steps):
            self.rng.choice(actions)()
            pauses_s = (0.1, 1.0, 5.0, 20.0, 100.0)
            await anyio.sleep(self.rng.choice(pauses_s))
        self.clear_faults()


async def _run_chaos(seed):
    rng = random.Random(seed)
    settings = [fleets.unfenced_engine(), fleets.fenced_engine()]
    models = fleets.make_models(4, gib=50, min_replicas=rng.choice((0, 1)))
    fleet = fleets.Fleet(models, settings, ('a', 'b', 'c'))
    async with fleet.running():
        await Chaos(fleet, rng).run(120)
        assert fleet.overcommitted() == 0
        assert not fleet.violations() - {'order_only_by_owner'}
        for model in fleet.models:
            await fleet.wait_ready(model, 2 * LATE_ORDER_S)
        assert fleet.overcommitted() == 0


class ChaosTest(unittest.TestCase):
    @hypothesis.settings(
        derandomize=True,
        max_examples=4,
        deadline=None,
        phases=(hypothesis.Phase.generate,),
    )
    @hypothesis.given(st.integers(0, 2**32))
    def test_memory_and_reachability_with_all_faults(self, seed):
        virtual_time.run_without_io(_run_chaos)(seed)


class PlacementTest(unittest.TestCase):
    @virtual_time.run_without_io
    async def test_all_models_become_ready(self):
        settings = [fleets.fenced_engine(), fleets.unfenced_engine()]
        fleet = fleets.Fleet(fleets.make_models(4), settings)
        async with fleet.running():
            for model in fleet.models:
                await fleet.wait_ready(model, 60)
            await anyio.sleep(60)
        self.assertEqual(fleet.overcommitted(), 0)
        self.assertEqual(fleet.violations(), set())


class OwnerTest(unittest.TestCase):
    """Guards against two owners, and orders of a former owner."""

    async def _wait_for_owner(self, fleet):
        await anyio.sleep(15)
        (owner,) = fleet.may_order('e1')
        (other,) = fleet.instances.keys() - {owner}
        return fleet.instances[owner], fleet.instances[other]

    async def _check_each_second(self, fleet, seconds):
        for _ in range(seconds):
            if not fleet.engines['e1'].settings.checks_fences:
                self.assertLessEqual(len(fleet.may_order('e1')), 1)
            self.assertEqual(fleet.overcommitted(), 0)
            await anyio.sleep(1)

    @virtual_time.run_without_io
    async def test_two_instances_never_both_order_an_unfenced_engine(self):
        models = fleets.make_models(4, gib=50, min_replicas=0)
        fleet = fleets.Fleet(models, [fleets.unfenced_engine()])
        async with fleet.running():
            await self._wait_for_owner(fleet)
            # Each sees the other as failed; both reach the store and the
            # engine.
            for name in fleet.instances:
                fleet.mark(name, views.State.FAILED)
            fleet.engines['e1'].faults.delay_order_s = 30.0
            for number in range(20):
                for inst in fleet.instances.values():
                    inst.placement.planner.record_request(
                        f'm{number % 4}@1', anyio.current_time()
                    )
                await self._check_each_second(fleet, 30)
        self.assertEqual(fleet.violations(), set())

    async def _pause_and_resume(self, settings):
        models = fleets.make_models(3, gib=50, min_replicas=0)
        fleet = fleets.Fleet(models, [settings])
        async with fleet.running():
            owner, other = await self._wait_for_owner(fleet)
            await fleet.wait_ready('m0', 60)
            owner.placement.planner.record_request(
                'm1@1', anyio.current_time()
            )
            owner.pause()
            fleet.mark(owner.name, views.State.FAILED)
            await self._check_each_second(fleet, int(TAKEOVER_S * 3))
            self.assertEqual(fleet.may_order('e1'), [other.name])
            await fleet.wait_ready('m2', 2 * LATE_ORDER_S)
            owner.resume()
            await self._check_each_second(fleet, 30)
        record = fleet.engines['e1'].as_record()['counts']
        self.assertEqual(record.get('stale_fence_accepted', 0), 0)
        self.assertEqual(fleet.violations(), set())

    @virtual_time.run_without_io
    async def test_an_owner_paused_past_its_horizon_orders_no_more(self):
        await self._pause_and_resume(fleets.unfenced_engine())

    @virtual_time.run_without_io
    async def test_a_fenced_engine_is_taken_over_from_a_paused_owner(self):
        await self._pause_and_resume(fleets.fenced_engine())

    @virtual_time.run_without_io
    async def test_a_claim_whose_answer_was_lost_is_resolved(self):
        fleet = fleets.Fleet(fleets.make_models(1), [fleets.unfenced_engine()])
        # The first writes of both sessions, and the claim.
        fleet.store.lose_answers = 3
        async with fleet.running():
            await fleet.wait_ready('m0', 60)
            self.assertEqual(len(fleet.may_order('e1')), 1)
        self.assertEqual(fleet.violations(), set())

    @virtual_time.run_without_io
    async def test_an_owner_out_of_reach_of_the_store_is_replaced(self):
        # Its peers still see it as live, so it stays the preferred owner.
        fleet = fleets.Fleet(fleets.make_models(1), [fleets.unfenced_engine()])
        async with fleet.running():
            owner, other = await self._wait_for_owner(fleet)
            owner.pause()
            await self._check_each_second(fleet, 300)
            self.assertEqual(fleet.may_order('e1'), [other.name])

    @virtual_time.run_without_io
    async def test_a_server_that_nobody_claims_is_claimed_by_the_second(self):
        fleet = fleets.Fleet(fleets.make_models(1), [fleets.unfenced_engine()])
        inst = fleet.instances['a']
        ownership = inst.placement.ownership
        declared = fleet.catalog.backend_servers['e1']
        for other in fleet.instances.values():
            inst.view.merge(other.view.local_member, 0.0)
        first, second = ownership.preferred_owners(declared)
        # Its peers see it as live, but it does not run.
        fleet.instances[first].pause()
        async with fleet.running():
            await self._check_each_second(fleet, 150)
            self.assertEqual(fleet.may_order('e1'), [second])


class ReachabilityTest(unittest.TestCase):
    @virtual_time.run_without_io
    async def test_a_load_that_keeps_failing_moves_to_the_next_engine(self):
        settings = [fleets.unfenced_engine(), fleets.fenced_engine()]
        models = fleets.make_models(1, min_replicas=0)
        fleet = fleets.Fleet(models, settings)
        known = fleets_core.Fleet()
        for name in fleet.engines:
            known.put(fleets_core.EngineState(name, 'z', 1, (0, 0, 0)))
        first = known.rendezvous_order('m0@1')[0]
        fleet.engines[first].faults.fail_loads = 1000
        async with fleet.running():
            # Both engines have to be known before a server is chosen.
            await anyio.sleep(20)
            await fleet.wait_ready('m0', 60)
            await anyio.sleep(600)
            failed = 1000 - fleet.engines[first].faults.fail_loads
        self.assertIn(failed, (1, 2))
        self.assertEqual(fleet.overcommitted(), 0)

    @virtual_time.run_without_io
    async def test_a_lost_load_does_not_block_its_own_memory(self):
        # On an engine that ignores fencing tokens, the memory of a lost load
        # stays reserved for 924 s.
        models = fleets.make_models(1, gib=50)
        fleet = fleets.Fleet(models, [fleets.unfenced_engine()])
        fleet.engines['e1'].faults.lose_orders = 1
        async with fleet.running():
            await fleet.wait_ready('m0', 60)
        self.assertEqual(fleet.engines['e1'].counters['orders'], 1)
        self.assertEqual(fleet.overcommitted(), 0)

    @virtual_time.run_without_io
    async def test_models_of_a_stopping_engine_are_loaded_elsewhere(self):
        settings = [fleets.unfenced_engine(), fleets.fenced_engine()]
        fleet = fleets.Fleet(fleets.make_models(1), settings)
        async with fleet.running():
            await fleet.wait_ready('m0', 60)
            (name,) = fleet.ready_on('m0')
            fleet.engines[name].faults.draining = True
            await anyio.sleep(60)
            self.assertEqual(len(fleet.ready_on('m0')), 2)

    @virtual_time.run_without_io
    async def test_demand_that_moves_while_the_store_is_down(self):
        settings = [fleets.unfenced_engine(), fleets.fenced_engine()]
        models = fleets.make_models(6, gib=35, min_replicas=0)
        fleet = fleets.Fleet(models, settings)
        async with fleet.running():
            await fleet.wait_ready('m0', 60)
            await anyio.sleep(5)
            before = fleet.ready_on('m0')
            orders = fleet.engines['e1'].counters['orders']
            fleet.store.down = True
            # Loads into free memory still go to the engine that checks
            # fencing tokens, because those are not recorded in the store.
            await fleet.wait_ready('m1', 40)
            self.assertEqual(fleet.ready_on('m1'), ['e2'])
            for model in ('m2', 'm3', 'm4'):
                with self.assertRaises(TimeoutError):
                    await fleet.wait_ready(model, 100)
                    await fleet.wait_ready('m5', 100)
            self.assertEqual(fleet.ready_on('m0'), before)
            self.assertEqual(fleet.engines['e1'].counters['orders'], orders)
            fleet.store.down = False
            for model in fleet.models:
                await fleet.wait_ready(model, 300)
        self.assertEqual(fleet.overcommitted(), 0)
        self.assertEqual(fleet.violations(), set())

    @virtual_time.run_without_io
    async def test_two_owners_that_unload_at_once_leave_a_replica(self):
        settings = [fleets.fenced_engine(models=f'm0@1={30 * fleets.GIB}')] * 4
        fleet = fleets.Fleet(fleets.make_models(1), settings, ('a', 'b', 'c'))
        async with fleet.running():
            await anyio.sleep(30)
            self.assertEqual(len(fleet.ready_on('m0')), 4)
            async with anyio.create_task_group() as group:
                for inst in fleet.instances.values():
                    for name in inst.placement.engines:
                        unload = decisions.Unload(
                            name,
                            'm0@1',
                            30 * fleets.GIB,
                            False,
                            decisions.EvictionReason.NOT_NEEDED,
                        )
                        group.start_soon(
                            inst.placement._carry_out_one,
                            inst.placement._unload,
                            unload,
                        )
            await anyio.sleep(1)
            self.assertEqual(len(fleet.ready_on('m0')), 1)

    @virtual_time.run_without_io
    async def test_a_crashed_replica_does_not_count_as_another(self):
        settings = [fleets.fenced_engine(models=f'm0@1={30 * fleets.GIB}')] * 2
        fleet = fleets.Fleet(fleets.make_models(1), settings, ('a',))
        async with fleet.running():
            await anyio.sleep(30)
            inst = fleet.instances['a']
            crashed = fleet.engines['e2']
            # No longer resident, but no report has shown it yet.
            crashed.accelerator.models.clear()
            crashed.record_change(anyio.current_time())
            await anyio.sleep(1.5)
            unload = decisions.Unload(
                'e1', 'm0@1', 1, False, decisions.EvictionReason.NOT_NEEDED
            )
            inst.placement._replica_lists.listed.add(('m0@1', 'e2'))
            await inst.placement._carry_out_one(inst.placement._unload, unload)
            await anyio.sleep(1)
            self.assertIn('e1', fleet.ready_on('m0'))


class AdapterTest(unittest.TestCase):
    @virtual_time.run_without_io
    async def test_adapters_share_the_pool_and_the_parallel_fetches(self):
        # Guards against an overcommitted pool, the eviction of an adapter in
        # use, and more parallel fetches than the instance's share.
        pool = 2 * fleets.GIB
        settings = [
            fleets.unfenced_engine(
                models=f'm0@1={30 * fleets.GIB}', adapter_pool_bytes=pool
            )
        ]
        fleet = fleets.Fleet(fleets.make_models(1), settings, ('a',))
        permits = adapter_permits.AdapterPermits()
        in_use = set()
        fetcher = adapter_fetcher.AdapterFetcher(
            permits, lambda _server, key: key in in_use
        )
        made = [
            schema.Adapter(name=name, model='m0', bytes=fleets.GIB)
            for name in ('x', 'y', 'z')
        ]

        async def ensure(adapter, timeout_s):
            for _ in range(timeout_s):
                if await fetcher.ensure(engine, 'm0@1', adapter):
                    return
                await anyio.sleep(1)

        def resident():
            held = fleet.engines['e1'].accelerator.adapters
            return {key[1] for key in held}

        async with fleet.running():
            await anyio.sleep(20)
            engine = fleet.instances['a'].placement.engines['e1']
            for adapter in made[:2]:
                await ensure(adapter, 10)
            self.assertEqual(resident(), {'x', 'y'})
            in_use.update({'m0@1:x', 'm0@1:y'})
            await ensure(made[2], 60)
            self.assertEqual(resident(), {'x', 'y'})
            in_use.remove('m0@1:y')
            await ensure(made[2], 200)
            self.assertEqual(resident(), {'x', 'z'})

    @virtual_time.run_without_io
    async def test_fetches_stay_within_the_share_of_the_instance(self):
        settings = [
            fleets.unfenced_engine(
                models=f'm0@1={30 * fleets.GIB}',
                adapter_pool_bytes=8 * fleets.GIB,
            )
        ]
        fleet = fleets.Fleet(fleets.make_models(1), settings, ('a',))
        fetcher = adapter_fetcher.AdapterFetcher(
            adapter_permits.AdapterPermits()
        )
        async with fleet.running():
            await anyio.sleep(20)
            engine = fleet.instances['a'].placement.engines['e1']
            async with anyio.create_task_group() as group:
                for number in range(6):
                    adapter = schema.Adapter(
                        name=f'x{number}', model='m0', bytes=fleets.GIB
                    )
                    group.start_soon(fetcher.ensure, engine, 'm0@1', adapter)
        self.assertEqual(fleet.engines['e1'].adapter_store.most_in_flight, 1)


if __name__ == '__main__':
    unittest.main()
