import random
import unittest

import anyio
from wagtailtide_core.config import catalog
from wagtailtide_core.document import schema
from wagtailtide_core.placement import measure
from wagtailtide_server.control import load_permits
from wagtailtide_testing import virtual_time

from tests.control import placement_fleet as fleets

PARALLEL = 4
LOADS_PER_S = 2.0


class LoadPermitsTest(unittest.TestCase):
    """Guards against more loads than the weight store allows."""

    @virtual_time.run_without_io
    async def test_loads_of_all_instances_stay_within_both_limits(self):
        fleet = fleets.Fleet([], [], ('a', 'b', 'c'))
        document = schema.Document(
            service='lahore',
            weight_store=schema.WeightStore(
                loads_per_s=LOADS_PER_S, parallel_loads=PARALLEL
            ),
        )
        for inst in fleet.instances.values():
            for other in fleet.instances.values():
                inst.view.merge(other.view.local_member, 0.0)
            inst.config.catalog = catalog.build(
                {'lahore': document}, {'lahore': 1}
            )
        in_progress, most, started = set(), 0, 0
        rng = random.Random(1)

        async def load(permits):
            nonlocal most, started
            loan = await permits.borrow()
            if loan is None:
                return
            in_progress.add(loan)
            started += 1
            most = max(most, len(in_progress))
            if rng.random() < 0.01:
                # A crashed owner never returns the permit.
                await anyio.sleep(load_permits.LOAN_DURATION_S)
                in_progress.discard(loan)
                return
            await anyio.sleep(rng.uniform(0.1, 1.0))
            in_progress.discard(loan)
            await permits.give_back(loan)

        seconds = 600
        async with anyio.create_task_group() as group:
            for _ in range(seconds * 5):
                inst = fleet.instances[rng.choice('abc')]
                group.start_soon(load, inst.placement.permits)
                await anyio.sleep(0.2)
        self.assertLessEqual(most, PARALLEL)
        self.assertLessEqual(started, PARALLEL + seconds * LOADS_PER_S)
        self.assertGreater(started, seconds * 0.1)


class StoreCallsTest(unittest.TestCase):
    @virtual_time.run_without_io
    async def test_an_idle_fleet_needs_the_store_calls_that_are_computed(self):
        # Guards against more store reads than computed, and against reads
        # that grow with the number of instances or servers.
        calls = {}
        for names in (('a', 'b'), ('a', 'b', 'c', 'd')):
            settings = [fleets.unfenced_engine() for _ in range(4)]
            fleet = fleets.Fleet(fleets.make_models(2), settings, names)
            async with fleet.running():
                await anyio.sleep(200)
                before = fleet.store.reads
                await anyio.sleep(600)
                calls[len(names)] = fleet.store.reads - before
            hourly = measure.store_calls_per_hour(4, 1.0, 0, 0)
            self.assertLessEqual(calls[len(names)], 1.05 * hourly.reads / 6)
        self.assertAlmostEqual(calls[2], calls[4], delta=4)


if __name__ == '__main__':
    unittest.main()
